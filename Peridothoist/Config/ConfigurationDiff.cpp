/// Compares items by their canonical JSON.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/ConfigurationDiff.h>

#include <Peridothoist/Config/ConfigItemCodec.h>
#include <Peridothoist/Config/ConfigurationStore.h>

#include <nlohmann/json.hpp>

#include <set>

namespace peridothoist {

namespace {

using nlohmann::json;

/// Returns the item as written by WriteItem(), so that equal items have equal
/// texts. Returns the text unchanged if it is not a valid item.
std::string
CanonicalJson(const ItemEdit& aEdit)
{
  if (aEdit.mJson.empty()) {
    return {};
  }
  const auto item =
    ConfigItemCodec::ReadItem(aEdit.mKind, aEdit.mName, aEdit.mJson, nullptr);
  return item ? ConfigItemCodec::WriteItem(*item) : aEdit.mJson;
}

std::string
CurrentJson(const Configuration& aConfiguration,
            ItemKind aKind,
            const std::string& aName)
{
  const auto item = FindItem(aConfiguration, aKind, aName);
  return item ? ConfigItemCodec::WriteItem(*item) : std::string();
}

/// Returns an item's JSON without the schema version and without the salt and
/// digest of keys.
json
WithoutSecrets(const std::string& aText)
{
  if (aText.empty()) {
    return nullptr;
  }
  json value = json::parse(aText, nullptr, false);
  if (value.is_object()) {
    value.erase("schema");
    value.erase("salt");
    value.erase("digest");
  }
  return value;
}

std::string
DescribeChangedFields(const std::string& aPath,
                      const json& aBefore,
                      const json& aAfter)
{
  std::set<std::string> names;
  for (const json* it : { &aBefore, &aAfter }) {
    for (const auto& entry : it->items()) {
      names.insert(entry.key());
    }
  }
  std::string text;
  for (const std::string& it : names) {
    const json before = aBefore.value(it, json());
    const json after = aAfter.value(it, json());
    if (before != after) {
      text.append("~ ").append(aPath).append(".").append(it).append(": ");
      text.append(before.is_null() ? "(unset)" : before.dump());
      text.append(" -> ");
      text.append(after.is_null() ? "(unset)" : after.dump()).append("\n");
    }
  }
  return text.empty() ? "~ " + aPath + "\n" : text;
}

} // namespace

ConfigurationDiff
ConfigurationDiff::FromEdits(const Configuration& aBefore,
                             const std::vector<ItemEdit>& aEdits)
{
  ConfigurationDiff diff;
  for (const ItemEdit& it : aEdits) {
    ItemDifference difference{ it.mKind,
                               it.mName,
                               CurrentJson(aBefore, it.mKind, it.mName),
                               CanonicalJson(it) };
    if (difference.mBefore != difference.mAfter) {
      diff.mItems.push_back(std::move(difference));
    }
  }
  return diff;
}

ConfigurationDiff
ConfigurationDiff::Between(const Configuration& aBefore,
                           const Configuration& aAfter)
{
  std::vector<ItemEdit> edits = ListItems(aAfter);
  for (ItemEdit& it : ListItems(aBefore)) {
    const std::string after = CurrentJson(aAfter, it.mKind, it.mName);
    if (after.empty()) {
      it.mJson.clear();
      edits.push_back(std::move(it));
    } else if (it.mKind == ItemKind::Default) {
      // A default that was reset to its built-in value has no item in aAfter.
      it.mJson = after;
      edits.push_back(std::move(it));
    }
  }
  ConfigurationDiff diff = FromEdits(aBefore, edits);
  std::set<std::string> knownPaths;
  std::vector<ItemDifference> uniqueItems;
  for (ItemDifference& it : diff.mItems) {
    if (knownPaths.insert(ItemPath(it.mKind, it.mName)).second) {
      uniqueItems.push_back(std::move(it));
    }
  }
  diff.mItems = std::move(uniqueItems);
  return diff;
}

std::vector<ItemEdit>
ConfigurationDiff::Edits() const
{
  std::vector<ItemEdit> edits;
  for (const ItemDifference& it : mItems) {
    edits.push_back({ it.mKind, it.mName, it.mAfter });
  }
  return edits;
}

std::string
ConfigurationDiff::ToText() const
{
  std::string text;
  for (const ItemDifference& it : mItems) {
    const std::string path = ItemPath(it.mKind, it.mName);
    const json before = WithoutSecrets(it.mBefore);
    const json after = WithoutSecrets(it.mAfter);
    if (before.is_null()) {
      text += "+ " + path + " " + after.dump() + "\n";
    } else if (after.is_null()) {
      text += "- " + path + "\n";
    } else {
      text += DescribeChangedFields(path, before, after);
    }
  }
  return text;
}

json
ConfigurationDiff::ToJson() const
{
  json items = json::array();
  for (const ItemDifference& it : mItems) {
    items.push_back({ { "kind", ToName(it.mKind) },
                      { "name", it.mName },
                      { "before", WithoutSecrets(it.mBefore) },
                      { "after", WithoutSecrets(it.mAfter) } });
  }
  return items;
}

} // namespace peridothoist
