/// The core's timers. Timers are not cancelled: whoever gets a due one checks
/// whether it still means something.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// What a timer is for.
enum class TimerKind
{
  Deadline,    ///< Of a request.
  Hedge,       ///< Of an attempt.
  TokenGap,    ///< Of an attempt.
  ImportRetry, ///< Of an attempt.
  OutcomeWait, ///< Of a request.
  Cancels,     ///< Some cancel is due.
  Pump         ///< An upstream's backoff ends.
};

constexpr std::size_t kTimerKinds = 7; ///< Count of TimerKind.

/// One timer.
struct Timer
{
  TimerKind mKind = TimerKind::Pump;
  std::uint64_t mId = 0;
  std::uint32_t mAttempt = 0;
};

/// Timers in order of time.
class TimerQueue
{
public:
  void Add(TimePoint aAt, const Timer& aTimer) { mTimers.emplace(aAt, aTimer); }

  /// Takes the first timer that is due; nothing when none is.
  std::optional<Timer> TakeDue(TimePoint aNow)
  {
    if (mTimers.empty() || mTimers.begin()->first > aNow) {
      return std::nullopt;
    }
    const Timer timer = mTimers.begin()->second;
    mTimers.erase(mTimers.begin());
    return timer;
  }

  std::optional<TimePoint> Next() const
  {
    if (mTimers.empty()) {
      return std::nullopt;
    }
    return mTimers.begin()->first;
  }

private:
  std::multimap<TimePoint, Timer> mTimers;
};

} // namespace peridothoist
