/// The HTTP server's limits and life: what it refuses, how it drains, and that
/// no caller's behaviour keeps it from serving the next one.
#define BOOST_TEST_MODULE HttpServer
#include <Peridothoist/Peridothoist.h>
#include <Shell/ShellFixture.h>
#include <Shell/TestCertificates.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

struct ServerFixture : ShellFixture
{
  ServerFixture()
  {
    mHandler.mAnswer = [](HttpExchange& aExchange) {
      aExchange.Respond(200, {}, "served " + aExchange.Request().mPath);
    };
  }

  /// Sends raw bytes and returns what comes until aDone or the close.
  std::string Raw(std::string_view aBytes, const std::string& aUntil = "\n\n")
  {
    RawCaller caller(mServer->Port());
    caller.Send(aBytes);
    BOOST_REQUIRE(Until([&] {
      return caller.Receive() ||
             caller.mReceived.find(aUntil) != std::string::npos;
    }));
    return caller.mReceived;
  }

  void CheckServes()
  {
    const auto notes = CallAndWait(Call("GET", "/next"));
    BOOST_TEST(notes->mBody == "served /next");
  }
};

std::size_t
CountOf(const std::string& aText, const std::string& aPart)
{
  std::size_t n = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++n;
  }
  return n;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Server, ServerFixture)

BOOST_AUTO_TEST_CASE(TooLargeBodies)
{
  HttpServerSettings settings;
  settings.mMaxBodyBytes = 1000;
  Serve(settings);
  BOOST_TEST(CallAndWait(Call("POST", "/", std::string(1000, 'x')))->mStatus ==
             200);
  for (const std::size_t n : { 1001U, 3000U, 100000U }) {
    const auto notes = CallAndWait(Call("POST", "/", std::string(n, 'x')));
    BOOST_TEST(notes->mStatus == 413);
    BOOST_TEST(notes->mHeaders["peridothoist-run"] == "not-run");
    BOOST_TEST(notes->mBody.find("body_too_large") != std::string::npos);
  }
  const std::string chunk = "320\r\n" + std::string(800, 'x') + "\r\n";
  BOOST_TEST(Raw("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                 "chunked\r\n\r\n" +
                   chunk + chunk + "0\r\n\r\n",
                 "body_too_large")
               .find(" 413 ") != std::string::npos);
  BOOST_TEST(mHandler.mRequests == 1);
  CheckServes();
}

BOOST_AUTO_TEST_CASE(TooLargeHeaders)
{
  HttpServerSettings settings;
  settings.mMaxHeaderBytes = 4096;
  Serve(settings);
  for (const std::size_t n : { 3500U, 4096U, 7000U, 100000U }) {
    const std::string answer = Raw(
      "GET / HTTP/1.1\r\nHost: x\r\nX-Pad: " + std::string(n, 'x') + "\r\n\r\n",
      "\r\n\r\n");
    const std::string status = n < 4000 ? " 200 " : " 431 ";
    BOOST_TEST(answer.find(status) != std::string::npos, n << ": " << answer);
  }
  BOOST_TEST(mHandler.mRequests == 1);
  CheckServes();
}

BOOST_AUTO_TEST_CASE(MalformedRequests)
{
  Serve();
  for (const char* bytes :
       { "nonsense\r\n\r\n",
         "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
         "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n",
         "GET /a%00b HTTP/1.1\r\nHost: x\r\n\r\n" }) {
    const std::string answer = Raw(bytes, "\r\n\r\n");
    const bool refused = answer.find(" 400 ") != std::string::npos ||
                         answer.find(" 501 ") != std::string::npos ||
                         answer.empty();
    BOOST_TEST(refused, bytes << answer);
  }
  BOOST_TEST(mHandler.mRequests == 0);
  CheckServes();
}

