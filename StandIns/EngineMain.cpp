/// Main program of the model engine stand-in: hosts one or more engines in a
/// process.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineControlService.h>

#include <csignal>

#include <gflags/gflags.h>

DEFINE_string(engines, "", "role:ip:port of each engine, comma separated");
DEFINE_string(manage,
              "",
              "ip:port of the control port for tests. If empty, there is none, "
              "and a crash ends the process if it hosts a single engine");
DEFINE_string(model, "m1", "Model that is loaded at start");
DEFINE_uint32(memory_pieces, 20, "Memory of a decode engine, in pieces");
DEFINE_uint32(piece_tokens, 4096, "Tokens per piece");
DEFINE_double(token_ms,
              20,
              "Duration of a step with one stream, in milliseconds");
DEFINE_double(
  batch_slope,
  0.01,
  "Increase of the step duration per additional stream, as a fraction");
DEFINE_uint32(max_batch, 20, "Maximum number of streams per step");
DEFINE_double(prefill_us_per_token,
              50,
              "Prefill time per token, in microseconds");
DEFINE_uint32(prefill_queue, 16, "Maximum number of queued prefills");
DEFINE_uint64(prefill_keep_ms,
              800,
              "Lifetime of a prefill result, in milliseconds");
DEFINE_double(link_mb_per_second,
              2000,
              "Bandwidth of the link of a decode engine, in MB/s");
DEFINE_uint64(link_max_wait_ms,
              1000,
              "Maximum wait for the link, in milliseconds; a transfer that "
              "would wait longer is rejected");
DEFINE_uint64(kv_bytes_per_token, 100000, "KV cache size per token, in bytes");
DEFINE_uint64(load_lag_ms, 200, "Age of load reports, in milliseconds");
DEFINE_uint64(order_ms, 0, "Delay before an order is applied, in milliseconds");
DEFINE_uint64(cache_entries, 64, "Maximum number of cached prompts");
DEFINE_uint64(cache_event_delay_ms,
              300,
              "Delay of cache events, in milliseconds");
DEFINE_double(cache_event_loss, 0.1, "Fraction of cache events that are lost");
DEFINE_bool(checks_fence, false, "Reject orders with a stale fencing number");
DEFINE_bool(keep_log, true, "Record requests for GET /log");
DEFINE_string(crash_on,
              "",
              "A prompt that contains this text crashes the engine");
DEFINE_uint64(seed, 1, "Random seed for injected faults");

namespace peridothoist::standin {
namespace {

Duration
Microseconds(double aMicroseconds)
{
  return Duration(static_cast<Duration::rep>(aMicroseconds));
}

EngineSettings
SettingsFromFlags(const std::string& aRole)
{
  EngineSettings settings;
  settings.mRole = aRole;
  settings.mModel = FLAGS_model;
  settings.mMemoryPieces = FLAGS_memory_pieces;
  settings.mPieceTokens = FLAGS_piece_tokens;
  settings.mBatch.mBaseStepTime = Microseconds(FLAGS_token_ms * 1000);
  settings.mBatch.mStepTimeSlope = FLAGS_batch_slope;
  settings.mBatch.mMaxStreamsPerStep = FLAGS_max_batch;
  settings.mPrefillTimePerToken =
    std::chrono::duration<double, std::micro>(FLAGS_prefill_us_per_token);
  settings.mMaxQueuedPrefills = FLAGS_prefill_queue;
  settings.mPrefillResultLifetime =
    std::chrono::milliseconds(FLAGS_prefill_keep_ms);
  settings.mLinkBytesPerSecond = FLAGS_link_mb_per_second * 1e6;
  settings.mLinkMaxWait = std::chrono::milliseconds(FLAGS_link_max_wait_ms);
  settings.mKvBytesPerToken = FLAGS_kv_bytes_per_token;
  settings.mLoadLag = std::chrono::milliseconds(FLAGS_load_lag_ms);
  settings.mOrderDelay = std::chrono::milliseconds(FLAGS_order_ms);
  settings.mMaxCacheEntries = FLAGS_cache_entries;
  settings.mCacheEventDelay =
    std::chrono::milliseconds(FLAGS_cache_event_delay_ms);
  settings.mCacheEventLossProbability = FLAGS_cache_event_loss;
  settings.mChecksFence = FLAGS_checks_fence;
  settings.mIsLogEnabled = FLAGS_keep_log;
  settings.mCrashPromptText = FLAGS_crash_on;
  return settings;
}

std::vector<std::unique_ptr<EngineHost>>
EnginesFromFlags(Reactor& aReactor, HttpClient& aClient)
{
  std::vector<std::unique_ptr<EngineHost>> engines;
  for (const std::string& it : Split(FLAGS_engines, ',')) {
    const std::size_t colon = it.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    engines.push_back(
      std::make_unique<EngineHost>(aReactor,
                                   aClient,
                                   it.substr(colon + 1),
                                   SettingsFromFlags(it.substr(0, colon)),
                                   FLAGS_seed + engines.size()));
  }
  return engines;
}

bool
StartAll(std::vector<std::unique_ptr<EngineHost>>& aEngines)
{
  for (const auto& it : aEngines) {
    if (!it->Start()) {
      return false;
    }
  }
  return !aEngines.empty();
}

} // namespace
} // namespace peridothoist::standin

int
main(int aArgc, char** aArgv)
{
  using namespace peridothoist;
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  auto reactor = Reactor::Create();
  auto client = reactor ? HttpClient::Create(*reactor) : nullptr;
  if (!client) {
    std::fprintf(stderr,
                 "event=start_failed reason=\"could not create the reactor or "
                 "HTTP client\"\n");
    return 1;
  }
  auto engines = standin::EnginesFromFlags(*reactor, *client);
  if (!standin::StartAll(engines)) {
    std::fprintf(
      stderr, "event=start_failed engines=%s\n", FLAGS_engines.c_str());
    return 1;
  }
  if (FLAGS_manage.empty() && engines.size() == 1) {
    engines.front()->SetExitOnCrash();
  }
  standin::EngineControlService controlService(engines);
  std::unique_ptr<HttpServer> server;
  const auto controlListen = standin::ParseListenAddress(FLAGS_manage);
  std::string reason;
  if (controlListen) {
    server =
      HttpServer::Create(*reactor, *controlListen, &controlService, &reason);
  }
  if (!FLAGS_manage.empty() && !server) {
    std::fprintf(
      stderr, "event=start_failed manage=%s\n", FLAGS_manage.c_str());
    return 1;
  }
  reactor->SetSignalHandler(SIGTERM, [&] { reactor->Stop(); });
  reactor->Run();
  return 0;
}
