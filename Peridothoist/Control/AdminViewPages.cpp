/// Operators' pages that show things.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminViewPages.h>

namespace peridothoist {

namespace {

using nlohmann::json;

json
AgeInMilliseconds(const std::optional<Duration>& aAge)
{
  return aAge ? json(*aAge / std::chrono::milliseconds(1)) : json(nullptr);
}

json
ShownItems(const std::vector<ItemEdit>& aItems)
{
  json items = json::array();
  for (const ItemEdit& it : aItems) {
    items.push_back(ShownItem(it));
  }
  return items;
}

/// Every default with the value that holds, built-in ones too.
std::vector<ItemEdit>
AllDefaults(const Configuration& aConfiguration)
{
  std::vector<ItemEdit> items;
  for (std::string& it : ConfigurationReader::DefaultNames()) {
    const auto item = FindItem(aConfiguration, ItemKind::Default, it);
    items.push_back({ ItemKind::Default,
                      std::move(it),
                      ConfigurationReader::WriteItem(*item) });
  }
  return items;
}

} // namespace

json
ShownItem(const ItemEdit& aItem)
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

AdminViewPages::AdminViewPages(Reactor& aReactor,
                               ControlState& aState,
                               UpstreamKeeper& aUpstreams,
                               Metrics& aMetrics)
  : mReactor(aReactor)
  , mState(aState)
  , mUpstreams(aUpstreams)
  , mMetrics(aMetrics)
{
}

void
AdminViewPages::Register(AdminServer& aServer)
{
  aServer.AddOpen("GET", "/healthz", [](const AdminCall& aCall) {
    aCall.AnswerText("text/plain", "ok\n");
  });
  aServer.AddOpen(
    "GET", "/readyz", [this](const AdminCall& aCall) { ServeReady(aCall); });
  aServer.AddOpen(
    "GET", "/metrics", [this](const AdminCall& aCall) { ServeMetrics(aCall); });
  aServer.Add("GET", "/admin/v1/status", [this](const AdminCall& aCall) {
    ServeStatus(aCall);
  });
  aServer.Add("GET", "/admin/v1/config", [this](const AdminCall& aCall) {
    ServeConfig(aCall);
  });
}

void
AdminViewPages::ServeReady(const AdminCall& aCall) const
{
  const auto notFresh = mState.mView.Fresh().MayAct(mReactor.Now());
  if (notFresh) {
    aCall.Refuse(notFresh->mReason);
    return;
  }
  aCall.AnswerText("text/plain", "ok\n");
}

void
AdminViewPages::ServeMetrics(const AdminCall& aCall) const
{
  const TimePoint now = mReactor.Now();
  const auto age = mState.mView.Fresh().Age(now);
  const double seconds = age ? std::chrono::duration<double>(*age).count() : -1;
  mMetrics.GetGauge("peridothoist_view_age_seconds").Set(seconds);
  mMetrics.GetGauge("peridothoist_view_version")
    .Set(static_cast<double>(mState.mView.Version()));
  mMetrics.GetGauge("peridothoist_members")
    .Set(static_cast<double>(mState.mMembers.Size()));
  mMetrics.GetGauge("peridothoist_platform_silent")
    .Set(mState.mPlatformSilent ? 1 : 0);
  aCall.AnswerText("text/plain; version=0.0.4", mMetrics.Render());
}

json
AdminViewPages::ViewStatus() const
{
  const TimePoint now = mReactor.Now();
  json suspended = json::array();
  for (const KeySuspension& it : mState.mView.Suspensions().Suspensions(now)) {
    for (const std::string& key : it.mKeyNames) {
      suspended.push_back(key);
    }
  }
  return { { "version", mState.mView.Version() },
           { "plan_epoch", mState.mView.Plan().mEpoch },
           { "age_ms", AgeInMilliseconds(mState.mView.Fresh().Age(now)) },
           { "fresh", mState.mView.Fresh().IsFresh(now) },
           { "in_doubt", mState.IsInDoubt() },
           { "suspended_keys", std::move(suspended) },
           { "quarantined", mState.mQuarantine.Size() } };
}

json
AdminViewPages::MemberStatus() const
{
  json members = json::array();
  for (const Member& it : mState.mMembers.Export(mReactor.Now())) {
    members.push_back({ { "vm", it.mVm },
                        { "zone", it.mZone },
                        { "state", ToName(it.mState) },
                        { "entry_address", it.mEntryAddress },
                        { "entry_instance", it.mEntryInstance },
                        { "version", it.mStamp.mVersion },
                        { "plan_epoch", it.mStamp.mPlanEpoch },
                        { "heard_ms_ago", AgeInMilliseconds(it.mAge) },
                        { "platform_silent", it.mPlatformUnreachable },
                        { "in_doubt", it.mCommitInDoubt } });
  }
  return members;
}

json
AdminViewPages::UpstreamStatus() const
{
  json upstreams = json::array();
  for (const auto& [name, upstream] : mState.mView.Config().mUpstreams) {
    upstreams.push_back({ { "name", name },
                          { "pool", upstream.mPool },
                          { "zone", upstream.mZone },
                          { "address", upstream.mAddress },
                          { "leaving", upstream.mLeaving } });
  }
  return upstreams;
}

void
AdminViewPages::ServeStatus(const AdminCall& aCall) const
{
  aCall.Answer(200,
               { { "vm", mState.mSettings.mVm },
                 { "zone", mState.mSettings.mZone },
                 { "instance", mState.mSettings.mInstance },
                 { "view", ViewStatus() },
                 { "platform",
                   { { "silent", mState.mPlatformSilent },
                     { "agreement", ToName(mState.mAgreement.mObstacle) },
                     { "agreement_vm", mState.mAgreement.mVm } } },
                 { "vms", MemberStatus() },
                 { "upstreams", UpstreamStatus() },
                 { "leases", mUpstreams.Status() } });
}

void
AdminViewPages::ServeConfig(const AdminCall& aCall) const
{
  const Configuration& config = mState.mView.Config();
  if (aCall.Rest().empty()) {
    aCall.Answer(200,
                 { { "version", config.mVersion },
                   { "items", ShownItems(ItemsOf(config)) } });
    return;
  }
  const std::size_t slash = aCall.Rest().find('/');
  const auto kind = ItemKindFromName(aCall.Rest().substr(0, slash));
  if (!kind) {
    aCall.Refuse({ ReasonCode::NotFound, "no such kind of item" });
    return;
  }
  if (slash == std::string::npos) {
    const auto items =
      *kind == ItemKind::Default ? AllDefaults(config) : ItemsOf(config, *kind);
    aCall.Answer(
      200, { { "version", config.mVersion }, { "items", ShownItems(items) } });
    return;
  }
  const std::string name = aCall.Rest().substr(slash + 1);
  const auto item = FindItem(config, *kind, name);
  if (!item) {
    aCall.Refuse(
      { ReasonCode::NotFound, ItemPath(*kind, name) + ": does not exist" });
    return;
  }
  json shown =
    ShownItem({ *kind, name, ConfigurationReader::WriteItem(*item) });
  shown["version"] = config.mVersion;
  aCall.Answer(200, shown);
}

} // namespace peridothoist
