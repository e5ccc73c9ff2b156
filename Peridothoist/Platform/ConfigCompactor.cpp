/// Writes snapshots and deletes old change rows.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/ConfigCompactor.h>

#include <Peridothoist/Platform/ConfigRows.h>
#include <Peridothoist/Shell/Log.h>

namespace peridothoist {

ConfigCompactor::ConfigCompactor(Platform& aPlatform, const Settings& aSettings)
  : mPlatform(aPlatform)
  , mSettings(aSettings)
  , mIsAlive(std::make_shared<bool>(true))
{
}

ConfigCompactor::~ConfigCompactor()
{
  *mIsAlive = false;
}

template<typename Result, typename Function>
std::function<void(const Result&)>
ConfigCompactor::Guard(Function aFunction)
{
  return [isAlive = mIsAlive, aFunction](const Result& aResult) {
    if (*isAlive) {
      aFunction(aResult);
    }
  };
}

void
ConfigCompactor::OnCommitted(const Configuration& aConfiguration)
{
  const bool isDue = aConfiguration.mVersion >=
                       mLastSnapshotVersion + mSettings.mChangesPerSnapshot &&
                     !mIsRunning;
  if (isDue) {
    mIsRunning = true;
    StoreSnapshot(aConfiguration);
  }
}

void
ConfigCompactor::StoreSnapshot(const Configuration& aConfiguration)
{
  const std::uint64_t version = aConfiguration.mVersion;
  mPlatform.PutObject(ConfigSnapshotName(version),
                      EncodeSnapshot(aConfiguration),
                      [this, isAlive = mIsAlive, version](bool aStored) {
                        if (!*isAlive) {
                          return;
                        }
                        aStored ? ReadHead(version) : EndRun();
                      });
}

void
ConfigCompactor::ReadHead(std::uint64_t aVersion)
{
  mPlatform.ReadRow(kConfigHeadKey,
                    Guard<ScanResult>([this, aVersion](const auto& aResult) {
                      OnHeadRead(aResult, aVersion);
                    }));
}

void
ConfigCompactor::OnHeadRead(const ScanResult& aResult, std::uint64_t aVersion)
{
  const auto head = aResult.mRows.empty()
                      ? std::nullopt
                      : DecodeHead(aResult.mRows.front().mValue, nullptr);
  if (!head || head->mVersion < aVersion) {
    EndRun();
    return;
  }
  if (head->mSnapshot + mSettings.mChangesPerSnapshot > aVersion) {
    mLastSnapshotVersion = std::max(mLastSnapshotVersion, head->mSnapshot);
    EndRun();
    return;
  }
  // Deletes the rows up to the previous snapshot, except the most recent ones,
  // so that a concurrent reader finds either the rows or a snapshot.
  mFirstKeptVersion = head->mSnapshot > mSettings.mRetainedChanges
                        ? head->mSnapshot - mSettings.mRetainedChanges
                        : 0;
  TableTransaction transaction;
  transaction.mConditions = { { kConfigHeadKey,
                                aResult.mRows.front().mVersion } };
  transaction.mWrites = { { kConfigHeadKey,
                            EncodeHead({ head->mVersion, aVersion }) } };
  mPlatform.Commit(
    transaction,
    Guard<TransactionResult>([this, aVersion](const auto& aWritten) {
      if (aWritten.mStatus != TransactionStatus::Committed) {
        EndRun();
        return;
      }
      mLastSnapshotVersion = aVersion;
      Log::Info("config_snapshot_stored").Field("version", aVersion);
      DeleteOldChanges();
    }));
}

void
ConfigCompactor::DeleteOldChanges()
{
  if (mFirstKeptVersion == 0) {
    EndRun();
    return;
  }
  mPlatform.Scan(kConfigChangesBegin,
                 ConfigChangeKey(mFirstKeptVersion),
                 mSettings.mDeleteBatchRows,
                 Guard<ScanResult>(
                   [this](const auto& aResult) { OnOldChangesRead(aResult); }));
}

void
ConfigCompactor::OnOldChangesRead(const ScanResult& aResult)
{
  if (!aResult.mIsSuccessful || aResult.mRows.empty()) {
    EndRun();
    return;
  }
  TableTransaction transaction;
  for (const TableRow& it : aResult.mRows) {
    transaction.mWrites.push_back({ it.mKey, std::nullopt });
    const auto record = DecodeChange(it.mValue, nullptr);
    if (record) {
      transaction.mWrites.push_back(
        { ConfigOperationKey(record->mChange.mOperationId), std::nullopt });
    }
  }
  mPlatform.Commit(
    transaction, Guard<TransactionResult>([this](const auto& aWritten) {
      aWritten.mStatus == TransactionStatus::Committed ? DeleteOldChanges()
                                                       : EndRun();
    }));
}

} // namespace peridothoist
