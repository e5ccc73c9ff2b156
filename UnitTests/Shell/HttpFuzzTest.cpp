/// Fuzzing of the HTTP server with malformed, truncated and split requests. The
/// server must not crash, must pass only complete requests to the handler, and
/// must still serve the next valid request.
#define BOOST_TEST_MODULE HttpFuzz
#include <Peridothoist/Peridothoist.h>
#include <Shell/ShellFixture.h>
#include <Shell/StrictRequestReader.h>

#include <rapidcheck/boost_test.h>

#include <algorithm>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

/// Target of the requests that show that the server still serves.
constexpr const char* kValidTarget = "/good";

/// Unusual and malformed requests, of kinds that HTTP servers have failed on.
/// They are sent unchanged, truncated, and with changed bytes.
const std::vector<std::string> kCorpus = {
  "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
  "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n"
  "hello",
  "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
  "5\r\nhello\r\n0\r\nX-Trailer: 1\r\n\r\n",
  "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
  "fffffffffffffffff\r\nhello",
  "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999\r\n\r\n",
  "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
  "Content-Length: 6\r\n\r\nhello!",
  "GET /?a=%&b=%4&c=%zz&&&=&d HTTP/1.1\r\nHost: x\r\n\r\n",
  "GET /%00%ff/../..//%2e HTTP/1.1\r\nHost: x\r\n\r\n",
  "GET / HTTP/1.1\r\nHost: x\r\n folded: 1\r\n\tmore\r\n\r\n",
  "GET / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n\r\n",
  "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
  "GET / HTTP/9.9\r\nHost: x\r\n\r\n",
  "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
  "CONNECT x:80 HTTP/1.1\r\nHost: x\r\n\r\n",
  "HEAD / HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n",
  "GET / HTTP/1.1\nHost: x\n\n",
  "\r\n\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n",
  "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
  "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
};

/// A server that responds in turn immediately, later, as a stream or not at
/// all.
struct FuzzFixture : ShellFixture
{
  FuzzFixture()
  {
    mHandler.mRespond = [this](HttpExchange& aExchange) {
      if (aExchange.Request().mPath == "/good") {
        aExchange.Respond(200, {}, "good");
        return;
      }
      const std::size_t length = aExchange.Request().mBody.size();
      BOOST_REQUIRE(length <= mSettings.mMaxBodyBytes);
      RespondInTurn(aExchange);
    };
    mSettings.mMaxBodyBytes = 64;
    mSettings.mMaxHeaderBytes = 2048;
    Serve(mSettings);
  }

  void RespondInTurn(HttpExchange& aExchange)
  {
    const auto exchange = mHandler.mLastExchange;
    switch (++mRequestNumber % 4) {
      case 0:
        aExchange.Respond(200, {}, "at once");
        break;
      case 1:
        mReactor->Schedule(100us,
                           [exchange] { exchange->Respond(200, {}, "late"); });
        break;
      case 2:
        aExchange.StartStream(200, {});
        aExchange.Write("streamed");
        mReactor->Schedule(100us, [exchange] { exchange->EndStream(); });
        break;
      default:
        mHandler.mLastExchange.reset();
        break;
    }
  }

  /// Sends aBytes in parts that end at the offsets aCuts. Then disconnects,
  /// after reading the response when aReadResponse is set.
  void SendInParts(const std::string& aBytes,
                   std::vector<std::size_t> aCuts,
                   bool aReadResponse)
  {
    aCuts.push_back(aBytes.size());
    std::sort(aCuts.begin(), aCuts.end());
    RawCaller caller(mServer->Port());
    std::size_t from = 0;
    for (const std::size_t cut : aCuts) {
      caller.Send(std::string_view(aBytes).substr(from, cut - from));
      from = cut;
      RunServer();
    }
    if (aReadResponse) {
      RunServer();
      caller.Receive();
    }
  }

  /// Runs the server for a short time.
  void RunServer()
  {
    mReactor->Schedule(200us, [this] { mReactor->Stop(); });
    mReactor->Run();
  }

  /// Returns whether the server still serves a valid request.
  bool ServesValidRequest()
  {
    const auto recorder = std::make_shared<CallRecorder>();
    mClient->Start(Call("GET", kValidTarget), recorder);
    return Until([&] { return recorder->mEnds > 0; }) &&
           recorder->mBody == "good";
  }

  HttpServerSettings mSettings;
  unsigned mRequestNumber = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Fuzz, FuzzFixture)

