/// Measures the resident memory of the entry per open stream: opens many
/// streams at one entry, holds them open, and compares the memory before and
/// after.
#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/Percentiles.h>
#include <PerformanceTest/RunningSystem.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/Reactor.h>

#include <gflags/gflags.h>

DEFINE_uint64(streams, 5000, "Number of streams to open");
DEFINE_double(open_per_second, 500, "Streams opened per second");
DEFINE_double(hold_seconds,
              5,
              "Time in seconds for which all streams are held open");

namespace peridothoist::perf {
namespace {

constexpr std::uint64_t kSpareDescriptors = 200;

/// Counters over all streams.
struct StreamCounts
{
  std::size_t mStarted = 0; ///< Streams that have received data.
  std::size_t mEnded = 0;
  std::size_t mTokens = 0;
};

/// One stream, whose data is counted and discarded.
class OpenStream : public HttpCallListener
{
public:
  explicit OpenStream(StreamCounts& aCounts)
    : mCounts(aCounts)
  {
  }

  // See: HttpCallListener
  void OnData(std::string_view /*aData*/) override
  {
    if (!mHasStarted) {
      mHasStarted = true;
      ++mCounts.mStarted;
    }
    ++mCounts.mTokens;
  }

  void OnEnd(const HttpCallResult& /*aOutcome*/) override { ++mCounts.mEnded; }

private:
  StreamCounts& mCounts;
  bool mHasStarted = false;
};

/// Opens streams at a steady rate.
class StreamOpener
{
public:
  StreamOpener(Reactor& aReactor,
               HttpClient& aClient,
               const RunningSystem& aSystem)
    : mReactor(aReactor)
    , mClient(aClient)
    , mSystem(aSystem)
  {
  }

  void OpenNext()
  {
    if (mOpened == FLAGS_streams) {
      mReactor.Schedule(
        Duration(static_cast<Duration::rep>(FLAGS_hold_seconds * 1e6)),
        [this] { mReactor.Stop(); });
      return;
    }
    HttpCall call;
    call.mMethod = "POST";
    call.mUrl = "http://" + mSystem.mEntries[0] + "/v1/completions";
    call.mHeaders["authorization"] = "Bearer " + mSystem.mKeys[0];
    call.mHeaders["content-type"] = "application/json";
    call.mBody = R"({"model":"m1","stream":true,"max_tokens":400,"prompt":")" +
                 std::string("memory ") + std::to_string(mOpened) + "\"}";
    call.mTotalTimeout = 600s;
    call.mConnectTimeout = 10s;
    mClient.Start(std::move(call), std::make_shared<OpenStream>(mCounts));
    ++mOpened;
    const Duration gap(static_cast<Duration::rep>(1e6 / FLAGS_open_per_second));
    mReactor.Schedule(gap, [this] { OpenNext(); });
  }

  const StreamCounts& Counts() const { return mCounts; }

private:
  Reactor& mReactor;
  HttpClient& mClient;
  const RunningSystem& mSystem;
  StreamCounts mCounts;
  std::size_t mOpened = 0;
};

int
Measure(const RunningSystem& aSystem)
{
  const std::uint64_t limit = RaiseDescriptorLimit();
  PrintValue("descriptor_limit", static_cast<double>(limit));
  if (limit < FLAGS_streams + kSpareDescriptors) {
    std::printf("note=the descriptor limit is too low for %llu streams\n",
                static_cast<unsigned long long>(FLAGS_streams));
  }
  auto reactor = Reactor::Create();
  auto client = reactor ? HttpClient::Create(*reactor) : nullptr;
  if (!client) {
    return 1;
  }
  const int pid = aSystem.mEntryPids[0];
  const double before = ProcessResidentBytes(pid);
  StreamOpener opener(*reactor, *client, aSystem);
  opener.OpenNext();
  reactor->Run();
  const StreamCounts& counts = opener.Counts();
  const double after = ProcessResidentBytes(pid);
  const auto open = static_cast<double>(counts.mStarted - counts.mEnded);
  PrintValue("streams_open", open);
  PrintValue("streams_ended", static_cast<double>(counts.mEnded));
  PrintValue("resident_before_bytes", before);
  PrintValue("resident_after_bytes", after);
  PrintValue("kib_per_stream", open > 0 ? (after - before) / open / 1024 : 0);
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
