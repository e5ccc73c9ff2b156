/// Turns the JSON of single items into the types of Configuration.h and back.
/// The schema is described in docs/CONFIGURATION.md. Checks only what one item
/// shows by itself; ConfigurationStore checks items against each other.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Core/Reason.h>

#include <variant>

namespace peridothoist {

/// The newest version of the item schema; items may state it as "schema".
constexpr std::uint32_t kItemSchemaVersion = 1;

/// Longest JSON text of one item, in bytes.
constexpr std::size_t kMaxItemBytes = 64 * 1024;

/// One default as an item: the name of its field and the value as JSON text.
struct DefaultItem
{
  std::string mName; ///< A field of Defaults, as its JSON name.
  std::string mValue;
};

/// A typed item. The order is that of ItemKind.
using ConfigItem = std::
  variant<Workspace, KeyRecord, Pool, Upstream, Route, DefaultItem, Exception>;

/// Reads and writes items.
class ConfigurationReader
{
public:
  /// Reads one item. Empty with a reason that starts with the field's path.
  static std::optional<ConfigItem> ReadItem(ItemKind aKind,
                                            const std::string& aName,
                                            std::string_view aJson,
                                            Reason* aReason);

  /// The JSON text of an item, with its schema version.
  static std::string WriteItem(const ConfigItem& aItem);

  /// Sets one default from JSON text. False with a reason when there is no
  /// such default or the value is not allowed; aPath starts the reason.
  static bool SetDefault(const std::string& aField,
                         const std::string& aValue,
                         const std::string& aPath,
                         Defaults& aDefaults,
                         Reason* aReason);

  /// One default's value as JSON text; aField must exist.
  static std::string GetDefault(const std::string& aField,
                                const Defaults& aDefaults);

  /// JSON names of all defaults.
  static std::vector<std::string> DefaultNames();
};

/// The path of an item in messages and admin URLs, as "route/chat".
std::string
ItemPath(ItemKind aKind, const std::string& aName);

/// The defaults that hold for a workspace: fleet-wide ones and its exceptions.
Defaults
EffectiveDefaults(const Configuration& aConfiguration,
                  const std::string& aWorkspace);

} // namespace peridothoist
