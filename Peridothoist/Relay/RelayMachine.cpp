#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayMachine.h>

#include <algorithm>
#include <cmath>

namespace peridothoist {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

/// A caller comes back after at most this part of the time that it has left.
constexpr double kMostRetryPart = 0.3;

/// A status by which a caller would take the request for not run.
bool
PromisesNotRun(int aStatus)
{
  return aStatus == kTooManyRequests || aStatus == kUnavailable ||
         aStatus == 408 || aStatus == 421;
}

} // namespace

RelayMachine::RelayMachine(const Settings& aSettings,
                           RelayGate* aGate,
                           Random* aRandom)
  : mSettings(aSettings)
  , mGate(aGate)
  , mRandom(aRandom)
  , mConfiguration(std::make_shared<const RelayConfiguration>())
  , mRoster(aSettings.mRoster)
  , mLoads(aSettings.mLoads)
  , mChooser(aSettings.mChooser, &mRoster, &mLoads, aRandom)
  , mPlanner(aSettings.mPlan)
  , mSuspects(aSettings.mSuspects)
{
}

RelayMachine::~RelayMachine() = default;

void
RelayMachine::SetConfiguration(
  std::shared_ptr<const RelayConfiguration> aConfig)
{
  mConfiguration = std::move(aConfig);
}

void
RelayMachine::SetRepeatBudget(const RepeatBudgetSettings& aSettings)
{
  mSettings.mBudget = aSettings;
  for (auto& [service, budget] : mBudgets) {
    budget.SetSettings(aSettings);
  }
}

RelayMachine::State*
RelayMachine::Find(std::uint64_t aId)
{
  const auto it = mRequests.find(aId);
  return it == mRequests.end() ? nullptr : &it->second;
}

RelayMachine::Call*
RelayMachine::FindCall(std::uint64_t aId, std::uint32_t aAttempt)
{
  State* state = Find(aId);
  const bool open =
    state != nullptr && state->mCall && state->mCall->mAttempt == aAttempt;
  return open ? &*state->mCall : nullptr;
}

RelayCommand&
RelayMachine::Command(RelayCommandKind aKind, const State& aState)
{
  RelayCommand command;
  command.mKind = aKind;
  command.mId = aState.mArrival.mId;
  mOut->push_back(std::move(command));
  return mOut->back();
}

RepeatBudget&
RelayMachine::BudgetOf(const std::string& aService)
{
  return mBudgets.emplace(aService, RepeatBudget(mSettings.mBudget))
    .first->second;
}

// Arrival and placing.

void
RelayMachine::OnArrival(RelayArrival aArrival,
                        TimePoint aNow,
                        RelayCommands& aOut)
{
  mNow = aNow;
  mOut = &aOut;
  ++mCounters.mArrived;
  const std::uint64_t id = aArrival.mId;
  PH_ASSERT(aArrival.mRoute != nullptr && mRequests.count(id) == 0);
  State& state = mRequests[id];
  state.mLastEventId = aArrival.mLastEventId;
  state.mArrival = std::move(aArrival);
  mTimers.Add(state.mArrival.mDeadline, { TimerKind::Deadline, id, 0 });
  BudgetOf(state.mArrival.mService).OnRequest(aNow);
  if (mSuspects.QuarantinedUntil(state.mArrival.mDigest, aNow)) {
    Refuse(state, RefusalKind::Quarantined);
    return;
  }
  Begin(state);
}

void
RelayMachine::Begin(State& aState)
{
  const RelayArrival& arrival = aState.mArrival;
  mWaiting.erase({ arrival.mPriority, arrival.mId });
  if (mNow + mSettings.mLeastTimeLeft >= arrival.mDeadline) {
    Refuse(aState, RefusalKind::DeadlinePassed);
    return;
  }
  const auto refusal = mGate->MayRelay(arrival, mNow);
  if (refusal) {
    Refuse(aState, *refusal);
    return;
  }
  if (arrival.mRoute->mKind == RelayKind::Stream) {
    BeginStream(aState);
  } else {
    BeginWhole(aState);
  }
}

ChoiceQuestion
RelayMachine::QuestionFor(const State& aState, RelayStage aStage) const
{
  ChoiceQuestion question;
  question.mService = aState.mArrival.mService;
  question.mStage = aStage;
  question.mZone = mSettings.mZone;
  question.mTokens = aState.mArrival.mMemoryTokens;
  question.mExcluded = aState.mExcluded;
  const RelayEngines* engines = EnginesOf(aState);
  question.mMemoryTokens = engines == nullptr ? 0 : engines->mMemoryTokens;
  return question;
}

