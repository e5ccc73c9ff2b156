/// The value of the share plan's row.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/PlanKeeper.h>

namespace peridothoist {

std::string
EncodeSharePlan(const SharePlan& aPlan);

/// Empty when the text isn't a plan.
std::optional<SharePlan>
DecodeSharePlan(std::string_view aText);

} // namespace peridothoist
