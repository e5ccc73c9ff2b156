/// Main program of the platform stand-in: table service, object store and VM
/// list.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/PlatformService.h>

#include <csignal>

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:9000", "ip:port to listen on");
DEFINE_uint64(vm_list_lag_ms,
              2000,
              "Age of the VM list in responses, in milliseconds");
DEFINE_double(writes_per_second,
              600,
              "Maximum rate of transactions and object puts");
DEFINE_double(reads_per_second, 2000, "Maximum rate of reads");
DEFINE_uint64(seed, 1, "Random seed for injected faults");

int
main(int aArgc, char** aArgv)
{
  using namespace peridothoist;
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  const auto listen = standin::ParseListenAddress(FLAGS_listen);
  auto reactor = Reactor::Create();
  if (!listen || !reactor) {
    std::fprintf(
      stderr, "event=start_failed listen=%s\n", FLAGS_listen.c_str());
    return 1;
  }
  standin::PlatformServiceSettings settings;
  settings.mVmListLag = std::chrono::milliseconds(FLAGS_vm_list_lag_ms);
  settings.mWritesPerSecond = FLAGS_writes_per_second;
  settings.mReadsPerSecond = FLAGS_reads_per_second;
  settings.mSeed = FLAGS_seed;
  standin::PlatformService service(*reactor, settings);
  std::string reason;
  auto server = HttpServer::Create(*reactor, *listen, &service, &reason);
  if (!server) {
    std::fprintf(stderr, "event=start_failed reason=\"%s\"\n", reason.c_str());
    return 1;
  }
  reactor->SetSignalHandler(SIGTERM, [&] { reactor->Stop(); });
  reactor->Run();
  return 0;
}