bool
RelayMachine::BeginWhole(State& aState)
{
  const Choice choice =
    mChooser.Choose(QuestionFor(aState, RelayStage::Plain), mNow);
  if (choice.mUpstream == nullptr) {
    OnNoChoice(aState, choice.mWhyNot);
    return false;
  }
  return StartOn(aState, *choice.mUpstream, RelayCallKind::Whole);
}

bool
RelayMachine::BeginStream(State& aState)
{
  Choice decode =
    mChooser.Choose(QuestionFor(aState, RelayStage::Decode), mNow);
  if (decode.mUpstream == nullptr && decode.mWhyNot == NoChoice::NoUpstream) {
    // A service whose upstreams name no stage streams by itself.
    const Choice plain =
      mChooser.Choose(QuestionFor(aState, RelayStage::Plain), mNow);
    decode = plain.mUpstream != nullptr ? plain : decode;
  }
  if (decode.mUpstream == nullptr) {
    OnNoChoice(aState, decode.mWhyNot);
    return false;
  }
  if (!aState.mHandle.empty()) {
    return StartOn(aState, *decode.mUpstream, RelayCallKind::Stream);
  }
  ChoiceQuestion question = QuestionFor(aState, RelayStage::Prefill);
  question.mZone = decode.mUpstream->mZone;
  const Choice prefill = mChooser.Choose(question, mNow);
  PlanQuestion plan;
  plan.mPromptTokens = aState.mArrival.mPromptTokens;
  plan.mAtDecode = mLoads.Work(decode.mUpstream->mId);
  if (prefill.mUpstream != nullptr) {
    plan.mAtPrefill = mLoads.Work(prefill.mUpstream->mId);
  }
  plan.mOnlyOneSend = aState.mArrival.mRoute->mMaxAttempts < 2;
  if (!aState.mDirectOnly && mPlanner.IsSplit(plan)) {
    KeepRoom(aState, decode.mUpstream->mId);
    return StartOn(aState, *prefill.mUpstream, RelayCallKind::Prefill);
  }
  return StartOn(aState, *decode.mUpstream, RelayCallKind::Stream);
}

/// Takes a send beyond the request's first off the budget, once.
bool
RelayMachine::PayRepeat(State& aState)
{
  if (aState.mTried.empty() || aState.mRepeatPaid) {
    return true;
  }
  if (!BudgetOf(aState.mArrival.mService).Take(mVmCount, mNow)) {
    ++mCounters.mRepeatsDenied;
    return false;
  }
  ++mCounters.mRepeats;
  aState.mRepeatPaid = true;
  return true;
}

bool
RelayMachine::StartOn(State& aState,
                      const RelayUpstream& aUpstream,
                      RelayCallKind aKind)
{
  const bool prefill = aKind == RelayCallKind::Prefill;
  if (!prefill && !PayRepeat(aState)) {
    Refuse(aState, RefusalKind::UpstreamFailed);
    return false;
  }
  const RelayArrival& arrival = aState.mArrival;
  Call call;
  call.mAttempt = aState.mNextAttempt++;
  call.mUpstream = aUpstream.mId;
  call.mAddress = aUpstream.mAddress;
  call.mKind = aKind;
  call.mTokens = arrival.mMemoryTokens;
  call.mLastSign = mNow;
  call.mTakesHandle = aKind == RelayCallKind::Stream && !aState.mHandle.empty();

  RelayCommand& command = Command(RelayCommandKind::StartCall, aState);
  command.mAttempt = call.mAttempt;
  command.mUpstream = call.mUpstream;
  command.mAddress = call.mAddress;
  command.mCall = aKind;
  command.mWorkspace = arrival.mWorkspace;
  command.mPriority = arrival.mPriority;
  command.mTimeLeft = arrival.mDeadline - mNow;
  command.mLastEventId = aState.mLastEventId;
  if (call.mTakesHandle) {
    call.mHandle = std::move(aState.mHandle);
    call.mHandleAddress = aState.mHandleAddress;
    aState.mHandle.clear();
    command.mHandle = call.mHandle;
    command.mHandleAddress = call.mHandleAddress;
  }
  if (prefill) {
    command.mTimeLeft = std::min(command.mTimeLeft, mSettings.mPrefillPatience);
    ++mCounters.mPrefills;
  } else {
    ++mCounters.mSent;
    aState.mRepeatPaid = false;
    aState.mTried.insert(aUpstream.mId);
  }
  mLoads.OnSent(call.mUpstream, call.mTokens);
  aState.mCall = std::move(call);
  ArmSilence(aState);
  return true;
}

