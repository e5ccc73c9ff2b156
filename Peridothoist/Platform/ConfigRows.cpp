/// Keys of the configuration's table rows and names of its objects.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/ConfigRows.h>

#include <nlohmann/json.hpp>

namespace peridothoist {

std::string
ConfigChangeKey(std::uint64_t aVersion)
{
  constexpr std::size_t kVersionDigits = 20;
  const std::string digits = std::to_string(aVersion);
  return kConfigChangesBegin +
         std::string(kVersionDigits - digits.size(), '0') + digits;
}

std::string
ConfigOperationKey(const std::string& aOperationId)
{
  return "config/operation/" + aOperationId;
}

std::string
EncodeOperationVersion(std::uint64_t aVersion)
{
  return nlohmann::json({ { "version", aVersion } }).dump();
}

std::optional<std::uint64_t>
DecodeOperationVersion(std::string_view aText)
{
  const auto value = nlohmann::json::parse(aText, nullptr, false);
  if (!value.is_object() || !value.contains("version") ||
      !value["version"].is_number_unsigned()) {
    return std::nullopt;
  }
  return value["version"].get<std::uint64_t>();
}

std::string
ConfigSnapshotName(std::uint64_t aVersion)
{
  return "config-snapshot-" + std::to_string(aVersion);
}

} // namespace peridothoist
