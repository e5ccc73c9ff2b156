/// Defaults as one workspace has them: the fleet's, unless an exception says
/// otherwise.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>

namespace peridothoist {

/// Whether a workspace's requests that must not repeat need a key.
inline bool
IsIdempotencyKeyRequired(const Configuration& aConfiguration,
                         const std::string& aWorkspace)
{
  for (const auto& [name, it] : aConfiguration.mExceptions) {
    if (it.mWorkspace == aWorkspace &&
        it.mField == "idempotency_key_required") {
      return it.mValue != "false";
    }
  }
  return aConfiguration.mDefaults.mIdempotencyKeyRequired;
}

} // namespace peridothoist
