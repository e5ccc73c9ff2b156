/// One entry's share of one workspace's allowance: a fraction of the total
/// rate, a fraction of the total burst, and a balance. All times are on the
/// entry's AccrualClock.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// A workspace's rate and burst over all entries together.
struct TotalAllowance
{
  double mRate = 0;  ///< Tokens per second.
  double mBurst = 0; ///< Tokens.

  bool operator==(const TotalAllowance& aOther) const
  {
    return mRate == aOther.mRate && mBurst == aOther.mBurst;
  }
};

/// An amount of a workspace's allowance that moves between entries.
struct ShareAmount
{
  double mTokens = 0;     ///< Balance.
  double mBurstShare = 0; ///< Fraction of the total burst, 0 to 1.
  double mRateShare = 0;  ///< Fraction of the total rate, 0 to 1.
};

/// Current state of an account, for status pages and tests.
struct ShareStatus
{
  double mBalance = 0; ///< Tokens; negative after a charge that exceeded it.
  double mBurstShare = 0;
  double mRateShare = 0;
};

/// Holds an entry's share of one workspace's allowance and updates it by
/// elapsed time, share plans and transfers.
class ShareAccount
{
public:
  explicit ShareAccount(const TotalAllowance& aTotal);

  /// Accrues tokens up to aUntil, and raises the shares if that is due by
  /// then.
  void AccrueTo(Duration aUntil);

  /// Called when the workspace's total changes. Accrue up to now first.
  void SetTotal(const TotalAllowance& aTotal);

  /// Enters a plan that was received at aReceivedAt and gives this entry
  /// aHomeShare of rate and burst. Larger shares are cut at once; smaller ones
  /// are raised aRaiseDelay later. The shares start from 0 when aEpoch doesn't
  /// directly follow the account's own epoch.
  void EnterPlan(std::uint64_t aEpoch,
                 double aHomeShare,
                 Duration aReceivedAt,
                 Duration aRaiseDelay);

  /// Takes tokens from the balance, which may become negative.
  void Spend(double aTokens, Duration aAt);

  /// Adds tokens back, up to the account's share of the burst.
  void Refund(double aTokens);

  /// Adds an amount that was received from another entry.
  void AddReceived(const ShareAmount& aAmount, const std::string& aFrom);

  /// Subtracts an amount that goes to another entry, as far as the account
  /// holds it. Returns what was subtracted.
  ShareAmount Subtract(const ShareAmount& aAmount, const std::string& aTo);

  /// Returns how much of the requested amount can be lent: tokens up to the
  /// balance, and rate beyond the account's own demand.
  ShareAmount ComputeLendable(double aTokens, double aRate, Duration aAt) const;

  /// Returns everything that is held, without a raise that is not due yet.
  ShareAmount EntireShare() const;

  /// An amount to return to one lender.
  struct ReturnAmount
  {
    std::string mTo;
    ShareAmount mAmount;
  };

  /// Returns the borrowed amounts that aren't needed: rate and balance far
  /// above the demand here, and burst that holds no balance now or soon. A
  /// burst share that stays empty here limits what the lender can accrue.
  std::vector<ReturnAmount> ComputeReturns(Duration aAt) const;

  /// Returns the entries that this entry lent to in this epoch, the largest
  /// loan first.
  std::vector<std::string> Borrowers() const;

  /// Cancels a pending raise: a leaving entry's shares don't grow any more.
  void CancelRaise();

  /// Returns the recent spending here, tokens per second.
  double Demand(Duration aAt) const;

  ShareStatus Status() const { return { mBalance, mBurstShare, mRateShare }; }
  const TotalAllowance& Total() const { return mTotal; }
  std::uint64_t Epoch() const { return mEpoch; }
  double Balance() const { return mBalance; }
  double BurstCap() const { return mBurstShare * mTotal.mBurst; }
  double Rate() const { return mRateShare * mTotal.mRate; }

private:
  void Accrue(Duration aUntil);
  void CapBalance();

  TotalAllowance mTotal;
  std::uint64_t mEpoch = 0; ///< Epoch of the plan that the shares belong to.

  // Invariants: shares are 0 or more; mBalance is at most BurstCap().
  double mBalance = 0;
  double mBurstShare = 0;
  double mRateShare = 0;
  Duration mAccruedAt{ 0 }; ///< Never decreases.

  // The entry's share by the plan, and the raise that is still pending.
  double mHomeShare = 0;
  double mBurstRaise = 0;
  double mRateRaise = 0;
  Duration mRaiseAt{ 0 };

  // Demand, and what was received from each other entry in this epoch, net of
  // what was sent to it. Negative amounts were lent.
  double mDemand = 0; ///< Tokens per second, as of mDemandAt.
  Duration mDemandAt{ 0 };
  struct NetTransfer
  {
    double mBurstShare = 0;
    double mRateShare = 0;
  };
  std::map<std::string, NetTransfer> mNetByInstance;
};

} // namespace peridothoist
