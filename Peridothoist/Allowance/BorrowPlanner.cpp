#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/BorrowPlanner.h>

#include <algorithm>

namespace peridothoist {

BorrowPlanner::BorrowPlanner(const Settings& aSettings,
                             const std::string& aSelf,
                             std::uint64_t aEpoch,
                             std::string aWorkspace,
                             const std::vector<std::string>& aLenders,
                             double aDemandRate)
  : mSettings(aSettings)
  , mSelf(aSelf)
  , mEpoch(aEpoch)
  , mWorkspace(std::move(aWorkspace))
  , mLendersLeft(aLenders.rbegin(), aLenders.rend())
  , mDemandRate(aDemandRate)
{
  mLendersLeft.erase(
    std::remove(mLendersLeft.begin(), mLendersLeft.end(), mSelf),
    mLendersLeft.end());
}

std::optional<ShareRequest>
BorrowPlanner::NextRequest(double aMissing,
                           double aTotalBurst,
                           std::string aTransferId,
                           double aHeldRate)
{
  if (mLendersLeft.empty() || mLendersTried == mSettings.mMaxLenders ||
      aMissing <= 0) {
    return std::nullopt;
  }
  mLastLender = mLendersLeft.back();
  mLendersLeft.pop_back();
  ++mLendersTried;
  ShareRequest request;
  request.mTransferId = std::move(aTransferId);
  request.mInstance = mSelf;
  request.mEpoch = mEpoch;
  request.mWorkspace = mWorkspace;
  request.mTokens = std::min(aMissing * mSettings.mBorrowFactor, aTotalBurst);
  request.mRate =
    std::max(mDemandRate * mSettings.mRateHeadroom - aHeldRate, 0.0);
  return request;
}

} // namespace peridothoist
