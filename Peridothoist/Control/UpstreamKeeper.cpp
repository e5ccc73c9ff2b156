/// Takes part in the leases of upstream groups.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/UpstreamKeeper.h>

#include <Peridothoist/Membership/Rendezvous.h>
#include <Peridothoist/Shell/Log.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace peridothoist {

namespace {

/// A VM that nobody heard for longer doesn't contend for leases.
constexpr Duration kContenderSilence = std::chrono::seconds(10);

/// A call that leaves only while a lease is held.
class GuardedCall : public HttpCallListener
{
public:
  GuardedCall(Reactor& aReactor,
              std::shared_ptr<const LeaseRunner> aRunner,
              FenceCheck aCheck,
              bool aReadBack,
              UpstreamKeeper::CallDone aDone)
    : mReactor(aReactor)
    , mRunner(std::move(aRunner))
    , mCheck(aCheck)
    , mReadBack(aReadBack)
    , mDone(std::move(aDone))
  {
  }

  // See: HttpCallListener
  bool OnBeforeSend() override
  {
    return mRunner->Machine().MayOrder(mCheck, mReadBack, Reactor::ReadClock());
  }
  void OnData(std::string_view aData) override
  {
    constexpr std::size_t kMaxAnswerBytes = 4 * 1024 * 1024;
    if (mEnd.mBody.size() + aData.size() <= kMaxAnswerBytes) {
      mEnd.mBody += aData;
    }
  }
  void OnEnd(const HttpCallOutcome& aOutcome) override
  {
    mEnd.mCall = aOutcome;
    mDone(mEnd);
  }

private:
  Reactor& mReactor;
  std::shared_ptr<const LeaseRunner> mRunner;
  FenceCheck mCheck;
  bool mReadBack;
  UpstreamKeeper::CallDone mDone;
  UpstreamCallEnd mEnd;
};

} // namespace

FenceCheck
FenceCheckOf(const Upstream& aUpstream)
{
  return aUpstream.mChecksFence ? FenceCheck::Checked : FenceCheck::Unchecked;
}

UpstreamKeeper::UpstreamKeeper(Reactor& aReactor,
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
UpstreamKeeper::AliveVms() const
{
  std::vector<std::string> alive;
  for (const Member& it : mState.mMembers.Export(mReactor.Now())) {
    const bool isHeard = it.mAge && *it.mAge < kContenderSilence;
    if (isHeard && it.mState == MemberState::Live) {
      alive.push_back(it.mVm);
    }
  }
  return alive;
}

bool
UpstreamKeeper::IsCandidate(const std::string& aGroup) const
{
  const auto top = RendezvousTop(
    "lease/" + aGroup, mAlive, mState.mSettings.mUpstreams.mCandidates);
  return std::find(top.begin(), top.end(), mState.mSettings.mVm) != top.end();
}

void
UpstreamKeeper::OnTick()
{
  const TimePoint now = mReactor.Now();
  mAlive = AliveVms();
  std::set<std::string> wanted;
  for (const auto& [pool, item] : mState.mView.Config().mPools) {
    if (!mState.mLeaving && IsCandidate(pool)) {
      wanted.insert(pool);
    }
  }
  for (const std::string& it : wanted) {
    if (mRunners.count(it) == 0) {
      mRunners.emplace(
        it,
        std::make_shared<LeaseRunner>(mReactor,
                                      mPlatform,
                                      mState.mSettings.mUpstreams.mLease,
                                      it,
                                      mState.mSettings.mInstance));
    }
  }
  for (auto it = mRunners.begin(); it != mRunners.end();) {
    // A lease that others should hold now runs out by itself.
    const bool isOver =
      wanted.count(it->first) == 0 && !it->second->Machine().IsHeld(now);
    if (isOver) {
      it = mRunners.erase(it);
      continue;
    }
    if (wanted.count(it->first) > 0) {
      it->second->OnTick();
    }
    ++it;
  }
}

void
UpstreamKeeper::ReleaseAll()
{
  for (auto& [group, runner] : mRunners) {
    runner->Machine().Release();
    runner->OnTick();
  }
}

const LeaseRunner*
UpstreamKeeper::Find(const std::string& aGroup) const
{
  const auto it = mRunners.find(aGroup);
  return it == mRunners.end() ? nullptr : it->second.get();
}

bool
UpstreamKeeper::CanReadBack(const std::string& aGroup) const
{
  const LeaseRunner* runner = Find(aGroup);
  return runner != nullptr && runner->Machine().CanReadBack(mReactor.Now());
}

void
UpstreamKeeper::CallUnderLease(const Upstream& aUpstream,
                               HttpCall aCall,
                               bool aReadBack,
                               CallDone aDone)
{
  const auto it = mRunners.find(aUpstream.mPool);
  if (it == mRunners.end()) {
    UpstreamCallEnd end;
    end.mCall.mFailure = CallFailure::Withheld;
    mReactor.Post([aDone = std::move(aDone), end] { aDone(end); });
    return;
  }
  aCall.mSendOnce = true;
  aCall.mTotalTimeout = mState.mSettings.mUpstreams.mOrderTimeout;
  aCall.mUrl = "http://" + aUpstream.mAddress + aCall.mUrl;
  aCall.mHeaders["content-type"] = "application/json";
  mHttp.Start(std::move(aCall),
              std::make_shared<GuardedCall>(mReactor,
                                            it->second,
                                            FenceCheckOf(aUpstream),
                                            aReadBack,
                                            std::move(aDone)));
}

void
UpstreamKeeper::Read(const Upstream& aUpstream,
                     const std::string& aPath,
                     CallDone aDone)
{
  HttpCall call;
  call.mUrl = "http://" + aUpstream.mAddress + aPath;
  call.mTotalTimeout = mState.mSettings.mUpstreams.mOrderTimeout;
  mHttp.Fetch(std::move(call),
              [aDone = std::move(aDone)](const HttpCallOutcome& aOutcome,
                                         const std::string& aBody) {
                aDone({ aOutcome, aBody });
              });
}

std::string
UpstreamKeeper::HolderVm(const std::string& aGroup) const
{
  const LeaseRunner* runner = Find(aGroup);
  if (runner == nullptr || runner->Holder().empty()) {
    return {};
  }
  for (const Member& it : mState.mMembers.Export(mReactor.Now())) {
    if (it.mControlInstance == runner->Holder()) {
      return it.mVm;
    }
  }
  return {};
}

nlohmann::json
UpstreamKeeper::Status() const
{
  const TimePoint now = mReactor.Now();
  nlohmann::json leases = nlohmann::json::array();
  for (const auto& [group, runner] : mRunners) {
    const LeaseMachine& machine = runner->Machine();
    leases.push_back({ { "group", group },
                       { "held", machine.IsHeld(now) },
                       { "fence", machine.Fence() },
                       { "holder_vm", HolderVm(group) },
                       { "can_read_back", machine.CanReadBack(now) } });
  }
  return leases;
}

} // namespace peridothoist
