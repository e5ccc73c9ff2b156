/// The platform's services as values and calls: the transactional table, the
/// object store and the list of VMs. PlatformClient calls the real ones; tests
/// put a small table in memory in their place.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Membership/Member.h>

namespace peridothoist {

/// A row must have this version for a transaction to take effect.
struct RowCondition
{
  std::string mKey;
  std::uint64_t mVersion = 0; ///< 0: the row is absent.
};

/// A row's new value.
struct RowWrite
{
  std::string mKey;
  std::optional<std::string> mValue; ///< Empty: the row is deleted.
};

/// Writes that take effect together, if all conditions hold.
struct TableTransaction
{
  std::vector<RowCondition> mConditions;
  std::vector<RowWrite> mWrites;
};

/// What is known of a transaction after its call.
enum class TransactionEnd
{
  Committed,
  Conflict,   ///< A condition didn't hold; nothing was written.
  Refused,    ///< The service can't make sense of it; nothing was written.
  NotReached, ///< It never arrived, or the service was over its rate.
  InDoubt     ///< It was sent and no clear answer came: it may take effect.
};

/// The name of an end, for logs.
const char*
ToName(TransactionEnd aEnd);

/// The outcome of a transaction.
struct TransactionResult
{
  TransactionEnd mEnd = TransactionEnd::NotReached;
  std::uint64_t mRevision = 0;        ///< Committed: version of written rows.
  std::string mConflictKey;           ///< Conflict: whose condition failed.
  std::uint64_t mConflictVersion = 0; ///< Conflict: that row's version.
  std::string mReason;                ///< For logs.
};

/// A row as read.
struct TableRow
{
  std::string mKey;
  std::string mValue;
  std::uint64_t mVersion = 0;
};

/// Rows of a range, all as of one revision.
struct ScanResult
{
  bool mReached = false; ///< False: nothing else here means anything.
  std::uint64_t mRevision = 0;
  std::vector<TableRow> mRows;
  bool mMore = false; ///< The range holds rows beyond the limit.
};

/// An object as read.
struct ObjectResult
{
  bool mReached = false; ///< False: nothing else here means anything.
  bool mFound = false;
  std::string mBody;
};

/// The lagging list of VMs.
struct VmListResult
{
  bool mReached = false;
  std::vector<Member> mVms;
};

/// Calls to the platform. Each answer comes once, on the reactor's thread and
/// never from within the call.
class Platform
{
public:
  using TransactionDone = std::function<void(const TransactionResult&)>;
  using ScanDone = std::function<void(const ScanResult&)>;
  using ObjectDone = std::function<void(const ObjectResult&)>;
  using PutDone = std::function<void(bool aStored)>;
  using VmListDone = std::function<void(const VmListResult&)>;

  virtual ~Platform() = default;

  /// Runs a transaction. It is sent at most once.
  virtual void Commit(const TableTransaction& aTransaction,
                      TransactionDone aDone) = 0;

  /// Reads rows from aFrom (included) to aTo (excluded), in order of key.
  virtual void Scan(const std::string& aFrom,
                    const std::string& aTo,
                    std::size_t aLimit,
                    ScanDone aDone) = 0;

  /// Writes an object; false when that isn't known to have worked.
  virtual void PutObject(const std::string& aName,
                         std::string aBody,
                         PutDone aDone) = 0;

  virtual void GetObject(const std::string& aName, ObjectDone aDone) = 0;

  virtual void ListVms(VmListDone aDone) = 0;

  /// Reads one row; the result holds it, or no row. Keys hold no character
  /// below '!', so that nothing else sorts between the two ends.
  void ReadRow(const std::string& aKey, ScanDone aDone)
  {
    Scan(aKey, aKey + '!', 1, std::move(aDone));
  }
};

} // namespace peridothoist
