#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/ShareAccount.h>

#include <algorithm>
#include <cmath>

namespace peridothoist {

namespace {

/// Time constant of the exponentially decaying demand.
constexpr double kDemandWindowSeconds = 5.0;
/// Rate that is kept, as a multiple of the measured demand.
constexpr double kDemandHeadroom = 1.25;
/// Balance that is kept, in seconds of the demand.
constexpr double kBalanceKeptSeconds = 1.0;
/// Burst share that is kept free for accrual, in seconds of the rate.
constexpr double kAccrualHeadroomSeconds = 1.0;
/// Smallest amount to return; less isn't worth a message.
constexpr double kMinReturnShare = 0.01;

double
SecondsOf(Duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

} // namespace

ShareAccount::ShareAccount(const TotalAllowance& aTotal)
  : mTotal(aTotal)
{
}

void
ShareAccount::AccrueTo(Duration aUntil)
{
  const bool isRaisePending = mBurstRaise > 0 || mRateRaise > 0;
  if (isRaisePending && mRaiseAt <= aUntil) {
    Accrue(mRaiseAt);
    mBurstShare += mBurstRaise;
    mRateShare += mRateRaise;
    CancelRaise();
  }
  Accrue(aUntil);
}

void
ShareAccount::SetTotal(const TotalAllowance& aTotal)
{
  mTotal = aTotal;
  CapBalance();
}

void
ShareAccount::EnterPlan(std::uint64_t aEpoch,
                        double aHomeShare,
                        Duration aReceivedAt,
                        Duration aRaiseDelay)
{
  if (aEpoch != mEpoch + 1) {
    mBurstShare = 0;
    mRateShare = 0;
  }
  mBurstShare = std::min(mBurstShare, aHomeShare);
  mRateShare = std::min(mRateShare, aHomeShare);
  CapBalance();
  mEpoch = aEpoch;
  mHomeShare = aHomeShare;
  mBurstRaise = aHomeShare - mBurstShare;
  mRateRaise = aHomeShare - mRateShare;
  mRaiseAt = aReceivedAt + aRaiseDelay;
  mNetByInstance.clear();
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
  CapBalance();
}

void
ShareAccount::AddReceived(const ShareAmount& aAmount, const std::string& aFrom)
{
  mBurstShare += aAmount.mBurstShare;
  mRateShare += aAmount.mRateShare;
  mBalance += aAmount.mTokens;
  CapBalance();
  NetTransfer& net = mNetByInstance[aFrom];
  net.mBurstShare += aAmount.mBurstShare;
  net.mRateShare += aAmount.mRateShare;
}

ShareAmount
ShareAccount::Subtract(const ShareAmount& aAmount, const std::string& aTo)
{
  ShareAmount taken;
  taken.mTokens = std::clamp(aAmount.mTokens, 0.0, std::max(mBalance, 0.0));
  taken.mBurstShare = std::clamp(aAmount.mBurstShare, 0.0, mBurstShare);
  taken.mRateShare = std::clamp(aAmount.mRateShare, 0.0, mRateShare);
  mBalance -= taken.mTokens;
  mBurstShare -= taken.mBurstShare;
  mRateShare -= taken.mRateShare;
  CapBalance();
  NetTransfer& net = mNetByInstance[aTo];
  net.mBurstShare -= taken.mBurstShare;
  net.mRateShare -= taken.mRateShare;
  return taken;
}

ShareAmount
ShareAccount::ComputeLendable(double aTokens, double aRate, Duration aAt) const
{
  ShareAmount amount;
  if (mTotal.mBurst > 0) {
    amount.mTokens = std::clamp(aTokens, 0.0, std::max(mBalance, 0.0));
    amount.mBurstShare = std::min(amount.mTokens / mTotal.mBurst, mBurstShare);
  }
  if (mTotal.mRate > 0) {
    const double own = Demand(aAt) / mTotal.mRate;
    const double spare = std::max(mRateShare - own, 0.0);
    amount.mRateShare = std::clamp(aRate / mTotal.mRate, 0.0, spare);
  }
  return amount;
}

ShareAmount
ShareAccount::EntireShare() const
{
  return { std::max(mBalance, 0.0), mBurstShare, mRateShare };
}

std::vector<ShareAccount::ReturnAmount>
ShareAccount::ComputeReturns(Duration aAt) const
{
  if (mTotal.mRate <= 0 || mTotal.mBurst <= 0) {
    return {};
  }
  // Shares that the plan gives to this entry are never returned; a pending
  // raise isn't held yet.
  const double rateKept = kDemandHeadroom * Demand(aAt) / mTotal.mRate;
  double rateLeft = mRateShare - std::max(rateKept, mHomeShare - mRateRaise);
  const double tokensKept =
    std::min(std::max(mBalance, 0.0), kBalanceKeptSeconds * Demand(aAt));
  const double headroomKept = kAccrualHeadroomSeconds * Rate();
  const double burstKept = (tokensKept + headroomKept) / mTotal.mBurst;
  double burstLeft =
    mBurstShare - std::max(burstKept, mHomeShare - mBurstRaise);
  double tokensLeft = std::max(mBalance, 0.0) - tokensKept;

  std::vector<ReturnAmount> returns;
  for (const auto& [lender, net] : mNetByInstance) {
    ShareAmount amount;
    amount.mRateShare = std::max(std::min(net.mRateShare, rateLeft), 0.0);
    amount.mBurstShare = std::max(std::min(net.mBurstShare, burstLeft), 0.0);
    if (amount.mRateShare + amount.mBurstShare < kMinReturnShare) {
      continue;
    }
    amount.mTokens = std::min(amount.mBurstShare * mTotal.mBurst, tokensLeft);
    tokensLeft -= amount.mTokens;
    rateLeft -= amount.mRateShare;
    burstLeft -= amount.mBurstShare;
    returns.push_back({ lender, amount });
  }
  return returns;
}

std::vector<std::string>
ShareAccount::Borrowers() const
{
  std::vector<std::string> borrowers;
  for (const auto& [instance, net] : mNetByInstance) {
    if (net.mBurstShare < 0 || net.mRateShare < 0) {
      borrowers.push_back(instance);
    }
  }
  const auto borrowedMore = [this](const std::string& aLeft,
                                   const std::string& aRight) {
    return mNetByInstance.at(aLeft).mBurstShare <
           mNetByInstance.at(aRight).mBurstShare;
  };
  std::stable_sort(borrowers.begin(), borrowers.end(), borrowedMore);
  return borrowers;
}

void
ShareAccount::CancelRaise()
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
  CapBalance();
}

void
ShareAccount::CapBalance()
{
  mBalance = std::min(mBalance, BurstCap());
}

} // namespace peridothoist
