/// Strict JSON decoding of configuration documents.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/ConfigCodec.h>

#include <Peridothoist/Config/ConfigItemCodec.h>
#include <Peridothoist/Config/ConfigurationStore.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <initializer_list>

namespace peridothoist {

namespace {

using nlohmann::json;

/// Sets the reason and returns nullopt, the result of a failed decoder.
std::nullopt_t
Refuse(Reason* aReason, const std::string& aText)
{
  Reason::Set(aReason, ReasonCode::Invalid, aText);
  return std::nullopt;
}

/// Returns true if aJson is an object whose fields are all in aNames.
bool
HasOnlyFields(const json& aJson,
              std::initializer_list<std::string_view> aNames,
              const std::string& aPath,
              Reason* aReason)
{
  if (!aJson.is_object()) {
    Refuse(aReason, aPath + ": must be a JSON object");
    return false;
  }
  for (const auto& entry : aJson.items()) {
    if (std::find(aNames.begin(), aNames.end(), entry.key()) == aNames.end()) {
      Refuse(aReason, aPath + "." + entry.key() + ": unknown field");
      return false;
    }
  }
  return true;
}

/// Returns the field aName of the type that aIsType tests, or null and a
/// reason.
const json*
RequireField(const json& aJson,
             const char* aName,
             bool (json::*aIsType)() const noexcept,
             const std::string& aPath,
             Reason* aReason)
{
  const auto it = aJson.find(aName);
  if (it == aJson.end() || !((*it).*aIsType)()) {
    Refuse(aReason, aPath + "." + aName + ": is missing or of the wrong type");
    return nullptr;
  }
  return &*it;
}

std::optional<ItemEdit>
DecodeEdit(const json& aJson, const std::string& aPath, Reason* aReason)
{
  if (!HasOnlyFields(aJson, { "kind", "name", "json" }, aPath, aReason)) {
    return std::nullopt;
  }
  const json* itemKindName =
    RequireField(aJson, "kind", &json::is_string, aPath, aReason);
  const json* name =
    itemKindName ? RequireField(aJson, "name", &json::is_string, aPath, aReason)
                 : nullptr;
  if (name == nullptr) {
    return std::nullopt;
  }
  const auto itemKind =
    ItemKindFromName(itemKindName->get_ref<const std::string&>());
  if (!itemKind) {
    return Refuse(aReason, aPath + ".kind: no such kind of item");
  }
  const auto body = aJson.find("json");
  if (body == aJson.end() || !(body->is_object() || body->is_null())) {
    return Refuse(aReason,
                  aPath + ".json: must be an object, or null to remove");
  }
  if (!body->is_null() &&
      !std::all_of(body->begin(), body->end(), [](const json& aValue) {
        return !aValue.is_object();
      })) {
    return Refuse(aReason, aPath + ".json: must not contain nested objects");
  }
  return ItemEdit{ *itemKind,
                   name->get<std::string>(),
                   body->is_null() ? std::string() : body->dump() };
}

} // namespace

json
EncodeEdits(const std::vector<ItemEdit>& aEdits)
{
  json edits = json::array();
  for (const ItemEdit& it : aEdits) {
    edits.push_back(
      { { "kind", ToName(it.mKind) },
        { "name", it.mName },
        { "json",
          it.mJson.empty() ? json(nullptr)
                           : json::parse(it.mJson, nullptr, false) } });
  }
  return edits;
}

std::optional<std::vector<ItemEdit>>
DecodeEdits(const json& aJson, Reason* aReason)
{
  if (!aJson.is_array()) {
    return Refuse(aReason, "edits: must be a list");
  }
  std::vector<ItemEdit> edits;
  for (std::size_t n = 0; n < aJson.size(); ++n) {
    const std::string path = "edits[" + std::to_string(n) + "]";
    std::optional<ItemEdit> edit = DecodeEdit(aJson[n], path, aReason);
    if (!edit) {
      return std::nullopt;
    }
    edits.push_back(std::move(*edit));
  }
  return edits;
}

std::string
EncodeChange(const ChangeRecord& aRecord)
{
  json value = { { "version", aRecord.mChange.mVersion },
                 { "operation", aRecord.mChange.mOperationId },
                 { "operator", aRecord.mOperator },
                 { "edits", EncodeEdits(aRecord.mChange.mEdits) } };
  if (!aRecord.mOverrideReason.empty()) {
    value["override_reason"] = aRecord.mOverrideReason;
  }
  return value.dump();
}

std::optional<ChangeRecord>
DecodeChange(std::string_view aText, Reason* aReason)
{
  const json value = json::parse(aText, nullptr, false);
  const std::string path = "change";
  if (!HasOnlyFields(
        value,
        { "version", "operation", "operator", "override_reason", "edits" },
        path,
        aReason)) {
    return std::nullopt;
  }
  const json* version =
    RequireField(value, "version", &json::is_number_unsigned, path, aReason);
  const json* operation =
    RequireField(value, "operation", &json::is_string, path, aReason);
  const json* operatorName =
    RequireField(value, "operator", &json::is_string, path, aReason);
  if (version == nullptr || operation == nullptr || operatorName == nullptr) {
    return std::nullopt;
  }
  auto edits = DecodeEdits(value.value("edits", json()), aReason);
  if (!edits) {
    return std::nullopt;
  }
  ChangeRecord record;
  record.mChange.mVersion = version->get<std::uint64_t>();
  record.mChange.mOperationId = operation->get<std::string>();
  record.mChange.mEdits = std::move(*edits);
  record.mOperator = operatorName->get<std::string>();
  const json overrideReason =
    value.value("override_reason", json(std::string()));
  if (!overrideReason.is_string()) {
    return Refuse(aReason, path + ".override_reason: must be a string");
  }
  record.mOverrideReason = overrideReason.get<std::string>();
  return record;
}

std::string
EncodeHead(const ConfigHead& aHead)
{
  const json value = { { "version", aHead.mVersion },
                       { "snapshot", aHead.mSnapshot } };
  return value.dump();
}

std::optional<ConfigHead>
DecodeHead(std::string_view aText, Reason* aReason)
{
  const json value = json::parse(aText, nullptr, false);
  const std::string path = "head";
  if (!HasOnlyFields(value, { "version", "snapshot" }, path, aReason)) {
    return std::nullopt;
  }
  const json* version =
    RequireField(value, "version", &json::is_number_unsigned, path, aReason);
  const json* snapshot =
    RequireField(value, "snapshot", &json::is_number_unsigned, path, aReason);
  if (version == nullptr || snapshot == nullptr) {
    return std::nullopt;
  }
  return ConfigHead{ version->get<std::uint64_t>(),
                     snapshot->get<std::uint64_t>() };
}

std::string
EncodeSnapshot(const Configuration& aConfiguration)
{
  const json value = { { "schema", kItemSchemaVersion },
                       { "version", aConfiguration.mVersion },
                       { "items", EncodeEdits(ListItems(aConfiguration)) } };
  return value.dump();
}

std::optional<Configuration>
DecodeSnapshot(std::string_view aText, Reason* aReason)
{
  const json value = json::parse(aText, nullptr, false);
  const std::string path = "snapshot";
  if (!HasOnlyFields(value, { "schema", "version", "items" }, path, aReason)) {
    return std::nullopt;
  }
  const json* version =
    RequireField(value, "version", &json::is_number_unsigned, path, aReason);
  if (version == nullptr) {
    return std::nullopt;
  }
  if (value.value("schema", json()) != kItemSchemaVersion) {
    return Refuse(aReason, "snapshot.schema: is not a supported version");
  }
  const auto items = DecodeEdits(value.value("items", json()), aReason);
  if (!items) {
    return std::nullopt;
  }
  const auto store = ConfigurationStore::FromItems(
    version->get<std::uint64_t>(), *items, aReason);
  if (!store) {
    return std::nullopt;
  }
  return store->Get();
}

} // namespace peridothoist
