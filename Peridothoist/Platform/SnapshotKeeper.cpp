/// Writes snapshots and removes old change rows.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/SnapshotKeeper.h>

#include <Peridothoist/Platform/ConfigRows.h>
#include <Peridothoist/Shell/Log.h>

namespace peridothoist {

SnapshotKeeper::SnapshotKeeper(Platform& aPlatform, const Settings& aSettings)
  : mPlatform(aPlatform)
  , mSettings(aSettings)
  , mAlive(std::make_shared<bool>(true))
{
}

SnapshotKeeper::~SnapshotKeeper()
{
  *mAlive = false;
}

template<typename Result, typename Step>
std::function<void(const Result&)>
SnapshotKeeper::Guard(Step aStep)
{
  return [alive = mAlive, aStep](const Result& aResult) {
    if (*alive) {
      aStep(aResult);
    }
  };
}

void
SnapshotKeeper::OnCommitted(const Configuration& aConfiguration)
{
  const bool isDue =
    aConfiguration.mVersion >= mSnapshot + mSettings.mEvery && !mBusy;
  if (isDue) {
    mBusy = true;
    Store(aConfiguration);
  }
}

void
SnapshotKeeper::Store(const Configuration& aConfiguration)
{
  const std::uint64_t version = aConfiguration.mVersion;
  mPlatform.PutObject(ConfigSnapshotObject(version),
                      EncodeSnapshot(aConfiguration),
                      [this, alive = mAlive, version](bool aStored) {
                        if (!*alive) {
                          return;
                        }
                        aStored ? ReadHead(version) : Done();
                      });
}

void
SnapshotKeeper::ReadHead(std::uint64_t aVersion)
{
  mPlatform.ReadRow(kConfigHeadRow,
                    Guard<ScanResult>([this, aVersion](const auto& aResult) {
                      OnHead(aResult, aVersion);
                    }));
}

void
SnapshotKeeper::OnHead(const ScanResult& aResult, std::uint64_t aVersion)
{
  const auto head = aResult.mRows.empty()
                      ? std::nullopt
                      : DecodeHead(aResult.mRows.front().mValue, nullptr);
  if (!head || head->mVersion < aVersion) {
    Done();
    return;
  }
  if (head->mSnapshot + mSettings.mEvery > aVersion) {
    mSnapshot = std::max(mSnapshot, head->mSnapshot);
    Done();
    return;
  }
  // Rows up to the snapshot before this one go, but for the last few: who
  // reads them now still finds either the rows or a snapshot.
  mTrimBelow = head->mSnapshot > mSettings.mKeptChanges
                 ? head->mSnapshot - mSettings.mKeptChanges
                 : 0;
  TableTransaction transaction;
  transaction.mConditions = { { kConfigHeadRow,
                                aResult.mRows.front().mVersion } };
  transaction.mWrites = { { kConfigHeadRow,
                            EncodeHead({ head->mVersion, aVersion }) } };
  mPlatform.Commit(
    transaction,
    Guard<TransactionResult>([this, aVersion](const auto& aWritten) {
      if (aWritten.mEnd != TransactionEnd::Committed) {
        Done();
        return;
      }
      mSnapshot = aVersion;
      Log::Info("config_snapshot_stored").Field("version", aVersion);
      Trim();
    }));
}

void
SnapshotKeeper::Trim()
{
  if (mTrimBelow == 0) {
    Done();
    return;
  }
  mPlatform.Scan(
    kConfigChangesFrom,
    ConfigChangeRow(mTrimBelow),
    mSettings.mTrimRows,
    Guard<ScanResult>([this](const auto& aResult) { OnTrimRows(aResult); }));
}

void
SnapshotKeeper::OnTrimRows(const ScanResult& aResult)
{
  if (!aResult.mReached || aResult.mRows.empty()) {
    Done();
    return;
  }
  TableTransaction transaction;
  for (const TableRow& it : aResult.mRows) {
    transaction.mWrites.push_back({ it.mKey, std::nullopt });
    const auto record = DecodeChange(it.mValue, nullptr);
    if (record) {
      transaction.mWrites.push_back(
        { ConfigOperationRow(record->mChange.mOperationId), std::nullopt });
    }
  }
  mPlatform.Commit(
    transaction, Guard<TransactionResult>([this](const auto& aWritten) {
      aWritten.mEnd == TransactionEnd::Committed ? Trim() : Done();
    }));
}

} // namespace peridothoist
