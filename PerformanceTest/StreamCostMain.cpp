/// Measures how many streamed tokens per second one core of the entry can
/// forward: opens streams from fast engines and divides the number of tokens by
/// the processor time of the entry.
#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/LoadGenerator.h>
#include <PerformanceTest/Percentiles.h>
#include <PerformanceTest/RunningSystem.h>

#include <gflags/gflags.h>

DEFINE_double(streams_per_second, 40, "Streams started per second");
DEFINE_uint32(answer_tokens, 200, "Number of tokens of each stream");
DEFINE_double(seconds, 8, "Time in seconds over which streams are started");
DEFINE_uint64(seed, 1, "Seed of the start times");

namespace peridothoist::perf {
namespace {

int
Measure(const RunningSystem& aSystem)
{
  auto reactor = Reactor::Create();
  auto client = reactor ? HttpClient::Create(*reactor) : nullptr;
  if (!client) {
    return 1;
  }
  Workload workload;
  workload.mClasses = { { "streams",
                          "/v1/completions",
                          true,
                          true,
                          FLAGS_streams_per_second,
                          50,
                          100,
                          FLAGS_answer_tokens,
                          FLAGS_answer_tokens } };
  workload.mTenants = { { "w1", 1 } };
  const Duration length(static_cast<Duration::rep>(FLAGS_seconds * 1e6));
  const auto plan = PlanCalls(workload, length, FLAGS_seed);
  LoadGenerator generator(*reactor,
                          *client,
                          {},
                          workload,
                          plan,
                          { { { aSystem.mEntries[0] }, aSystem.mKeys[0] } });
  const double before = ProcessCpuSeconds(aSystem.mEntryPids[0]);
  generator.Start([&] { reactor->Stop(); });
  reactor->Run();
  const double cpu = ProcessCpuSeconds(aSystem.mEntryPids[0]) - before;
  double tokens = 0;
  double answered = 0;
  for (const CallSample& it : generator.Samples()) {
    tokens += it.mTokens;
    answered += it.mResult == SampleResult::Answered ? 1 : 0;
  }
  PrintValue("streams", static_cast<double>(plan.size()));
  PrintValue("streams_answered", answered);
  PrintValue("tokens", tokens);
  PrintValue("entry.cpu_s", cpu);
  PrintValue("entry.tokens_per_s_per_core", cpu > 0 ? tokens / cpu : 0);
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
