/// Describes the JSON fields of an item type as a table of member pointers,
/// and reads and writes items by that table. Every kind of item goes through
/// the same checks: required fields, types, units, ranges, unknown fields.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Core/Reason.h>

#include <nlohmann/json.hpp>

#include <variant>

namespace peridothoist {

/// What a text field may hold.
enum class TextRule
{
  Any,
  NotBlank,
  Name,       ///< The name of another item.
  NameOrNone, ///< The same, or "".
  Address,
  Path,
  Hex
};

/// The only texts that a field may hold.
using TextChoices = std::vector<std::string_view>;

/// One JSON field of an Item.
template<class Item>
struct ItemField
{
  using Member = std::variant<std::string Item::*,
                              double Item::*,
                              bool Item::*,
                              std::uint32_t Item::*,
                              Duration Item::*,
                              std::vector<std::string> Item::*,
                              UpstreamRole Item::*,
                              RequestClass Item::*>;

  const char* mName;
  Member mMember;
  bool mRequired = false;
  TextRule mRule = TextRule::Any;
  double mMin = 0;                       ///< Numbers; durations in seconds.
  double mMax = 1e12;                    ///< Numbers; durations in seconds.
  const TextChoices* mChoices = nullptr; ///< Text; null: by mRule.
};

namespace detail {

/// What a field allows, apart from the member that it fills.
struct FieldLimits
{
  TextRule mRule;
  double mMin;
  double mMax;
  const TextChoices* mChoices;
};

/// Each reads one JSON value; on failure sets aWhy to what is allowed.
bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          std::string& aValue,
          std::string& aWhy);
bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          double& aValue,
          std::string& aWhy);
bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          bool& aValue,
          std::string& aWhy);
bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          std::uint32_t& aValue,
          std::string& aWhy);
bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          Duration& aValue,
          std::string& aWhy);
bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          std::vector<std::string>& aValue,
          std::string& aWhy);
bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          UpstreamRole& aValue,
          std::string& aWhy);
bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          RequestClass& aValue,
          std::string& aWhy);

/// Each gives the JSON form of one value.
nlohmann::json
WriteValue(const std::string& aValue);
nlohmann::json
WriteValue(double aValue);
nlohmann::json
WriteValue(bool aValue);
nlohmann::json
WriteValue(std::uint32_t aValue);
nlohmann::json
WriteValue(Duration aValue);
nlohmann::json
WriteValue(const std::vector<std::string>& aValue);
nlohmann::json
WriteValue(UpstreamRole aValue);
nlohmann::json
WriteValue(RequestClass aValue);

} // namespace detail

/// The field with a name, or null.
template<class Item>
const ItemField<Item>*
FindField(const std::vector<ItemField<Item>>& aFields, std::string_view aName)
{
  for (const ItemField<Item>& it : aFields) {
    if (aName == it.mName) {
      return &it;
    }
  }
  return nullptr;
}

/// Reads one field's value into aItem. On failure aWhy says what is allowed.
template<class Item>
bool
ReadField(const ItemField<Item>& aField,
          const nlohmann::json& aJson,
          Item& aItem,
          std::string& aWhy)
{
  const detail::FieldLimits limits{
    aField.mRule, aField.mMin, aField.mMax, aField.mChoices
  };
  return std::visit(
    [&](auto aMember) {
      return detail::ReadValue(aJson, limits, aItem.*aMember, aWhy);
    },
    aField.mMember);
}

/// The JSON form of one field of aItem.
template<class Item>
nlohmann::json
WriteField(const ItemField<Item>& aField, const Item& aItem)
{
  return std::visit(
    [&](auto aMember) { return detail::WriteValue(aItem.*aMember); },
    aField.mMember);
}

/// True when both items hold the same value in a field.
template<class Item>
bool
FieldEquals(const ItemField<Item>& aField,
            const Item& aLeft,
            const Item& aRight)
{
  return std::visit(
    [&](auto aMember) { return aLeft.*aMember == aRight.*aMember; },
    aField.mMember);
}

/// Reads every field of a JSON object into aItem. aPath is the item's path in
/// messages, as "route/chat". Empty with a reason on the first violation.
template<class Item>
bool
ReadFields(const std::vector<ItemField<Item>>& aFields,
           const nlohmann::json& aJson,
           const std::string& aPath,
           Item& aItem,
           Reason* aReason)
{
  for (const auto& entry : aJson.items()) {
    if (entry.key() == "schema") {
      continue;
    }
    const std::string path = aPath + "." + entry.key();
    const ItemField<Item>* field = FindField(aFields, entry.key());
    if (field == nullptr) {
      Reason::Set(aReason, ReasonCode::Invalid, path + ": unknown field");
      return false;
    }
    std::string why;
    if (!ReadField(*field, entry.value(), aItem, why)) {
      why.insert(0, path + ": ");
      Reason::Set(aReason, ReasonCode::Invalid, std::move(why));
      return false;
    }
  }
  for (const ItemField<Item>& it : aFields) {
    if (it.mRequired && !aJson.contains(it.mName)) {
      const std::string path = aPath + "." + it.mName;
      Reason::Set(aReason, ReasonCode::Invalid, path + ": is missing");
      return false;
    }
  }
  return true;
}

/// Writes required fields and those that differ from a new Item's.
template<class Item>
nlohmann::json
WriteFields(const std::vector<ItemField<Item>>& aFields, const Item& aItem)
{
  static const Item blank;
  nlohmann::json json = nlohmann::json::object();
  for (const ItemField<Item>& it : aFields) {
    if (it.mRequired || !FieldEquals(it, aItem, blank)) {
      json[it.mName] = WriteField(it, aItem);
    }
  }
  return json;
}

} // namespace peridothoist
