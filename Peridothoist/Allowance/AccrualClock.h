/// Counts only the time during which this process had a fresh view and could
/// act on it. Allowance accrues by this clock: while an entry is stale or
/// paused, its share may already have been given to another entry.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// A clock that stops while the view isn't fresh.
class AccrualClock
{
public:
  /// Lets the clock run until aUntil, which is ViewFreshness::FreshUntil().
  void SetFreshUntil(TimePoint aUntil, TimePoint aNow);

  /// Returns the time counted so far, which never decreases.
  Duration CountedTime(TimePoint aNow) const;

  /// Returns whether the clock runs at aNow.
  bool IsRunning(TimePoint aNow) const;

private:
  Duration mCountedTime{ 0 }; ///< Time counted before mRunningSince.
  TimePoint mRunningSince{};  ///< Start of the current interval.
  TimePoint mRunsUntil{};     ///< Its end; not before mRunningSince.
};

} // namespace peridothoist
