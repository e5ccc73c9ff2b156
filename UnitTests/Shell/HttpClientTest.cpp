/// The HTTP client: whether each kind of failure reports that bytes may have
/// been sent, and calls of the client from within its own callbacks.
#define BOOST_TEST_MODULE HttpClient
#include <Peridothoist/Peridothoist.h>
#include <Shell/ShellFixture.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

struct ClientFixture : ShellFixture
{
  /// Returns a call to a raw server.
  static HttpCall CallTo(const RawServer& aServer)
  {
    HttpCall call;
    call.mUrl = "http://127.0.0.1:" + std::to_string(aServer.mPort) + "/";
    return call;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Client, ClientFixture)

BOOST_AUTO_TEST_CASE(ConnectionRefused)
{
  HttpCall call;
  {
    const RawServer server(*mReactor, "");
    call = CallTo(server);
  }
  const auto recorder = CallAndWait(call);
  BOOST_TEST((recorder->mResult.mFailure == CallFailure::NotConnected));
  BOOST_TEST(!recorder->mResult.mMayHaveBeenSent);
  BOOST_TEST(recorder->mBeforeSends == 0);
}

BOOST_AUTO_TEST_CASE(WithheldCallSendsNothing)
{
  Serve();
  const auto recorder = std::make_shared<CallRecorder>();
  recorder->mShouldAllowSend = false;
  CallAndWait(Call("POST", "/", "body"), recorder);
  BOOST_TEST((recorder->mResult.mFailure == CallFailure::Withheld));
  BOOST_TEST(!recorder->mResult.mMayHaveBeenSent);
  BOOST_TEST(recorder->mBeforeSends == 1);
  BOOST_TEST(mHandler.mRequests == 0);
}

BOOST_AUTO_TEST_CASE(SendOnceIsNeverSentTwice)
{
  // The server closes the connection without a response. libcurl would send the
  // request again if the connection were a reused one.
  RawServer server(*mReactor, "");
  HttpCall call = CallTo(server);
  call.mMethod = "POST";
  call.mBody = "certificate";
  call.mSendOnce = true;
  for (int i = 1; i <= 3; ++i) {
    const auto recorder = CallAndWait(call);
    BOOST_TEST((recorder->mResult.mFailure == CallFailure::Broken));
    BOOST_TEST(recorder->mResult.mMayHaveBeenSent);
    BOOST_TEST(recorder->mBeforeSends == 1);
    BOOST_TEST(server.mRequests == i);
  }
}

BOOST_AUTO_TEST_CASE(SendOnceUsesNewConnection)
{
  mHandler.mRespond = [](HttpExchange& aExchange) {
    aExchange.Respond(200, {}, "ok");
  };
  Serve();
  HttpCall call = Call("POST", "/", "x");
  BOOST_TEST(CallAndWait(call)->mBody == "ok");
  // The server closes the idle connection that the client keeps for reuse,
  // which the client can't know.
  const auto port = mServer->Port();
  mServer.reset();
  HttpServerSettings settings;
  settings.mPort = port;
  Serve(settings);
  call.mSendOnce = true;
  const auto recorder = CallAndWait(call);
  BOOST_TEST(recorder->mBody == "ok", recorder->mResult.mReason);
  BOOST_TEST(recorder->mBeforeSends == 1);
}

BOOST_AUTO_TEST_CASE(TruncatedResponses)
{
  for (const char* response :
       { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf",
         "HTTP/1.1 200 OK\r\nContent-Le",
         "not HTTP\r\n\r\n",
         "" }) {
    const RawServer server(*mReactor, response);
    const auto recorder = CallAndWait(CallTo(server));
    BOOST_TEST((recorder->mResult.mFailure == CallFailure::Broken), response);
    BOOST_TEST(recorder->mResult.mMayHaveBeenSent, response);
  }
}

// Guards against a response that an upstream stopped to send within its head
// and that is taken for one with an empty body (MIXED).
BOOST_AUTO_TEST_CASE(EveryCutOfAHeadIsBroken)
{
  for (const std::string head :
       { "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\n",
         "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n\r\n",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n",
         "HTTP/1.0 200 OK\r\nResponse-Seal: s\r\n\r\n",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n",
         "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" }) {
    for (std::size_t n = 0; n < head.size(); ++n) {
      const std::string cut = head.substr(0, n);
      const RawServer server(*mReactor, cut);
      const auto recorder = CallAndWait(CallTo(server));
      BOOST_TEST((recorder->mResult.mFailure == CallFailure::Broken), cut);
      BOOST_TEST(recorder->mBody.empty(), cut);
    }
  }
}

// The same by a line of blanks, which does not end a head.
BOOST_AUTO_TEST_CASE(ALineOfBlanksDoesNotEndAHead)
{
  const RawServer server(*mReactor, "HTTP/1.1 200 OK\r\nA: b\r\n \r\n");
  const auto recorder = CallAndWait(CallTo(server));
  BOOST_TEST((recorder->mResult.mFailure == CallFailure::Broken));
}

namespace {

/// A plain server socket that sends fixed bytes for each request and keeps its
/// connections open, and counts them.
class KeepingServer : public DescriptorListener
{
public:
  KeepingServer(Reactor& aReactor, std::string aResponse)
    : mResponse(std::move(aResponse))
    , mReactor(aReactor)
    , mListening(aReactor, "")
  {
    mReactor.Unwatch(mListening.Socket());
    mReactor.Watch(mListening.Socket(), this);
  }
  ~KeepingServer() override
  {
    for (const int connection : mConnections) {
      mReactor.Unwatch(connection);
      ::close(connection);
    }
  }
  KeepingServer(const KeepingServer&) = delete;
  KeepingServer& operator=(const KeepingServer&) = delete;

