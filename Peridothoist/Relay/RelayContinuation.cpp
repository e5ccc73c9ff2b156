/// The part of RelayStateMachine that lets a call go on with a stream of which
/// the caller has a part already. The upstream that is called may fail in any
/// way, also with a response that looks like a success.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayStateMachine.h>

namespace peridothoist {

namespace {

std::string
ContentTypeOf(const RelayResponse& aHead)
{
  const auto it = aHead.mHeaders.find("content-type");
  return it == aHead.mHeaders.end() ? std::string() : it->second;
}

} // namespace

void
RelayStateMachine::SendHead(State& aState, const Call& aCall)
{
  aState.mHeadSent = true;
  aState.mSentHead = aCall.mHead;
  Command(RelayCommandKind::SendHead, aState).mResponse = aCall.mHead;
}

/// Returns whether the response is of the kind that the caller was told.
bool
RelayStateMachine::FitsSentHead(const State& aState, const Call& aCall)
{
  return aCall.mHead.mStatus == aState.mSentHead.mStatus &&
         ContentTypeOf(aCall.mHead) == ContentTypeOf(aState.mSentHead);
}

/// Returns whether an event may come next in a call that goes on with a stream.
/// Ids may grow by more than 1, but not by more than they did before.
bool
RelayStateMachine::MayContinue(const State& aState,
                               const Call& aCall,
                               const RelayEvent& aEvent)
{
  if (!aState.mHeadSent || aCall.mHasSentEvent) {
    return true;
  }
  const std::uint64_t last = aState.mLastEventId;
  const bool isGap = aEvent.mEventId && *aEvent.mEventId > last &&
                     *aEvent.mEventId - last > aState.mMaxIdStep;
  return FitsSentHead(aState, aCall) && !isGap;
}

/// Returns whether the end of a successful response is the end of the stream. A
/// call that goes on with a stream may find that all of it has been sent.
bool
RelayStateMachine::MayEndStream(const State& aState, const Call& aCall)
{
  return !aState.mHeadSent || aCall.mHasSentEvent ||
         (FitsSentHead(aState, aCall) && !aCall.mHasUnnumberedEvent);
}

/// Gives up a call whose response does not continue the caller's stream.
void
RelayStateMachine::OnNoContinuation(State& aState, std::uint32_t aAttempt)
{
  const bool isSecond =
    aState.mSecondCall && aState.mSecondCall->mAttempt == aAttempt;
  const Call call = CloseCall(isSecond ? aState.mSecondCall : aState.mCall);
  Cancel(aState, call, CancelReason::NoContinuation);
  if (isSecond) {
    mLoads.OnFailure(call.mUpstream, mNow);
    aState.mExcludedUpstreams.insert(call.mUpstream);
    RetryTakeoverLater(aState);
  } else if (aState.mSecondCall) {
    ContinueAtSecondCall(aState);
  } else {
    OnCallFailed(aState, call, false);
  }
  DispatchWaiting();
}

} // namespace peridothoist
