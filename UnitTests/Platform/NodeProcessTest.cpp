/// A whole node on loopback: the platform's protocols against a stand-in of
/// its store and of its upstreams, all in one process.
#define BOOST_TEST_MODULE NodeProcess
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/NodeProcess.h>
#include <Shell/ShellFixture.h>
#include <platform/PlatformCallers.h>
#include <platform/PlatformUpstreams.h>
#include <platform/PlatformView.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

using namespace peridothoist;
using namespace peridothoist::test;
using nlohmann::json;

namespace {

/// A loopback address that no other test process uses at this time.
std::string
OwnAddress()
{
  const auto pid = static_cast<unsigned int>(::getpid());
  return "127." + std::to_string(64 + (pid >> 16) % 64) + "." +
         std::to_string((pid >> 8) % 256) + "." + std::to_string(pid % 256);
}

/// Rows in memory; can be away.
class MemoryStore : public RowStore
{
public:
  explicit MemoryStore(Reactor* aReactor)
    : mReactor(aReactor)
  {
  }

  // See: RowStore
  void ReadTable(const std::string& aTable, RowsDone aDone) override
  {
    mReactor->Post([this, aTable, aDone] {
      if (mAway) {
        aDone(std::nullopt, { ReasonCode::Unreachable, "away" });
        return;
      }
      std::vector<StoredRow> rows;
      for (const auto& [key, value] : mTables[aTable]) {
        rows.push_back({ key, value, 1 });
      }
      aDone(std::move(rows), Reason());
    });
  }
  void Change(const RowChange& aChange, ChangeDone aDone) override
  {
    if (aChange.mIfVersion == 0U &&
        mTables[aChange.mTable].count(aChange.mKey) > 0) {
      mReactor->Post([aDone] { aDone({ ReasonCode::Conflict, "" }, 0); });
      return;
    }
    if (aChange.mValue) {
      mTables[aChange.mTable][aChange.mKey] = *aChange.mValue;
    } else {
      mTables[aChange.mTable].erase(aChange.mKey);
    }
    mReactor->Post([aDone] { aDone(Reason(), 1); });
  }

