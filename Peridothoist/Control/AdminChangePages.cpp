/// Operators' pages that change the configuration.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminChangePages.h>

#include <Peridothoist/Config/ConfigCodec.h>
#include <Peridothoist/Config/ConfigurationDiff.h>
#include <Peridothoist/Control/AdminViewPages.h>
#include <Peridothoist/Keys/KeyText.h>

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

/// Reads the body of a change; empty with the reason.
std::optional<ChangeRequest>
ReadChange(const AdminCall& aCall, Reason* aReason)
{
  for (const auto& entry : aCall.Body().items()) {
    if (kChangeFields.count(entry.key()) == 0) {
      Reason::Set(
        aReason, ReasonCode::Invalid, entry.key() + ": unknown field");
      return std::nullopt;
    }
  }
  const json base = aCall.Body().value("base_version", json());
  if (!base.is_number_unsigned()) {
    Reason::Set(aReason,
                ReasonCode::Invalid,
                "base_version: must be the version that the edits start from");
    return std::nullopt;
  }
  auto edits = DecodeEdits(aCall.Body().value("edits", json()), aReason);
  if (!edits) {
    return std::nullopt;
  }
  ChangeRequest request;
  request.mBaseVersion = base.get<std::uint64_t>();
  request.mEdits = std::move(*edits);
  request.mDryRun = aCall.Flag("dry_run");
  request.mOverrideReason = aCall.Text("override_reason");
  request.mOperator = aCall.Operator();
  return request;
}

/// A name that no other key has.
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
MakeEntropy()
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
                { "waiting", aStatus ? json(aStatus->mWaiting) : json() } };
  if (aStatus && aStatus->mTook) {
    body["took_ms"] = *aStatus->mTook / std::chrono::milliseconds(1);
  }
  return body;
}

} // namespace

AdminChangePages::AdminChangePages(ControlState& aState,
                                   ChangeDesk& aDesk,
                                   const InForceTracker& aInForce)
  : mState(aState)
  , mDesk(aDesk)
  , mInForce(aInForce)
{
}

void
AdminChangePages::Register(AdminServer& aServer)
{
  aServer.Add("POST", "/admin/v1/changes", [this](const AdminCall& aCall) {
    ServeChange(aCall);
  });
  aServer.Add("GET", "/admin/v1/changes", [this](const AdminCall& aCall) {
    ServeInForce(aCall);
  });
  aServer.Add("POST", "/admin/v1/keys", [this](const AdminCall& aCall) {
    ServeNewKey(aCall);
  });
  aServer.Add("DELETE", "/admin/v1/keys", [this](const AdminCall& aCall) {
    ServeDropKey(aCall);
  });
  aServer.Add("POST", "/admin/v1/drain", [this](const AdminCall& aCall) {
    ServeDrain(aCall);
  });
}

void
AdminChangePages::ServeChange(const AdminCall& aCall)
{
  Reason reason;
  const auto request = ReadChange(aCall, &reason);
  if (!request) {
    aCall.Refuse(reason);
    return;
  }
  const auto diff =
    ConfigurationDiff::OfEdits(mState.mView.Config(), request->mEdits);
  json more = json::object();
  if (request->mDryRun) {
    more = { { "dry_run", true },
             { "diff", diff.ToText() },
             { "differences", diff.ToJson() } };
  }
  Submit(aCall, *request, more);
}

void
AdminChangePages::ServeInForce(const AdminCall& aCall) const
{
  const std::string& rest = aCall.Rest();
  std::uint64_t version = 0;
  const auto parsed =
    std::from_chars(rest.data(), rest.data() + rest.size(), version);
  const std::string_view left(parsed.ptr,
                              rest.data() + rest.size() - parsed.ptr);
  if (parsed.ec != std::errc() || left != "/in_force") {
    aCall.Refuse({ ReasonCode::NotFound, "no such call" });
    return;
  }
  const auto status = mInForce.Status(version);
  if (!status) {
    aCall.Refuse({ ReasonCode::NotFound,
                   "this process doesn't follow that change (any more)" });
    return;
  }
  json body = InForceJson(status);
  body["version"] = version;
  aCall.Answer(200, body);
}

