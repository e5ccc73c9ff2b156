/// The platform stand-in's table service: ordered rows with versions, changed
/// by all-or-nothing transactions. No input or output.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist::standin {

/// Expects a row to have a version; 0 expects it to be absent.
struct RowCondition
{
  std::string mKey;
  std::uint64_t mVersion = 0;
};

/// Sets a row, or deletes it when there is no value.
struct RowWrite
{
  std::string mKey;
  std::optional<std::string> mValue;
};

/// Conditions and writes that take effect together or not at all.
struct Transaction
{
  std::vector<RowCondition> mConditions;
  std::vector<RowWrite> mWrites;
};

/// What became of a transaction.
struct TransactionResult
{
  bool mCommitted = false;
  std::uint64_t mRevision = 0;        ///< The store's revision afterwards.
  std::string mConflict;              ///< Key of the first failed condition.
  std::uint64_t mConflictVersion = 0; ///< That row's actual version.
};

/// One row as read.
struct Row
{
  std::string mKey;
  std::string mValue;
  std::uint64_t mVersion = 0; ///< Revision that last wrote it.
};

/// A page of rows in key order.
struct RowPage
{
  std::uint64_t mRevision = 0;
  std::vector<Row> mRows;
  bool mMore = false; ///< Further rows of the range were left out.
};

/// Rows and their versions. Invariant: no row's version is above the revision.
class TableStore
{
public:
  /// Applies a transaction if all its conditions hold.
  TransactionResult Apply(const Transaction& aTransaction);

  /// Reads rows with aFrom <= key < aTo, at most aLimit of them.
  RowPage Read(const std::string& aFrom,
               const std::string& aTo,
               std::size_t aLimit) const;

  /// The number of transactions that wrote something.
  std::uint64_t Revision() const { return mRevision; }

private:
  /// What a key maps to.
  struct Cell
  {
    std::string mValue;
    std::uint64_t mVersion = 0;
  };

  std::uint64_t VersionOf(const std::string& aKey) const;
  void Write(const RowWrite& aWrite);

  std::map<std::string, Cell> mCells;
  std::uint64_t mRevision = 0; ///< Goes up by one with each commit.
};

} // namespace peridothoist::standin
