/// Growing waits between tries, with jitter, so that processes that failed
/// together don't come back together.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>

#include <algorithm>

namespace peridothoist {

/// Lengths of the waits.
struct BackoffSettings
{
  Duration mFirst = std::chrono::milliseconds(50); ///< Longest first wait.
  Duration mLongest = std::chrono::seconds(5);
};

/// Waits of one series of tries.
class Backoff
{
public:
  using Settings = BackoffSettings;

  explicit Backoff(const Settings& aSettings)
    : mSettings(aSettings)
    , mNext(aSettings.mFirst)
  {
  }

  /// The next wait: from half of the present length to the whole of it.
  Duration Next(Random& aRandom)
  {
    const Duration half = mNext / 2;
    const auto jitter = static_cast<Duration::rep>(
      aRandom.Unit() * static_cast<double>(half.count()));
    mNext = std::min(mNext * 2, mSettings.mLongest);
    return half + Duration(jitter);
  }

  /// Starts again with the first wait.
  void Reset() { mNext = mSettings.mFirst; }

private:
  Settings mSettings;
  Duration mNext; ///< Length of the next wait; at most mLongest.
};

} // namespace peridothoist