  HttpCall Call() const { return ClientFixture::CallTo(mListening); }
  std::size_t ConnectionCount() const { return mConnections.size(); }

  /// Sends bytes on the newest connection.
  void SendToLast(const std::string& aBytes) const
  {
    ::send(mConnections.back(), aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  }

  // See: DescriptorListener
  void OnReadable(int aDescriptor) override
  {
    if (aDescriptor == mListening.Socket()) {
      mConnections.push_back(::accept(aDescriptor, nullptr, nullptr));
      mReactor.Watch(mConnections.back(), this);
      return;
    }
    std::array<char, 65536> request = {};
    if (::recv(aDescriptor, request.data(), request.size(), 0) <= 0) {
      mReactor.Unwatch(aDescriptor);
      return;
    }
    ::send(aDescriptor, mResponse.data(), mResponse.size(), MSG_NOSIGNAL);
  }

  std::string mResponse;

private:
  Reactor& mReactor;
  RawServer mListening;
  std::vector<int> mConnections;
};

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kSized = kOk + "Content-Length: 4\r\n";

} // namespace

// Guards against a broken response that is taken for a complete one, with
// another body or with headers that it does not have (MIXED).
// ResponseParserTest has all forms.
BOOST_AUTO_TEST_CASE(BrokenResponses)
{
  for (const std::string& response :
       { // Spoilt where the length is told
         kOk + "Content-Length: 4x\r\n\r\ngood",
         kOk + "Content-Length: 2 4\r\n\r\ngood",
         kOk + "Content-Length 4\r\n\r\ngood",
         kOk + "Content-Length: 3\r\nContent-Length: 4\r\n\r\ngood",
         kOk + "Content-Length: 4, 3\r\n\r\ngood",
         kOk + "Transfer-Encoding: chunkedx\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
         kSized + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
         // A line that is no header
         kSized + "garbage\r\n\r\ngood",
         kSized + ": z\r\n\r\ngood",
         kSized + "HTTP/1.1 200 OK\r\n\r\ngood",
         kSized + " folded: z\r\n\r\ngood",
         kSized + "\rX: z\r\n\r\ngood",
         // A blank or a control character in a name
         kSized + "X Y: z\r\n\r\ngood",
         kSized + "X : z\r\n\r\ngood",
         kSized + "X\x01Y: z\r\n\r\ngood",
         kSized + "X\tY: z\r\n\r\ngood",
         kOk + "Content-Length : 2\r\n\r\ngood",
         kOk + "Content-\x01Length: 2\r\n\r\ngood",
         kOk + "Transfer-Encoding : chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
         // The end of a line or of the head
         kOk + "Content-Length: 4\n\r\ngood",
         kSized + "\ngood",
         // The status
         std::string("HTTP/1.1 000 None\r\nContent-Length: 4\r\n\r\ngood"),
         std::string("HTTP/1.1 999 None\r\nContent-Length: 4\r\n\r\ngood"),
         std::string("HTTP/1.1 101 Switch\r\n\r\ngood"),
         // An interim response
         "HTTP/1.1 103 Hints\r\nX Y: z\r\n\r\n" + kSized + "\r\ngood" }) {
    const RawServer server(*mReactor, response);
    const auto recorder = CallAndWait(CallTo(server));
    BOOST_TEST((recorder->mResult.mFailure == CallFailure::Broken), response);
    BOOST_TEST(recorder->mResult.mMayHaveBeenSent, response);
    BOOST_TEST(recorder->mResult.mStatus == 0, response);
    BOOST_TEST(recorder->mStatus == 0, response);
    BOOST_TEST(recorder->mBody.empty(), response);
  }
}

// Guards against the same for the chunks of a body.
BOOST_AUTO_TEST_CASE(BrokenChunks)
{
  for (const char* chunks : { "4x\r\ngood\r\n0\r\n\r\n",
                              "4 \r\ngood\r\n0\r\n\r\n",
                              "4\ngood\r\n0\r\n\r\n",
                              "4\r\ngood\n0\r\n\r\n",
                              "4;a b\r\ngood\r\n0\r\n\r\n",
                              "4\r\ngood\r\n0\r\ngarbage\r\n\r\n",
                              "4\r\ngood\r\n0\r\nX Y: z\r\n\r\n" }) {
    const RawServer server(*mReactor,
                           kOk + "Transfer-Encoding: chunked\r\n\r\n" + chunks);
    const auto recorder = CallAndWait(CallTo(server));
    BOOST_TEST((recorder->mResult.mFailure == CallFailure::Broken), chunks);
    BOOST_TEST(recorder->mResult.mStatus == 200, chunks);
  }
}

// Guards against a connection that is used again after a broken response, or
// after one that is followed by bytes which belong to no request.
BOOST_AUTO_TEST_CASE(ConnectionsWithBrokenResponsesAreNotUsedAgain)
{
  const std::string chunked =
    kOk + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n";
  for (const std::string& response : { kSized + "X Y: z\r\n\r\ngood",
                                       kOk + "Content-Length: 4x\r\n\r\ngood",
                                       kSized + "\r\ngood and more",
                                       chunked + "and more" }) {
    KeepingServer server(*mReactor, response);
    CallAndWait(server.Call());
    server.mResponse = kSized + "\r\ngood";
    for (int i = 0; i < 2; ++i) {
      const auto recorder = CallAndWait(server.Call());
      BOOST_TEST((recorder->mResult.mFailure == CallFailure::None), response);
      BOOST_TEST(recorder->mBody == "good", response);
    }
    BOOST_TEST(server.ConnectionCount() == 2U, response);
  }
  for (const std::string& response : { kSized + "\r\ngood", chunked }) {
    KeepingServer server(*mReactor, response);
    for (int i = 0; i < 3; ++i) {
      BOOST_TEST(CallAndWait(server.Call())->mBody == "good", response);
    }
    BOOST_TEST(server.ConnectionCount() == 1U, response);
  }
}

// Guards against a response that arrives late, on an idle connection, and is
// taken for that to the next request (MIXED).
BOOST_AUTO_TEST_CASE(BytesOnAnIdleConnectionBelongToNoRequest)
{
  const std::string sound = kSized + "\r\ngood";
  for (const Duration delay : { 0ms, 5ms, 30ms }) {
    KeepingServer server(*mReactor, sound);
    BOOST_TEST(CallAndWait(server.Call())->mBody == "good");
    bool isIdle = false;
    mReactor->Schedule(delay, [&] { server.SendToLast(kSized + "\r\nmore"); });
    mReactor->Schedule(delay + 20ms, [&] { isIdle = true; });
    BOOST_REQUIRE(Until([&] { return isIdle; }));
    BOOST_TEST(CallAndWait(server.Call())->mBody == "good");
    BOOST_TEST(server.ConnectionCount() == 2U);
  }
}

// Guards against a broken response to CONNECT that opens a tunnel, or whose
// status is believed: an upstream that is up counts as gone.
BOOST_AUTO_TEST_CASE(BrokenResponsesToConnect)
{
  const std::string response = kSized + "\r\ngood";
  for (const std::string& head :
       { std::string("HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n"),
         std::string("HTTP/1.1 200 OK\r\ngarbage\r\n\r\n"),
         std::string("HTTP/1.1 200 OK\nX: y\r\n\r\n"),
         std::string("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"),
         std::string(
           "HTTP/1.1 502 Bad\r\nX\x01: z\r\nContent-Length: 0\r\n\r\n"),
         std::string("HTTP/1.1 403 No\r\ngarbage\r\nContent-Length: 0\r\n\r\n"),
         std::string("HTTP/1.1 000 None\r\n\r\n") }) {
    const RawServer server(*mReactor, head + response);
    HttpCall call;
    call.mUrl = "http://127.0.0.1:1/";
    call.mTunnel = "127.0.0.1:" + std::to_string(server.mPort);
    call.mSendOnce = true;
    const auto recorder = CallAndWait(call);
    const HttpCallResult& result = recorder->mResult;
    BOOST_TEST((result.mFailure == CallFailure::NotConnected), head);
    BOOST_TEST(!result.mMayHaveBeenSent, head);
    BOOST_TEST(result.mTunnelStatus == 0, head);
    BOOST_TEST(recorder->mStatus == 0, head);
    BOOST_TEST(recorder->mBody.empty(), head);
  }
}

// Guards against sound responses, in all that the grammar allows, that libcurl
// or the parser takes for broken.
BOOST_AUTO_TEST_CASE(UnusualResponsesAreComplete)
{
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& response :
       { std::string("HTTP/1.1 200\r\nContent-Length: 4\r\n\r\ngood"),
         std::string("HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\ngood"),
         std::string("HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ngood"),
         "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + kSized + "\r\ngood",
         kOk + "content-length:4\r\n\r\ngood",
         kOk + "CONTENT-LENGTH: \t0004 \r\n\r\ngood",
         kOk + "Content-Length: 4, 4\r\n\r\ngood",
         kSized + "Content-Length: 4\r\n\r\ngood",
         kSized + "X:\r\nY!#$%&'*+-.^_`|~: \t d\xc3\xa9 \r\n\r\ngood",
         kSized + "X: " + std::string(30'000, 'x') + "\r\n\r\ngood",
         kOk + "Transfer-Encoding: , Chunked ,\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
         kOk + chunked + "4;a=1;b=\"x; y\" ; c\r\ngood\r\n0;d\r\n\r\n",
         kOk + chunked + "0002\r\ngo\r\n2\r\nod\r\n000\r\nX: y\r\n\r\n",
         kOk + "\r\ngood" }) {
    const RawServer server(*mReactor, response);
    const auto recorder = CallAndWait(CallTo(server));
    BOOST_TEST((recorder->mResult.mFailure == CallFailure::None), response);
    BOOST_TEST(recorder->mStatus == 200, response);
    BOOST_TEST(recorder->mBody == "good", response);
  }
  for (const std::string& head :
       { std::string("HTTP/1.1 204 No Content\r\n\r\n"),
         std::string("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"),
         std::string("HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n"),
         std::string("HTTP/1.1 304 Not Modified\r\n") + chunked }) {
    const RawServer server(*mReactor, head);
    const auto recorder = CallAndWait(CallTo(server));
    BOOST_TEST((recorder->mResult.mFailure == CallFailure::None), head);
    BOOST_TEST(recorder->mBody.empty(), head);
  }
  for (const std::string& head : { kSized + "\r\n", kOk + chunked }) {
    const RawServer server(*mReactor, head);
    HttpCall call = CallTo(server);
    call.mMethod = "HEAD";
    const auto recorder = CallAndWait(call);
    BOOST_TEST((recorder->mResult.mFailure == CallFailure::None), head);
    BOOST_TEST(recorder->mStatus == 200, head);
  }
}

BOOST_AUTO_TEST_CASE(CompleteResponsesInEveryFraming)
{
  for (const char* response :
       { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
         "4\r\ngood\r\n0\r\nX-Trailer: 1\r\n\r\n",
         "HTTP/1.1 100 Continue\r\n\r\n"
         "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
         "HTTP/1.0 200 OK\r\n\r\ngood" }) {
    const RawServer server(*mReactor, response);
    const auto recorder = CallAndWait(CallTo(server));
    BOOST_TEST((recorder->mResult.mFailure == CallFailure::None), response);
    BOOST_TEST(recorder->mStatus == 200);
    BOOST_TEST(recorder->mBody == "good");
    BOOST_TEST(recorder->mHeaders.count("x-trailer") == 0U);
  }
}

// Guards against a faulty upstream that sends bytes without end: the process
// that had called it kept them all until it ran out of memory (LOST).
BOOST_AUTO_TEST_CASE(ResponsesWithoutEndAreGivenUp)
{
  struct Row
  {
    const char* mName;
    std::string mBegin;
    std::string mRepeated;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string block(1000, 'x');
  const std::string line = "X-Header: " + block + "\r\n";
  const Row rows[] = {
    { "bytes that are no response", "", block },
    { "status line", "HTTP/1.1 200 ", block },
    { "line of a head", ok + "X-Header: ", block },
    { "lines of a head", ok, line },
    { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "interim responses with headers",
      "",
      "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" },
    { "empty lines", "", "\r\n" },
    { "size of a chunk", chunked, "0" },
    { "line of a trailer", chunked + "0\r\nX-Trailer: ", block },
    { "trailers", chunked + "0\r\n", line },
    { "body to the end of the connection", ok + "\r\n", block },
    { "body in chunks", chunked, "3e8\r\n" + block + "\r\n" },
    { "body with a length",
      ok + "Content-Length: 1000000000000\r\n\r\n",
      block },
    { "body of an error", "HTTP/1.1 500 Internal Server Error\r\n\r\n", block },
  };
  constexpr std::size_t kLimit = 100'000;
  // What is on its way in buffers of the kernel when the call ends.
  constexpr std::size_t kInBuffers = 4 << 20;
  for (const Row& row : rows) {
    EndlessServer server(*mReactor, row.mBegin, row.mRepeated);
    HttpCall call;
    call.mUrl = "http://127.0.0.1:" + std::to_string(server.Port()) + "/";
    call.mMaxResponseBytes = kLimit;
    const auto recorder = CallAndWait(call);
    BOOST_TEST((recorder->mResult.mFailure == CallFailure::Broken), row.mName);
    BOOST_TEST(recorder->mResult.mMayHaveBeenSent, row.mName);
    BOOST_TEST(recorder->mBody.size() <= kLimit, row.mName);
    BOOST_TEST(server.mSentBytes < kLimit + kInBuffers, row.mName);
    BOOST_TEST(Until([&] { return server.mIsRefused; }), row.mName);
  }
}

// Guards against documents of peers and the store that are kept although the
// process holds too much.
BOOST_AUTO_TEST_CASE(FetchedBodiesAreDrawnFromTheMemory)
{
  mHandler.mRespond = [](HttpExchange& aExchange) {
    aExchange.Respond(200, {}, std::string(50'000, 'x'));
  };
  Serve();
  const auto memory = std::make_shared<MemoryBudget>(300'000);
  mClient->SetMemory(memory);
  const auto fetch = [this] {
    std::optional<HttpCallResult> result;
    mClient->Fetch(Call(), [&](const HttpCallResult& aResult, std::string) {
      result = aResult;
    });
    BOOST_REQUIRE(Until([&] { return result.has_value(); }));
    return result->mFailure;
  };
  BOOST_TEST((fetch() == CallFailure::None));
  BOOST_TEST(memory->UsedBytes() == 0);
  MemoryCharge other(memory);
  other.Set(280'000);
  BOOST_TEST((fetch() == CallFailure::Broken));
  BOOST_TEST(memory->UsedBytes() == 280'000);
  BOOST_TEST(memory->RefusalCount(MemoryUse::Document) == 1);
}

BOOST_AUTO_TEST_CASE(TimeoutAfterSending)
{
  Serve();
  HttpCall call = Call();
  call.mTotalTimeout = 100ms;
  const auto recorder = CallAndWait(call);
  BOOST_TEST((recorder->mResult.mFailure == CallFailure::TimedOut));
  BOOST_TEST(recorder->mResult.mMayHaveBeenSent);
  BOOST_REQUIRE(Until([&] { return mHandler.mDisconnects == 1; }));
}

BOOST_AUTO_TEST_CASE(CancelAndPauseFromInsideCallbacks)
{
  mHandler.mRespond = [](HttpExchange& aExchange) {
    aExchange.StartStream(200, {});
    for (int i = 0; i < 100; ++i) {
      aExchange.Write(std::string(1000, 'x'));
    }
    aExchange.EndStream();
  };
  Serve();

  // Paused after each part and resumed later: the whole body is received.
  auto recorder = std::make_shared<CallRecorder>();
  HttpClient::CallId id = 0;
  recorder->mOnData = [&] {
    mClient->Pause(id);
    mReactor->Schedule(100us, [&] { mClient->Resume(id); });
  };
  id = mClient->Start(Call(), recorder);
  BOOST_REQUIRE(Until([&] { return recorder->mEnds > 0; }));
  BOOST_TEST((recorder->mResult.mFailure == CallFailure::None));
  BOOST_TEST(recorder->mBody.size() == 100000U);

  // Cancelled at the first part: no more data is received.
  recorder = std::make_shared<CallRecorder>();
  recorder->mOnData = [&] {
    mClient->Pause(id);
    mClient->Resume(id);
    mClient->Cancel(id);
    mClient->Cancel(id);
    BOOST_TEST(recorder->mEnds == 0);
    recorder->mOnData = [&] { BOOST_ERROR("data after the cancel"); };
  };
  id = mClient->Start(Call(), recorder);
  BOOST_REQUIRE(Until([&] { return recorder->mEnds > 0; }));
  BOOST_TEST((recorder->mResult.mFailure == CallFailure::Cancelled));
  BOOST_TEST(recorder->mResult.mMayHaveBeenSent);
}

BOOST_AUTO_TEST_CASE(CancelBeforeSending)
{
  Serve();
  const auto recorder = std::make_shared<CallRecorder>();
  mClient->Cancel(mClient->Start(Call(), recorder));
  BOOST_TEST(recorder->mEnds == 0);
  BOOST_REQUIRE(Until([&] { return recorder->mEnds > 0; }));
  BOOST_TEST((recorder->mResult.mFailure == CallFailure::Cancelled));
  BOOST_TEST(!recorder->mResult.mMayHaveBeenSent);
  BOOST_TEST(mHandler.mRequests == 0);
}

BOOST_AUTO_TEST_CASE(ClientIsDestroyedWithOpenCalls)
{
  Serve();
  const auto recorder = std::make_shared<CallRecorder>();
  mClient->Start(Call(), recorder);
  BOOST_REQUIRE(Until([&] { return mHandler.mRequests == 1; }));
  mClient.reset();
  BOOST_REQUIRE(Until([&] { return mHandler.mDisconnects == 1; }));
  BOOST_TEST(recorder->mEnds == 0);
  BOOST_TEST(recorder.use_count() == 1);
}

BOOST_AUTO_TEST_CASE(MethodsAndHeadersAreSentUnchanged)
{
  mHandler.mRespond = [](HttpExchange& aExchange) {
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
