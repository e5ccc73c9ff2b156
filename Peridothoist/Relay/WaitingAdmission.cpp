#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/WaitingAdmission.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// Longest time between two tries for a workspace. Refunds make tokens
/// available earlier than estimated.
constexpr Duration kMaxTryInterval = 50ms;

/// Shortest time between two tries, so that an estimate of almost 0 does not
/// keep the event loop busy.
constexpr Duration kMinTryInterval = 1ms;

} // namespace

WaitingAdmission::WaitingAdmission(const Settings& aSettings,
                                   RelayAdmission* aAdmission,
                                   WorkspaceRateLimiter* aRateLimiter)
  : mSettings(aSettings)
  , mAdmission(aAdmission)
  , mRateLimiter(aRateLimiter)
  , mQueue(aSettings.mQueue)
{
}

void
WaitingAdmission::OnArrival(std::uint64_t aId,
                            const IncomingRequest& aRequest,
                            std::size_t aBytes,
                            TimePoint aNow,
                            AdmissionDecisions& aOut)
{
  Refusal refusal;
  auto prepared = mAdmission->Prepare(aId, aRequest, aNow, aNow, &refusal);
  if (!prepared) {
    aOut.push_back({ aId, std::nullopt, refusal });
    return;
  }
  const AllowanceWaiter waiter = MakeWaiter(*prepared, aBytes);
  std::optional<Duration> missing;
  if (!mQueue.TokensAhead(waiter)) {
    missing = TryAdmit(*prepared, waiter, aNow, aOut);
    if (!missing) {
      return;
    }
  }
  const Duration wait = EstimateWait(waiter, aNow);
  if (aNow + wait >= waiter.mWaitUntil) {
    aOut.push_back(
      { aId,
        std::nullopt,
        mAdmission->RefuseOverAllowance(*prepared, missing.value_or(wait)) });
    return;
  }
  for (const AllowanceWaiter& removed : mQueue.Add(waiter)) {
    if (removed.mId == aId) {
      aOut.push_back({ aId,
                       std::nullopt,
                       mAdmission->RefuseOverAllowance(*prepared, wait) });
    } else {
      RefuseOverAllowance(removed, aNow, aOut);
    }
  }
  if (!mQueue.Contains(aId)) {
    return;
  }
  mRequests[aId] = aRequest;
  RefuseHopeless(waiter.mWorkspace, aNow, aOut);
  ScheduleTry(waiter.mWorkspace, aNow);
}

AllowanceWaiter
WaitingAdmission::MakeWaiter(const AdmittedRequest& aPrepared,
                             std::size_t aBytes) const
{
  const Duration latency =
    std::min(aPrepared.mRoute->mTargetLatency, aPrepared.mCallerTimeout);
  const double part =
    latency >= mSettings.mMinTargetLatency ? mSettings.mWaitPart : 0;
  const auto wait = std::chrono::duration_cast<Duration>(latency * part);
  AllowanceWaiter waiter;
  waiter.mId = aPrepared.mId;
  waiter.mWorkspace = aPrepared.mWorkspace;
  waiter.mPriority = aPrepared.mPriority;
  waiter.mArrivedAt = aPrepared.mArrivedAt;
  waiter.mWaitUntil =
    std::min(aPrepared.mArrivedAt + wait, aPrepared.mDeadline);
  waiter.mCost = aPrepared.mCost;
  waiter.mBytes = aBytes;
  return waiter;
}

/// Charges and admits a request and returns nullopt, or returns how long until
/// its tokens are available.
std::optional<Duration>
WaitingAdmission::TryAdmit(AdmittedRequest& aPrepared,
                           const AllowanceWaiter& aWaiter,
                           TimePoint aNow,
                           AdmissionDecisions& aOut)
{
  const auto missing = mAdmission->Charge(aPrepared, aNow);
  if (!missing) {
    EndWait({ aWaiter.mId, std::move(aPrepared), {} }, aWaiter, aNow, aOut);
  }
  return missing;
}

Duration
WaitingAdmission::EstimateWait(const AllowanceWaiter& aWaiter,
                               TimePoint aNow) const
{
  return mRateLimiter->EstimateWait(aWaiter.mWorkspace,
                                    aWaiter.mCost,
                                    mQueue.TokensAhead(aWaiter).value_or(0),
                                    aNow);
}

void
WaitingAdmission::OnCallerDisconnected(std::uint64_t aId)
{
  if (mQueue.Remove(aId)) {
    mRequests.erase(aId);
    ++mCounts.mLeft;
  }
}

