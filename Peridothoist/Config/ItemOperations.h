/// Access to the items of a configuration by kind, as a table of functions on
/// the maps of Configuration.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Config/ConfigItemCodec.h>

namespace peridothoist::detail {

/// The operations on items of one kind.
struct ItemOperations
{
  std::optional<ConfigItem> (*mFind)(const Configuration&, const std::string&);
  void (*mPut)(Configuration&, const ConfigItem&);
  void (*mRemove)(Configuration&, const std::string&);
  std::vector<std::string> (*mNames)(const Configuration&);
};

/// Returns the operations for a kind.
const ItemOperations&
ItemOperationsOf(ItemKind aKind);

} // namespace peridothoist::detail
