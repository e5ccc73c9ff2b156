/// The operations on a configuration's maps, one table entry for each kind.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/ItemOperations.h>

#include <array>

namespace peridothoist::detail {

namespace {

/// Operations for kinds that are stored in a map of Configuration.
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

  static constexpr ItemOperations kOperations = { Find, Put, Remove, Names };
};

/// Operations for defaults. Each default always has a value, which is the
/// built-in one until another is set.
struct DefaultItems
{
  static std::optional<ConfigItem> Find(const Configuration& aConfiguration,
                                        const std::string& aName)
  {
    for (const std::string& it : ConfigItemCodec::DefaultNames()) {
      if (it == aName) {
        return ConfigItem(DefaultItem{
          aName,
          ConfigItemCodec::GetDefault(aName, aConfiguration.mDefaults) });
      }
    }
    return std::nullopt;
  }

  static void Put(Configuration& aConfiguration, const ConfigItem& aItem)
  {
    const auto& item = std::get<DefaultItem>(aItem);
    const bool wasSet = ConfigItemCodec::SetDefault(
      item.mName, item.mValue, item.mName, aConfiguration.mDefaults, nullptr);
    PH_ASSERT(wasSet);
  }

  static void Remove(Configuration& aConfiguration, const std::string& aName)
  {
    Put(aConfiguration,
        DefaultItem{ aName, ConfigItemCodec::GetDefault(aName, Defaults()) });
  }

  static std::vector<std::string> Names(const Configuration& aConfiguration)
  {
    std::vector<std::string> names;
    for (std::string& it : ConfigItemCodec::DefaultNames()) {
      if (ConfigItemCodec::GetDefault(it, aConfiguration.mDefaults) !=
          ConfigItemCodec::GetDefault(it, Defaults())) {
        names.push_back(std::move(it));
      }
    }
    return names;
  }

  static constexpr ItemOperations kOperations = { Find, Put, Remove, Names };
};

constexpr std::array<ItemOperations, 7> kOperationsByKind = {
  MapItems<Workspace, &Configuration::mWorkspaces>::kOperations,
  MapItems<KeyRecord, &Configuration::mKeys>::kOperations,
  MapItems<Pool, &Configuration::mPools>::kOperations,
  MapItems<Upstream, &Configuration::mUpstreams>::kOperations,
  MapItems<Route, &Configuration::mRoutes>::kOperations,
  DefaultItems::kOperations,
  MapItems<Exception, &Configuration::mExceptions>::kOperations
};

} // namespace

const ItemOperations&
ItemOperationsOf(ItemKind aKind)
{
  return kOperationsByKind[static_cast<std::size_t>(aKind)];
}

} // namespace peridothoist::detail