BOOST_AUTO_TEST_CASE(PipelinedRequestsInOrder)
{
  mHandler.mAnswer = nullptr;
  Serve();
  RawCaller caller(mServer->Port());
  std::string all;
  for (int i = 1; i <= 5; ++i) {
    all += "POST /" + std::to_string(i) +
           " HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi";
  }
  caller.Send(all);
  for (int i = 1; i <= 5; ++i) {
    BOOST_REQUIRE(Until([&] { return mHandler.mRequests == i; }));
    BOOST_TEST(mHandler.mLast->Request().mPath == "/" + std::to_string(i));
    mHandler.mLast->StartStream(200, {});
    mHandler.mLast->Write("answer " + std::to_string(i));
    mHandler.mLast->EndStream();
  }
  BOOST_REQUIRE(Until([&] {
    caller.Receive();
    return CountOf(caller.mReceived, "answer ") == 5;
  }));
  std::size_t last = 0;
  for (int i = 1; i <= 5; ++i) {
    const auto at = caller.mReceived.find("answer " + std::to_string(i));
    BOOST_TEST(at > last);
    last = at;
  }
  BOOST_TEST(mHandler.mGone == 0);
}

BOOST_AUTO_TEST_CASE(BackpressureTowardsASlowReader)
{
  mHandler.mAnswer = nullptr;
  Serve();
  const auto notes = std::make_shared<CallNotes>();
  const auto id = mClient->Start(Call(), notes);
  BOOST_REQUIRE(Until([&] { return mHandler.mRequests == 1; }));
  mHandler.mLast->StartStream(200, {});

  // The reader takes nothing: the producer must be told to pause.
  mClient->Pause(id);
  const std::string part(8192, 'x');
  std::size_t sent = 0;
  bool full = false;
  BOOST_REQUIRE(Until([&] {
    for (int i = 0; i < 16 && !full; ++i) {
      full = !mHandler.mLast->Write(part);
      sent += part.size();
    }
    return full;
  }));
  BOOST_TEST(notes->mBody.empty());
  BOOST_TEST(mHandler.mDrained == 0);

  // It reads on: the producer hears so and ends.
  mHandler.mOnDrained = [&] { mHandler.mLast->EndStream(); };
  mClient->Resume(id);
  BOOST_REQUIRE(Until([&] { return notes->mEnds > 0; }));
  BOOST_TEST((notes->mOutcome.mFailure == CallFailure::None));
  BOOST_TEST(mHandler.mDrained == 1);
  BOOST_TEST(notes->mBody.size() == sent);
}

BOOST_AUTO_TEST_CASE(CallerGoneInEveryState)
{
  // Waiting, streaming with nothing to send, and streaming to a full socket.
  mHandler.mAnswer = nullptr;
  Serve();
  for (int state = 0; state < 3; ++state) {
    RawCaller caller(mServer->Port());
    caller.Send(std::string(kRequest) + "GET /pipelined HTTP/1.1\r\n");
    BOOST_REQUIRE(Until([&] { return mHandler.mRequests == state + 1; }));
    if (state > 0) {
      mHandler.mLast->StartStream(200, {});
      mHandler.mLast->Write("begun");
      BOOST_REQUIRE(Until([&] {
        caller.Receive();
        return caller.mReceived.find("begun") != std::string::npos;
      }));
    }
    if (state == 2) {
      const std::string part(65536, 'x');
      int writes = 0;
      BOOST_REQUIRE(Until([&] {
        mHandler.mLast->Write(part);
        return ++writes > 500;
      }));
    }
    caller.Close();
    BOOST_REQUIRE(Until([&] { return mHandler.mGone == state + 1; }));
    BOOST_REQUIRE(Until([&] { return mServer->OpenExchanges() == 0; }));
  }
  BOOST_TEST(mHandler.mGone == 3);
}

