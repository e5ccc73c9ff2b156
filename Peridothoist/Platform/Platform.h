/// Interface to the platform's services: the transactional table, the object
/// store and the list of VMs. PlatformClient calls the real services; tests
/// use an in-memory implementation.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Membership/Member.h>

namespace peridothoist {

/// Precondition of a transaction: the row must have this version.
struct RowCondition
{
  std::string mKey;
  std::uint64_t mVersion = 0; ///< 0: the row must not exist.
};

/// The new value of a row.
struct RowWrite
{
  std::string mKey;
  std::optional<std::string> mValue; ///< nullopt: the row is deleted.
};

/// Writes that are applied atomically if all conditions hold.
struct TableTransaction
{
  std::vector<RowCondition> mConditions;
  std::vector<RowWrite> mWrites;
};

/// What is known about a transaction after its call.
enum class TransactionEnd
{
  Committed,
  Conflict,   ///< A condition did not hold; nothing was written.
  Refused,    ///< The service rejected it as invalid; nothing was written.
  NotReached, ///< It was not sent, or was rejected by a rate limit.
  InDoubt     ///< Sent without a conclusive response: it may take effect.
};

/// Returns the name of a transaction's status, as written to logs.
const char*
ToName(TransactionEnd aEnd);

/// The result of a transaction.
struct TransactionResult
{
  TransactionEnd mStatus = TransactionEnd::NotReached;
  std::uint64_t mRevision = 0; ///< Committed: version of the written rows.
  std::string mConflictKey;    ///< Conflict: row whose condition failed.
  std::uint64_t mConflictVersion = 0; ///< Conflict: that row's current version.
  std::string mReason;                ///< Error text for logs.
};

/// A row read from the table.
struct TableRow
{
  std::string mKey;
  std::string mValue;
  std::uint64_t mVersion = 0;
};

/// Rows of a key range, all read at the same revision.
struct ScanResult
{
  bool mReached = false; ///< False: the read failed; other fields are unset.
  std::uint64_t mRevision = 0;
  std::vector<TableRow> mRows;
  bool mHasMore = false; ///< The range has further rows beyond the limit.
};

/// An object read from the object store.
struct ObjectResult
{
  bool mReached = false; ///< False: the read failed; other fields are unset.
  bool mFound = false;
  std::string mBody;
};

/// The platform's list of VMs, which lags behind the actual state.
struct VmListResult
{
  bool mReached = false;
  std::vector<Member> mVms;
};

/// Asynchronous calls to the platform. Each callback is called exactly once, on
/// the reactor's thread and never from within the call itself.
class Platform
{
public:
  using TransactionDone = std::function<void(const TransactionResult&)>;
  using ScanDone = std::function<void(const ScanResult&)>;
  using ObjectDone = std::function<void(const ObjectResult&)>;
  using PutDone = std::function<void(bool aStored)>;
  using VmListDone = std::function<void(const VmListResult&)>;

  virtual ~Platform() = default;

  /// Runs a transaction. It is sent at most once and never retried.
  virtual void Commit(const TableTransaction& aTransaction,
                      TransactionDone aCallback) = 0;

  /// Reads the rows with keys in [aFrom, aTo), in key order.
  virtual void Scan(const std::string& aFrom,
                    const std::string& aTo,
                    std::size_t aLimit,
                    ScanDone aCallback) = 0;

  /// Writes an object. Reports false when the write is not known to have
  /// succeeded.
  virtual void PutObject(const std::string& aName,
                         std::string aBody,
                         PutDone aCallback) = 0;

  virtual void GetObject(const std::string& aName, ObjectDone aCallback) = 0;

  virtual void ListVms(VmListDone aCallback) = 0;

  /// Reads one row; the result holds that row, or no row if it doesn't exist.
  /// Keys contain no character below '!', so no other key lies in the scanned
  /// range.
  void ReadRow(const std::string& aKey, ScanDone aCallback)
  {
    Scan(aKey, aKey + '!', 1, std::move(aCallback));
  }
};

} // namespace peridothoist
