/// The part of RelayStateMachine that queues requests while the upstreams of
/// their service have no capacity. Services wait apart from each other: short
/// calls never wait behind streams.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayStateMachine.h>

#include <Peridothoist/Core/DurationUnits.h>

#include <algorithm>
#include <cmath>

namespace peridothoist {

namespace {

/// Shortest wait for an upstream's limit, so that rounding wakes no one early.
constexpr Duration kMinLimitWait = 5ms;

} // namespace

void
RelayStateMachine::OnNoUpstreamChosen(State& aState, NoChoiceReason aReason)
{
  if (aReason == NoChoiceReason::NoUpstream) {
    Refuse(aState,
           aState.mTriedUpstreams.empty() ? RefusalKind::NoUpstream
                                          : RefusalKind::UpstreamFailed);
    return;
  }
  const bool mayWait =
    aState.mWaitDeadline ? mNow < *aState.mWaitDeadline : StartWaiting(aState);
  if (!mayWait) {
    Refuse(aState, RefusalKind::TooLate);
    return;
  }
  mWaiting.insert({ aState.mRequest.mPriority, aState.mRequest.mId });
  ArmLimitTimer(aState);
}

/// Wakes the waiting requests when an upstream's limit allows the next one.
void
RelayStateMachine::ArmLimitTimer(const State& aState)
{
  const auto limits =
    mChooser.LimitsFor(QueryFor(aState, RunningStage(aState)), mNow);
  if (!limits || !limits->mUntilNext) {
    return;
  }
  const TimePoint at = mNow + std::max(*limits->mUntilNext, kMinLimitWait);
  if (!mLimitTimerAt || at < *mLimitTimerAt) {
    mLimitTimerAt = at;
    mTimers.Add(at, { TimerKind::Dispatch, 0, 0 });
  }
}

void
RelayStateMachine::ScheduleLimitCheck(TimePoint aNow)
{
  if (!mLimitCheckAt && mLimiter.LimitedCount(aNow) > 0) {
    mLimitCheckAt = aNow + mSettings.mLimitPollInterval;
  }
}

/// Asks upstreams whether their limits are still in force, if nobody has heard
/// it for a while.
void
RelayStateMachine::CheckLimits()
{
  if (!mLimitCheckAt || mNow < *mLimitCheckAt) {
    return;
  }
  mLimitCheckAt.reset();
  ScheduleLimitCheck(mNow);
  const std::string tunnel =
    mReach.IsCutOff() ? mReach.ChooseTunnel(mSettings.mZone, mNow, mRandom)
                      : std::string();
  for (const std::string& id : mLimiter.DueChecks(mNow)) {
    const RelayUpstream* upstream = mUpstreamList.Find(id);
    if (upstream != nullptr) {
      StartCheck(id, upstream->mAddress, tunnel);
    }
  }
}

/// Returns how long a request that starts to wait now is likely to wait for
/// this VM's part of the upstreams' limits; nullopt if some upstream has none.
std::optional<Duration>
RelayStateMachine::LimitedWait(const State& aState) const
{
  const auto limits =
    mChooser.LimitsFor(QueryFor(aState, RunningStage(aState)), mNow);
  if (!limits) {
    return std::nullopt;
  }
  if (!limits->mUntilNext) {
    return aState.mRequest.mCallerTimeout; // This VM has no part of any.
  }
  const double ahead =
    1 + static_cast<double>(WaitingAtThisVm(aState.mRequest.mService));
  const double seconds =
    std::max(0.0, ahead - limits->mAvailable) / limits->mPerSecond;
  return std::min(aState.mRequest.mCallerTimeout,
                  std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(seconds)));
}

std::size_t
RelayStateMachine::WaitingAtThisVm(const std::string& aService) const
{
  std::size_t waiting = 0;
  for (const auto& entry : mWaiting) {
    const auto it = mRequests.find(entry.second);
    const bool isSame =
      it != mRequests.end() && it->second.mRequest.mService == aService;
    waiting += isSame ? 1 : 0;
  }
  return waiting;
}

/// Sets the end of a request's wait. Returns false if it is expected to wait
/// longer than that, so that it is better refused at once.
bool
RelayStateMachine::StartWaiting(State& aState)
{
  const AdmittedRequest& request = aState.mRequest;
  const auto wait = std::chrono::duration_cast<Duration>(
    request.mCallerTimeout * mSettings.mMaxWaitFraction);
  aState.mWaitDeadline = std::min(request.mArrivedAt + wait, request.mDeadline);
  mTimers.Add(*aState.mWaitDeadline, { TimerKind::Dispatch, request.mId, 0 });
  const Duration left = *aState.mWaitDeadline - mNow;
  return ExpectedWait(aState) < left &&
         LimitedWait(aState).value_or(Duration(0)) < left;
}