BOOST_AUTO_TEST_CASE(AbortedStreamToAnOldCallerIsReset)
{
  // Without chunks the close ends an answer, so a broken one must not close.
  mHandler.mAnswer = [](HttpExchange& aExchange) {
    aExchange.StartStream(200, {});
    aExchange.Write("some of it");
    aExchange.Request().mPath == "/abort" ? aExchange.AbortStream()
                                          : aExchange.EndStream();
  };
  Serve();
  RawCaller whole(mServer->Port());
  whole.Send("GET / HTTP/1.0\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(Until([&] { return whole.Receive(); }));
  BOOST_TEST(!whole.mReset);
  BOOST_TEST(whole.mReceived.find("\r\n\r\nsome of it") != std::string::npos);
  RawCaller broken(mServer->Port());
  broken.Send("GET /abort HTTP/1.0\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(Until([&] { return broken.Receive(); }));
  BOOST_TEST(broken.mReset);
}

BOOST_AUTO_TEST_CASE(SlowSendersAreCutOff)
{
  HttpServerSettings settings;
  settings.mRequestTimeout = 200ms;
  Serve(settings);
  for (const char* part :
       { "GET / HT",
         "GET / HTTP/1.1\r\nHost",
         "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\npart" }) {
    RawCaller caller(mServer->Port());
    caller.Send(part);
    BOOST_REQUIRE(Until([&] { return caller.Receive(); }));
  }
  BOOST_TEST(mHandler.mRequests == 0);
  CheckServes();
}

BOOST_AUTO_TEST_CASE(IdleTimeoutSparesWaitingCallers)
{
  HttpServerSettings settings;
  settings.mIdleTimeout = 1s;
  mHandler.mAnswer = nullptr;
  Serve(settings);
  const auto notes = std::make_shared<CallNotes>();
  mClient->Start(Call(), notes);
  BOOST_REQUIRE(Until([&] { return mHandler.mRequests == 1; }));
  RawCaller idle(mServer->Port());
  BOOST_REQUIRE(Until([&] { return idle.Receive(); }));
  bool waited = false;
  mReactor->Schedule(1500ms, [&] { waited = true; });
  BOOST_REQUIRE(Until([&] { return waited; }));
  mHandler.mLast->Respond(200, {}, "late");
  BOOST_REQUIRE(Until([&] { return notes->mEnds > 0; }));
  BOOST_TEST(notes->mBody == "late");
  BOOST_TEST(mHandler.mGone == 0);
}

BOOST_AUTO_TEST_CASE(ConnectionLimits)
{
  HttpServerSettings settings;
  settings.mMaxConnectionsPerAddress = 2;
  Serve(settings);
  RawCaller first(mServer->Port());
  RawCaller second(mServer->Port());
  RawCaller third(mServer->Port());
  first.Send(kRequest);
  BOOST_REQUIRE(Until([&] { return third.Receive(); }));
  BOOST_REQUIRE(Until([&] { return mHandler.mRequests == 1; }));
  first.Close();
  second.Close();
  // Served again as soon as the server has seen that they went.
  std::string body;
  for (int i = 0; i < 1000 && body.empty(); ++i) {
    body = CallAndWait(Call("GET", "/next"))->mBody;
  }
  BOOST_TEST(body == "served /next");
}

BOOST_AUTO_TEST_CASE(DrainCutsNoRequest)
{
  mHandler.mAnswer = nullptr;
  Serve();
  const auto port = mServer->Port();
  RawCaller idle(port);
  RawCaller waiting(port);
  waiting.Send(kRequest);
  BOOST_REQUIRE(Until([&] { return mHandler.mRequests == 1; }));
  const auto first = mHandler.mLast;
  RawCaller streaming(port);
  streaming.Send(kRequest);
  BOOST_REQUIRE(Until([&] { return mHandler.mRequests == 2; }));
  const auto second = mHandler.mLast;
  second->StartStream(200, {});
  second->Write("begun");

  mServer->StartDrain();
  BOOST_REQUIRE(Until([&] { return idle.Receive(); }));
  BOOST_TEST(mServer->OpenExchanges() == 2);
  HttpCall call = Call();
  BOOST_TEST(
    (CallAndWait(call)->mOutcome.mFailure == CallFailure::NotConnected));
  first->Respond(200, {}, "whole");
  second->Write(" and ended");
  second->EndStream();
  BOOST_REQUIRE(
    Until([&] { return waiting.Receive() && streaming.Receive(); }));
  BOOST_TEST(waiting.mReceived.find("Connection: close") != std::string::npos);
  BOOST_TEST(waiting.mReceived.find("whole") != std::string::npos);
  BOOST_TEST(streaming.mReceived.find(" and ended\r\n0\r\n\r\n") !=
             std::string::npos);
  BOOST_TEST(mServer->OpenExchanges() == 0);
  BOOST_TEST(mHandler.mGone == 0);
}

BOOST_AUTO_TEST_CASE(DrainFromWithinAHandler)
{
  mHandler.mAnswer = [this](HttpExchange& aExchange) {
    mServer->StartDrain();
    aExchange.Respond(200, {}, "draining");
  };
  Serve();
  BOOST_TEST(CallAndWait(Call())->mBody == "draining");
}

BOOST_AUTO_TEST_CASE(ServerGoesWithExchangesOpen)
{
  mHandler.mAnswer = nullptr;
  Serve();
  const auto waiting = std::make_shared<CallNotes>();
  const auto streaming = std::make_shared<CallNotes>();
  mClient->Start(Call(), waiting);
  BOOST_REQUIRE(Until([&] { return mHandler.mRequests == 1; }));
  const auto first = mHandler.mLast;
  mClient->Start(Call(), streaming);
  BOOST_REQUIRE(Until([&] { return mHandler.mRequests == 2; }));
  mHandler.mLast->StartStream(200, {});
  mHandler.mLast->Write("begun");
  BOOST_REQUIRE(Until([&] { return streaming->mBody == "begun"; }));
  mServer.reset();
  first->Respond(200, {}, "too late");
  mHandler.mLast->Write("too late");
  mHandler.mLast->EndStream();
  BOOST_REQUIRE(
    Until([&] { return waiting->mEnds > 0 && streaming->mEnds > 0; }));
  BOOST_TEST((waiting->mOutcome.mFailure == CallFailure::Broken));
  BOOST_TEST((streaming->mOutcome.mFailure == CallFailure::Broken));
}

BOOST_AUTO_TEST_CASE(DroppedExchangeIsAnsweredWithAnError)
{
  mHandler.mAnswer = [this](HttpExchange&) { mHandler.mLast.reset(); };
  Serve();
  BOOST_TEST(CallAndWait(Call())->mStatus == 500);
}

BOOST_AUTO_TEST_CASE(Tls)
{
  const TestAuthority authority;
  const PeerCredentials issued = authority.Issue("localhost");
  HttpServerSettings settings;
  settings.mCertificatePem = issued.mCertificatePem;
  settings.mPrivateKeyPem = issued.mPrivateKeyPem;
  Serve(settings);
  HttpCall call = Call();
  call.mUrl = "https" + call.mUrl.substr(4);
  BOOST_TEST(
    (CallAndWait(call)->mOutcome.mFailure == CallFailure::NotConnected));
  call.mAuthorityPem = issued.mAuthorityPem;
  const auto notes = CallAndWait(call);
  BOOST_TEST(notes->mBody == "served /", notes->mOutcome.mReason);
  settings.mPrivateKeyPem = "no key";
  std::string reason;
  BOOST_TEST(!HttpServer::Create(*mReactor, settings, &mHandler, &reason));
  BOOST_TEST(!reason.empty());
}

BOOST_AUTO_TEST_CASE(TakenPortAndBadAddress)
{
  Serve();
  HttpServerSettings settings;
  settings.mPort = mServer->Port();
  std::string reason;
  BOOST_TEST(!HttpServer::Create(*mReactor, settings, &mHandler, &reason));
  BOOST_TEST(reason.find("in use") != std::string::npos, reason);
  settings.mAddress = "somewhere";
  BOOST_TEST(!HttpServer::Create(*mReactor, settings, &mHandler, &reason));
  BOOST_TEST(reason.find("somewhere") != std::string::npos, reason);
}

BOOST_AUTO_TEST_SUITE_END()
