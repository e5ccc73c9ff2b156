#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/RequestCloser.h>

#include <algorithm>

namespace peridothoist {

namespace {

constexpr int kOk = 200;

/// Returns whether retrying the same request cannot succeed.
bool
IsRetryPointless(RefusalKind aKind)
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
RequestCloser::RespondWithCompletion(RequestState& aRequest,
                                     const std::string& aFinishReason)
{
  if (aRequest.mClaim == ClaimState::Held) {
    RequestCommand& command = AddRecordOutcome(aRequest, OutcomeState::Done);
    command.mIsCompletion = true;
    command.mStatus = kOk;
    command.mText = aRequest.mText;
    command.mFinishReason = aFinishReason;
    command.mPromptTokens = aRequest.mPromptTokens;
    command.mTokens = aRequest.mTokens;
  }
  if (aRequest.mPhase == RequestPhase::Closing) {
    CloseIfNothingIsOpen(aRequest);
    return;
  }
  SendCompletion(aRequest, aFinishReason);
  FinishForCaller(aRequest);
}

void
RequestCloser::RespondWithPlain(RequestState& aRequest, PlainResult aResult)
{
  if (aRequest.mClaim == ClaimState::Held) {
    RequestCommand& command = AddRecordOutcome(aRequest, OutcomeState::Done);
    command.mStatus = aResult.mCall.mStatus;
    command.mBody = aResult.mBody;
    command.mHeaders = aResult.mHeaders;
  }
  if (aRequest.mPhase == RequestPhase::Closing) {
    CloseIfNothingIsOpen(aRequest);
    return;
  }
  SendWhole(aRequest,
            { aResult.mCall.mStatus,
              std::move(aResult.mBody),
              std::move(aResult.mHeaders) });
}

void
RequestCloser::RespondWithStored(RequestState& aRequest,
                                 const StoredOutcome& aOutcome)
{
  SendWhole(aRequest, aOutcome);
}

void
RequestCloser::SendWhole(RequestState& aRequest, StoredOutcome aOutcome)
{
  RequestCommand& command =
    mContext.AddCommand(RequestCommandKind::SendWhole, aRequest);
  command.mStatus = aOutcome.mStatus;
  command.mBody = std::move(aOutcome.mBody);
  command.mHeaders = std::move(aOutcome.mHeaders);
  aRequest.mFinalResponseSent = true;
  ++mContext.mCounters.mCompleted;
  FinishForCaller(aRequest);
}

void
RequestCloser::SendCompletion(RequestState& aRequest,
                              const std::string& aFinishReason)
{
  const bool isStreaming = aRequest.mArrival.mStreaming;
  if (isStreaming && !aRequest.mHeadSent) {
    aRequest.mHeadSent = true;
    mContext.AddCommand(RequestCommandKind::SendHead, aRequest);
  }
  RequestCommand& command = mContext.AddCommand(
    isStreaming ? RequestCommandKind::EndStream : RequestCommandKind::SendWhole,
    aRequest);
  command.mFinishReason = aFinishReason;
  command.mPromptTokens = aRequest.mPromptTokens;
  command.mTokens = aRequest.mTokens;
  if (!isStreaming) {
    command.mIsCompletion = true;
    command.mStatus = kOk;
    command.mText = aRequest.mText;
  }
  aRequest.mFinalResponseSent = true;
  ++mContext.mCounters.mCompleted;
}

void
RequestCloser::Refuse(RequestState& aRequest,
                      RefusalKind aKind,
                      Duration aRetryAfter)
{
  PH_ASSERT(!aRequest.mFinalResponseSent && !aRequest.mIsCallerGone);
  for (const Attempt& it : aRequest.mAttempts) {
    if (it.Step() != AttemptStep::Reserve) {
      // Its content may be in the process of being sent.
      aRequest.mVerdict.Advance(RunVerdict::MayHaveRun);
    }
  }
  const Duration retryAfter =
    IsRetryPointless(aKind)
      ? Duration(0)
      : std::max(aRetryAfter, mContext.mSettings.mMinRetryAfter);
  RequestCommand& command =
    mContext.AddCommand(aRequest.mHeadSent ? RequestCommandKind::AbortStream
                                           : RequestCommandKind::SendRefusal,
                        aRequest);
  command.mRefusal = Refusal::Make(aKind, aRequest.mVerdict, retryAfter);
  ++mContext.mCounters.mRefused[static_cast<std::size_t>(aKind)];
  mContext.mCounters.mAborted += aRequest.mHeadSent ? 1 : 0;
  aRequest.mFinalResponseSent = true;
  FinishForCaller(aRequest);
}

bool
RequestCloser::MayStillProduceOutcome(const RequestState& aRequest,
                                      const Attempt& aAttempt) const
{
  return aRequest.mClaim == ClaimState::Held &&
         aAttempt.Step() != AttemptStep::Reserve;
}

void
RequestCloser::FinishForCaller(RequestState& aRequest)
{
  if (aRequest.mPhase == RequestPhase::Waiting) {
    mDispatcher.Remove(aRequest);
  }
  aRequest.mPhase = RequestPhase::Closing;
  std::vector<std::uint32_t> attemptsToEnd;
  for (const Attempt& it : aRequest.mAttempts) {
    if (!MayStillProduceOutcome(aRequest, it)) {
      attemptsToEnd.push_back(it.mNumber);
    }
  }
  for (std::uint32_t it : attemptsToEnd) {
    mAttempts.End(aRequest, it);
  }
  if (!aRequest.mAttempts.empty()) {
    mContext.mTimers.Add(
      mContext.mNow + mContext.mSettings.mOutcomeTimeout,
      { TimerKind::OutcomeTimeout, aRequest.mArrival.mId, 0 });
  }
  CloseIfNothingIsOpen(aRequest);
}

void
RequestCloser::CloseIfNothingIsOpen(RequestState& aRequest)
{
  if (aRequest.mPhase != RequestPhase::Closing || !aRequest.mAttempts.empty() ||
      aRequest.mClaim == ClaimState::Pending) {
    return;
  }
  if (aRequest.mClaim == ClaimState::Held) {
    AddRecordOutcome(aRequest,
                     aRequest.mMayHaveBeenSent ? OutcomeState::MayHaveRun
                                               : OutcomeState::NotRun);
  }
  RequestCommand& settle =
    mContext.AddCommand(RequestCommandKind::Settle, aRequest);
  const std::uint32_t prompt = aRequest.mPromptTokens > 0
                                 ? aRequest.mPromptTokens
                                 : aRequest.mArrival.mPromptTokens;
  settle.mPromptTokens = aRequest.mMayHaveBeenSent ? prompt : 0;
  settle.mTokens = aRequest.mTokens;
  mContext.AddCommand(RequestCommandKind::Forget, aRequest);
  aRequest.mPhase = RequestPhase::Closed;
  mContext.mFinishedRequests.push_back(aRequest.mArrival.mId);
}

RequestCommand&
RequestCloser::AddRecordOutcome(RequestState& aRequest, OutcomeState aOutcome)
{
  aRequest.mClaim = ClaimState::Closed;
  RequestCommand& command =
    mContext.AddCommand(RequestCommandKind::RecordOutcome, aRequest);
  command.mIdempotencyKey = aRequest.mArrival.mIdempotencyKey;
  command.mRequestDigest = aRequest.mArrival.mRequestDigest;
  command.mRowVersion = aRequest.mRowVersion;
  command.mOutcome = aOutcome;
  return command;
}

} // namespace peridothoist
