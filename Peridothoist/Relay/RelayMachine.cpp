#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayMachine.h>

#include <Peridothoist/Relay/RetryTimes.h>

#include <algorithm>
#include <cmath>

namespace peridothoist {

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
  , mCrashes(aSettings.mCrashWindow)
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
  return mBudgets
    .emplace(aService, RepeatBudget(mSettings.mBudget, mSettings.mStartedAt))
    .first->second;
}

std::map<std::string, double>
RelayMachine::RepeatsLeft(TimePoint aNow)
{
  std::map<std::string, double> left;
  for (auto& [service, budget] : mBudgets) {
    left[service] = budget.Left(mVmCount, aNow);
  }
  return left;
}

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
  if (call.mMayHaveBeenSent && RunsRequest(call.mKind)) {
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
RelayMachine::DropReservation(State& aState)
{
  if (aState.mReservation.empty()) {
    return;
  }
  if (mNow < aState.mReservedUntil) {
    RelayCommand& command =
      Command(RelayCommandKind::ReleaseReservation, aState);
    command.mReservation = std::move(aState.mReservation);
    command.mAddress = aState.mReservationAddress;
  }
  aState.mReservation.clear();
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
  const Duration most = LongestRetryWait(left);
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
  DropReservation(aState);
  ReleaseRoom(aState);
  if (aState.mVerdict.Get() == RunVerdict::NotRun) {
    mGate->Refund(aState.mArrival, mNow);
  }
  mWaiting.erase({ aState.mArrival.mPriority, id });
  Command(RelayCommandKind::Forget, aState);
  mRequests.erase(id);
}

/// An upstream is gone without having said that it leaves.
void
RelayMachine::OnUpstreamLost(const std::string& aUpstream)
{
  const auto present = mCrashes.OnLost(aUpstream, mNow);
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
  if (!route.MayRepeat() || !RunsRequest(call.mKind)) {
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
  if (!another || !MayTryAgain(aState) || !MayRepeatNow(aState)) {
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
