/// The entry's metrics page: counters of its parts and latency summaries.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/AllowanceDesk.h>
#include <Peridothoist/Entry/EntryView.h>
#include <Peridothoist/Entry/RequestIntake.h>
#include <Peridothoist/Request/EntryCore.h>
#include <Peridothoist/Shell/Metrics.h>

namespace peridothoist {

/// Gathers one entry process's metrics.
class EntryMetrics
{
public:
  EntryMetrics();

  /// A request is over.
  void ObserveRequest(const std::string& aRoute, int aStatus, Duration aTook);

  /// The event loop ran late by aLag.
  void ObserveLoopLag(Duration aLag)
  {
    mMetrics.GetSummary("peridothoist_loop_lag_seconds").Observe(aLag);
  }

  void TakeCore(const EntryCore& aCore);
  void TakeIntake(const IntakeCounters& aCounters);
  void TakeAllowance(const AllowanceDeskCounters& aCounters);
  void TakeView(const EntryView& aView, TimePoint aNow);

  /// The page in the Prometheus text format.
  std::string Render() const { return mMetrics.Render(); }

private:
  void SetCounter(const std::string& aName,
                  double aValue,
                  const MetricLabels& aLabels = {});

  Metrics mMetrics;
};

} // namespace peridothoist
