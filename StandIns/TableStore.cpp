/// Transactions and range reads on an ordered map.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/TableStore.h>

namespace peridothoist::standin {

TransactionResult
TableStore::Apply(const Transaction& aTransaction)
{
  TransactionResult result;
  result.mRevision = mRevision;
  for (const RowCondition& it : aTransaction.mConditions) {
    const std::uint64_t version = VersionOf(it.mKey);
    if (version != it.mVersion) {
      result.mConflict = it.mKey;
      result.mConflictVersion = version;
      return result;
    }
  }
  result.mCommitted = true;
  if (!aTransaction.mWrites.empty()) {
    ++mRevision;
  }
  for (const RowWrite& it : aTransaction.mWrites) {
    Write(it);
  }
  result.mRevision = mRevision;
  return result;
}

RowPage
TableStore::Read(const std::string& aBegin,
                 const std::string& aEnd,
                 std::size_t aLimit) const
{
  RowPage page;
  page.mRevision = mRevision;
  for (auto it = mCells.lower_bound(aBegin); it != mCells.end(); ++it) {
    if (it->first >= aEnd) {
      break;
    }
    if (page.mRows.size() == aLimit) {
      page.mHasMore = true;
      break;
    }
    page.mRows.push_back({ it->first, it->second.mValue, it->second.mVersion });
  }
  return page;
}

std::uint64_t
TableStore::VersionOf(const std::string& aKey) const
{
  const auto it = mCells.find(aKey);
  return it == mCells.end() ? 0 : it->second.mVersion;
}

void
TableStore::Write(const RowWrite& aWrite)
{
  if (!aWrite.mValue) {
    mCells.erase(aWrite.mKey);
    return;
  }
  mCells[aWrite.mKey] = { *aWrite.mValue, mRevision };
}

} // namespace peridothoist::standin
