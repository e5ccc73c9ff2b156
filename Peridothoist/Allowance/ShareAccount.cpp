#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/ShareAccount.h>

#include <algorithm>
#include <cmath>

namespace peridothoist {

namespace {

constexpr double kDemandWindowSeconds = 5.0;
constexpr double kDemandHeadroom = 1.25;   ///< Kept above the measured demand.
constexpr double kKeptSeconds = 1.0;       ///< Of demand, kept as balance.
constexpr double kRoomSeconds = 1.0;       ///< Of rate, kept as room to accrue.
constexpr double kLeastReturnShare = 0.01; ///< Less isn't worth a message.

double
SecondsOf(Duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

} // namespace

ShareAccount::ShareAccount(const WholeAllowance& aWhole)
  : mWhole(aWhole)
{
}

void
ShareAccount::AccrueTo(Duration aUntil)
{
  const bool raises = mBurstRaise > 0 || mRateRaise > 0;
  if (raises && mRaiseAt <= aUntil) {
    Accrue(mRaiseAt);
    mBurstShare += mBurstRaise;
    mRateShare += mRateRaise;
    DropRaise();
  }
  Accrue(aUntil);
}

void
ShareAccount::SetWhole(const WholeAllowance& aWhole)
{
  mWhole = aWhole;
  CutBalance();
}

void
ShareAccount::EnterPlan(std::uint64_t aEpoch,
                        double aHomeShare,
                        Duration aHeardAt,
                        Duration aRaiseWait)
{
  if (aEpoch != mEpoch + 1) {
    mBurstShare = 0;
    mRateShare = 0;
  }
  mBurstShare = std::min(mBurstShare, aHomeShare);
  mRateShare = std::min(mRateShare, aHomeShare);
  CutBalance();
  mEpoch = aEpoch;
  mHomeShare = aHomeShare;
  mBurstRaise = aHomeShare - mBurstShare;
  mRateRaise = aHomeShare - mRateShare;
  mRaiseAt = aHeardAt + aRaiseWait;
  mNetFrom.clear();
}

void
ShareAccount::Spend(double aTokens, Duration aAt)
{
  mBalance -= aTokens;
  mDemand = Demand(aAt) + aTokens / kDemandWindowSeconds;
  mDemandAt = aAt;
}

void
ShareAccount::Refund(double aTokens)
{
  mBalance += aTokens;
  CutBalance();
}

void
ShareAccount::Add(const SharePart& aPart, const std::string& aFrom)
{
  mBurstShare += aPart.mBurstShare;
  mRateShare += aPart.mRateShare;
  mBalance += aPart.mTokens;
  CutBalance();
  Net& net = mNetFrom[aFrom];
  net.mBurstShare += aPart.mBurstShare;
  net.mRateShare += aPart.mRateShare;
}

SharePart
ShareAccount::Subtract(const SharePart& aPart, const std::string& aTo)
{
  SharePart taken;
  taken.mTokens = std::clamp(aPart.mTokens, 0.0, std::max(mBalance, 0.0));
  taken.mBurstShare = std::clamp(aPart.mBurstShare, 0.0, mBurstShare);
  taken.mRateShare = std::clamp(aPart.mRateShare, 0.0, mRateShare);
  mBalance -= taken.mTokens;
  mBurstShare -= taken.mBurstShare;
  mRateShare -= taken.mRateShare;
  CutBalance();
  Net& net = mNetFrom[aTo];
  net.mBurstShare -= taken.mBurstShare;
  net.mRateShare -= taken.mRateShare;
  return taken;
}

SharePart
ShareAccount::Spare(double aTokens, double aRate, Duration aAt) const
{
  SharePart part;
  if (mWhole.mBurst > 0) {
    part.mTokens = std::clamp(aTokens, 0.0, std::max(mBalance, 0.0));
    part.mBurstShare = std::min(part.mTokens / mWhole.mBurst, mBurstShare);
  }
  if (mWhole.mRate > 0) {
    const double own = Demand(aAt) / mWhole.mRate;
    const double spare = std::max(mRateShare - own, 0.0);
    part.mRateShare = std::clamp(aRate / mWhole.mRate, 0.0, spare);
  }
  return part;
}

SharePart
ShareAccount::All() const
{
  return { std::max(mBalance, 0.0), mBurstShare, mRateShare };
}

std::vector<ShareAccount::Return>
ShareAccount::Returns(Duration aAt) const
{
  if (mWhole.mRate <= 0 || mWhole.mBurst <= 0) {
    return {};
  }
  // Never below what the plan gives, as far as that is here already.
  const double rateKept = kDemandHeadroom * Demand(aAt) / mWhole.mRate;
  double rateLeft = mRateShare - std::max(rateKept, mHomeShare - mRateRaise);
  const double tokensKept =
    std::min(std::max(mBalance, 0.0), kKeptSeconds * Demand(aAt));
  const double roomKept = kRoomSeconds * Rate();
  const double burstKept = (tokensKept + roomKept) / mWhole.mBurst;
  double burstLeft =
    mBurstShare - std::max(burstKept, mHomeShare - mBurstRaise);
  double tokensLeft = std::max(mBalance, 0.0) - tokensKept;

  std::vector<Return> returns;
  for (const auto& [lender, net] : mNetFrom) {
    SharePart part;
    part.mRateShare = std::max(std::min(net.mRateShare, rateLeft), 0.0);
    part.mBurstShare = std::max(std::min(net.mBurstShare, burstLeft), 0.0);
    if (part.mRateShare + part.mBurstShare < kLeastReturnShare) {
      continue;
    }
    part.mTokens = std::min(part.mBurstShare * mWhole.mBurst, tokensLeft);
    tokensLeft -= part.mTokens;
    rateLeft -= part.mRateShare;
    burstLeft -= part.mBurstShare;
    returns.push_back({ lender, part });
  }
  return returns;
}

std::vector<std::string>
ShareAccount::Borrowers() const
{
  std::vector<std::string> borrowers;
  for (const auto& [instance, net] : mNetFrom) {
    if (net.mBurstShare < 0 || net.mRateShare < 0) {
      borrowers.push_back(instance);
    }
  }
  const auto owesMore = [this](const std::string& aLeft,
                               const std::string& aRight) {
    return mNetFrom.at(aLeft).mBurstShare < mNetFrom.at(aRight).mBurstShare;
  };
  std::stable_sort(borrowers.begin(), borrowers.end(), owesMore);
  return borrowers;
}

void
ShareAccount::DropRaise()
{
  mBurstRaise = 0;
  mRateRaise = 0;
}

double
ShareAccount::Demand(Duration aAt) const
{
  const double age = SecondsOf(std::max(aAt - mDemandAt, Duration{ 0 }));
  return mDemand * std::exp(-age / kDemandWindowSeconds);
}

void
ShareAccount::Accrue(Duration aUntil)
{
  if (aUntil <= mAccruedAt) {
    return;
  }
  mBalance += Rate() * SecondsOf(aUntil - mAccruedAt);
  mAccruedAt = aUntil;
  CutBalance();
}

void
ShareAccount::CutBalance()
{
  mBalance = std::min(mBalance, BurstCap());
}

} // namespace peridothoist
