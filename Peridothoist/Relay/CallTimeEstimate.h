/// Estimates how long calls to the upstreams of a service take.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// A moving average of call times.
class CallTimeEstimate
{
public:
  /// Called when a call took aTime.
  void Add(Duration aTime)
  {
    const double seconds = std::chrono::duration<double>(aTime).count();
    mSeconds = mHasTime ? mSeconds + (seconds - mSeconds) * kWeight : seconds;
    mHasTime = true;
  }

  /// Returns the typical time of a call; 0 if none has ended.
  Duration Typical() const
  {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(mSeconds));
  }

private:
  static constexpr double kWeight = 0.1; ///< Of the latest call.

  bool mHasTime = false;
  double mSeconds = 0;
};

} // namespace peridothoist
