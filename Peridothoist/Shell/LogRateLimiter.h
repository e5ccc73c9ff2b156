/// A rate limiter for log lines. When a process logs more lines than the limit,
/// routine lines are dropped first.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <array>

namespace peridothoist {

/// Decides which lines are dropped first when the limit is reached, in
/// ascending order.
enum class LogPriority
{
  Routine,  ///< A frequent event that reports success.
  Decision, ///< A refusal, a failure or a change of the process's view.
  Fault     ///< A line that is always written.
};

/// Number of LogPriority values.
constexpr std::size_t kLogPriorityCount = 3;

/// Settings of a LogRateLimiter.
struct LogRateLimiterSettings
{
  /// Rate limit, and also the size of a burst. 0 means no limit.
  double mMaxLinesPerSecond = 0;
  /// Fraction of the bucket that routine lines can't use.
  double mReservedFraction = 0.5;
};

/// A token bucket with one token for each line. Not thread-safe.
class LogRateLimiter
{
public:
  using Settings = LogRateLimiterSettings;

  explicit LogRateLimiter(const Settings& aSettings)
    : mSettings(aSettings)
    , mTokens(aSettings.mMaxLinesPerSecond)
  {
  }

  /// Takes a token for one line. Returns false when the line must be dropped.
  bool TryTake(LogPriority aPriority, TimePoint aNow);

  /// Returns the number of lines dropped since the start.
  std::uint64_t DroppedCount(LogPriority aPriority) const
  {
    return mDropped[static_cast<std::size_t>(aPriority)];
  }

private:
  Settings mSettings;
  double mTokens;       ///< Available tokens.
  TimePoint mUpdatedAt; ///< Time of the last update of mTokens.
  std::array<std::uint64_t, kLogPriorityCount> mDropped{};
};

} // namespace peridothoist
