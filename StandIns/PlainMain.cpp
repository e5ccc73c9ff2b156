/// Main program of the plain service stand-in.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/PlainService.h>

#include <csignal>

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:9300", "ip:port to listen on");
DEFINE_double(run_ms, 5, "Time to execute one call, in milliseconds");
DEFINE_uint64(answer_pad_bytes, 0, "Padding added to each response, in bytes");
DEFINE_uint32(concurrency, 64, "Maximum number of concurrent calls");
DEFINE_bool(keep_log, true, "Record requests for GET /log");

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
  standin::PlainServiceSettings settings;
  settings.mRunTime = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(FLAGS_run_ms));
  settings.mResponsePadBytes = FLAGS_answer_pad_bytes;
  settings.mMaxConcurrentCalls = FLAGS_concurrency;
  settings.mIsLogEnabled = FLAGS_keep_log;
  standin::PlainService service(*reactor, settings);
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
