/// Estimates how fast a pool serves queued work, measured while work waits.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Time constants of the estimate.
struct ServiceRateEstimatorSettings
{
  Duration mWindow = 5s; ///< Time constant of the exponential decay.
  /// Minimum time with a backlog before an estimate is returned.
  Duration mMinBusyTime = 500ms;
};

/// Averages the cost that is served per second while there is a backlog, with
/// exponential decay, and the time to first byte.
class ServiceRateEstimator
{
public:
  using Settings = ServiceRateEstimatorSettings;

  explicit ServiceRateEstimator(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Sets whether work is waiting from aNow on.
  void SetHasBacklog(bool aHasBacklog, TimePoint aNow);

  /// Records that work of this cost was taken from the queue.
  void OnCostTaken(double aCost, TimePoint aNow);

  /// Returns the cost served per second; nullopt until enough was observed.
  std::optional<double> CostPerSecond() const;

  /// Records the time from a request's start to its first byte.
  void OnFirstByte(Duration aDuration);

  /// Returns the typical time from start to first byte; 0 if none was recorded.
  Duration TypicalFirstByteTime() const
  {
    return Duration(std::int64_t(mFirstByteMicroseconds));
  }

private:
  /// Advances to aNow and applies the decay.
  void Advance(TimePoint aNow);

  Settings mSettings;
  bool mHasBacklog = false;
  TimePoint mLastUpdate;
  double mDecayedCost = 0;           ///< Decaying sum of served cost.
  double mDecayedBusySeconds = 0;    ///< Decaying time with a backlog.
  double mFirstByteMicroseconds = 0; ///< Decaying average.
};

} // namespace peridothoist
