/// Works out a policy benchmark's figures from its samples.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/CallSample.h>
#include <PerformanceTest/Disturbance.h>
#include <PerformanceTest/Percentiles.h>
#include <PerformanceTest/Workload.h>

#include <array>

namespace peridothoist::perf {

/// The latency targets that goodput counts under.
constexpr Duration kFirstTokenTarget = 530ms;
constexpr Duration kTokenGapTarget = 25ms;

/// Figures of one run.
class PolicyReport
{
public:
  PolicyReport(const Workload& aWorkload,
               const std::vector<PlannedCall>& aPlan,
               Duration aLength);

  void SetBefore(const EngineCounts& aCounts) { mBefore = aCounts; }
  void SetAfter(const EngineCounts& aCounts) { mAfter = aCounts; }

  /// Prints all figures, each key starting with aName and a dot.
  void Print(const std::string& aName,
             const std::vector<CallSample>& aSamples,
             const std::vector<Duration>& aLateness);

private:
  /// One workspace's figures.
  struct TenantFigures
  {
    double mDue = 0;  ///< Calls within its rate.
    double mGood = 0; ///< Those answered within the targets.
    Percentiles mFirstMs;
  };

  /// One class's figures.
  struct ClassFigures
  {
    double mSent = 0;
    double mGood = 0;
    Percentiles mFirstMs;
  };

  void Take(const PlannedCall& aCall, const CallSample& aSample);
  void PrintTenants(const std::string& aName);
  void PrintClasses(const std::string& aName);
  void PrintEnds(const std::string& aName);
  void PrintPrefills(const std::string& aName);

  const Workload& mWorkload;
  const std::vector<PlannedCall>& mPlan;
  double mSeconds;
  EngineCounts mBefore;
  EngineCounts mAfter;
  std::vector<TenantFigures> mTenants;
  std::vector<ClassFigures> mClasses;
  std::array<double, kCallEnds> mEnds{};
  double mGood = 0;
  double mStreamsAnswered = 0;
  double mWrongfullyRefused = 0; ///< 429 although within the rate.
  double mRefusedWithin = 0;     ///< Any refusal although within the rate.
};

/// Whether an answer met both latency targets.
bool
MeetsTargets(const CallSample& aSample);

} // namespace peridothoist::perf
