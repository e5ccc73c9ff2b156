/// Measures what the entry adds to a call: the same calls go straight to a
/// plain service and through the entry, in alternating rounds of one run.
#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/LoadGenerator.h>
#include <PerformanceTest/Percentiles.h>
#include <PerformanceTest/RunningSystem.h>

#include <gflags/gflags.h>

DEFINE_double(per_second, 1000, "Calls a second");
DEFINE_uint64(round_ms, 3000, "Length of a round");
DEFINE_uint32(rounds, 4, "Rounds of each kind");
DEFINE_uint64(seed, 1, "Seed of the arrivals");

namespace peridothoist::perf {
namespace {

/// Results of all rounds of one kind.
struct Side
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
Lookups()
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
         Side& aSide)
{
  const Workload workload = Lookups();
  const auto plan =
    PlanCalls(workload, std::chrono::milliseconds(FLAGS_round_ms), aSeed);
  LoadGenerator generator(
    aReactor, aClient, {}, workload, plan, aSide.mTargets);
  generator.Start([&] { aReactor.Stop(); });
  aReactor.Run();
  for (const CallSample& it : generator.Samples()) {
    if (it.mEnd == CallEnd::Answered) {
      aSide.mTimes.Add(Milliseconds(it.mTotal));
    } else {
      ++aSide.mFailed;
    }
  }
  for (const Duration it : generator.Lateness()) {
    aSide.mLateness.Add(Milliseconds(it));
  }
}

void
PrintSide(Side& aSide)
{
  PrintValue(aSide.mName + ".answered",
             static_cast<double>(aSide.mTimes.Count()));
  PrintValue(aSide.mName + ".failed", static_cast<double>(aSide.mFailed));
  PrintValue(aSide.mName + ".p50_ms", aSide.mTimes.At(0.5));
  PrintValue(aSide.mName + ".p99_ms", aSide.mTimes.At(0.99));
  PrintValue(aSide.mName + ".lateness_p99_ms", aSide.mLateness.At(0.99));
}

int
Measure(const RunningSystem& aSystem)
{
  auto reactor = Reactor::Create();
  auto client = reactor ? HttpClient::Create(*reactor) : nullptr;
  if (!client || aSystem.mPlains.empty()) {
    return 1;
  }
  Side direct{ "direct", { { { aSystem.mPlains[0] }, "" } }, {}, {}, 0 };
  Side entry{
    "entry", { { { aSystem.mEntries[0] }, aSystem.mKeys[0] } }, {}, {}, 0
  };
  double cpu = 0;
  for (std::uint32_t n = 0; n < FLAGS_rounds; ++n) {
    RunRound(*reactor, *client, FLAGS_seed + n, direct);
    const double before = ProcessCpuSeconds(aSystem.mEntryPids[0]);
    RunRound(*reactor, *client, FLAGS_seed + n, entry);
    cpu += ProcessCpuSeconds(aSystem.mEntryPids[0]) - before;
  }
  PrintSide(direct);
  PrintSide(entry);
  PrintValue("added.p50_ms", entry.mTimes.At(0.5) - direct.mTimes.At(0.5));
  PrintValue("added.p99_ms", entry.mTimes.At(0.99) - direct.mTimes.At(0.99));
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
    std::fprintf(stderr, "run it by SystemTests/cluster.py --run\n");
    return 1;
  }
  return Measure(*system);
}
