/// Tests that no source keeps the event loop for itself: whatever one has to
/// do, timers go on in time.
#define BOOST_TEST_MODULE LoopTurn
#include <Peridothoist/Peridothoist.h>
#include <Shell/ShellFixture.h>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

/// Time for which a source never runs dry.
constexpr Duration kFloodTime = 1s;

/// Longest time that a timer may be late meanwhile: a fifth of the half second
/// that an answer may be late (CONFIG).
constexpr Duration kMaxLag = 100ms;

/// Keeps the processor busy.
void
Work(Duration aTime)
{
  const TimePoint end = Reactor::ReadClock() + aTime;
  while (Reactor::ReadClock() < end) {
  }
}

/// A server on a thread of its own that answers one request with some bytes and
/// repeats others for kFloodTime, as fast as they are taken.
class Flood
{
public:
  Flood(std::string aBegin, const std::string& aRepeated)
    : mListener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , mBegin(std::move(aBegin))
  {
    while (mBlock.size() < kBlockBytes) {
      mBlock += aRepeated;
    }
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE_EQUAL(::bind(mListener, generic, size), 0);
    BOOST_REQUIRE_EQUAL(::listen(mListener, 1), 0);
    ::getsockname(mListener, generic, &size);
    mPort = ntohs(address.sin_port);
    mThread = std::thread([this] { Run(); });
  }
  ~Flood()
  {
    mThread.join();
    ::close(mListener);
  }
  Flood(const Flood&) = delete;
  Flood& operator=(const Flood&) = delete;

  std::uint16_t mPort = 0;
  std::atomic<std::size_t> mSentBytes = 0;

private:
  void Run()
  {
    const int connection = ::accept(mListener, nullptr, nullptr);
    std::array<char, 4096> request = {};
    ::recv(connection, request.data(), request.size(), 0);
    ::send(connection, mBegin.data(), mBegin.size(), MSG_NOSIGNAL);
    const TimePoint end = Reactor::ReadClock() + kFloodTime;
    ssize_t n = 0;
    while (n >= 0 && Reactor::ReadClock() < end) {
      n = ::send(connection, mBlock.data(), mBlock.size(), MSG_NOSIGNAL);
      mSentBytes += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
    ::close(connection);
  }

  static constexpr std::size_t kBlockBytes = 256 * 1024;

  int mListener;
  std::string mBegin;
  std::string mBlock;
  std::thread mThread;
};

/// A listener that needs time for each byte, as for a stream of tiny events.
class SlowListener : public CallRecorder
{
public:
  // See: HttpCallListener
  void OnData(std::string_view aData) override
  {
    mBytes += aData.size();
    Work(Duration(aData.size() / kBytesPerMicro));
  }

  std::size_t mBytes = 0;

private:
  static constexpr std::size_t kBytesPerMicro = 4;
};

struct TurnFixture : ShellFixture
{
  ~TurnFixture() { mReactor->CancelTimer(mTimer); }

  /// Measures how late a timer is, every millisecond.
  void Watch()
  {
    constexpr Duration kInterval = 1ms;
    const TimePoint due = Reactor::ReadClock() + kInterval;
    mTimer = mReactor->Schedule(kInterval, [this, due] {
      mMaxLag = std::max(mMaxLag, Duration(Reactor::ReadClock() - due));
      Watch();
    });
  }

  /// Returns the largest lag of a timer during a call whose response is a flood
  /// of these bytes.
  Duration LagOf(const std::string& aHead, const std::string& aRepeated)
  {
    Flood flood("HTTP/1.1 200 OK\r\n" + aHead, aRepeated);
    HttpCall call;
    call.mUrl = "http://127.0.0.1:" + std::to_string(flood.mPort) + "/";
    call.mMaxResponseBytes = 0;
    const auto listener = std::make_shared<SlowListener>();
    mMaxLag = Duration(0);
    Watch();
    mClient->Start(std::move(call), listener);
    BOOST_REQUIRE(Until([&] { return listener->mEnds > 0; }));
    mReactor->CancelTimer(mTimer);
    BOOST_TEST(flood.mSentBytes > 1000U);
    return mMaxLag;
  }

  Reactor::TimerId mTimer = 0;
  Duration mMaxLag{ 0 };
};

} // namespace

// Guards against a process that answers nobody while one upstream sends without
// end: libcurl reads a transfer for as long as bytes arrive (CONFIG).
BOOST_FIXTURE_TEST_CASE(AResponseWithoutEndDelaysNoTimer, TurnFixture)
{
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::map<std::string, std::pair<std::string, std::string>> forms = {
    { "body", { "\r\n", "\n" } },
    { "large chunks",
      { chunked, "1000\r\n" + std::string(4096, 'x') + "\r\n" } },
    { "chunks of a byte", { chunked, "1\r\nx\r\n" } },
    { "extension of a chunk", { chunked + "1;", "x" } },
    { "trailers", { chunked + "0\r\n", "a: b\r\n" } },
  };
  for (const auto& [name, form] : forms) {
    const Duration lag = LagOf(form.first, form.second);
    BOOST_TEST((lag < kMaxLag), name << ": " << lag.count() << " us");
  }
}

