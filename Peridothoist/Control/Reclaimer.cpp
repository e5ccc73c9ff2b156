/// Frees what entry instances that are gone left behind on engines.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/Reclaimer.h>

#include <Peridothoist/Shell/Log.h>

#include <nlohmann/json.hpp>

namespace peridothoist {

namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;

std::vector<HeldRequest>
ReadHeld(const Upstream& aUpstream, const std::string& aBody)
{
  std::vector<HeldRequest> held;
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object() || !body.value("requests", json()).is_array()) {
    return held;
  }
  for (const json& it : body["requests"]) {
    if (it.is_object() && it.value("request", json()).is_string()) {
      held.push_back({ aUpstream.mName, it["request"].get<std::string>() });
    }
  }
  return held;
}

} // namespace

Reclaimer::Reclaimer(Reactor& aReactor,
                     ControlState& aState,
                     UpstreamKeeper& aUpstreams,
                     Metrics& aMetrics)
  : mReactor(aReactor)
  , mState(aState)
  , mUpstreams(aUpstreams)
  , mReclaimed(aMetrics.GetCounter("peridothoist_reclaimed_instances_total"))
  , mAlive(std::make_shared<bool>(true))
{
}

Reclaimer::~Reclaimer()
{
  *mAlive = false;
}

bool
Reclaimer::IsDue(const std::vector<GoneInstance>& aGone)
{
  const TimePoint now = mReactor.Now();
  std::set<std::string> gone;
  for (const GoneInstance& it : aGone) {
    if (mKnownGone.count(it.mEntryInstance) == 0) {
      mLastNew = now;
    }
    gone.insert(it.mEntryInstance);
  }
  mKnownGone = std::move(gone);
  if (aGone.empty()) {
    return false;
  }
  const UpstreamKeeperSettings& settings = mState.mSettings.mUpstreams;
  const bool isEager = mLastNew && now - *mLastNew < settings.mReclaimEager;
  const Duration interval =
    isEager ? settings.mReclaimInterval : settings.mReclaimSlowInterval;
  return !mLastRound || now - *mLastRound >= interval;
}

void
Reclaimer::OnTick()
{
  const TimePoint now = mReactor.Now();
  if (!IsDue(mState.mMembers.Gone(now))) {
    return;
  }
  mLastRound = now;
  const Configuration& config = mState.mView.Config();
  for (const auto& [name, upstream] : config.mUpstreams) {
    const auto pool = config.mPools.find(upstream.mPool);
    const bool isEngine =
      pool != config.mPools.end() && pool->second.mRole != UpstreamRole::Plain;
    if (isEngine && mUpstreams.CanReadBack(upstream.mPool)) {
      Ask(upstream);
    }
  }
}

void
Reclaimer::Ask(const Upstream& aUpstream)
{
  mUpstreams.Read(
    aUpstream,
    "/v1/requests",
    [this, alive = mAlive, aUpstream](const UpstreamCallEnd& aEnd) {
      if (*alive) {
        OnRequests(aUpstream, aEnd);
      }
    });
}

void
Reclaimer::OnRequests(const Upstream& aUpstream, const UpstreamCallEnd& aEnd)
{
  if (!aEnd.Is(kHttpOk)) {
    return;
  }
  const auto orders = PlanReclaim(ReadHeld(aUpstream, aEnd.mBody),
                                  mState.mMembers.Gone(mReactor.Now()));
  for (const ReclaimOrder& it : orders) {
    Cancel(aUpstream, it);
  }
}

void
Reclaimer::Cancel(const Upstream& aUpstream, const ReclaimOrder& aOrder)
{
  HttpCall call;
  call.mMethod = "POST";
  call.mUrl = "/v1/cancel";
  call.mBody = json({ { "instance", aOrder.mEntryInstance } }).dump();
  mUpstreams.CallUnderLease(
    aUpstream,
    std::move(call),
    true,
    [this, alive = mAlive, aOrder](const UpstreamCallEnd& aEnd) {
      if (!*alive) {
        return;
      }
      Log::Info("instance_reclaimed")
        .Field("upstream", aOrder.mUpstream)
        .Field("instance", aOrder.mEntryInstance)
        .Field("requests", aOrder.mRequests)
        .Field("done", aEnd.Is(kHttpOk))
        .Field("status", aEnd.mCall.mStatus);
      mReclaimed.Add(aEnd.Is(kHttpOk) ? 1 : 0);
    });
}

} // namespace peridothoist
