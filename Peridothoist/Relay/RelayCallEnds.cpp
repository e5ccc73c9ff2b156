/// What the relay machine makes of events and of the ends of calls: answers,
/// further tries and refusals.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayMachine.h>

#include <algorithm>
#include <array>

namespace peridothoist {

namespace {

constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

/// A status by which a caller would take the request for not run.
bool
PromisesNotRun(int aStatus)
{
  return aStatus == kTooManyRequests || aStatus == kUnavailable ||
         aStatus == kRequestTimeout || aStatus == kMisdirected;
}

} // namespace

void
RelayMachine::OnStreamHead(std::uint64_t aId,
                           std::uint32_t aAttempt,
                           RelayAnswer aHead)
{
  Call* call = FindCall(aId, aAttempt);
  if (call != nullptr) {
    call->mHead = std::move(aHead);
  }
}

void
RelayMachine::OnEvent(std::uint64_t aId,
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
  call->mLastSign = aNow;
  if (!call->mSawEvent) {
    call->mSawEvent = true;
    mLoads.OnSuccess(call->mUpstream);
    ArmSilence(state);
  }
  state.mVerdict.Advance(RunVerdict::MayHaveRun);
  if (aEvent.mEventId && *aEvent.mEventId <= state.mLastEventId) {
    return; // The caller has it already.
  }
  if (!state.mHeadSent) {
    state.mHeadSent = true;
    Command(RelayCommandKind::SendHead, state).mAnswer = call->mHead;
  }
  if (aEvent.mEventId) {
    state.mLastEventId = *aEvent.mEventId;
  }
  const RelayEngines* engines = EnginesOf(state);
  if (engines != nullptr) {
    call->mTokens += engines->mTokensPerEvent;
    mLoads.OnGrown(call->mUpstream, engines->mTokensPerEvent);
  }
  Command(RelayCommandKind::SendEvent, state).mEvent = std::move(aEvent.mText);
}

void
RelayMachine::OnCallEnd(std::uint64_t aId,
                        std::uint32_t aAttempt,
                        RelayCallEnd aEnd,
                        TimePoint aNow,
                        RelayCommands& aOut)
{
  static constexpr std::array<EndHandler, 4> kHandlers = {
    &RelayMachine::OnWhole,
    &RelayMachine::OnPrefill,
    &RelayMachine::OnStream,
    &RelayMachine::OnReserve
  };
  mNow = aNow;
  mOut = &aOut;
  if (FindCall(aId, aAttempt) == nullptr) {
    return; // It was cancelled.
  }
  State& state = *Find(aId);
  const Call call = TakeCall(state);
  if (aEnd.mLoad) {
    mLoads.OnStated(call.mUpstream, *aEnd.mLoad, aNow);
  }
  const CallOutcome& outcome = aEnd.mOutcome;
  const bool counted = outcome.mMayHaveBeenSent && !aEnd.mNotRun &&
                       call.mKind != RelayCallKind::Reserve;
  if (counted) {
    const bool prefill = call.mKind == RelayCallKind::Prefill;
    const bool good = outcome.Ok() && (aEnd.mSound || prefill);
    mLoads.Outcomes().OnOutcome(call.mUpstream, !good, aNow);
  }
  if (!outcome.mMayHaveBeenSent) {
    OnUnsent(state, call, aEnd);
  } else if (outcome.mEnd == CallEnd::Whole && aEnd.mNotRun) {
    OnRejected(state, call, aEnd.mOther);
  } else {
    (this->*kHandlers[static_cast<std::size_t>(call.mKind)])(state, call, aEnd);
  }
  Pump();
}

RelayMachine::Call
RelayMachine::TakeCall(State& aState)
{
  PH_ASSERT(aState.mCall);
  Call call = std::move(*aState.mCall);
  aState.mCall.reset();
  mLoads.OnDone(call.mUpstream, call.mTokens);
  return call;
}

/// A decode engine didn't take a prefill result: its memory is full, or the
/// result has lapsed.
void
RelayMachine::OnHandleRefused(State& aState, const Call& aCall)
{
  const RelayEngines* engines = EnginesOf(aState);
  const double used = static_cast<double>(mLoads.Work(aCall.mUpstream).mTokens);
  const bool full = engines != nullptr &&
                    (used > mSettings.mLikelyFull *
                              static_cast<double>(engines->mMemoryTokens) ||
                     mLoads.StatedBeyond(aCall.mUpstream, mNow) > 1);
  if (!MayRepeatNow(aState)) {
    Refuse(aState, RefusalKind::NoUpstream);
    return;
  }
  aState.mOwesRepeat = true;
  if (full) {
    mLoads.OnFailure(aCall.mUpstream, mNow);
  } else {
    mLoads.OnFailure(aState.mHandleUpstream, mNow);
  }
  if (aState.mArrival.mRoute->mMaxAttempts > 1) {
    aState.mExcluded.insert(aCall.mUpstream);
  }
  // The same engine may be asked again: it has not run the request.
  aState.mTried.erase(aCall.mUpstream);
  if (!full || !KeepHandle(aState, aCall)) {
    aState.mHandle = aCall.mHandle;
    DropHandle(aState);
  }
  Begin(aState);
}

/// Takes back a handle that a call was to use and hasn't. False when there is
/// none, or it lapses too soon for another try.
bool
RelayMachine::KeepHandle(State& aState, const Call& aCall)
{
  if (!aCall.mTakesHandle) {
    return false;
  }
  aState.mHandle = aCall.mHandle;
  aState.mHandleAddress = aCall.mHandleAddress;
  if (mNow + mSettings.mHandleMargin < aState.mHandleUntil) {
    return true;
  }
  aState.mDirectOnly = true;
  DropHandle(aState);
  return false;
}

/// The engines of a request's service; null when it has none.
const RelayEngines*
RelayMachine::EnginesOf(const State& aState) const
{
  const RelayService* service =
    mConfiguration->FindService(aState.mArrival.mService);
  return service != nullptr && service->mEngines ? &*service->mEngines
                                                 : nullptr;
}

/// Counts memory at the decode engine while a prefill engine reads the prompt.
void
RelayMachine::KeepRoom(State& aState, const std::string& aUpstream)
{
  ReleaseRoom(aState);
  aState.mDecodeUpstream = aUpstream;
  mLoads.OnSent(aUpstream, aState.mArrival.mMemoryTokens);
}

void
RelayMachine::ReleaseRoom(State& aState)
{
  if (!aState.mDecodeUpstream.empty()) {
    mLoads.OnDone(aState.mDecodeUpstream, aState.mArrival.mMemoryTokens);
    aState.mDecodeUpstream.clear();
  }
}

void
RelayMachine::OnUnsent(State& aState,
                       const Call& aCall,
                       const RelayCallEnd& aEnd)
{
  ++mCounters.mUnsent;
  if (aEnd.mOutcome.mEnd != CallEnd::Withheld) {
    mLoads.OnGone(aCall.mUpstream, mNow);
    OnUpstreamLost(aCall.mUpstream);
  }
  aState.mTried.erase(aCall.mUpstream);
  aState.mExcluded.insert(aCall.mUpstream);
  KeepHandle(aState, aCall);
  if (aCall.mKind == RelayCallKind::Prefill) {
    ReleaseRoom(aState);
    aState.mDirectOnly = true;
  }
  if (aCall.mKind == RelayCallKind::Reserve) {
    ReleaseRoom(aState);
  }
  if (++aState.mUnsent > mSettings.mMaxUnsent) {
    Refuse(aState, RefusalKind::NoUpstream);
    return;
  }
  Begin(aState);
}

void
RelayMachine::OnRejected(State& aState, const Call& aCall, bool aOther)
{
  if (aCall.mKind == RelayCallKind::Reserve) {
    OnNotReserved(aState, aCall);
    return;
  }
  ++mCounters.mRejected;
  aState.mDirectOnly = true;
  if (aOther) {
    mLoads.OnGone(aCall.mUpstream, mNow);
    OnUpstreamLost(aCall.mUpstream);
    aState.mExcluded.insert(aCall.mUpstream);
    KeepHandle(aState, aCall);
    if (aCall.mKind != RelayCallKind::Prefill) {
      // The upstream that was meant never got it.
      if (!MayRepeatNow(aState)) {
        Refuse(aState, RefusalKind::NoUpstream);
        return;
      }
      aState.mOwesRepeat = true;
      aState.mTried.erase(aCall.mUpstream);
      Begin(aState);
      return;
    }
  }
  if (aCall.mKind == RelayCallKind::Prefill) {
    OnPrefillFailed(aState, aCall);
    return;
  }
  if (aCall.mTakesHandle && !aOther) {
    OnHandleRefused(aState, aCall);
    return;
  }
  mLoads.OnFailure(aCall.mUpstream, mNow);
  aState.mExcluded.insert(aCall.mUpstream);
  // Not run anywhere yet: even a request that may not repeat may go on.
  TryAgain(aState, RefusalKind::NoUpstream);
}

void
RelayMachine::OnPrefill(State& aState, const Call& aCall, RelayCallEnd& aEnd)
{
  if (aEnd.mOutcome.Ok() && !aEnd.mHandle.empty()) {
    mLoads.OnSuccess(aCall.mUpstream);
    aState.mHandle = aEnd.mHandle;
    aState.mHandleAddress = aCall.mAddress;
    aState.mHandleUpstream = aCall.mUpstream;
    const RelayEngines* engines = EnginesOf(aState);
    aState.mHandleUntil =
      mNow + (engines == nullptr ? Duration(0) : engines->mHandleLasts);
    const RelayUpstream* decode = mRoster.Find(aState.mDecodeUpstream);
    ReleaseRoom(aState);
    if (decode != nullptr && !decode->mLeaving) {
      StartOn(aState, *decode, RelayCallKind::Stream);
      return;
    }
    DropHandle(aState);
    aState.mDirectOnly = true;
    Begin(aState);
    return;
  }
  if (aEnd.mOutcome.mEnd == CallEnd::Broken) {
    ++mCounters.mBroken;
    mCrashes.OnBroken(aCall.mUpstream, aState.mArrival.mDigest, mNow);
  }
  OnPrefillFailed(aState, aCall);
}

/// Goes on without a prefill engine. What came to one and wasn't taken counts
/// like a send of the request, so that the next is a repeat.
void
RelayMachine::OnPrefillFailed(State& aState, const Call& aCall)
{
  aState.mOwesRepeat = true;
  aState.mDirectOnly = true;
  ReleaseRoom(aState);
  mLoads.OnFailure(aCall.mUpstream, mNow);
  Begin(aState);
}

void
RelayMachine::OnReserve(State& aState, const Call& aCall, RelayCallEnd& aEnd)
{
  if (!aEnd.mOutcome.Ok() || aEnd.mReservation.empty()) {
    OnNotReserved(aState, aCall);
    return;
  }
  ++mCounters.mReserved;
  DropReservation(aState);
  aState.mReservation = aEnd.mReservation;
  aState.mReservationUpstream = aCall.mUpstream;
  aState.mReservationAddress = aCall.mAddress;
  aState.mReservedUntil =
    aCall.mLastSign + mSettings.mReservationLasts - mSettings.mHandleMargin;
  const RelayUpstream* decode = mRoster.Find(aCall.mUpstream);
  if (decode == nullptr || decode->mLeaving) {
    ReleaseRoom(aState);
    Begin(aState);
    return;
  }
  BeginPrefill(aState, *decode);
}

/// The engine has no room after all: another one, or the wait for room.
void
RelayMachine::OnNotReserved(State& aState, const Call& aCall)
{
  ++mCounters.mNotReserved;
  ReleaseRoom(aState);
  mLoads.OnFull(aCall.mUpstream, mSettings.mFullAvoidance, mNow);
  if (++aState.mReserveTries % mSettings.mMostReserveTries == 0) {
    OnNoChoice(aState, NoChoice::Full);
    return;
  }
  Begin(aState);
}

void
RelayMachine::OnWhole(State& aState, const Call& aCall, RelayCallEnd& aEnd)
{
  const bool whole = aEnd.mOutcome.mEnd == CallEnd::Whole && aEnd.mSound;
  if (!whole) {
    OnFailed(aState, aCall, aEnd.mOutcome.mEnd == CallEnd::Broken);
    return;
  }
  aState.mVerdict.Advance(RunVerdict::Ran);
  mSuspects.OnFinished(aState.mArrival.mDigest);
  const bool failed = aEnd.mAnswer.mStatus >= kServerError;
  if (!failed) {
    mLoads.OnSuccess(aCall.mUpstream);
  }
  if (failed && aState.mArrival.mRoute->MayRepeat() && !aState.mHeadSent &&
      MayTryAgain(aState)) {
    aState.mExcluded.insert(aCall.mUpstream);
    const RelayStage stage = aCall.mKind == RelayCallKind::Stream
                               ? RelayStage::Decode
                               : RelayStage::Plain;
    const Choice other = mChooser.Choose(QuestionFor(aState, stage), mNow);
    if (other.mUpstream != nullptr && MayRepeatNow(aState)) {
      StartOn(aState, *other.mUpstream, aCall.mKind);
      return;
    }
  }
  if (PromisesNotRun(aEnd.mAnswer.mStatus)) {
    // It ran: the upstream's status would tell the caller otherwise.
    Refuse(aState, RefusalKind::UpstreamFailed);
    return;
  }
  Answer(aState, std::move(aEnd.mAnswer));
}

void
RelayMachine::OnStream(State& aState, const Call& aCall, RelayCallEnd& aEnd)
{
  const bool success = aEnd.mOutcome.Ok() && aEnd.mSound;
  if (aEnd.mOutcome.mEnd == CallEnd::Whole && !aEnd.mOutcome.Ok() &&
      !aState.mHeadSent) {
    OnWhole(aState, aCall, aEnd);
    return;
  }
  if (!success) {
    OnFailed(aState, aCall, aEnd.mOutcome.mEnd == CallEnd::Broken);
    return;
  }
  mLoads.OnSuccess(aCall.mUpstream);
  mSuspects.OnFinished(aState.mArrival.mDigest);
  if (!aState.mHeadSent) {
    aState.mHeadSent = true;
    Command(RelayCommandKind::SendHead, aState).mAnswer = aCall.mHead;
  }
  Command(RelayCommandKind::EndStream, aState);
  Finish(aState);
}

void
RelayMachine::OnFailed(State& aState, const Call& aCall, bool aBroken)
{
  aState.mVerdict.Advance(RunVerdict::MayHaveRun);
  mLoads.OnFailure(aCall.mUpstream, mNow);
  aState.mExcluded.insert(aCall.mUpstream);
  aState.mDirectOnly = true;
  if (aBroken) {
    ++mCounters.mBroken;
    mCrashes.OnBroken(aCall.mUpstream, aState.mArrival.mDigest, mNow);
  }
  if (!aState.mArrival.mRoute->MayRepeat()) {
    Refuse(aState, RefusalKind::UpstreamFailed);
    return;
  }
  TryAgain(aState, RefusalKind::UpstreamFailed);
}

bool
RelayMachine::MayTryAgain(const State& aState) const
{
  return aState.mTried.size() < aState.mArrival.mRoute->mMaxAttempts &&
         mNow + mSettings.mLeastTimeLeft < aState.mArrival.mDeadline &&
         !mSuspects.QuarantinedUntil(aState.mArrival.mDigest, mNow);
}

void
RelayMachine::TryAgain(State& aState, RefusalKind aElse)
{
  if (!MayTryAgain(aState)) {
    Refuse(aState, aElse);
    return;
  }
  if (aState.mHeadSent) {
    ++mCounters.mResumed;
  }
  Begin(aState);
}

} // namespace peridothoist
