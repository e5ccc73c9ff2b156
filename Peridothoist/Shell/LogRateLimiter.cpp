/// A rate limiter for log lines.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/LogRateLimiter.h>

#include <algorithm>

namespace peridothoist {

bool
LogRateLimiter::TryTake(LogPriority aPriority, TimePoint aNow)
{
  const double capacity = mSettings.mMaxLinesPerSecond;
  if (capacity <= 0) {
    return true;
  }
  const double elapsed =
    std::chrono::duration<double>(aNow - mUpdatedAt).count();
  mTokens = std::min(capacity, mTokens + capacity * std::max(0.0, elapsed));
  mUpdatedAt = aNow;
  const bool isRoutine = aPriority == LogPriority::Routine;
  const double reserved =
    isRoutine ? capacity * mSettings.mReservedFraction : 0;
  const bool isAllowed =
    aPriority == LogPriority::Fault || mTokens >= reserved + 1;
  if (isAllowed) {
    mTokens = std::max(0.0, mTokens - 1);
  } else {
    ++mDropped[static_cast<std::size_t>(aPriority)];
  }
  return isAllowed;
}

} // namespace peridothoist
