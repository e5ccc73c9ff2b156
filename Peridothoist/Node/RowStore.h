/// A store of rows that outlives every VM, as the node uses it. The seam
/// behind which a deployment's own store stands.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>

namespace peridothoist {

/// One row.
struct StoredRow
{
  std::string mKey;
  std::string mValue;
  std::uint64_t mVersion = 0; ///< Goes up with each write of the row.
};

/// A change of one row.
struct RowChange
{
  std::string mTable;
  std::string mKey;
  std::optional<std::string> mValue; ///< Empty: the row is removed.
  /// Only if the row has this version; 0: only if there is none.
  std::optional<std::uint64_t> mIfVersion;
};

/// Reads and writes rows. Answers come on the reactor's thread and never from
/// within the call.
class RowStore
{
public:
  virtual ~RowStore() = default;

  /// All rows of a table as of one moment after the call; or none, with why.
  using RowsDone =
    std::function<void(std::optional<std::vector<StoredRow>> aRows,
                       const Reason& aReason)>;
  virtual void ReadTable(const std::string& aTable, RowsDone aDone) = 0;

  /// Whether the change took effect. InDoubt: it may have, or may yet.
  /// aVersion: the row's version then, higher than that of any change before;
  /// 0 when it didn't.
  using ChangeDone =
    std::function<void(const Reason& aReason, std::uint64_t aVersion)>;
  virtual void Change(const RowChange& aChange, ChangeDone aDone) = 0;
};

} // namespace peridothoist
