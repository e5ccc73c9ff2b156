/// A configuration to which changes are applied in place. A change is checked
/// for consistency with the whole configuration and reverted if it is not
/// consistent. A rejected change therefore has no effect, and an accepted one
/// copies only the edited items.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Config/ConfigItemCodec.h>
#include <Peridothoist/Core/Reason.h>

namespace peridothoist {

/// Holds the configuration of one version.
class ConfigurationStore
{
public:
  ConfigurationStore() = default;
  explicit ConfigurationStore(Configuration aConfiguration)
    : mConfiguration(std::move(aConfiguration))
  {
  }

  /// Builds a whole configuration from its items.
  static std::optional<ConfigurationStore> FromItems(
    std::uint64_t aVersion,
    const std::vector<ItemEdit>& aItems,
    Reason* aReason);

  const Configuration& Get() const { return mConfiguration; }

  /// Applies a change of the next version. Returns false and a reason if the
  /// change has another version or its edits are inconsistent with each other
  /// or with the rest.
  bool Apply(const ConfigChange& aChange, Reason* aReason);

  /// Returns whether edits could be applied now. The configuration is the same
  /// afterwards.
  bool Check(const std::vector<ItemEdit>& aEdits, Reason* aReason);

private:
  /// The state of an item before an edit.
  struct Undo
  {
    ItemKind mKind;
    std::string mName;
    std::optional<ConfigItem> mBefore; ///< Empty if the item did not exist.
  };

  bool ApplyEdits(const std::vector<ItemEdit>& aEdits,
                  std::vector<Undo>& aUndo,
                  Reason* aReason);
  bool ApplyEdit(const ItemEdit& aEdit,
                 std::vector<Undo>& aUndo,
                 Reason* aReason);
  void Revert(std::vector<Undo>& aUndo);

  Configuration mConfiguration; ///< Invariant: its items are consistent.
};

/// Applies a change to a copy of aConfiguration and returns the copy, for code
/// that needs both versions. Daemons use ConfigurationStore, which does not
/// copy.
std::optional<Configuration>
ApplyChange(const Configuration& aConfiguration,
            const ConfigChange& aChange,
            Reason* aReason);

/// Returns the item with a name, or nullopt. Every default has an item, also
/// when it has its built-in value.
std::optional<ConfigItem>
FindItem(const Configuration& aConfiguration,
         ItemKind aKind,
         const std::string& aName);

/// Returns all items of a configuration as the edits that create it. Defaults
/// with their built-in value are left out.
std::vector<ItemEdit>
ListItems(const Configuration& aConfiguration);

/// Returns the items of one kind in the same way.
std::vector<ItemEdit>
ListItems(const Configuration& aConfiguration, ItemKind aKind);

} // namespace peridothoist
