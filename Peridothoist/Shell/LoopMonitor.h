/// Measures the lag of the event loop: the time between when a timer was due
/// and when it ran. Lag delays the requests of every caller.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Receives lag measurements.
class LoopMonitorListener
{
public:
  virtual ~LoopMonitorListener() = default;

  /// Called for each measurement.
  virtual void OnLoopLag(Duration aLag) = 0;
};

/// Settings of a LoopMonitor.
struct LoopMonitorSettings
{
  Duration mInterval = 50ms; ///< Time between measurements.
};

/// Measures the lag of one reactor.
class LoopMonitor
{
public:
  using Settings = LoopMonitorSettings;

  /// Starts measuring. aReactor and aListener are not owned.
  LoopMonitor(const Settings& aSettings,
              Reactor* aReactor,
              LoopMonitorListener* aListener);
  ~LoopMonitor();

private:
  /// Schedules the next measurement.
  void ScheduleMeasurement();

  Settings mSettings;
  Reactor* mReactor;
  LoopMonitorListener* mListener;
  Reactor::TimerId mTimer = 0;
  TimePoint mDueAt; ///< When the next measurement is due.
};

} // namespace peridothoist
