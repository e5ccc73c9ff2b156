/// Computes and prints the results of the policy benchmark.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/CallSample.h>
#include <PerformanceTest/LoadScenario.h>
#include <PerformanceTest/Percentiles.h>
#include <PerformanceTest/Workload.h>

#include <array>

namespace peridothoist::perf {

/// Latency targets: goodput counts the calls that meet both.
constexpr Duration kFirstTokenTarget = 530ms;
constexpr Duration kTokenGapTarget = 25ms;

/// Results of one run.
class PolicyReport
{
public:
  PolicyReport(const Workload& aWorkload,
               const std::vector<PlannedCall>& aPlan,
               Duration aLength);

  /// Sets the engine counters from before the run.
  void SetCountsBefore(const EngineCounts& aCounts) { mCountsBefore = aCounts; }
  /// Sets the engine counters from after the run.
  void SetCountsAfter(const EngineCounts& aCounts) { mCountsAfter = aCounts; }

  /// Prints all results. Each key starts with aName and a dot.
  void Print(const std::string& aName,
             const std::vector<CallSample>& aSamples,
             const std::vector<Duration>& aLateness);

private:
  /// Results of one workspace.
  struct TenantStatistics
  {
    double mCallsWithinRate = 0; ///< Calls within its rate.
    double mMetTargets = 0;      ///< Those that met the targets.
    Percentiles mFirstTokenMs;
  };

  /// Results of one class of request.
  struct ClassStatistics
  {
    double mSent = 0;
    double mMetTargets = 0;
    Percentiles mFirstTokenMs;
  };

  void AddSample(const PlannedCall& aCall, const CallSample& aSample);
  void PrintTenants(const std::string& aName);
  void PrintClasses(const std::string& aName);
  void PrintResultCounts(const std::string& aName);
  void PrintPrefills(const std::string& aName);

  const Workload& mWorkload;
  const std::vector<PlannedCall>& mPlan;
  double mSeconds;
  EngineCounts mCountsBefore;
  EngineCounts mCountsAfter;
  std::vector<TenantStatistics> mTenants;
  std::vector<ClassStatistics> mClasses;
  std::array<double, kSampleResultCount> mResultCounts{};
  double mMetTargets = 0;
  double mStreamsAnswered = 0;
  double mRateLimitedWithinRate = 0; ///< Status 429 though within the rate.
  double mRefusedWithinRate = 0;     ///< Any refusal though within the rate.
};

/// Returns whether a call succeeded and met both latency targets.
bool
MeetsTargets(const CallSample& aSample);

} // namespace peridothoist::perf
