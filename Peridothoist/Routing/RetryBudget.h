/// Limits retries and hedges to a fraction of the new requests, so that they
/// don't amplify an outage.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// A token bucket that is filled by new requests and drained by retries and
/// hedges.
class RetryBudget
{
public:
  /// aBurst is the capacity of the bucket, which starts full.
  RetryBudget(double aRetryFraction, double aBurst)
    : mRetryFraction(aRetryFraction)
    , mBurst(aBurst)
    , mTokens(aBurst)
  {
  }

  void SetRetryFraction(double aRetryFraction)
  {
    mRetryFraction = aRetryFraction;
  }

  /// Called when a request is dispatched for the first time.
  void OnFirstDispatch()
  {
    mTokens =
      mTokens + mRetryFraction < mBurst ? mTokens + mRetryFraction : mBurst;
  }

  /// Takes one token for a retry. Returns false when the budget is exhausted.
  bool TryTakeRetry() { return TryTake(1.0); }

  /// Takes one token for a hedge. Returns false when less than half of the
  /// burst is left, since that is reserved for retries.
  bool TryTakeHedge() { return mTokens >= mBurst / 2 && TryTake(1.0); }

private:
  bool TryTake(double aTokens)
  {
    if (mTokens < aTokens) {
      return false;
    }
    mTokens -= aTokens;
    return true;
  }

  double mRetryFraction; ///< Tokens added per new request.
  double mBurst;
  double mTokens; ///< Invariant: 0 <= mTokens <= mBurst.
};

} // namespace peridothoist
