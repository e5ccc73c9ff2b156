/// Acquires and renews the leases of upstream groups.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/UpstreamLeaseManager.h>

#include <Peridothoist/Membership/Rendezvous.h>
#include <Peridothoist/Shell/Log.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace peridothoist {

namespace {

/// A VM that has sent no report for this time is no candidate for leases.
constexpr Duration kCandidateSilenceTimeout = std::chrono::seconds(10);

/// HTTP call that is sent only if the lease is held at that moment.
class LeaseGuardedCall : public HttpCallListener
{
public:
  LeaseGuardedCall(Reactor& aReactor,
                   std::shared_ptr<const LeaseExecutor> aLease,
                   FenceCheck aCheck,
                   bool aHasReadBack,
                   UpstreamLeaseManager::CallDone aDone)
    : mReactor(aReactor)
    , mLease(std::move(aLease))
    , mCheck(aCheck)
    , mHasReadBack(aHasReadBack)
    , mDone(std::move(aDone))
  {
  }

  // See: HttpCallListener
  bool OnBeforeSend() override
  {
    return mLease->StateMachine().MaySendOrder(
      mCheck, mHasReadBack, Reactor::ReadClock());
  }
  void OnData(std::string_view aData) override
  {
    mResult.mBody += aData; // Up to HttpCall::mMaxResponseBytes.
  }
  void OnEnd(const HttpCallResult& aResult) override
  {
    mResult.mCall = aResult;
    mDone(mResult);
  }

private:
  Reactor& mReactor;
  std::shared_ptr<const LeaseExecutor> mLease;
  FenceCheck mCheck;
  bool mHasReadBack;
  UpstreamLeaseManager::CallDone mDone;
  UpstreamCallResult mResult;
};

} // namespace

FenceCheck
FenceCheckOf(const Upstream& aUpstream)
{
  return aUpstream.mChecksFence ? FenceCheck::Checked : FenceCheck::Unchecked;
}

UpstreamLeaseManager::UpstreamLeaseManager(Reactor& aReactor,
                                           HttpClient& aHttp,
                                           Platform& aPlatform,
                                           ControlState& aState)
  : mReactor(aReactor)
  , mHttp(aHttp)
  , mPlatform(aPlatform)
  , mState(aState)
{
}

std::vector<std::string>
UpstreamLeaseManager::LiveVms() const
{
  std::vector<std::string> live;
  for (const Member& it : mState.mMembers.CurrentMembers(mReactor.Now())) {
    const bool isRecentlySeen =
      it.mReportAge && *it.mReportAge < kCandidateSilenceTimeout;
    if (isRecentlySeen && it.mState == MemberState::Live) {
      live.push_back(it.mVm);
    }
  }
  return live;
}

bool
UpstreamLeaseManager::IsCandidate(const std::string& aGroup) const
{
  const auto top =
    TopRendezvousNodes("lease/" + aGroup,
                       mLiveVms,
                       mState.mSettings.mUpstreamLeases.mCandidateCount);
  return std::find(top.begin(), top.end(), mState.mSettings.mVm) != top.end();
}

void
UpstreamLeaseManager::OnTick()
{
  const TimePoint now = mReactor.Now();
  mLiveVms = LiveVms();
  std::set<std::string> candidateGroups;
  for (const auto& [pool, item] : mState.mView.Config().mPools) {
    if (!mState.mIsLeaving && IsCandidate(pool)) {
      candidateGroups.insert(pool);
    }
  }
  for (const std::string& it : candidateGroups) {
    if (mLeases.count(it) == 0) {
      mLeases.emplace(
        it,
        std::make_shared<LeaseExecutor>(mReactor,
                                        mPlatform,
                                        mState.mSettings.mUpstreamLeases.mLease,
                                        it,
                                        mState.mSettings.mInstance));
    }
  }
  for (auto it = mLeases.begin(); it != mLeases.end();) {
    // If this VM is no longer a candidate, it does not renew the lease and
    // keeps the object until the lease has expired.
    const bool shouldRemove = candidateGroups.count(it->first) == 0 &&
                              !it->second->StateMachine().IsHeld(now);
    if (shouldRemove) {
      it = mLeases.erase(it);
      continue;
    }
    if (candidateGroups.count(it->first) > 0) {
      it->second->OnTick();
    }
    ++it;
  }
}

void
UpstreamLeaseManager::ReleaseAll()
{
  for (auto& [group, lease] : mLeases) {
    lease->StateMachine().Release();
    lease->OnTick();
  }
}

const LeaseExecutor*
UpstreamLeaseManager::FindLease(const std::string& aGroup) const
{
  const auto it = mLeases.find(aGroup);
  return it == mLeases.end() ? nullptr : it->second.get();
}

bool
UpstreamLeaseManager::CanReadBack(const std::string& aGroup) const
{
  const LeaseExecutor* lease = FindLease(aGroup);
  return lease != nullptr && lease->StateMachine().CanReadBack(mReactor.Now());
}

void
UpstreamLeaseManager::CallUnderLease(const Upstream& aUpstream,
                                     HttpCall aCall,
                                     bool aHasReadBack,
                                     CallDone aDone)
{
  const auto it = mLeases.find(aUpstream.mPool);
  if (it == mLeases.end()) {
    UpstreamCallResult result;
    result.mCall.mFailure = CallFailure::Withheld;
    mReactor.Post([aDone = std::move(aDone), result] { aDone(result); });
    return;
  }
  aCall.mSendOnce = true;
  aCall.mTotalTimeout = mState.mSettings.mUpstreamLeases.mOrderTimeout;
  aCall.mUrl = "http://" + aUpstream.mAddress + aCall.mUrl;
  aCall.mHeaders["content-type"] = "application/json";
  mHttp.Start(std::move(aCall),
              std::make_shared<LeaseGuardedCall>(mReactor,
                                                 it->second,
                                                 FenceCheckOf(aUpstream),
                                                 aHasReadBack,
                                                 std::move(aDone)));
}

void
UpstreamLeaseManager::Read(const Upstream& aUpstream,
                           const std::string& aPath,
                           CallDone aDone)
{
  HttpCall call;
  call.mUrl = "http://" + aUpstream.mAddress + aPath;
  call.mTotalTimeout = mState.mSettings.mUpstreamLeases.mOrderTimeout;
  mHttp.Fetch(std::move(call),
              [aDone = std::move(aDone)](const HttpCallResult& aResult,
                                         const std::string& aBody) {
                aDone({ aResult, aBody });
              });
}

std::string
UpstreamLeaseManager::HolderVm(const std::string& aGroup) const
{
  const LeaseExecutor* lease = FindLease(aGroup);
  if (lease == nullptr || lease->HolderInstance().empty()) {
    return {};
  }
  for (const Member& it : mState.mMembers.CurrentMembers(mReactor.Now())) {
    if (it.mControlInstance == lease->HolderInstance()) {
      return it.mVm;
    }
  }
  return {};
}

nlohmann::json
UpstreamLeaseManager::Status() const
{
  const TimePoint now = mReactor.Now();
  nlohmann::json leases = nlohmann::json::array();
  for (const auto& [group, lease] : mLeases) {
    const LeaseStateMachine& machine = lease->StateMachine();
    leases.push_back({ { "group", group },
                       { "held", machine.IsHeld(now) },
                       { "fence", machine.Fence() },
                       { "holder_vm", HolderVm(group) },
                       { "can_read_back", machine.CanReadBack(now) } });
  }
  return leases;
}

} // namespace peridothoist
