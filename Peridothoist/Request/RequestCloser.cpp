#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/RequestCloser.h>

#include <algorithm>

namespace peridothoist {

namespace {

constexpr int kOk = 200;

/// Refusals after which it makes no sense to come back with the same.
bool
IsFinal(RefusalKind aKind)
{
  switch (aKind) {
    case RefusalKind::KeyWithdrawn:
    case RefusalKind::PoolNotAllowed:
    case RefusalKind::IdempotencyKeyMissing:
    case RefusalKind::IdempotencyKeyMismatch:
    case RefusalKind::TooLarge:
      return true;
    default:
      return false;
  }
}

} // namespace

void
RequestCloser::AnswerCompletion(RequestState& aRequest,
                                const std::string& aFinishReason)
{
  if (aRequest.mClaim == ClaimState::Held) {
    RequestCommand& command = Record(aRequest, OutcomeState::Done);
    command.mCompletion = true;
    command.mStatus = kOk;
    command.mText = aRequest.mText;
    command.mFinishReason = aFinishReason;
    command.mPromptTokens = aRequest.mPromptTokens;
    command.mTokens = aRequest.mTokens;
  }
  if (aRequest.mPhase == RequestPhase::Late) {
    CloseIfNothingIsOpen(aRequest);
    return;
  }
  SendCompletion(aRequest, aFinishReason);
  Conclude(aRequest);
}

void
RequestCloser::AnswerPlain(RequestState& aRequest, PlainAnswer aAnswer)
{
  if (aRequest.mClaim == ClaimState::Held) {
    RequestCommand& command = Record(aRequest, OutcomeState::Done);
    command.mStatus = aAnswer.mCall.mStatus;
    command.mBody = aAnswer.mBody;
    command.mHeaders = aAnswer.mHeaders;
  }
  if (aRequest.mPhase == RequestPhase::Late) {
    CloseIfNothingIsOpen(aRequest);
    return;
  }
  SendWhole(aRequest,
            { aAnswer.mCall.mStatus,
              std::move(aAnswer.mBody),
              std::move(aAnswer.mHeaders) });
}

void
RequestCloser::AnswerKept(RequestState& aRequest, const KeptOutcome& aOutcome)
{
  SendWhole(aRequest, aOutcome);
}

void
RequestCloser::SendWhole(RequestState& aRequest, KeptOutcome aOutcome)
{
  RequestCommand& command =
    mContext.Command(RequestCommandKind::SendWhole, aRequest);
  command.mStatus = aOutcome.mStatus;
  command.mBody = std::move(aOutcome.mBody);
  command.mHeaders = std::move(aOutcome.mHeaders);
  aRequest.mAnswered = true;
  ++mContext.mCounters.mAnswered;
  Conclude(aRequest);
}

void
RequestCloser::SendCompletion(RequestState& aRequest,
                              const std::string& aFinishReason)
{
  const bool streaming = aRequest.mArrival.mStreaming;
  if (streaming && !aRequest.mHeadSent) {
    aRequest.mHeadSent = true;
    mContext.Command(RequestCommandKind::SendHead, aRequest);
  }
  RequestCommand& command = mContext.Command(
    streaming ? RequestCommandKind::EndStream : RequestCommandKind::SendWhole,
    aRequest);
  command.mFinishReason = aFinishReason;
  command.mPromptTokens = aRequest.mPromptTokens;
  command.mTokens = aRequest.mTokens;
  if (!streaming) {
    command.mCompletion = true;
    command.mStatus = kOk;
    command.mText = aRequest.mText;
  }
  aRequest.mAnswered = true;
  ++mContext.mCounters.mAnswered;
}

void
RequestCloser::Refuse(RequestState& aRequest,
                      RefusalKind aKind,
                      Duration aRetryAfter)
{
  PH_ASSERT(!aRequest.mAnswered && !aRequest.mCallerGone);
  for (const Attempt& it : aRequest.mAttempts) {
    if (it.Step() != AttemptStep::Reserve) {
      // Its content may be leaving right now.
      aRequest.mVerdict.Advance(RunVerdict::MayHaveRun);
    }
  }
  const Duration retryAfter =
    IsFinal(aKind) ? Duration(0)
                   : std::max(aRetryAfter, mContext.mSettings.mRetryAfter);
  RequestCommand& command =
    mContext.Command(aRequest.mHeadSent ? RequestCommandKind::AbortStream
                                        : RequestCommandKind::SendRefusal,
                     aRequest);
  command.mRefusal = Refusal::Make(aKind, aRequest.mVerdict, retryAfter);
  ++mContext.mCounters.mRefused[static_cast<std::size_t>(aKind)];
  mContext.mCounters.mAborted += aRequest.mHeadSent ? 1 : 0;
  aRequest.mAnswered = true;
  Conclude(aRequest);
}

bool
RequestCloser::AwaitsOutcome(const RequestState& aRequest,
                             const Attempt& aAttempt) const
{
  return aRequest.mClaim == ClaimState::Held &&
         aAttempt.Step() != AttemptStep::Reserve;
}

void
RequestCloser::Conclude(RequestState& aRequest)
{
  if (aRequest.mPhase == RequestPhase::Waiting) {
    mDispatcher.Remove(aRequest);
  }
  aRequest.mPhase = RequestPhase::Late;
  std::vector<std::uint32_t> ended;
  for (const Attempt& it : aRequest.mAttempts) {
    if (!AwaitsOutcome(aRequest, it)) {
      ended.push_back(it.mNumber);
    }
  }
  for (std::uint32_t it : ended) {
    mAttempts.End(aRequest, it);
  }
  if (!aRequest.mAttempts.empty()) {
    mContext.mTimers.Add(mContext.mNow + mContext.mSettings.mOutcomeWait,
                         { TimerKind::OutcomeWait, aRequest.mArrival.mId, 0 });
  }
  CloseIfNothingIsOpen(aRequest);
}

void
RequestCloser::CloseIfNothingIsOpen(RequestState& aRequest)
{
  if (aRequest.mPhase != RequestPhase::Late || !aRequest.mAttempts.empty() ||
      aRequest.mClaim == ClaimState::Asked) {
    return;
  }
  if (aRequest.mClaim == ClaimState::Held) {
    Record(aRequest,
           aRequest.mSent ? OutcomeState::MayHaveRun : OutcomeState::NotRun);
  }
  RequestCommand& settle =
    mContext.Command(RequestCommandKind::Settle, aRequest);
  const std::uint32_t prompt = aRequest.mPromptTokens > 0
                                 ? aRequest.mPromptTokens
                                 : aRequest.mArrival.mPromptTokens;
  settle.mPromptTokens = aRequest.mSent ? prompt : 0;
  settle.mTokens = aRequest.mTokens;
  mContext.Command(RequestCommandKind::Forget, aRequest);
  aRequest.mPhase = RequestPhase::Over;
  mContext.mOver.push_back(aRequest.mArrival.mId);
}

RequestCommand&
RequestCloser::Record(RequestState& aRequest, OutcomeState aOutcome)
{
  aRequest.mClaim = ClaimState::Closed;
  RequestCommand& command =
    mContext.Command(RequestCommandKind::RecordOutcome, aRequest);
  command.mIdempotencyKey = aRequest.mArrival.mIdempotencyKey;
  command.mBodyDigest = aRequest.mArrival.mBodyDigest;
  command.mRowVersion = aRequest.mRowVersion;
  command.mOutcome = aOutcome;
  return command;
}

} // namespace peridothoist
