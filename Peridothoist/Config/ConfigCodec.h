/// Encodes and decodes the JSON documents that contain items: edits, change
/// rows, the head row, snapshots and files that operators apply. Decoding is
/// strict: unknown fields and wrong types are errors.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Core/Reason.h>

#include <nlohmann/json_fwd.hpp>

namespace peridothoist {

/// A change row: the change and the operator who made it.
struct ChangeRecord
{
  ConfigChange mChange;
  std::string mOperator; ///< Name of the operator.
  /// Reason for not waiting for unresponsive VMs; empty if none was skipped.
  std::string mOverrideReason;
};

/// The head row: the versions of the configuration and the newest snapshot.
struct ConfigHead
{
  std::uint64_t mVersion = 0;
  std::uint64_t mSnapshot = 0; ///< 0 if there is no snapshot yet.
};

/// Encodes a list of `{"kind","name","json"}`, where json null removes the
/// item.
nlohmann::json
EncodeEdits(const std::vector<ItemEdit>& aEdits);
std::optional<std::vector<ItemEdit>>
DecodeEdits(const nlohmann::json& aJson, Reason* aReason);

/// Encodes the value of a `config/change/V` row.
std::string
EncodeChange(const ChangeRecord& aRecord);
std::optional<ChangeRecord>
DecodeChange(std::string_view aText, Reason* aReason);

/// Encodes the value of the `config/head` row.
std::string
EncodeHead(const ConfigHead& aHead);
std::optional<ConfigHead>
DecodeHead(std::string_view aText, Reason* aReason);

/// Encodes the body of a `config-snapshot-V` object.
std::string
EncodeSnapshot(const Configuration& aConfiguration);
std::optional<Configuration>
DecodeSnapshot(std::string_view aText, Reason* aReason);

} // namespace peridothoist
