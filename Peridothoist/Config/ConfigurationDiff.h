/// Differences between configurations, as text for operators and as JSON for
/// programs.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>

#include <nlohmann/json_fwd.hpp>

namespace peridothoist {

/// One item that differs. At least one of mBefore and mAfter is not empty.
struct ItemDifference
{
  ItemKind mKind = ItemKind::Workspace;
  std::string mName;
  std::string mBefore; ///< Old JSON; empty if the item is added.
  std::string mAfter;  ///< New JSON; empty if the item is removed.
};

/// The differences between two configurations, or those that edits make.
class ConfigurationDiff
{
public:
  /// Returns the changes that aEdits would make. Edits without any effect are
  /// left out.
  static ConfigurationDiff FromEdits(const Configuration& aBefore,
                                     const std::vector<ItemEdit>& aEdits);

  /// Returns the differences between two whole configurations.
  static ConfigurationDiff Between(const Configuration& aBefore,
                                   const Configuration& aAfter);

  const std::vector<ItemDifference>& Items() const { return mItems; }

  /// Returns the edits that lead from the first configuration to the second.
  std::vector<ItemEdit> Edits() const;

  /// Returns one line for each added or removed item and each changed field:
  /// "+ pool/a {...}", "- key/b", "~ route/c.deadline: \"30s\" -> \"5s\"".
  /// Digests and salts of keys are left out.
  std::string ToText() const;

  /// Returns the same as a JSON list of {"kind","name","before","after"}.
  nlohmann::json ToJson() const;

private:
  std::vector<ItemDifference> mItems; ///< In the order of the edits.
};

} // namespace peridothoist