RelayStage
RelayStateMachine::RunningStage(const State& aState) const
{
  return aState.mRequest.mRoute->mKind == RouteKind::Stream ? RelayStage::Decode
                                                            : RelayStage::Plain;
}

/// Returns how long a request that starts to wait now is likely to wait.
Duration
RelayStateMachine::ExpectedWait(const State& aState) const
{
  return WaitBehind(aState, CountWaitingAhead(aState));
}

/// Returns how long a request is likely to wait behind aAhead others, at all
/// VMs' rate of ended calls: the requests that run divided by the time of a
/// call. Returns 0 if that is not known.
Duration
RelayStateMachine::WaitBehind(const State& aState, double aAhead) const
{
  const std::string& service = aState.mRequest.mService;
  const auto time = mCallTimes.find(service);
  const double running = mChooser.RunningAt(service, RunningStage(aState));
  if (time == mCallTimes.end() || running < 1) {
    return Duration(0);
  }
  return std::chrono::duration_cast<Duration>(time->second.Typical() *
                                              (aAhead / running));
}

/// Returns how many waiting requests go before the request, at all VMs.
double
RelayStateMachine::CountWaitingAhead(const State& aState) const
{
  const std::string& service = aState.mRequest.mService;
  if (MayOrderByPriority(service)) {
    const DemandByLevel demand = DemandFor(service, WaitingLevels(service));
    const UrgencyLevel level = LevelOf(aState);
    if (DiffersInPriority(demand, level.mPriority)) {
      return static_cast<double>(
        CountAhead(demand, level, demand.rbegin()->first.mIsLate));
    }
  }
  return static_cast<double>(mLoads.PeersWaiting(service).All() +
                             WaitingAtThisVm(service));
}

/// Refuses the waiting requests that no listed upstream serves any more.
void
RelayStateMachine::RefuseUnservable()
{
  const auto waiting = mWaiting;
  for (const auto& entry : waiting) {
    State* state = Find(entry.second);
    if (state == nullptr || state->mCall) {
      continue;
    }
    const UpstreamQuery query = QueryFor(*state, RunningStage(*state));
    if (mChooser.Choose(query, mNow).mReason == NoChoiceReason::NoUpstream) {
      PlaceRequest(*state);
    }
  }
}

/// Starts waiting requests while there is capacity.
void
RelayStateMachine::DispatchWaiting()
{
  RefuseQuarantined();
  if (mWaiting.empty()) {
    return;
  }
  std::map<std::string, WaitingGroup> groups;
  for (const auto& entry : mWaiting) {
    const State* state = Find(entry.second);
    if (state != nullptr && !state->mCall) {
      WaitingGroup& group = groups[state->mRequest.mService];
      (IsLate(*state) ? group.mLate : group.mInTime).push_back(entry.second);
    }
  }
  for (auto& [service, group] : groups) {
    if (!MayOrderByPriority(service) || !DispatchByPriority(service)) {
      DispatchGroup(service, std::move(group));
    }
  }
  if (!mWaiting.empty()) {
    const State* first = Find(mWaiting.begin()->second);
    ArmLimitTimer(*first);
  }
}

/// Starts waiting requests of one service. Requests that can no longer meet
/// their target latency are started only when none that still can is waiting,
/// at this VM or another. Each group is ordered by priority and then by
/// arrival. While some are late already, the newest go first among equals: in
/// order of arrival, each would be started just before it is late.
void
RelayStateMachine::DispatchGroup(const std::string& aService,
                                 WaitingGroup aGroup)
{
  const WaitingRequests others = mLoads.PeersWaiting(aService);
  const auto fractionOf = [](std::size_t aOwn, std::size_t aOthers) {
    return static_cast<double>(aOwn) /
           static_cast<double>(std::max<std::size_t>(1, aOwn + aOthers));
  };
  if (!aGroup.mLate.empty() || others.mLate > 0) {
    std::stable_sort(aGroup.mInTime.begin(),
                     aGroup.mInTime.end(),
                     [this](std::uint64_t aOne, std::uint64_t aTwo) {
                       const std::uint32_t one = Find(aOne)->mRequest.mPriority;
                       const std::uint32_t two = Find(aTwo)->mRequest.mPriority;
                       return one != two ? one < two : aOne > aTwo;
                     });
  }
  const bool hasInTime = !aGroup.mInTime.empty() || others.mInTime > 0;
  DispatchWithinFraction(aGroup.mInTime,
                         fractionOf(aGroup.mInTime.size(), others.mInTime));
  if (!hasInTime) {
    DispatchWithinFraction(aGroup.mLate,
                           fractionOf(aGroup.mLate.size(), others.mLate));
  }
}

