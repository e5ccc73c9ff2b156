/// Bounds the sends beyond each request's first, over all VMs together and in
/// every window of time. Each VM keeps to its own requests and its part of the
/// fixed amount, so the sum keeps to the whole without a message.
#pragma once

#include <Peridothoist/Peridothoist.h>

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

  explicit RepeatBudget(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Takes other bounds.
  void SetSettings(const Settings& aSettings) { mSettings = aSettings; }

  /// A request for the service came.
  void OnRequest(TimePoint aNow) { mRequests.push_back(aNow); }

  /// Takes one repeat; false when the budget is spent. aVms: how many VMs
  /// share the fixed amount, at least 1.
  bool Take(std::size_t aVms, TimePoint aNow)
  {
    Drop(mRequests, aNow);
    Drop(mRepeats, aNow);
    const double most =
      mSettings.mRatio * static_cast<double>(mRequests.size()) +
      mSettings.mFixed / static_cast<double>(aVms);
    if (static_cast<double>(mRepeats.size()) + 1 > most) {
      return false;
    }
    mRepeats.push_back(aNow);
    return true;
  }

private:
  void Drop(std::deque<TimePoint>& aTimes, TimePoint aNow) const
  {
    while (!aTimes.empty() && aTimes.front() <= aNow - mSettings.mWindow) {
      aTimes.pop_front();
    }
  }

  Settings mSettings;
  std::deque<TimePoint> mRequests; ///< In order; those of the window.
  std::deque<TimePoint> mRepeats;  ///< In order; those of the window.
};

} // namespace peridothoist
