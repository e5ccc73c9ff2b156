/// Tests a complete node process on loopback with the platform's protocols,
/// against an in-memory store and an upstream in the same process.
#define BOOST_TEST_MODULE NodeProcess
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/NodeProcess.h>
#include <Shell/ShellFixture.h>
#include <platform/PlatformCallerProtocol.h>
#include <platform/PlatformUpstreamProtocol.h>
#include <platform/PlatformViewDecoder.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

using namespace peridothoist;
using namespace peridothoist::test;
using nlohmann::json;

namespace {

/// Returns a loopback address that is unique among the running processes.
std::string
UniqueLoopbackAddress()
{
  const auto pid = static_cast<unsigned int>(::getpid());
  return "127." + std::to_string(64 + (pid >> 16) % 64) + "." +
         std::to_string((pid >> 8) % 256) + "." + std::to_string(pid % 256);
}

/// In-memory row store that can simulate an outage.
class MemoryStore : public RowStore
{
public:
  explicit MemoryStore(Reactor* aReactor)
    : mReactor(aReactor)
  {
  }

  // See: RowStore
  void ReadTable(const std::string& aTable, ReadCallback aCallback) override
  {
    mReactor->Post([this, aTable, aCallback] {
      if (mIsUnavailable) {
        aCallback(std::nullopt,
                  { ReasonCode::Unreachable, "store unavailable" });
        return;
      }
      std::vector<StoredRow> rows;
      for (const auto& [key, value] : mTables[aTable]) {
        rows.push_back({ key, value, { 1, 0 } });
      }
      aCallback(std::move(rows), Reason());
    });
  }
  void Change(const RowChange& aChange, ChangeCallback aCallback) override
  {
    if (aChange.mExpectedVersion == StoreVersion() &&
        mTables[aChange.mTable].count(aChange.mKey) > 0) {
      mReactor->Post([aCallback] {
        aCallback({ ReasonCode::Conflict, "" }, {});
      });
      return;
    }
    if (aChange.mValue) {
      mTables[aChange.mTable][aChange.mKey] = *aChange.mValue;
    } else {
      mTables[aChange.mTable].erase(aChange.mKey);
    }
    mReactor->Post([aCallback] { aCallback(Reason(), { 1, 0 }); });
  }

  Reactor* mReactor;
  bool mIsUnavailable = false;
  std::map<std::string, std::map<std::string, std::string>> mTables;
};

/// Keeps the datagrams that a socket receives.
struct DatagramRecorder : PeerSocketListener
{
  // See: PeerSocketListener
  void OnMessage(std::string_view aBytes) override
  {
    mReceived.emplace_back(aBytes);
  }

  std::vector<std::string> mReceived;
};

/// A node with one caller and one upstream.
/// An upstream that keeps connections open and, once it has refused a request
/// on one, writes that refusal before each later response there. Its id is that
/// of the request whose response is expected.
class RefusalRepeatingUpstream : public RawServer
{
public:
  explicit RefusalRepeatingUpstream(Reactor& aReactor)
    : RawServer(aReactor, "")
    , mReactor(aReactor)
  {
  }
  ~RefusalRepeatingUpstream() override
  {
    for (const auto& [connection, refusal] : mRefusals) {
      mReactor.Unwatch(connection);
      ::close(connection);
    }
  }

  // See: DescriptorListener
  void OnReadable(int aDescriptor) override
  {
    if (aDescriptor == Socket()) {
      const int connection = ::accept(aDescriptor, nullptr, nullptr);
      mRefusals[connection] = "";
      mReactor.Watch(connection, this);
      return;
    }
    std::array<char, 65536> buffer = {};
    const auto n = ::recv(aDescriptor, buffer.data(), buffer.size(), 0);
    if (n <= 0) {
      mReactor.Unwatch(aDescriptor);
      ::close(aDescriptor);
      mRefusals.erase(aDescriptor);
      return;
    }
    const std::string request(buffer.data(), static_cast<std::size_t>(n));
    const bool isCheck = request.find("/-/report") != std::string::npos;
    const std::string refusal =
      Head(503, request) + "Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
    const std::string answer =
      Head(200, request) + "Response-Seal: s\r\nContent-Length: 2\r\n\r\nok";
    std::string& earlier = mRefusals[aDescriptor];
    const std::string sent = earlier + (mRefuses ? refusal : answer);
    mRuns += mRefuses || isCheck ? 0 : 1;
    earlier = mRefuses ? refusal : earlier;
    ::send(aDescriptor, sent.data(), sent.size(), MSG_NOSIGNAL);
  }

