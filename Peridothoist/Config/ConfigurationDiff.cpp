/// What edits change in a configuration.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/ConfigurationDiff.h>

#include <Peridothoist/Config/ConfigurationReader.h>
#include <Peridothoist/Config/ConfigurationStore.h>

#include <nlohmann/json.hpp>

#include <set>

namespace peridothoist {

namespace {

using nlohmann::json;

/// The item as WriteItem() gives it, so that equal items are equal texts;
/// the text as it stands when it is no valid item.
std::string
Canonical(const ItemEdit& aEdit)
{
  if (aEdit.mJson.empty()) {
    return {};
  }
  const auto item = ConfigurationReader::ReadItem(
    aEdit.mKind, aEdit.mName, aEdit.mJson, nullptr);
  return item ? ConfigurationReader::WriteItem(*item) : aEdit.mJson;
}

std::string
Current(const Configuration& aConfiguration,
        ItemKind aKind,
        const std::string& aName)
{
  const auto item = FindItem(aConfiguration, aKind, aName);
  return item ? ConfigurationReader::WriteItem(*item) : std::string();
}

/// An item's JSON without the schema version and what secrets are kept as.
json
Shown(const std::string& aText)
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
ChangedFields(const std::string& aPath, const json& aBefore, const json& aAfter)
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
ConfigurationDiff::OfEdits(const Configuration& aBefore,
                           const std::vector<ItemEdit>& aEdits)
{
  ConfigurationDiff diff;
  for (const ItemEdit& it : aEdits) {
    ItemDifference difference{
      it.mKind, it.mName, Current(aBefore, it.mKind, it.mName), Canonical(it)
    };
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
  std::vector<ItemEdit> edits = ItemsOf(aAfter);
  for (ItemEdit& it : ItemsOf(aBefore)) {
    const std::string after = Current(aAfter, it.mKind, it.mName);
    if (after.empty()) {
      it.mJson.clear();
      edits.push_back(std::move(it));
    } else if (it.mKind == ItemKind::Default) {
      // A default that went back to its built-in value has no item.
      it.mJson = after;
      edits.push_back(std::move(it));
    }
  }
  ConfigurationDiff diff = OfEdits(aBefore, edits);
  std::set<std::string> seen;
  std::vector<ItemDifference> once;
  for (ItemDifference& it : diff.mItems) {
    if (seen.insert(ItemPath(it.mKind, it.mName)).second) {
      once.push_back(std::move(it));
    }
  }
  diff.mItems = std::move(once);
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
    const json before = Shown(it.mBefore);
    const json after = Shown(it.mAfter);
    if (before.is_null()) {
      text += "+ " + path + " " + after.dump() + "\n";
    } else if (after.is_null()) {
      text += "- " + path + "\n";
    } else {
      text += ChangedFields(path, before, after);
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
                      { "before", Shown(it.mBefore) },
                      { "after", Shown(it.mAfter) } });
  }
  return items;
}

} // namespace peridothoist
