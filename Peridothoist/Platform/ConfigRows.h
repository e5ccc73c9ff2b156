/// Keys of the configuration's table rows and names of its objects.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

constexpr const char* kConfigHeadKey = "config/head";

/// Bounds of the key range of all change rows; the end is exclusive.
constexpr const char* kConfigChangesBegin = "config/change/";
constexpr const char* kConfigChangesEnd = "config/change0";

constexpr const char* kSharePlanKey = "shares/plan";

/// Returns the key of the row that holds one change.
std::string
ConfigChangeKey(std::uint64_t aVersion);

/// Returns the key of the row that records the result of a commit.
std::string
ConfigOperationKey(const std::string& aOperationId);

/// Encodes the value of an operation's row: the version that the commit
/// created, or 0 if the commit was abandoned and can no longer take effect.
std::string
EncodeOperationVersion(std::uint64_t aVersion);
/// Decodes the value of an operation's row; returns nullopt if it is malformed.
std::optional<std::uint64_t>
DecodeOperationVersion(std::string_view aText);

/// Returns the name of the object that holds a snapshot of the configuration.
std::string
ConfigSnapshotName(std::uint64_t aVersion);

} // namespace peridothoist