/// Starts requests in order, within aFraction of the capacity. All VMs see the
/// same free capacity at the same time, so each may use only its own fraction
/// of it. A fractional number of requests is rounded up or down at random.
void
RelayStateMachine::DispatchWithinFraction(
  const std::vector<std::uint64_t>& aRequests,
  double aFraction)
{
  // By the software version that requests are bound to; nullopt: any version.
  std::map<std::optional<std::string>, double> startsLeft;
  for (const std::uint64_t id : aRequests) {
    State* state = Find(id);
    if (state == nullptr || state->mCall) {
      continue;
    }
    const auto added = startsLeft.emplace(VersionOf(*state), 0);
    double& left = added.first->second;
    if (added.second) {
      left = ChooseStarts(QueryFor(*state, RunningStage(*state)), aFraction);
    }
    if (left >= 1) {
      left -= 1;
      PlaceRequest(*state);
    }
  }
}

/// Returns how many of such requests to start within aFraction of the capacity.
double
RelayStateMachine::ChooseStarts(const UpstreamQuery& aQuery, double aFraction)
{
  const UpstreamCapacity capacity = mChooser.CapacityFor(aQuery, mNow);
  return RoundAtRandom(capacity.mShared * aFraction + capacity.mOwn);
}

/// Rounds a number up or down, so that its mean is kept.
double
RelayStateMachine::RoundAtRandom(double aNumber)
{
  const double whole = std::floor(aNumber);
  return whole + (mRandom->UniformFraction() < aNumber - whole ? 1 : 0);
}

WaitingByService
RelayStateMachine::ClassifyWaiting(TimePoint aNow)
{
  mNow = std::max(mNow, aNow);
  WaitingByService waiting;
  for (const auto& entry : mWaiting) {
    const State* state = Find(entry.second);
    if (state != nullptr) {
      WaitingRequests& counts = waiting[state->mRequest.mService];
      ++(IsLate(*state) ? counts.mLate : counts.mInTime);
    }
  }
  return waiting;
}

UrgencyLevel
RelayStateMachine::LevelOf(const State& aState) const
{
  return { IsLate(aState), aState.mRequest.mPriority };
}

/// Returns the requests for a service that wait here, each level in the order
/// in which they are to be started.
RelayStateMachine::WaitingByLevel
RelayStateMachine::WaitingLevels(const std::string& aService) const
{
  WaitingByLevel levels;
  bool isAnyLate = false;
  for (const auto& entry : mWaiting) {
    const auto it = mRequests.find(entry.second);
    const bool isWaiting = it != mRequests.end() && !it->second.mCall &&
                           it->second.mRequest.mService == aService;
    if (isWaiting) {
      const UrgencyLevel level = LevelOf(it->second);
      levels[level].push_back(entry.second);
      isAnyLate = isAnyLate || level.mIsLate;
    }
  }
  for (auto& [level, ids] : levels) {
    // In order of arrival, each would be started just before it is late.
    if (isAnyLate && !level.mIsLate) {
      std::reverse(ids.begin(), ids.end());
    }
  }
  return levels;
}

DemandByLevel
RelayStateMachine::DemandFor(const std::string& aService,
                             const WaitingByLevel& aOwn) const
{
  DemandByLevel demand;
  for (const auto& [level, ids] : aOwn) {
    demand[level].mOwn = ids.size();
  }
  const std::uint32_t defaultPriority = RelayRoute().mPriority;
  for (const auto& [priority, counts] :
       mLoads.PeersWaitingByPriority(aService, defaultPriority)) {
    if (counts.mInTime > 0) {
      demand[{ false, priority }].mOthers = counts.mInTime;
    }
    if (counts.mLate > 0) {
      demand[{ true, priority }].mOthers = counts.mLate;
    }
  }
  return demand;
}

/// Returns whether requests of a service may be ordered by what other VMs tell
/// about those that wait there. Where calls are shorter than that is old, it
/// would only keep requests from capacity that is free.
bool
RelayStateMachine::MayOrderByPriority(const std::string& aService) const
{
  if (!mConfiguration->HasPriorities(aService)) {
    return false;
  }
  const auto time = mCallTimes.find(aService);
  return time != mCallTimes.end() &&
         ToSeconds(time->second.Typical()) > mLoads.PeerLoadAgeSeconds();
}