void
RelayMachine::OnNoChoice(State& aState, NoChoice aWhy)
{
  const RelayArrival& arrival = aState.mArrival;
  if (aWhy == NoChoice::NoUpstream) {
    Refuse(aState,
           aState.mTried.empty() ? RefusalKind::NoUpstream
                                 : RefusalKind::UpstreamFailed);
    return;
  }
  if (!aState.mWaitUntil) {
    const auto wait = std::chrono::duration_cast<Duration>(arrival.mPatience *
                                                           mSettings.mWaitPart);
    aState.mWaitUntil = std::min(arrival.mArrivedAt + wait, arrival.mDeadline);
    mTimers.Add(*aState.mWaitUntil, { TimerKind::Pump, arrival.mId, 0 });
  }
  if (mNow >= *aState.mWaitUntil) {
    Refuse(aState, RefusalKind::TooLate);
    return;
  }
  mWaiting.insert({ arrival.mPriority, arrival.mId });
}

/// Gives room to waiting requests: to those that can still be in time before
/// those that are late already, and by priority and arrival among each.
void
RelayMachine::Pump()
{
  if (mWaiting.empty()) {
    return;
  }
  const auto waiting = mWaiting;
  double starts = -1;
  for (const bool late : { false, true }) {
    for (const auto& place : waiting) {
      State* state = Find(place.second);
      if (state == nullptr || state->mCall || IsLate(*state) != late) {
        continue;
      }
      if (starts < 0) {
        starts = OwnPartOfRoom(*state, waiting.size());
      }
      if (starts < 1) {
        return;
      }
      starts -= 1;
      Begin(*state);
    }
  }
}

/// This VM's part of the room that is free, by how many requests wait here and
/// at the others: all VMs see the same room at the same time. A fraction is
/// rounded by chance.
double
RelayMachine::OwnPartOfRoom(const State& aState, std::size_t aWaiting)
{
  const RelayStage stage = aState.mArrival.mRoute->mKind == RelayKind::Stream
                             ? RelayStage::Decode
                             : RelayStage::Plain;
  const double room = mChooser.RoomFor(QuestionFor(aState, stage), mNow);
  const double own = static_cast<double>(aWaiting);
  const double all = own + static_cast<double>(mLoads.PeersWaiting());
  const double part = std::max(room, 0.0) * own / all;
  const double whole = std::floor(part);
  return whole + (mRandom->Unit() < part - whole ? 1 : 0);
}

bool
RelayMachine::IsLate(const State& aState) const
{
  const RelayArrival& arrival = aState.mArrival;
  const bool stream = arrival.mRoute->mKind == RelayKind::Stream;
  const Duration start = stream ? mSettings.mUsualStart : Duration(0);
  return mNow + start - arrival.mArrivedAt >= arrival.mRoute->mTargetLatency;
}

bool
RelayMachine::MayStillSend(std::uint64_t aId,
                           std::uint32_t aAttempt,
                           TimePoint aNow)
{
  Call* call = FindCall(aId, aAttempt);
  if (call == nullptr) {
    return false;
  }
  const RelayArrival& arrival = Find(aId)->mArrival;
  const bool may = aNow < arrival.mDeadline &&
                   mRoster.TakesWork(call->mUpstream) &&
                   !mGate->MayRelay(arrival, aNow);
  call->mMayHaveBeenSent = call->mMayHaveBeenSent || may;
  return may;
}

