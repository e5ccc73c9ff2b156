/// Encodes and decodes the table row that holds the share plan.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/SharePlanRow.h>

#include <nlohmann/json.hpp>

namespace peridothoist {

using nlohmann::json;

std::string
EncodeSharePlan(const SharePlan& aPlan)
{
  return json(
           { { "epoch", aPlan.mEpoch }, { "entries", aPlan.mEntryInstances } })
    .dump();
}

std::optional<SharePlan>
DecodeSharePlan(std::string_view aText)
{
  const json value = json::parse(aText, nullptr, false);
  if (!value.is_object() || !value.contains("epoch") ||
      !value["epoch"].is_number_unsigned() || !value.contains("entries") ||
      !value["entries"].is_array()) {
    return std::nullopt;
  }
  SharePlan plan;
  plan.mEpoch = value["epoch"].get<std::uint64_t>();
  for (const json& it : value["entries"]) {
    if (!it.is_string()) {
      return std::nullopt;
    }
    plan.mEntryInstances.push_back(it.get<std::string>());
  }
  return plan;
}

} // namespace peridothoist
