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
enum class TransactionStatus
{
  Committed,
  Conflict,   ///< A condition did not hold; nothing was written.
  Refused,    ///< The service rejected it as invalid; nothing was written.
  NotReached, ///< It was not sent, or was rejected by a rate limit.
  InDoubt     ///< Sent without a conclusive response: it may take effect.
};

/// Returns the name of a transaction's status, as written to logs.
const char*
ToName(TransactionStatus aStatus);

/// The result of a transaction.
struct TransactionResult
{
  TransactionStatus mStatus = TransactionStatus::NotReached;
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
  bool mIsSuccessful =
    false; ///< False: the read failed; other fields are unset.
  std::uint64_t mRevision = 0;
  std::vector<TableRow> mRows;
  bool mHasMore = false; ///< The range has further rows beyond the limit.
};

/// An object read from the object store.
struct ObjectResult
{
  bool mIsSuccessful =
    false; ///< False: the read failed; other fields are unset.
  bool mIsFound = false;
  std::string mBody;
};

/// The platform's list of VMs, which lags behind the actual state.
struct VmListResult
{
  bool mIsSuccessful = false;
  std::vector<Member> mVms;
};

/// Asynchronous calls to the platform. Each callback is called exactly once, on
/// the reactor's thread and never from within the call itself.
class Platform
{
public:
  using TransactionCallback = std::function<void(const TransactionResult&)>;
  using ScanCallback = std::function<void(const ScanResult&)>;
  using ObjectCallback = std::function<void(const ObjectResult&)>;
  using PutCallback = std::function<void(bool aStored)>;
  using VmListCallback = std::function<void(const VmListResult&)>;

  virtual ~Platform() = default;

  /// Runs a transaction. It is sent at most once and never retried.
  virtual void Commit(const TableTransaction& aTransaction,
                      TransactionCallback aCallback) = 0;

  /// Reads the rows with keys in [aFrom, aTo), in key order.
  virtual void Scan(const std::string& aFrom,
                    const std::string& aTo,
                    std::size_t aLimit,
                    ScanCallback aCallback) = 0;

  /// Writes an object. Reports false when the write is not known to have
  /// succeeded.
  virtual void PutObject(const std::string& aName,
                         std::string aBody,
                         PutCallback aCallback) = 0;

  virtual void GetObject(const std::string& aName,
                         ObjectCallback aCallback) = 0;

  virtual void ListVms(VmListCallback aCallback) = 0;

  /// Reads one row; the result holds that row, or no row if it doesn't exist.
  /// Keys contain no character below '!', so no other key lies in the scanned
  /// range.
  void ReadRow(const std::string& aKey, ScanCallback aCallback)
  {
    Scan(aKey, aKey + '!', 1, std::move(aCallback));
  }
};

} // namespace peridothoist
