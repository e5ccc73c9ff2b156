/// Reads and writes single JSON values of the types that items hold.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/ItemField.h>

#include <Peridothoist/Config/ConfigText.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace peridothoist::detail {

namespace {

/// A rule for text, in the order of TextRule.
struct TextRuleEntry
{
  const char* mAllowed;
  bool (*mCheck)(std::string_view);
};

const std::array<TextRuleEntry, 7> kTextRules = { {
  { "must be text", [](std::string_view) { return true; } },
  { "must not be blank",
    [](std::string_view aText) {
      return aText.find_first_not_of(" \t\r\n") != std::string_view::npos;
    } },
  { "must be a name: 1 to 64 letters, digits, '-', '_' and '.'", IsItemName },
  { "must be a name, or empty",
    [](std::string_view aText) { return aText.empty() || IsItemName(aText); } },
  { "must be an address \"ip:port\"", IsAddress },
  { "must be a path that starts with '/'", IsUrlPath },
  { "must be lower-case hex digits", IsHex },
} };

std::string
FormatNumber(double aValue)
{
  std::ostringstream text;
  text << aValue;
  return text.str();
}

std::string
RangeText(const FieldLimits& aLimits)
{
  return "from " + FormatNumber(aLimits.mMin) + " to " +
         FormatNumber(aLimits.mMax);
}

bool
InRange(double aValue, const FieldLimits& aLimits)
{
  return aValue >= aLimits.mMin && aValue <= aLimits.mMax;
}

bool
ReadChoice(const std::string& aText,
           const TextChoices& aChoices,
           std::string& aWhy)
{
  if (std::find(aChoices.begin(), aChoices.end(), aText) != aChoices.end()) {
    return true;
  }
  aWhy = "must be one of";
  for (std::string_view it : aChoices) {
    aWhy += " \"" + std::string(it) + "\"";
  }
  return false;
}

} // namespace

bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          std::string& aValue,
          std::string& aWhy)
{
  if (!aJson.is_string()) {
    aWhy = "must be text";
    return false;
  }
  aValue = aJson.get<std::string>();
  if (aLimits.mChoices != nullptr) {
    return ReadChoice(aValue, *aLimits.mChoices, aWhy);
  }
  const TextRuleEntry& rule =
    kTextRules[static_cast<std::size_t>(aLimits.mRule)];
  if (!rule.mCheck(aValue)) {
    aWhy = rule.mAllowed;
    return false;
  }
  return true;
}

bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          double& aValue,
          std::string& aWhy)
{
  if (!aJson.is_number()) {
    aWhy = "must be a number " + RangeText(aLimits);
    return false;
  }
  aValue = aJson.get<double>();
  if (!std::isfinite(aValue) || !InRange(aValue, aLimits)) {
    aWhy = "must be a number " + RangeText(aLimits);
    return false;
  }
  return true;
}

bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits&,
          bool& aValue,
          std::string& aWhy)
{
  if (!aJson.is_boolean()) {
    aWhy = "must be true or false";
    return false;
  }
  aValue = aJson.get<bool>();
  return true;
}

bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          std::uint32_t& aValue,
          std::string& aWhy)
{
  if (!aJson.is_number_unsigned() ||
      !InRange(static_cast<double>(aJson.get<std::uint64_t>()), aLimits) ||
      aJson.get<std::uint64_t>() > UINT32_MAX) {
    aWhy = "must be a whole number " + RangeText(aLimits);
    return false;
  }
  aValue = aJson.get<std::uint32_t>();
  return true;
}

bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          Duration& aValue,
          std::string& aWhy)
{
  if (!aJson.is_string()) {
    aWhy = "must be a duration with a unit, as \"250ms\", \"30s\" or \"7d\"";
    return false;
  }
  const auto parsed = ParseDuration(aJson.get_ref<const std::string&>());
  if (!parsed) {
    aWhy = "must be a duration with a unit, as \"250ms\", \"30s\" or \"7d\"";
    return false;
  }
  if (!InRange(std::chrono::duration<double>(*parsed).count(), aLimits)) {
    aWhy = "must be a duration " + RangeText(aLimits) + " seconds";
    return false;
  }
  aValue = *parsed;
  return true;
}

bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          std::vector<std::string>& aValue,
          std::string& aWhy)
{
  if (!aJson.is_array()) {
    aWhy = "must be a list of names";
    return false;
  }
  aValue.clear();
  for (const nlohmann::json& it : aJson) {
    std::string text;
    if (!ReadValue(it, aLimits, text, aWhy)) {
      aWhy.insert(0, "each entry ");
      return false;
    }
    if (std::find(aValue.begin(), aValue.end(), text) != aValue.end()) {
      aWhy = "\"" + text + "\" stands twice";
      return false;
    }
    aValue.push_back(std::move(text));
  }
  return true;
}

bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits&,
          UpstreamRole& aValue,
          std::string& aWhy)
{
  const auto role =
    aJson.is_string()
      ? UpstreamRoleFromName(aJson.get_ref<const std::string&>())
      : std::nullopt;
  if (!role) {
    aWhy = "must be one of \"prefill\" \"decode\" \"plain\"";
    return false;
  }
  aValue = *role;
  return true;
}

bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits&,
          RequestClass& aValue,
          std::string& aWhy)
{
  const auto requestClass =
    aJson.is_string()
      ? RequestClassFromName(aJson.get_ref<const std::string&>())
      : std::nullopt;
  if (!requestClass) {
    aWhy = "must be one of \"lookup\" \"non_idempotent\" \"draft\"";
    return false;
  }
  aValue = *requestClass;
  return true;
}

nlohmann::json
WriteValue(const std::string& aValue)
{
  return aValue;
}

nlohmann::json
WriteValue(double aValue)
{
  return aValue;
}

nlohmann::json
WriteValue(bool aValue)
{
  return aValue;
}

nlohmann::json
WriteValue(std::uint32_t aValue)
{
  return aValue;
}

nlohmann::json
WriteValue(Duration aValue)
{
  return FormatDuration(aValue);
}

nlohmann::json
WriteValue(const std::vector<std::string>& aValue)
{
  return aValue;
}

nlohmann::json
WriteValue(UpstreamRole aValue)
{
  return ToName(aValue);
}

nlohmann::json
WriteValue(RequestClass aValue)
{
  return ToName(aValue);
}

} // namespace peridothoist::detail
