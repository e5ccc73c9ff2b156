/// Limits operations per second, as the platform's services do, and counts
/// them.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <algorithm>

namespace peridothoist::standin {

/// Token bucket with a capacity of one second's operations.
class OperationRateLimiter
{
public:
  explicit OperationRateLimiter(double aPerSecond)
    : mPerSecond(aPerSecond)
    , mTokens(aPerSecond)
  {
  }

  /// Changes the rate and refills the bucket to the new capacity.
  void SetRate(double aPerSecond)
  {
    mPerSecond = aPerSecond;
    mTokens = aPerSecond;
  }

  /// Takes one token. Returns false if the rate is exceeded.
  bool TryTake(TimePoint aNow)
  {
    if (mLastTake) {
      const std::chrono::duration<double> elapsed = aNow - *mLastTake;
      mTokens = std::min(mPerSecond, mTokens + elapsed.count() * mPerSecond);
    }
    mLastTake = aNow;
    if (mTokens < 1.0) {
      ++mRejectedCount;
      return false;
    }
    mTokens -= 1.0;
    ++mAcceptedCount;
    return true;
  }

  std::uint64_t AcceptedCount() const { return mAcceptedCount; }
  std::uint64_t RejectedCount() const { return mRejectedCount; }

private:
  double mPerSecond;
  double mTokens; ///< Invariant: 0 <= mTokens <= mPerSecond.
  std::optional<TimePoint> mLastTake;
  std::uint64_t mAcceptedCount = 0;
  std::uint64_t mRejectedCount = 0;
};

} // namespace peridothoist::standin
