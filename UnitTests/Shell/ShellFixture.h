/// A reactor with an HTTP server and a client on loopback, and listeners that
/// note what they were told.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/Reactor.h>

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace peridothoist::test {

/// Longest wait for any event; only a fault takes that long.
constexpr Duration kPatience = 20s;

/// Runs the reactor until aDone holds; false when it never did.
inline bool
RunUntil(Reactor& aReactor, const std::function<bool()>& aDone)
{
  const TimePoint end = aReactor.Now() + kPatience;
  std::function<void()> check = [&] {
    if (aDone() || aReactor.Now() > end) {
      aReactor.Stop();
    } else {
      aReactor.Schedule(1ms, check);
    }
  };
  aReactor.Schedule(Duration::zero(), check);
  aReactor.Run();
  return aDone();
}

/// Notes how a call went.
class CallNotes : public HttpCallListener
{
public:
  // See: HttpCallListener
  bool OnBeforeSend() override
  {
    ++mBeforeSends;
    return mAllowSend;
  }
  void OnHead(int aStatus, const HttpHeaders& aHeaders) override
  {
    mStatus = aStatus;
    mHeaders = aHeaders;
  }
  void OnData(std::string_view aData) override
  {
    mBody += aData;
    if (mOnData) {
      mOnData();
    }
  }
  void OnEnd(const HttpCallOutcome& aOutcome) override
  {
    ++mEnds;
    mOutcome = aOutcome;
  }

  bool mAllowSend = true;
  std::function<void()> mOnData;
  int mBeforeSends = 0;
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
  int mEnds = 0;
  HttpCallOutcome mOutcome;
};

/// Hands each request to a function, and notes callers that went away.
class Handler
  : public HttpRequestHandler
  , public HttpExchangeListener
{
public:
  // See: HttpRequestHandler
  void OnRequest(std::shared_ptr<HttpExchange> aExchange) override
  {
    ++mRequests;
    aExchange->SetListener(this);
    mLast = aExchange;
    if (mAnswer) {
      mAnswer(*aExchange);
    }
  }

  // See: HttpExchangeListener
  void OnCallerGone() override { ++mGone; }
  void OnDrained() override
  {
    ++mDrained;
    if (mOnDrained) {
      mOnDrained();
    }
  }

  std::function<void(HttpExchange&)> mAnswer;
  std::function<void()> mOnDrained;
  std::shared_ptr<HttpExchange> mLast;
  int mRequests = 0;
  int mGone = 0;
  int mDrained = 0;
};

/// A plain socket to the server, for what a decent client never sends.
class RawCaller
{
public:
  explicit RawCaller(std::uint16_t aPort)
    : mSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int ec = ::connect(
      mSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    BOOST_REQUIRE_EQUAL(ec, 0);
  }
  ~RawCaller() { Close(); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Send(std::string_view aData) const
  {
    ::send(mSocket, aData.data(), aData.size(), MSG_NOSIGNAL);
  }

  /// Takes in what came, and says whether the server closed the connection.
  bool Receive()
  {
    std::array<char, 65536> buf = {};
    ssize_t n = 0;
    while ((n = ::recv(mSocket, buf.data(), buf.size(), MSG_DONTWAIT)) > 0) {
      mReceived.append(buf.data(), static_cast<std::size_t>(n));
    }
    mReset = mReset || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    mClosed = mClosed || n == 0 || mReset;
    return mClosed;
  }

  void Close()
  {
    if (mSocket >= 0) {
      ::close(std::exchange(mSocket, -1));
    }
  }

  std::string mReceived;
  bool mClosed = false;
  bool mReset = false;

private:
  int mSocket;
};

/// A plain listener that answers each connection with fixed bytes and closes
/// it, for what a decent server never sends.
class RawServer : public DescriptorListener
{
public:
  RawServer(Reactor& aReactor, std::string aAnswer)
    : mAnswer(std::move(aAnswer))
    , mReactor(aReactor)
    , mSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE_EQUAL(::bind(mSocket, generic, size), 0);
    BOOST_REQUIRE_EQUAL(::listen(mSocket, 16), 0);
    ::getsockname(mSocket, generic, &size);
    mPort = ntohs(address.sin_port);
    mReactor.Watch(mSocket, this);
  }
  ~RawServer() override
  {
    mReactor.Unwatch(mSocket);
    ::close(mSocket);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  // See: DescriptorListener
  void OnReadable(int aDescriptor) override
  {
    if (aDescriptor == mSocket) {
      mReactor.Watch(::accept(mSocket, nullptr, nullptr), this);
      return;
    }
    std::array<char, 65536> buf = {};
    // The test's requests come in one piece.
    if (::recv(aDescriptor, buf.data(), buf.size(), 0) > 0) {
      ++mRequests;
    }
    ::send(aDescriptor, mAnswer.data(), mAnswer.size(), MSG_NOSIGNAL);
    mReactor.Unwatch(aDescriptor);
    ::close(aDescriptor);
  }

  std::string mAnswer;
  std::uint16_t mPort = 0;
  int mRequests = 0;

private:
  Reactor& mReactor;
  int mSocket;
};

/// Everything together.
struct ShellFixture
{
  ShellFixture()
    : mReactor(Reactor::Create())
  {
    BOOST_REQUIRE(mReactor != nullptr);
    mClient = HttpClient::Create(*mReactor);
    BOOST_REQUIRE(mClient != nullptr);
  }

  void Serve(const HttpServerSettings& aSettings = {})
  {
    std::string reason;
    mServer = HttpServer::Create(*mReactor, aSettings, &mHandler, &reason);
    BOOST_REQUIRE_MESSAGE(mServer != nullptr, reason);
  }

  HttpCall Call(std::string aMethod = "GET",
                const std::string& aPath = "/",
                std::string aBody = {}) const
  {
    HttpCall call;
    call.mMethod = std::move(aMethod);
    call.mUrl = "http://127.0.0.1:" + std::to_string(mServer->Port()) + aPath;
    call.mBody = std::move(aBody);
    return call;
  }

  /// Starts a call and waits for its end.
  std::shared_ptr<CallNotes> CallAndWait(
    HttpCall aCall,
    std::shared_ptr<CallNotes> aNotes = std::make_shared<CallNotes>())
  {
    mClient->Start(std::move(aCall), aNotes);
    BOOST_REQUIRE(Until([&] { return aNotes->mEnds > 0; }));
    return aNotes;
  }

  bool Until(const std::function<bool()>& aDone)
  {
    return RunUntil(*mReactor, aDone);
  }

  std::unique_ptr<Reactor> mReactor;
  Handler mHandler;
  std::unique_ptr<HttpServer> mServer;
  std::unique_ptr<HttpClient> mClient;
};

} // namespace peridothoist::test
