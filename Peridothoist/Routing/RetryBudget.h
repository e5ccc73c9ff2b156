/// Bounds retries and hedges to a share of fresh requests, so that an outage
/// is not amplified.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// A token bucket that fresh requests fill.
class RetryBudget
{
public:
  /// aBurst is what may be saved up, and what it starts with.
  RetryBudget(double aShare, double aBurst)
    : mShare(aShare)
    , mBurst(aBurst)
    , mTokens(aBurst)
  {
  }

  void SetShare(double aShare) { mShare = aShare; }

  /// A fresh request was dispatched for the first time.
  void OnFresh()
  {
    mTokens = mTokens + mShare < mBurst ? mTokens + mShare : mBurst;
  }

  /// Takes one retry; false when the budget is spent.
  bool TakeRetry() { return Take(1.0); }

  /// Takes one hedge. Half of the burst is left to retries.
  bool TakeHedge() { return mTokens >= mBurst / 2 && Take(1.0); }

private:
  bool Take(double aTokens)
  {
    if (mTokens < aTokens) {
      return false;
    }
    mTokens -= aTokens;
    return true;
  }

  double mShare; ///< Retries for each fresh request.
  double mBurst;
  double mTokens; ///< Invariant: 0 <= mTokens <= mBurst.
};

} // namespace peridothoist
