/// Admin API endpoints that change the configuration.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminChangeEndpoints.h>

#include <Peridothoist/Config/ConfigCodec.h>
#include <Peridothoist/Config/ConfigurationDiff.h>
#include <Peridothoist/Control/AdminStatusEndpoints.h>
#include <Peridothoist/Keys/CallerKey.h>

#include <openssl/rand.h>

#include <charconv>
#include <set>

namespace peridothoist {

namespace {

using nlohmann::json;

const std::set<std::string> kChangeFields = { "base_version",
                                              "edits",
                                              "dry_run",
                                              "override_reason" };

/// Parses the request body of a change. Returns nullopt and sets aReason if it
/// is invalid.
std::optional<ChangeRequest>
ParseChangeRequest(const AdminRequest& aRequest, Reason* aReason)
{
  for (const auto& entry : aRequest.Body().items()) {
    if (kChangeFields.count(entry.key()) == 0) {
      Reason::Set(
        aReason, ReasonCode::Invalid, entry.key() + ": unknown field");
      return std::nullopt;
    }
  }
  const json base = aRequest.Body().value("base_version", json());
  if (!base.is_number_unsigned()) {
    Reason::Set(aReason,
                ReasonCode::Invalid,
                "base_version: must be the configuration version that the "
                "edits are based on");
    return std::nullopt;
  }
  auto edits = DecodeEdits(aRequest.Body().value("edits", json()), aReason);
  if (!edits) {
    return std::nullopt;
  }
  ChangeRequest change;
  change.mBaseVersion = base.get<std::uint64_t>();
  change.mEdits = std::move(*edits);
  change.mDryRun = aRequest.BoolField("dry_run");
  change.mOverrideReason = aRequest.TextField("override_reason");
  change.mOperator = aRequest.OperatorName();
  return change;
}

/// Returns a random key name. The 64 random bits make a collision with an
/// existing name practically impossible.
std::string
RandomKeyName()
{
  std::array<unsigned char, 8> bytes{};
  PH_ASSERT(RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) == 1);
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string name = "k";
  for (unsigned char it : bytes) {
    name += kDigits[it >> 4];
    name += kDigits[it & 15];
  }
  return name;
}

KeyEntropy
MakeKeyEntropy()
{
  KeyEntropy entropy;
  PH_ASSERT(RAND_bytes(entropy.mSecret.data(),
                       static_cast<int>(entropy.mSecret.size())) == 1);
  PH_ASSERT(RAND_bytes(entropy.mSalt.data(),
                       static_cast<int>(entropy.mSalt.size())) == 1);
  return entropy;
}

json
InForceJson(const std::optional<InForceStatus>& aStatus)
{
  json body = { { "in_force", aStatus && aStatus->mInForce },
                { "waiting", aStatus ? json(aStatus->mBlockingVms) : json() } };
  if (aStatus && aStatus->mTimeToInForce) {
    body["took_ms"] = *aStatus->mTimeToInForce / std::chrono::milliseconds(1);
  }
  return body;
}

} // namespace

AdminChangeEndpoints::AdminChangeEndpoints(ControlState& aState,
                                           ChangeManager& aChangeManager,
                                           const InForceTracker& aInForce)
  : mState(aState)
  , mChangeManager(aChangeManager)
  , mInForce(aInForce)
{
}

void
AdminChangeEndpoints::Register(AdminServer& aServer)
{
  aServer.AddEndpoint(
    "POST", "/admin/v1/changes", [this](const AdminRequest& aRequest) {
      ServeChange(aRequest);
    });
  aServer.AddEndpoint(
    "GET", "/admin/v1/changes", [this](const AdminRequest& aRequest) {
      ServeInForceStatus(aRequest);
    });
  aServer.AddEndpoint(
    "POST", "/admin/v1/keys", [this](const AdminRequest& aRequest) {
      ServeCreateKey(aRequest);
    });
  aServer.AddEndpoint(
    "DELETE", "/admin/v1/keys", [this](const AdminRequest& aRequest) {
      ServeDeleteKey(aRequest);
    });
  aServer.AddEndpoint(
    "POST", "/admin/v1/drain", [this](const AdminRequest& aRequest) {
      ServeDrain(aRequest);
    });
}

void
AdminChangeEndpoints::ServeChange(const AdminRequest& aRequest)
{
  Reason reason;
  const auto change = ParseChangeRequest(aRequest, &reason);
  if (!change) {
    aRequest.RespondError(reason);
    return;
  }
  const auto diff =
    ConfigurationDiff::FromEdits(mState.mView.Config(), change->mEdits);
  json extraFields = json::object();
  if (change->mDryRun) {
    extraFields = { { "dry_run", true },
                    { "diff", diff.ToText() },
                    { "differences", diff.ToJson() } };
  }
  Submit(aRequest, *change, extraFields);
}

