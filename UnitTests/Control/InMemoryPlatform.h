/// In-memory table and objects of the platform, for tests. Callbacks run on the
/// next reactor iteration; requests and responses can be lost or delayed.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/Reactor.h>

#include <deque>

namespace peridothoist {

/// Fault that is injected into a platform call.
enum class InjectedFault
{
  None,         ///< No fault: takes effect and the caller gets the result.
  LoseResponse, ///< Takes effect; the caller's result is InDoubt.
  LoseRequest,  ///< Has no effect; the caller's result is InDoubt.
  DelayCommit,  ///< The caller's result is InDoubt; takes effect in
                ///< ApplyDelayed().
  Unreached     ///< Has no effect; the caller's result is NotReached.
};

/// A platform into which tests inject faults.
class InMemoryPlatform : public Platform
{
public:
  explicit InMemoryPlatform(Reactor& aReactor)
    : mReactor(aReactor)
  {
  }

  /// Faults of the next calls, in order; mDefaultFault applies afterwards.
  std::deque<InjectedFault> mNextFaults;
  InjectedFault mDefaultFault = InjectedFault::None;
  /// If not empty, transactions that write a row with this key prefix are lost
  /// before they take effect, and the result for the caller is InDoubt.
  std::string mLostWritePrefix;
  std::vector<Member> mVms;
  std::map<std::string, std::string> mObjects;
  std::size_t mCommitCount = 0; ///< Number of transactions that took effect.

  /// Applies a transaction immediately, without faults.
  TransactionResult Apply(const TableTransaction& aTransaction)
  {
    TransactionResult result;
    for (const RowCondition& it : aTransaction.mConditions) {
      const auto row = mRows.find(it.mKey);
      const std::uint64_t version =
        row == mRows.end() ? 0 : row->second.mVersion;
      if (version != it.mVersion) {
        result.mStatus = TransactionStatus::Conflict;
        result.mConflictKey = it.mKey;
        result.mConflictVersion = version;
        return result;
      }
    }
    ++mRevision;
    ++mCommitCount;
    for (const RowWrite& it : aTransaction.mWrites) {
      if (it.mValue) {
        mRows[it.mKey] = { it.mKey, *it.mValue, mRevision };
      } else {
        mRows.erase(it.mKey);
      }
    }
    result.mStatus = TransactionStatus::Committed;
    result.mRevision = mRevision;
    return result;
  }

  /// Applies the delayed transactions.
  void ApplyDelayed()
  {
    for (const TableTransaction& it : mDelayed) {
      Apply(it);
    }
    mDelayed.clear();
  }

  /// Returns the value of a row, or an empty string if the row does not exist.
  std::string Value(const std::string& aKey) const
  {
    const auto it = mRows.find(aKey);
    return it == mRows.end() ? std::string() : it->second.mValue;
  }

  std::size_t CountRows(const std::string& aPrefix) const
  {
    std::size_t count = 0;
    for (const auto& [key, row] : mRows) {
      count += key.rfind(aPrefix, 0) == 0 ? 1 : 0;
    }
    return count;
  }

  // See: Platform
  void Commit(const TableTransaction& aTransaction,
              TransactionCallback aDone) override
  {
    TransactionResult result;
    result.mStatus = TransactionStatus::InDoubt;
    switch (FaultOf(aTransaction)) {
      case InjectedFault::None:
        result = Apply(aTransaction);
        break;
      case InjectedFault::LoseResponse:
        Apply(aTransaction);
        break;
      case InjectedFault::LoseRequest:
        break;
      case InjectedFault::DelayCommit:
        mDelayed.push_back(aTransaction);
        break;
      case InjectedFault::Unreached:
        result.mStatus = TransactionStatus::NotReached;
        break;
    }
    mReactor.Post([aDone = std::move(aDone), result] { aDone(result); });
  }

  void Scan(const std::string& aFrom,
            const std::string& aTo,
            std::size_t aLimit,
            ScanCallback aDone) override
  {
    ScanResult result;
    result.mIsSuccessful = NextFault() == InjectedFault::None;
    result.mRevision = mRevision;
    for (auto it = mRows.lower_bound(aFrom);
         result.mIsSuccessful && it != mRows.end() && it->first < aTo;
         ++it) {
      if (result.mRows.size() == aLimit) {
        result.mHasMore = true;
        break;
      }
      result.mRows.push_back(it->second);
    }
    mReactor.Post([aDone = std::move(aDone), result] { aDone(result); });
  }

  void PutObject(const std::string& aName,
                 std::string aBody,
                 PutCallback aDone) override
  {
    const bool stored = NextFault() == InjectedFault::None;
    if (stored) {
      mObjects[aName] = std::move(aBody);
    }
    mReactor.Post([aDone = std::move(aDone), stored] { aDone(stored); });
  }

  void GetObject(const std::string& aName, ObjectCallback aDone) override
  {
    ObjectResult result;
    result.mIsSuccessful = NextFault() == InjectedFault::None;
    const auto it = mObjects.find(aName);
    result.mIsFound = result.mIsSuccessful && it != mObjects.end();
    result.mBody = result.mIsFound ? it->second : std::string();
    mReactor.Post([aDone = std::move(aDone), result] { aDone(result); });
  }

  void ListVms(VmListCallback aDone) override
  {
    VmListResult result{ NextFault() == InjectedFault::None, mVms };
    mReactor.Post([aDone = std::move(aDone), result] { aDone(result); });
  }

private:
  InjectedFault FaultOf(const TableTransaction& aTransaction)
  {
    for (const RowWrite& it : aTransaction.mWrites) {
      if (!mLostWritePrefix.empty() &&
          it.mKey.rfind(mLostWritePrefix, 0) == 0) {
        return InjectedFault::LoseRequest;
      }
    }
    return NextFault();
  }

  InjectedFault NextFault()
  {
    if (mNextFaults.empty()) {
      return mDefaultFault;
    }
    const InjectedFault fault = mNextFaults.front();
    mNextFaults.pop_front();
    return fault;
  }

  Reactor& mReactor;
  std::map<std::string, TableRow> mRows;
  std::uint64_t mRevision = 0;
  std::vector<TableTransaction> mDelayed;
};

} // namespace peridothoist