  bool mRefuses = true;
  int mRuns = 0;

private:
  static std::string Head(int aStatus, const std::string& aRequest)
  {
    const std::string name = "request-id: ";
    const auto lower = ToLower(aRequest);
    const auto at = lower.find(name);
    const std::string id =
      at == std::string::npos
        ? ""
        : aRequest.substr(at + name.size(),
                          aRequest.find('\r', at) - at - name.size());
    return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\nRequest-Id: " + id +
           "\r\n";
  }

  static std::string ToLower(std::string aText)
  {
    for (char& it : aText) {
      it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    }
    return aText;
  }

  Reactor& mReactor;
  std::map<int, std::string> mRefusals; ///< Written last, by connection.
};

struct NodeFixture : ShellFixture
{
  NodeFixture()
    : mStore(mReactor.get())
  {
    Serve(); // Starts the upstream.
    mHandler.mRespond = [this](HttpExchange& aExchange) {
      mLastRequest = aExchange.Request();
      aExchange.Respond(200,
                        { { "request-id", mLastRequest.mHeaders["request-id"] },
                          { "response-seal", "s1" } },
                        "answer");
    };
    WriteConfiguration(1, "k1");
    WriteUpstream("ready");
  }

  void WriteConfiguration(int aVersion, const std::string& aKey)
  {
    const json body = { { "version", aVersion },
                        { "routes",
                          { { { "name", "r" },
                              { "host", "site" },
                              { "pathPrefix", "/a/" },
                              { "kind", "unsafe" },
                              { "service", "s" } },
                            { { "name", "events" },
                              { "host", "site" },
                              { "pathPrefix", "/s/" },
                              { "kind", "streaming" },
                              { "service", "s" } },
                            { { "name", "open" },
                              { "host", "site" },
                              { "pathPrefix", "/open/" },
                              { "kind", "safe" },
                              { "public", true },
                              { "service", "s" } } } },
                        { "services", { { { "name", "s" } } } },
                        { "tenants",
                          { { { "name", "w" }, { "apiKeys", { aKey } } } } } };
    mStore.mTables["op"]["config"] = body.dump();
  }

  /// Writes a configuration in which the workspace may make aRate requests a
  /// second and aBurst at once.
  void WriteLimit(int aVersion, double aRate, double aBurst)
  {
    WriteConfiguration(aVersion, "k1");
    json body = json::parse(mStore.mTables["op"]["config"]);
    body["tenants"][0]["ratePerS"] = aRate;
    body["tenants"][0]["burst"] = aBurst;
    mStore.mTables["op"]["config"] = body.dump();
  }

  /// Sets the target latency of the first route, in milliseconds.
  void WriteRouteTarget(int aMilliseconds)
  {
    json body = json::parse(mStore.mTables["op"]["config"]);
    body["routes"][0]["targetLatencyMs"] = aMilliseconds;
    mStore.mTables["op"]["config"] = body.dump();
  }

  /// Returns whether the metrics contain aText.
  bool HasMetric(const std::string& aText)
  {
    const auto metrics = CallAndWait(MakeGet(7601, "/metrics"));
    return metrics->mBody.find(aText) != std::string::npos;
  }

  void WriteUpstream(const std::string& aState)
  {
    WriteUpstreamAt(aState, mServer->Port());
  }

  void WriteUpstreamAt(const std::string& aState, std::uint16_t aPort)
  {
    const json body = { { "service", "s" },
                        { "address", "127.0.0.1:" + std::to_string(aPort) },
                        { "zone", "a" },
                        { "slots", 6 },
                        { "state", aState } };
    mStore.mTables["servers"]["i-1"] = body.dump();
  }

  /// Lets the upstream stream events of 8 KiB as fast as they are read, aEvents
  /// in all.
  void StreamEvents(int aEvents)
  {
    mHandler.mRespond = [this, aEvents](HttpExchange& aExchange) {
      const auto headers = aExchange.Request().mHeaders;
      aExchange.StartStream(200,
                            { { "request-id", headers.at("request-id") },
                              { "response-seal", "s" } });
      mEventsSent = 0;
      mEventsInAll = aEvents;
      WriteEvents();
    };
    mHandler.mOnDrained = [this] { WriteEvents(); };
  }

