/// Checks a configuration's items against each other.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Core/Reason.h>

namespace peridothoist {

/// True when no edited item contradicts the rest of aConfiguration, which
/// holds the edits already. Reads every item only when an edit can break
/// others: one of a pool, or the removal of a workspace.
bool
CheckEdits(const Configuration& aConfiguration,
           const std::vector<ItemEdit>& aEdits,
           Reason* aReason);

} // namespace peridothoist