/// Places a new request, unless others that wait go before it. It waits with
/// these then, and is started in its turn.
void
RelayStateMachine::PlaceArrival(State& aState)
{
  const std::string service = aState.mRequest.mService;
  if (!MayOrderByPriority(service)) {
    PlaceRequest(aState);
    return;
  }
  const DemandByLevel demand = DemandFor(service, WaitingLevels(service));
  const UrgencyLevel level = LevelOf(aState);
  const bool isFirst =
    !DiffersInPriority(demand, level.mPriority) ||
    CountAhead(demand, level, demand.rbegin()->first.mIsLate) == 0;
  if (isFirst) {
    PlaceRequest(aState);
    return;
  }
  const std::uint64_t id = aState.mRequest.mId;
  OnNoUpstreamChosen(aState, NoChoiceReason::Full);
  if (Find(id) != nullptr) {
    DispatchByPriority(service);
  }
}

/// Starts waiting requests of a service, the most urgent level first, within
/// this VM's part of the capacity. Returns false if those that wait at all VMs
/// do not differ in priority; nothing is started then.
bool
RelayStateMachine::DispatchByPriority(const std::string& aService)
{
  const WaitingByLevel waiting = WaitingLevels(aService);
  const DemandByLevel demand = DemandFor(aService, waiting);
  if (demand.empty() ||
      !DiffersInPriority(demand, demand.begin()->first.mPriority)) {
    return false;
  }
  RefuseHopeless(aService, waiting, demand);
  // By the software version that requests are bound to; nullopt: any version.
  std::map<std::optional<std::string>, StartsByLevel> startsLeft;
  for (const auto& [level, ids] : waiting) {
    for (const std::uint64_t id : ids) {
      State* state = Find(id);
      if (state == nullptr || state->mCall) {
        continue;
      }
      const auto version = VersionOf(*state);
      auto known = startsLeft.find(version);
      if (known == startsLeft.end()) {
        const UpstreamQuery query = QueryFor(*state, RunningStage(*state));
        known =
          startsLeft.emplace(version, ChooseStartsByLevel(query, demand)).first;
      }
      double& left = known->second[level];
      if (left >= 1) {
        left -= 1;
        PlaceRequest(*state);
      }
    }
  }
  return true;
}

/// Returns how many of such requests to start, by level. This VM's parts of
/// upstreams' limits are for its own requests alone.
RelayStateMachine::StartsByLevel
RelayStateMachine::ChooseStartsByLevel(const UpstreamQuery& aQuery,
                                       const DemandByLevel& aDemand)
{
  const UpstreamCapacity capacity = mChooser.CapacityFor(aQuery, mNow);
  StartsByLevel starts = ShareCapacity(capacity.mShared, aDemand);
  double own = capacity.mOwn;
  for (auto& [level, share] : starts) {
    const auto wanted = static_cast<double>(aDemand.at(level).mOwn);
    const double added = std::min(own, std::max(0.0, wanted - share));
    own -= added;
    share = RoundAtRandom(share + added);
  }
  return starts;
}

/// Refuses the waiting requests that are not expected to be started while they
/// may wait, since more urgent ones have come meanwhile.
void
RelayStateMachine::RefuseHopeless(const std::string& aService,
                                  const WaitingByLevel& aWaiting,
                                  const DemandByLevel& aDemand)
{
  TimePoint& checkedAt = mHopelessCheckedAt[aService];
  if (mNow < checkedAt + mSettings.mHopelessCheckInterval) {
    return;
  }
  checkedAt = mNow;
  for (const auto& [level, ids] : aWaiting) {
    const auto ahead = static_cast<double>(CountAhead(aDemand, level, true));
    for (const std::uint64_t id : ids) {
      State& state = *Find(id);
      const bool isHopeless =
        state.mWaitDeadline &&
        WaitBehind(state, ahead) >= *state.mWaitDeadline - mNow;
      if (isHopeless) {
        Refuse(state, RefusalKind::TooLate);
      }
    }
  }
}

PriorityWaitingByService
RelayStateMachine::ClassifyPriorities(TimePoint aNow)
{
  mNow = std::max(mNow, aNow);
  PriorityWaitingByService waiting;
  for (const auto& entry : mWaiting) {
    const State* state = Find(entry.second);
    const bool isTold = state != nullptr &&
                        mConfiguration->HasPriorities(state->mRequest.mService);
    if (isTold) {
      WaitingRequests& counts =
        waiting[state->mRequest.mService][state->mRequest.mPriority];
      ++(IsLate(*state) ? counts.mLate : counts.mInTime);
    }
  }
  return waiting;
}

/// Returns whether a request that starts now is likely to miss its target
/// latency: that of a stream counts to its first event, any other's to its end.
bool
RelayStateMachine::IsLate(const State& aState) const
{
  const AdmittedRequest& request = aState.mRequest;
  Duration start = mSettings.mTypicalStartTime;
  if (request.mRoute->mKind != RouteKind::Stream) {
    start = TypicalCallTime(request.mService);
  }
  return mNow + start - request.mArrivedAt >= request.mRoute->mTargetLatency;
}

} // namespace peridothoist
