#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/AttemptMachine.h>

#include <algorithm>
#include <array>

namespace peridothoist {

namespace {

constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/// The failure that a call without a whole answer stands for.
AttemptFailure
FailureOf(const CallOutcome& aCall)
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

/// No byte of the call left, whatever else is known of it.
bool
NothingLeft(const CallOutcome& aCall)
{
  return aCall.mEnd != CallEnd::Whole && !aCall.mMayHaveBeenSent;
}

} // namespace

std::uint32_t
AttemptMachine::Start(RequestState& aRequest, const Placement& aPlacement)
{
  Attempt attempt;
  attempt.mNumber = aRequest.mNextAttempt++;
  attempt.mPlan =
    aRequest.IsPlain()
      ? &PlainPlan()
      : &EnginePlan(mContext.mConfiguration->mDefaults.mReserveStrategy);
  attempt.mIsolated = aPlacement.mIsolated;
  attempt.mHedge = aPlacement.mHedge;
  attempt.mStartedAt = mContext.mNow;
  attempt.mResumeFrom = aRequest.mTokens;

  Presence presence;
  presence.mIsolated = aPlacement.mIsolated;
  presence.mDigest = aRequest.mDigest;
  presence.mAt = mContext.mNow;
  UpstreamState& decode = *aPlacement.mDecode;
  attempt.mDecode.mUpstream = decode.mConfig.mName;
  attempt.mDecode.mAddress = decode.mConfig.mAddress;
  presence.mPieces = aRequest.mPieces;
  presence.mLink = aPlacement.mPrefill != nullptr;
  decode.Join(aRequest.Key(attempt), presence);
  if (aPlacement.mPrefill != nullptr) {
    UpstreamState& prefill = *aPlacement.mPrefill;
    attempt.mPrefill.mUpstream = prefill.mConfig.mName;
    attempt.mPrefill.mAddress = prefill.mConfig.mAddress;
    presence.mPieces = 0;
    presence.mLink = false;
    presence.mPromptTokens = aRequest.mArrival.mPromptTokens;
    prefill.Join(aRequest.Key(attempt), presence);
  }
  ++mContext.mRunningDigests[aRequest.mDigest];
  aRequest.mAttempts.push_back(std::move(attempt));
  const std::uint32_t number = aRequest.mAttempts.back().mNumber;
  BeginStep(aRequest, aRequest.mAttempts.back());
  return number;
}

void
AttemptMachine::BeginStep(RequestState& aRequest, Attempt& aAttempt)
{
  static constexpr std::array<Begin, kAttemptSteps> kBegin = {
    &AttemptMachine::BeginReserve, &AttemptMachine::BeginPrefill,
    &AttemptMachine::BeginImport,  &AttemptMachine::BeginDecode,
    &AttemptMachine::BeginPlain,   &AttemptMachine::BeginNothing
  };
  const Begin begin = kBegin[static_cast<std::size_t>(aAttempt.Step())];
  (this->*begin)(aRequest, aAttempt);
}

void
AttemptMachine::NextStep(RequestState& aRequest, Attempt& aAttempt)
{
  ++aAttempt.mStep;
  BeginStep(aRequest, aAttempt);
}

RequestCommand&
AttemptMachine::Call(RequestCommandKind aKind,
                     RequestState& aRequest,
                     Attempt& aAttempt,
                     AttemptPlace& aPlace)
{
  aPlace.mMayHold = true;
  aPlace.mCallOpen = true;
  RequestCommand& command = mContext.Command(aKind, aRequest, aAttempt.mNumber);
  command.mUpstream = aPlace.mUpstream;
  command.mAddress = aPlace.mAddress;
  command.mPriority =
    static_cast<std::uint32_t>(aRequest.mArrival.mRoute->mClass);
  return command;
}

bool
AttemptMachine::StillTakesWork(const AttemptPlace& aPlace) const
{
  const UpstreamState* upstream = mContext.mUpstreams.Find(aPlace.mUpstream);
  return upstream != nullptr && upstream->TakesWork(mContext.mNow);
}

void
AttemptMachine::BeginReserve(RequestState& aRequest, Attempt& aAttempt)
{
  if (!StillTakesWork(aAttempt.mDecode)) {
    Fail(aRequest, aAttempt, AttemptFailure::Full);
    return;
  }
  RequestCommand& command =
    Call(RequestCommandKind::Reserve, aRequest, aAttempt, aAttempt.mDecode);
  command.mPieces = aRequest.mPieces;
}

void
AttemptMachine::BeginPrefill(RequestState& aRequest, Attempt& aAttempt)
{
  if (!StillTakesWork(aAttempt.mPrefill)) {
    Fail(aRequest, aAttempt, AttemptFailure::Full);
    return;
  }
  SetExecuting(aRequest, aAttempt, aAttempt.mPrefill);
  ++mContext.mCounters.mPrefills;
  RequestCommand& command =
    Call(RequestCommandKind::Prefill, aRequest, aAttempt, aAttempt.mPrefill);
  command.mModel = aRequest.mArrival.mRoute->mModel;
  command.mResumeText = aRequest.mText;
}

void
AttemptMachine::BeginImport(RequestState& aRequest, Attempt& aAttempt)
{
  SetExecuting(aRequest, aAttempt, aAttempt.mDecode);
  RequestCommand& command =
    Call(RequestCommandKind::Import, aRequest, aAttempt, aAttempt.mDecode);
  command.mSourceAddress = aAttempt.mPrefill.mAddress;
  command.mKv = aAttempt.mKv;
}

void
AttemptMachine::BeginDecode(RequestState& aRequest, Attempt& aAttempt)
{
  aAttempt.mLastTokenAt = mContext.mNow;
  mContext.mTimers.Add(
    mContext.mNow + mContext.mSettings.mTokenGapLimit,
    { TimerKind::TokenGap, aRequest.mArrival.mId, aAttempt.mNumber });
  RequestCommand& command =
    Call(RequestCommandKind::Decode, aRequest, aAttempt, aAttempt.mDecode);
  command.mResumeFrom = aAttempt.mResumeFrom;
  command.mMaxTokens = aRequest.mArrival.mMaxTokens;
}

void
AttemptMachine::BeginPlain(RequestState& aRequest, Attempt& aAttempt)
{
  SetExecuting(aRequest, aAttempt, aAttempt.mDecode);
  Call(RequestCommandKind::CallPlain, aRequest, aAttempt, aAttempt.mDecode);
}

void
AttemptMachine::BeginNothing(RequestState& /*aRequest*/, Attempt& /*aAttempt*/)
{
}

void
AttemptMachine::SetExecuting(RequestState& aRequest,
                             Attempt& aAttempt,
                             const AttemptPlace& aPlace)
{
  UpstreamState* upstream = mContext.mUpstreams.Find(aPlace.mUpstream);
  Presence* presence =
    upstream == nullptr ? nullptr : upstream->Find(aRequest.Key(aAttempt));
  if (presence != nullptr) {
    presence->mExecuting = true;
  }
}

void
AttemptMachine::NoteSent(RequestState& aRequest, Attempt& aAttempt)
{
  aAttempt.mSent = true;
  aRequest.mSent = true;
  aRequest.mVerdict.Advance(RunVerdict::MayHaveRun);
}

void
AttemptMachine::Close(RequestState& /*aRequest*/,
                      Attempt& /*aAttempt*/,
                      AttemptPlace& aPlace,
                      const CallOutcome& aCall)
{
  aPlace.mCallOpen = false;
  UpstreamState* upstream = mContext.mUpstreams.Find(aPlace.mUpstream);
  if (upstream != nullptr && aCall.mEnd == CallEnd::NotConnected) {
    upstream->OnConnectFailed(mContext.mSettings.mConnectBackoff,
                              mContext.mNow);
  }
}

void
AttemptMachine::Leave(RequestState& aRequest,
                      Attempt& aAttempt,
                      AttemptPlace& aPlace)
{
  UpstreamState* upstream = mContext.mUpstreams.Find(aPlace.mUpstream);
  if (upstream != nullptr) {
    upstream->Leave(aRequest.Key(aAttempt));
    mContext.mPumpWanted = true;
  }
}

void
AttemptMachine::Free(RequestState& aRequest,
                     Attempt& aAttempt,
                     AttemptPlace& aPlace)
{
  if (aPlace.mUpstream.empty()) {
    return;
  }
  if (!aPlace.mMayHold) {
    Leave(aRequest, aAttempt, aPlace);
    return;
  }
  mContext.mCancels.Add(aPlace.mUpstream,
                        aPlace.mAddress,
                        aRequest.Key(aAttempt),
                        aPlace.mCallOpen,
                        mContext.mNow,
                        *mContext.mOut);
}

Attempt
AttemptMachine::Remove(RequestState& aRequest, std::uint32_t aNumber)
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
AttemptMachine::End(RequestState& aRequest, std::uint32_t aAttempt)
{
  Attempt attempt = Remove(aRequest, aAttempt);
  mContext.mCounters.mPrefillsWasted += attempt.mPrefilled ? 1 : 0;
  Free(aRequest, attempt, attempt.mPrefill);
  Free(aRequest, attempt, attempt.mDecode);
  mContext.mPumpWanted = true;
}

void
AttemptMachine::Fail(RequestState& aRequest,
                     Attempt& aAttempt,
                     AttemptFailure aFailure)
{
  const Attempt ended = aAttempt;
  End(aRequest, aAttempt.mNumber);
  mListener->OnAttemptFailed(aRequest, ended, aFailure);
}

void
AttemptMachine::FailCall(RequestState& aRequest,
                         Attempt& aAttempt,
                         const AttemptPlace& aPlace,
                         const CallOutcome& aCall)
{
  if (aCall.mEnd == CallEnd::Broken && aAttempt.mSent) {
    mListener->OnBrokenAt(aRequest, aPlace.mUpstream);
  }
  Fail(aRequest, aAttempt, FailureOf(aCall));
}

void
AttemptMachine::OnUpstreamLost(RequestState& aRequest,
                               std::uint32_t aAttempt,
                               const std::string& aUpstream,
                               bool aGone)
{
  Attempt* attempt = aRequest.FindAttempt(aAttempt);
  if (attempt == nullptr) {
    return;
  }
  const bool prefill = attempt->mPrefill.mUpstream == aUpstream;
  const AttemptPlace& lost = prefill ? attempt->mPrefill : attempt->mDecode;
  // A call of content may have been on its way there.
  if (lost.mCallOpen && attempt->Step() != AttemptStep::Reserve) {
    NoteSent(aRequest, *attempt);
  }
  Fail(aRequest,
       *attempt,
       aGone ? AttemptFailure::Broken : AttemptFailure::TimedOut);
}

void
AttemptMachine::OnReserve(RequestState& aRequest,
                          Attempt& aAttempt,
                          const ReserveAnswer& aAnswer)
{
  Close(aRequest, aAttempt, aAttempt.mDecode, aAnswer.mCall);
  if (aAnswer.mCall.Ok()) {
    NextStep(aRequest, aAttempt);
    return;
  }
  const bool full =
    aAnswer.mCall.mEnd == CallEnd::Whole && aAnswer.mCall.mStatus == kConflict;
  aAttempt.mDecode.mMayHold = !full && !NothingLeft(aAnswer.mCall);
  if (!full) {
    FailCall(aRequest, aAttempt, aAttempt.mDecode, aAnswer.mCall);
    return;
  }
  ++mContext.mCounters.mReserveRefused;
  UpstreamState* upstream =
    mContext.mUpstreams.Find(aAttempt.mDecode.mUpstream);
  if (upstream != nullptr) {
    upstream->OnFull(
      aAnswer.mFreePieces, mContext.mSettings.mFullBackoff, mContext.mNow);
  }
  Fail(aRequest, aAttempt, AttemptFailure::Full);
}

void
AttemptMachine::OnPrefill(RequestState& aRequest,
                          Attempt& aAttempt,
                          const PrefillAnswer& aAnswer)
{
  Close(aRequest, aAttempt, aAttempt.mPrefill, aAnswer.mCall);
  if (!NothingLeft(aAnswer.mCall)) {
    NoteSent(aRequest, aAttempt);
  }
  if (aAnswer.mCall.Ok()) {
    Leave(aRequest, aAttempt, aAttempt.mPrefill);
    aAttempt.mPrefilled = true;
    aAttempt.mKv = aAnswer.mKv;
    aAttempt.mKvExpiresAt = mContext.mNow + aAnswer.mExpiresIn;
    aRequest.mPromptTokens = aAnswer.mPromptTokens;
    mContext.mHints.OnStored(aRequest.mArrival.mPrefixHash,
                             aAttempt.mPrefill.mUpstream);
    NextStep(aRequest, aAttempt);
    return;
  }
  aAttempt.mPrefill.mMayHold =
    aAnswer.mCall.mEnd != CallEnd::Whole && !NothingLeft(aAnswer.mCall);
  if (aAnswer.mCall.mEnd != CallEnd::Whole ||
      aAnswer.mCall.mStatus != kTooManyRequests) {
    FailCall(aRequest, aAttempt, aAttempt.mPrefill, aAnswer.mCall);
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
AttemptMachine::OnImport(RequestState& aRequest,
                         Attempt& aAttempt,
                         const ImportAnswer& aAnswer)
{
  Close(aRequest, aAttempt, aAttempt.mDecode, aAnswer.mCall);
  if (aAnswer.mCall.Ok()) {
    aAttempt.mPrefill.mMayHold = false;
    UpstreamState* upstream =
      mContext.mUpstreams.Find(aAttempt.mDecode.mUpstream);
    if (upstream != nullptr) {
      upstream->ReleaseLink(aRequest.Key(aAttempt));
      mContext.mPumpWanted = true;
    }
    NextStep(aRequest, aAttempt);
    return;
  }
  const TimePoint again = mContext.mNow + mContext.mSettings.mImportRetryDelay;
  const bool whole = aAnswer.mCall.mEnd == CallEnd::Whole;
  if (whole && aAnswer.mCall.mStatus == kUnavailable &&
      again < aAttempt.mKvExpiresAt) {
    mContext.mTimers.Add(
      again,
      { TimerKind::ImportRetry, aRequest.mArrival.mId, aAttempt.mNumber });
    return;
  }
  if (whole && (aAnswer.mCall.mStatus == kGone ||
                aAnswer.mCall.mStatus == kUnavailable)) {
    Fail(aRequest, aAttempt, AttemptFailure::Expired);
    return;
  }
  FailCall(aRequest, aAttempt, aAttempt.mDecode, aAnswer.mCall);
}

void
AttemptMachine::OnImportRetry(RequestState& aRequest, Attempt& aAttempt)
{
  if (aAttempt.Step() == AttemptStep::Import && !aAttempt.mDecode.mCallOpen) {
    BeginImport(aRequest, aAttempt);
  }
}

void
AttemptMachine::OnToken(RequestState& aRequest,
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
  aAttempt.mPrefilled = false;
  aAttempt.mLastTokenAt = mContext.mNow;
  mListener->OnNextToken(aRequest, aAttempt, std::move(aText));
}

void
AttemptMachine::OnTokenGap(RequestState& aRequest, Attempt& aAttempt)
{
  if (aAttempt.Step() != AttemptStep::Decode) {
    return;
  }
  const TimePoint limit =
    aAttempt.mLastTokenAt + mContext.mSettings.mTokenGapLimit;
  if (mContext.mNow < limit) {
    mContext.mTimers.Add(
      limit, { TimerKind::TokenGap, aRequest.mArrival.mId, aAttempt.mNumber });
    return;
  }
  Fail(aRequest, aAttempt, AttemptFailure::TimedOut);
}

void
AttemptMachine::OnDecodeEnd(RequestState& aRequest,
                            Attempt& aAttempt,
                            const DecodeEnd& aEnd)
{
  Close(aRequest, aAttempt, aAttempt.mDecode, aEnd.mCall);
  const bool whole = aEnd.mCall.Ok() && aEnd.mDone;
  if (!whole) {
    FailCall(aRequest, aAttempt, aAttempt.mDecode, aEnd.mCall);
    return;
  }
  if (aEnd.mTokens != aRequest.mTokens) {
    Fail(aRequest, aAttempt, AttemptFailure::Error);
    return;
  }
  aAttempt.mPrefilled = false;
  aAttempt.mDecode.mMayHold = false;
  const Attempt ended = aAttempt;
  End(aRequest, aAttempt.mNumber);
  mListener->OnCompletion(aRequest, ended, aEnd.mFinishReason);
}

void
AttemptMachine::OnPlain(RequestState& aRequest,
                        Attempt& aAttempt,
                        PlainAnswer aAnswer)
{
  Close(aRequest, aAttempt, aAttempt.mDecode, aAnswer.mCall);
  if (!NothingLeft(aAnswer.mCall)) {
    NoteSent(aRequest, aAttempt);
  }
  const bool whole = aAnswer.mCall.mEnd == CallEnd::Whole;
  aAttempt.mDecode.mMayHold = !whole && aAttempt.mSent;
  if (!whole) {
    FailCall(aRequest, aAttempt, aAttempt.mDecode, aAnswer.mCall);
    return;
  }
  const Attempt ended = aAttempt;
  End(aRequest, aAttempt.mNumber);
  mListener->OnPlainWhole(aRequest, ended, std::move(aAnswer));
}

} // namespace peridothoist
