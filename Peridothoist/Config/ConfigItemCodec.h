/// Converts the JSON of single items to the types of Configuration.h and back.
/// The schema is described in docs/CONFIGURATION.md. Checks each item in
/// isolation; ConfigurationStore checks the consistency between items.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Core/Reason.h>

#include <variant>

namespace peridothoist {

/// Version of the item schema, which items may state in the field "schema".
constexpr std::uint32_t kItemSchemaVersion = 1;

/// Largest size of the JSON text of one item, in bytes.
constexpr std::size_t kMaxItemBytes = 64 * 1024;

/// One default as an item.
struct DefaultItem
{
  std::string mName;  ///< JSON name of a field of Defaults.
  std::string mValue; ///< The value as JSON text.
};

/// A typed item. The alternatives have the order of ItemKind.
using ConfigItem = std::
  variant<Workspace, KeyRecord, Pool, Upstream, Route, DefaultItem, Exception>;

/// Parses and serializes items.
class ConfigItemCodec
{
public:
  /// Parses one item. Returns nullopt and a reason that starts with the path
  /// of the invalid field.
  static std::optional<ConfigItem> ReadItem(ItemKind aKind,
                                            const std::string& aName,
                                            std::string_view aJson,
                                            Reason* aReason);

  /// Returns the JSON text of an item, including the schema version.
  static std::string WriteItem(const ConfigItem& aItem);

  /// Sets one default from JSON text. Returns false and a reason that starts
  /// with aPath if there is no such default or the value is not allowed.
  static bool SetDefault(const std::string& aField,
                         const std::string& aValue,
                         const std::string& aPath,
                         Defaults& aDefaults,
                         Reason* aReason);

  /// Returns the value of one default as JSON text. aField must exist.
  static std::string GetDefault(const std::string& aField,
                                const Defaults& aDefaults);

  /// Returns the JSON names of all defaults.
  static std::vector<std::string> DefaultNames();
};

/// Returns the path of an item in messages and admin URLs, such as
/// "route/chat".
std::string
ItemPath(ItemKind aKind, const std::string& aName);

/// Returns the defaults that apply to a workspace, with its exceptions.
Defaults
EffectiveDefaults(const Configuration& aConfiguration,
                  const std::string& aWorkspace);

} // namespace peridothoist
