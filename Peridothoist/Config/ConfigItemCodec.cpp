/// Field tables of the item kinds, and the checks within one item.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/ConfigItemCodec.h>

#include <Peridothoist/Config/ConfigText.h>
#include <Peridothoist/Config/ItemField.h>

namespace peridothoist {

namespace {

using nlohmann::json;

constexpr double kMaxRetryBudget = 0.5;
constexpr double kMaxBodyLimitBytes = 64.0 * 1024 * 1024;
constexpr double kMaxDeadlineSeconds = 3600;
constexpr double kMaxRetentionSeconds = 365.0 * 86400;
constexpr double kMaxTokens = 1e12;
constexpr double kMaxPieces = 1e6;

const std::vector<ItemField<Workspace>> kWorkspaceFields = {
  { "rate_tokens_per_second",
    &Workspace::mTokensPerSecond,
    true,
    TextRule::Any,
    0,
    kMaxTokens },
  { "burst_tokens",
    &Workspace::mBurstTokens,
    true,
    TextRule::Any,
    0,
    kMaxTokens },
  { "pools", &Workspace::mPools, false, TextRule::Name },
};

const std::vector<ItemField<KeyRecord>> kKeyFields = {
  { "workspace", &KeyRecord::mWorkspace, true, TextRule::Name },
  { "salt", &KeyRecord::mSalt, true, TextRule::Hex },
  { "digest", &KeyRecord::mDigest, true, TextRule::Hex },
};

const std::vector<ItemField<Pool>> kPoolFields = {
  { "role", &Pool::mRole, true },
  { "model", &Pool::mModel },
};

const std::vector<ItemField<Upstream>> kUpstreamFields = {
  { "pool", &Upstream::mPool, true, TextRule::Name },
  { "address", &Upstream::mAddress, true, TextRule::Address },
  { "zone", &Upstream::mZone, true, TextRule::Name },
  { "memory_pieces",
    &Upstream::mMemoryPieces,
    false,
    TextRule::Any,
    0,
    kMaxPieces },
  { "piece_tokens",
    &Upstream::mPieceTokens,
    false,
    TextRule::Any,
    1,
    kMaxPieces },
  { "checks_fence", &Upstream::mChecksFence },
  { "leaving", &Upstream::mIsLeaving },
};

const std::vector<ItemField<Route>> kRouteFields = {
  { "path", &Route::mPath, true, TextRule::Path },
  { "model", &Route::mModel },
  { "class", &Route::mClass },
  { "idempotent", &Route::mIsIdempotent },
  { "open_to_all", &Route::mIsOpenToAll },
  { "prefill_pool", &Route::mPrefillPool, false, TextRule::NameOrNone },
  { "decode_pool", &Route::mDecodePool, false, TextRule::NameOrNone },
  { "plain_pool", &Route::mPlainPool, false, TextRule::NameOrNone },
  { "deadline",
    &Route::mDeadline,
    false,
    TextRule::Any,
    0.001,
    kMaxDeadlineSeconds },
};

const std::vector<ItemField<Exception>> kExceptionFields = {
  { "workspace", &Exception::mWorkspace, true, TextRule::Name },
  { "field", &Exception::mField, true, TextRule::Name },
  { "reason", &Exception::mReason, true, TextRule::NotBlank },
};

const TextChoices kQueueStrategies = { "fair", "fifo" };
const TextChoices kChooseStrategies = { "cost", "round_robin", "least_loaded" };
const TextChoices kReserveStrategies = { "before", "after" };
const TextChoices kAdmitStrategies = { "early", "deadline" };
const TextChoices kShareStrategies = { "demand", "equal" };

const std::vector<ItemField<Defaults>> kDefaultFields = {
  { "idempotency_key_required", &Defaults::mIdempotencyKeyRequired },
  { "queue_strategy",
    &Defaults::mQueueStrategy,
    false,
    TextRule::Any,
    0,
    0,
    &kQueueStrategies },
  { "choose_strategy",
    &Defaults::mChooseStrategy,
    false,
    TextRule::Any,
    0,
    0,
    &kChooseStrategies },
  { "reserve_strategy",
    &Defaults::mReserveStrategy,
    false,
    TextRule::Any,
    0,
    0,
    &kReserveStrategies },
  { "admit_strategy",
    &Defaults::mAdmitStrategy,
    false,
    TextRule::Any,
    0,
    0,
    &kAdmitStrategies },
  { "share_strategy",
    &Defaults::mShareStrategy,
    false,
    TextRule::Any,
    0,
    0,
    &kShareStrategies },
  { "hedge_lookups", &Defaults::mHedgeLookups },
  { "retry_budget",
    &Defaults::mRetryBudget,
    false,
    TextRule::Any,
    0,
    kMaxRetryBudget },
  { "hedge_delay",
    &Defaults::mHedgeDelay,
    false,
    TextRule::Any,
    0.001,
    kMaxDeadlineSeconds },
  { "outcome_retention",
    &Defaults::mOutcomeRetention,
    false,
    TextRule::Any,
    3600,
    kMaxRetentionSeconds },
  { "max_body_bytes",
    &Defaults::mMaxBodyBytes,
    false,
    TextRule::Any,
    1024,
    kMaxBodyLimitBytes },
};

bool
Refuse(Reason* aReason, const std::string& aText)
{
  Reason::Set(aReason, ReasonCode::Invalid, aText);
  return false;
}

/// Checks the consistency of a route's fields with each other.
bool
CheckConsistency(const Route& aRoute, const std::string& aPath, Reason* aReason)
{
  const bool hasPrefillPool = !aRoute.mPrefillPool.empty();
  const bool hasDecodePool = !aRoute.mDecodePool.empty();
  const bool hasPlainPool = !aRoute.mPlainPool.empty();
  if (hasPrefillPool && !hasDecodePool) {
    return Refuse(
      aReason, aPath + ".decode_pool: is missing although prefill_pool is set");
  }
  if (hasDecodePool && !hasPrefillPool) {
    return Refuse(
      aReason, aPath + ".prefill_pool: is missing although decode_pool is set");
  }
  if (hasPlainPool && hasPrefillPool) {
    return Refuse(aReason,
                  aPath + ".plain_pool: must not be set together with "
                          "prefill_pool and decode_pool");
  }
  if (!hasPlainPool && !hasPrefillPool) {
    return Refuse(aReason,
                  aPath + ".plain_pool: is missing, and so are prefill_pool "
                          "and decode_pool");
  }
  if (aRoute.mIsIdempotent == (aRoute.mClass == RequestClass::NonIdempotent)) {
    return Refuse(aReason,
                  aPath + ".class: \"non_idempotent\" is required if "
                          "idempotent is false, and not allowed otherwise");
  }
  if (aRoute.mIsOpenToAll && !aRoute.mIsIdempotent) {
    return Refuse(aReason,
                  aPath + ".open_to_all: must be false for a route that is not "
                          "idempotent");
  }
  return true;
}

bool
CheckConsistency(const KeyRecord& aKey,
                 const std::string& aPath,
                 Reason* aReason)
{
  constexpr std::size_t kSha256HexDigits = 64;
  if (aKey.mDigest.size() != kSha256HexDigits) {
    return Refuse(aReason, aPath + ".digest: must be 64 hex digits");
  }
  if (aKey.mName.find('.') != std::string::npos) {
    return Refuse(aReason, aPath + ": the name of a key must not contain '.'");
  }
  return true;
}

bool
CheckConsistency(const Workspace& aWorkspace,
                 const std::string& aPath,
                 Reason* aReason)
{
  if (aWorkspace.mTokensPerSecond > 0 && aWorkspace.mBurstTokens <= 0) {
    return Refuse(aReason,
                  aPath + ".burst_tokens: must be above 0 if "
                          "rate_tokens_per_second is above 0");
  }
  return true;
}

bool
CheckConsistency(const Pool& aPool, const std::string& aPath, Reason* aReason)
{
  if (aPool.mRole != UpstreamRole::Plain && aPool.mModel.empty()) {
    return Refuse(aReason,
                  aPath + ".model: is missing, the role is " +
                    ToName(aPool.mRole));
  }
  return true;
}

bool
CheckConsistency(const Upstream&, const std::string&, Reason*)
{
  return true;
}

template<class Item>
std::optional<ConfigItem>
ReadFieldsAs(const std::vector<ItemField<Item>>& aFields,
             const std::string& aName,
             const json& aJson,
             const std::string& aPath,
             Reason* aReason)
{
  Item item;
  item.mName = aName;
  if (!ReadFields(aFields, aJson, aPath, item, aReason) ||
      !CheckConsistency(item, aPath, aReason)) {
    return std::nullopt;
  }
  return ConfigItem(std::move(item));
}

/// Checks that the value of a default exists and is no list or object.
bool
CheckValue(const json& aJson, const std::string& aPath, Reason* aReason)
{
  const auto it = aJson.find("value");
  if (it == aJson.end()) {
    return Refuse(aReason, aPath + ".value: is missing");
  }
  if (it->is_structured()) {
    return Refuse(aReason, aPath + ".value: must be a single value");
  }
  return true;
}

std::optional<ConfigItem>
ReadDefault(const std::string& aName,
            const json& aJson,
            const std::string& aPath,
            Reason* aReason)
{
  for (const auto& entry : aJson.items()) {
    if (entry.key() != "schema" && entry.key() != "value") {
      Refuse(aReason, aPath + "." + entry.key() + ": unknown field");
      return std::nullopt;
    }
  }
  if (!CheckValue(aJson, aPath, aReason)) {
    return std::nullopt;
  }
  DefaultItem item{ aName, aJson["value"].dump() };
  Defaults scratch;
  if (!ConfigItemCodec::SetDefault(
        aName, item.mValue, aPath, scratch, aReason)) {
    return std::nullopt;
  }
  return ConfigItem(std::move(item));
}

std::optional<ConfigItem>
ReadException(const std::string& aName,
              json aJson,
              const std::string& aPath,
              Reason* aReason)
{
  if (!CheckValue(aJson, aPath, aReason)) {
    return std::nullopt;
  }
  Exception item;
  item.mName = aName;
  item.mValue = aJson["value"].dump();
  aJson.erase("value");
  Defaults scratch;
  if (!ReadFields(kExceptionFields, aJson, aPath, item, aReason) ||
      !ConfigItemCodec::SetDefault(
        item.mField, item.mValue, aPath, scratch, aReason)) {
    return std::nullopt;
  }
  return ConfigItem(std::move(item));
}

bool
CheckSchema(const json& aJson, const std::string& aPath, Reason* aReason)
{
  const auto it = aJson.find("schema");
  if (it == aJson.end()) {
    return true;
  }
  if (!it->is_number_unsigned() || *it != kItemSchemaVersion) {
    return Refuse(aReason,
                  aPath + ".schema: must be " +
                    std::to_string(kItemSchemaVersion));
  }
  return true;
}

json
WriteItemFields(const Workspace& aItem)
{
  return WriteFields(kWorkspaceFields, aItem);
}

json
WriteItemFields(const KeyRecord& aItem)
{
  return WriteFields(kKeyFields, aItem);
}

json
WriteItemFields(const Pool& aItem)
{
  return WriteFields(kPoolFields, aItem);
}

json
WriteItemFields(const Upstream& aItem)
{
  return WriteFields(kUpstreamFields, aItem);
}

json
WriteItemFields(const Route& aItem)
{
  return WriteFields(kRouteFields, aItem);
}

json
WriteItemFields(const DefaultItem& aItem)
{
  return { { "value", json::parse(aItem.mValue, nullptr, false) } };
}

json
WriteItemFields(const Exception& aItem)
{
  json value = WriteFields(kExceptionFields, aItem);
  value["value"] = json::parse(aItem.mValue, nullptr, false);
  return value;
}

} // namespace

std::string
ItemPath(ItemKind aKind, const std::string& aName)
{
  return std::string(ToName(aKind)) + "/" + aName;
}

std::optional<ConfigItem>
ConfigItemCodec::ReadItem(ItemKind aKind,
                          const std::string& aName,
                          std::string_view aJson,
                          Reason* aReason)
{
  if (!IsItemName(aName)) {
    Refuse(aReason,
           std::string(ToName(aKind)) +
             ": a name is 1 to 64 letters, digits, '-', '_' and '.'");
    return std::nullopt;
  }
  const std::string path = ItemPath(aKind, aName);
  if (aJson.size() > kMaxItemBytes) {
    Refuse(aReason, path + ": is longer than 65536 bytes");
    return std::nullopt;
  }
  const json parsed = json::parse(aJson, nullptr, false);
  if (!parsed.is_object()) {
    Refuse(aReason, path + ": must be a JSON object");
    return std::nullopt;
  }
  if (!CheckSchema(parsed, path, aReason)) {
    return std::nullopt;
  }
  switch (aKind) {
    case ItemKind::Workspace:
      return ReadFieldsAs(kWorkspaceFields, aName, parsed, path, aReason);
    case ItemKind::Key:
      return ReadFieldsAs(kKeyFields, aName, parsed, path, aReason);
    case ItemKind::Pool:
      return ReadFieldsAs(kPoolFields, aName, parsed, path, aReason);
    case ItemKind::Upstream:
      return ReadFieldsAs(kUpstreamFields, aName, parsed, path, aReason);
    case ItemKind::Route:
      return ReadFieldsAs(kRouteFields, aName, parsed, path, aReason);
    case ItemKind::Default:
      return ReadDefault(aName, parsed, path, aReason);
    case ItemKind::Exception:
      return ReadException(aName, parsed, path, aReason);
  }
  PH_ASSERT(false);
}

std::string
ConfigItemCodec::WriteItem(const ConfigItem& aItem)
{
  json value = std::visit(
    [](const auto& aValue) { return WriteItemFields(aValue); }, aItem);
  value["schema"] = kItemSchemaVersion;
  return value.dump();
}

bool
ConfigItemCodec::SetDefault(const std::string& aField,
                            const std::string& aValue,
                            const std::string& aPath,
                            Defaults& aDefaults,
                            Reason* aReason)
{
  const ItemField<Defaults>* field = FindField(kDefaultFields, aField);
  if (field == nullptr) {
    return Refuse(aReason, aPath + ": no default is named \"" + aField + "\"");
  }
  std::string error;
  const json value = json::parse(aValue, nullptr, false);
  if (!ReadField(*field, value, aDefaults, error)) {
    return Refuse(aReason, aPath + ".value: " + error);
  }
  return true;
}

std::string
ConfigItemCodec::GetDefault(const std::string& aField,
                            const Defaults& aDefaults)
{
  const ItemField<Defaults>* field = FindField(kDefaultFields, aField);
  PH_ASSERT(field != nullptr);
  return WriteField(*field, aDefaults).dump();
}

std::vector<std::string>
ConfigItemCodec::DefaultNames()
{
  std::vector<std::string> names;
  names.reserve(kDefaultFields.size());
  for (const ItemField<Defaults>& it : kDefaultFields) {
    names.emplace_back(it.mName);
  }
  return names;
}

Defaults
EffectiveDefaults(const Configuration& aConfiguration,
                  const std::string& aWorkspace)
{
  Defaults defaults = aConfiguration.mDefaults;
  for (const auto& [name, exception] : aConfiguration.mExceptions) {
    if (exception.mWorkspace == aWorkspace) {
      const bool wasSet = ConfigItemCodec::SetDefault(
        exception.mField, exception.mValue, name, defaults, nullptr);
      PH_ASSERT(wasSet);
    }
  }
  return defaults;
}

} // namespace peridothoist
