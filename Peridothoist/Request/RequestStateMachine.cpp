#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/RequestStateMachine.h>

#include <algorithm>
#include <array>

namespace peridothoist {

namespace {

constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

/// Identifies a request's content in the table of suspects.
std::string
ContentDigest(const Arrival& aArrival)
{
  return aArrival.mWorkspace + '/' + aArrival.mRoute->mName + '/' +
         aArrival.mRequestDigest;
}

/// Returns whether the response is a gateway error. Another upstream may
/// respond without one.
bool
IsGatewayError(const PlainResult& aResult)
{
  return aResult.mCall.mStatus >= kBadGateway &&
         aResult.mCall.mStatus <= kGatewayTimeout;
}

} // namespace

RequestStateMachine::RequestStateMachine(EntryContext& aContext,
                                         AttemptStateMachine& aAttempts,
                                         Dispatcher& aDispatcher,
                                         UpstreamHealthTracker& aUpstreamHealth)
  : mContext(aContext)
  , mAttempts(aAttempts)
  , mDispatcher(aDispatcher)
  , mUpstreamHealth(aUpstreamHealth)
  , mRequestPolicy(aContext, aDispatcher)
  , mCloser(aContext, aAttempts, aDispatcher)
{
}

void
RequestStateMachine::OnArrival(Arrival aArrival)
{
  const std::uint64_t id = aArrival.mId;
  PH_ASSERT(aArrival.mRoute != nullptr);
  PH_ASSERT(mContext.mRequests.count(id) == 0);
  ++mContext.mCounters.mArrived;
  auto state = std::make_unique<RequestState>();
  RequestState& request = *state;
  mContext.mRequests.emplace(id, std::move(state));

  const Route& route = *aArrival.mRoute;
  request.mDigest = ContentDigest(aArrival);
  request.mQueueKey = route.mPlainPool.empty()
                        ? route.mPrefillPool + '/' + route.mDecodePool
                        : route.mPlainPool;
  request.mDeadline = aArrival.mArrivedAt + route.mDeadline;
  request.mArrival = std::move(aArrival);
  request.mQueueItem.mId = id;
  request.mQueueItem.mWorkspace = request.mArrival.mWorkspace;
  request.mQueueItem.mClass = route.mClass;
  request.mQueueItem.mCost = mDispatcher.EstimateCost(request.mArrival);
  request.mPieces = mDispatcher.EstimatePieces(request.mArrival);
  mContext.mTimers.Add(request.mDeadline, { TimerKind::Deadline, id, 0 });

  Duration retryAfter(0);
  const std::optional<RefusalKind> kind =
    mRequestPolicy.CheckArrival(request, retryAfter);
  if (kind) {
    mCloser.Refuse(request, *kind, retryAfter);
    return;
  }
  if (route.mIsIdempotent || request.mArrival.mIdempotencyKey.empty()) {
    mDispatcher.Enqueue(request);
    return;
  }
  StartClaim(request);
}

void
RequestStateMachine::StartClaim(RequestState& aRequest)
{
  aRequest.mPhase = RequestPhase::Claiming;
  aRequest.mClaim = ClaimState::Pending;
  RequestCommand& command =
    mContext.AddCommand(RequestCommandKind::InsertClaim, aRequest);
  command.mIdempotencyKey = aRequest.mArrival.mIdempotencyKey;
  command.mRequestDigest = aRequest.mArrival.mRequestDigest;
}

void
RequestStateMachine::OnClaim(RequestState& aRequest, const ClaimResult& aResult)
{
  static constexpr std::array<ClaimHandler, 5> kHandlers = {
    &RequestStateMachine::OnClaimInserted,
    &RequestStateMachine::OnClaimExists,
    &RequestStateMachine::OnClaimOtherBody,
    &RequestStateMachine::OnClaimUnreachable,
    &RequestStateMachine::OnClaimIndeterminate
  };
  if (aRequest.mClaim != ClaimState::Pending) {
    ++mContext.mCounters.mEventsDropped;
    return;
  }
  const bool mayHoldRow = aResult.mKind == ClaimResultKind::Inserted ||
                          aResult.mKind == ClaimResultKind::Indeterminate;
  aRequest.mClaim = mayHoldRow ? ClaimState::Held : ClaimState::Closed;
  aRequest.mRowVersion = aResult.mRowVersion;
  if (aRequest.mPhase == RequestPhase::Closing) {
    mCloser.CloseIfNothingIsOpen(aRequest);
    return;
  }
  const ClaimHandler handler =
    kHandlers[static_cast<std::size_t>(aResult.mKind)];
  (this->*handler)(aRequest, aResult);
}

void
RequestStateMachine::OnClaimInserted(RequestState& aRequest,
                                     const ClaimResult& /*aResult*/)
{
  mDispatcher.Enqueue(aRequest);
}

void
RequestStateMachine::OnClaimExists(RequestState& aRequest,
                                   const ClaimResult& aResult)
{
  if (!aResult.mStoredOutcome) {
    aRequest.mVerdict.Advance(RunVerdict::MayHaveRun);
    mCloser.Refuse(aRequest, RefusalKind::InProgress);
    return;
  }
  aRequest.mVerdict.Advance(RunVerdict::Ran);
  mCloser.RespondWithStored(aRequest, *aResult.mStoredOutcome);
}

void
RequestStateMachine::OnClaimOtherBody(RequestState& aRequest,
                                      const ClaimResult& /*aResult*/)
{
  mCloser.Refuse(aRequest, RefusalKind::IdempotencyKeyMismatch);
}

void
RequestStateMachine::OnClaimUnreachable(RequestState& aRequest,
                                        const ClaimResult& /*aResult*/)
{
  mCloser.Refuse(aRequest, RefusalKind::ClaimUnavailable);
}

void
RequestStateMachine::OnClaimIndeterminate(RequestState& aRequest,
                                          const ClaimResult& /*aResult*/)
{
  mCloser.Refuse(aRequest, RefusalKind::ClaimUnavailable);
}

void
RequestStateMachine::OnCallerDisconnected(RequestState& aRequest)
{
  if (aRequest.mFinalResponseSent || aRequest.mIsCallerGone) {
    return;
  }
  ++mContext.mCounters.mCallersGone;
  aRequest.mIsCallerGone = true;
  mCloser.FinishForCaller(aRequest);
}

void
RequestStateMachine::OnDeadline(RequestState& aRequest)
{
  static constexpr std::array<Handler, kRequestPhases> kHandlers = {
    &RequestStateMachine::RefusePastDeadline, // Claiming
    &RequestStateMachine::RefusePastDeadline, // Waiting
    &RequestStateMachine::RefusePastDeadline, // Running
    &RequestStateMachine::Ignore,             // Closing
    &RequestStateMachine::Ignore              // Closed
  };
  if (mContext.mNow < aRequest.mDeadline) {
    return;
  }
  const Handler handler = kHandlers[static_cast<std::size_t>(aRequest.mPhase)];
  (this->*handler)(aRequest);
}

void
RequestStateMachine::Ignore(RequestState& /*aRequest*/)
{
}

void
RequestStateMachine::RefusePastDeadline(RequestState& aRequest)
{
  mCloser.Refuse(aRequest, RefusalKind::DeadlinePassed);
}

void
RequestStateMachine::OnHedgeDue(RequestState& aRequest, std::uint32_t aAttempt)
{
  const bool isOnlyAttempt = aRequest.mAttempts.size() == 1 &&
                             aRequest.mAttempts.front().mNumber == aAttempt;
  if (aRequest.mPhase == RequestPhase::Running && isOnlyAttempt &&
      aRequest.mCountedAttempts < mContext.mSettings.mMaxAttempts &&
      !mContext.mIsDraining) {
    mDispatcher.StartHedge(aRequest);
  }
}

void
RequestStateMachine::OnOutcomeTimeout(RequestState& aRequest)
{
  while (aRequest.mPhase == RequestPhase::Closing &&
         !aRequest.mAttempts.empty()) {
    // The call is still open, so the request may have run even if nothing was
    // received from the upstream.
    aRequest.mMayHaveBeenSent = true;
    mAttempts.End(aRequest, aRequest.mAttempts.front().mNumber);
  }
  mCloser.CloseIfNothingIsOpen(aRequest);
}

void
RequestStateMachine::OnQuarantined(const std::string& aDigest)
{
  std::vector<RequestState*> waiting;
  for (const auto& [id, request] : mContext.mRequests) {
    if (request->mPhase == RequestPhase::Waiting &&
        request->mDigest == aDigest) {
      waiting.push_back(request.get());
    }
  }
  for (RequestState* it : waiting) {
    mCloser.Refuse(*it, RefusalKind::Quarantined);
  }
}

bool
RequestStateMachine::MayStillSend(RequestState& aRequest, Attempt& aAttempt)
{
  const AttemptStep step = aAttempt.Step();
  if (aRequest.mPhase != RequestPhase::Running ||
      (step != AttemptStep::Prefill && step != AttemptStep::CallPlain)) {
    return false;
  }
  if (!aRequest.mMayHaveBeenSent) {
    aRequest.mWithheldReason = mRequestPolicy.CheckStart(aRequest);
    if (aRequest.mWithheldReason) {
      return false;
    }
  }
  aAttempt.mMayHaveBeenSent = true;
  aRequest.mMayHaveBeenSent = true;
  aRequest.mVerdict.Advance(RunVerdict::MayHaveRun);
  return true;
}

bool
RequestStateMachine::OnBeforeStart(RequestState& aRequest)
{
  const std::optional<RefusalKind> kind = mRequestPolicy.CheckStart(aRequest);
  if (!kind) {
    return true;
  }
  if (aRequest.mPhase == RequestPhase::Waiting) {
    mCloser.Refuse(aRequest, *kind);
  }
  return false;
}

void
RequestStateMachine::OnStarted(RequestState& aRequest, std::uint32_t aAttempt)
{
  aRequest.mPhase = RequestPhase::Running;
  ++aRequest.mCountedAttempts;
  if (!aRequest.mWasDispatched) {
    aRequest.mWasDispatched = true;
    mContext.mRetryBudget.OnFirstDispatch();
  }
  const Attempt* attempt = aRequest.FindAttempt(aAttempt);
  PH_ASSERT(attempt != nullptr);
  mContext.mCounters.mHedges += attempt->mIsHedge ? 1 : 0;
  mContext.mCounters.mResumed += attempt->mResumeFrom > 0 ? 1 : 0;
  const Route& route = *aRequest.mArrival.mRoute;
  const bool mayHedge = aRequest.IsPlain() && route.mIsIdempotent &&
                        route.mClass == RequestClass::Lookup &&
                        !attempt->mIsIsolated && !attempt->mIsHedge;
  if (!mayHedge) {
    return;
  }
  const Defaults defaults = mRequestPolicy.DefaultsOf(aRequest);
  if (defaults.mHedgeLookups) {
    mContext.mTimers.Add(mContext.mNow + defaults.mHedgeDelay,
                         { TimerKind::Hedge, aRequest.mArrival.mId, aAttempt });
  }
}

void
RequestStateMachine::OnCallBroken(RequestState& aRequest,
                                  const std::string& aUpstream)
{
  mUpstreamHealth.OnCallBroken(aUpstream, aRequest.mDigest);
}

void
RequestStateMachine::OnAttemptFailed(RequestState& aRequest,
                                     const Attempt& aAttempt,
                                     AttemptFailure aFailure)
{
  if (aRequest.mPhase == RequestPhase::Closing) {
    mCloser.CloseIfNothingIsOpen(aRequest);
    return;
  }
  if (!aRequest.mAttempts.empty()) {
    return; // The other attempt of a hedged pair continues.
  }
  const std::uint32_t maxTokens = aRequest.mArrival.mMaxTokens;
  if (aRequest.mTokens > 0 && aRequest.mTokens >= maxTokens) {
    OnCompletion(aRequest, aAttempt, "length");
    return;
  }
  if (MayRetry(aRequest, aFailure)) {
    Retry(aRequest, aAttempt, aFailure);
    return;
  }
  RefuseAfterFailure(aRequest, aFailure);
}

bool
RequestStateMachine::MayRetry(const RequestState& aRequest,
                              AttemptFailure aFailure)
{
  if (!aRequest.IsIdempotent() && aRequest.mMayHaveBeenSent) {
    return false;
  }
  if (aFailure == AttemptFailure::Withdrawn ||
      mContext.mNow >= aRequest.mDeadline ||
      mContext.mSuspects.QuarantinedUntil(aRequest.mDigest, mContext.mNow)) {
    return false;
  }
  if (aFailure == AttemptFailure::Full) {
    return true;
  }
  return aRequest.mCountedAttempts < mContext.mSettings.mMaxAttempts &&
         mContext.mRetryBudget.TryTakeRetry();
}

void
RequestStateMachine::Retry(RequestState& aRequest,
                           const Attempt& /*aAttempt*/,
                           AttemptFailure aFailure)
{
  if (aFailure == AttemptFailure::Full) {
    --aRequest.mCountedAttempts;
  } else {
    ++mContext.mCounters.mRetries;
  }
  if (aRequest.mHeadSent) {
    aRequest.mDeadline = mContext.mNow + aRequest.mArrival.mRoute->mDeadline;
    mContext.mTimers.Add(aRequest.mDeadline,
                         { TimerKind::Deadline, aRequest.mArrival.mId, 0 });
  }
  mDispatcher.Requeue(aRequest);
}

void
RequestStateMachine::RefuseAfterFailure(RequestState& aRequest,
                                        AttemptFailure aFailure)
{
  const std::optional<TimePoint> quarantinedUntil =
    mContext.mSuspects.QuarantinedUntil(aRequest.mDigest, mContext.mNow);
  if (quarantinedUntil) {
    mCloser.Refuse(
      aRequest, RefusalKind::Quarantined, *quarantinedUntil - mContext.mNow);
    return;
  }
  if (aFailure == AttemptFailure::Withdrawn && aRequest.mWithheldReason) {
    mCloser.Refuse(aRequest, *aRequest.mWithheldReason);
    return;
  }
  const bool isPastDeadline = mContext.mNow >= aRequest.mDeadline;
  mCloser.Refuse(aRequest,
                 isPastDeadline ? RefusalKind::DeadlinePassed
                                : RefusalKind::UpstreamFailed);
}

void
RequestStateMachine::OnNextToken(RequestState& aRequest,
                                 Attempt& aAttempt,
                                 std::string aText)
{
  if (aRequest.mTokens == aAttempt.mResumeFrom) {
    mDispatcher.OnFirstByte(aRequest, mContext.mNow - aAttempt.mStartedAt);
  }
  const std::uint32_t index = aRequest.mTokens++;
  aRequest.mText += aText;
  if (!aRequest.mArrival.mStreaming ||
      aRequest.mPhase == RequestPhase::Closing) {
    return;
  }
  aRequest.mDeadline = TimePoint::max();
  if (!aRequest.mHeadSent) {
    aRequest.mHeadSent = true;
    mContext.AddCommand(RequestCommandKind::SendHead, aRequest);
  }
  RequestCommand& command =
    mContext.AddCommand(RequestCommandKind::SendToken, aRequest);
  command.mTokenIndex = index;
  command.mText = std::move(aText);
}

void
RequestStateMachine::OnCompletion(RequestState& aRequest,
                                  const Attempt& /*aAttempt*/,
                                  const std::string& aFinishReason)
{
  aRequest.mVerdict.Advance(RunVerdict::Ran);
  mContext.mSuspects.OnFinished(aRequest.mDigest);
  mCloser.RespondWithCompletion(aRequest, aFinishReason);
}

void
RequestStateMachine::OnPlainResponse(RequestState& aRequest,
                                     const Attempt& aAttempt,
                                     PlainResult aResult)
{
  mContext.mSuspects.OnFinished(aRequest.mDigest);
  const bool isClosing = aRequest.mPhase == RequestPhase::Closing;
  if (!isClosing && aRequest.IsIdempotent() && IsGatewayError(aResult)) {
    if (!aRequest.mAttempts.empty()) {
      return; // The other attempt of a hedged pair may still succeed.
    }
    if (MayRetry(aRequest, AttemptFailure::Error)) {
      Retry(aRequest, aAttempt, AttemptFailure::Error);
      return;
    }
  }
  aRequest.mVerdict.Advance(RunVerdict::Ran);
  if (!isClosing) {
    mDispatcher.OnFirstByte(aRequest, mContext.mNow - aAttempt.mStartedAt);
    mContext.mCounters.mHedgesWon += aAttempt.mIsHedge ? 1 : 0;
  }
  mCloser.RespondWithPlain(aRequest, std::move(aResult));
}

} // namespace peridothoist
