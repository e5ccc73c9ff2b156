#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayStateMachine.h>

#include <Peridothoist/Relay/RetryTimes.h>

#include <algorithm>
#include <cmath>

namespace peridothoist {

RelayStateMachine::RelayStateMachine(const Settings& aSettings,
                                     RelayPolicy* aPolicy,
                                     Random* aRandom)
  : mSettings(aSettings)
  , mPolicy(aPolicy)
  , mRandom(aRandom)
  , mConfiguration(std::make_shared<const RelayConfiguration>())
  , mUpstreamList(aSettings.mUpstreamList)
  , mLoads(aSettings.mLoads)
  , mLimiter(aSettings.mLimits)
  , mSpeeds(aSettings.mSpeeds)
  , mReach(aSettings.mReach)
  , mChooser(aSettings.mChooser,
             &mUpstreamList,
             &mLoads,
             &mLimiter,
             &mSpeeds,
             aRandom)
  , mPlanner(aSettings.mPlanner)
  , mCrashEvidence(aSettings.mCrashEvidence)
  , mBrokenCalls(aSettings.mCrashWindow)
  , mOrigins(aSettings.mOrigins)
{
}

RelayStateMachine::~RelayStateMachine() = default;

void
RelayStateMachine::SetConfiguration(
  std::shared_ptr<const RelayConfiguration> aConfig)
{
  mConfiguration = std::move(aConfig);
}

void
RelayStateMachine::SetRetryBudget(const RelayRetryBudgetSettings& aSettings)
{
  mSettings.mRetryBudget = aSettings;
  for (auto& [service, budget] : mRetryBudgets) {
    budget.SetSettings(aSettings);
  }
}

RelayStateMachine::State*
RelayStateMachine::Find(std::uint64_t aId)
{
  const auto it = mRequests.find(aId);
  return it == mRequests.end() ? nullptr : &it->second;
}

RelayStateMachine::Call*
RelayStateMachine::FindCall(std::uint64_t aId, std::uint32_t aAttempt)
{
  State* state = Find(aId);
  if (state == nullptr) {
    return nullptr;
  }
  for (std::optional<Call>* it : { &state->mCall, &state->mSecondCall }) {
    if (*it && (*it)->mAttempt == aAttempt) {
      return &**it;
    }
  }
  return nullptr;
}

RelayCommand&
RelayStateMachine::Command(RelayCommandKind aKind, const State& aState)
{
  RelayCommand command;
  command.mKind = aKind;
  command.mId = aState.mRequest.mId;
  mOut->push_back(std::move(command));
  return mOut->back();
}

RelayRetryBudget&
RelayStateMachine::RetryBudgetOf(const std::string& aService)
{
  return mRetryBudgets
    .emplace(aService,
             RelayRetryBudget(mSettings.mRetryBudget, mSettings.mStartedAt))
    .first->second;
}

std::map<std::string, double>
RelayStateMachine::RetriesLeft(TimePoint aNow)
{
  std::map<std::string, double> left;
  for (auto& [service, budget] : mRetryBudgets) {
    left[service] = budget.Remaining(mVmCount, aNow);
  }
  return left;
}

void
RelayStateMachine::OnArrival(AdmittedRequest aRequest,
                             TimePoint aNow,
                             RelayCommands& aOut)
{
  mNow = aNow;
  mOut = &aOut;
  ++mCounters.mArrived;
  const std::uint64_t id = aRequest.mId;
  PH_ASSERT(aRequest.mRoute != nullptr && mRequests.count(id) == 0);
  State& state = mRequests[id];
  state.mLastEventId = aRequest.mLastEventId;
  state.mRequest = std::move(aRequest);
  state.mContents = ContentsOf(state.mRequest);
  mTimers.Add(state.mRequest.mDeadline, { TimerKind::Deadline, id, 0 });
  RetryBudgetOf(state.mRequest.mService).OnRequest(aNow);
  mLimiter.OnRequest(state.mRequest.mService, aNow);
  if (mIsServiceEnded) {
    Refuse(state, RefusalKind::Leaving);
    return;
  }
  if (IsQuarantined(state, aNow)) {
    Refuse(state, RefusalKind::Quarantined);
    return;
  }
  if (state.mRequest.mIsResumed && state.mRequest.mRoute->mIsResumable) {
    PlaceResumed(state);
    return;
  }
  PlaceArrival(state);
}

// Ends of requests

void
RelayStateMachine::OnCallerDisconnected(std::uint64_t aId,
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
  CancelCall(*state, CancelReason::CallerGone);
  Finish(*state);
  DispatchWaiting();
}

void
RelayStateMachine::CancelCall(State& aState, CancelReason aReason)
{
  CancelSecondCall(aState, aReason);
  if (aState.mCall) {
    Cancel(aState, CloseCall(aState.mCall), aReason);
  }
}

/// Cancels a call that is closed already.
void
RelayStateMachine::Cancel(State& aState,
                          const Call& aCall,
                          CancelReason aReason)
{
  RelayCommand& command = Command(RelayCommandKind::CancelCall, aState);
  command.mAttempt = aCall.mAttempt;
  command.mUpstream = aCall.mUpstream;
  command.mCancelReason = aReason;
  command.mSilence = mNow - aCall.mLastActivity;
  ++mCounters.mCancelled[static_cast<std::size_t>(aReason)];
  if (aCall.mMayHaveBeenSent && RunsRequest(aCall.mKind)) {
    aState.mVerdict.Advance(RunVerdict::MayHaveRun);
  }
}

/// Returns whether the upstream's availability zone is evacuated, so that it is
/// sent nothing at all.
bool
RelayStateMachine::IsEvacuated(const std::string& aUpstream) const
{
  const RelayUpstream* upstream = mUpstreamList.Find(aUpstream);
  return upstream != nullptr && upstream->mIsEvacuated;
}

void
RelayStateMachine::ReleaseHandle(State& aState)
{
  if (aState.mHandle.empty()) {
    return;
  }
  if (IsEvacuated(aState.mHandleUpstream)) {
    aState.mHandle.clear(); // It expires.
    return;
  }
  mLimiter.OnSent(aState.mHandleUpstream, mNow);
  RelayCommand& command = Command(RelayCommandKind::ReleaseHandle, aState);
  command.mUpstream = aState.mHandleUpstream;
  command.mTunnel = ChooseTunnel(aState);
  command.mHandle = std::move(aState.mHandle);
  command.mHandleAddress = aState.mHandleAddress;
  aState.mHandle.clear();
}

void
RelayStateMachine::ReleaseReservation(State& aState)
{
  if (aState.mReservation.empty()) {
    return;
  }
  const bool isReleased = mNow < aState.mReservationExpiresAt &&
                          !IsEvacuated(aState.mReservationUpstream);
  if (isReleased) {
    RelayCommand& command =
      Command(RelayCommandKind::ReleaseReservation, aState);
    command.mUpstream = aState.mReservationUpstream;
    command.mTunnel = ChooseTunnel(aState);
    command.mReservation = std::move(aState.mReservation);
    command.mAddress = aState.mReservationAddress;
    mLimiter.OnSent(aState.mReservationUpstream, mNow);
  }
  aState.mReservation.clear();
}

void
RelayStateMachine::Respond(State& aState, RelayResponse aResponse)
{
  Command(RelayCommandKind::SendResponse, aState).mResponse =
    std::move(aResponse);
  Finish(aState);
}

void
RelayStateMachine::Refuse(State& aState, RefusalKind aKind)
{
  ++mCounters.mRefused[static_cast<std::size_t>(aKind)];
  mCounters.mAborted[static_cast<std::size_t>(aKind)] +=
    aState.mHeadSent ? 1 : 0;
  const Refusal refusal =
    Refusal::Make(aKind, aState.mVerdict, ChooseRetryAfter(aState, aKind));
  Command(aState.mHeadSent ? RelayCommandKind::AbortStream
                           : RelayCommandKind::SendRefusal,
          aState)
    .mRefusal = refusal;
  Finish(aState);
}

Duration
RelayStateMachine::ChooseRetryAfter(const State& aState, RefusalKind aKind)
{
  if (aState.mVerdict.Get() != RunVerdict::NotRun) {
    return Duration(0);
  }
  const AdmittedRequest& request = aState.mRequest;
  const Duration left = request.mArrivedAt + request.mCallerTimeout - mNow;
  const Duration maxWait = MaxRetryWait(left);
  // Another VM may serve the request at once.
  const bool elsewhere =
    aKind == RefusalKind::ViewStale || aKind == RefusalKind::Leaving;
  const auto limitedWait =
    aKind == RefusalKind::TooLate ? LimitedWait(aState) : std::nullopt;
  if (limitedWait && *limitedWait < maxWait) {
    const auto spread = std::chrono::duration_cast<Duration>(
      *limitedWait * (1.0 + mRandom->UniformFraction()));
    return std::min(maxWait, spread);
  }
  const double minimum = elsewhere ? 0.1 : 0.5;
  const double fraction =
    minimum + (1.0 - minimum) * mRandom->UniformFraction();
  return std::max(Duration(0),
                  std::chrono::duration_cast<Duration>(maxWait * fraction));
}

void
RelayStateMachine::Finish(State& aState)
{
  const std::uint64_t id = aState.mRequest.mId;
  PH_ASSERT(!aState.mCall && !aState.mSecondCall);
  ReleaseHandle(aState);
  ReleaseReservation(aState);
  ReleaseMemory(aState);
  if (aState.mVerdict.Get() == RunVerdict::NotRun) {
    mPolicy->Refund(aState.mRequest, mNow);
  }
  mWaiting.erase({ aState.mRequest.mPriority, id });
  StopAwaitingOrigin(aState);
  Command(RelayCommandKind::Forget, aState).mOrigin = aState.mOrigin;
  mRequests.erase(id);
}

void
RelayStateMachine::OnUpstreamsLost(const std::vector<UpstreamLoss>& aLost)
{
  for (const UpstreamLoss& it : aLost) {
    if (!it.mWasLeaving) {
      OnUpstreamLost(it.mId);
    }
    mLoads.Forget(it.mId);
    mLimiter.Forget(it.mId);
    mSpeeds.Forget(it.mId);
    mReach.Forget(it.mId);
  }
}

bool
RelayStateMachine::OnLimitStated(const std::string& aUpstream,
                                 const StatedLimit& aLimit,
                                 TimePoint aNow)
{
  const RelayUpstream* upstream = mUpstreamList.Find(aUpstream);
  const bool isChanged =
    upstream != nullptr &&
    mLimiter.OnStated(aUpstream, upstream->mService, aLimit, aNow);
  ScheduleLimitCheck(aNow);
  return isChanged;
}

void
RelayStateMachine::OnPeerLimits(const LimitsByUpstream& aLimits, TimePoint aNow)
{
  const auto serviceOf = [this](const std::string& aId) {
    const RelayUpstream* upstream = mUpstreamList.Find(aId);
    return upstream == nullptr ? std::string() : upstream->mService;
  };
  mLimiter.OnPeerLimits(aLimits, serviceOf, aNow);
  ScheduleLimitCheck(aNow);
}

/// Limits the requests to a cold upstream, if its service says what it bears.
void
RelayStateMachine::SetCold(const RelayUpstream& aUpstream,
                           TimePoint aUntil,
                           ColdSource aSource,
                           TimePoint aNow)
{
  const RelayService* service = mConfiguration->FindService(aUpstream.mService);
  if (service != nullptr && service->mCold.mPerSecond > 0) {
    mLimiter.OnCold(aUpstream.mId,
                    aUpstream.mService,
                    { service->mCold.mPerSecond, aUntil },
                    aSource,
                    aNow);
  }
}

/// Applies what the list states about cold upstreams.
void
RelayStateMachine::LearnColdUpstreams(TimePoint aListedAt, ColdSource aSource)
{
  for (const auto& [id, entry] : mUpstreamList.All()) {
    const RelayUpstream& upstream = entry.mUpstream;
    if (upstream.mColdRemaining > Duration(0)) {
      SetCold(upstream, aListedAt + upstream.mColdRemaining, aSource, mNow);
    }
  }
  if (aSource == ColdSource::Own) {
    EndAssumedCold();
  }
}

/// Ends the time for which returned upstreams are assumed to be cold, where an
/// entry that was written later does not say so. The first read after the
/// return may have begun before it, so an entry counts as written later if it
/// differs from that of the second read.
void
RelayStateMachine::EndAssumedCold()
{
  for (auto it = mAssumedCold.begin(); it != mAssumedCold.end();) {
    AssumedCold& assumed = it->second;
    const RelayUpstream* upstream = mUpstreamList.Find(it->first);
    const bool isOver =
      upstream == nullptr || !mLimiter.IsCold(it->first, mNow);
    if (!isOver && ++assumed.mReads <= 2) {
      assumed.mEntryVersion = upstream->mEntryVersion;
    }
    const bool isRewritten =
      !isOver && assumed.mEntryVersion < upstream->mEntryVersion;
    if (isRewritten && upstream->mColdRemaining == Duration(0)) {
      mLimiter.OnWarm(it->first, mNow);
    }
    it = isOver || isRewritten ? mAssumedCold.erase(it) : std::next(it);
  }
}

bool
RelayStateMachine::OnColdStated(const std::string& aUpstream,
                                Duration aRemaining,
                                TimePoint aNow)
{
  const RelayUpstream* upstream = mUpstreamList.Find(aUpstream);
  if (upstream == nullptr) {
    return false;
  }
  const bool wasCold = mLimiter.IsCold(aUpstream, aNow);
  if (aRemaining > Duration(0)) {
    SetCold(*upstream, aNow + aRemaining, ColdSource::Own, aNow);
  } else {
    mLimiter.OnWarm(aUpstream, aNow);
  }
  return wasCold != mLimiter.IsCold(aUpstream, aNow);
}

void
RelayStateMachine::OnPeerCold(const ColdTimes& aTimes, TimePoint aNow)
{
  for (const auto& [id, time] : aTimes) {
    const RelayUpstream* upstream = mUpstreamList.Find(id);
    if (upstream != nullptr) {
      SetCold(*upstream, aNow + time, ColdSource::Heard, aNow);
    }
  }
}

SpeedSubject
RelayStateMachine::SubjectOf(const RelayUpstream& aUpstream)
{
  static constexpr std::array<std::pair<RelayStage, WorkKind>, 3> kKinds = {
    { { RelayStage::Plain, WorkKind::Plain },
      { RelayStage::Prefill, WorkKind::Prefill },
      { RelayStage::Decode, WorkKind::Decode } }
  };
  SpeedSubject subject;
  subject.mUpstream = aUpstream.mId;
  subject.mService = aUpstream.mService;
  subject.mIncarnationId = aUpstream.mIncarnationId;
  for (const auto& [stage, kind] : kKinds) {
    subject.mKind = stage == aUpstream.mStage ? kind : subject.mKind;
  }
  return subject;
}

/// Returns the upstream of a call; null if it is not listed any more or was
/// restarted since the call started.
const RelayUpstream*
RelayStateMachine::ProcessOf(const Call& aCall) const
{
  const RelayUpstream* upstream = mUpstreamList.Find(aCall.mUpstream);
  const bool isSame =
    upstream != nullptr && upstream->mIncarnationId == aCall.mIncarnationId;
  return isSame ? upstream : nullptr;
}

void
RelayStateMachine::OnWorkTimeStated(const UpstreamProcess& aProcess,
                                    std::uint32_t aPercent,
                                    TimePoint aNow)
{
  const RelayUpstream* upstream = mUpstreamList.Find(aProcess.mUpstream);
  if (upstream != nullptr &&
      upstream->mIncarnationId == aProcess.mIncarnationId) {
    mSpeeds.OnStated(SubjectOf(*upstream), aPercent, aNow);
  }
}

void
RelayStateMachine::OnPeerSpeeds(const SpeedsByUpstream& aSpeeds, TimePoint aNow)
{
  for (const auto& [id, speed] : aSpeeds) {
    const RelayUpstream* upstream = mUpstreamList.Find(id);
    if (upstream != nullptr) {
      mSpeeds.OnPeerSpeed(SubjectOf(*upstream), speed, aNow);
    }
  }
}

void
RelayStateMachine::OnZonesEvacuated(const std::set<std::string>& aZones,
                                    TimePoint aNow,
                                    RelayCommands& aOut)
{
  mNow = aNow;
  mOut = &aOut;
  for (const std::string& id : mUpstreamList.SetEvacuatedZones(aZones)) {
    const RelayUpstream& upstream = *mUpstreamList.Find(id);
    const RelayService* service =
      mConfiguration->FindService(upstream.mService);
    if (service != nullptr) {
      SetCold(upstream, mNow + service->mCold.mPeriod, ColdSource::Own, mNow);
      mAssumedCold[id] = {};
    }
  }
  // With an earlier configuration it may not have been known what they bear.
  if (const auto listedAt = mUpstreamList.ListedAt()) {
    LearnColdUpstreams(*listedAt, ColdSource::Heard);
  }
  RefuseUnservable();
  DispatchWaiting();
}

bool
RelayStateMachine::OnLeavingStated(const UpstreamProcess& aProcess,
                                   TimePoint aNow)
{
  const bool isNew = mUpstreamList.OnLeavingStated(aProcess, aNow);
  if (isNew) {
    ScheduleRefusals(aNow);
  }
  return isNew;
}

std::vector<UpstreamProcess>
RelayStateMachine::OnPeerLeaving(const std::vector<UpstreamProcess>& aProcesses,
                                 TimePoint aNow)
{
  auto added = mUpstreamList.OnPeerLeaving(aProcesses, aNow);
  if (!added.empty()) {
    ScheduleRefusals(aNow);
  }
  return added;
}

/// Lets the next tick, which is due at once, refuse unservable requests.
void
RelayStateMachine::ScheduleRefusals(TimePoint aNow)
{
  mHasLeavingNews = true;
  mTimers.Add(aNow, { TimerKind::Dispatch, 0, 0 });
}

void
RelayStateMachine::OnListRead(std::vector<RelayUpstream> aUpstreams,
                              TimePoint aNow,
                              RelayCommands& aOut,
                              std::optional<TimePoint> aStartedAt)
{
  mNow = aNow;
  mOut = &aOut;
  OnUpstreamsLost(
    mUpstreamList.OnListRead(std::move(aUpstreams), aNow, aStartedAt));
  LearnColdUpstreams(aNow, ColdSource::Own);
  ContinueProven();
  RefuseUnservable();
  DispatchWaiting();
}

void
RelayStateMachine::OnPeerList(std::vector<UpstreamList::Entry> aEntries,
                              TimePoint aConfirmedAt,
                              TimePoint aNow,
                              RelayCommands& aOut)
{
  mNow = aNow;
  mOut = &aOut;
  OnUpstreamsLost(mUpstreamList.OnPeerList(std::move(aEntries), aConfirmedAt));
  LearnColdUpstreams(aConfirmedAt, ColdSource::Heard);
  ContinueProven();
  RefuseUnservable();
  DispatchWaiting();
}

void
RelayStateMachine::OnPeerWork(const std::string& aVm,
                              const WorkByUpstream& aWork,
                              TimePoint aNow,
                              RelayCommands& aOut)
{
  mNow = aNow;
  mOut = &aOut;
  mLoads.OnPeerWork(aVm, aWork);
  if (mLoads.TakeNewPoolWork()) {
    UpdatePoolShares();
  }
  DispatchWaiting();
}

/// Spreads the work in pools that is known as a sum only over their upstreams.
void
RelayStateMachine::UpdatePoolShares()
{
  const WorkByPool pools = mLoads.PoolWork();
  WorkByUpstream shares;
  if (!pools.empty()) {
    std::map<UpstreamPool, std::uint32_t> sizes;
    for (const auto& [id, entry] : mUpstreamList.All()) {
      ++sizes[PoolOf(entry.mUpstream)];
    }
    for (const auto& [id, entry] : mUpstreamList.All()) {
      const UpstreamPool pool = PoolOf(entry.mUpstream);
      const auto known = pools.find(pool);
      if (known != pools.end()) {
        const std::uint32_t size = sizes[pool];
        shares[id] = { (known->second.mRequests + size / 2) / size,
                       known->second.mTokens / size };
      }
    }
  }
  mLoads.SetPoolShares(std::move(shares));
}

// Timers

void
RelayStateMachine::OnTick(TimePoint aNow, RelayCommands& aOut)
{
  mNow = aNow;
  mOut = &aOut;
  CheckPath();
  CheckLimits();
  if (std::exchange(mHasLeavingNews, false)) {
    RefuseUnservable();
  }
  if (mLimitTimerAt && *mLimitTimerAt <= aNow) {
    mLimitTimerAt.reset();
    DispatchWaiting();
  }
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
        OnInactivityTimer(*state);
      }
    } else {
      OnWaitTimer(*state);
    }
  }
}

void
RelayStateMachine::EndService(TimePoint aNow, RelayCommands& aOut)
{
  mNow = aNow;
  mOut = &aOut;
  mIsServiceEnded = true;
  std::vector<std::uint64_t> open;
  for (const auto& [id, state] : mRequests) {
    open.push_back(id);
  }
  for (const std::uint64_t id : open) {
    State& state = *Find(id);
    CancelCall(state, CancelReason::VmLeaves);
    Refuse(state, RefusalKind::Leaving);
  }
}

Duration
RelayStateMachine::TypicalCallTime(const std::string& aService) const
{
  const auto it = mCallTimes.find(aService);
  return it == mCallTimes.end() ? Duration(0) : it->second.Typical();
}

void
RelayStateMachine::OnDeadline(State& aState)
{
  CancelCall(aState, CancelReason::DeadlinePassed);
  Refuse(aState, RefusalKind::DeadlinePassed);
  DispatchWaiting();
}

} // namespace peridothoist
