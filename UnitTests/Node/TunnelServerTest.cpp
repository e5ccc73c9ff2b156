/// Tests calls through a tunnel, on loopback: the HTTP client on one side and
/// an HTTP server or a plain socket on the other.
#define BOOST_TEST_MODULE TunnelServer
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/TunnelServer.h>
#include <Shell/ShellFixture.h>

#include <sys/wait.h>

#include <csignal>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

/// Finds a port that nobody listens on.
std::uint16_t
FreePort()
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  BOOST_REQUIRE_EQUAL(::bind(descriptor, generic, size), 0);
  ::getsockname(descriptor, generic, &size);
  ::close(descriptor);
  return ntohs(address.sin_port);
}

struct TunnelFixture
  : ShellFixture
  , TunnelServerListener
{
  explicit TunnelFixture(TunnelServerSettings aSettings = {})
    : mTunnelPort(FreePort())
    , mTunnels(TunnelServer::Create(aSettings,
                                    { "127.0.0.1", mTunnelPort },
                                    mReactor.get(),
                                    this))
  {
    BOOST_REQUIRE(mTunnels != nullptr);
  }

  // See: TunnelServerListener
  TunnelVerdict CheckTarget(const std::string& aTarget) override
  {
    mTarget = aTarget;
    return mVerdict;
  }
  void OnTargetTried(const std::string& /*aTarget*/, bool aIsConnected) override
  {
    ++(aIsConnected ? mConnected : mNotConnected);
  }

  HttpCall CallTo(std::uint16_t aPort) const
  {
    HttpCall call;
    call.mMethod = "POST";
    call.mUrl = "http://127.0.0.1:" + std::to_string(aPort) + "/x?y=1";
    call.mBody = "question";
    call.mConnectTimeout = 2s;
    call.mTotalTimeout = 10s;
    call.mSendOnce = true;
    call.mTunnel = "127.0.0.1:" + std::to_string(mTunnelPort);
    return call;
  }

  /// Makes a call through the tunnel and returns what came of it.
  std::shared_ptr<CallRecorder> MakeCall(std::uint16_t aPort)
  {
    auto recorder = std::make_shared<CallRecorder>();
    mClient->Start(CallTo(aPort), recorder);
    BOOST_TEST(Until([&] { return recorder->mEnds > 0; }));
    return recorder;
  }

  TunnelVerdict mVerdict = TunnelVerdict::Allowed;
  std::string mTarget;
  int mConnected = 0;
  int mNotConnected = 0;
  std::uint16_t mTunnelPort;
  std::unique_ptr<TunnelServer> mTunnels;
};

} // namespace

// Guards against requests and responses that a tunnel changes or cuts.
BOOST_FIXTURE_TEST_CASE(ALargeResponseArrivesWhole, TunnelFixture)
{
  Serve();
  const std::string body(3 << 20, 'x');
  mHandler.mRespond = [&](HttpExchange& aExchange) {
    BOOST_TEST(aExchange.Request().mTarget == "/x?y=1");
    BOOST_TEST(aExchange.Request().mBody == "question");
    BOOST_TEST(aExchange.Request().mHeaders.count("proxy-connection") == 0U);
    aExchange.Respond(200, {}, body);
  };
  const auto recorder = MakeCall(mServer->Port());
  BOOST_TEST((recorder->mResult.mFailure == CallFailure::None));
  BOOST_TEST(recorder->mStatus == 200);
  BOOST_TEST(recorder->mBody.size() == body.size());
  BOOST_TEST(recorder->mBeforeSends == 1);
  BOOST_TEST(mTarget == "127.0.0.1:" + std::to_string(mServer->Port()));
  BOOST_TEST(mConnected == 1);
  BOOST_TEST(Until([&] { return mTunnels->OpenCount() == 0; }));
}

// Guards against a refusal of a tunnel that counts as a request that was sent.
BOOST_FIXTURE_TEST_CASE(ARefusedTunnelSendsNothing, TunnelFixture)
{
  struct Row
  {
    TunnelVerdict mVerdict;
    int mStatus;
  };
  for (const Row& row : { Row{ TunnelVerdict::NotAllowed, 403 },
                          Row{ TunnelVerdict::Unavailable, 503 },
                          Row{ TunnelVerdict::Allowed, 502 } }) {
    mVerdict = row.mVerdict;
    const auto recorder = MakeCall(FreePort());
    BOOST_TEST((recorder->mResult.mFailure == CallFailure::NotConnected));
    BOOST_TEST(!recorder->mResult.mMayHaveBeenSent);
    BOOST_TEST(recorder->mResult.mTunnelStatus == row.mStatus);
    BOOST_TEST(recorder->mBeforeSends == 0);
    BOOST_TEST(recorder->mStatus == 0);
  }
  BOOST_TEST(mNotConnected == 1);
}

