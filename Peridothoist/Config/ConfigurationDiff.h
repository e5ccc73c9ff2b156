/// What edits change in a configuration, for people and for programs.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>

#include <nlohmann/json_fwd.hpp>

namespace peridothoist {

/// One item that differs. At least one side is set.
struct ItemDifference
{
  ItemKind mKind = ItemKind::Workspace;
  std::string mName;
  std::string mBefore; ///< JSON; empty: is added.
  std::string mAfter;  ///< JSON; empty: is removed.
};

/// Differences between configurations and what edits make of them.
class ConfigurationDiff
{
public:
  /// What aEdits would change. Edits that change nothing are left out.
  static ConfigurationDiff OfEdits(const Configuration& aBefore,
                                   const std::vector<ItemEdit>& aEdits);

  /// What differs between two whole configurations.
  static ConfigurationDiff Between(const Configuration& aBefore,
                                   const Configuration& aAfter);

  const std::vector<ItemDifference>& Items() const { return mItems; }

  /// The edits that lead from before to after.
  std::vector<ItemEdit> Edits() const;

  /// One line for each item and each changed field:
  /// "+ pool/a {...}", "- key/b", "~ route/c.deadline: \"30s\" -> \"5s\"".
  /// Digests and salts of keys are left out.
  std::string ToText() const;

  /// The same as a list of {"kind","name","before","after"}.
  nlohmann::json ToJson() const;

private:
  std::vector<ItemDifference> mItems; ///< In order of kind, then as found.
};

} // namespace peridothoist
