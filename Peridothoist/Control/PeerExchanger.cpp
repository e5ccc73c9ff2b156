/// Exchanges views with other control processes.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/PeerExchanger.h>

#include <Peridothoist/Peers/PeerCodec.h>
#include <Peridothoist/Shell/Log.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// Changes sent along with a request, for a peer that may lack them.
constexpr std::size_t kMaxPushedBytes = 64 * 1024;

} // namespace

PeerExchanger::PeerExchanger(Reactor& aReactor,
                             PeerClient& aPeers,
                             ControlState& aState,
                             std::uint64_t aSeed)
  : mReactor(aReactor)
  , mPeers(aPeers)
  , mState(aState)
  , mRandom(aSeed)
  , mAlive(std::make_shared<bool>(true))
{
}

PeerExchanger::~PeerExchanger()
{
  *mAlive = false;
}

void
PeerExchanger::AskNow(std::size_t aCount)
{
  const TimePoint now = mReactor.Now();
  mLastAsked = now;
  mState.UpdateSelf(now);
  for (const Member& it : mState.mMembers.PickPeers(aCount, now, mRandom)) {
    Ask(it);
  }
}

void
PeerExchanger::OnTick(bool aUrgent)
{
  const ExchangeSettings& settings = mState.mSettings.mExchange;
  const Duration interval =
    aUrgent ? settings.mUrgentInterval : settings.mInterval;
  // Half a tick early is better than half a tick late.
  const TimePoint due =
    mLastAsked.value_or(TimePoint()) + interval - mState.mSettings.mTick / 2;
  if (!mLastAsked || mReactor.Now() >= due) {
    AskNow(aUrgent ? settings.mUrgentPeers : settings.mPeers);
  }
}

void
PeerExchanger::AddMembers(
  google::protobuf::RepeatedPtrField<peer::Member>& aMessages,
  const std::vector<Member>& aMembers)
{
  // The first one is this VM, which goes in a field of its own.
  const std::size_t others = aMembers.size() - 1;
  const std::size_t count =
    std::min(others, mState.mSettings.mExchange.mMaxMembersSent);
  const std::size_t first = count < others ? mRandom.Below(others) : 0;
  for (std::size_t n = 0; n < count; ++n) {
    *aMessages.Add() = ToMessage(aMembers[1 + (first + n) % others]);
  }
}

template<typename Message>
void
PeerExchanger::FillCommon(Message& aMessage)
{
  const TimePoint now = mReactor.Now();
  const std::vector<Member> members = mState.mMembers.Export(now);
  *aMessage.mutable_self() = ToMessage(members.front());
  *aMessage.mutable_view() = mState.MakeState(now);
  AddMembers(*aMessage.mutable_members(), members);
  for (const KeySuspension& it : mState.mView.Suspensions().Suspensions(now)) {
    *aMessage.add_suspensions() = ToMessage(it);
  }
  mState.mQuarantine.Fill(*aMessage.mutable_quarantine(), now);
}

template<typename Message>
void
PeerExchanger::TakeCommon(const Message& aMessage)
{
  const TimePoint now = mReactor.Now();
  for (const peer::Suspension& it : aMessage.suspensions()) {
    mState.mView.Suspensions().Suspend(FromMessage(it), now);
  }
  mState.mQuarantine.Merge(aMessage.quarantine(), now);
}

void
PeerExchanger::Ask(const Member& aPeer)
{
  peer::ExchangeRequest request;
  FillCommon(request);
  const ViewDelta delta =
    mState.mView.Changes().ChangesSince(aPeer.mStamp.mVersion, kMaxPushedBytes);
  if (!delta.mNeedsSnapshot) {
    ViewKeeper::AddChanges(delta.mChanges, *request.mutable_changes());
  }
  const TimePoint sent = mReactor.Now();
  mPeers.Exchange(
    aPeer.mControlPeer,
    std::move(request),
    mState.mSettings.mExchange.mDeadline,
    [this, alive = mAlive, sent, vm = aPeer.mVm](
      const std::optional<peer::ExchangeReply>& aReply, const Reason& aReason) {
      if (!*alive) {
        return;
      }
      if (!aReply) {
        Log::Debug("exchange_failed")
          .Field("vm", vm)
          .Field("reason", aReason.mText);
      }
      OnReply(aReply, sent);
    });
}

void
PeerExchanger::OnReply(const std::optional<peer::ExchangeReply>& aReply,
                       TimePoint aSent)
{
  if (!aReply) {
    return;
  }
  const TimePoint now = mReactor.Now();
  const Member sender = FromMessage(aReply->self());
  if (sender.mVm == mState.mSettings.mVm) {
    return;
  }
  mState.mMembers.MergeReply(
    sender, MembersFromMessages(aReply->members()), aSent, now);
  TakeCommon(*aReply);
  mState.mView.TakeUpdate(*aReply);
  if (aReply->has_plan()) {
    mState.mView.TakePlan(FromMessage(aReply->plan()));
  }
  mState.OnPeerReply(aReply->view(), aSent);
}

peer::ExchangeReply
PeerExchanger::Answer(const peer::ExchangeRequest& aRequest)
{
  const TimePoint now = mReactor.Now();
  const Member sender = FromMessage(aRequest.self());
  if (sender.mVm != mState.mSettings.mVm) {
    mState.mMembers.MergeRequest(
      sender, MembersFromMessages(aRequest.members()), now);
  }
  TakeCommon(aRequest);
  mState.mView.TakeChanges(aRequest.changes());
  mState.UpdateSelf(now);
  peer::ExchangeReply reply;
  FillCommon(reply);
  mState.mView.FillUpdate(aRequest.view().version(), reply);
  if (mState.mView.Plan().mEpoch > aRequest.view().plan_epoch()) {
    *reply.mutable_plan() = ToMessage(mState.mView.Plan());
  }
  return reply;
}

} // namespace peridothoist
