/// Reads and writes single JSON values of the types used in items.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/ItemField.h>

#include <Peridothoist/Config/ConfigText.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace peridothoist::detail {

namespace {

/// Validation of one TextRule.
struct TextRuleEntry
{
  const char* mErrorText;
  bool (*mIsValid)(std::string_view);
};

/// In the order of TextRule.
const std::array<TextRuleEntry, 7> kTextRules = { {
  { "must be a string", [](std::string_view) { return true; } },
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
FormatRange(const FieldLimits& aLimits)
{
  return "from " + FormatNumber(aLimits.mMin) + " to " +
         FormatNumber(aLimits.mMax);
}

bool
IsInRange(double aValue, const FieldLimits& aLimits)
{
  return aValue >= aLimits.mMin && aValue <= aLimits.mMax;
}

bool
CheckChoice(const std::string& aText,
            const TextChoices& aChoices,
            std::string& aError)
{
  if (std::find(aChoices.begin(), aChoices.end(), aText) != aChoices.end()) {
    return true;
  }
  aError = "must be one of";
  for (std::string_view it : aChoices) {
    aError += " \"" + std::string(it) + "\"";
  }
  return false;
}

} // namespace

bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          std::string& aValue,
          std::string& aError)
{
  if (!aJson.is_string()) {
    aError = "must be a string";
    return false;
  }
  aValue = aJson.get<std::string>();
  if (aLimits.mChoices != nullptr) {
    return CheckChoice(aValue, *aLimits.mChoices, aError);
  }
  const TextRuleEntry& rule =
    kTextRules[static_cast<std::size_t>(aLimits.mRule)];
  if (!rule.mIsValid(aValue)) {
    aError = rule.mErrorText;
    return false;
  }
  return true;
}

bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          double& aValue,
          std::string& aError)
{
  if (!aJson.is_number()) {
    aError = "must be a number " + FormatRange(aLimits);
    return false;
  }
  aValue = aJson.get<double>();
  if (!std::isfinite(aValue) || !IsInRange(aValue, aLimits)) {
    aError = "must be a number " + FormatRange(aLimits);
    return false;
  }
  return true;
}

bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits&,
          bool& aValue,
          std::string& aError)
{
  if (!aJson.is_boolean()) {
    aError = "must be true or false";
    return false;
  }
  aValue = aJson.get<bool>();
  return true;
}

bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          std::uint32_t& aValue,
          std::string& aError)
{
  if (!aJson.is_number_unsigned() ||
      !IsInRange(static_cast<double>(aJson.get<std::uint64_t>()), aLimits) ||
      aJson.get<std::uint64_t>() > UINT32_MAX) {
    aError = "must be a whole number " + FormatRange(aLimits);
    return false;
  }
  aValue = aJson.get<std::uint32_t>();
  return true;
}

bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          Duration& aValue,
          std::string& aError)
{
  if (!aJson.is_string()) {
    aError =
      "must be a duration with a unit, such as \"250ms\", \"30s\" or \"7d\"";
    return false;
  }
  const auto parsed = ParseDuration(aJson.get_ref<const std::string&>());
  if (!parsed) {
    aError =
      "must be a duration with a unit, such as \"250ms\", \"30s\" or \"7d\"";
    return false;
  }
  if (!IsInRange(std::chrono::duration<double>(*parsed).count(), aLimits)) {
    aError = "must be a duration " + FormatRange(aLimits) + " seconds";
    return false;
  }
  aValue = *parsed;
  return true;
}

bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits& aLimits,
          std::vector<std::string>& aValue,
          std::string& aError)
{
  if (!aJson.is_array()) {
    aError = "must be a list of names";
    return false;
  }
  aValue.clear();
  for (const nlohmann::json& it : aJson) {
    std::string text;
    if (!ReadValue(it, aLimits, text, aError)) {
      aError.insert(0, "each entry ");
      return false;
    }
    if (std::find(aValue.begin(), aValue.end(), text) != aValue.end()) {
      aError = "\"" + text + "\" is listed twice";
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
          std::string& aError)
{
  const auto role =
    aJson.is_string()
      ? UpstreamRoleFromName(aJson.get_ref<const std::string&>())
      : std::nullopt;
  if (!role) {
    aError = "must be one of \"prefill\" \"decode\" \"plain\"";
    return false;
  }
  aValue = *role;
  return true;
}

bool
ReadValue(const nlohmann::json& aJson,
          const FieldLimits&,
          RequestClass& aValue,
          std::string& aError)
{
  const auto requestClass =
    aJson.is_string()
      ? RequestClassFromName(aJson.get_ref<const std::string&>())
      : std::nullopt;
  if (!requestClass) {
    aError = "must be one of \"lookup\" \"non_idempotent\" \"draft\"";
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
