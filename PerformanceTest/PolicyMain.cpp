/// Runs a workload against the running system in one scenario. Prints the
/// goodput within both latency targets, wasted prefills, the workspace with the
/// worst service, and refusals of calls within the rate.
#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/LoadScenario.h>
#include <PerformanceTest/LoadGenerator.h>
#include <PerformanceTest/Percentiles.h>
#include <PerformanceTest/PolicyReport.h>
#include <PerformanceTest/RunningSystem.h>

#include <gflags/gflags.h>

DEFINE_string(workload, "association", "\"association\" or \"daugava\"");
DEFINE_string(scenario, "peak", "peak, aggressive, engine_lost or outage");
DEFINE_string(name, "current", "Prefix of each printed key");
DEFINE_double(seconds, 20, "Time in seconds over which calls are sent");
DEFINE_double(scale, 1, "Factor for all call rates");
DEFINE_uint64(seed, 1, "Seed of the call times");
DEFINE_bool(print_edits,
            false,
            "Only print the configuration that the workload needs");

namespace peridothoist::perf {
namespace {

Workload
ScaleRates(Workload aWorkload)
{
  for (CallClass& it : aWorkload.mClasses) {
    it.mPerSecond *= FLAGS_scale;
  }
  return aWorkload;
}

std::vector<TenantTarget>
MakeTargets(const Workload& aWorkload, const RunningSystem& aSystem)
{
  std::vector<TenantTarget> targets;
  for (std::size_t n = 0; n < aWorkload.mTenants.size(); ++n) {
    const std::string key =
      n < aSystem.mKeys.size() ? aSystem.mKeys[n] : std::string();
    targets.push_back({ aSystem.mEntries, key });
  }
  return targets;
}

int
Measure(const RunningSystem& aSystem, const Workload& aBase)
{
  auto reactor = Reactor::Create();
  auto client = reactor ? HttpClient::Create(*reactor) : nullptr;
  if (!client) {
    return 1;
  }
  const Duration length(static_cast<Duration::rep>(FLAGS_seconds * 1e6));
  Workload workload = aBase;
  auto scenario =
    LoadScenario::Create(FLAGS_scenario, *reactor, *client, aSystem);
  if (!scenario) {
    std::fprintf(stderr, "unknown scenario \"%s\"\n", FLAGS_scenario.c_str());
    return 1;
  }
  scenario->AdjustWorkload(workload);
  const auto plan = PlanCalls(workload, length, FLAGS_seed);
  PolicyReport report(workload, plan, length);
  LoadGenerator generator(
    *reactor, *client, {}, workload, plan, MakeTargets(workload, aSystem));
  ReadEngineCounts(*client, aSystem, [&](const EngineCounts& aBefore) {
    report.SetCountsBefore(aBefore);
    scenario->Start(length);
    generator.Start([&] {
      ReadEngineCounts(*client, aSystem, [&](const EngineCounts& aAfter) {
        report.SetCountsAfter(aAfter);
        reactor->Stop();
      });
    });
  });
  reactor->Run();
  report.Print(FLAGS_name + "." + FLAGS_workload + "." + FLAGS_scenario,
               generator.Samples(),
               generator.Lateness());
  return 0;
}

} // namespace
} // namespace peridothoist::perf

int
main(int aArgc, char** aArgv)
{
  using namespace peridothoist::perf;
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  const auto found = FindWorkload(FLAGS_workload);
  if (!found) {
    std::fprintf(stderr, "unknown workload \"%s\"\n", FLAGS_workload.c_str());
    return 1;
  }
  const Workload workload = ScaleRates(*found);
  if (FLAGS_print_edits) {
    std::printf("%s\n", WorkloadEdits(workload).c_str());
    return 0;
  }
  const auto system = RunningSystem::FromEnvironment();
  if (!system) {
    std::fprintf(stderr,
                 "no running system in the environment: "
                 "run by PerformanceTest/policy.sh\n");
    return 1;
  }
  return Measure(*system, workload);
}
