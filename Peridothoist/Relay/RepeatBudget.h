/// Bounds the sends beyond each request's first, over all VMs together and in
/// every window of time. Each VM keeps to its own requests and its part of the
/// fixed amount, so the sum keeps to the whole without a message.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <algorithm>
#include <deque>

namespace peridothoist {

/// Bounds of a RepeatBudget.
struct RepeatBudgetSettings
{
  double mRatio = 0.2;    ///< Repeats for each request.
  double mFixed = 50;     ///< Repeats besides, over all VMs.
  Duration mWindow = 10s; ///< Any span of this length counts.
};

/// One VM's part of one service's budget.
class RepeatBudget
{
public:
  using Settings = RepeatBudgetSettings;

  /// aStart: when this VM's process started. What it used before isn't known
  /// any more, so its part of the fixed amount grows from nothing over a
  /// window.
  RepeatBudget(const Settings& aSettings, TimePoint aStart)
    : mSettings(aSettings)
    , mStart(aStart)
  {
  }

  /// Takes other bounds.
  void SetSettings(const Settings& aSettings) { mSettings = aSettings; }

  /// A request for the service came.
  void OnRequest(TimePoint aNow) { mRequests.push_back(aNow); }

  /// How many more repeats are allowed now; may be below 0. aVms: how many VMs
  /// share the fixed amount, at least 1.
  double Left(std::size_t aVms, TimePoint aNow)
  {
    Drop(mRequests, aNow);
    Drop(mRepeats, aNow);
    const double most =
      mSettings.mRatio * static_cast<double>(mRequests.size()) +
      mSettings.mFixed * KnownPart(aNow) / static_cast<double>(aVms);
    return most - static_cast<double>(mRepeats.size());
  }

  /// Whether one more repeat is allowed now.
  bool HasRoom(std::size_t aVms, TimePoint aNow)
  {
    return Left(aVms, aNow) >= 1;
  }

  /// Counts a repeat that was sent, allowed or not.
  void OnRepeat(TimePoint aNow) { mRepeats.push_back(aNow); }

  /// Takes one repeat, which is sent now; false when the budget is spent.
  bool Take(std::size_t aVms, TimePoint aNow)
  {
    const bool room = HasRoom(aVms, aNow);
    if (room) {
      OnRepeat(aNow);
    }
    return room;
  }

private:
  /// The part of a window for which this VM knows what it used.
  double KnownPart(TimePoint aNow) const
  {
    using Seconds = std::chrono::duration<double>;
    const double known = Seconds(aNow - mStart) / Seconds(mSettings.mWindow);
    return std::clamp(known, 0.0, 1.0);
  }

  void Drop(std::deque<TimePoint>& aTimes, TimePoint aNow) const
  {
    while (!aTimes.empty() && aTimes.front() <= aNow - mSettings.mWindow) {
      aTimes.pop_front();
    }
  }

  Settings mSettings;
  TimePoint mStart;
  std::deque<TimePoint> mRequests; ///< In order; those of the window.
  std::deque<TimePoint> mRepeats;  ///< In order; those of the window.
};

} // namespace peridothoist
