/// Access to a configuration's items by kind, as a table of functions over
/// the maps of Configuration.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Config/ConfigurationReader.h>

namespace peridothoist::detail {

/// What can be done with the items of one kind.
struct ItemTable
{
  std::optional<ConfigItem> (*mFind)(const Configuration&, const std::string&);
  void (*mPut)(Configuration&, const ConfigItem&);
  void (*mRemove)(Configuration&, const std::string&);
  std::vector<std::string> (*mNames)(const Configuration&);
};

/// The functions for a kind.
const ItemTable&
ItemTableOf(ItemKind aKind);

} // namespace peridothoist::detail
