/// Measures the latency that the entry adds to a call. The same calls are sent
/// directly to a plain service and through the entry, in alternating rounds.
#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/LoadGenerator.h>
#include <PerformanceTest/Percentiles.h>
#include <PerformanceTest/RunningSystem.h>

#include <gflags/gflags.h>

DEFINE_double(per_second, 1000, "Calls per second");
DEFINE_uint64(round_ms, 3000, "Length of a round in milliseconds");
DEFINE_uint32(rounds, 4, "Number of rounds, each direct and through the entry");
DEFINE_uint64(seed, 1, "Seed of the call times");

namespace peridothoist::perf {
namespace {

/// Results of all rounds over one path: direct or through the entry.
struct PathResults
{
  std::string mName;
  std::vector<TenantTarget> mTargets;
  Percentiles mTimes;    ///< Milliseconds.
  Percentiles mLateness; ///< Milliseconds.
  std::size_t mFailed = 0;
};

double
Milliseconds(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

Workload
LookupWorkload()
{
  Workload workload;
  workload.mClasses = {
    { "lookups", "/lookups", false, true, FLAGS_per_second, 10, 30, 0, 0 }
  };
  workload.mTenants = { { "w1", 1 } };
  return workload;
}

void
RunRound(Reactor& aReactor,
         HttpClient& aClient,
         std::uint64_t aSeed,
         PathResults& aResults)
{
  const Workload workload = LookupWorkload();
  const auto plan =
    PlanCalls(workload, std::chrono::milliseconds(FLAGS_round_ms), aSeed);
  LoadGenerator generator(
    aReactor, aClient, {}, workload, plan, aResults.mTargets);
  generator.Start([&] { aReactor.Stop(); });
  aReactor.Run();
  for (const CallSample& it : generator.Samples()) {
    if (it.mResult == SampleResult::Answered) {
      aResults.mTimes.Add(Milliseconds(it.mTotalTime));
    } else {
      ++aResults.mFailed;
    }
  }
  for (const Duration it : generator.Lateness()) {
    aResults.mLateness.Add(Milliseconds(it));
  }
}

void
PrintPathResults(PathResults& aResults)
{
  PrintValue(aResults.mName + ".answered",
             static_cast<double>(aResults.mTimes.Count()));
  PrintValue(aResults.mName + ".failed", static_cast<double>(aResults.mFailed));
  PrintValue(aResults.mName + ".p50_ms", aResults.mTimes.AtFraction(0.5));
  PrintValue(aResults.mName + ".p99_ms", aResults.mTimes.AtFraction(0.99));
  PrintValue(aResults.mName + ".lateness_p99_ms",
             aResults.mLateness.AtFraction(0.99));
}

int
Measure(const RunningSystem& aSystem)
{
  auto reactor = Reactor::Create();
  auto client = reactor ? HttpClient::Create(*reactor) : nullptr;
  if (!client || aSystem.mPlains.empty()) {
    return 1;
  }
  PathResults direct{ "direct", { { { aSystem.mPlains[0] }, "" } }, {}, {}, 0 };
  PathResults entry{
    "entry", { { { aSystem.mEntries[0] }, aSystem.mKeys[0] } }, {}, {}, 0
  };
  double cpu = 0;
  for (std::uint32_t n = 0; n < FLAGS_rounds; ++n) {
    RunRound(*reactor, *client, FLAGS_seed + n, direct);
    const double before = ProcessCpuSeconds(aSystem.mEntryPids[0]);
    RunRound(*reactor, *client, FLAGS_seed + n, entry);
    cpu += ProcessCpuSeconds(aSystem.mEntryPids[0]) - before;
  }
  PrintPathResults(direct);
  PrintPathResults(entry);
  PrintValue("added.p50_ms",
             entry.mTimes.AtFraction(0.5) - direct.mTimes.AtFraction(0.5));
  PrintValue("added.p99_ms",
             entry.mTimes.AtFraction(0.99) - direct.mTimes.AtFraction(0.99));
  const auto calls = static_cast<double>(entry.mTimes.Count());
  PrintValue("entry.cpu_us_per_call", calls > 0 ? cpu * 1e6 / calls : 0);
  return 0;
}

} // namespace
} // namespace peridothoist::perf

int
main(int aArgc, char** aArgv)
{
  using namespace peridothoist::perf;
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  const auto system = RunningSystem::FromEnvironment();
  if (!system) {
    std::fprintf(stderr,
                 "no running system in the environment: "
                 "run by SystemTests/cluster.py --run\n");
    return 1;
  }
  return Measure(*system);
}
