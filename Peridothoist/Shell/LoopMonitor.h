/// Measures how late the event loop runs: the time between when a timer was
/// due and when it ran. A loop that lags delays every caller.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Told how late the loop was.
class LoopMonitorListener
{
public:
  virtual ~LoopMonitorListener() = default;

  /// One measurement.
  virtual void OnLoopLag(Duration aLag) = 0;
};

/// Settings of a LoopMonitor.
struct LoopMonitorSettings
{
  Duration mInterval = 50ms; ///< Between measurements.
};

/// Measures one reactor.
class LoopMonitor
{
public:
  using Settings = LoopMonitorSettings;

  /// Nothing is owned.
  LoopMonitor(const Settings& aSettings,
              Reactor* aReactor,
              LoopMonitorListener* aListener);
  ~LoopMonitor();

private:
  void Arm();

  Settings mSettings;
  Reactor* mReactor;
  LoopMonitorListener* mListener;
  Reactor::TimerId mTimer = 0;
  TimePoint mDueAt;
};

} // namespace peridothoist
