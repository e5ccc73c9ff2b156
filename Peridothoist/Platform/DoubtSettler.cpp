/// Determines whether a commit whose response was lost took effect.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/DoubtSettler.h>

#include <Peridothoist/Platform/ConfigRows.h>

namespace peridothoist {

DoubtSettler::DoubtSettler(Reactor& aReactor,
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

DoubtSettler::~DoubtSettler()
{
  *mIsAlive = false;
}

void
DoubtSettler::Resolve(const std::string& aOperationId, Callback aCallback)
{
  PendingCommit pending{ std::move(aCallback), Backoff(mSettings.mBackoff) };
  if (mPending.emplace(aOperationId, std::move(pending)).second) {
    ReadOperation(aOperationId);
  }
}

void
DoubtSettler::ReadOperation(const std::string& aOperationId)
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
DoubtSettler::OnOperationRead(const std::string& aOperationId,
                              const ScanResult& aResult)
{
  if (!aResult.mReached) {
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
DoubtSettler::Abandon(const std::string& aOperationId)
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
DoubtSettler::OnAbandonWritten(const std::string& aOperationId,
                               const TransactionResult& aResult)
{
  if (aResult.mStatus == TransactionEnd::Committed) {
    Finish(aOperationId, 0);
    return;
  }
  ScheduleRetry(aOperationId);
}

void
DoubtSettler::ScheduleRetry(const std::string& aOperationId)
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
DoubtSettler::Finish(const std::string& aOperationId, std::uint64_t aVersion)
{
  const auto it = mPending.find(aOperationId);
  PH_ASSERT(it != mPending.end());
  const Callback callback = std::move(it->second.mCallback);
  mPending.erase(it);
  callback(aVersion);
}

} // namespace peridothoist
