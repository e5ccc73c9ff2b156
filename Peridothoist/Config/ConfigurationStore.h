/// A configuration that changes are applied to in place. A change is checked
/// against the whole and undone when it contradicts it, so that a refused
/// change leaves no trace and an accepted one copies only what it edits.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Config/ConfigurationReader.h>
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

  /// Reads a whole configuration from its items.
  static std::optional<ConfigurationStore> FromItems(
    std::uint64_t aVersion,
    const std::vector<ItemEdit>& aItems,
    Reason* aReason);

  const Configuration& Get() const { return mConfiguration; }

  /// Applies a change of the next version. False with a reason when the
  /// version is another or the edits contradict each other or the rest.
  bool Apply(const ConfigChange& aChange, Reason* aReason);

  /// Says whether edits could be applied now; changes nothing.
  bool Check(const std::vector<ItemEdit>& aEdits, Reason* aReason);

private:
  /// What one edit replaced.
  struct Undo
  {
    ItemKind mKind;
    std::string mName;
    std::optional<ConfigItem> mBefore; ///< Empty: there was no such item.
  };

  bool ApplyEdits(const std::vector<ItemEdit>& aEdits,
                  std::vector<Undo>& aUndo,
                  Reason* aReason);
  bool ApplyEdit(const ItemEdit& aEdit,
                 std::vector<Undo>& aUndo,
                 Reason* aReason);
  void Revert(std::vector<Undo>& aUndo);

  Configuration mConfiguration; ///< Invariant: without contradictions.
};

/// Applies a change to a copy. For callers that need both; a daemon uses
/// ConfigurationStore.
std::optional<Configuration>
ApplyChange(const Configuration& aConfiguration,
            const ConfigChange& aChange,
            Reason* aReason);

/// The item with a name, or empty. A default is always there.
std::optional<ConfigItem>
FindItem(const Configuration& aConfiguration,
         ItemKind aKind,
         const std::string& aName);

/// Every item of a configuration, as edits that would make it. Defaults that
/// hold their built-in value are left out.
std::vector<ItemEdit>
ItemsOf(const Configuration& aConfiguration);

/// The same for one kind.
std::vector<ItemEdit>
ItemsOf(const Configuration& aConfiguration, ItemKind aKind);

} // namespace peridothoist
