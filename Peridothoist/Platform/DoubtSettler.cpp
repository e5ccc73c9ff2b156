/// Finds out what became of a commit whose answer was lost.
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
  , mAlive(std::make_shared<bool>(true))
{
}

DoubtSettler::~DoubtSettler()
{
  *mAlive = false;
}

void
DoubtSettler::Settle(const std::string& aOperationId, Done aDone)
{
  Entry entry{ std::move(aDone), Backoff(mSettings.mBackoff) };
  if (mOpen.emplace(aOperationId, std::move(entry)).second) {
    Read(aOperationId);
  }
}

void
DoubtSettler::Read(const std::string& aOperationId)
{
  mPlatform.ReadRow(
    ConfigOperationRow(aOperationId),
    [this, alive = mAlive, aOperationId](const ScanResult& aResult) {
      if (*alive) {
        OnRead(aOperationId, aResult);
      }
    });
}

void
DoubtSettler::OnRead(const std::string& aOperationId, const ScanResult& aResult)
{
  if (!aResult.mReached) {
    TryAgain(aOperationId);
    return;
  }
  if (aResult.mRows.empty()) {
    GiveUp(aOperationId);
    return;
  }
  const auto version = DecodeOperation(aResult.mRows.front().mValue);
  if (!version) {
    TryAgain(aOperationId);
    return;
  }
  Finish(aOperationId, *version);
}

void
DoubtSettler::GiveUp(const std::string& aOperationId)
{
  const std::string row = ConfigOperationRow(aOperationId);
  const TableTransaction transaction{ { { row, 0 } },
                                      { { row, EncodeOperation(0) } } };
  mPlatform.Commit(
    transaction,
    [this, alive = mAlive, aOperationId](const TransactionResult& aResult) {
      if (*alive) {
        OnGivenUp(aOperationId, aResult);
      }
    });
}

void
DoubtSettler::OnGivenUp(const std::string& aOperationId,
                        const TransactionResult& aResult)
{
  if (aResult.mEnd == TransactionEnd::Committed) {
    Finish(aOperationId, 0);
    return;
  }
  TryAgain(aOperationId);
}

void
DoubtSettler::TryAgain(const std::string& aOperationId)
{
  const auto it = mOpen.find(aOperationId);
  PH_ASSERT(it != mOpen.end());
  mReactor.Schedule(it->second.mBackoff.Next(mRandom),
                    [this, alive = mAlive, aOperationId] {
                      if (*alive) {
                        Read(aOperationId);
                      }
                    });
}

void
DoubtSettler::Finish(const std::string& aOperationId, std::uint64_t aVersion)
{
  const auto it = mOpen.find(aOperationId);
  PH_ASSERT(it != mOpen.end());
  const Done done = std::move(it->second.mDone);
  mOpen.erase(it);
  done(aVersion);
}

} // namespace peridothoist
