/// Encodes and decodes the parts of a view that VMs read from each other in
/// place of the store, as CBOR. Decoders return nullopt if the bytes are not a
/// valid part of that kind.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/CellLayout.h>
#include <Peridothoist/Node/RowStore.h>
#include <Peridothoist/Relay/UpstreamList.h>

namespace peridothoist {

/// The rows of the configuration, as read from the store.
struct SharedConfiguration
{
  Duration mAge{ 0 }; ///< Time since the rows were confirmed to be current.
  std::vector<StoredRow> mRows;
};

/// What has changed in the rows of the configuration since a version that the
/// reader holds.
struct ConfigurationChange
{
  Duration mAge{ 0 }; ///< Time since the rows were confirmed to be current.
  std::uint64_t mBaseDigest =
    0;                         ///< Of the encoded rows it applies to; 0: none.
  std::string mCompressedRows; ///< Encoded rows, compressed against the base.
};

/// The list of upstreams.
struct SharedUpstreams
{
  Duration mAge{ 0 }; ///< Time since the list was confirmed to be current.
  std::vector<UpstreamList::Entry> mEntries;
};

std::string
EncodeSharedConfiguration(const SharedConfiguration& aPart);
std::optional<SharedConfiguration>
DecodeSharedConfiguration(std::string_view aBytes);

/// The rows alone; equal rows have equal bytes.
std::string
EncodeRows(const std::vector<StoredRow>& aRows);
std::optional<std::vector<StoredRow>>
DecodeRows(std::string_view aBytes);

std::string
EncodeConfigurationChange(const ConfigurationChange& aChange);
std::optional<ConfigurationChange>
DecodeConfigurationChange(std::string_view aBytes);

std::string
EncodeSharedUpstreams(const SharedUpstreams& aPart);
std::optional<SharedUpstreams>
DecodeSharedUpstreams(std::string_view aBytes);

std::string
EncodeVmRecords(const VmRecords& aVms);
std::optional<VmRecords>
DecodeVmRecords(std::string_view aBytes);

} // namespace peridothoist
