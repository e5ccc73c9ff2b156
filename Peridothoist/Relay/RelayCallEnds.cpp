/// The part of RelayStateMachine that handles stream events and ended calls,
/// and decides between responding, retrying and refusing.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayStateMachine.h>

#include <Peridothoist/Core/DurationUnits.h>

#include <algorithm>
#include <array>

namespace peridothoist {

void
RelayStateMachine::OnStreamHead(std::uint64_t aId,
                                std::uint32_t aAttempt,
                                RelayResponse aHead)
{
  Call* call = FindCall(aId, aAttempt);
  if (call != nullptr) {
    call->mHead = std::move(aHead);
  }
}

void
RelayStateMachine::OnEvent(std::uint64_t aId,
                           std::uint32_t aAttempt,
                           RelayEvent aEvent,
                           TimePoint aNow,
                           RelayCommands& aOut)
{
  mNow = aNow;
  mOut = &aOut;
  Call* call = FindCall(aId, aAttempt);
  if (call == nullptr) {
    return;
  }
  State& state = *Find(aId);
  if (!MayContinue(state, *call, aEvent)) {
    OnNoContinuation(state, aAttempt);
    return;
  }
  KeepCallWithEvent(state, aAttempt);
  call = &*state.mCall;
  call->mLastActivity = aNow;
  LearnPace(*call);
  if (!call->mHasEvent) {
    call->mHasEvent = true;
    call->mFirstEventAt = aNow;
    mLoads.OnSuccess(call->mUpstream);
    ArmInactivityTimer(state);
  }
  ExcusePartsOf(state, *call);
  state.mVerdict.Advance(RunVerdict::MayHaveRun);
  if (aEvent.mEventId && *aEvent.mEventId <= state.mLastEventId) {
    return; // The caller already has it.
  }
  if (!aEvent.mEventId && state.mHeadSent && !call->mHasSentEvent) {
    call->mHasUnnumberedEvent = true;
    return; // It doesn't tell where the stream goes on.
  }
  if (!state.mHeadSent) {
    PinOrigin(state, *call);
    SendHead(state, *call);
  }
  call->mHasSentEvent = true;
  if (aEvent.mEventId) {
    state.mMaxIdStep =
      std::max(state.mMaxIdStep, *aEvent.mEventId - state.mLastEventId);
    state.mLastEventId = *aEvent.mEventId;
  }
  const EngineLimits* engines = EnginesOf(state);
  if (engines != nullptr) {
    CountEvent(*call, engines->mTokensPerEvent);
  }
  Command(RelayCommandKind::SendEvent, state).mEvent = std::move(aEvent.mText);
}

/// Counts the memory of one event of a stream. A stream whose whole expected
/// output is counted grows only beyond that.
void
RelayStateMachine::CountEvent(Call& aCall, std::uint64_t aTokens)
{
  aCall.mUsedTokens += aTokens;
  std::uint64_t grown = aTokens;
  if (CountsWholeOutput()) {
    grown = std::max(aCall.mUsedTokens, aCall.mTokens) - aCall.mTokens;
  }
  aCall.mTokens += grown;
  mLoads.OnMemoryGrown(aCall.mUpstream, grown);
}

void
RelayStateMachine::OnCallEnd(std::uint64_t aId,
                             std::uint32_t aAttempt,
                             RelayCallEnd aEnd,
                             TimePoint aNow,
                             RelayCommands& aOut)
{
  static constexpr std::array<CallEndHandler, 4> kHandlers = {
    &RelayStateMachine::OnWholeCallEnd,
    &RelayStateMachine::OnPrefillCallEnd,
    &RelayStateMachine::OnStreamCallEnd,
    &RelayStateMachine::OnReserveCallEnd
  };
  mNow = aNow;
  mOut = &aOut;
  if (FindCall(aId, aAttempt) == nullptr) {
    return; // It was cancelled.
  }
  State& state = *Find(aId);
  const bool isSecond =
    state.mSecondCall && state.mSecondCall->mAttempt == aAttempt;
  const Call call = CloseCall(isSecond ? state.mSecondCall : state.mCall);
  if (aEnd.mLoad) {
    mLoads.OnLoadStated(call.mUpstream, *aEnd.mLoad, aNow);
  }
  CountOutcome(state, call, aEnd);
  const CallResult& outcome = aEnd.mOutcome;
  if (isSecond) {
    OnSecondCallEnd(state, call, aEnd);
  } else if (ContinueAfterFirstCall(state, call, aEnd)) {
    // The other call decides.
  } else if (!outcome.mMayHaveBeenSent) {
    OnNotSent(state, call, aEnd);
  } else if (outcome.mEnd == CallEnd::Whole && aEnd.mNotRun) {
    OnRejected(state, call, aEnd.mIsWrongProcess);
  } else {
    (this->*kHandlers[static_cast<std::size_t>(call.mKind)])(state, call, aEnd);
  }
  DispatchWaiting();
}

/// Counts how a call to an upstream ended. A request that two upstreams answer
/// with an error of their own is likely to be the cause itself, so the second
/// error does not count.
void
RelayStateMachine::CountOutcome(State& aState,
                                const Call& aCall,
                                const RelayCallEnd& aEnd)
{
  const CallResult& outcome = aEnd.mOutcome;
  const bool counted = outcome.mMayHaveBeenSent && !aEnd.mNotRun &&
                       aCall.mKind != RelayCallKind::Reserve;
  if (!counted) {
    return;
  }
  const bool isServerError = outcome.mEnd == CallEnd::Whole &&
                             aEnd.mIsVerified &&
                             outcome.mStatus >= kServerErrorStatus;
  if (isServerError && std::exchange(aState.mHadServerError, true)) {
    return;
  }
  const bool isPrefill = aCall.mKind == RelayCallKind::Prefill;
  const bool succeeded = outcome.IsSuccess() && (aEnd.mIsVerified || isPrefill);
  mLoads.Outcomes().OnOutcome(aCall.mUpstream, !succeeded, mNow);
  if (succeeded) {
    LearnCallTime(aCall);
  }
  if (succeeded && !isPrefill) {
    mCallTimes[aState.mRequest.mService].Add(mNow - aCall.mStartedAt);
  }
}

/// Learns the speed of a decode engine from the events of a stream.
void
RelayStateMachine::LearnPace(Call& aCall)
{
  const auto pace = aCall.mPace.OnEvent(mNow);
  const RelayUpstream* upstream = pace ? ProcessOf(aCall) : nullptr;
  if (upstream != nullptr && upstream->mStage == RelayStage::Decode) {
    mSpeeds.OnMeasured(SubjectOf(*upstream), ToSeconds(*pace), mNow);
  }
}

/// Learns the speed of a prefill engine or a plain upstream from a call that
/// succeeded.
void
RelayStateMachine::LearnCallTime(const Call& aCall)
{
  const bool isWhole = aCall.mKind == RelayCallKind::Whole;
  if (!isWhole && aCall.mKind != RelayCallKind::Prefill) {
    return;
  }
  const RelayStage stage = isWhole ? RelayStage::Plain : RelayStage::Prefill;
  const RelayUpstream* upstream = ProcessOf(aCall);
  if (upstream != nullptr && upstream->mStage == stage &&
      aCall.mWorkUnits > 0) {
    mSpeeds.OnMeasured(SubjectOf(*upstream),
                       ToSeconds(mNow - aCall.mStartedAt) / aCall.mWorkUnits,
                       mNow);
  }
}

RelayStateMachine::Call
RelayStateMachine::CloseCall(std::optional<Call>& aCall)
{
  PH_ASSERT(aCall);
  Call call = std::move(*aCall);
  aCall.reset();
  mLoads.OnDone(call.mUpstream, call.mTokens);
  return call;
}

/// Handles a decode engine's refusal of a prefill result: its memory is full,
/// or the result has expired.
void
RelayStateMachine::OnHandleRefused(State& aState, const Call& aCall)
{
  const EngineLimits* engines = EnginesOf(aState);
  const double used = static_cast<double>(mLoads.Work(aCall.mUpstream).mTokens);
  const bool full = engines != nullptr &&
                    (used > mSettings.mLikelyFullFraction *
                              static_cast<double>(engines->mMemoryTokens) ||
                     mLoads.UnaccountedRequests(aCall.mUpstream, mNow) > 1);
  if (!HasRetryBudget(aState)) {
    Refuse(aState, RefusalKind::NoUpstream);
    return;
  }
  aState.mNextSendIsRetry = true;
  if (full) {
    mLoads.OnFailure(aCall.mUpstream, mNow);
  } else {
    mLoads.OnFailure(aState.mHandleUpstream, mNow);
  }
  if (aState.mRequest.mRoute->mMaxAttempts > 1) {
    aState.mExcludedUpstreams.insert(aCall.mUpstream);
  }
  // The same engine may be called again: it has not run the request.
  aState.mTriedUpstreams.erase(aCall.mUpstream);
  if (!full || !ReclaimHandle(aState, aCall)) {
    aState.mHandle = aCall.mHandle;
    ReleaseHandle(aState);
  }
  PlaceRequest(aState);
}

/// Takes back the handle of a call that did not use it. Returns false when
/// there is none, or it expires too soon for another call.
bool
RelayStateMachine::ReclaimHandle(State& aState, const Call& aCall)
{
  if (!aCall.mUsesHandle) {
    return false;
  }
  aState.mHandle = aCall.mHandle;
  aState.mHandleAddress = aCall.mHandleAddress;
  if (mNow + mSettings.mHandleExpiryMargin < aState.mHandleExpiresAt) {
    return true;
  }
  aState.mSkipPrefill = true;
  ReleaseHandle(aState);
  return false;
}

/// Returns the engine limits of a request's service; null when it has no
/// engines.
const EngineLimits*
RelayStateMachine::EnginesOf(const State& aState) const
{
  const RelayService* service =
    mConfiguration->FindService(aState.mRequest.mService);
  return service != nullptr && service->mEngines ? &*service->mEngines
                                                 : nullptr;
}

/// Counts the request's memory at the decode engine, and the call there against
/// its limit, while a prefill engine reads the prompt.
void
RelayStateMachine::HoldMemory(State& aState, const std::string& aUpstream)
{
  ReleaseMemory(aState);
  aState.mDecodeUpstream = aUpstream;
  aState.mHeldTokens = MemoryToCount(aState);
  mLoads.OnSent(aUpstream, aState.mHeldTokens);
  if (aState.mChargedUpstream != aUpstream) {
    mLimiter.OnSent(aUpstream, mNow);
    aState.mChargedUpstream = aUpstream;
  }
}

void
RelayStateMachine::ReleaseMemory(State& aState)
{
  if (!aState.mDecodeUpstream.empty()) {
    mLoads.OnDone(aState.mDecodeUpstream, aState.mHeldTokens);
    aState.mDecodeUpstream.clear();
  }
}

void
RelayStateMachine::OnNotSent(State& aState,
                             const Call& aCall,
                             const RelayCallEnd& aEnd)
{
  OnUpstreamNotReached(aState, aCall, aEnd);
  ReclaimHandle(aState, aCall);
  if (aCall.mKind == RelayCallKind::Prefill) {
    ReleaseMemory(aState);
    aState.mSkipPrefill = true;
  }
  if (aCall.mKind == RelayCallKind::Reserve) {
    ReleaseMemory(aState);
  }
  ++aState.mUnsent;
  // Further direct tries would fail as well.
  const bool hasNoPath = mReach.IsCutOff() && ChooseTunnel(aState).empty();
  if (hasNoPath || aState.mUnsent > mSettings.mMaxUnsent) {
    Refuse(aState, RefusalKind::NoUpstream);
    return;
  }
  PlaceRequest(aState);
}

void
RelayStateMachine::OnRejected(State& aState,
                              const Call& aCall,
                              bool aWrongProcess)
{
  if (aCall.mKind == RelayCallKind::Reserve) {
    OnNotReserved(aState, aCall);
    return;
  }
  ++mCounters.mRejected;
  aState.mSkipPrefill = true;
  if (aWrongProcess) {
    mLoads.OnGone(aCall.mUpstream, mNow);
    OnUpstreamLost(aCall.mUpstream);
    aState.mExcludedUpstreams.insert(aCall.mUpstream);
    ReclaimHandle(aState, aCall);
    if (aCall.mKind != RelayCallKind::Prefill) {
      // The intended upstream never received it.
      if (!HasRetryBudget(aState)) {
        Refuse(aState, RefusalKind::NoUpstream);
        return;
      }
      aState.mNextSendIsRetry = true;
      aState.mTriedUpstreams.erase(aCall.mUpstream);
      PlaceRequest(aState);
      return;
    }
  }
  if (aCall.mKind == RelayCallKind::Prefill) {
    OnPrefillFailed(aState, aCall);
    return;
  }
  if (aCall.mUsesHandle && !aWrongProcess) {
    OnHandleRefused(aState, aCall);
    return;
  }
  mLoads.OnFailure(aCall.mUpstream, mNow);
  aState.mExcludedUpstreams.insert(aCall.mUpstream);
  // It has not run, so even a request that must not run twice may be retried.
  RetryOrRefuse(aState, RefusalKind::NoUpstream);
}

void
RelayStateMachine::OnPrefillCallEnd(State& aState,
                                    const Call& aCall,
                                    RelayCallEnd& aEnd)
{
  if (aEnd.mOutcome.IsSuccess() && !aEnd.mHandle.empty()) {
    mLoads.OnSuccess(aCall.mUpstream);
    aState.mHandle = aEnd.mHandle;
    aState.mHandleAddress = aCall.mAddress;
    aState.mHandleUpstream = aCall.mUpstream;
    const EngineLimits* engines = EnginesOf(aState);
    aState.mHandleExpiresAt =
      mNow + (engines == nullptr ? Duration(0) : engines->mHandleLifetime);
    const RelayUpstream* decode = mUpstreamList.Find(aState.mDecodeUpstream);
    ReleaseMemory(aState);
    if (decode != nullptr && decode->AcceptsRequests()) {
      StartCallOn(aState, *decode, RelayCallKind::Stream);
      return;
    }
    ReleaseHandle(aState);
    aState.mSkipPrefill = true;
    PlaceRequest(aState);
    return;
  }
  if (aEnd.mOutcome.mEnd == CallEnd::Broken) {
    OnCallBroken(aState, aCall);
  }
  OnPrefillFailed(aState, aCall);
}

/// Continues without a prefill engine. A failed prefill counts as a send of the
/// request, so the next send is a retry.
void
RelayStateMachine::OnPrefillFailed(State& aState, const Call& aCall)
{
  aState.mNextSendIsRetry = true;
  aState.mSkipPrefill = true;
  ReleaseMemory(aState);
  mLoads.OnFailure(aCall.mUpstream, mNow);
  PlaceRequest(aState);
}

void
RelayStateMachine::OnReserveCallEnd(State& aState,
                                    const Call& aCall,
                                    RelayCallEnd& aEnd)
{
  if (!aEnd.HasReserved()) {
    OnNotReserved(aState, aCall);
    return;
  }
  KeepReservation(aState, aCall, aEnd);
  const RelayUpstream* decode = mUpstreamList.Find(aCall.mUpstream);
  if (decode == nullptr || !decode->AcceptsRequests()) {
    ReleaseMemory(aState);
    PlaceRequest(aState);
    return;
  }
  PlacePrefill(aState, *decode);
}

/// Keeps a reservation for the call that will use it.
void
RelayStateMachine::KeepReservation(State& aState,
                                   const Call& aCall,
                                   const RelayCallEnd& aEnd)
{
  ++mCounters.mReserved;
  ReleaseReservation(aState);
  aState.mReservation = aEnd.mReservation;
  aState.mReservationUpstream = aCall.mUpstream;
  aState.mReservationAddress = aCall.mAddress;
  aState.mReservationExpiresAt = aCall.mLastActivity +
                                 mSettings.mReservationLifetime -
                                 mSettings.mHandleExpiryMargin;
}

/// Handles an engine's refusal of a reservation: tries another engine, or waits
/// for capacity after several refusals.
void
RelayStateMachine::OnNotReserved(State& aState, const Call& aCall)
{
  ++mCounters.mReserveRefused;
  ReleaseMemory(aState);
  mLoads.OnFull(aCall.mUpstream, mSettings.mFullAvoidance, mNow);
  if (++aState.mReserveAttempts % mSettings.mMaxReserveAttempts == 0) {
    OnNoUpstreamChosen(aState, NoChoiceReason::Full);
    return;
  }
  PlaceRequest(aState);
}

void
RelayStateMachine::OnWholeCallEnd(State& aState,
                                  const Call& aCall,
                                  RelayCallEnd& aEnd)
{
  const bool whole = aEnd.mOutcome.mEnd == CallEnd::Whole && aEnd.mIsVerified;
  if (!whole) {
    OnCallFailed(aState, aCall, aEnd.mOutcome.mEnd == CallEnd::Broken);
    return;
  }
  aState.mVerdict.Advance(RunVerdict::Ran);
  ExcuseContentsOf(aState);
  const bool failed = aEnd.mOutcome.mStatus >= kServerErrorStatus;
  if (!failed) {
    mLoads.OnSuccess(aCall.mUpstream);
  }
  if (failed && aState.mRequest.mRoute->IsRetryable() && !aState.mHeadSent &&
      MayRetry(aState)) {
    aState.mExcludedUpstreams.insert(aCall.mUpstream);
    const RelayStage stage = aCall.mKind == RelayCallKind::Stream
                               ? RelayStage::Decode
                               : RelayStage::Plain;
    const Choice other = mChooser.Choose(QueryFor(aState, stage), mNow);
    if (other.mUpstream != nullptr && HasRetryBudget(aState)) {
      StartCallOn(aState, *other.mUpstream, aCall.mKind);
      return;
    }
  }
  if (ImpliesNotRun(aEnd.mResponse.mStatus)) {
    // The request ran, but this status would tell the caller that it did not.
    Refuse(aState, RefusalKind::UpstreamFailed);
    return;
  }
  Respond(aState, std::move(aEnd.mResponse));
}

void
RelayStateMachine::OnStreamCallEnd(State& aState,
                                   const Call& aCall,
                                   RelayCallEnd& aEnd)
{
  const bool success = aEnd.mOutcome.IsSuccess() && aEnd.mIsVerified;
  if (aEnd.mOutcome.mEnd == CallEnd::Whole && !aEnd.mOutcome.IsSuccess() &&
      !aState.mHeadSent) {
    OnWholeCallEnd(aState, aCall, aEnd);
    return;
  }
  if (!success || !MayEndStream(aState, aCall)) {
    OnCallFailed(aState, aCall, aEnd.mOutcome.mEnd == CallEnd::Broken);
    return;
  }
  mLoads.OnSuccess(aCall.mUpstream);
  ExcuseContentsOf(aState);
  if (!aState.mHeadSent) {
    SendHead(aState, aCall);
  }
  Command(RelayCommandKind::EndStream, aState);
  Finish(aState);
}

void
RelayStateMachine::OnCallFailed(State& aState, const Call& aCall, bool aBroken)
{
  aState.mVerdict.Advance(RunVerdict::MayHaveRun);
  mLoads.OnFailure(aCall.mUpstream, mNow);
  aState.mExcludedUpstreams.insert(aCall.mUpstream);
  aState.mSkipPrefill = true;
  if (aBroken) {
    OnCallBroken(aState, aCall);
  }
  if (!aState.mRequest.mRoute->IsRetryable()) {
    Refuse(aState, RefusalKind::UpstreamFailed);
    return;
  }
  RetryOrRefuse(aState, RefusalKind::UpstreamFailed);
}

bool
RelayStateMachine::MayRetry(const State& aState) const
{
  return aState.mTriedUpstreams.size() < aState.mRequest.mRoute->mMaxAttempts &&
         mNow + mSettings.mMinTimeLeft < aState.mRequest.mDeadline &&
         mCrashEvidence.Check(aState.mContents, mNow) ==
           ContentVerdict::Allowed;
}

void
RelayStateMachine::RetryOrRefuse(State& aState, RefusalKind aRefusal)
{
  if (!MayRetry(aState)) {
    Refuse(aState, aRefusal);
    return;
  }
  if (aState.mHeadSent) {
    ++mCounters.mResumed;
  }
  PlaceRequest(aState);
}

} // namespace peridothoist