void
WaitingAdmission::OnConfigurationChanged(TimePoint aNow,
                                         AdmissionDecisions& aOut)
{
  std::vector<AllowanceWaiter> waiting;
  for (const std::string& workspace : mQueue.Workspaces()) {
    const auto& queue = *mQueue.Find(workspace);
    waiting.insert(waiting.end(), queue.begin(), queue.end());
  }
  for (const AllowanceWaiter& waiter : waiting) {
    Refusal refusal;
    const bool mayWait = mAdmission
                           ->Prepare(waiter.mId,
                                     mRequests.at(waiter.mId),
                                     waiter.mArrivedAt,
                                     aNow,
                                     &refusal)
                           .has_value();
    if (!mayWait) {
      EndWait({ waiter.mId, std::nullopt, refusal }, waiter, aNow, aOut);
    }
  }
  for (const std::string& workspace : mQueue.Workspaces()) {
    RefuseHopeless(workspace, aNow, aOut);
    mQueue.SetNextTry(workspace, aNow);
  }
}

void
WaitingAdmission::OnTick(TimePoint aNow, AdmissionDecisions& aOut)
{
  for (const std::string& workspace : mQueue.DueWorkspaces(aNow)) {
    TryWorkspace(workspace, aNow, aOut);
    RefuseHopeless(workspace, aNow, aOut);
    ScheduleTry(workspace, aNow);
  }
}

/// Admits the waiting requests of a workspace in order, while tokens are
/// available.
void
WaitingAdmission::TryWorkspace(const std::string& aWorkspace,
                               TimePoint aNow,
                               AdmissionDecisions& aOut)
{
  for (const auto* waiting = mQueue.Find(aWorkspace); waiting != nullptr;
       waiting = mQueue.Find(aWorkspace)) {
    const AllowanceWaiter first = *waiting->begin();
    Refusal refusal;
    auto prepared = mAdmission->Prepare(
      first.mId, mRequests.at(first.mId), first.mArrivedAt, aNow, &refusal);
    if (!prepared) {
      EndWait({ first.mId, std::nullopt, refusal }, first, aNow, aOut);
      continue;
    }
    if (TryAdmit(*prepared, first, aNow, aOut)) {
      return;
    }
  }
}

/// Sets when the first waiting request of a workspace is tried next.
void
WaitingAdmission::ScheduleTry(const std::string& aWorkspace, TimePoint aNow)
{
  const auto* waiting = mQueue.Find(aWorkspace);
  if (waiting == nullptr) {
    return;
  }
  const Duration wait = EstimateWait(*waiting->begin(), aNow);
  mQueue.SetNextTry(aWorkspace,
                    aNow + std::clamp(wait, kMinTryInterval, kMaxTryInterval));
}

/// Refuses the waiting requests of a workspace that are not expected to get
/// their tokens in time. More urgent requests may have come, other VMs may have
/// spent more than before, or the limit may have fallen.
void
WaitingAdmission::RefuseHopeless(const std::string& aWorkspace,
                                 TimePoint aNow,
                                 AdmissionDecisions& aOut)
{
  const auto* waiting = mQueue.Find(aWorkspace);
  if (waiting == nullptr) {
    return;
  }
  const std::vector<AllowanceWaiter> queue(waiting->begin(), waiting->end());
  double ahead = 0;
  for (const AllowanceWaiter& it : queue) {
    const Duration wait =
      mRateLimiter->EstimateWait(aWorkspace, it.mCost, ahead, aNow);
    if (aNow + wait > it.mWaitUntil) {
      RefuseOverAllowance(it, aNow, aOut);
    } else {
      ahead += it.mCost;
    }
  }
}

void
WaitingAdmission::StopWaiting(const Refusal& aRefusal,
                              TimePoint aNow,
                              AdmissionDecisions& aOut)
{
  mSettings.mWaitPart = 0;
  for (const std::string& workspace : mQueue.Workspaces()) {
    const auto& queue = *mQueue.Find(workspace);
    const std::vector<AllowanceWaiter> waiting(queue.begin(), queue.end());
    for (const AllowanceWaiter& it : waiting) {
      EndWait({ it.mId, std::nullopt, aRefusal }, it, aNow, aOut);
    }
  }
}

/// Refuses a request that has waited.
void
WaitingAdmission::RefuseOverAllowance(const AllowanceWaiter& aWaiter,
                                      TimePoint aNow,
                                      AdmissionDecisions& aOut)
{
  AdmittedRequest request;
  request.mCallerTimeout =
    mRequests.at(aWaiter.mId).mCallerTimeout.value_or(kDefaultCallerTimeout);
  const Refusal refusal =
    mAdmission->RefuseOverAllowance(request, EstimateWait(aWaiter, aNow));
  EndWait({ aWaiter.mId, std::nullopt, refusal }, aWaiter, aNow, aOut);
}

/// Reports the decision about a request and removes it from the queue.
void
WaitingAdmission::EndWait(AdmissionDecision aDecision,
                          const AllowanceWaiter& aWaiter,
                          TimePoint aNow,
                          AdmissionDecisions& aOut)
{
  mQueue.Remove(aWaiter.mId);
  aDecision.mHasWaited = mRequests.erase(aWaiter.mId) > 0;
  aDecision.mWaited = aNow - aWaiter.mArrivedAt;
  if (aDecision.mHasWaited) {
    ++(aDecision.mAdmitted ? mCounts.mAdmitted : mCounts.mRefused);
  }
  aOut.push_back(std::move(aDecision));
}

} // namespace peridothoist
