/// The JSON documents that carry items: edits, change rows, the head row,
/// snapshots and files that operators apply. One strict form for all.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Core/Reason.h>

#include <nlohmann/json_fwd.hpp>

namespace peridothoist {

/// A change row: the change and who made it.
struct ChangeRecord
{
  ConfigChange mChange;
  std::string mOperator;       ///< The operator's name.
  std::string mOverrideReason; ///< Why silent VMs were passed over, if so.
};

/// The head row: current version and the newest snapshot's.
struct ConfigHead
{
  std::uint64_t mVersion = 0;
  std::uint64_t mSnapshot = 0; ///< 0: none yet.
};

/// A list of `{"kind","name","json"}`, where json null removes the item.
nlohmann::json
EncodeEdits(const std::vector<ItemEdit>& aEdits);
std::optional<std::vector<ItemEdit>>
DecodeEdits(const nlohmann::json& aJson, Reason* aReason);

/// The value of a `config/change/V` row.
std::string
EncodeChange(const ChangeRecord& aRecord);
std::optional<ChangeRecord>
DecodeChange(std::string_view aText, Reason* aReason);

/// The value of the `config/head` row.
std::string
EncodeHead(const ConfigHead& aHead);
std::optional<ConfigHead>
DecodeHead(std::string_view aText, Reason* aReason);

/// The body of a `config-snapshot-V` object.
std::string
EncodeSnapshot(const Configuration& aConfiguration);
std::optional<Configuration>
DecodeSnapshot(std::string_view aText, Reason* aReason);

} // namespace peridothoist
