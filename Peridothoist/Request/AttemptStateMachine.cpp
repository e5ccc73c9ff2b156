#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/AttemptStateMachine.h>

#include <algorithm>
#include <array>

namespace peridothoist {

namespace {

constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/// Returns the attempt failure that corresponds to how a call ended.
AttemptFailure
ToAttemptFailure(const CallResult& aCall)
{
  static constexpr std::array<AttemptFailure, 6> kFailures = {
    AttemptFailure::Error,        // Whole
    AttemptFailure::NotConnected, // NotConnected
    AttemptFailure::Withdrawn,    // Withheld
    AttemptFailure::TimedOut,     // TimedOut
    AttemptFailure::Broken,       // Broken
    AttemptFailure::TimedOut      // Cancelled
  };
  return kFailures[static_cast<std::size_t>(aCall.mEnd)];
}

/// Returns whether certainly no byte of the call was sent.
bool
WasNothingSent(const CallResult& aCall)
{
  return aCall.mEnd != CallEnd::Whole && !aCall.mMayHaveBeenSent;
}

} // namespace

std::uint32_t
AttemptStateMachine::Start(RequestState& aRequest, const Placement& aPlacement)
{
  Attempt attempt;
  attempt.mNumber = aRequest.mNextAttempt++;
  attempt.mPlan =
    aRequest.IsPlain()
      ? &PlainPlan()
      : &EnginePlan(mContext.mConfiguration->mDefaults.mReserveStrategy);
  attempt.mIsIsolated = aPlacement.mIsIsolated;
  attempt.mIsHedge = aPlacement.mIsHedge;
  attempt.mStartedAt = mContext.mNow;
  attempt.mResumeFrom = aRequest.mTokens;

  AttemptUsage usage;
  usage.mIsolated = aPlacement.mIsIsolated;
  usage.mDigest = aRequest.mDigest;
  usage.mAt = mContext.mNow;
  UpstreamState& decode = *aPlacement.mDecode;
  attempt.mDecode.mUpstream = decode.mConfig.mName;
  attempt.mDecode.mAddress = decode.mConfig.mAddress;
  usage.mPieces = aRequest.mPieces;
  usage.mHoldsLink = aPlacement.mPrefill != nullptr;
  decode.AddAttempt(aRequest.Key(attempt), usage);
  if (aPlacement.mPrefill != nullptr) {
    UpstreamState& prefill = *aPlacement.mPrefill;
    attempt.mPrefill.mUpstream = prefill.mConfig.mName;
    attempt.mPrefill.mAddress = prefill.mConfig.mAddress;
    usage.mPieces = 0;
    usage.mHoldsLink = false;
    usage.mPromptTokens = aRequest.mArrival.mPromptTokens;
    prefill.AddAttempt(aRequest.Key(attempt), usage);
  }
  ++mContext.mRunningDigests[aRequest.mDigest];
  aRequest.mAttempts.push_back(std::move(attempt));
  const std::uint32_t number = aRequest.mAttempts.back().mNumber;
  StartStep(aRequest, aRequest.mAttempts.back());
  return number;
}

void
AttemptStateMachine::StartStep(RequestState& aRequest, Attempt& aAttempt)
{
  static constexpr std::array<StepStarter, kAttemptSteps> kStarters = {
    &AttemptStateMachine::StartReserve, &AttemptStateMachine::StartPrefill,
    &AttemptStateMachine::StartImport,  &AttemptStateMachine::StartDecode,
    &AttemptStateMachine::StartPlain,   &AttemptStateMachine::StartNothing
  };
  const StepStarter starter =
    kStarters[static_cast<std::size_t>(aAttempt.Step())];
  (this->*starter)(aRequest, aAttempt);
}

void
AttemptStateMachine::StartNextStep(RequestState& aRequest, Attempt& aAttempt)
{
  ++aAttempt.mStep;
  StartStep(aRequest, aAttempt);
}

RequestCommand&
AttemptStateMachine::AddCall(RequestCommandKind aKind,
                             RequestState& aRequest,
                             Attempt& aAttempt,
                             AttemptUpstream& aUpstream)
{
  aUpstream.mMayHoldResources = true;
  aUpstream.mIsCallOpen = true;
  RequestCommand& command =
    mContext.AddCommand(aKind, aRequest, aAttempt.mNumber);
  command.mUpstream = aUpstream.mUpstream;
  command.mAddress = aUpstream.mAddress;
  command.mPriority =
    static_cast<std::uint32_t>(aRequest.mArrival.mRoute->mClass);
  return command;
}

bool
AttemptStateMachine::StillAcceptsWork(const AttemptUpstream& aUpstream) const
{
  const UpstreamState* upstream = mContext.mUpstreams.Find(aUpstream.mUpstream);
  return upstream != nullptr && upstream->AcceptsRequests(mContext.mNow);
}

void
AttemptStateMachine::StartReserve(RequestState& aRequest, Attempt& aAttempt)
{
  if (!StillAcceptsWork(aAttempt.mDecode)) {
    Fail(aRequest, aAttempt, AttemptFailure::Full);
    return;
  }
  RequestCommand& command =
    AddCall(RequestCommandKind::Reserve, aRequest, aAttempt, aAttempt.mDecode);
  command.mPieces = aRequest.mPieces;
}

void
AttemptStateMachine::StartPrefill(RequestState& aRequest, Attempt& aAttempt)
{
  if (!StillAcceptsWork(aAttempt.mPrefill)) {
    Fail(aRequest, aAttempt, AttemptFailure::Full);
    return;
  }
  SetExecuting(aRequest, aAttempt, aAttempt.mPrefill);
  ++mContext.mCounters.mPrefills;
  RequestCommand& command =
    AddCall(RequestCommandKind::Prefill, aRequest, aAttempt, aAttempt.mPrefill);
  command.mModel = aRequest.mArrival.mRoute->mModel;
  command.mResumeText = aRequest.mText;
}

void
AttemptStateMachine::StartImport(RequestState& aRequest, Attempt& aAttempt)
{
  SetExecuting(aRequest, aAttempt, aAttempt.mDecode);
  RequestCommand& command =
    AddCall(RequestCommandKind::Import, aRequest, aAttempt, aAttempt.mDecode);
  command.mSourceAddress = aAttempt.mPrefill.mAddress;
  command.mKvHandle = aAttempt.mKvHandle;
}

void
AttemptStateMachine::StartDecode(RequestState& aRequest, Attempt& aAttempt)
{
  aAttempt.mLastTokenAt = mContext.mNow;
  mContext.mTimers.Add(
    mContext.mNow + mContext.mSettings.mMaxTokenGap,
    { TimerKind::TokenGap, aRequest.mArrival.mId, aAttempt.mNumber });
  RequestCommand& command =
    AddCall(RequestCommandKind::Decode, aRequest, aAttempt, aAttempt.mDecode);
  command.mResumeFrom = aAttempt.mResumeFrom;
  command.mMaxTokens = aRequest.mArrival.mMaxTokens;
}

void
AttemptStateMachine::StartPlain(RequestState& aRequest, Attempt& aAttempt)
{
  SetExecuting(aRequest, aAttempt, aAttempt.mDecode);
  AddCall(RequestCommandKind::CallPlain, aRequest, aAttempt, aAttempt.mDecode);
}

void
AttemptStateMachine::StartNothing(RequestState& /*aRequest*/,
                                  Attempt& /*aAttempt*/)
{
}

void
AttemptStateMachine::SetExecuting(RequestState& aRequest,
                                  Attempt& aAttempt,
                                  const AttemptUpstream& aUpstream)
{
  UpstreamState* upstream = mContext.mUpstreams.Find(aUpstream.mUpstream);
  AttemptUsage* usage = upstream == nullptr
                          ? nullptr
                          : upstream->FindAttempt(aRequest.Key(aAttempt));
  if (usage != nullptr) {
    usage->mExecuting = true;
  }
}

void
AttemptStateMachine::MarkMayHaveBeenSent(RequestState& aRequest,
                                         Attempt& aAttempt)
{
  aAttempt.mMayHaveBeenSent = true;
  aRequest.mMayHaveBeenSent = true;
  aRequest.mVerdict.Advance(RunVerdict::MayHaveRun);
}

void
AttemptStateMachine::OnCallEnded(RequestState& /*aRequest*/,
                                 Attempt& /*aAttempt*/,
                                 AttemptUpstream& aUpstream,
                                 const CallResult& aCall)
{
  aUpstream.mIsCallOpen = false;
  UpstreamState* upstream = mContext.mUpstreams.Find(aUpstream.mUpstream);
  if (upstream != nullptr && aCall.mEnd == CallEnd::NotConnected) {
    upstream->OnConnectFailed(mContext.mSettings.mConnectBackoff,
                              mContext.mNow);
  }
}

void
AttemptStateMachine::RemoveUsage(RequestState& aRequest,
                                 Attempt& aAttempt,
                                 AttemptUpstream& aUpstream)
{
  UpstreamState* upstream = mContext.mUpstreams.Find(aUpstream.mUpstream);
  if (upstream != nullptr) {
    upstream->RemoveAttempt(aRequest.Key(aAttempt));
    mContext.mDispatchNeeded = true;
  }
}

void
AttemptStateMachine::ReleaseUpstream(RequestState& aRequest,
                                     Attempt& aAttempt,
                                     AttemptUpstream& aUpstream)
{
  if (aUpstream.mUpstream.empty()) {
    return;
  }
  if (!aUpstream.mMayHoldResources) {
    RemoveUsage(aRequest, aAttempt, aUpstream);
    return;
  }
  mContext.mCancels.Add(aUpstream.mUpstream,
                        aUpstream.mAddress,
                        aRequest.Key(aAttempt),
                        aUpstream.mIsCallOpen,
                        mContext.mNow,
                        *mContext.mCommands);
}

Attempt
AttemptStateMachine::TakeAttempt(RequestState& aRequest, std::uint32_t aNumber)
{
  const auto it = std::find_if(
    aRequest.mAttempts.begin(),
    aRequest.mAttempts.end(),
    [aNumber](const Attempt& aIt) { return aIt.mNumber == aNumber; });
  Attempt attempt = std::move(*it);
  aRequest.mAttempts.erase(it);
  const auto running = mContext.mRunningDigests.find(aRequest.mDigest);
  if (--running->second == 0) {
    mContext.mRunningDigests.erase(running);
  }
  return attempt;
}

void
AttemptStateMachine::End(RequestState& aRequest, std::uint32_t aAttempt)
{
  Attempt attempt = TakeAttempt(aRequest, aAttempt);
  mContext.mCounters.mPrefillsWasted += attempt.mHasUnusedPrefill ? 1 : 0;
  ReleaseUpstream(aRequest, attempt, attempt.mPrefill);
  ReleaseUpstream(aRequest, attempt, attempt.mDecode);
  mContext.mDispatchNeeded = true;
}

void
AttemptStateMachine::Fail(RequestState& aRequest,
                          Attempt& aAttempt,
                          AttemptFailure aFailure)
{
  const Attempt ended = aAttempt;
  End(aRequest, aAttempt.mNumber);
  mListener->OnAttemptFailed(aRequest, ended, aFailure);
}

void
AttemptStateMachine::FailAfterCall(RequestState& aRequest,
                                   Attempt& aAttempt,
                                   const AttemptUpstream& aUpstream,
                                   const CallResult& aCall)
{
  if (aCall.mEnd == CallEnd::Broken && aAttempt.mMayHaveBeenSent) {
    mListener->OnCallBroken(aRequest, aUpstream.mUpstream);
  }
  Fail(aRequest, aAttempt, ToAttemptFailure(aCall));
}

void
AttemptStateMachine::OnUpstreamLost(RequestState& aRequest,
                                    std::uint32_t aAttempt,
                                    const std::string& aUpstream,
                                    bool aCrashed)
{
  Attempt* attempt = aRequest.FindAttempt(aAttempt);
  if (attempt == nullptr) {
    return;
  }
  const bool isPrefill = attempt->mPrefill.mUpstream == aUpstream;
  const AttemptUpstream& lost =
    isPrefill ? attempt->mPrefill : attempt->mDecode;
  // A call with content may have been in transit to this upstream.
  if (lost.mIsCallOpen && attempt->Step() != AttemptStep::Reserve) {
    MarkMayHaveBeenSent(aRequest, *attempt);
  }
  Fail(aRequest,
       *attempt,
       aCrashed ? AttemptFailure::Broken : AttemptFailure::TimedOut);
}

void
AttemptStateMachine::OnReserve(RequestState& aRequest,
                               Attempt& aAttempt,
                               const ReserveResult& aResult)
{
  OnCallEnded(aRequest, aAttempt, aAttempt.mDecode, aResult.mCall);
  if (aResult.mCall.IsSuccess()) {
    StartNextStep(aRequest, aAttempt);
    return;
  }
  const bool isFull =
    aResult.mCall.mEnd == CallEnd::Whole && aResult.mCall.mStatus == kConflict;
  aAttempt.mDecode.mMayHoldResources =
    !isFull && !WasNothingSent(aResult.mCall);
  if (!isFull) {
    FailAfterCall(aRequest, aAttempt, aAttempt.mDecode, aResult.mCall);
    return;
  }
  ++mContext.mCounters.mReserveRefused;
  UpstreamState* upstream =
    mContext.mUpstreams.Find(aAttempt.mDecode.mUpstream);
  if (upstream != nullptr) {
    upstream->OnFull(
      aResult.mFreePieces, mContext.mSettings.mFullBackoff, mContext.mNow);
  }
  Fail(aRequest, aAttempt, AttemptFailure::Full);
}

void
AttemptStateMachine::OnPrefill(RequestState& aRequest,
                               Attempt& aAttempt,
                               const PrefillResult& aResult)
{
  OnCallEnded(aRequest, aAttempt, aAttempt.mPrefill, aResult.mCall);
  if (!WasNothingSent(aResult.mCall)) {
    MarkMayHaveBeenSent(aRequest, aAttempt);
  }
  if (aResult.mCall.IsSuccess()) {
    RemoveUsage(aRequest, aAttempt, aAttempt.mPrefill);
    aAttempt.mHasUnusedPrefill = true;
    aAttempt.mKvHandle = aResult.mKvHandle;
    aAttempt.mKvExpiresAt = mContext.mNow + aResult.mExpiresIn;
    aRequest.mPromptTokens = aResult.mPromptTokens;
    mContext.mPrefixHints.OnStored(aRequest.mArrival.mPrefixHash,
                                   aAttempt.mPrefill.mUpstream);
    StartNextStep(aRequest, aAttempt);
    return;
  }
  aAttempt.mPrefill.mMayHoldResources =
    aResult.mCall.mEnd != CallEnd::Whole && !WasNothingSent(aResult.mCall);
  if (aResult.mCall.mEnd != CallEnd::Whole ||
      aResult.mCall.mStatus != kTooManyRequests) {
    FailAfterCall(aRequest, aAttempt, aAttempt.mPrefill, aResult.mCall);
    return;
  }
  UpstreamState* upstream =
    mContext.mUpstreams.Find(aAttempt.mPrefill.mUpstream);
  if (upstream != nullptr) {
    upstream->OnFull(
      std::nullopt, mContext.mSettings.mFullBackoff, mContext.mNow);
  }
  Fail(aRequest, aAttempt, AttemptFailure::Full);
}

void
AttemptStateMachine::OnImport(RequestState& aRequest,
                              Attempt& aAttempt,
                              const ImportResult& aResult)
{
  OnCallEnded(aRequest, aAttempt, aAttempt.mDecode, aResult.mCall);
  if (aResult.mCall.IsSuccess()) {
    aAttempt.mPrefill.mMayHoldResources = false;
    UpstreamState* upstream =
      mContext.mUpstreams.Find(aAttempt.mDecode.mUpstream);
    if (upstream != nullptr) {
      upstream->ReleaseLink(aRequest.Key(aAttempt));
      mContext.mDispatchNeeded = true;
    }
    StartNextStep(aRequest, aAttempt);
    return;
  }
  const TimePoint retryAt =
    mContext.mNow + mContext.mSettings.mImportRetryDelay;
  const bool isComplete = aResult.mCall.mEnd == CallEnd::Whole;
  if (isComplete && aResult.mCall.mStatus == kUnavailable &&
      retryAt < aAttempt.mKvExpiresAt) {
    mContext.mTimers.Add(
      retryAt,
      { TimerKind::ImportRetry, aRequest.mArrival.mId, aAttempt.mNumber });
    return;
  }
  if (isComplete && (aResult.mCall.mStatus == kGone ||
                     aResult.mCall.mStatus == kUnavailable)) {
    Fail(aRequest, aAttempt, AttemptFailure::Expired);
    return;
  }
  FailAfterCall(aRequest, aAttempt, aAttempt.mDecode, aResult.mCall);
}

void
AttemptStateMachine::OnImportRetry(RequestState& aRequest, Attempt& aAttempt)
{
  if (aAttempt.Step() == AttemptStep::Import && !aAttempt.mDecode.mIsCallOpen) {
    StartImport(aRequest, aAttempt);
  }
}

void
AttemptStateMachine::OnToken(RequestState& aRequest,
                             Attempt& aAttempt,
                             std::uint32_t aIndex,
                             std::string aText)
{
  if (aIndex < aRequest.mTokens) {
    ++mContext.mCounters.mEventsDropped;
    return;
  }
  if (aIndex > aRequest.mTokens) {
    Fail(aRequest, aAttempt, AttemptFailure::Error);
    return;
  }
  aAttempt.mHasUnusedPrefill = false;
  aAttempt.mLastTokenAt = mContext.mNow;
  mListener->OnNextToken(aRequest, aAttempt, std::move(aText));
}

void
AttemptStateMachine::OnTokenGap(RequestState& aRequest, Attempt& aAttempt)
{
  if (aAttempt.Step() != AttemptStep::Decode) {
    return;
  }
  const TimePoint limit =
    aAttempt.mLastTokenAt + mContext.mSettings.mMaxTokenGap;
  if (mContext.mNow < limit) {
    mContext.mTimers.Add(
      limit, { TimerKind::TokenGap, aRequest.mArrival.mId, aAttempt.mNumber });
    return;
  }
  Fail(aRequest, aAttempt, AttemptFailure::TimedOut);
}

void
AttemptStateMachine::OnDecodeResult(RequestState& aRequest,
                                    Attempt& aAttempt,
                                    const DecodeResult& aResult)
{
  OnCallEnded(aRequest, aAttempt, aAttempt.mDecode, aResult.mCall);
  const bool isComplete = aResult.mCall.IsSuccess() && aResult.mDone;
  if (!isComplete) {
    FailAfterCall(aRequest, aAttempt, aAttempt.mDecode, aResult.mCall);
    return;
  }
  if (aResult.mTokens != aRequest.mTokens) {
    Fail(aRequest, aAttempt, AttemptFailure::Error);
    return;
  }
  aAttempt.mHasUnusedPrefill = false;
  aAttempt.mDecode.mMayHoldResources = false;
  const Attempt ended = aAttempt;
  End(aRequest, aAttempt.mNumber);
  mListener->OnCompletion(aRequest, ended, aResult.mFinishReason);
}

void
AttemptStateMachine::OnPlain(RequestState& aRequest,
                             Attempt& aAttempt,
                             PlainResult aResult)
{
  OnCallEnded(aRequest, aAttempt, aAttempt.mDecode, aResult.mCall);
  if (!WasNothingSent(aResult.mCall)) {
    MarkMayHaveBeenSent(aRequest, aAttempt);
  }
  const bool isComplete = aResult.mCall.mEnd == CallEnd::Whole;
  aAttempt.mDecode.mMayHoldResources = !isComplete && aAttempt.mMayHaveBeenSent;
  if (!isComplete) {
    FailAfterCall(aRequest, aAttempt, aAttempt.mDecode, aResult.mCall);
    return;
  }
  const Attempt ended = aAttempt;
  End(aRequest, aAttempt.mNumber);
  mListener->OnPlainResponse(aRequest, ended, std::move(aResult));
}

} // namespace peridothoist
