/// Detects inconsistencies between items: references to missing items, pools
/// of the wrong role, and equal values in two items that must differ.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/ConfigurationCheck.h>

#include <Peridothoist/Config/ConfigItemCodec.h>

#include <algorithm>
#include <array>
#include <unordered_map>

namespace peridothoist {

namespace {

/// Paths of the endpoints that entries serve themselves.
constexpr std::array<std::string_view, 4> kReservedPaths = { "/v1/entries",
                                                             "/healthz",
                                                             "/readyz",
                                                             "/metrics" };

bool
Refuse(Reason* aReason, const std::string& aText)
{
  Reason::Set(aReason, ReasonCode::Invalid, aText);
  return false;
}

bool
CheckPoolRole(const Configuration& aConfiguration,
              const std::string& aPath,
              const std::string& aPool,
              UpstreamRole aRole,
              Reason* aReason)
{
  if (aPool.empty()) {
    return true;
  }
  const auto it = aConfiguration.mPools.find(aPool);
  if (it == aConfiguration.mPools.end()) {
    return Refuse(aReason, aPath + ": no pool \"" + aPool + "\"");
  }
  if (it->second.mRole != aRole) {
    return Refuse(aReason,
                  aPath + ": pool \"" + aPool + "\" has role " +
                    ToName(it->second.mRole) + ", not " + ToName(aRole));
  }
  return true;
}

bool
CheckWorkspaceExists(const Configuration& aConfiguration,
                     const std::string& aPath,
                     const std::string& aWorkspace,
                     Reason* aReason)
{
  if (aConfiguration.mWorkspaces.count(aWorkspace) == 0) {
    return Refuse(aReason, aPath + ": no workspace \"" + aWorkspace + "\"");
  }
  return true;
}

bool
CheckItem(const Configuration& aConfiguration,
          const Workspace& aItem,
          Reason* aReason)
{
  for (const std::string& it : aItem.mPools) {
    if (aConfiguration.mPools.count(it) == 0) {
      std::string text = ItemPath(ItemKind::Workspace, aItem.mName);
      text.append(".pools: no pool \"").append(it).append("\"");
      return Refuse(aReason, text);
    }
  }
  return true;
}

bool
CheckItem(const Configuration& aConfiguration,
          const KeyRecord& aItem,
          Reason* aReason)
{
  const std::string path = ItemPath(ItemKind::Key, aItem.mName) + ".workspace";
  return CheckWorkspaceExists(aConfiguration, path, aItem.mWorkspace, aReason);
}

bool
CheckItem(const Configuration&, const Pool&, Reason*)
{
  return true;
}

bool
CheckItem(const Configuration& aConfiguration,
          const Upstream& aItem,
          Reason* aReason)
{
  const std::string path = ItemPath(ItemKind::Upstream, aItem.mName);
  const auto it = aConfiguration.mPools.find(aItem.mPool);
  if (it == aConfiguration.mPools.end()) {
    return Refuse(aReason, path + ".pool: no pool \"" + aItem.mPool + "\"");
  }
  const bool isDecode = it->second.mRole == UpstreamRole::Decode;
  if (isDecode != (aItem.mMemoryPieces > 0)) {
    return Refuse(aReason,
                  path + ".memory_pieces: must be above 0 in a decode pool, "
                         "and 0 in others");
  }
  return true;
}

bool
CheckItem(const Configuration& aConfiguration,
          const Route& aItem,
          Reason* aReason)
{
  const std::string path = ItemPath(ItemKind::Route, aItem.mName);
  for (std::string_view it : kReservedPaths) {
    if (aItem.mPath == it) {
      return Refuse(aReason, path + ".path: is reserved for entries");
    }
  }
  if (!CheckPoolRole(aConfiguration,
                     path + ".prefill_pool",
                     aItem.mPrefillPool,
                     UpstreamRole::Prefill,
                     aReason) ||
      !CheckPoolRole(aConfiguration,
                     path + ".decode_pool",
                     aItem.mDecodePool,
                     UpstreamRole::Decode,
                     aReason) ||
      !CheckPoolRole(aConfiguration,
                     path + ".plain_pool",
                     aItem.mPlainPool,
                     UpstreamRole::Plain,
                     aReason)) {
    return false;
  }
  if (aItem.mPrefillPool.empty()) {
    return true;
  }
  const Pool& prefillPool = aConfiguration.mPools.at(aItem.mPrefillPool);
  const Pool& decodePool = aConfiguration.mPools.at(aItem.mDecodePool);
  if (prefillPool.mModel != decodePool.mModel) {
    return Refuse(aReason,
                  path + ".decode_pool: serves model \"" + decodePool.mModel +
                    "\", prefill_pool serves \"" + prefillPool.mModel + "\"");
  }
  return true;
}

bool
CheckItem(const Configuration& aConfiguration,
          const Exception& aItem,
          Reason* aReason)
{
  const std::string path = ItemPath(ItemKind::Exception, aItem.mName);
  return CheckWorkspaceExists(
    aConfiguration, path + ".workspace", aItem.mWorkspace, aReason);
}

/// Checks the items of one kind: those in aEdits, or all if aEdits is null.
template<class Item>
bool
CheckItems(const Configuration& aConfiguration,
           const std::map<std::string, Item>& aItems,
           ItemKind aKind,
           const std::vector<ItemEdit>* aEdits,
           Reason* aReason)
{
  if (aEdits == nullptr) {
    return std::all_of(aItems.begin(), aItems.end(), [&](const auto& aEntry) {
      return CheckItem(aConfiguration, aEntry.second, aReason);
    });
  }
  return std::all_of(
    aEdits->begin(), aEdits->end(), [&](const ItemEdit& aEdit) {
      if (aEdit.mKind != aKind || aEdit.mJson.empty()) {
        return true;
      }
      const auto it = aItems.find(aEdit.mName);
      return it == aItems.end() ||
             CheckItem(aConfiguration, it->second, aReason);
    });
}

// UniqueValueOf() returns the value that no two items of a kind may share.

std::string
UniqueValueOf(const Upstream& aItem)
{
  return aItem.mAddress;
}

std::string
UniqueValueOf(const Route& aItem)
{
  return aItem.mPath + " " + aItem.mModel;
}

std::string
UniqueValueOf(const Exception& aItem)
{
  return aItem.mWorkspace + " " + aItem.mField;
}

/// Checks in one pass that no other item has the unique value of an edited
/// one.
template<class Item>
bool
CheckUniqueness(const std::map<std::string, Item>& aItems,
                ItemKind aKind,
                const char* aField,
                const std::vector<ItemEdit>& aEdits,
                Reason* aReason)
{
  std::unordered_map<std::string, std::string> editedValues;
  for (const ItemEdit& it : aEdits) {
    const auto item = aItems.find(it.mName);
    if (it.mKind == aKind && item != aItems.end()) {
      editedValues.emplace(UniqueValueOf(item->second), it.mName);
    }
  }
  if (editedValues.empty()) {
    return true;
  }
  for (const auto& [name, item] : aItems) {
    const auto editedValue = editedValues.find(UniqueValueOf(item));
    if (editedValue != editedValues.end() && editedValue->second != name) {
      return Refuse(aReason,
                    ItemPath(aKind, editedValue->second) + "." + aField +
                      ": is the same as that of " + ItemPath(aKind, name));
    }
  }
  return true;
}

/// Returns true if an edit can invalidate items other than the edited one.
bool
CanInvalidateOtherItems(const ItemEdit& aEdit)
{
  const bool isRemoved = aEdit.mJson.empty();
  return aEdit.mKind == ItemKind::Pool ||
         (aEdit.mKind == ItemKind::Workspace && isRemoved);
}

} // namespace

bool
CheckEdits(const Configuration& aConfiguration,
           const std::vector<ItemEdit>& aEdits,
           Reason* aReason)
{
  const bool mustCheckAll =
    std::any_of(aEdits.begin(), aEdits.end(), CanInvalidateOtherItems);
  const std::vector<ItemEdit>* checkedEdits = mustCheckAll ? nullptr : &aEdits;
  const Configuration& c = aConfiguration;
  return CheckItems(c, c.mPools, ItemKind::Pool, checkedEdits, aReason) &&
         CheckItems(
           c, c.mUpstreams, ItemKind::Upstream, checkedEdits, aReason) &&
         CheckItems(c, c.mRoutes, ItemKind::Route, checkedEdits, aReason) &&
         CheckItems(
           c, c.mWorkspaces, ItemKind::Workspace, checkedEdits, aReason) &&
         CheckItems(c, c.mKeys, ItemKind::Key, checkedEdits, aReason) &&
         CheckItems(
           c, c.mExceptions, ItemKind::Exception, checkedEdits, aReason) &&
         CheckUniqueness(
           c.mUpstreams, ItemKind::Upstream, "address", aEdits, aReason) &&
         CheckUniqueness(c.mRoutes, ItemKind::Route, "path", aEdits, aReason) &&
         CheckUniqueness(
           c.mExceptions, ItemKind::Exception, "field", aEdits, aReason);
}

} // namespace peridothoist
