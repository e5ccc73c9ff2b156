/// Limits and counts operations a second, as the platform's services do.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <algorithm>

namespace peridothoist::standin {

/// A token bucket that holds at most one second's worth.
class RateMeter
{
public:
  explicit RateMeter(double aPerSecond)
    : mPerSecond(aPerSecond)
    , mTokens(aPerSecond)
  {
  }

  /// Changes the rate; what was saved up is lost.
  void SetRate(double aPerSecond)
  {
    mPerSecond = aPerSecond;
    mTokens = aPerSecond;
  }

  /// Takes one operation, or returns false when it is over the rate.
  bool Take(TimePoint aNow)
  {
    if (mLast) {
      const std::chrono::duration<double> gap = aNow - *mLast;
      mTokens = std::min(mPerSecond, mTokens + gap.count() * mPerSecond);
    }
    mLast = aNow;
    if (mTokens < 1.0) {
      ++mRefused;
      return false;
    }
    mTokens -= 1.0;
    ++mTaken;
    return true;
  }

  std::uint64_t Taken() const { return mTaken; }
  std::uint64_t Refused() const { return mRefused; }

private:
  double mPerSecond;
  double mTokens; ///< Invariant: 0 <= mTokens <= mPerSecond.
  std::optional<TimePoint> mLast;
  std::uint64_t mTaken = 0;
  std::uint64_t mRefused = 0;
};

} // namespace peridothoist::standin
