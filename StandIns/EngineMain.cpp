/// Stand-in for model engines: hosts one or many in a process.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineManager.h>

#include <csignal>

#include <gflags/gflags.h>

DEFINE_string(engines, "", "role:ip:port of each engine, comma separated");
DEFINE_string(manage,
              "",
              "ip:port of the tests' own port; empty: none, and a "
              "crash of a single engine ends the process");
DEFINE_string(model, "m1", "Model that is loaded at first");
DEFINE_uint32(memory_pieces, 20, "Memory of a decode engine, in pieces");
DEFINE_uint32(piece_tokens, 4096, "Tokens in a piece");
DEFINE_double(token_ms, 20, "Time of a step with one stream");
DEFINE_double(batch_slope, 0.01, "Added share of a step for each further one");
DEFINE_uint32(max_batch, 20, "Streams in a step");
DEFINE_double(prefill_us_per_token, 50, "Prefill time of a token");
DEFINE_uint32(prefill_queue, 16, "Waiting prefills");
DEFINE_uint64(prefill_keep_ms, 800, "How long a prefill result is kept");
DEFINE_double(link_mb_per_second, 2000, "Rate of a decode engine's link");
DEFINE_uint64(link_max_wait_ms, 1000, "A longer wait for the link is refused");
DEFINE_uint64(kv_bytes_per_token, 100000, "Size of the KV cache of a token");
DEFINE_uint64(load_lag_ms, 200, "Age of load reports");
DEFINE_uint64(order_ms, 0, "From an order's arrival to its effect");
DEFINE_uint64(cache_entries, 64, "Cached prompts");
DEFINE_uint64(cache_event_delay_ms, 300, "Delay of cache events");
DEFINE_double(cache_event_loss, 0.1, "Share of cache events that are lost");
DEFINE_bool(checks_fence, false, "Refuses orders with an old fencing number");
DEFINE_bool(keep_log, true, "Keeps what GET /log shows");
DEFINE_string(crash_on, "", "Dies when it runs a prompt that contains this");
DEFINE_uint64(seed, 1, "Seed of random faults");

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
  settings.mBatch.mTokenTime = Microseconds(FLAGS_token_ms * 1000);
  settings.mBatch.mBatchSlope = FLAGS_batch_slope;
  settings.mBatch.mMaxBatch = FLAGS_max_batch;
  settings.mPrefillTokenTime =
    std::chrono::duration<double, std::micro>(FLAGS_prefill_us_per_token);
  settings.mPrefillQueue = FLAGS_prefill_queue;
  settings.mPrefillKeep = std::chrono::milliseconds(FLAGS_prefill_keep_ms);
  settings.mLinkBytesPerSecond = FLAGS_link_mb_per_second * 1e6;
  settings.mLinkMaxWait = std::chrono::milliseconds(FLAGS_link_max_wait_ms);
  settings.mKvBytesPerToken = FLAGS_kv_bytes_per_token;
  settings.mLoadLag = std::chrono::milliseconds(FLAGS_load_lag_ms);
  settings.mOrderTime = std::chrono::milliseconds(FLAGS_order_ms);
  settings.mCacheEntries = FLAGS_cache_entries;
  settings.mCacheEventDelay =
    std::chrono::milliseconds(FLAGS_cache_event_delay_ms);
  settings.mCacheEventLoss = FLAGS_cache_event_loss;
  settings.mChecksFence = FLAGS_checks_fence;
  settings.mKeepLog = FLAGS_keep_log;
  settings.mCrashOn = FLAGS_crash_on;
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
    std::fprintf(stderr, "event=start_failed reason=\"no reactor\"\n");
    return 1;
  }
  auto engines = standin::EnginesFromFlags(*reactor, *client);
  if (!standin::StartAll(engines)) {
    std::fprintf(
      stderr, "event=start_failed engines=%s\n", FLAGS_engines.c_str());
    return 1;
  }
  if (FLAGS_manage.empty() && engines.size() == 1) {
    engines.front()->ExitOnCrash();
  }
  standin::EngineManager manager(engines);
  std::unique_ptr<HttpServer> server;
  const auto listen = standin::ListenSettings(FLAGS_manage);
  std::string reason;
  if (listen) {
    server = HttpServer::Create(*reactor, *listen, &manager, &reason);
  }
  if (!FLAGS_manage.empty() && !server) {
    std::fprintf(
      stderr, "event=start_failed manage=%s\n", FLAGS_manage.c_str());
    return 1;
  }
  reactor->OnSignal(SIGTERM, [&] { reactor->Stop(); });
  reactor->Run();
  return 0;
}