  void WriteEvents()
  {
    const auto exchange = mHandler.mLastExchange;
    bool hasRoom = true;
    while (hasRoom && mEventsSent < mEventsInAll) {
      hasRoom = exchange->Write("id: " + std::to_string(++mEventsSent) +
                                "\ndata: " + std::string(8192, 'x') + "\n\n");
    }
    if (mEventsSent == mEventsInAll) {
      exchange->EndStream();
    }
  }

  /// Starts a stream whose caller reads nothing, and waits until the upstream
  /// is no longer read. Returns the caller's call.
  HttpClient::CallId StartUnreadStream(std::shared_ptr<CallRecorder> aCaller)
  {
    HttpCall call = MakeRequest("/s/x", "k1");
    call.mHeaders["request-deadline"] = "60000";
    const auto id = mClient->Start(call, std::move(aCaller));
    mClient->Pause(id);
    int before = -1;
    BOOST_REQUIRE(RunFor(50ms));
    while (before != mEventsSent) {
      before = mEventsSent;
      BOOST_REQUIRE(RunFor(100ms));
    }
    return id;
  }

  /// Returns the value of a metric without labels; -1: there is none.
  double MetricValue(const std::string& aName)
  {
    const auto body = CallAndWait(MakeGet(7601, "/metrics"))->mBody;
    const auto at = body.find("\n" + aName + " ");
    return at == std::string::npos
             ? -1
             : std::strtod(body.c_str() + at + aName.size() + 2, nullptr);
  }

  static int CountEvents(const std::string& aBody)
  {
    int count = 0;
    for (auto at = aBody.find("id: "); at != std::string::npos;
         at = aBody.find("id: ", at + 1)) {
      ++count;
    }
    return count;
  }

  void StartNode(Duration aLeavingStreamPeriod = 50ms)
  {
    const std::string ip = UniqueLoopbackAddress();
    NodeSettings settings;
    settings.mVm = "vm1";
    settings.mZone = "a";
    settings.mListen = ip + ":8221";
    settings.mReadyListen = ip + ":8224";
    settings.mDirectoryListen = ip + ":8220";
    settings.mMetricsListen = ip + ":7601";
    settings.mPeerListen = ip + ":7600";
    settings.mViews.mPoller.mConfigurationInterval = 20ms;
    settings.mViews.mPoller.mUpstreamInterval = 20ms;
    settings.mViews.mPoller.mRetryInterval = 10ms;
    settings.mView = { 1500ms, 200ms, 0.5 };
    settings.mLeaving.mMaxAcceptPeriod = 50ms;
    settings.mLeaving.mMaxStreamPeriod = aLeavingStreamPeriod;
    settings.mMachine.mUpstreamList.mMissingGracePeriod = 0ms;
    settings.mIdleTimeout = mIdleTimeout;
    settings.mMaxBufferedBytes = mMaxBufferedBytes;
    Reason reason;
    mNode = NodeProcess::Create(settings,
                                { &mCallers, &mUpstreams, &mView, &mStore },
                                mReactor.get(),
                                mClient.get(),
                                &reason);
    BOOST_REQUIRE_MESSAGE(mNode != nullptr, reason.mText);
    BOOST_REQUIRE(CallUntil(MakeGet(8224, "/-/ready"), 200));
  }

  HttpCall MakeGet(int aPort, const std::string& aTarget) const
  {
    HttpCall call;
    call.mUrl = "http://" + UniqueLoopbackAddress() + ":" +
                std::to_string(aPort) + aTarget;
    return call;
  }

  HttpCall MakeRequest(const std::string& aTarget,
                       const std::string& aKey) const
  {
    HttpCall call = MakeGet(8221, aTarget);
    call.mMethod = "POST";
    call.mBody = "body";
    call.mMaxResponseBytes = 0; // A caller bounds nothing.
    call.mHeaders = { { "host", "site" },
                      { "request-id", "id-1" },
                      { "request-deadline", "5000" } };
    if (!aKey.empty()) {
      call.mHeaders["authorization"] = "Bearer " + aKey;
    }
    return call;
  }

  /// Repeats a call until its status is aStatus. Returns false after 400 calls.
  bool CallUntil(const HttpCall& aCall, int aStatus)
  {
    for (int n = 0; n < 400; ++n) {
      if (CallAndWait(aCall)->mStatus == aStatus) {
        return true;
      }
      RunFor(10ms);
    }
    return false;
  }

