/// The platform's table and objects in memory, for tests: answers come on the
/// reactor's next turn, and single answers can be lost or withheld.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/Reactor.h>

#include <deque>

namespace peridothoist {

/// What becomes of a call.
enum class CallFate
{
  Answer,      ///< Takes effect and is answered.
  LoseAnswer,  ///< Takes effect; its caller never knows.
  LoseRequest, ///< Doesn't take effect; its caller never knows.
  Late,        ///< In doubt; takes effect when ApplyLate() is called.
  NotReach     ///< Never arrives.
};

/// A platform whose faults a test chooses.
class MemoryPlatform : public Platform
{
public:
  explicit MemoryPlatform(Reactor& aReactor)
    : mReactor(aReactor)
  {
  }

  /// The fate of the next calls, in order; then mFate.
  std::deque<CallFate> mNextFates;
  CallFate mFate = CallFate::Answer;
  /// While set: transactions that write a row with this prefix are lost on
  /// their way, and their callers never know.
  std::string mLoseCommitsOf;
  std::vector<Member> mVms;
  std::map<std::string, std::string> mObjects;
  std::size_t mCommits = 0; ///< Transactions that took effect.

  /// Applies a transaction now, without faults.
  TransactionResult Apply(const TableTransaction& aTransaction)
  {
    TransactionResult result;
    for (const RowCondition& it : aTransaction.mConditions) {
      const auto row = mRows.find(it.mKey);
      const std::uint64_t version =
        row == mRows.end() ? 0 : row->second.mVersion;
      if (version != it.mVersion) {
        result.mEnd = TransactionEnd::Conflict;
        result.mConflictKey = it.mKey;
        result.mConflictVersion = version;
        return result;
      }
    }
    ++mRevision;
    ++mCommits;
    for (const RowWrite& it : aTransaction.mWrites) {
      if (it.mValue) {
        mRows[it.mKey] = { it.mKey, *it.mValue, mRevision };
      } else {
        mRows.erase(it.mKey);
      }
    }
    result.mEnd = TransactionEnd::Committed;
    result.mRevision = mRevision;
    return result;
  }

  /// Transactions that were on their way take effect now.
  void ApplyLate()
  {
    for (const TableTransaction& it : mLate) {
      Apply(it);
    }
    mLate.clear();
  }

  /// A row's value; empty when it is absent.
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
              TransactionDone aDone) override
  {
    TransactionResult result;
    result.mEnd = TransactionEnd::InDoubt;
    switch (FateOf(aTransaction)) {
      case CallFate::Answer:
        result = Apply(aTransaction);
        break;
      case CallFate::LoseAnswer:
        Apply(aTransaction);
        break;
      case CallFate::LoseRequest:
        break;
      case CallFate::Late:
        mLate.push_back(aTransaction);
        break;
      case CallFate::NotReach:
        result.mEnd = TransactionEnd::NotReached;
        break;
    }
    mReactor.Post([aDone = std::move(aDone), result] { aDone(result); });
  }

  void Scan(const std::string& aFrom,
            const std::string& aTo,
            std::size_t aLimit,
            ScanDone aDone) override
  {
    ScanResult result;
    result.mReached = NextFate() == CallFate::Answer;
    result.mRevision = mRevision;
    for (auto it = mRows.lower_bound(aFrom);
         result.mReached && it != mRows.end() && it->first < aTo;
         ++it) {
      if (result.mRows.size() == aLimit) {
        result.mMore = true;
        break;
      }
      result.mRows.push_back(it->second);
    }
    mReactor.Post([aDone = std::move(aDone), result] { aDone(result); });
  }

  void PutObject(const std::string& aName,
                 std::string aBody,
                 PutDone aDone) override
  {
    const bool stored = NextFate() == CallFate::Answer;
    if (stored) {
      mObjects[aName] = std::move(aBody);
    }
    mReactor.Post([aDone = std::move(aDone), stored] { aDone(stored); });
  }

  void GetObject(const std::string& aName, ObjectDone aDone) override
  {
    ObjectResult result;
    result.mReached = NextFate() == CallFate::Answer;
    const auto it = mObjects.find(aName);
    result.mFound = result.mReached && it != mObjects.end();
    result.mBody = result.mFound ? it->second : std::string();
    mReactor.Post([aDone = std::move(aDone), result] { aDone(result); });
  }

  void ListVms(VmListDone aDone) override
  {
    VmListResult result{ NextFate() == CallFate::Answer, mVms };
    mReactor.Post([aDone = std::move(aDone), result] { aDone(result); });
  }

private:
  CallFate FateOf(const TableTransaction& aTransaction)
  {
    for (const RowWrite& it : aTransaction.mWrites) {
      if (!mLoseCommitsOf.empty() && it.mKey.rfind(mLoseCommitsOf, 0) == 0) {
        return CallFate::LoseRequest;
      }
    }
    return NextFate();
  }

  CallFate NextFate()
  {
    if (mNextFates.empty()) {
      return mFate;
    }
    const CallFate fate = mNextFates.front();
    mNextFates.pop_front();
    return fate;
  }

  Reactor& mReactor;
  std::map<std::string, TableRow> mRows;
  std::uint64_t mRevision = 0;
  std::vector<TableTransaction> mLate;
};

} // namespace peridothoist
