/// One entry's share of one workspace's allowance: two parts of the whole and
/// a balance. EntireShare times are on the entry's AccrualClock.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// A workspace's rate and burst over all entries together.
struct TotalAllowance
{
  double mRate = 0;  ///< Tokens a second.
  double mBurst = 0; ///< Tokens.

  bool operator==(const TotalAllowance& aOther) const
  {
    return mRate == aOther.mRate && mBurst == aOther.mBurst;
  }
};

/// A part of a workspace's allowance, which moves between entries.
struct ShareAmount
{
  double mTokens = 0;     ///< Balance.
  double mBurstShare = 0; ///< Part of the whole burst, 0 to 1.
  double mRateShare = 0;  ///< Part of the whole rate, 0 to 1.
};

/// An account as of now, for status and tests.
struct ShareStatus
{
  double mBalance = 0; ///< Tokens; below 0 after a charge beyond it.
  double mBurstShare = 0;
  double mRateShare = 0;
};

/// What an account holds, and how it follows time, plans and transfers.
class ShareAccount
{
public:
  explicit ShareAccount(const TotalAllowance& aTotal);

  /// Accrues up to aUntil and carries out a raise that is due by then.
  void AccrueTo(Duration aUntil);

  /// The whole changed; accrue up to now first.
  void SetTotal(const TotalAllowance& aTotal);

  /// Enters a plan that was heard at aReceivedAt and gives this entry aHomeShare
  /// of rate and burst. Cuts now, isRaisePending aRaiseWait later. Starts from nothing
  /// when aEpoch doesn't follow the account's own.
  void EnterPlan(std::uint64_t aEpoch,
                 double aHomeShare,
                 Duration aReceivedAt,
                 Duration aRaiseWait);

  /// Takes tokens from the balance, which may go below 0.
  void Spend(double aTokens, Duration aAt);

  /// Puts tokens back, up to the account's part of the burst.
  void Refund(double aTokens);

  /// Adds what came from another entry.
  void AddReceived(const ShareAmount& aAmount, const std::string& aFrom);

  /// Subtracts what goes to another entry, as far as it is held, and returns
  /// what was subtracted.
  ShareAmount Subtract(const ShareAmount& aAmount, const std::string& aTo);

  /// What can be given of a wish: tokens as far as the balance goes, rate as
  /// far as the account's own demand leaves it.
  ShareAmount ComputeLendable(double aTokens, double aRate, Duration aAt) const;

  /// EntireShare that is held, without what a later raise brings.
  ShareAmount EntireShare() const;

  /// One lender to give a part back to.
  struct ReturnAmount
  {
    std::string mTo;
    ShareAmount mAmount;
  };

  /// What was borrowed and isn't needed: rate and balance far above the
  /// demand here, and burst that neither holds balance nor will soon. Burst
  /// that lies empty here is room that the lender's rate lacks.
  std::vector<ReturnAmount> ComputeReturns(Duration aAt) const;

  /// Whom this entry lent to in this epoch, the largest part first.
  std::vector<std::string> Borrowers() const;

  /// A leaving entry gets no more.
  void CancelRaise();

  /// Tokens a second spent here lately.
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
  std::uint64_t mEpoch = 0; ///< Plan that the shares belong to.

  // Invariants: shares are 0 or more; mBalance is at most BurstCap().
  double mBalance = 0;
  double mBurstShare = 0;
  double mRateShare = 0;
  Duration mAccruedAt{ 0 }; ///< Never moves back.

  // Of the plan: what this entry is entitled to, and what of it comes later.
  double mHomeShare = 0;
  double mBurstRaise = 0;
  double mRateRaise = 0;
  Duration mRaiseAt{ 0 };

  // Use, and what came from whom (below 0: was lent to it), in this epoch.
  double mDemand = 0; ///< Tokens a second, as of mDemandAt.
  Duration mDemandAt{ 0 };
  struct NetTransfer
  {
    double mBurstShare = 0;
    double mRateShare = 0;
  };
  std::map<std::string, NetTransfer> mNetByInstance;
};

} // namespace peridothoist
