/// Stand-in for a plain service.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/PlainService.h>

#include <csignal>

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:9300", "ip:port to serve on");
DEFINE_double(run_ms, 5, "From a call's arrival to its effect");
DEFINE_uint64(answer_pad_bytes, 0, "Filling added to each answer");
DEFINE_uint32(concurrency, 64, "Calls that run at once");
DEFINE_bool(keep_log, true, "Keeps what GET /log shows");

int
main(int aArgc, char** aArgv)
{
  using namespace peridothoist;
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  const auto listen = standin::ListenSettings(FLAGS_listen);
  auto reactor = Reactor::Create();
  if (!listen || !reactor) {
    std::fprintf(
      stderr, "event=start_failed listen=%s\n", FLAGS_listen.c_str());
    return 1;
  }
  standin::PlainServiceSettings settings;
  settings.mRunTime = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(FLAGS_run_ms));
  settings.mAnswerPadBytes = FLAGS_answer_pad_bytes;
  settings.mConcurrency = FLAGS_concurrency;
  settings.mKeepLog = FLAGS_keep_log;
  standin::PlainService service(*reactor, settings);
  std::string reason;
  auto server = HttpServer::Create(*reactor, *listen, &service, &reason);
  if (!server) {
    std::fprintf(stderr, "event=start_failed reason=\"%s\"\n", reason.c_str());
    return 1;
  }
  reactor->OnSignal(SIGTERM, [&] { reactor->Stop(); });
  reactor->Run();
  return 0;
}