// What comes back.

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
  static constexpr std::array<EndHandler, 3> kHandlers = {
    &RelayMachine::OnWhole, &RelayMachine::OnPrefill, &RelayMachine::OnStream
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
  if (outcome.mMayHaveBeenSent && !aEnd.mNotRun) {
    const bool prefill = call.mKind == RelayCallKind::Prefill;
    const bool good = outcome.Ok() && (aEnd.mSound || prefill);
    mLoads.OnOutcome(call.mUpstream, !good, aNow);
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
  if (!PayRepeat(aState)) {
    Refuse(aState, RefusalKind::NoUpstream);
    return;
  }
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
  if (++aState.mUnsent > mSettings.mMaxUnsent) {
    Refuse(aState, RefusalKind::NoUpstream);
    return;
  }
  Begin(aState);
}

void
RelayMachine::OnRejected(State& aState, const Call& aCall, bool aOther)
{
  ++mCounters.mRejected;
  aState.mDirectOnly = true;
  if (aOther) {
    mLoads.OnGone(aCall.mUpstream, mNow);
    OnUpstreamLost(aCall.mUpstream);
    aState.mExcluded.insert(aCall.mUpstream);
    KeepHandle(aState, aCall);
    if (aCall.mKind != RelayCallKind::Prefill) {
      // The upstream that was meant never got it.
      if (!PayRepeat(aState)) {
        Refuse(aState, RefusalKind::NoUpstream);
        return;
      }
      aState.mTried.erase(aCall.mUpstream);
      Begin(aState);
      return;
    }
  }
  if (aCall.mKind == RelayCallKind::Prefill) {
    // A refused prefill counts as a send beyond the first.
    BudgetOf(aState.mArrival.mService).Take(mVmCount, mNow);
    ReleaseRoom(aState);
    mLoads.OnFailure(aCall.mUpstream, mNow);
    Begin(aState);
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
  } else {
    ReleaseRoom(aState);
    mLoads.OnFailure(aCall.mUpstream, mNow);
    if (aEnd.mOutcome.mEnd == CallEnd::Broken) {
      ++mCounters.mBroken;
      NoteBroken(aCall.mUpstream, aState.mArrival.mDigest);
    }
  }
  aState.mDirectOnly = true;
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
    if (other.mUpstream != nullptr && PayRepeat(aState)) {
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
    NoteBroken(aCall.mUpstream, aState.mArrival.mDigest);
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

// Ends of requests.

void
RelayMachine::OnCallerGone(std::uint64_t aId,
                           TimePoint aNow,
                           RelayCommands& aOut)
{
  mNow = aNow;
  mOut = &aOut;
  State* state = Find(aId);
  if (state == nullptr) {
    return;
  }
  ++mCounters.mCallersGone;
  CancelCall(*state);
  Finish(*state);
  Pump();
}

void
RelayMachine::CancelCall(State& aState)
{
  if (!aState.mCall) {
    return;
  }
  const Call call = TakeCall(aState);
  RelayCommand& command = Command(RelayCommandKind::CancelCall, aState);
  command.mAttempt = call.mAttempt;
  command.mUpstream = call.mUpstream;
  if (call.mMayHaveBeenSent && call.mKind != RelayCallKind::Prefill) {
    aState.mVerdict.Advance(RunVerdict::MayHaveRun);
  }
}

void
RelayMachine::DropHandle(State& aState)
{
  if (aState.mHandle.empty()) {
    return;
  }
  RelayCommand& command = Command(RelayCommandKind::ReleaseHandle, aState);
  command.mHandle = std::move(aState.mHandle);
  command.mHandleAddress = aState.mHandleAddress;
  aState.mHandle.clear();
}

void
RelayMachine::Answer(State& aState, RelayAnswer aAnswer)
{
  Command(RelayCommandKind::SendAnswer, aState).mAnswer = std::move(aAnswer);
  Finish(aState);
}

void
RelayMachine::Refuse(State& aState, RefusalKind aKind)
{
  ++mCounters.mRefused[static_cast<std::size_t>(aKind)];
  const Refusal refusal =
    Refusal::Make(aKind, aState.mVerdict, RetryAfter(aState, aKind));
  Command(aState.mHeadSent ? RelayCommandKind::AbortStream
                           : RelayCommandKind::SendRefusal,
          aState)
    .mRefusal = refusal;
  Finish(aState);
}

Duration
RelayMachine::RetryAfter(const State& aState, RefusalKind aKind)
{
  if (aState.mVerdict.Get() != RunVerdict::NotRun) {
    return Duration(0);
  }
  const RelayArrival& arrival = aState.mArrival;
  const Duration left = arrival.mArrivedAt + arrival.mPatience - mNow;
  const auto most = std::chrono::duration_cast<Duration>(left * kMostRetryPart);
  // Another VM may serve at once what this one can't.
  const bool elsewhere = aKind == RefusalKind::ViewStale;
  const double part = elsewhere ? 0.1 : 0.5;
  const double spread = part + (1.0 - part) * mRandom->Unit();
  return std::max(Duration(0),
                  std::chrono::duration_cast<Duration>(most * spread));
}

void
RelayMachine::Finish(State& aState)
{
  const std::uint64_t id = aState.mArrival.mId;
  PH_ASSERT(!aState.mCall);
  DropHandle(aState);
  ReleaseRoom(aState);
  if (aState.mVerdict.Get() == RunVerdict::NotRun) {
    mGate->Refund(aState.mArrival, mNow);
  }
  mWaiting.erase({ aState.mArrival.mPriority, id });
  Command(RelayCommandKind::Forget, aState);
  mRequests.erase(id);
}

// Crashes.

void
RelayMachine::NoteBroken(const std::string& aUpstream,
                         const std::string& aDigest)
{
  std::vector<Break>& breaks = mBreaks[aUpstream];
  breaks.erase(std::remove_if(breaks.begin(),
                              breaks.end(),
                              [this](const Break& aBreak) {
                                return mNow - aBreak.mAt >
                                       mSettings.mCrashWindow;
                              }),
               breaks.end());
  breaks.push_back({ aDigest, mNow });
}

void
RelayMachine::OnUpstreamLost(const std::string& aUpstream)
{
  const auto it = mBreaks.find(aUpstream);
  if (it == mBreaks.end()) {
    return;
  }
  std::vector<std::string> present;
  for (const Break& it2 : it->second) {
    if (mNow - it2.mAt <= mSettings.mCrashWindow) {
      present.push_back(it2.mDigest);
    }
  }
  mBreaks.erase(it);
  if (!present.empty()) {
    mCounters.mQuarantined += mSuspects.OnCrash(present, mNow).size();
  }
}

void
RelayMachine::OnListed(std::vector<RelayUpstream> aUpstreams,
                       TimePoint aNow,
                       RelayCommands& aOut)
{
  mNow = aNow;
  mOut = &aOut;
  for (const UpstreamLoss& it : mRoster.OnListed(std::move(aUpstreams), aNow)) {
    if (!it.mExpected) {
      OnUpstreamLost(it.mId);
    }
    mLoads.Forget(it.mId);
  }
  Pump();
}

void
RelayMachine::OnPeerWork(const std::string& aVm,
                         const WorkByUpstream& aWork,
                         TimePoint aNow,
                         RelayCommands& aOut)
{
  mNow = aNow;
  mOut = &aOut;
  mLoads.OnPeerWork(aVm, aWork);
  Pump();
}

// Timers.

void
RelayMachine::OnTick(TimePoint aNow, RelayCommands& aOut)
{
  mNow = aNow;
  mOut = &aOut;
  while (const auto timer = mTimers.TakeDue(aNow)) {
    State* state = Find(timer->mId);
    if (state == nullptr) {
      continue;
    }
    if (timer->mKind == TimerKind::Deadline) {
      OnDeadline(*state);
    } else if (timer->mKind == TimerKind::TokenGap) {
      const bool current =
        state->mCall && state->mCall->mAttempt == timer->mAttempt;
      if (current) {
        OnSilence(*state);
      }
    } else if (!state->mCall) {
      Begin(*state);
    }
  }
}

void
RelayMachine::OnDeadline(State& aState)
{
  CancelCall(aState);
  Refuse(aState, RefusalKind::DeadlinePassed);
  Pump();
}

void
RelayMachine::ArmSilence(State& aState)
{
  Call& call = *aState.mCall;
  const RelayRoute& route = *aState.mArrival.mRoute;
  if (!route.MayRepeat() || call.mKind == RelayCallKind::Prefill) {
    return;
  }
  Duration patience = mSettings.mFirstEventPatience;
  if (call.mKind == RelayCallKind::Whole) {
    patience = std::chrono::duration_cast<Duration>(route.mTargetLatency *
                                                    mSettings.mPatienceFactor);
  } else if (call.mSawEvent) {
    patience = mSettings.mEventGapPatience;
  }
  call.mSilenceAt = call.mLastSign + patience;
  mTimers.Add(call.mSilenceAt,
              { TimerKind::TokenGap, aState.mArrival.mId, call.mAttempt });
}

void
RelayMachine::OnSilence(State& aState)
{
  const Call& call = *aState.mCall;
  if (mNow < call.mSilenceAt) {
    return; // A newer timer is set.
  }
  const bool silent = call.mKind == RelayCallKind::Whole || !call.mSawEvent ||
                      mNow >= call.mLastSign + mSettings.mEventGapPatience;
  if (!silent) {
    ArmSilence(aState);
    return;
  }
  ChoiceQuestion question =
    QuestionFor(aState,
                call.mKind == RelayCallKind::Whole ? RelayStage::Plain
                                                   : RelayStage::Decode);
  question.mExcluded.insert(call.mUpstream);
  const bool another = mChooser.Choose(question, mNow).mUpstream != nullptr;
  if (!another || !MayTryAgain(aState) || !PayRepeat(aState)) {
    return; // It may still answer.
  }
  const std::string upstream = call.mUpstream;
  CancelCall(aState);
  mLoads.OnFailure(upstream, mNow);
  aState.mExcluded.insert(upstream);
  aState.mDirectOnly = true;
  TryAgain(aState, RefusalKind::UpstreamFailed);
}

} // namespace peridothoist
