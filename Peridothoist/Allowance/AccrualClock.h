/// Counts only the time in which this process was allowed to act. Allowance
/// accrues by this clock: what a stale or paused entry didn't accrue, another
/// entry may have been given meanwhile.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// A clock that stands still while the view isn't fresh.
class AccrualClock
{
public:
  /// Acting is allowed until aUntil (FreshView::FreshUntil()).
  void AllowUntil(TimePoint aUntil, TimePoint aNow);

  /// Time counted so far. Never decreases.
  Duration CountedTime(TimePoint aNow) const;

  /// Whether it runs at aNow.
  bool IsRunning(TimePoint aNow) const;

private:
  Duration mCountedTime{ 0 }; ///< Up to mRunningSince.
  TimePoint mRunningSince{};     ///< Start of the interval that is running.
  TimePoint mRunsUntil{};     ///< Its end; at or after mRunningSince.
};

} // namespace peridothoist