  Reactor* mReactor;
  bool mAway = false;
  std::map<std::string, std::map<std::string, std::string>> mTables;
};

/// A node between a caller and one upstream.
struct NodeFixture : ShellFixture
{
  NodeFixture()
    : mStore(mReactor.get())
  {
    Serve(); // The upstream.
    mHandler.mAnswer = [this](HttpExchange& aExchange) {
      mSeen = aExchange.Request();
      aExchange.Respond(200,
                        { { "request-id", mSeen.mHeaders["request-id"] },
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

  void WriteUpstream(const std::string& aState)
  {
    const json body = { { "service", "s" },
                        { "address",
                          "127.0.0.1:" + std::to_string(mServer->Port()) },
                        { "zone", "a" },
                        { "slots", 6 },
                        { "state", aState } };
    mStore.mTables["servers"]["i-1"] = body.dump();
  }

  void StartNode(Duration aLastStreams = 50ms)
  {
    const std::string ip = OwnAddress();
    NodeSettings settings;
    settings.mVm = "vm1";
    settings.mZone = "a";
    settings.mListen = ip + ":8221";
    settings.mReadyListen = ip + ":8224";
    settings.mDirectoryListen = ip + ":8220";
    settings.mMetricsListen = ip + ":7601";
    settings.mPeerListen = ip + ":7600";
    settings.mReader.mConfigurationInterval = 20ms;
    settings.mReader.mUpstreamInterval = 20ms;
    settings.mReader.mRetryInterval = 10ms;
    settings.mView = { 1500ms, 200ms, 0.5 };
    settings.mLateCallers = 50ms;
    settings.mLastStreams = aLastStreams;
    settings.mMachine.mRoster.mReturnTime = 0ms;
    Reason reason;
    mNode = NodeProcess::Create(settings,
                                { &mCallers, &mUpstreams, &mView, &mStore },
                                mReactor.get(),
                                mClient.get(),
                                &reason);
    BOOST_REQUIRE_MESSAGE(mNode != nullptr, reason.mText);
    BOOST_REQUIRE(AskUntil(Page(8224, "/-/ready"), 200));
  }

  HttpCall Page(int aPort, const std::string& aTarget) const
  {
    HttpCall call;
    call.mUrl =
      "http://" + OwnAddress() + ":" + std::to_string(aPort) + aTarget;
    return call;
  }

  HttpCall Request(const std::string& aTarget, const std::string& aKey) const
  {
    HttpCall call = Page(8221, aTarget);
    call.mMethod = "POST";
    call.mBody = "body";
    call.mHeaders = { { "host", "site" },
                      { "request-id", "id-1" },
                      { "request-deadline", "5000" } };
    if (!aKey.empty()) {
      call.mHeaders["authorization"] = "Bearer " + aKey;
    }
    return call;
  }

  /// Asks again and again until the status comes.
  bool AskUntil(const HttpCall& aCall, int aStatus)
  {
    for (int n = 0; n < 400; ++n) {
      if (CallAndWait(aCall)->mStatus == aStatus) {
        return true;
      }
      Pass(10ms);
    }
    return false;
  }

  /// Lets time pass; false when the node stopped the reactor meanwhile.
  bool Pass(Duration aTime)
  {
    bool passed = false;
    mReactor->Schedule(aTime, [&] { passed = true; });
    return Until([&] { return passed; });
  }

  MemoryStore mStore;
  HttpRequest mSeen;
  platform::PlatformCallers mCallers;
  platform::PlatformUpstreams mUpstreams;
  platform::PlatformView mView;
  std::unique_ptr<NodeProcess> mNode;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Node, NodeFixture)

BOOST_AUTO_TEST_CASE(ARequestIsServedAndTheKeyStaysHere)
{
  StartNode();
  BOOST_REQUIRE(AskUntil(Request("/a/x?q=1", "k1"), 200));
  BOOST_TEST(mSeen.mTarget == "/a/x?q=1");
  BOOST_TEST(mSeen.mBody == "body");
  BOOST_TEST(mSeen.mHeaders["tenant-id"] == "w");
  BOOST_TEST(mSeen.mHeaders["expect-instance"] == "i-1");
  BOOST_TEST(mSeen.mHeaders.count("authorization") == 0U);
  const auto notes = CallAndWait(Request("/a/x", "k1"));
  BOOST_TEST(notes->mBody == "answer");
  BOOST_TEST(notes->mHeaders.at("response-seal") == "s1");
  BOOST_TEST(CallAndWait(Request("/a/x", "k2"))->mStatus == 401);
  BOOST_TEST(CallAndWait(Request("/none/x", "k1"))->mStatus == 404);
}

BOOST_AUTO_TEST_CASE(TheDirectoryNamesTheNode)
{
  StartNode();
  const auto notes = CallAndWait(Page(8220, "/-/resolve?name=site&zone=a"));
  BOOST_TEST(json::parse(notes->mBody)["addresses"][0] ==
             OwnAddress() + ":8221");
}

BOOST_AUTO_TEST_CASE(AWithdrawnKeyStopsWorking)
{
  StartNode();
  BOOST_REQUIRE(AskUntil(Request("/a/x", "k1"), 200));
  WriteConfiguration(2, "k2");
  BOOST_TEST(AskUntil(Request("/a/x", "k1"), 401));
  BOOST_TEST(AskUntil(Request("/a/x", "k2"), 200));
  WriteConfiguration(1, "k1"); // An older version changes nothing.
  BOOST_TEST(!AskUntil(Request("/a/x", "k1"), 200));
}

BOOST_AUTO_TEST_CASE(WithoutTheStoreOnlyOpenRoutesAreServed)
{
  StartNode();
  BOOST_REQUIRE(AskUntil(Request("/a/x", "k1"), 200));
  mStore.mAway = true;
  BOOST_TEST(AskUntil(Request("/a/x", "k1"), 503));
  const auto open = CallAndWait(Request("/open/x", ""));
  BOOST_TEST(open->mStatus == 200);
  BOOST_TEST(CallAndWait(Page(8224, "/-/ready"))->mStatus == 200);
  mStore.mAway = false;
  BOOST_TEST(AskUntil(Request("/a/x", "k1"), 200));
}

BOOST_AUTO_TEST_CASE(ALeavingUpstreamGetsNothing)
{
  StartNode();
  BOOST_REQUIRE(AskUntil(Request("/a/x", "k1"), 200));
  WriteUpstream("draining");
  BOOST_REQUIRE(AskUntil(Request("/a/x", "k1"), 503));
  const int before = mHandler.mRequests;
  CallAndWait(Request("/a/x", "k1"));
  BOOST_TEST(mHandler.mRequests == before);
}

BOOST_AUTO_TEST_CASE(AnAnswerToAnotherRequestIsNotPassedOn)
{
  StartNode();
  BOOST_REQUIRE(AskUntil(Request("/a/x", "k1"), 200));
  mHandler.mAnswer = [](HttpExchange& aExchange) {
    aExchange.Respond(
      200, { { "request-id", "id-9" }, { "response-seal", "s" } }, "secret");
  };
  const auto notes = CallAndWait(Request("/a/x", "k1"));
  BOOST_TEST(notes->mStatus == 502);
  BOOST_TEST(notes->mBody.find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(LeavingCutsNoRequest)
{
  StartNode();
  BOOST_REQUIRE(AskUntil(Request("/a/x", "k1"), 200));
  mHandler.mAnswer = nullptr; // It answers below.
  const auto notes = std::make_shared<CallNotes>();
  const int before = mHandler.mRequests;
  mClient->Start(Request("/a/x", "k1"), notes);
  BOOST_REQUIRE(Until([&] { return mHandler.mRequests > before; }));
  mNode->StartLeaving();
  BOOST_TEST(CallAndWait(Page(8224, "/-/ready"))->mStatus == 503);
  // Past the time for late callers, only the open request holds the node.
  BOOST_REQUIRE(Pass(200ms));
  mHandler.mLast->Respond(
    200, { { "request-id", "id-1" }, { "response-seal", "s" } }, "late");
  mReactor->Run(); // Until the node has left.
  BOOST_TEST(notes->mStatus == 200);
  BOOST_TEST(notes->mBody == "late");
  BOOST_TEST(notes->mHeaders.at("connection") == "close");
}

BOOST_AUTO_TEST_CASE(AStreamThatCouldBeCutIsRefusedWhileLeaving)
{
  StartNode(0ms);
  BOOST_REQUIRE(AskUntil(Request("/a/x", "k1"), 200));
  mHandler.mAnswer = [](HttpExchange& aExchange) {
    aExchange.Respond(200,
                      { { "request-id", "id-1" }, { "response-seal", "s" } },
                      "id: 1\ndata: x\n\n");
  };
  const auto first = CallAndWait(Request("/s/x", "k1"));
  BOOST_TEST(first->mStatus == 200);
  mNode->StartLeaving();
  const auto notes = CallAndWait(Request("/s/x", "k1"));
  BOOST_TEST(notes->mStatus == 503);
  BOOST_TEST(notes->mHeaders.count("retry-after") == 1U);
  BOOST_TEST(CallAndWait(Request("/a/x", "k1"))->mStatus == 200);
}

BOOST_AUTO_TEST_CASE(MetricsAreServed)
{
  StartNode();
  BOOST_REQUIRE(AskUntil(Request("/a/x", "k1"), 200));
  const auto notes = CallAndWait(Page(7601, "/metrics"));
  BOOST_TEST(notes->mBody.find("peridothoist_request_seconds_bucket") !=
             std::string::npos);
  BOOST_TEST(notes->mBody.find("peridothoist_view_age_seconds") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
