/// Runs a user's workload against the running system, with one disturbance,
/// and prints what the brief measures: goodput under both latency targets,
/// wasted prefills, the worst-served workspace and wrongful refusals.
#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/Disturbance.h>
#include <PerformanceTest/LoadGenerator.h>
#include <PerformanceTest/Percentiles.h>
#include <PerformanceTest/PolicyReport.h>
#include <PerformanceTest/RunningSystem.h>

#include <gflags/gflags.h>

DEFINE_string(workload, "association", "\"association\" or \"daugava\"");
DEFINE_string(scenario, "peak", "peak, aggressive, engine_lost or outage");
DEFINE_string(name, "current", "Starts each printed key");
DEFINE_double(seconds, 20, "Length of the arrivals");
DEFINE_double(scale, 1, "Multiplies all rates");
DEFINE_uint64(seed, 1, "Seed of the arrivals");
DEFINE_bool(print_edits, false, "Only prints the configuration it needs");

namespace peridothoist::perf {
namespace {

Workload
Scaled(Workload aWorkload)
{
  for (CallClass& it : aWorkload.mClasses) {
    it.mPerSecond *= FLAGS_scale;
  }
  return aWorkload;
}

std::vector<TenantTarget>
Targets(const Workload& aWorkload, const RunningSystem& aSystem)
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
  auto disturbance =
    Disturbance::Create(FLAGS_scenario, *reactor, *client, aSystem);
  if (!disturbance) {
    std::fprintf(stderr, "no scenario \"%s\"\n", FLAGS_scenario.c_str());
    return 1;
  }
  disturbance->Change(workload);
  const auto plan = PlanCalls(workload, length, FLAGS_seed);
  PolicyReport report(workload, plan, length);
  LoadGenerator generator(
    *reactor, *client, {}, workload, plan, Targets(workload, aSystem));
  ReadEngineCounts(*client, aSystem, [&](const EngineCounts& aBefore) {
    report.SetBefore(aBefore);
    disturbance->Start(length);
    generator.Start([&] {
      ReadEngineCounts(*client, aSystem, [&](const EngineCounts& aAfter) {
        report.SetAfter(aAfter);
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
    std::fprintf(stderr, "no workload \"%s\"\n", FLAGS_workload.c_str());
    return 1;
  }
  const Workload workload = Scaled(*found);
  if (FLAGS_print_edits) {
    std::printf("%s\n", WorkloadEdits(workload).c_str());
    return 0;
  }
  const auto system = RunningSystem::FromEnvironment();
  if (!system) {
    std::fprintf(stderr, "run it by PerformanceTest/policy.sh\n");
    return 1;
  }
  return Measure(*system, workload);
}
