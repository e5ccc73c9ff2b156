#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/BorrowPlanner.h>

#include <algorithm>

namespace peridothoist {

BorrowPlanner::BorrowPlanner(const Settings& aSettings,
                             const std::string& aSelf,
                             std::uint64_t aEpoch,
                             std::string aWorkspace,
                             const std::vector<std::string>& aLenders,
                             double aRate)
  : mSettings(aSettings)
  , mSelf(aSelf)
  , mEpoch(aEpoch)
  , mWorkspace(std::move(aWorkspace))
  , mLeft(aLenders.rbegin(), aLenders.rend())
  , mRate(aRate)
{
  mLeft.erase(std::remove(mLeft.begin(), mLeft.end(), mSelf), mLeft.end());
}

std::optional<BorrowAsk>
BorrowPlanner::Next(double aMissing,
                    double aWholeBurst,
                    std::string aTransferId,
                    double aHeldRate)
{
  if (mLeft.empty() || mAsked == mSettings.mMaxAsks || aMissing <= 0) {
    return std::nullopt;
  }
  mLastAsked = mLeft.back();
  mLeft.pop_back();
  ++mAsked;
  BorrowAsk ask;
  ask.mTransferId = std::move(aTransferId);
  ask.mInstance = mSelf;
  ask.mEpoch = mEpoch;
  ask.mWorkspace = mWorkspace;
  ask.mTokens = std::min(aMissing * mSettings.mAhead, aWholeBurst);
  ask.mRate = std::max(mRate * mSettings.mRateHeadroom - aHeldRate, 0.0);
  return ask;
}

} // namespace peridothoist
