/// Keys of the configuration's rows and objects.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

constexpr const char* kConfigHeadRow = "config/head";
constexpr const char* kConfigChangesFrom = "config/change/";
constexpr const char* kConfigChangesTo = "config/change0";
constexpr const char* kSharePlanRow = "shares/plan";

/// The row of one change.
std::string
ConfigChangeRow(std::uint64_t aVersion);

/// The row that says what became of a commit.
std::string
ConfigOperationRow(const std::string& aOperationId);

/// The value of an operation's row: the version it made; 0: it was given up
/// and can't take effect any more.
std::string
EncodeOperation(std::uint64_t aVersion);
std::optional<std::uint64_t>
DecodeOperation(std::string_view aText);

/// The object that holds a whole configuration.
std::string
ConfigSnapshotObject(std::uint64_t aVersion);

} // namespace peridothoist
