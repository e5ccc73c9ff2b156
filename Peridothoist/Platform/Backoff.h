/// Exponential backoff with jitter between attempts, so that processes that
/// failed at the same time don't retry at the same time.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>

#include <algorithm>

namespace peridothoist {

/// Limits of the delays.
struct BackoffSettings
{
  /// Upper bound of the first delay; the bound doubles with each attempt.
  Duration mInitialDelay = std::chrono::milliseconds(50);
  /// Upper bound of all delays.
  Duration mMaxDelay = std::chrono::seconds(5);
};

/// Delays for one series of attempts.
class Backoff
{
public:
  using Settings = BackoffSettings;

  explicit Backoff(const Settings& aSettings)
    : mSettings(aSettings)
    , mDelayBound(aSettings.mInitialDelay)
  {
  }

  /// Returns the next delay, uniform between half of the current upper bound
  /// and the bound itself, and doubles the bound.
  Duration NextDelay(Random& aRandom)
  {
    const Duration half = mDelayBound / 2;
    const auto jitter = static_cast<Duration::rep>(
      aRandom.UniformFraction() * static_cast<double>(half.count()));
    mDelayBound = std::min(mDelayBound * 2, mSettings.mMaxDelay);
    return half + Duration(jitter);
  }

  /// Returns to the initial delay.
  void Reset() { mDelayBound = mSettings.mInitialDelay; }

private:
  Settings mSettings;
  Duration mDelayBound; ///< Upper bound of the next delay; at most mMaxDelay.
};

} // namespace peridothoist