// Guards against a VM that is gone and counts as an upstream that is.
BOOST_FIXTURE_TEST_CASE(AVmThatIsGoneHasNoStatus, TunnelFixture)
{
  mTunnels.reset();
  const auto recorder = MakeCall(FreePort());
  BOOST_TEST((recorder->mResult.mFailure == CallFailure::NotConnected));
  BOOST_TEST(recorder->mResult.mTunnelStatus == 0);
}

// Guards against a request that is withheld although its tunnel is open.
BOOST_FIXTURE_TEST_CASE(TheLastCheckFollowsTheConnection, TunnelFixture)
{
  Serve();
  auto recorder = std::make_shared<CallRecorder>();
  recorder->mShouldAllowSend = false;
  mClient->Start(CallTo(mServer->Port()), recorder);
  BOOST_TEST(Until([&] { return recorder->mEnds > 0; }));
  BOOST_TEST((recorder->mResult.mFailure == CallFailure::Withheld));
  BOOST_TEST(mConnected == 1);
  BOOST_TEST(mHandler.mRequests == 0);
}

// Guards against upstreams that go on for a caller that has left.
BOOST_FIXTURE_TEST_CASE(ACancelledCallClosesTheUpstreamsConnection,
                        TunnelFixture)
{
  Serve();
  auto recorder = std::make_shared<CallRecorder>();
  const auto id = mClient->Start(CallTo(mServer->Port()), recorder);
  BOOST_TEST(Until([&] { return mHandler.mRequests == 1; }));
  mClient->Cancel(id);
  BOOST_TEST(Until([&] { return mHandler.mDisconnects == 1; }));
  BOOST_TEST(Until([&] { return mTunnels->OpenCount() == 0; }));
}

// Guards against a response that looks complete because the VM in between has
// ended.
BOOST_FIXTURE_TEST_CASE(ATunnelThatEndsBreaksTheCall, TunnelFixture)
{
  Serve();
  mHandler.mRespond = [](HttpExchange& aExchange) {
    aExchange.StartStream(200, {});
    aExchange.Write("half");
  };
  auto recorder = std::make_shared<CallRecorder>();
  mClient->Start(CallTo(mServer->Port()), recorder);
  BOOST_TEST(Until([&] { return recorder->mBody == "half"; }));
  mTunnels.reset();
  BOOST_TEST(Until([&] { return recorder->mEnds > 0; }));
  BOOST_TEST((recorder->mResult.mFailure == CallFailure::Broken));
  BOOST_TEST(recorder->mResult.mMayHaveBeenSent);
}

namespace {

const std::string kUnsizedHead = "HTTP/1.1 200 X\r\nConnection: close\r\n\r\n";

/// An upstream that sends a part of a response that ends with its connection,
/// and then ends or resets the connection, or leaves it open.
class UnsizedServer : public RawServer
{
public:
  UnsizedServer(Reactor& aReactor, std::size_t aBytes)
    : RawServer(aReactor, "")
    , mReactor(aReactor)
    , mBody(aBytes, 'b')
  {
  }
  ~UnsizedServer() override
  {
    if (mConnection >= 0) {
      mReactor.Unwatch(mConnection);
      ::close(mConnection);
    }
  }

