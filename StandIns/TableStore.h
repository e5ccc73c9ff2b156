/// Table service of the platform stand-in: ordered rows with versions, changed
/// by atomic transactions. Performs no input or output.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist::standin {

/// Requires a row to have a version; 0 requires it to be absent.
struct RowCondition
{
  std::string mKey;
  std::uint64_t mVersion = 0;
};

/// Sets a row, or deletes it if there is no value.
struct RowWrite
{
  std::string mKey;
  std::optional<std::string> mValue;
};

/// Conditions and writes that are applied atomically.
struct Transaction
{
  std::vector<RowCondition> mConditions;
  std::vector<RowWrite> mWrites;
};

/// Result of a transaction.
struct TransactionResult
{
  bool mCommitted = false;
  std::uint64_t mRevision = 0;        ///< The store's revision afterwards.
  std::string mConflict;              ///< Key of the first failed condition.
  std::uint64_t mConflictVersion = 0; ///< That row's actual version.
};

/// A row as returned by a read.
struct Row
{
  std::string mKey;
  std::string mValue;
  std::uint64_t mVersion = 0; ///< Revision of the last write.
};

/// A page of rows in key order.
struct RowPage
{
  std::uint64_t mRevision = 0;
  std::vector<Row> mRows;
  bool mHasMore = false; ///< The range has further rows.
};

/// Stores rows and their versions. Invariant: no row has a version above the
/// revision.
class TableStore
{
public:
  /// Applies a transaction if all its conditions are met.
  TransactionResult Apply(const Transaction& aTransaction);

  /// Returns at most aLimit rows with aBegin <= key < aEnd.
  RowPage Read(const std::string& aBegin,
               const std::string& aEnd,
               std::size_t aLimit) const;

  /// Returns the number of committed transactions with at least one write.
  std::uint64_t Revision() const { return mRevision; }

private:
  /// Value and version of a row.
  struct Cell
  {
    std::string mValue;
    std::uint64_t mVersion = 0;
  };

  std::uint64_t VersionOf(const std::string& aKey) const;
  void Write(const RowWrite& aWrite);

  std::map<std::string, Cell> mCells;
  std::uint64_t mRevision = 0; ///< Incremented by each commit that writes rows.
};

} // namespace peridothoist::standin
