/// The relay machine's placing of requests on upstreams: the choice, whether a
/// prompt is read apart, and the wait for room.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayMachine.h>

#include <algorithm>
#include <cmath>

namespace peridothoist {

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
  const bool lapsed = mNow + mSettings.mHandleMargin >= aState.mHandleUntil;
  if (!aState.mHandle.empty() && lapsed) {
    DropHandle(aState);
    aState.mDirectOnly = true;
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
  if (!aState.mDirectOnly && mPlanner.IsSplit(plan)) {
    KeepRoom(aState, decode.mUpstream->mId);
    const bool oldNews = mLoads.NewsAgeSeconds() > 0;
    const bool reserves =
      !HasReservationAt(aState, decode.mUpstream->mId) &&
      mPlanner.IsReserved(plan.mAtDecode,
                          QuestionFor(aState, RelayStage::Decode).mMemoryTokens,
                          oldNews);
    if (reserves) {
      return StartOn(aState, *decode.mUpstream, RelayCallKind::Reserve);
    }
    return StartOn(aState, *prefill.mUpstream, RelayCallKind::Prefill);
  }
  return StartOn(aState, *decode.mUpstream, RelayCallKind::Stream);
}

/// Goes on after memory was reserved at aDecode.
bool
RelayMachine::BeginPrefill(State& aState, const RelayUpstream& aDecode)
{
  ChoiceQuestion question = QuestionFor(aState, RelayStage::Prefill);
  question.mZone = aDecode.mZone;
  const Choice prefill = mChooser.Choose(question, mNow);
  if (prefill.mUpstream == nullptr) {
    ReleaseRoom(aState);
    return StartOn(aState, aDecode, RelayCallKind::Stream);
  }
  return StartOn(aState, *prefill.mUpstream, RelayCallKind::Prefill);
}

bool
RelayMachine::HasReservationAt(const State& aState,
                               const std::string& aUpstream) const
{
  return !aState.mReservation.empty() &&
         aState.mReservationUpstream == aUpstream &&
         mNow < aState.mReservedUntil;
}

/// Whether the budget allows a send beyond the request's first.
bool
RelayMachine::MayRepeatNow(const State& aState)
{
  return BudgetOf(aState.mArrival.mService).HasRoom(mVmCount, mNow);
}

/// Takes the send that starts now off the budget when it is a repeat. Not
/// earlier: a request may wait for room in between, and the window counts
/// sends.
bool
RelayMachine::PayRepeat(State& aState)
{
  if (aState.mTried.empty() && !aState.mOwesRepeat) {
    return true;
  }
  if (!BudgetOf(aState.mArrival.mService).Take(mVmCount, mNow)) {
    ++mCounters.mRepeatsDenied;
    return false;
  }
  ++mCounters.mRepeats;
  aState.mOwesRepeat = false;
  return true;
}

bool
RelayMachine::StartOn(State& aState,
                      const RelayUpstream& aUpstream,
                      RelayCallKind aKind)
{
  if (RunsRequest(aKind) && !PayRepeat(aState)) {
    Refuse(aState, RefusalKind::UpstreamFailed);
    return false;
  }
  const RelayArrival& arrival = aState.mArrival;
  Call call;
  call.mAttempt = aState.mNextAttempt++;
  call.mUpstream = aUpstream.mId;
  call.mAddress = aUpstream.mAddress;
  call.mKind = aKind;
  const bool reserve = aKind == RelayCallKind::Reserve;
  call.mTokens = reserve ? 0 : arrival.mMemoryTokens; // KeepRoom() counts it.
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
  if (aKind == RelayCallKind::Stream &&
      HasReservationAt(aState, aUpstream.mId)) {
    command.mReservation = std::move(aState.mReservation);
    aState.mReservation.clear();
  }
  if (reserve) {
    command.mMemoryTokens = arrival.mMemoryTokens;
    command.mReservationLasts = mSettings.mReservationLasts;
  } else if (aKind == RelayCallKind::Prefill) {
    command.mTimeLeft = std::min(command.mTimeLeft, mSettings.mPrefillPatience);
    ++mCounters.mPrefills;
  } else {
    ++mCounters.mSent;
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
/// those that are late already, here and at the other VMs, and by priority and
/// arrival among each.
void
RelayMachine::Pump()
{
  std::vector<std::uint64_t> inTime;
  std::vector<std::uint64_t> late;
  for (const auto& place : mWaiting) {
    const State* state = Find(place.second);
    if (state != nullptr && !state->mCall) {
      (IsLate(*state) ? late : inTime).push_back(place.second);
    }
  }
  const WaitingRequests others = mLoads.PeersWaiting();
  const auto partOf = [](std::size_t aOwn, std::size_t aOthers) {
    return static_cast<double>(aOwn) /
           static_cast<double>(std::max<std::size_t>(1, aOwn + aOthers));
  };
  BeginSome(inTime, partOf(inTime.size(), others.mInTime));
  if (others.mInTime == 0 && mWaiting.size() <= late.size()) {
    BeginSome(late, partOf(late.size(), others.mLate));
  }
}

/// Begins requests, in their order, while this VM's part of the room lasts. All
/// VMs see the same room at the same time; a fraction is rounded by chance.
void
RelayMachine::BeginSome(const std::vector<std::uint64_t>& aRequests,
                        double aPart)
{
  if (aRequests.empty()) {
    return;
  }
  const State& first = *Find(aRequests.front());
  const RelayStage stage = first.mArrival.mRoute->mKind == RelayKind::Stream
                             ? RelayStage::Decode
                             : RelayStage::Plain;
  const double room = mChooser.RoomFor(QuestionFor(first, stage), mNow);
  const double part = std::max(room, 0.0) * aPart;
  const double whole = std::floor(part);
  double starts = whole + (mRandom->Unit() < part - whole ? 1 : 0);
  for (const std::uint64_t id : aRequests) {
    State* state = Find(id);
    if (starts < 1) {
      return;
    }
    if (state != nullptr && !state->mCall) {
      starts -= 1;
      Begin(*state);
    }
  }
}

WaitingRequests
RelayMachine::WaitingNow(TimePoint aNow)
{
  mNow = std::max(mNow, aNow);
  WaitingRequests waiting;
  for (const auto& place : mWaiting) {
    const State* state = Find(place.second);
    if (state != nullptr) {
      ++(IsLate(*state) ? waiting.mLate : waiting.mInTime);
    }
  }
  return waiting;
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

} // namespace peridothoist
