/// Cancels requests on engines whose entry instance has terminated.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/OrphanedRequestCleanup.h>

#include <Peridothoist/Shell/Log.h>

#include <nlohmann/json.hpp>

namespace peridothoist {

namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;

std::vector<HeldRequest>
ParseHeldRequests(const Upstream& aUpstream, const std::string& aBody)
{
  std::vector<HeldRequest> requests;
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object() || !body.value("requests", json()).is_array()) {
    return requests;
  }
  for (const json& it : body["requests"]) {
    if (it.is_object() && it.value("request", json()).is_string()) {
      requests.push_back({ aUpstream.mName, it["request"].get<std::string>() });
    }
  }
  return requests;
}

} // namespace

OrphanedRequestCleanup::OrphanedRequestCleanup(
  Reactor& aReactor,
  ControlState& aState,
  UpstreamLeaseManager& aLeaseManager,
  Metrics& aMetrics)
  : mReactor(aReactor)
  , mState(aState)
  , mLeaseManager(aLeaseManager)
  , mReclaimedInstances(
      aMetrics.GetCounter("peridothoist_reclaimed_instances_total"))
  , mAlive(std::make_shared<bool>(true))
{
}

OrphanedRequestCleanup::~OrphanedRequestCleanup()
{
  *mAlive = false;
}

bool
OrphanedRequestCleanup::CheckRoundDue(
  const std::vector<TerminatedInstance>& aTerminated)
{
  const TimePoint now = mReactor.Now();
  std::set<std::string> terminated;
  for (const TerminatedInstance& it : aTerminated) {
    if (mKnownTerminated.count(it.mEntryInstance) == 0) {
      mLastTerminationTime = now;
    }
    terminated.insert(it.mEntryInstance);
  }
  mKnownTerminated = std::move(terminated);
  if (aTerminated.empty()) {
    return false;
  }
  const UpstreamLeaseManagerSettings& settings =
    mState.mSettings.mUpstreamLeases;
  const bool isRecent = mLastTerminationTime && now - *mLastTerminationTime <
                                                  settings.mFastReclaimDuration;
  const Duration interval =
    isRecent ? settings.mFastReclaimInterval : settings.mSlowReclaimInterval;
  return !mLastRoundTime || now - *mLastRoundTime >= interval;
}

void
OrphanedRequestCleanup::OnTick()
{
  const TimePoint now = mReactor.Now();
  if (!CheckRoundDue(mState.mMembers.TerminatedInstances(now))) {
    return;
  }
  mLastRoundTime = now;
  const Configuration& config = mState.mView.Config();
  for (const auto& [name, upstream] : config.mUpstreams) {
    const auto pool = config.mPools.find(upstream.mPool);
    const bool isEngine =
      pool != config.mPools.end() && pool->second.mRole != UpstreamRole::Plain;
    if (isEngine && mLeaseManager.CanReadBack(upstream.mPool)) {
      FetchRequests(upstream);
    }
  }
}

void
OrphanedRequestCleanup::FetchRequests(const Upstream& aUpstream)
{
  mLeaseManager.Read(
    aUpstream,
    "/v1/requests",
    [this, alive = mAlive, aUpstream](const UpstreamCallResult& aResult) {
      if (*alive) {
        OnRequests(aUpstream, aResult);
      }
    });
}

void
OrphanedRequestCleanup::OnRequests(const Upstream& aUpstream,
                                   const UpstreamCallResult& aResult)
{
  if (!aResult.HasStatus(kHttpOk)) {
    return;
  }
  const auto orders =
    PlanReclaim(ParseHeldRequests(aUpstream, aResult.mBody),
                mState.mMembers.TerminatedInstances(mReactor.Now()));
  for (const ReclaimOrder& it : orders) {
    Cancel(aUpstream, it);
  }
}

void
OrphanedRequestCleanup::Cancel(const Upstream& aUpstream,
                               const ReclaimOrder& aOrder)
{
  HttpCall call;
  call.mMethod = "POST";
  call.mUrl = "/v1/cancel";
  call.mBody = json({ { "instance", aOrder.mEntryInstance } }).dump();
  mLeaseManager.CallUnderLease(
    aUpstream,
    std::move(call),
    true,
    [this, alive = mAlive, aOrder](const UpstreamCallResult& aResult) {
      if (!*alive) {
        return;
      }
      Log::Info("instance_reclaimed")
        .Field("upstream", aOrder.mUpstream)
        .Field("instance", aOrder.mEntryInstance)
        .Field("requests", aOrder.mRequests)
        .Field("done", aResult.HasStatus(kHttpOk))
        .Field("status", aResult.mCall.mStatus);
      mReclaimedInstances.Add(aResult.HasStatus(kHttpOk) ? 1 : 0);
    });
}

} // namespace peridothoist
