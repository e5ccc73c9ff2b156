/// Metrics of an entry process: counters of its components and latency
/// summaries.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/AllowanceManager.h>
#include <Peridothoist/Entry/EntryView.h>
#include <Peridothoist/Entry/RequestValidator.h>
#include <Peridothoist/Request/EntryCore.h>
#include <Peridothoist/Shell/Metrics.h>

namespace peridothoist {

/// Collects the metrics of one entry process and renders them.
class EntryMetrics
{
public:
  EntryMetrics();

  /// Records a finished request and its duration.
  void ObserveRequest(const std::string& aRoute,
                      int aStatus,
                      Duration aDuration);

  /// Records that the event loop ran late by aLag.
  void ObserveLoopLag(Duration aLag)
  {
    mMetrics.GetSummary("peridothoist_loop_lag_seconds").Observe(aLag);
  }

  // Copy the current values of a component into the metrics.
  void UpdateFromCore(const EntryCore& aCore);
  void UpdateFromValidator(const RequestValidatorCounters& aCounters);
  void UpdateFromAllowance(const AllowanceManagerCounters& aCounters);
  void UpdateFromView(const EntryView& aView, TimePoint aNow);

  /// Returns the metrics in the Prometheus text format.
  std::string Render() const { return mMetrics.Render(); }

private:
  void SetCounter(const std::string& aName,
                  double aValue,
                  const MetricLabels& aLabels = {});

  Metrics mMetrics;
};

} // namespace peridothoist
