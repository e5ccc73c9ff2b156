/// Exchanges views and member state with other control processes.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlGossip.h>

#include <Peridothoist/Peers/PeerCodec.h>
#include <Peridothoist/Shell/Log.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// Limit of the changes sent with a request to a peer that may not hold them.
constexpr std::size_t kMaxPushedChangeBytes = 64 * 1024;

} // namespace

ControlGossip::ControlGossip(Reactor& aReactor,
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

ControlGossip::~ControlGossip()
{
  *mAlive = false;
}

void
ControlGossip::ExchangeNow(std::size_t aCount)
{
  const TimePoint now = mReactor.Now();
  mLastExchangeTime = now;
  mState.UpdateLocalMember(now);
  for (const Member& it : mState.mMembers.PickPeers(aCount, now, mRandom)) {
    StartExchange(it);
  }
}

void
ControlGossip::OnTick(bool aIsUrgent)
{
  const ExchangeSettings& settings = mState.mSettings.mExchange;
  const Duration interval =
    aIsUrgent ? settings.mUrgentInterval : settings.mInterval;
  // Due half a tick early, because otherwise rounding to ticks would lengthen
  // the interval by up to a tick.
  const TimePoint due = mLastExchangeTime.value_or(TimePoint()) + interval -
                        mState.mSettings.mTickInterval / 2;
  if (!mLastExchangeTime || mReactor.Now() >= due) {
    ExchangeNow(aIsUrgent ? settings.mUrgentPeerCount : settings.mPeerCount);
  }
}

void
ControlGossip::AddMembers(
  google::protobuf::RepeatedPtrField<peer::Member>& aMessages,
  const std::vector<Member>& aMembers)
{
  // The first member is this VM, which is sent in a separate field.
  const std::size_t otherCount = aMembers.size() - 1;
  const std::size_t count =
    std::min(otherCount, mState.mSettings.mExchange.mMaxMembersSent);
  const std::size_t first =
    count < otherCount ? mRandom.UniformBelow(otherCount) : 0;
  for (std::size_t n = 0; n < count; ++n) {
    *aMessages.Add() = ToMessage(aMembers[1 + (first + n) % otherCount]);
  }
}

template<typename Message>
void
ControlGossip::FillCommon(Message& aMessage)
{
  const TimePoint now = mReactor.Now();
  const std::vector<Member> members = mState.mMembers.CurrentMembers(now);
  *aMessage.mutable_self() = ToMessage(members.front());
  *aMessage.mutable_view() = mState.MakeState(now);
  AddMembers(*aMessage.mutable_members(), members);
  for (const KeySuspension& it :
       mState.mView.SuspendedKeys().Suspensions(now)) {
    *aMessage.add_suspensions() = ToMessage(it);
  }
  mState.mQuarantine.AppendTo(*aMessage.mutable_quarantine(), now);
}

template<typename Message>
void
ControlGossip::MergeCommon(const Message& aMessage)
{
  const TimePoint now = mReactor.Now();
  for (const peer::Suspension& it : aMessage.suspensions()) {
    mState.mView.SuspendedKeys().Suspend(FromMessage(it), now);
  }
  mState.mQuarantine.Merge(aMessage.quarantine(), now);
}

void
ControlGossip::StartExchange(const Member& aPeer)
{
  peer::ExchangeRequest request;
  FillCommon(request);
  const ViewDelta delta = mState.mView.ChangeLog().ChangesSince(
    aPeer.mStamp.mVersion, kMaxPushedChangeBytes);
  if (!delta.mNeedsSnapshot) {
    ViewStore::AddChanges(delta.mChanges, *request.mutable_changes());
  }
  const TimePoint sent = mReactor.Now();
  mPeers.Exchange(
    aPeer.mControlPeer,
    std::move(request),
    mState.mSettings.mExchange.mTimeout,
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
ControlGossip::OnReply(const std::optional<peer::ExchangeReply>& aReply,
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
  MergeCommon(*aReply);
  mState.mView.ApplyUpdate(*aReply);
  if (aReply->has_plan()) {
    mState.mView.ApplyPlan(FromMessage(aReply->plan()));
  }
  mState.OnPeerReply(aReply->view(), aSent);
}

peer::ExchangeReply
ControlGossip::HandleRequest(const peer::ExchangeRequest& aRequest)
{
  const TimePoint now = mReactor.Now();
  const Member sender = FromMessage(aRequest.self());
  if (sender.mVm != mState.mSettings.mVm) {
    mState.mMembers.MergeRequest(
      sender, MembersFromMessages(aRequest.members()), now);
  }
  MergeCommon(aRequest);
  mState.mView.ApplyChanges(aRequest.changes());
  mState.UpdateLocalMember(now);
  peer::ExchangeReply reply;
  FillCommon(reply);
  mState.mView.FillUpdate(aRequest.view().version(), reply);
  if (mState.mView.Plan().mEpoch > aRequest.view().plan_epoch()) {
    *reply.mutable_plan() = ToMessage(mState.mView.Plan());
  }
  return reply;
}

} // namespace peridothoist