void
AdminChangePages::ServeNewKey(const AdminCall& aCall)
{
  const std::string wanted = aCall.Text("name");
  const std::string name = wanted.empty() ? RandomKeyName() : wanted;
  if (mState.mView.Config().mKeys.count(name) > 0) {
    aCall.Refuse({ ReasonCode::Conflict, "key/" + name + ": exists already" });
    return;
  }
  Reason reason;
  const auto key =
    MakeKey(name, aCall.Text("workspace"), MakeEntropy(), &reason);
  if (!key) {
    aCall.Refuse(reason);
    return;
  }
  ChangeRequest request;
  request.mAnyBase = true;
  request.mOperator = aCall.Operator();
  request.mEdits = {
    { ItemKind::Key, name, ConfigurationReader::WriteItem(key->mRecord) }
  };
  Submit(aCall,
         request,
         { { "name", name },
           { "workspace", key->mRecord.mWorkspace },
           { "key", key->mText } });
}

void
AdminChangePages::ServeDropKey(const AdminCall& aCall)
{
  ChangeRequest request;
  request.mAnyBase = true;
  request.mOperator = aCall.Operator();
  request.mOverrideReason = aCall.Text("override_reason");
  request.mEdits = { { ItemKind::Key, aCall.Rest(), {} } };
  Submit(aCall, request, { { "name", aCall.Rest() } });
}

void
AdminChangePages::ServeDrain(const AdminCall& aCall)
{
  const std::string name = aCall.Text("upstream");
  const auto& upstreams = mState.mView.Config().mUpstreams;
  const auto it = upstreams.find(name);
  if (it == upstreams.end()) {
    aCall.Refuse({ ReasonCode::NotFound,
                   ItemPath(ItemKind::Upstream, name) + ": does not exist" });
    return;
  }
  Upstream upstream = it->second;
  upstream.mLeaving = !aCall.Flag("undo");
  ChangeRequest request;
  request.mBaseVersion = mState.mView.Version();
  request.mOperator = aCall.Operator();
  request.mOverrideReason = aCall.Text("override_reason");
  request.mEdits = {
    { ItemKind::Upstream, name, ConfigurationReader::WriteItem(upstream) }
  };
  Submit(aCall, request, { { "upstream", name } });
}

void
AdminChangePages::Submit(const AdminCall& aCall,
                         const ChangeRequest& aRequest,
                         const json& aMore)
{
  mDesk.Submit(aRequest, [this, aCall, aMore](const ChangeAnswer& aAnswer) {
    Answer(aCall, aAnswer, aMore);
  });
}

void
AdminChangePages::Answer(const AdminCall& aCall,
                         const ChangeAnswer& aAnswer,
                         json aMore) const
{
  if (aAnswer.mReason.mCode == ReasonCode::None) {
    aMore["version"] = aAnswer.mVersion;
    aMore.update(InForceJson(mInForce.Status(aAnswer.mVersion)));
    aCall.Answer(200, aMore);
    return;
  }
  // A key whose change isn't known to be accepted is never shown.
  aMore.erase("key");
  aMore["version"] = aAnswer.mVersion;
  if (!aAnswer.mSilentZones.empty() || !aAnswer.mSilentVms.empty()) {
    aMore["silent_zones"] = aAnswer.mSilentZones;
    aMore["silent_vms"] = aAnswer.mSilentVms;
  }
  if (aAnswer.mReason.mCode == ReasonCode::Conflict) {
    json changed = json::array();
    for (const ItemEdit& it : aAnswer.mWinners) {
      changed.push_back(ShownItem(it));
    }
    aMore["changed"] = std::move(changed);
  }
  aCall.Refuse(aAnswer.mReason, std::move(aMore));
}

} // namespace peridothoist
