/// Responses, streams and disconnects between the HTTP server and client, over
/// real sockets on the loopback interface.
#define BOOST_TEST_MODULE Http
#include <Peridothoist/Peridothoist.h>
#include <Shell/ShellFixture.h>

using namespace peridothoist;
using namespace peridothoist::test;

BOOST_FIXTURE_TEST_SUITE(Http, ShellFixture)

BOOST_AUTO_TEST_CASE(CompleteResponse)
{
  mHandler.mRespond = [](HttpExchange& aExchange) {
    BOOST_TEST(aExchange.Request().mMethod == "POST");
    BOOST_TEST(aExchange.Request().mPath == "/a b");
    BOOST_TEST(aExchange.Request().mTarget == "/a%20b?x=1&y=%2B");
    BOOST_TEST(aExchange.Request().mQuery.at("x") == "1");
    BOOST_TEST(aExchange.Request().mQuery.at("y") == "+");
    BOOST_TEST(aExchange.Request().mHeaders.at("x-some") == "thing");
    BOOST_TEST(aExchange.Request().mPeerAddress == "127.0.0.1");
    aExchange.Respond(
      201, { { "x-answer", "yes" } }, "got " + aExchange.Request().mBody);
  };
  Serve();
  HttpCall call = Call("POST", "/a%20b?x=1&y=%2B", "body");
  call.mHeaders["X-Some"] = "thing";
  const auto recorder = std::make_shared<CallRecorder>();
  mClient->Start(call, recorder);
  BOOST_TEST(recorder->mEnds == 0);
  BOOST_REQUIRE(Until([&] { return recorder->mEnds > 0; }));
  BOOST_TEST(recorder->mResult.mReason == "");
  BOOST_TEST((recorder->mResult.mFailure == CallFailure::None));
  BOOST_TEST(recorder->mResult.mStatus == 201);
  BOOST_TEST(recorder->mHeaders.at("x-answer") == "yes");
  BOOST_TEST(recorder->mBody == "got body");
  BOOST_TEST(recorder->mResult.mMayHaveBeenSent);
  BOOST_TEST(mHandler.mDisconnects == 0);
  BOOST_REQUIRE(Until([&] { return mServer->OpenExchangeCount() == 0; }));
}

BOOST_AUTO_TEST_CASE(DelayedResponse)
{
  Serve();
  const auto recorder = std::make_shared<CallRecorder>();
  mClient->Start(Call(), recorder);
  BOOST_REQUIRE(Until([&] { return mHandler.mRequests == 1; }));
  BOOST_TEST(mServer->OpenExchangeCount() == 1);
  mReactor->Schedule(20ms,
                     [&] { mHandler.mLastExchange->Respond(200, {}, "late"); });
  BOOST_REQUIRE(Until([&] { return recorder->mEnds > 0; }));
  BOOST_TEST(recorder->mBody == "late");
}

BOOST_AUTO_TEST_CASE(StreamedResponse)
{
  Serve();
  const auto recorder = std::make_shared<CallRecorder>();
  mClient->Start(Call(), recorder);
  BOOST_REQUIRE(Until([&] { return mHandler.mRequests == 1; }));
  mHandler.mLastExchange->StartStream(200,
                                      { { "content-type", "text/plain" } });
  BOOST_REQUIRE(Until([&] { return recorder->mStatus == 200; }));
  std::string sent;
  for (int i = 0; i < 50; ++i) {
    const std::string part = std::to_string(i) + std::string(100, '.');
    sent += part;
    BOOST_TEST(mHandler.mLastExchange->Write(part));
    BOOST_REQUIRE(Until([&] { return recorder->mBody.size() == sent.size(); }));
  }
  mHandler.mLastExchange->EndStream();
  BOOST_REQUIRE(Until([&] { return recorder->mEnds > 0; }));
  BOOST_TEST((recorder->mResult.mFailure == CallFailure::None));
  BOOST_TEST(recorder->mBody == sent);
  BOOST_TEST(mHandler.mDisconnects == 0);
}

BOOST_AUTO_TEST_CASE(AbortedStreamIsReportedAsBroken)
{
  mHandler.mRespond = [](HttpExchange& aExchange) {
    aExchange.StartStream(200, {});
    aExchange.Write("some of it");
    aExchange.AbortStream();
  };
  Serve();
  const auto recorder = std::make_shared<CallRecorder>();
  mClient->Start(Call(), recorder);
  BOOST_REQUIRE(Until([&] { return recorder->mEnds > 0; }));
  BOOST_TEST((recorder->mResult.mFailure == CallFailure::Broken));
  BOOST_TEST(recorder->mBody == "some of it");
  BOOST_TEST(recorder->mResult.mMayHaveBeenSent);
}

BOOST_AUTO_TEST_CASE(CallerDisconnectsBeforeResponse)
{
  Serve();
  RawCaller caller(mServer->Port());
  caller.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(Until([&] { return mHandler.mRequests == 1; }));
  caller.Close();
  BOOST_REQUIRE(Until([&] { return mHandler.mDisconnects == 1; }));
  mHandler.mLastExchange->Respond(200, {}, "too late");
  BOOST_REQUIRE(Until([&] { return mServer->OpenExchangeCount() == 0; }));
  BOOST_TEST(mHandler.mDisconnects == 1);
}

BOOST_AUTO_TEST_CASE(CancelledCallIsDetectedByServer)
{
  Serve();
  const auto recorder = std::make_shared<CallRecorder>();
  const auto id = mClient->Start(Call(), recorder);
  BOOST_REQUIRE(Until([&] { return mHandler.mRequests == 1; }));
  mHandler.mLastExchange->StartStream(200, {});
  mHandler.mLastExchange->Write("x");
  BOOST_REQUIRE(Until([&] { return recorder->mBody == "x"; }));
  mClient->Cancel(id);
  BOOST_TEST(recorder->mEnds == 0);
  BOOST_REQUIRE(Until([&] { return mHandler.mDisconnects == 1; }));
  BOOST_TEST(recorder->mEnds == 1);
  BOOST_TEST((recorder->mResult.mFailure == CallFailure::Cancelled));
}

BOOST_AUTO_TEST_SUITE_END()
