/// Applies changes in place and reverts rejected ones by an undo list.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/ConfigurationStore.h>

#include <Peridothoist/Config/ConfigurationCheck.h>
#include <Peridothoist/Config/ItemOperations.h>

#include <array>
#include <iterator>

namespace peridothoist {

namespace {

constexpr std::array<ItemKind, 7> kAllKinds = {
  ItemKind::Default,   ItemKind::Pool, ItemKind::Upstream, ItemKind::Route,
  ItemKind::Workspace, ItemKind::Key,  ItemKind::Exception
};

} // namespace

std::optional<ConfigurationStore>
ConfigurationStore::FromItems(std::uint64_t aVersion,
                              const std::vector<ItemEdit>& aItems,
                              Reason* aReason)
{
  ConfigurationStore store;
  std::vector<Undo> undo;
  if (!store.ApplyEdits(aItems, undo, aReason)) {
    return std::nullopt;
  }
  store.mConfiguration.mVersion = aVersion;
  return store;
}

bool
ConfigurationStore::Apply(const ConfigChange& aChange, Reason* aReason)
{
  const std::uint64_t next = mConfiguration.mVersion + 1;
  if (aChange.mVersion != next) {
    Reason::Set(aReason,
                ReasonCode::Conflict,
                "the change has version " + std::to_string(aChange.mVersion) +
                  ", but the next version is " + std::to_string(next));
    return false;
  }
  std::vector<Undo> undo;
  if (!ApplyEdits(aChange.mEdits, undo, aReason)) {
    Revert(undo);
    return false;
  }
  mConfiguration.mVersion = next;
  return true;
}

bool
ConfigurationStore::Check(const std::vector<ItemEdit>& aEdits, Reason* aReason)
{
  std::vector<Undo> undo;
  const bool isAllowed = ApplyEdits(aEdits, undo, aReason);
  Revert(undo);
  return isAllowed;
}

bool
ConfigurationStore::ApplyEdits(const std::vector<ItemEdit>& aEdits,
                               std::vector<Undo>& aUndo,
                               Reason* aReason)
{
  for (const ItemEdit& it : aEdits) {
    if (!ApplyEdit(it, aUndo, aReason)) {
      return false;
    }
  }
  return CheckEdits(mConfiguration, aEdits, aReason);
}

bool
ConfigurationStore::ApplyEdit(const ItemEdit& aEdit,
                              std::vector<Undo>& aUndo,
                              Reason* aReason)
{
  const detail::ItemOperations& operations =
    detail::ItemOperationsOf(aEdit.mKind);
  std::optional<ConfigItem> before =
    operations.mFind(mConfiguration, aEdit.mName);
  if (aEdit.mJson.empty()) {
    if (!before) {
      Reason::Set(aReason,
                  ReasonCode::NotFound,
                  ItemPath(aEdit.mKind, aEdit.mName) + ": does not exist");
      return false;
    }
    aUndo.push_back({ aEdit.mKind, aEdit.mName, std::move(before) });
    operations.mRemove(mConfiguration, aEdit.mName);
    return true;
  }
  const std::optional<ConfigItem> item =
    ConfigItemCodec::ReadItem(aEdit.mKind, aEdit.mName, aEdit.mJson, aReason);
  if (!item) {
    return false;
  }
  aUndo.push_back({ aEdit.mKind, aEdit.mName, std::move(before) });
  operations.mPut(mConfiguration, *item);
  return true;
}

void
ConfigurationStore::Revert(std::vector<Undo>& aUndo)
{
  for (auto it = aUndo.rbegin(); it != aUndo.rend(); ++it) {
    const detail::ItemOperations& operations =
      detail::ItemOperationsOf(it->mKind);
    if (it->mBefore) {
      operations.mPut(mConfiguration, *it->mBefore);
    } else {
      operations.mRemove(mConfiguration, it->mName);
    }
  }
  aUndo.clear();
}

std::optional<Configuration>
ApplyChange(const Configuration& aConfiguration,
            const ConfigChange& aChange,
            Reason* aReason)
{
  ConfigurationStore store(aConfiguration);
  if (!store.Apply(aChange, aReason)) {
    return std::nullopt;
  }
  return store.Get();
}

std::optional<ConfigItem>
FindItem(const Configuration& aConfiguration,
         ItemKind aKind,
         const std::string& aName)
{
  return detail::ItemOperationsOf(aKind).mFind(aConfiguration, aName);
}

std::vector<ItemEdit>
ListItems(const Configuration& aConfiguration, ItemKind aKind)
{
  const detail::ItemOperations& operations = detail::ItemOperationsOf(aKind);
  std::vector<ItemEdit> items;
  for (std::string& it : operations.mNames(aConfiguration)) {
    const auto item = operations.mFind(aConfiguration, it);
    items.push_back(
      { aKind, std::move(it), ConfigItemCodec::WriteItem(*item) });
  }
  return items;
}

std::vector<ItemEdit>
ListItems(const Configuration& aConfiguration)
{
  std::vector<ItemEdit> items;
  for (ItemKind it : kAllKinds) {
    std::vector<ItemEdit> itemsOfKind = ListItems(aConfiguration, it);
    std::move(
      itemsOfKind.begin(), itemsOfKind.end(), std::back_inserter(items));
  }
  return items;
}

} // namespace peridothoist