// Guards against a caller that sends without end, in one request or in many.
BOOST_FIXTURE_TEST_CASE(RequestsWithoutEndDelayNoTimer, TurnFixture)
{
  Serve();
  mHandler.mRespond = [](HttpExchange& aExchange) {
    Work(500us);
    aExchange.Respond(200, {}, "");
  };
  const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
  const std::map<std::string, std::pair<std::string, std::string>> forms = {
    { "pipeline", { "", "GET / HTTP/1.1\r\nHost: a\r\n\r\n" } },
    { "extension of a chunk",
      { head + "Transfer-Encoding: chunked\r\n\r\n1;", "x" } },
    { "chunks of a byte",
      { head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n" } },
    { "too large a body",
      { head + "Content-Length: 99999999999\r\n\r\n", "x" } },
  };
  for (const auto& [name, form] : forms) {
    mMaxLag = Duration(0);
    Watch();
    std::atomic<bool> isOver = false;
    std::thread caller([&, port = mServer->Port(), text = form] {
      const RawCaller connection(port);
      connection.Send(text.first);
      std::string block;
      while (block.size() < 64 * 1024) {
        block += text.second;
      }
      const TimePoint end = Reactor::ReadClock() + kFloodTime / 2;
      while (Reactor::ReadClock() < end) {
        connection.SendSome(block);
      }
      isOver = true;
    });
    BOOST_REQUIRE(Until([&] { return isOver.load(); }));
    caller.join();
    mReactor->CancelTimer(mTimer);
    BOOST_TEST((mMaxLag < kMaxLag), name << ": " << mMaxLag.count() << " us");
  }
}

// Guards against tasks or timers that are due together and keep all else
// waiting.
BOOST_FIXTURE_TEST_CASE(ManyTasksDelayNoTimerNorManyTimersATask, TurnFixture)
{
  constexpr int kCount = 200;
  int done = 0;
  const auto work = [&] {
    Work(2ms);
    ++done;
  };
  TimePoint ranAt;
  mReactor->Schedule(1ms, [&] { ranAt = Reactor::ReadClock(); });
  TimePoint begunAt = Reactor::ReadClock();
  for (int n = 0; n < kCount; ++n) {
    mReactor->Post(work);
  }
  BOOST_REQUIRE(Until([&] { return done == kCount; }));
  BOOST_TEST((ranAt - begunAt < kMaxLag));

  done = 0;
  bool hasCancelledRun = false;
  Reactor::TimerId cancelled = 0;
  begunAt = Reactor::ReadClock();
  mReactor->Schedule(1ms, [&] {
    mReactor->Post([&] {
      ranAt = Reactor::ReadClock();
      mReactor->CancelTimer(cancelled); // It is due, but not its turn.
    });
  });
  for (int n = 0; n < kCount; ++n) {
    mReactor->Schedule(1ms, work);
  }
  cancelled = mReactor->Schedule(1ms, [&] { hasCancelledRun = true; });
  mReactor->Post([] { Work(5ms); }); // Until all of them are due.
  BOOST_REQUIRE(Until([&] { return done == kCount; }));
  BOOST_TEST((ranAt > begunAt));
  BOOST_TEST((ranAt - begunAt < kMaxLag));
  BOOST_TEST(!hasCancelledRun);
}

// Guards against a paused transfer that is never resumed, or a body that lacks
// a part: a response that takes many turns arrives whole.
BOOST_FIXTURE_TEST_CASE(AResponseOfManyTurnsArrivesWhole, TurnFixture)
{
  Serve();
  std::string body;
  for (int n = 0; body.size() < 2000000; ++n) {
    body += std::to_string(n) + ' ';
  }
  mHandler.mRespond = [&](HttpExchange& aExchange) {
    if (aExchange.Request().mPath == "/sized") {
      aExchange.Respond(200, {}, body);
      return;
    }
    aExchange.StartStream(200, {});
    for (std::size_t at = 0; at < body.size(); at += 1000) {
      aExchange.Write(std::string_view(body).substr(at, 1000));
    }
    aExchange.EndStream();
  };
  std::vector<std::shared_ptr<CallRecorder>> recorders;
  for (int n = 0; n < 8; ++n) {
    const auto recorder = std::make_shared<CallRecorder>();
    recorder->mOnData = [] { Work(100us); };
    recorders.push_back(recorder);
    mClient->Start(Call("GET", n % 2 == 0 ? "/sized" : "/chunked"), recorder);
  }
  for (const auto& it : recorders) {
    BOOST_REQUIRE(Until([&] { return it->mEnds > 0; }));
    BOOST_TEST((it->mResult.mFailure == CallFailure::None));
    BOOST_TEST((it->mBody == body));
  }
}
