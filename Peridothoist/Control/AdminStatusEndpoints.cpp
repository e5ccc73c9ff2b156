/// Read-only admin API endpoints.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminStatusEndpoints.h>

namespace peridothoist {

namespace {

using nlohmann::json;

json
AgeInMilliseconds(const std::optional<Duration>& aAge)
{
  return aAge ? json(*aAge / std::chrono::milliseconds(1)) : json(nullptr);
}

json
RedactedItemsJson(const std::vector<ItemEdit>& aItems)
{
  json items = json::array();
  for (const ItemEdit& it : aItems) {
    items.push_back(RedactedItemJson(it));
  }
  return items;
}

/// Returns every default with its effective value, including built-in defaults.
std::vector<ItemEdit>
AllDefaults(const Configuration& aConfiguration)
{
  std::vector<ItemEdit> items;
  for (std::string& it : ConfigItemCodec::DefaultNames()) {
    const auto item = FindItem(aConfiguration, ItemKind::Default, it);
    items.push_back(
      { ItemKind::Default, std::move(it), ConfigItemCodec::WriteItem(*item) });
  }
  return items;
}

} // namespace

json
RedactedItemJson(const ItemEdit& aItem)
{
  json value = aItem.mJson.empty() ? json(nullptr)
                                   : json::parse(aItem.mJson, nullptr, false);
  if (aItem.mKind == ItemKind::Key && value.is_object()) {
    value.erase("salt");
    value.erase("digest");
  }
  return { { "kind", ToName(aItem.mKind) },
           { "name", aItem.mName },
           { "json", std::move(value) } };
}

AdminStatusEndpoints::AdminStatusEndpoints(Reactor& aReactor,
                                           ControlState& aState,
                                           UpstreamLeaseManager& aLeaseManager,
                                           Metrics& aMetrics)
  : mReactor(aReactor)
  , mState(aState)
  , mLeaseManager(aLeaseManager)
  , mMetrics(aMetrics)
{
}

void
AdminStatusEndpoints::Register(AdminServer& aServer)
{
  aServer.AddPublicEndpoint(
    "GET", "/healthz", [](const AdminRequest& aRequest) {
      aRequest.RespondText("text/plain", "ok\n");
    });
  aServer.AddPublicEndpoint(
    "GET", "/readyz", [this](const AdminRequest& aRequest) {
      ServeReady(aRequest);
    });
  aServer.AddPublicEndpoint(
    "GET", "/metrics", [this](const AdminRequest& aRequest) {
      ServeMetrics(aRequest);
    });
  aServer.AddEndpoint(
    "GET", "/admin/v1/status", [this](const AdminRequest& aRequest) {
      ServeStatus(aRequest);
    });
  aServer.AddEndpoint(
    "GET", "/admin/v1/config", [this](const AdminRequest& aRequest) {
      ServeConfig(aRequest);
    });
}

void
AdminStatusEndpoints::ServeReady(const AdminRequest& aRequest) const
{
  const auto staleness =
    mState.mView.Freshness().CheckFreshness(mReactor.Now());
  if (staleness) {
    aRequest.RespondError(staleness->mReason);
    return;
  }
  aRequest.RespondText("text/plain", "ok\n");
}

void
AdminStatusEndpoints::ServeMetrics(const AdminRequest& aRequest) const
{
  const TimePoint now = mReactor.Now();
  const auto age = mState.mView.Freshness().Age(now);
  const double seconds = age ? std::chrono::duration<double>(*age).count() : -1;
  mMetrics.GetGauge("peridothoist_view_age_seconds").Set(seconds);
  mMetrics.GetGauge("peridothoist_view_version")
    .Set(static_cast<double>(mState.mView.Version()));
  mMetrics.GetGauge("peridothoist_members")
    .Set(static_cast<double>(mState.mMembers.Size()));
  mMetrics.GetGauge("peridothoist_platform_silent")
    .Set(mState.mIsPlatformUnreachable ? 1 : 0);
  aRequest.RespondText("text/plain; version=0.0.4", mMetrics.Render());
}

json
AdminStatusEndpoints::ViewStatus() const
{
  const TimePoint now = mReactor.Now();
  json suspended = json::array();
  for (const KeySuspension& it :
       mState.mView.SuspendedKeys().Suspensions(now)) {
    for (const std::string& key : it.mKeyNames) {
      suspended.push_back(key);
    }
  }
  return { { "version", mState.mView.Version() },
           { "plan_epoch", mState.mView.Plan().mEpoch },
           { "age_ms", AgeInMilliseconds(mState.mView.Freshness().Age(now)) },
           { "fresh", mState.mView.Freshness().IsFresh(now) },
           { "in_doubt", mState.IsInDoubt() },
           { "suspended_keys", std::move(suspended) },
           { "quarantined", mState.mQuarantine.Size() } };
}

json
AdminStatusEndpoints::MemberStatus() const
{
  json members = json::array();
  for (const Member& it : mState.mMembers.CurrentMembers(mReactor.Now())) {
    members.push_back({ { "vm", it.mVm },
                        { "zone", it.mZone },
                        { "state", ToName(it.mState) },
                        { "entry_address", it.mEntryAddress },
                        { "entry_instance", it.mEntryInstance },
                        { "version", it.mStamp.mVersion },
                        { "plan_epoch", it.mStamp.mPlanEpoch },
                        { "heard_ms_ago", AgeInMilliseconds(it.mReportAge) },
                        { "platform_silent", it.mPlatformUnreachable },
                        { "in_doubt", it.mCommitInDoubt } });
  }
  return members;
}

json
AdminStatusEndpoints::UpstreamStatus() const
{
  json upstreams = json::array();
  for (const auto& [name, upstream] : mState.mView.Config().mUpstreams) {
    upstreams.push_back({ { "name", name },
                          { "pool", upstream.mPool },
                          { "zone", upstream.mZone },
                          { "address", upstream.mAddress },
                          { "leaving", upstream.mIsLeaving } });
  }
  return upstreams;
}

void
AdminStatusEndpoints::ServeStatus(const AdminRequest& aRequest) const
{
  aRequest.Respond(200,
                   { { "vm", mState.mSettings.mVm },
                     { "zone", mState.mSettings.mZone },
                     { "instance", mState.mSettings.mInstance },
                     { "view", ViewStatus() },
                     { "platform",
                       { { "silent", mState.mIsPlatformUnreachable },
                         { "agreement", ToName(mState.mAgreement.mObstacle) },
                         { "agreement_vm", mState.mAgreement.mVm } } },
                     { "vms", MemberStatus() },
                     { "upstreams", UpstreamStatus() },
                     { "leases", mLeaseManager.Status() } });
}

void
AdminStatusEndpoints::ServeConfig(const AdminRequest& aRequest) const
{
  const Configuration& config = mState.mView.Config();
  if (aRequest.SubPath().empty()) {
    aRequest.Respond(200,
                     { { "version", config.mVersion },
                       { "items", RedactedItemsJson(ListItems(config)) } });
    return;
  }
  const std::size_t slash = aRequest.SubPath().find('/');
  const auto kind = ItemKindFromName(aRequest.SubPath().substr(0, slash));
  if (!kind) {
    aRequest.RespondError({ ReasonCode::NotFound, "unknown kind of item" });
    return;
  }
  if (slash == std::string::npos) {
    const auto items = *kind == ItemKind::Default ? AllDefaults(config)
                                                  : ListItems(config, *kind);
    aRequest.Respond(200,
                     { { "version", config.mVersion },
                       { "items", RedactedItemsJson(items) } });
    return;
  }
  const std::string name = aRequest.SubPath().substr(slash + 1);
  const auto item = FindItem(config, *kind, name);
  if (!item) {
    aRequest.RespondError(
      { ReasonCode::NotFound, ItemPath(*kind, name) + ": does not exist" });
    return;
  }
  json shownItem =
    RedactedItemJson({ *kind, name, ConfigItemCodec::WriteItem(*item) });
  shownItem["version"] = config.mVersion;
  aRequest.Respond(200, shownItem);
}

} // namespace peridothoist