  /// Runs the reactor for aTime. Returns false if the node stopped it earlier.
  bool RunFor(Duration aTime)
  {
    bool isElapsed = false;
    mReactor->Schedule(aTime, [&] { isElapsed = true; });
    return Until([&] { return isElapsed; });
  }

  int mEventsSent = 0;
  int mEventsInAll = 0;
  Duration mIdleTimeout = 30s;
  std::size_t mMaxBufferedBytes = 16u << 20;
  MemoryStore mStore;
  HttpRequest mLastRequest;
  platform::PlatformCallerProtocol mCallers;
  platform::PlatformUpstreamProtocol mUpstreams;
  platform::PlatformViewDecoder mView;
  std::unique_ptr<NodeProcess> mNode;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Node, NodeFixture)

BOOST_AUTO_TEST_CASE(ForwardsRequestWithoutItsKey)
{
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x?q=1", "k1"), 200));
  BOOST_TEST(mLastRequest.mTarget == "/a/x?q=1");
  BOOST_TEST(mLastRequest.mBody == "body");
  BOOST_TEST(mLastRequest.mHeaders["tenant-id"] == "w");
  BOOST_TEST(mLastRequest.mHeaders["expect-instance"] == "i-1");
  BOOST_TEST(mLastRequest.mHeaders.count("authorization") == 0U);
  const auto result = CallAndWait(MakeRequest("/a/x", "k1"));
  BOOST_TEST(result->mBody == "answer");
  BOOST_TEST(result->mHeaders.at("response-seal") == "s1");
  BOOST_TEST(CallAndWait(MakeRequest("/a/x", "k2"))->mStatus == 401);
  BOOST_TEST(CallAndWait(MakeRequest("/none/x", "k1"))->mStatus == 404);
}

BOOST_AUTO_TEST_CASE(AddressLookupReturnsTheNode)
{
  StartNode();
  const auto result = CallAndWait(MakeGet(8220, "/-/resolve?name=site&zone=a"));
  BOOST_TEST(json::parse(result->mBody)["addresses"][0] ==
             UniqueLoopbackAddress() + ":8221");
}

// Guards against a node that does not handle the messages about origins, or
// that sends its responses from nowhere.
BOOST_AUTO_TEST_CASE(PeersGetTheOriginsThatTheNodeKeeps)
{
  StartNode();
  DatagramRecorder peer;
  const std::string nodeAddress = UniqueLoopbackAddress() + ":7600";
  const std::string peerAddress = UniqueLoopbackAddress() + ":7609";
  const auto socket = PeerSocket::Create(peerAddress, mReactor.get(), &peer);
  BOOST_REQUIRE(socket != nullptr);
  const StreamOrigin origin{ "s", "v1" };
  socket->Send(nodeAddress, "no message");
  socket->Send(nodeAddress, EncodeOriginNotice({ { { "id-1", origin } } }));
  socket->Send(nodeAddress, EncodeOriginQuery({ 1, "id-1", peerAddress }));
  socket->Send(nodeAddress, EncodeOriginQuery({ 2, "id-2", peerAddress }));
  BOOST_REQUIRE(Until([&] { return peer.mReceived.size() == 2; }));
  const auto known = DecodeOriginResponse(peer.mReceived[0]);
  const auto unknown = DecodeOriginResponse(peer.mReceived[1]);
  BOOST_REQUIRE((known && unknown));
  BOOST_TEST((known->mId == 1 && known->mOrigin == origin));
  BOOST_TEST((unknown->mId == 2 && !unknown->mOrigin));
  const auto metrics = CallAndWait(MakeGet(7601, "/metrics"))->mBody;
  BOOST_TEST(metrics.find("peridothoist_origin_exchange_received_total 1") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(WithdrawnKeyIsRejected)
{
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  WriteConfiguration(2, "k2");
  BOOST_TEST(CallUntil(MakeRequest("/a/x", "k1"), 401));
  BOOST_TEST(CallUntil(MakeRequest("/a/x", "k2"), 200));
  WriteConfiguration(1, "k1"); // Older versions are ignored.
  BOOST_TEST(!CallUntil(MakeRequest("/a/x", "k1"), 200));
}

BOOST_AUTO_TEST_CASE(OnlyOpenRoutesAreServedDuringStoreOutage)
{
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  mStore.mIsUnavailable = true;
  BOOST_TEST(CallUntil(MakeRequest("/a/x", "k1"), 503));
  const auto open = CallAndWait(MakeRequest("/open/x", ""));
  BOOST_TEST(open->mStatus == 200);
  BOOST_TEST(CallAndWait(MakeGet(8224, "/-/ready"))->mStatus == 200);
  mStore.mIsUnavailable = false;
  BOOST_TEST(CallUntil(MakeRequest("/a/x", "k1"), 200));
}

// What an upstream states about its work time is read from no response, or an
// operator does not see it.
BOOST_AUTO_TEST_CASE(StatedWorkTimesAreExported)
{
  mHandler.mRespond = [this](HttpExchange& aExchange) {
    mLastRequest = aExchange.Request();
    aExchange.Respond(200,
                      { { "request-id", mLastRequest.mHeaders["request-id"] },
                        { "response-seal", "s1" },
                        { "server-load", "1,0,6,170" } },
                      "answer");
  };
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  for (int n = 0; n < 15; ++n) {
    RunFor(60ms); // Statements in quick succession count once.
    const auto result = CallAndWait(MakeRequest("/a/x", "k1"));
    BOOST_TEST(result->mHeaders.count("server-load") == 0U);
  }
  RunFor(600ms); // Factors are computed with each round of gossip.
  const auto metrics = CallAndWait(MakeGet(7601, "/metrics"));
  const auto exports = [&](const char* aLine) {
    return metrics->mBody.find(aLine) != std::string::npos;
  };
  BOOST_TEST(exports("peridothoist_upstream_speeds_known 1"));
  BOOST_TEST(exports("peridothoist_upstream_speed_max 1.7"));
}

BOOST_AUTO_TEST_CASE(LeavingUpstreamReceivesNoRequests)
{
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  WriteUpstream("draining");
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 503));
  const int before = mHandler.mRequests;
  CallAndWait(MakeRequest("/a/x", "k1"));
  BOOST_TEST(mHandler.mRequests == before);
}

BOOST_AUTO_TEST_CASE(ResponseWithOtherRequestIdIsNotForwarded)
{
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  mHandler.mRespond = [](HttpExchange& aExchange) {
    aExchange.Respond(
      200, { { "request-id", "id-9" }, { "response-seal", "s" } }, "secret");
  };
  const auto result = CallAndWait(MakeRequest("/a/x", "k1"));
  BOOST_TEST(result->mStatus == 502);
  BOOST_TEST(result->mBody.find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(ShutdownWaitsForOpenRequest)
{
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  mHandler.mRespond = nullptr; // The upstream responds below.
  const auto result = std::make_shared<CallRecorder>();
  const int before = mHandler.mRequests;
  mClient->Start(MakeRequest("/a/x", "k1"), result);
  BOOST_REQUIRE(Until([&] { return mHandler.mRequests > before; }));
  mNode->StartLeaving();
  BOOST_TEST(CallAndWait(MakeGet(8224, "/-/ready"))->mStatus == 503);
  // After mMaxAcceptPeriod, only the open request delays the shutdown.
  BOOST_REQUIRE(RunFor(200ms));
  mHandler.mLastExchange->Respond(
    200, { { "request-id", "id-1" }, { "response-seal", "s" } }, "late");
  mReactor->Run(); // Returns when the node has shut down.
  BOOST_TEST(result->mStatus == 200);
  BOOST_TEST(result->mBody == "late");
  BOOST_TEST(result->mHeaders.at("connection") == "close");
}

BOOST_AUTO_TEST_CASE(LateStreamIsRefusedDuringShutdown)
{
  StartNode(0ms);
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  mHandler.mRespond = [](HttpExchange& aExchange) {
    aExchange.Respond(200,
                      { { "request-id", "id-1" }, { "response-seal", "s" } },
                      "id: 1\ndata: x\n\n");
  };
  const auto first = CallAndWait(MakeRequest("/s/x", "k1"));
  BOOST_TEST(first->mStatus == 200);
  mNode->StartLeaving();
  const auto result = CallAndWait(MakeRequest("/s/x", "k1"));
  BOOST_TEST(result->mStatus == 503);
  BOOST_TEST(result->mHeaders.count("retry-after") == 1U);
  BOOST_TEST(CallAndWait(MakeRequest("/a/x", "k1"))->mStatus == 200);
}

// Load: a burst of one workspace over its allowance. Guards against a refusal
// where a wait of a tenth of a second is enough, and against a wait that
// neither metrics show.
BOOST_AUTO_TEST_CASE(RequestOverTheAllowanceWaitsForIt)
{
  WriteLimit(1, 8, 4); // A token every 125 ms; the target latency is 1 s.
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  for (int n = 0; n < 4; ++n) {
    CallAndWait(MakeRequest("/a/x", "k1"));
  }
  const int before = mHandler.mRequests;
  const TimePoint start = mReactor->Now();
  const auto first = CallAndWait(MakeRequest("/a/x", "k1"));
  BOOST_TEST(first->mStatus == 200);
  BOOST_TEST((mReactor->Now() - start < 500ms));
  BOOST_TEST(mHandler.mRequests == before + 1);
  BOOST_TEST(HasMetric(
    "peridothoist_allowance_wait_seconds_count{result=\"admitted\"}"));
  BOOST_TEST(HasMetric("peridothoist_waiting_for_allowance 0"));
}

// Load: a flood of one workspace. Guards against a VM that holds all of it.
BOOST_AUTO_TEST_CASE(RequestsFarOverTheAllowanceAreRefusedAtOnce)
{
  WriteLimit(1, 8, 4);
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  std::vector<std::shared_ptr<CallRecorder>> calls;
  for (int n = 0; n < 40; ++n) {
    calls.push_back(std::make_shared<CallRecorder>());
    mClient->Start(MakeRequest("/a/x", "k1"), calls.back());
  }
  const TimePoint start = mReactor->Now();
  BOOST_REQUIRE(Until([&] {
    return std::all_of(calls.begin(), calls.end(), [](const auto& aCall) {
      return aCall->mEnds > 0;
    });
  }));
  BOOST_TEST((mReactor->Now() - start < 900ms));
  int served = 0;
  for (const auto& call : calls) {
    served += call->mStatus == 200 ? 1 : 0;
    BOOST_REQUIRE((call->mStatus == 200 || call->mStatus == 429));
    BOOST_TEST((call->mStatus == 200) ==
               (call->mHeaders.count("retry-after") == 0U));
  }
  BOOST_TEST(served >= 3);
  BOOST_TEST(served <= 4 + 8);
}

// Load: a caller leaves, a key is withdrawn and the VM shuts down while
// requests wait for their allowance. Guards against a request that runs
// although it must not, and against one without a response.
BOOST_AUTO_TEST_CASE(EndsOfTheWaitForTheAllowance)
{
  WriteLimit(1, 1, 2); // A token a second.
  WriteRouteTarget(8000);
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  for (int n = 0; n < 2; ++n) {
    CallAndWait(MakeRequest("/a/x", "k1"));
  }
  const int before = mHandler.mRequests;
  const auto left = std::make_shared<CallRecorder>();
  const auto id = mClient->Start(MakeRequest("/a/x", "k1"), left);
  RunFor(30ms);
  mClient->Cancel(id);
  RunFor(100ms);
  BOOST_TEST(
    HasMetric("peridothoist_allowance_wait_seconds_count{result=\"left\"} 1"));
  const auto withdrawn = std::make_shared<CallRecorder>();
  mClient->Start(MakeRequest("/a/x", "k1"), withdrawn);
  RunFor(20ms);
  WriteConfiguration(2, "k2");
  BOOST_REQUIRE(Until([&] { return withdrawn->mEnds > 0; }));
  BOOST_TEST(withdrawn->mStatus == 401);
  BOOST_TEST(mHandler.mRequests == before);
}

BOOST_AUTO_TEST_CASE(ShutdownRefusesRequestsThatWaitForTheAllowance)
{
  WriteLimit(1, 0.5, 2);
  WriteRouteTarget(10000);
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  for (int n = 0; n < 2; ++n) {
    CallAndWait(MakeRequest("/a/x", "k1"));
  }
  const int before = mHandler.mRequests;
  const auto waiting = std::make_shared<CallRecorder>();
  mClient->Start(MakeRequest("/a/x", "k1"), waiting);
  RunFor(20ms);
  mNode->StartLeaving();
  mReactor->Run(); // Returns when the node has shut down.
  BOOST_TEST(waiting->mStatus == 503);
  BOOST_TEST(waiting->mHeaders.count("retry-after") == 1U);
  BOOST_TEST(mHandler.mRequests == before);
}

// Load: a caller that does not read, of a stream of 80 MB. Guards against a VM
// that buffers all of it, and against events that are lost by the pause.
BOOST_AUTO_TEST_CASE(UnreadStreamIsNotBufferedWithoutBound)
{
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  StreamEvents(10000);
  const auto caller = std::make_shared<CallRecorder>();
  const auto id = StartUnreadStream(caller);
  BOOST_TEST(mEventsSent < 1000); // 8 MB, most of it in the test's sockets.
  const double buffered = MetricValue("peridothoist_buffered_bytes");
  BOOST_TEST(buffered > 0);
  BOOST_TEST(buffered <= 64 * 1024 + 2 * 9000);
  mClient->Resume(id);
  BOOST_REQUIRE(Until([&] { return caller->mEnds > 0; }));
  BOOST_TEST((caller->mResult.mFailure == CallFailure::None));
  BOOST_TEST(CountEvents(caller->mBody) == 10000);
  BOOST_TEST(MetricValue("peridothoist_buffered_bytes") == 0);
}

// Load: a caller that does not read. Guards against a stream whose upstream
// broke off meanwhile and that reaches the caller as a complete one.
BOOST_AUTO_TEST_CASE(StreamThatBreaksOffWhilePausedEndsIncomplete)
{
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  StreamEvents(10000);
  const auto caller = std::make_shared<CallRecorder>();
  const auto id = StartUnreadStream(caller);
  mServer.reset(); // The upstream aborts its responses.
  BOOST_REQUIRE(RunFor(50ms));
  BOOST_TEST(caller->mEnds == 0);
  mClient->Resume(id);
  BOOST_REQUIRE(Until([&] { return caller->mEnds > 0; }));
  BOOST_TEST((caller->mResult.mFailure == CallFailure::Broken));
  BOOST_TEST(CountEvents(caller->mBody) < 10000);
}

// Load: a caller that reads 2 MB a second, of a stream of 8 MB. Guards against
// a slow reader that is cut although it reads, here after an idle time of 1 s.
BOOST_AUTO_TEST_CASE(SlowReaderIsNotCut)
{
  mIdleTimeout = 1s;
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  StreamEvents(1000);
  const auto caller = std::make_shared<CallRecorder>();
  HttpCall call = MakeRequest("/s/x", "k1");
  call.mHeaders["request-deadline"] = "60000";
  HttpClient::CallId id = 0;
  caller->mOnData = [&] {
    mClient->Pause(id);
    mReactor->Schedule(4ms, [&] { mClient->Resume(id); });
  };
  const TimePoint start = mReactor->Now();
  id = mClient->Start(call, caller);
  BOOST_REQUIRE(Until([&] { return caller->mEnds > 0; }));
  BOOST_TEST((mReactor->Now() - start > 2s));
  BOOST_TEST((caller->mResult.mFailure == CallFailure::None));
  BOOST_TEST(CountEvents(caller->mBody) == 1000);
}

// Load: a caller that does not read, and new requests of two priorities. Guards
// against buffers of all callers without a bound, and against an urgent request
// that is refused before a less urgent one.
BOOST_AUTO_TEST_CASE(FullBuffersRefuseTheLeastUrgentRequestsFirst)
{
  mMaxBufferedBytes = 120'000; // A stream takes up to 64 KiB and one event.
  json body = json::parse(mStore.mTables["op"]["config"]);
  body["routes"][0]["priority"] = 9;
  body["routes"][2]["priority"] = 0;
  mStore.mTables["op"]["config"] = body.dump();
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  const auto respond = mHandler.mRespond;
  StreamEvents(1000);
  const auto caller = std::make_shared<CallRecorder>();
  const auto id = StartUnreadStream(caller);
  mHandler.mRespond = respond;
  const auto stream = mHandler.mLastExchange;
  const auto refused = CallAndWait(MakeRequest("/a/x", "k1"));
  BOOST_TEST(refused->mStatus == 503);
  BOOST_TEST(refused->mHeaders.count("retry-after") == 1U);
  BOOST_TEST(refused->mBody.find("buffers_full") != std::string::npos);
  BOOST_TEST(CallAndWait(MakeRequest("/open/x", ""))->mStatus == 200);
  mHandler.mLastExchange = stream;
  mClient->Resume(id);
  BOOST_REQUIRE(Until([&] { return caller->mEnds > 0; }));
  BOOST_TEST(CountEvents(caller->mBody) == 1000);
  BOOST_TEST(CallAndWait(MakeRequest("/a/x", "k1"))->mStatus == 200);
}

// Guards against a stalled stream that never ends since its upstream sends a
// byte now and then: bytes that complete no event do not extend its deadline.
BOOST_AUTO_TEST_CASE(StreamOfSingleBytesEndsAtItsDeadline)
{
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  mHandler.mRespond = [](HttpExchange& aExchange) {
    aExchange.StartStream(
      200, { { "request-id", "id-1" }, { "response-seal", "s" } });
    aExchange.Write("id: 1\ndata: x\n\ndata: ");
  };
  HttpCall call = MakeRequest("/s/x", "k1");
  call.mHeaders["request-deadline"] = "600";
  const auto caller = std::make_shared<CallRecorder>();
  const TimePoint start = mReactor->Now();
  mClient->Start(call, caller);
  while (caller->mEnds == 0 && mReactor->Now() - start < 5s) {
    BOOST_REQUIRE(RunFor(20ms));
    if (mHandler.mLastExchange != nullptr) {
      mHandler.mLastExchange->Write("y");
    }
  }
  BOOST_TEST((mReactor->Now() - start < 2s));
  BOOST_TEST((caller->mResult.mFailure == CallFailure::Broken));
  BOOST_TEST(caller->mBody == "id: 1\ndata: x\n\n");
}

// Guards against a run that is repeated after its response was lost, and
// against a caller who is told that it has not run.
BOOST_AUTO_TEST_CASE(LostResponseIsNeitherRepeatedNorCalledNotRun)
{
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  int runs = 0; // The node also asks whether the upstream is gone.
  mHandler.mRespond = [&runs](HttpExchange& aExchange) {
    runs += aExchange.Request().mTarget == "/a/x" ? 1 : 0;
    aExchange.AbortStream();
  };
  const auto result = CallAndWait(MakeRequest("/a/x", "k1"));
  BOOST_TEST(runs == 1);
  BOOST_TEST(result->mStatus == 502);
  BOOST_TEST(json::parse(result->mBody)["error"]["run"] != "not-run");
}

// Guards against a verdict "has not run" by a refusal that belongs to another
// request (REFUSED, TWICE).
BOOST_AUTO_TEST_CASE(ARefusalOfAnotherRequestIsNoVerdict)
{
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  for (const int status : { 503, 429, 421 }) {
    int runs = 0; // The node also asks whether the upstream is gone.
    mHandler.mRespond = [&](HttpExchange& aExchange) {
      runs += aExchange.Request().mTarget == "/a/x" ? 1 : 0;
      aExchange.Respond(
        status, { { "request-id", "earlier" }, { "not-processed", "1" } }, "");
    };
    const auto result = CallAndWait(MakeRequest("/a/x", "k1"));
    BOOST_TEST(runs == 1, status);
    BOOST_TEST(result->mStatus == 502, status);
    BOOST_TEST(json::parse(result->mBody)["error"]["run"] != "not-run");
  }
}

// Guards against an upstream that writes an earlier refusal once more on a kept
// connection, before the response to the next request: that one would be called
// not run, although it runs.
BOOST_AUTO_TEST_CASE(ARefusalWrittenOnceMoreReachesNoOtherRequest)
{
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  RefusalRepeatingUpstream upstream(*mReactor);
  WriteUpstreamAt("ready", upstream.mPort);
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 503));
  for (int n = 0; n < 5; ++n) {
    upstream.mRefuses = n % 2 == 0;
    const auto result = CallAndWait(MakeRequest("/a/x", "k1"));
    BOOST_TEST(result->mStatus == (upstream.mRefuses ? 503 : 200));
  }
  BOOST_TEST(upstream.mRuns == 2);
}

BOOST_AUTO_TEST_CASE(MetricsEndpointReturnsMetrics)
{
  StartNode();
  BOOST_REQUIRE(CallUntil(MakeRequest("/a/x", "k1"), 200));
  const auto result = CallAndWait(MakeGet(7601, "/metrics"));
  BOOST_TEST(result->mBody.find("peridothoist_request_seconds_bucket") !=
             std::string::npos);
  BOOST_TEST(result->mBody.find("peridothoist_view_age_seconds") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
