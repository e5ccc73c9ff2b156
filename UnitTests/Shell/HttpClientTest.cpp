/// The HTTP client: what each kind of failure says about bytes sent, and that
/// it may be told anything from inside its own calls.
#define BOOST_TEST_MODULE HttpClient
#include <Peridothoist/Peridothoist.h>
#include <Shell/ShellFixture.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

struct ClientFixture : ShellFixture
{
  /// A call to a raw server.
  static HttpCall CallTo(const RawServer& aServer)
  {
    HttpCall call;
    call.mUrl = "http://127.0.0.1:" + std::to_string(aServer.mPort) + "/";
    return call;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Client, ClientFixture)

BOOST_AUTO_TEST_CASE(NothingListens)
{
  HttpCall call;
  {
    const RawServer server(*mReactor, "");
    call = CallTo(server);
  }
  const auto notes = CallAndWait(call);
  BOOST_TEST((notes->mOutcome.mFailure == CallFailure::NotConnected));
  BOOST_TEST(!notes->mOutcome.mMayHaveBeenSent);
  BOOST_TEST(notes->mBeforeSends == 0);
}

BOOST_AUTO_TEST_CASE(WithheldCallSendsNothing)
{
  Serve();
  const auto notes = std::make_shared<CallNotes>();
  notes->mAllowSend = false;
  CallAndWait(Call("POST", "/", "body"), notes);
  BOOST_TEST((notes->mOutcome.mFailure == CallFailure::Withheld));
  BOOST_TEST(!notes->mOutcome.mMayHaveBeenSent);
  BOOST_TEST(notes->mBeforeSends == 1);
  BOOST_TEST(mHandler.mRequests == 0);
}

BOOST_AUTO_TEST_CASE(SendOnceIsNeverSentTwice)
{
  // A server that closes without an answer: the case in which libcurl sends
  // again on a connection that it had used before.
  RawServer server(*mReactor, "");
  HttpCall call = CallTo(server);
  call.mMethod = "POST";
  call.mBody = "certificate";
  call.mSendOnce = true;
  for (int i = 1; i <= 3; ++i) {
    const auto notes = CallAndWait(call);
    BOOST_TEST((notes->mOutcome.mFailure == CallFailure::Broken));
    BOOST_TEST(notes->mOutcome.mMayHaveBeenSent);
    BOOST_TEST(notes->mBeforeSends == 1);
    BOOST_TEST(server.mRequests == i);
  }
}

BOOST_AUTO_TEST_CASE(SendOnceLeavesKeptConnectionsAlone)
{
  mHandler.mAnswer = [](HttpExchange& aExchange) {
    aExchange.Respond(200, {}, "ok");
  };
  Serve();
  HttpCall call = Call("POST", "/", "x");
  BOOST_TEST(CallAndWait(call)->mBody == "ok");
  // The kept connection is dead, which the client can't know.
  const auto port = mServer->Port();
  mServer.reset();
  HttpServerSettings settings;
  settings.mPort = port;
  Serve(settings);
  call.mSendOnce = true;
  const auto notes = CallAndWait(call);
  BOOST_TEST(notes->mBody == "ok", notes->mOutcome.mReason);
  BOOST_TEST(notes->mBeforeSends == 1);
}

BOOST_AUTO_TEST_CASE(AnswersThatAreNotWhole)
{
  for (const char* answer :
       { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf",
         "HTTP/1.1 200 OK\r\nContent-Le",
         "not HTTP\r\n\r\n",
         "" }) {
    const RawServer server(*mReactor, answer);
    const auto notes = CallAndWait(CallTo(server));
    BOOST_TEST((notes->mOutcome.mFailure == CallFailure::Broken), answer);
    BOOST_TEST(notes->mOutcome.mMayHaveBeenSent, answer);
  }
}

BOOST_AUTO_TEST_CASE(WholeAnswersInEveryFraming)
{
  for (const char* answer :
       { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
         "4\r\ngood\r\n0\r\nX-Trailer: 1\r\n\r\n",
         "HTTP/1.1 100 Continue\r\n\r\n"
         "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
         "HTTP/1.0 200 OK\r\n\r\ngood" }) {
    const RawServer server(*mReactor, answer);
    const auto notes = CallAndWait(CallTo(server));
    BOOST_TEST((notes->mOutcome.mFailure == CallFailure::None), answer);
    BOOST_TEST(notes->mStatus == 200);
    BOOST_TEST(notes->mBody == "good");
    BOOST_TEST(notes->mHeaders.count("x-trailer") == 0U);
  }
}

BOOST_AUTO_TEST_CASE(TimeoutAfterSending)
{
  Serve();
  HttpCall call = Call();
  call.mTotalTimeout = 100ms;
  const auto notes = CallAndWait(call);
  BOOST_TEST((notes->mOutcome.mFailure == CallFailure::TimedOut));
  BOOST_TEST(notes->mOutcome.mMayHaveBeenSent);
  BOOST_REQUIRE(Until([&] { return mHandler.mGone == 1; }));
}

BOOST_AUTO_TEST_CASE(CancelAndPauseFromInsideCallbacks)
{
  mHandler.mAnswer = [](HttpExchange& aExchange) {
    aExchange.StartStream(200, {});
    for (int i = 0; i < 100; ++i) {
      aExchange.Write(std::string(1000, 'x'));
    }
    aExchange.EndStream();
  };
  Serve();

  // Paused with each part and resumed a little later: all of it comes.
  auto notes = std::make_shared<CallNotes>();
  HttpClient::CallId id = 0;
  notes->mOnData = [&] {
    mClient->Pause(id);
    mReactor->Schedule(100us, [&] { mClient->Resume(id); });
  };
  id = mClient->Start(Call(), notes);
  BOOST_REQUIRE(Until([&] { return notes->mEnds > 0; }));
  BOOST_TEST((notes->mOutcome.mFailure == CallFailure::None));
  BOOST_TEST(notes->mBody.size() == 100000U);

  // Cancelled with the first part: no more comes.
  notes = std::make_shared<CallNotes>();
  notes->mOnData = [&] {
    mClient->Pause(id);
    mClient->Resume(id);
    mClient->Cancel(id);
    mClient->Cancel(id);
    BOOST_TEST(notes->mEnds == 0);
    notes->mOnData = [&] { BOOST_ERROR("data after the cancel"); };
  };
  id = mClient->Start(Call(), notes);
  BOOST_REQUIRE(Until([&] { return notes->mEnds > 0; }));
  BOOST_TEST((notes->mOutcome.mFailure == CallFailure::Cancelled));
  BOOST_TEST(notes->mOutcome.mMayHaveBeenSent);
}

BOOST_AUTO_TEST_CASE(CancelBeforeAnythingWasSent)
{
  Serve();
  const auto notes = std::make_shared<CallNotes>();
  mClient->Cancel(mClient->Start(Call(), notes));
  BOOST_TEST(notes->mEnds == 0);
  BOOST_REQUIRE(Until([&] { return notes->mEnds > 0; }));
  BOOST_TEST((notes->mOutcome.mFailure == CallFailure::Cancelled));
  BOOST_TEST(!notes->mOutcome.mMayHaveBeenSent);
  BOOST_TEST(mHandler.mRequests == 0);
}

BOOST_AUTO_TEST_CASE(ClientGoesWithCallsOpen)
{
  Serve();
  const auto notes = std::make_shared<CallNotes>();
  mClient->Start(Call(), notes);
  BOOST_REQUIRE(Until([&] { return mHandler.mRequests == 1; }));
  mClient.reset();
  BOOST_REQUIRE(Until([&] { return mHandler.mGone == 1; }));
  BOOST_TEST(notes->mEnds == 0);
  BOOST_TEST(notes.use_count() == 1);
}

BOOST_AUTO_TEST_CASE(MethodsAndHeadersAsGiven)
{
  mHandler.mAnswer = [](HttpExchange& aExchange) {
    const HttpRequest& request = aExchange.Request();
    std::string headers;
    for (const auto& [name, value] : request.mHeaders) {
      headers += name == "host" ? "" : name + "=" + value + ";";
    }
    aExchange.Respond(200, { { "x-seen", request.mMethod } }, headers);
  };
  Serve();
  for (const char* method : { "GET", "PUT", "DELETE", "PATCH", "HEAD" }) {
    BOOST_TEST(CallAndWait(Call(method))->mHeaders["x-seen"] == method);
  }
  HttpCall call = Call("POST", "/", "{}");
  call.mHeaders = { { "content-type", "application/json" }, { "x-empty", "" } };
  BOOST_TEST(CallAndWait(call)->mBody ==
             "accept=*/*;content-length=2;content-type=application/json;"
             "x-empty=;");
}

BOOST_AUTO_TEST_SUITE_END()
