/// The table of functions over a configuration's maps, one row for each kind.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/ItemTable.h>

#include <array>

namespace peridothoist::detail {

namespace {

/// Functions for kinds that a map of Configuration holds.
template<class Item, std::map<std::string, Item> Configuration::*kMap>
struct MapItems
{
  static std::optional<ConfigItem> Find(const Configuration& aConfiguration,
                                        const std::string& aName)
  {
    const auto it = (aConfiguration.*kMap).find(aName);
    if (it == (aConfiguration.*kMap).end()) {
      return std::nullopt;
    }
    return ConfigItem(it->second);
  }

  static void Put(Configuration& aConfiguration, const ConfigItem& aItem)
  {
    const Item& item = std::get<Item>(aItem);
    (aConfiguration.*kMap)[item.mName] = item;
  }

  static void Remove(Configuration& aConfiguration, const std::string& aName)
  {
    (aConfiguration.*kMap).erase(aName);
  }

  static std::vector<std::string> Names(const Configuration& aConfiguration)
  {
    std::vector<std::string> names;
    for (const auto& [name, item] : aConfiguration.*kMap) {
      names.push_back(name);
    }
    return names;
  }

  static constexpr ItemTable kTable = { Find, Put, Remove, Names };
};

/// Functions for defaults: each always has a value, its built-in one if none
/// was set.
struct DefaultItems
{
  static std::optional<ConfigItem> Find(const Configuration& aConfiguration,
                                        const std::string& aName)
  {
    for (const std::string& it : ConfigurationReader::DefaultNames()) {
      if (it == aName) {
        return ConfigItem(DefaultItem{
          aName,
          ConfigurationReader::GetDefault(aName, aConfiguration.mDefaults) });
      }
    }
    return std::nullopt;
  }

  static void Put(Configuration& aConfiguration, const ConfigItem& aItem)
  {
    const auto& item = std::get<DefaultItem>(aItem);
    const bool set = ConfigurationReader::SetDefault(
      item.mName, item.mValue, item.mName, aConfiguration.mDefaults, nullptr);
    PH_ASSERT(set);
  }

  static void Remove(Configuration& aConfiguration, const std::string& aName)
  {
    Put(
      aConfiguration,
      DefaultItem{ aName, ConfigurationReader::GetDefault(aName, Defaults()) });
  }

  static std::vector<std::string> Names(const Configuration& aConfiguration)
  {
    std::vector<std::string> names;
    for (std::string& it : ConfigurationReader::DefaultNames()) {
      if (ConfigurationReader::GetDefault(it, aConfiguration.mDefaults) !=
          ConfigurationReader::GetDefault(it, Defaults())) {
        names.push_back(std::move(it));
      }
    }
    return names;
  }

  static constexpr ItemTable kTable = { Find, Put, Remove, Names };
};

constexpr std::array<ItemTable, 7> kTables = {
  MapItems<Workspace, &Configuration::mWorkspaces>::kTable,
  MapItems<KeyRecord, &Configuration::mKeys>::kTable,
  MapItems<Pool, &Configuration::mPools>::kTable,
  MapItems<Upstream, &Configuration::mUpstreams>::kTable,
  MapItems<Route, &Configuration::mRoutes>::kTable,
  DefaultItems::kTable,
  MapItems<Exception, &Configuration::mExceptions>::kTable
};

} // namespace

const ItemTable&
ItemTableOf(ItemKind aKind)
{
  return kTables[static_cast<std::size_t>(aKind)];
}

} // namespace peridothoist::detail
