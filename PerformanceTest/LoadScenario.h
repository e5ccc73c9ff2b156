/// Scenarios of the policy benchmark: the load or fault to which the system is
/// exposed.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/RunningSystem.h>
#include <PerformanceTest/Workload.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist::perf {

/// A scenario. Faults last for the middle third of the run.
class LoadScenario
{
public:
  virtual ~LoadScenario() = default;

  /// Creates "peak" (no fault), "aggressive" (one tenant sends five times its
  /// rate), "engine_lost" or "outage" (of the platform). Returns null for other
  /// names.
  static std::unique_ptr<LoadScenario> Create(const std::string& aName,
                                              Reactor& aReactor,
                                              HttpClient& aClient,
                                              const RunningSystem& aSystem);

  /// Adjusts the workload before arrivals are generated.
  virtual void AdjustWorkload(Workload& /*aWorkload*/) {}

  /// Schedules the faults of a run of this length.
  virtual void Start(Duration /*aLength*/) {}
};

/// Counters of the engine stand-ins, summed over all engines.
struct EngineCounts
{
  double mPrefills = 0;
  double mWastedPrefills = 0; ///< Results that were never fetched.
  double mTokens = 0;
};

/// Reads the counters of all engine stand-ins and passes them to aDone.
void
ReadEngineCounts(HttpClient& aClient,
                 const RunningSystem& aSystem,
                 std::function<void(const EngineCounts&)> aDone);

} // namespace peridothoist::perf