BOOST_AUTO_TEST_CASE(TruncatedRequests)
{
  for (const std::string& request : kCorpus) {
    for (std::size_t n = 0; n <= request.size(); n += n < 8 ? 1 : 7) {
      SendInParts(request.substr(0, n), {}, n % 2 == 0);
    }
    SendInParts(request, {}, true);
    BOOST_TEST(ServesValidRequest(), request);
  }
  BOOST_REQUIRE(Until([&] { return mServer->OpenExchangeCount() == 0; }));
}

BOOST_AUTO_TEST_CASE(ChangedAndSplitRequests)
{
  const bool isPassed = rc::check("changed and split requests", [this] {
    std::string bytes = *rc::gen::elementOf(kCorpus);
    const auto changes = *rc::gen::container<std::vector<std::uint16_t>>(
      *rc::gen::inRange(0, 4), rc::gen::arbitrary<std::uint16_t>());
    for (const std::uint16_t change : changes) {
      bytes[change % bytes.size()] = static_cast<char>(change >> 8U);
    }
    const auto cuts = *rc::gen::container<std::vector<std::size_t>>(
      *rc::gen::inRange(0, 5), rc::gen::inRange<std::size_t>(0, bytes.size()));
    SendInParts(bytes, cuts, *rc::gen::arbitrary<bool>());
    RC_ASSERT(ServesValidRequest());
  });
  BOOST_TEST(isPassed);
  BOOST_REQUIRE(Until([&] { return mServer->OpenExchangeCount() == 0; }));
}

// Guards against requests that the server takes for others than a strict reader
// does, also when their parts arrive apart (UNASKED): each accepted request
// must be the one that is found at its place.
BOOST_AUTO_TEST_CASE(AcceptedRequestsMeanTheSameToAStrictReader)
{
  static const std::vector<std::string> kLines = {
    "Content-Length: 5\r\n",
    "Content-Length: 0\r\n",
    "Content-Length:\r\n 5\r\n",
    "Content-Length: 0\r\n 5\r\n",
    "Content-Length: 5, 5\r\n",
    "Content-Length : 5\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chun\r\n ked\r\n",
    "Transfer-Encoding\t: chunked\r\n",
    ": x\r\n",
    ":\n",
    "\n",
    "\r\n",
    "X: a\r\n",
    "X: a\n",
    "X: a\rY: b\r\n",
    std::string("X: a\0b\r\n", 8),
    "Host: y\r\n",
  };
  static const std::vector<std::string> kBodies = {
    "",
    "hello",
    "5\r\nhello\r\n0\r\n\r\n",
    "5\nhello\n0\n\n",
    "0\r\nX: 1\r\n\r\n",
    "5;x=y\r\nhello\r\n0\r\n\r\n",
  };
  const bool isPassed = rc::check("accepted requests", [this] {
    std::string bytes;
    const int count = *rc::gen::inRange(1, 4);
    for (int n = 0; n < count; ++n) {
      bytes += "POST /" + std::to_string(n) + " HTTP/1.1\r\nHost: x\r\n";
      for (const std::string& line :
           *rc::gen::container<std::vector<std::string>>(
             *rc::gen::inRange(0, 4), rc::gen::elementOf(kLines))) {
        bytes += line;
      }
      bytes += "\r\n" + *rc::gen::elementOf(kBodies);
    }
    std::vector<StrictRequest> accepted;
    mHandler.mRespond = [&](HttpExchange& aExchange) {
      const HttpRequest& request = aExchange.Request();
      if (request.mTarget != kValidTarget) {
        accepted.push_back(
          { request.mMethod, request.mTarget, request.mBody, 0 });
      }
      aExchange.Respond(200, {}, "good");
    };
    const auto cuts = *rc::gen::container<std::vector<std::size_t>>(
      *rc::gen::inRange(0, 4), rc::gen::inRange<std::size_t>(0, bytes.size()));
    SendInParts(bytes, cuts, true);
    // By then, the server has handled all that was sent before.
    RC_ASSERT(ServesValidRequest());
    const auto strict = StrictRequestReader(bytes).ReadAll();
    RC_ASSERT(accepted.size() <= strict.size());
    for (std::size_t n = 0; n < accepted.size(); ++n) {
      RC_ASSERT(accepted[n].mMethod == strict[n].mMethod);
      RC_ASSERT(accepted[n].mTarget == strict[n].mTarget);
      RC_ASSERT(accepted[n].mBody == strict[n].mBody);
    }
  });
  BOOST_TEST(isPassed);
}

BOOST_AUTO_TEST_CASE(RandomBytes)
{
  const bool isPassed = rc::check("random bytes", [this] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    SendInParts(bytes, {}, *rc::gen::arbitrary<bool>());
    RC_ASSERT(ServesValidRequest());
  });
  BOOST_TEST(isPassed);
}

BOOST_AUTO_TEST_SUITE_END()
