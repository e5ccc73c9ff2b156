/// Describes the JSON fields of an item type by a table of member pointers and
/// reads and writes items by that table. The same checks apply to all kinds of
/// item: required fields, types, units, ranges and unknown fields.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Core/Reason.h>

#include <nlohmann/json.hpp>

#include <variant>

namespace peridothoist {

/// Syntax of a text field.
enum class TextRule
{
  Any,
  NotBlank,
  Name,       ///< The name of another item.
  NameOrNone, ///< The name of another item, or "".
  Address,
  Path,
  Hex
};

/// The texts that a field may contain.
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
  bool mIsRequired = false;
  TextRule mRule = TextRule::Any;
  double mMin = 0;    ///< For numbers, and for durations in seconds.
  double mMax = 1e12; ///< For numbers, and for durations in seconds.
  const TextChoices* mChoices = nullptr; ///< For texts; null to use mRule.
};

namespace detail {

/// The limits of a field's value.
struct FieldLimits
{
  TextRule mRule;
  double mMin;
  double mMax;
  const TextChoices* mChoices;
};

/// Each overload parses one JSON value. On failure it returns false and sets
/// aError to a text that says which values are allowed.
bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          std::string& aValue,
          std::string& aError);
bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          double& aValue,
          std::string& aError);
bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          bool& aValue,
          std::string& aError);
bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          std::uint32_t& aValue,
          std::string& aError);
bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          Duration& aValue,
          std::string& aError);
bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          std::vector<std::string>& aValue,
          std::string& aError);
bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          UpstreamRole& aValue,
          std::string& aError);
bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          RequestClass& aValue,
          std::string& aError);

/// Each overload converts one value to JSON.
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

/// Returns the field with a name, or null.
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

/// Reads the value of one field into aItem. On failure returns false and sets
/// aError to a text that says which values are allowed.
template<class Item>
bool
ReadField(const ItemField<Item>& aField,
          const nlohmann::json& aJson,
          Item& aItem,
          std::string& aError)
{
  const detail::FieldLimits limits{
    aField.mRule, aField.mMin, aField.mMax, aField.mChoices
  };
  return std::visit(
    [&](auto aMember) {
      return detail::ReadValue(aJson, limits, aItem.*aMember, aError);
    },
    aField.mMember);
}

/// Converts one field of aItem to JSON.
template<class Item>
nlohmann::json
WriteField(const ItemField<Item>& aField, const Item& aItem)
{
  return std::visit(
    [&](auto aMember) { return detail::WriteValue(aItem.*aMember); },
    aField.mMember);
}

/// Returns true if both items have the same value in a field.
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

/// Reads all fields of a JSON object into aItem. aPath is the path of the item
/// in messages, such as "route/chat". Returns false and a reason at the first
/// violation.
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
    std::string error;
    if (!ReadField(*field, entry.value(), aItem, error)) {
      error.insert(0, path + ": ");
      Reason::Set(aReason, ReasonCode::Invalid, std::move(error));
      return false;
    }
  }
  for (const ItemField<Item>& it : aFields) {
    if (it.mIsRequired && !aJson.contains(it.mName)) {
      const std::string path = aPath + "." + it.mName;
      Reason::Set(aReason, ReasonCode::Invalid, path + ": is missing");
      return false;
    }
  }
  return true;
}

/// Writes the required fields and those that differ from a default-constructed
/// Item.
template<class Item>
nlohmann::json
WriteFields(const std::vector<ItemField<Item>>& aFields, const Item& aItem)
{
  static const Item defaultItem;
  nlohmann::json json = nlohmann::json::object();
  for (const ItemField<Item>& it : aFields) {
    if (it.mIsRequired || !FieldEquals(it, aItem, defaultItem)) {
      json[it.mName] = WriteField(it, aItem);
    }
  }
  return json;
}

} // namespace peridothoist
