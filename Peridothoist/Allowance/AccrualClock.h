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
  Duration Read(TimePoint aNow) const;

  /// Whether it runs at aNow.
  bool IsRunning(TimePoint aNow) const;

private:
  Duration mCounted{ 0 }; ///< Up to mSince.
  TimePoint mSince{};     ///< Start of the interval that is running.
  TimePoint mUntil{};     ///< Its end; at or after mSince.
};

} // namespace peridothoist
