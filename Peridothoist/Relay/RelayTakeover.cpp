/// The part of RelayStateMachine that handles upstreams that send nothing for a
/// while. An upstream in good order may be silent and then continue, so its
/// call is given up only when another upstream has taken the request over: for
/// a stream, once the other upstream has sent an event; for an idempotent
/// request, once it has responded.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayStateMachine.h>

namespace peridothoist {

/// Returns how long the upstream of a call may send nothing until another one
/// is tried.
Duration
RelayStateMachine::InactivityTimeout(const State& aState,
                                     const Call& aCall) const
{
  if (aCall.mKind == RelayCallKind::Whole) {
    return std::chrono::duration_cast<Duration>(
      aState.mRequest.mRoute->mTargetLatency *
      mSettings.mResponseTimeoutFactor);
  }
  return aCall.mHasEvent ? mSettings.mEventGapTimeout
                         : mSettings.mFirstEventTimeout;
}

void
RelayStateMachine::ArmInactivityTimer(State& aState)
{
  Call& call = *aState.mCall;
  if (aState.mRequest.mRoute->IsRetryable() && RunsRequest(call.mKind)) {
    SetInactivityDeadline(aState,
                          call.mLastActivity + InactivityTimeout(aState, call));
  }
}

void
RelayStateMachine::SetInactivityDeadline(State& aState, TimePoint aAt)
{
  Call& call = *aState.mCall;
  call.mInactivityDeadline = aAt;
  mTimers.Add(aAt, { TimerKind::TokenGap, aState.mRequest.mId, call.mAttempt });
}

bool
RelayStateMachine::IsSilent(const State& aState) const
{
  const Call& call = *aState.mCall;
  return !call.mIsPaused &&
         mNow >= call.mLastActivity + InactivityTimeout(aState, call);
}

void
RelayStateMachine::OnInactivityTimer(State& aState)
{
  if (mNow < aState.mCall->mInactivityDeadline || aState.mSecondCall) {
    return; // A newer timer is armed, or another upstream is being tried.
  }
  if (aState.mCall->mIsPaused) {
    return; // OnCallResumed() arms the timer again.
  }
  if (IsSilent(aState)) {
    StartTakeover(aState);
  } else {
    ArmInactivityTimer(aState);
  }
}

void
RelayStateMachine::OnCallPaused(std::uint64_t aId,
                                std::uint32_t aAttempt,
                                TimePoint aNow)
{
  mNow = aNow;
  Call* call = FindCall(aId, aAttempt);
  if (call != nullptr) {
    call->mIsPaused = true;
  }
}

void
RelayStateMachine::OnCallResumed(std::uint64_t aId,
                                 std::uint32_t aAttempt,
                                 TimePoint aNow)
{
  mNow = aNow;
  Call* call = FindCall(aId, aAttempt);
  if (call == nullptr || !call->mIsPaused) {
    return;
  }
  call->mIsPaused = false;
  call->mLastActivity = aNow;
  State& state = *Find(aId);
  if (state.mCall && state.mCall->mAttempt == aAttempt) {
    ArmInactivityTimer(state);
  }
}

/// Returns whether a retry of the request could be sent now.
bool
RelayStateMachine::MayTakeOver(const State& aState)
{
  return MayRetry(aState) && HasRetryBudget(aState) &&
         !mPolicy->CheckRelay(aState.mRequest, mNow);
}

/// Tries another upstream for a request whose upstream is silent.
void
RelayStateMachine::StartTakeover(State& aState)
{
  const bool isStream = aState.mCall->mKind == RelayCallKind::Stream;
  if (isStream && EnginesOf(aState) == nullptr) {
    return; // Only engines can reserve capacity.
  }
  UpstreamQuery query =
    QueryFor(aState, isStream ? RelayStage::Decode : RelayStage::Plain);
  query.mExcludedUpstreams.insert(aState.mCall->mUpstream);
  const RelayUpstream* other =
    MayTakeOver(aState) ? mChooser.Choose(query, mNow).mUpstream : nullptr;
  if (other == nullptr) {
    RetryTakeoverLater(aState);
  } else if (isStream) {
    HoldMemory(aState, other->mId);
    aState.mSecondCall = StartCall(aState, *other, RelayCallKind::Reserve);
  } else if (ChargeRetry(aState)) {
    aState.mSecondCall = StartCall(aState, *other, RelayCallKind::Whole);
  }
}

void
RelayStateMachine::RetryTakeoverLater(State& aState)
{
  if (MayRetry(aState)) {
    SetInactivityDeadline(aState, mNow + mSettings.mTakeoverRetryInterval);
  }
}

/// Handles the end of a call to the other upstream. The first call is open.
void
RelayStateMachine::OnSecondCallEnd(State& aState,
                                   const Call& aCall,
                                   RelayCallEnd& aEnd)
{
  if (aCall.mKind == RelayCallKind::Reserve) {
    ReleaseMemory(aState);
    if (aEnd.HasReserved()) {
      KeepReservation(aState, aCall, aEnd);
      StartSecondStream(aState, aCall.mUpstream);
      return;
    }
  } else if (aEnd.IsResult() && MayEndStream(aState, aCall)) {
    GiveUpSilentCall(aState);
    const CallEndHandler handler = aCall.mKind == RelayCallKind::Stream
                                     ? &RelayStateMachine::OnStreamCallEnd
                                     : &RelayStateMachine::OnWholeCallEnd;
    (this->*handler)(aState, aCall, aEnd);
    return;
  }
  CountFailedCall(aState, aCall, aEnd);
  RetryTakeoverLater(aState);
}

/// Resumes a silent stream at an upstream at which capacity is reserved, unless
/// the first upstream has continued or a retry is not allowed any more. The
/// first call stays open until the other upstream sends an event.
void
RelayStateMachine::StartSecondStream(State& aState,
                                     const std::string& aUpstream)
{
  const RelayUpstream* next = mUpstreamList.Find(aUpstream);
  const bool isUsable =
    next != nullptr && next->AcceptsRequests() && FitsOrigin(aState, *next);
  if (!IsSilent(aState)) {
    ReleaseReservation(aState);
    ArmInactivityTimer(aState);
  } else if (isUsable && MayTakeOver(aState) && ChargeRetry(aState)) {
    aState.mSecondCall = StartCall(aState, *next, RelayCallKind::Stream);
  } else {
    ReleaseReservation(aState);
    RetryTakeoverLater(aState);
  }
}

/// Called with an event of either call. The first call that sends one goes on,
/// and a run at the other upstream is cancelled. A reservation ends by itself.
void
RelayStateMachine::KeepCallWithEvent(State& aState, std::uint32_t aAttempt)
{
  const bool hasSecondStream =
    aState.mSecondCall && aState.mSecondCall->mKind == RelayCallKind::Stream;
  if (!hasSecondStream) {
    return;
  }
  if (aState.mSecondCall->mAttempt != aAttempt) {
    CancelSecondCall(aState, CancelReason::NotNeeded);
    ArmInactivityTimer(aState);
    return;
  }
  GiveUpSilentCall(aState);
  ContinueAtSecondCall(aState);
}

/// Makes the second call the only one.
void
RelayStateMachine::ContinueAtSecondCall(State& aState)
{
  aState.mCall = std::move(aState.mSecondCall);
  aState.mSecondCall.reset();
  aState.mSkipPrefill = true;
  mCounters.mResumed += aState.mHeadSent ? 1 : 0;
  ArmInactivityTimer(aState);
}

void
RelayStateMachine::GiveUpSilentCall(State& aState)
{
  const Call call = CloseCall(aState.mCall);
  Cancel(aState, call, CancelReason::Silent);
  mLoads.OnFailure(call.mUpstream, mNow);
  aState.mExcludedUpstreams.insert(call.mUpstream);
}

/// Called when the first call has ended. Returns true if it failed and the
/// second one continues in its place.
bool
RelayStateMachine::ContinueAfterFirstCall(State& aState,
                                          const Call& aFirst,
                                          const RelayCallEnd& aEnd)
{
  if (!aState.mSecondCall || aEnd.IsResult()) {
    CancelSecondCall(aState, CancelReason::NotNeeded);
    return false;
  }
  CountFailedCall(aState, aFirst, aEnd);
  ContinueAtSecondCall(aState);
  return true;
}

/// Records the failure of a call while another call of the request is open.
void
RelayStateMachine::CountFailedCall(State& aState,
                                   const Call& aCall,
                                   const RelayCallEnd& aEnd)
{
  const bool isReserve = aCall.mKind == RelayCallKind::Reserve;
  const bool isReached =
    aEnd.mOutcome.mMayHaveBeenSent && !aEnd.mIsWrongProcess;
  if (!isReached) {
    OnUpstreamNotReached(aState, aCall, aEnd);
  } else if (isReserve) {
    ++mCounters.mReserveRefused;
    mLoads.OnFull(aCall.mUpstream, mSettings.mFullAvoidance, mNow);
  } else {
    OnFailedRun(aState, aCall, aEnd);
  }
}

/// Records that a call did not reach its upstream: the call was withheld,
/// another process has the address, or no connection was made.
void
RelayStateMachine::OnUpstreamNotReached(State& aState,
                                        const Call& aCall,
                                        const RelayCallEnd& aEnd)
{
  const bool isSent = aEnd.mOutcome.mMayHaveBeenSent;
  mCounters.mUnsent += isSent ? 0 : 1;
  aState.mTriedUpstreams.erase(aCall.mUpstream);
  if (aCall.mIsRetry && !isSent) {
    RetryBudgetOf(aState.mRequest.mService).OnRetryNotSent();
    aState.mNextSendIsRetry = true;
  }
  if (aEnd.mOutcome.mEnd == CallEnd::Withheld) {
    aState.mExcludedUpstreams.insert(aCall.mUpstream);
  } else if (!isSent && aCall.mTunnel.empty()) {
    OnPathFailed(aState, aCall);
  } else if (!isSent && aEnd.mNotReached != NotReachedCause::Upstream) {
    OnTunnelFailed(aState, aCall, aEnd.mNotReached);
  } else {
    mLoads.OnGone(aCall.mUpstream, mNow);
    OnUpstreamLost(aCall.mUpstream);
    aState.mExcludedUpstreams.insert(aCall.mUpstream);
  }
}

/// Records that an upstream failed to run the request, or rejected it.
void
RelayStateMachine::OnFailedRun(State& aState,
                               const Call& aCall,
                               const RelayCallEnd& aEnd)
{
  mLoads.OnFailure(aCall.mUpstream, mNow);
  aState.mExcludedUpstreams.insert(aCall.mUpstream);
  if (aEnd.mNotRun) {
    ++mCounters.mRejected;
    return;
  }
  aState.mVerdict.Advance(RunVerdict::MayHaveRun);
  if (aEnd.mOutcome.mEnd == CallEnd::Broken) {
    OnCallBroken(aState, aCall);
  }
}

void
RelayStateMachine::CancelSecondCall(State& aState, CancelReason aReason)
{
  if (!aState.mSecondCall) {
    return;
  }
  const Call call = CloseCall(aState.mSecondCall);
  Cancel(aState, call, aReason);
  if (call.mKind == RelayCallKind::Reserve) {
    ReleaseMemory(aState);
  }
}

} // namespace peridothoist
