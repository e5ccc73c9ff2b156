#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/OriginCatchUp.h>

#include <Peridothoist/Shell/FlagsFromEnvironment.h>
#include <Peridothoist/Shell/Log.h>

namespace peridothoist {

// Ids start at the time, so that answers to requests of a former process at
// this address match none of this one.
OriginCatchUp::OriginCatchUp(const Settings& aSettings,
                             OriginKind aKind,
                             const VmRecord& aSelf,
                             Reactor* aReactor,
                             PeerSender* aSender,
                             OriginKeeper* aKeeper)
  : mSettings(aSettings)
  , mKind(aKind)
  , mSelf(aSelf)
  , mReactor(aReactor)
  , mSender(aSender)
  , mKeeper(aKeeper)
  , mStartedAt(Reactor::ReadClock())
  , mInterval(aSettings.mRetryInterval)
  , mLastId(static_cast<std::uint64_t>(mStartedAt.time_since_epoch().count()))
{
}

OriginCatchUp::~OriginCatchUp()
{
  mReactor->CancelTimer(mTimer);
}

void
OriginCatchUp::SetVms(const VmRecords& aVms)
{
  mVms = aVms;
  if (Reactor::ReadClock() >= mStartedAt + mSettings.mPeriod) {
    return;
  }
  bool isAnyNew = false;
  for (const auto& [name, vm] : aVms) {
    const bool keepsOrigins = !vm.mZone.empty() && !vm.mPeerAddress.empty();
    if (name != mSelf.mName && keepsOrigins && mAsked.insert(name).second) {
      mUnanswered[++mLastId] = vm.mPeerAddress;
      isAnyNew = true;
    }
  }
  if (isAnyNew) {
    mInterval = mSettings.mRetryInterval;
    Ask();
  }
}

/// Asks the VMs that have not answered, and schedules the repeats.
void
OriginCatchUp::Ask()
{
  mReactor->CancelTimer(mTimer);
  mTimer = 0;
  for (const auto& [id, address] : mUnanswered) {
    ++mCounts.mRequestsSent;
    mSender->Send(
      address,
      EncodeCatchUpRequest(mKind, { id, mSelf.mName, mSelf.mPeerAddress }));
  }
  const TimePoint next = Reactor::ReadClock() + mInterval;
  if (!mUnanswered.empty() && next < mStartedAt + mSettings.mPeriod) {
    mTimer = mReactor->Schedule(mInterval, [this] { Ask(); });
    mInterval *= 2;
  }
}

bool
OriginCatchUp::OnMessage(std::string_view aBytes)
{
  if (const auto request = DecodeCatchUpRequest(mKind, aBytes)) {
    OnRequest(*request);
    return true;
  }
  if (const auto id = DecodeCatchUpDone(mKind, aBytes)) {
    mCounts.mAnswered += mUnanswered.erase(*id);
    return true;
  }
  return false;
}

/// Answers a VM that has started. One that is not known here yet asks again.
void
OriginCatchUp::OnRequest(const OriginQuery& aRequest)
{
  ++mCounts.mRequestsReceived;
  const auto it = mVms.find(aRequest.mKey);
  const bool isKnown = it != mVms.end() &&
                       it->second.mPeerAddress == aRequest.mReplyAddress &&
                       ParseSocketAddress(aRequest.mReplyAddress);
  if (!isKnown) {
    return;
  }
  Log::Routine("peer_catches_up").Field("peer", aRequest.mKey);
  mKeeper->SendKeptTo(it->second);
  mSender->Send(aRequest.mReplyAddress, EncodeCatchUpDone(mKind, aRequest.mId));
}

} // namespace peridothoist
