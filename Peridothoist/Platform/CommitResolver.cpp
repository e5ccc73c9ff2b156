/// Determines whether a commit whose response was lost took effect.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/CommitResolver.h>

#include <Peridothoist/Platform/ConfigRows.h>

namespace peridothoist {

CommitResolver::CommitResolver(Reactor& aReactor,
                               Platform& aPlatform,
                               const Settings& aSettings,
                               std::uint64_t aSeed)
  : mReactor(aReactor)
  , mPlatform(aPlatform)
  , mSettings(aSettings)
  , mRandom(aSeed)
  , mIsAlive(std::make_shared<bool>(true))
{
}

CommitResolver::~CommitResolver()
{
  *mIsAlive = false;
}

void
CommitResolver::Resolve(const std::string& aOperationId, Callback aCallback)
{
  PendingCommit pending{ std::move(aCallback), Backoff(mSettings.mBackoff) };
  if (mPending.emplace(aOperationId, std::move(pending)).second) {
    ReadOperation(aOperationId);
  }
}

void
CommitResolver::ReadOperation(const std::string& aOperationId)
{
  mPlatform.ReadRow(
    ConfigOperationKey(aOperationId),
    [this, isAlive = mIsAlive, aOperationId](const ScanResult& aResult) {
      if (*isAlive) {
        OnOperationRead(aOperationId, aResult);
      }
    });
}

void
CommitResolver::OnOperationRead(const std::string& aOperationId,
                                const ScanResult& aResult)
{
  if (!aResult.mIsSuccessful) {
    ScheduleRetry(aOperationId);
    return;
  }
  if (aResult.mRows.empty()) {
    Abandon(aOperationId);
    return;
  }
  const auto version = DecodeOperationVersion(aResult.mRows.front().mValue);
  if (!version) {
    ScheduleRetry(aOperationId);
    return;
  }
  Finish(aOperationId, *version);
}

void
CommitResolver::Abandon(const std::string& aOperationId)
{
  const std::string row = ConfigOperationKey(aOperationId);
  const TableTransaction transaction{ { { row, 0 } },
                                      { { row, EncodeOperationVersion(0) } } };
  mPlatform.Commit(
    transaction,
    [this, isAlive = mIsAlive, aOperationId](const TransactionResult& aResult) {
      if (*isAlive) {
        OnAbandonWritten(aOperationId, aResult);
      }
    });
}

void
CommitResolver::OnAbandonWritten(const std::string& aOperationId,
                                 const TransactionResult& aResult)
{
  if (aResult.mStatus == TransactionStatus::Committed) {
    Finish(aOperationId, 0);
    return;
  }
  ScheduleRetry(aOperationId);
}

void
CommitResolver::ScheduleRetry(const std::string& aOperationId)
{
  const auto it = mPending.find(aOperationId);
  PH_ASSERT(it != mPending.end());
  mReactor.Schedule(it->second.mBackoff.NextDelay(mRandom),
                    [this, isAlive = mIsAlive, aOperationId] {
                      if (*isAlive) {
                        ReadOperation(aOperationId);
                      }
                    });
}

void
CommitResolver::Finish(const std::string& aOperationId, std::uint64_t aVersion)
{
  const auto it = mPending.find(aOperationId);
  PH_ASSERT(it != mPending.end());
  const Callback callback = std::move(it->second.mCallback);
  mPending.erase(it);
  callback(aVersion);
}

} // namespace peridothoist
