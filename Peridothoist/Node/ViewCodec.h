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

std::string
EncodeSharedUpstreams(const SharedUpstreams& aPart);
std::optional<SharedUpstreams>
DecodeSharedUpstreams(std::string_view aBytes);

std::string
EncodeVmRecords(const VmRecords& aVms);
std::optional<VmRecords>
DecodeVmRecords(std::string_view aBytes);

} // namespace peridothoist
