/// The core's timers. Timers are not cancelled: the handler of a due timer
/// checks whether it is still relevant.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// What a timer is for.
enum class TimerKind
{
  Deadline,       ///< Deadline of a request.
  Hedge,          ///< A hedge of an attempt is due.
  TokenGap,       ///< Timeout between tokens of an attempt.
  ImportRetry,    ///< A retry of an attempt's import is due.
  OutcomeTimeout, ///< End of the wait for the outcome of a request.
  Cancels,        ///< A cancel is due.
  Dispatch        ///< An upstream may accept work again: dispatch requests.
};

constexpr std::size_t kTimerKinds = 7; ///< Count of TimerKind.

/// A timer of a request, of an attempt, or of the whole core.
struct Timer
{
  TimerKind mKind = TimerKind::Dispatch;
  std::uint64_t mId = 0;      ///< Request id; 0 if it concerns no request.
  std::uint32_t mAttempt = 0; ///< 0 if it concerns no attempt.
};

/// Timers ordered by time.
class TimerQueue
{
public:
  void Add(TimePoint aAt, const Timer& aTimer) { mTimers.emplace(aAt, aTimer); }

  /// Removes and returns the first timer that is due; nullopt if none is.
  std::optional<Timer> TakeDue(TimePoint aNow)
  {
    if (mTimers.empty() || mTimers.begin()->first > aNow) {
      return std::nullopt;
    }
    const Timer timer = mTimers.begin()->second;
    mTimers.erase(mTimers.begin());
    return timer;
  }

  /// Returns the time of the first timer; nullopt if there is none.
  std::optional<TimePoint> NextDueTime() const
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
