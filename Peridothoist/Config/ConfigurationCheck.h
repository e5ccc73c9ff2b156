/// Checks the consistency of a configuration's items with each other.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Core/Reason.h>

namespace peridothoist {

/// Returns true if the edited items are consistent with the rest of
/// aConfiguration, to which the edits have already been applied. Checks all
/// items only if an edit can invalidate other items, which is the case for
/// edits of pools and for the removal of a workspace.
bool
CheckEdits(const Configuration& aConfiguration,
           const std::vector<ItemEdit>& aEdits,
           Reason* aReason);

} // namespace peridothoist
