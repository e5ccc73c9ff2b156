/// Bounds the retries of requests, over all VMs together and in any window of
/// time, to a fraction of the requests plus a fixed amount. Each VM counts only
/// its own requests and uses an equal share of the fixed amount, so the sum
/// stays within the bound without communication.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <algorithm>
#include <deque>

namespace peridothoist {

/// Bounds of RelayRetryBudget.
struct RelayRetryBudgetSettings
{
  double mRatio = 0.2;    ///< Retries per request.
  double mFixed = 50;     ///< Additional retries, over all VMs.
  Duration mWindow = 10s; ///< Length of the windows that are bounded.
};

/// One VM's share of one service's retry budget.
class RelayRetryBudget
{
public:
  using Settings = RelayRetryBudgetSettings;

  /// aStart is the time at which this VM's process started. Its retries before
  /// that are not known, so its share of the fixed amount grows from zero over
  /// one window.
  RelayRetryBudget(const Settings& aSettings, TimePoint aStart)
    : mSettings(aSettings)
    , mStart(aStart)
  {
  }

  void SetSettings(const Settings& aSettings) { mSettings = aSettings; }

  /// Called when a request for the service arrived.
  void OnRequest(TimePoint aNow) { mRequests.push_back(aNow); }

  /// Returns how many more retries are allowed now; may be negative. aVms is
  /// the number of VMs that share the fixed amount, at least 1.
  double Remaining(std::size_t aVms, TimePoint aNow)
  {
    DropExpired(mRequests, aNow);
    DropExpired(mRetries, aNow);
    const double limit =
      mSettings.mRatio * static_cast<double>(mRequests.size()) +
      mSettings.mFixed * KnownFraction(aNow) / static_cast<double>(aVms);
    return limit - static_cast<double>(mRetries.size());
  }

  /// Returns whether one more retry is allowed now.
  bool IsAllowed(std::size_t aVms, TimePoint aNow)
  {
    return Remaining(aVms, aNow) >= 1;
  }

  /// Counts a retry that was sent, whether it was allowed or not.
  void OnRetry(TimePoint aNow) { mRetries.push_back(aNow); }

  /// Called when the last retry that was counted did not reach its upstream.
  void OnRetryNotSent()
  {
    if (!mRetries.empty()) {
      mRetries.pop_back();
    }
  }

  /// Counts one retry that is sent now; returns false if none is allowed.
  bool TryTake(std::size_t aVms, TimePoint aNow)
  {
    const bool allowed = IsAllowed(aVms, aNow);
    if (allowed) {
      OnRetry(aNow);
    }
    return allowed;
  }

private:
  /// Returns the fraction of the window in which this VM knows its retries.
  double KnownFraction(TimePoint aNow) const
  {
    using Seconds = std::chrono::duration<double>;
    const double known = Seconds(aNow - mStart) / Seconds(mSettings.mWindow);
    return std::clamp(known, 0.0, 1.0);
  }

  void DropExpired(std::deque<TimePoint>& aTimes, TimePoint aNow) const
  {
    while (!aTimes.empty() && aTimes.front() <= aNow - mSettings.mWindow) {
      aTimes.pop_front();
    }
  }

  Settings mSettings;
  TimePoint mStart;
  std::deque<TimePoint> mRequests; ///< In order; those of the window.
  std::deque<TimePoint> mRetries;  ///< In order; those of the window.
};

} // namespace peridothoist