void
AdminChangeEndpoints::ServeInForceStatus(const AdminRequest& aRequest) const
{
  const std::string& subPath = aRequest.SubPath();
  std::uint64_t version = 0;
  const auto parsed =
    std::from_chars(subPath.data(), subPath.data() + subPath.size(), version);
  const std::string_view suffix(parsed.ptr,
                                subPath.data() + subPath.size() - parsed.ptr);
  if (parsed.ec != std::errc() || suffix != "/in_force") {
    aRequest.RespondError({ ReasonCode::NotFound, "unknown endpoint" });
    return;
  }
  const auto status = mInForce.Status(version);
  if (!status) {
    aRequest.RespondError(
      { ReasonCode::NotFound,
        "this process does not know this version or no longer tracks it" });
    return;
  }
  json body = InForceJson(status);
  body["version"] = version;
  aRequest.Respond(200, body);
}

void
AdminChangeEndpoints::ServeCreateKey(const AdminRequest& aRequest)
{
  const std::string requestedName = aRequest.TextField("name");
  const std::string name =
    requestedName.empty() ? RandomKeyName() : requestedName;
  if (mState.mView.Config().mKeys.count(name) > 0) {
    aRequest.RespondError(
      { ReasonCode::Conflict, "key/" + name + ": already exists" });
    return;
  }
  Reason reason;
  const auto key =
    MakeKey(name, aRequest.TextField("workspace"), MakeKeyEntropy(), &reason);
  if (!key) {
    aRequest.RespondError(reason);
    return;
  }
  ChangeRequest change;
  change.mAppliesToAnyVersion = true;
  change.mOperator = aRequest.OperatorName();
  change.mEdits = {
    { ItemKind::Key, name, ConfigItemCodec::WriteItem(key->mRecord) }
  };
  Submit(aRequest,
         change,
         { { "name", name },
           { "workspace", key->mRecord.mWorkspace },
           { "key", key->mText } });
}

void
AdminChangeEndpoints::ServeDeleteKey(const AdminRequest& aRequest)
{
  ChangeRequest change;
  change.mAppliesToAnyVersion = true;
  change.mOperator = aRequest.OperatorName();
  change.mOverrideReason = aRequest.TextField("override_reason");
  change.mEdits = { { ItemKind::Key, aRequest.SubPath(), {} } };
  Submit(aRequest, change, { { "name", aRequest.SubPath() } });
}

void
AdminChangeEndpoints::ServeDrain(const AdminRequest& aRequest)
{
  const std::string name = aRequest.TextField("upstream");
  const auto& upstreams = mState.mView.Config().mUpstreams;
  const auto it = upstreams.find(name);
  if (it == upstreams.end()) {
    aRequest.RespondError(
      { ReasonCode::NotFound,
        ItemPath(ItemKind::Upstream, name) + ": does not exist" });
    return;
  }
  Upstream upstream = it->second;
  upstream.mIsLeaving = !aRequest.BoolField("undo");
  ChangeRequest change;
  change.mBaseVersion = mState.mView.Version();
  change.mOperator = aRequest.OperatorName();
  change.mOverrideReason = aRequest.TextField("override_reason");
  change.mEdits = {
    { ItemKind::Upstream, name, ConfigItemCodec::WriteItem(upstream) }
  };
  Submit(aRequest, change, { { "upstream", name } });
}

void
AdminChangeEndpoints::Submit(const AdminRequest& aRequest,
                             const ChangeRequest& aChange,
                             const json& aExtraFields)
{
  mChangeManager.Submit(
    aChange, [this, aRequest, aExtraFields](const ChangeResult& aResult) {
      Respond(aRequest, aResult, aExtraFields);
    });
}

void
AdminChangeEndpoints::Respond(const AdminRequest& aRequest,
                              const ChangeResult& aResult,
                              json aExtraFields) const
{
  if (aResult.mReason.mCode == ReasonCode::None) {
    aExtraFields["version"] = aResult.mVersion;
    aExtraFields.update(InForceJson(mInForce.Status(aResult.mVersion)));
    aRequest.Respond(200, aExtraFields);
    return;
  }
  // A key is returned only when its change is known to be accepted.
  aExtraFields.erase("key");
  aExtraFields["version"] = aResult.mVersion;
  if (!aResult.mSilentZones.empty() || !aResult.mSilentVms.empty()) {
    aExtraFields["silent_zones"] = aResult.mSilentZones;
    aExtraFields["silent_vms"] = aResult.mSilentVms;
  }
  if (aResult.mReason.mCode == ReasonCode::Conflict) {
    json changed = json::array();
    for (const ItemEdit& it : aResult.mConflictingEdits) {
      changed.push_back(RedactedItemJson(it));
    }
    aExtraFields["changed"] = std::move(changed);
  }
  aRequest.RespondError(aResult.mReason, std::move(aExtraFields));
}

} // namespace peridothoist
