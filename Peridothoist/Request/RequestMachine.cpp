#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/RequestMachine.h>

#include <algorithm>
#include <array>

namespace peridothoist {

namespace {

constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

/// Names a request's content for the table of suspects.
std::string
DigestOf(const Arrival& aArrival)
{
  return aArrival.mWorkspace + '/' + aArrival.mRoute->mName + '/' +
         aArrival.mBodyDigest;
}

/// An answer that another upstream might give better.
bool
IsGatewayError(const PlainAnswer& aAnswer)
{
  return aAnswer.mCall.mStatus >= kBadGateway &&
         aAnswer.mCall.mStatus <= kGatewayTimeout;
}

} // namespace

RequestMachine::RequestMachine(EntryContext& aContext,
                               AttemptMachine& aAttempts,
                               Dispatcher& aDispatcher,
                               UpstreamWatch& aWatch)
  : mContext(aContext)
  , mAttempts(aAttempts)
  , mDispatcher(aDispatcher)
  , mWatch(aWatch)
  , mRules(aContext, aDispatcher)
  , mCloser(aContext, aAttempts, aDispatcher)
{
}

void
RequestMachine::OnArrival(Arrival aArrival)
{
  const std::uint64_t id = aArrival.mId;
  PH_ASSERT(aArrival.mRoute != nullptr);
  PH_ASSERT(mContext.mRequests.count(id) == 0);
  ++mContext.mCounters.mArrived;
  auto state = std::make_unique<RequestState>();
  RequestState& request = *state;
  mContext.mRequests.emplace(id, std::move(state));

  const Route& route = *aArrival.mRoute;
  request.mDigest = DigestOf(aArrival);
  request.mPool = route.mPlainPool.empty()
                    ? route.mPrefillPool + '/' + route.mDecodePool
                    : route.mPlainPool;
  request.mDeadline = aArrival.mArrivedAt + route.mDeadline;
  request.mArrival = std::move(aArrival);
  request.mItem.mId = id;
  request.mItem.mWorkspace = request.mArrival.mWorkspace;
  request.mItem.mClass = route.mClass;
  request.mItem.mCost = mDispatcher.CostOf(request.mArrival);
  request.mPieces = mDispatcher.PiecesOf(request.mArrival);
  mContext.mTimers.Add(request.mDeadline, { TimerKind::Deadline, id, 0 });

  Duration retryAfter(0);
  const std::optional<RefusalKind> kind =
    mRules.CheckArrival(request, retryAfter);
  if (kind) {
    mCloser.Refuse(request, *kind, retryAfter);
    return;
  }
  if (route.mIdempotent || request.mArrival.mIdempotencyKey.empty()) {
    mDispatcher.Enqueue(request);
    return;
  }
  Claim(request);
}

void
RequestMachine::Claim(RequestState& aRequest)
{
  aRequest.mPhase = RequestPhase::Claiming;
  aRequest.mClaim = ClaimState::Asked;
  RequestCommand& command =
    mContext.Command(RequestCommandKind::InsertClaim, aRequest);
  command.mIdempotencyKey = aRequest.mArrival.mIdempotencyKey;
  command.mBodyDigest = aRequest.mArrival.mBodyDigest;
}

void
RequestMachine::OnClaim(RequestState& aRequest, const ClaimAnswer& aAnswer)
{
  static constexpr std::array<ClaimHandler, 5> kHandlers = {
    &RequestMachine::OnClaimInserted,
    &RequestMachine::OnClaimExists,
    &RequestMachine::OnClaimOtherBody,
    &RequestMachine::OnClaimUnreachable,
    &RequestMachine::OnClaimUnsettled
  };
  if (aRequest.mClaim != ClaimState::Asked) {
    ++mContext.mCounters.mEventsDropped;
    return;
  }
  const bool ours = aAnswer.mKind == ClaimAnswerKind::Inserted ||
                    aAnswer.mKind == ClaimAnswerKind::Unsettled;
  aRequest.mClaim = ours ? ClaimState::Held : ClaimState::Closed;
  aRequest.mRowVersion = aAnswer.mRowVersion;
  if (aRequest.mPhase == RequestPhase::Late) {
    mCloser.CloseIfNothingIsOpen(aRequest);
    return;
  }
  const ClaimHandler handler =
    kHandlers[static_cast<std::size_t>(aAnswer.mKind)];
  (this->*handler)(aRequest, aAnswer);
}

void
RequestMachine::OnClaimInserted(RequestState& aRequest,
                                const ClaimAnswer& /*aAnswer*/)
{
  mDispatcher.Enqueue(aRequest);
}

void
RequestMachine::OnClaimExists(RequestState& aRequest,
                              const ClaimAnswer& aAnswer)
{
  if (!aAnswer.mKept) {
    aRequest.mVerdict.Advance(RunVerdict::MayHaveRun);
    mCloser.Refuse(aRequest, RefusalKind::InProgress);
    return;
  }
  aRequest.mVerdict.Advance(RunVerdict::Ran);
  mCloser.AnswerKept(aRequest, *aAnswer.mKept);
}

void
RequestMachine::OnClaimOtherBody(RequestState& aRequest,
                                 const ClaimAnswer& /*aAnswer*/)
{
  mCloser.Refuse(aRequest, RefusalKind::IdempotencyKeyMismatch);
}

void
RequestMachine::OnClaimUnreachable(RequestState& aRequest,
                                   const ClaimAnswer& /*aAnswer*/)
{
  mCloser.Refuse(aRequest, RefusalKind::ClaimUnavailable);
}

void
RequestMachine::OnClaimUnsettled(RequestState& aRequest,
                                 const ClaimAnswer& /*aAnswer*/)
{
  mCloser.Refuse(aRequest, RefusalKind::ClaimUnavailable);
}

void
RequestMachine::OnCallerGone(RequestState& aRequest)
{
  if (aRequest.mAnswered || aRequest.mCallerGone) {
    return;
  }
  ++mContext.mCounters.mCallersGone;
  aRequest.mCallerGone = true;
  mCloser.Conclude(aRequest);
}

void
RequestMachine::OnDeadline(RequestState& aRequest)
{
  static constexpr std::array<Handler, kRequestPhases> kHandlers = {
    &RequestMachine::RefuseLate, // Claiming
    &RequestMachine::RefuseLate, // Waiting
    &RequestMachine::RefuseLate, // Running
    &RequestMachine::Ignore,     // Late
    &RequestMachine::Ignore      // Over
  };
  if (mContext.mNow < aRequest.mDeadline) {
    return;
  }
  const Handler handler = kHandlers[static_cast<std::size_t>(aRequest.mPhase)];
  (this->*handler)(aRequest);
}

void
RequestMachine::Ignore(RequestState& /*aRequest*/)
{
}

void
RequestMachine::RefuseLate(RequestState& aRequest)
{
  mCloser.Refuse(aRequest, RefusalKind::DeadlinePassed);
}

void
RequestMachine::OnHedgeDue(RequestState& aRequest, std::uint32_t aAttempt)
{
  const bool alone = aRequest.mAttempts.size() == 1 &&
                     aRequest.mAttempts.front().mNumber == aAttempt;
  if (aRequest.mPhase == RequestPhase::Running && alone &&
      aRequest.mTries < mContext.mSettings.mMaxAttempts &&
      !mContext.mDraining) {
    mDispatcher.StartHedge(aRequest);
  }
}

void
RequestMachine::OnOutcomeWaitOver(RequestState& aRequest)
{
  while (aRequest.mPhase == RequestPhase::Late && !aRequest.mAttempts.empty()) {
    // Its call is still open, so it may have run whatever was seen of it.
    aRequest.mSent = true;
    mAttempts.End(aRequest, aRequest.mAttempts.front().mNumber);
  }
  mCloser.CloseIfNothingIsOpen(aRequest);
}

void
RequestMachine::OnQuarantined(const std::string& aDigest)
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
RequestMachine::MayStillSend(RequestState& aRequest, Attempt& aAttempt)
{
  const AttemptStep step = aAttempt.Step();
  if (aRequest.mPhase != RequestPhase::Running ||
      (step != AttemptStep::Prefill && step != AttemptStep::CallPlain)) {
    return false;
  }
  if (!aRequest.mSent) {
    aRequest.mWithheldFor = mRules.CheckStart(aRequest);
    if (aRequest.mWithheldFor) {
      return false;
    }
  }
  aAttempt.mSent = true;
  aRequest.mSent = true;
  aRequest.mVerdict.Advance(RunVerdict::MayHaveRun);
  return true;
}

bool
RequestMachine::OnBeforeStart(RequestState& aRequest)
{
  const std::optional<RefusalKind> kind = mRules.CheckStart(aRequest);
  if (!kind) {
    return true;
  }
  if (aRequest.mPhase == RequestPhase::Waiting) {
    mCloser.Refuse(aRequest, *kind);
  }
  return false;
}

void
RequestMachine::OnStarted(RequestState& aRequest, std::uint32_t aAttempt)
{
  aRequest.mPhase = RequestPhase::Running;
  ++aRequest.mTries;
  if (!aRequest.mDispatched) {
    aRequest.mDispatched = true;
    mContext.mBudget.OnFresh();
  }
  const Attempt* attempt = aRequest.FindAttempt(aAttempt);
  PH_ASSERT(attempt != nullptr);
  mContext.mCounters.mHedges += attempt->mHedge ? 1 : 0;
  mContext.mCounters.mResumed += attempt->mResumeFrom > 0 ? 1 : 0;
  const Route& route = *aRequest.mArrival.mRoute;
  const bool hedged = aRequest.IsPlain() && route.mIdempotent &&
                      route.mClass == RequestClass::Lookup &&
                      !attempt->mIsolated && !attempt->mHedge;
  if (!hedged) {
    return;
  }
  const Defaults defaults = mRules.DefaultsOf(aRequest);
  if (defaults.mHedgeLookups) {
    mContext.mTimers.Add(mContext.mNow + defaults.mHedgeDelay,
                         { TimerKind::Hedge, aRequest.mArrival.mId, aAttempt });
  }
}

void
RequestMachine::OnBrokenAt(RequestState& aRequest, const std::string& aUpstream)
{
  mWatch.OnBroken(aUpstream, aRequest.mDigest);
}

void
RequestMachine::OnAttemptFailed(RequestState& aRequest,
                                const Attempt& aAttempt,
                                AttemptFailure aFailure)
{
  if (aRequest.mPhase == RequestPhase::Late) {
    mCloser.CloseIfNothingIsOpen(aRequest);
    return;
  }
  if (!aRequest.mAttempts.empty()) {
    return; // The other one of a hedged pair goes on.
  }
  const std::uint32_t most = aRequest.mArrival.mMaxTokens;
  if (aRequest.mTokens > 0 && aRequest.mTokens >= most) {
    OnCompletion(aRequest, aAttempt, "length");
    return;
  }
  if (MayRetry(aRequest, aFailure)) {
    Retry(aRequest, aAttempt, aFailure);
    return;
  }
  GiveUp(aRequest, aFailure);
}

bool
RequestMachine::MayRetry(const RequestState& aRequest, AttemptFailure aFailure)
{
  if (!aRequest.IsIdempotent() && aRequest.mSent) {
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
  return aRequest.mTries < mContext.mSettings.mMaxAttempts &&
         mContext.mBudget.TakeRetry();
}

void
RequestMachine::Retry(RequestState& aRequest,
                      const Attempt& /*aAttempt*/,
                      AttemptFailure aFailure)
{
  if (aFailure == AttemptFailure::Full) {
    --aRequest.mTries;
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
RequestMachine::GiveUp(RequestState& aRequest, AttemptFailure aFailure)
{
  const std::optional<TimePoint> quarantined =
    mContext.mSuspects.QuarantinedUntil(aRequest.mDigest, mContext.mNow);
  if (quarantined) {
    mCloser.Refuse(
      aRequest, RefusalKind::Quarantined, *quarantined - mContext.mNow);
    return;
  }
  if (aFailure == AttemptFailure::Withdrawn && aRequest.mWithheldFor) {
    mCloser.Refuse(aRequest, *aRequest.mWithheldFor);
    return;
  }
  const bool late = mContext.mNow >= aRequest.mDeadline;
  mCloser.Refuse(
    aRequest, late ? RefusalKind::DeadlinePassed : RefusalKind::UpstreamFailed);
}

void
RequestMachine::OnNextToken(RequestState& aRequest,
                            Attempt& aAttempt,
                            std::string aText)
{
  if (aRequest.mTokens == aAttempt.mResumeFrom) {
    mDispatcher.OnFirstByte(aRequest, mContext.mNow - aAttempt.mStartedAt);
  }
  const std::uint32_t index = aRequest.mTokens++;
  aRequest.mText += aText;
  if (!aRequest.mArrival.mStreaming || aRequest.mPhase == RequestPhase::Late) {
    return;
  }
  aRequest.mDeadline = TimePoint::max();
  if (!aRequest.mHeadSent) {
    aRequest.mHeadSent = true;
    mContext.Command(RequestCommandKind::SendHead, aRequest);
  }
  RequestCommand& command =
    mContext.Command(RequestCommandKind::SendToken, aRequest);
  command.mTokenIndex = index;
  command.mText = std::move(aText);
}

void
RequestMachine::OnCompletion(RequestState& aRequest,
                             const Attempt& /*aAttempt*/,
                             const std::string& aFinishReason)
{
  aRequest.mVerdict.Advance(RunVerdict::Ran);
  mContext.mSuspects.OnFinished(aRequest.mDigest);
  mCloser.AnswerCompletion(aRequest, aFinishReason);
}

void
RequestMachine::OnPlainWhole(RequestState& aRequest,
                             const Attempt& aAttempt,
                             PlainAnswer aAnswer)
{
  mContext.mSuspects.OnFinished(aRequest.mDigest);
  const bool late = aRequest.mPhase == RequestPhase::Late;
  if (!late && aRequest.IsIdempotent() && IsGatewayError(aAnswer)) {
    if (!aRequest.mAttempts.empty()) {
      return; // The other one of a hedged pair may do better.
    }
    if (MayRetry(aRequest, AttemptFailure::Error)) {
      Retry(aRequest, aAttempt, AttemptFailure::Error);
      return;
    }
  }
  aRequest.mVerdict.Advance(RunVerdict::Ran);
  if (!late) {
    mDispatcher.OnFirstByte(aRequest, mContext.mNow - aAttempt.mStartedAt);
    mContext.mCounters.mHedgesWon += aAttempt.mHedge ? 1 : 0;
  }
  mCloser.AnswerPlain(aRequest, std::move(aAnswer));
}

} // namespace peridothoist
