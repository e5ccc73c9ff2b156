/// What goes wrong during a policy benchmark: one small strategy for each
/// scenario.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/RunningSystem.h>
#include <PerformanceTest/Workload.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist::perf {

/// One scenario. It lasts for the middle third of the run.
class Disturbance
{
public:
  virtual ~Disturbance() = default;

  /// "peak" (nothing), "aggressive" (one tenant at five times its rate),
  /// "engine_lost" or "outage" (of the platform); null for other names.
  static std::unique_ptr<Disturbance> Create(const std::string& aName,
                                             Reactor& aReactor,
                                             HttpClient& aClient,
                                             const RunningSystem& aSystem);

  /// Changes the workload before arrivals are drawn.
  virtual void Change(Workload& /*aWorkload*/) {}

  /// Starts the faults of a run of this length.
  virtual void Start(Duration /*aLength*/) {}
};

/// Counts that the engine stand-ins keep, over all engines.
struct EngineCounts
{
  double mPrefills = 0;
  double mWasted = 0; ///< Results that nobody fetched.
  double mTokens = 0;
};

/// Reads the counts of all engine stand-ins.
void
ReadEngineCounts(HttpClient& aClient,
                 const RunningSystem& aSystem,
                 std::function<void(const EngineCounts&)> aDone);

} // namespace peridothoist::perf