  // See: DescriptorListener
  void OnReadable(int aDescriptor) override
  {
    if (aDescriptor == Socket()) {
      mConnection = ::accept(aDescriptor, nullptr, nullptr);
      mReactor.Watch(mConnection, this);
      return;
    }
    std::array<char, 4096> request = {};
    ::recv(aDescriptor, request.data(), request.size(), 0);
    const std::string response = kUnsizedHead + mBody;
    ::send(aDescriptor, response.data(), response.size(), MSG_NOSIGNAL);
    mReactor.Unwatch(aDescriptor);
    if (!mStaysOpen) {
      const linger option = { mResets ? 1 : 0, 0 };
      ::setsockopt(aDescriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
      ::close(std::exchange(mConnection, -1));
    }
  }

  bool mResets = false;
  bool mStaysOpen = false;

private:
  Reactor& mReactor;
  std::string mBody;
  int mConnection = -1;
};

} // namespace

// Guards against whole responses that are thrown away since they state no
// length: nodes that are cut off get all their responses through tunnels
// (RECOVER).
BOOST_FIXTURE_TEST_CASE(AResponseThatEndsInOrderIsComplete, TunnelFixture)
{
  for (const std::size_t bytes : { 3, 200000 }) {
    UnsizedServer server(*mReactor, bytes);
    const auto recorder = MakeCall(server.mPort);
    BOOST_TEST(recorder->mStatus == 200);
    BOOST_TEST((recorder->mResult.mFailure == CallFailure::None));
    BOOST_TEST(recorder->mBody.size() == bytes);
  }
}

// Guards against a response without a length that its upstream has broken off
// and that is taken for complete.
BOOST_FIXTURE_TEST_CASE(AResponseThatIsResetIsNotComplete, TunnelFixture)
{
  UnsizedServer server(*mReactor, 3);
  server.mResets = true;
  const auto recorder = MakeCall(server.mPort);
  BOOST_TEST((recorder->mResult.mFailure != CallFailure::None));
}

// Guards against the same when the VM in between leaves, or its process is
// killed, which closes its sockets.
BOOST_FIXTURE_TEST_CASE(AResponseWhoseTunnelEndsIsNotComplete, TunnelFixture)
{
  UnsizedServer server(*mReactor, 3);
  server.mStaysOpen = true;
  const std::uint16_t killedPort = FreePort();
  for (const bool isKilled : { false, true }) {
    pid_t child = -1;
    if (isKilled) {
      child = ::fork();
      if (child == 0) {
        const auto reactor = Reactor::Create();
        const auto tunnels = TunnelServer::Create(
          {}, { "127.0.0.1", killedPort }, reactor.get(), this);
        reactor->Run();
        ::_exit(0);
      }
      mTunnelPort = killedPort;
    }
    auto recorder = std::make_shared<CallRecorder>();
    const auto start = [&] {
      recorder->mEnds = 0;
      mClient->Start(CallTo(server.mPort), recorder);
    };
    start();
    BOOST_REQUIRE(Until([&] {
      if (recorder->mEnds > 0) {
        start(); // The child does not listen yet.
      }
      return recorder->mBody == "bbb";
    }));
    if (isKilled) {
      ::kill(child, SIGKILL);
      ::waitpid(child, nullptr, 0);
    } else {
      mTunnels.reset();
    }
    BOOST_REQUIRE(Until([&] { return recorder->mEnds > 0; }));
    BOOST_TEST((recorder->mResult.mFailure == CallFailure::Broken));
  }
}

// Guards against requests that open a tunnel without naming an upstream.
BOOST_FIXTURE_TEST_CASE(OtherRequestsAreRefused, TunnelFixture)
{
  for (const char* request : { "GET / HTTP/1.1\r\n\r\n",
                               "CONNECT host:80 HTTP/1.1\r\n\r\n",
                               "CONNECT 10.0.0.1 HTTP/1.1\r\n\r\n",
                               "\r\n\r\n" }) {
    RawCaller caller(mTunnelPort);
    caller.Send(request);
    BOOST_TEST(Until([&] { return caller.Receive(); }));
    BOOST_TEST(caller.mReceived.substr(0, 12) == "HTTP/1.1 400", request);
  }
  BOOST_TEST(mTarget.empty());
}

namespace {

TunnelServerSettings
Small()
{
  TunnelServerSettings settings;
  settings.mMaxTunnels = 1;
  settings.mRequestTimeout = 50ms;
  return settings;
}

struct SmallTunnelFixture : TunnelFixture
{
  SmallTunnelFixture()
    : TunnelFixture(Small())
  {
  }
};

} // namespace

// Guards against connections without end, in number and in time.
BOOST_FIXTURE_TEST_CASE(TunnelsAreBounded, SmallTunnelFixture)
{
  RawCaller first(mTunnelPort);
  BOOST_TEST(Until([&] { return mTunnels->OpenCount() == 1; }));
  RawCaller second(mTunnelPort);
  BOOST_TEST(Until([&] { return second.Receive(); }));
  BOOST_TEST(Until([&] { return first.Receive(); }));
  BOOST_TEST(mTunnels->OpenCount() == 0U);
}

RC_BOOST_PROP(ParsingATargetDoesNotCrash, (const std::string& aHead))
{
  detail::ParseConnectTarget(aHead);
  detail::ParseConnectTarget("CONNECT " + aHead);
  const auto good =
    detail::ParseConnectTarget("CONNECT 10.1.2.3:80 HTTP/1.1\r\n" + aHead);
  RC_ASSERT(good == "10.1.2.3:80");
}
