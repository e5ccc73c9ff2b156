/// A test fixture with a reactor, an HTTP server and a client on the loopback
/// interface, and listeners that record their events.
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

/// Time limit for any awaited event. Only a failing test reaches it.
constexpr Duration kEventTimeout = 20s;

/// Runs the reactor until aDone returns true or the time limit is reached.
/// Returns the final result of aDone.
inline bool
RunUntil(Reactor& aReactor, const std::function<bool()>& aDone)
{
  const TimePoint deadline = aReactor.Now() + kEventTimeout;
  std::function<void()> check = [&] {
    if (aDone() || aReactor.Now() > deadline) {
      aReactor.Stop();
    } else {
      aReactor.Schedule(1ms, check);
    }
  };
  aReactor.Schedule(Duration::zero(), check);
  aReactor.Run();
  return aDone();
}

/// Records the events of a call.
class CallRecorder : public HttpCallListener
{
public:
  // See: HttpCallListener
  bool OnBeforeSend() override
  {
    ++mBeforeSends;
    return mShouldAllowSend;
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
  void OnEnd(const HttpCallResult& aResult) override
  {
    ++mEnds;
    mResult = aResult;
  }

  bool mShouldAllowSend = true;
  std::function<void()> mOnData;
  int mBeforeSends = 0;
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
  int mEnds = 0;
  HttpCallResult mResult;
};

/// Passes each request to a function, and counts disconnects.
class RecordingHandler
  : public HttpRequestHandler
  , public HttpExchangeListener
{
public:
  // See: HttpRequestHandler
  void OnRequest(std::shared_ptr<HttpExchange> aExchange) override
  {
    ++mRequests;
    aExchange->SetListener(this);
    mLastExchange = aExchange;
    if (mRespond) {
      mRespond(*aExchange);
    }
  }

  // See: HttpExchangeListener
  void OnCallerDisconnected() override { ++mDisconnects; }
  void OnBufferDrained() override
  {
    ++mDrained;
    if (mOnDrained) {
      mOnDrained();
    }
  }

  std::function<void(HttpExchange&)> mRespond;
  std::function<void()> mOnDrained;
  std::shared_ptr<HttpExchange> mLastExchange;
  int mRequests = 0;
  int mDisconnects = 0;
  int mDrained = 0;
};

/// A plain client socket, for requests that HttpClient never sends.
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
    const int result = ::connect(
      mSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    BOOST_REQUIRE_EQUAL(result, 0);
  }
  ~RawCaller() { Close(); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Send(std::string_view aData) const
  {
    ::send(mSocket, aData.data(), aData.size(), MSG_NOSIGNAL);
  }

  /// Sends what the connection takes at present, and drops what it has
  /// received.
  void SendSome(std::string_view aData) const
  {
    ::send(mSocket, aData.data(), aData.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    std::array<char, 65536> buffer = {};
    ::recv(mSocket, buffer.data(), buffer.size(), MSG_DONTWAIT);
  }

  /// Reads the available bytes. Returns whether the server has closed the
  /// connection.
  bool Receive()
  {
    std::array<char, 65536> buffer = {};
    ssize_t count = 0;
    while ((count = ::recv(
              mSocket, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0) {
      mReceived.append(buffer.data(), static_cast<std::size_t>(count));
    }
    mIsReset =
      mIsReset || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    mIsClosed = mIsClosed || count == 0 || mIsReset;
    return mIsClosed;
  }

  void Close()
  {
    if (mSocket >= 0) {
      ::close(std::exchange(mSocket, -1));
    }
  }

  std::string mReceived;
  bool mIsClosed = false;
  bool mIsReset = false; ///< recv() failed, as after a reset.

private:
  int mSocket;
};

/// A plain server socket that sends fixed bytes on each connection and closes
/// it, for responses that HttpServer never sends.
class RawServer : public DescriptorListener
{
public:
  RawServer(Reactor& aReactor, std::string aResponse)
    : mResponse(std::move(aResponse))
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
    std::array<char, 65536> buffer = {};
    // The requests of the tests arrive in one read.
    if (::recv(aDescriptor, buffer.data(), buffer.size(), 0) > 0) {
      ++mRequests;
    }
    ::send(aDescriptor, mResponse.data(), mResponse.size(), MSG_NOSIGNAL);
    mReactor.Unwatch(aDescriptor);
    ::close(aDescriptor);
  }

  /// Returns the listening socket.
  int Socket() const { return mSocket; }

  std::string mResponse;
  std::uint16_t mPort = 0;
  int mRequests = 0;

private:
  Reactor& mReactor;
  int mSocket;
};

/// A plain server socket that answers the first request with some bytes and
/// then repeats others until the connection is closed.
class EndlessServer : public DescriptorListener
{
public:
  EndlessServer(Reactor& aReactor, std::string aBegin, std::string aRepeated)
    : mReactor(aReactor)
    , mSocket(aReactor, "")
    , mOutput(std::move(aBegin))
    , mRepeated(std::move(aRepeated))
  {
    mReactor.Unwatch(mSocket.Socket());
    mReactor.Watch(mSocket.Socket(), this);
  }
  ~EndlessServer() override
  {
    mReactor.CancelTimer(mTimer);
    if (mConnection >= 0) {
      ::close(mConnection);
    }
  }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  std::uint16_t Port() const { return mSocket.mPort; }

  // See: DescriptorListener
  void OnReadable(int aDescriptor) override
  {
    if (aDescriptor == mSocket.Socket() && mConnection < 0) {
      mConnection = ::accept(mSocket.Socket(), nullptr, nullptr);
      Send();
    }
  }

  std::size_t mSentBytes = 0;
  bool mIsRefused = false; ///< The client has closed the connection.

private:
  void Send()
  {
    while (mOutput.size() < kBlockBytes) {
      mOutput += mRepeated;
    }
    const ssize_t n = ::send(
      mConnection, mOutput.data(), mOutput.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      mSentBytes += static_cast<std::size_t>(n);
      mOutput.erase(0, static_cast<std::size_t>(n));
    } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
      mIsRefused = true;
      return;
    }
    mTimer = mReactor.Schedule(Duration(0), [this] { Send(); });
  }

  static constexpr std::size_t kBlockBytes = 16 * 1024;

  Reactor& mReactor;
  RawServer mSocket;
  int mConnection = -1;
  std::string mOutput;
  std::string mRepeated;
  Reactor::TimerId mTimer = 0;
};

/// A reactor with a server and a client.
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

  /// Starts a call and waits until it has ended.
  std::shared_ptr<CallRecorder> CallAndWait(
    HttpCall aCall,
    std::shared_ptr<CallRecorder> aRecorder = std::make_shared<CallRecorder>())
  {
    mClient->Start(std::move(aCall), aRecorder);
    BOOST_REQUIRE(Until([&] { return aRecorder->mEnds > 0; }));
    return aRecorder;
  }

  bool Until(const std::function<bool()>& aDone)
  {
    return RunUntil(*mReactor, aDone);
  }

  std::unique_ptr<Reactor> mReactor;
  RecordingHandler mHandler;
  std::unique_ptr<HttpServer> mServer;
  std::unique_ptr<HttpClient> mClient;
};

} // namespace peridothoist::test
