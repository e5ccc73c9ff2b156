/// Encodes and decodes the table row that holds the share plan.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/SharePlanScheduler.h>

namespace peridothoist {

std::string
EncodeSharePlan(const SharePlan& aPlan);

/// Returns nullopt if the text is not a valid plan.
std::optional<SharePlan>
DecodeSharePlan(std::string_view aText);

} // namespace peridothoist
