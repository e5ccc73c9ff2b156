/// Tests responses that begin while the request is still being sent, to calls
/// with and without a tunnel.
#define BOOST_TEST_MODULE EarlyResponse
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/TunnelServer.h>
#include <Shell/ShellFixture.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

/// How the connection goes on after the response.
enum class Ending
{
  Reset,  ///< It is reset.
  Close,  ///< It is closed while a part of the request is unread.
  ReadOn, ///< The response ends in order, and the request is read to its end.
};

/// An upstream that responds after the first bytes of a request.
class EarlyServer : public RawServer
{
public:
  EarlyServer(Reactor& aReactor,
              std::string aResponse,
              Ending aEnding,
              Duration aDelay)
    : RawServer(aReactor, std::move(aResponse))
    , mReactor(aReactor)
    , mEnding(aEnding)
    , mDelay(aDelay)
  {
    const int size = 64 * 1024; // Less than the request.
    ::setsockopt(Socket(), SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  }
  ~EarlyServer() override
  {
    mReactor.CancelTimer(mTimer);
    Close();
  }

  // See: DescriptorListener
  void OnReadable(int aDescriptor) override
  {
    if (aDescriptor == Socket()) {
      mConnection = ::accept(aDescriptor, nullptr, nullptr);
      mReactor.Watch(mConnection, this);
      return;
    }
    std::array<char, 65536> buf = {};
    const ssize_t n = ::recv(mConnection, buf.data(), buf.size(), 0);
    if (n <= 0) {
      Close();
      return;
    }
    if (mTimer == 0) {
      ::send(mConnection, mResponse.data(), mResponse.size(), MSG_NOSIGNAL);
      mReactor.Unwatch(mConnection);
      mTimer = mReactor.Schedule(mDelay, [this] { End(); });
    }
  }

private:
  void End()
  {
    if (mEnding == Ending::ReadOn) {
      ::shutdown(mConnection, SHUT_WR);
      mReactor.Watch(mConnection, this);
      return;
    }
    const linger option = { mEnding == Ending::Reset ? 1 : 0, 0 };
    ::setsockopt(mConnection, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    ::close(std::exchange(mConnection, -1));
  }

  void Close()
  {
    if (mConnection >= 0) {
      mReactor.Unwatch(mConnection);
      ::close(std::exchange(mConnection, -1));
    }
  }

  Reactor& mReactor;
  Ending mEnding;
  Duration mDelay;
  Reactor::TimerId mTimer = 0;
  int mConnection = -1;
};

struct EarlyFixture
  : ShellFixture
  , TunnelServerListener
{
  EarlyFixture()
  {
    {
      const RawServer server(*mReactor, "");
      mTunnelPort = server.mPort; // Nobody listens there now.
    }
    mTunnels = TunnelServer::Create(
      {}, { "127.0.0.1", mTunnelPort }, mReactor.get(), this);
    BOOST_REQUIRE(mTunnels != nullptr);
  }

  // See: TunnelServerListener
  TunnelVerdict CheckTarget(const std::string& /*aTarget*/) override
  {
    return TunnelVerdict::Allowed;
  }
  void OnTargetTried(const std::string& /*aTarget*/,
                     bool /*aIsConnected*/) override
  {
  }

  /// Makes a call with a large body to a server that responds early.
  std::shared_ptr<CallRecorder> Upload(const std::string& aResponse,
                                       Ending aEnding,
                                       Duration aDelay,
                                       bool aIsTunnelled)
  {
    constexpr std::size_t kUploadBytes = 8 * 1024 * 1024;
    EarlyServer server(*mReactor, aResponse, aEnding, aDelay);
    HttpCall call;
    call.mMethod = "POST";
    call.mUrl = "http://127.0.0.1:" + std::to_string(server.mPort) + "/";
    call.mBody = std::string(kUploadBytes, 'u');
    call.mSendOnce = true;
    if (aIsTunnelled) {
      call.mTunnel = "127.0.0.1:" + std::to_string(mTunnelPort);
    }
    return CallAndWait(call);
  }

  std::uint16_t mTunnelPort = 0;
  std::unique_ptr<TunnelServer> mTunnels;
};

const std::string kUnsized = "HTTP/1.1 200 OK\r\n\r\npart";
const std::string kUnsizedError = "HTTP/1.1 500 Oops\r\n\r\npart";
const std::string kCutChunks =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
const std::string kWholeChunks = kCutChunks + "0\r\n\r\n";
const std::string kSized = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart";

} // namespace

// Guards against a part of a response that is taken for all of it, since the
// writer of the request has noticed the reset and the reader hasn't (MIXED).
BOOST_FIXTURE_TEST_CASE(AResponseThatIsCutDuringTheUploadIsBroken, EarlyFixture)
{
  for (const std::string& response : { kUnsized, kUnsizedError, kCutChunks }) {
    for (const Ending ending : { Ending::Reset, Ending::Close }) {
      for (const Duration delay : { 0ms, 1ms, 20ms, 50ms, 300ms }) {
        for (const bool isTunnelled : { false, true }) {
          const auto recorder = Upload(response, ending, delay, isTunnelled);
          BOOST_TEST((recorder->mResult.mFailure == CallFailure::Broken),
                     response << " tunnelled: " << isTunnelled);
          BOOST_TEST(recorder->mResult.mMayHaveBeenSent);
        }
      }
    }
  }
}

// Guards against an early response that is whole and is thrown away.
BOOST_FIXTURE_TEST_CASE(AnEarlyResponseThatEndsInOrderIsComplete, EarlyFixture)
{
  for (const std::string& response : { kUnsized, kSized, kWholeChunks }) {
    for (const bool isTunnelled : { false, true }) {
      const auto recorder = Upload(response, Ending::ReadOn, 20ms, isTunnelled);
      BOOST_TEST((recorder->mResult.mFailure == CallFailure::None),
                 response << " tunnelled: " << isTunnelled);
      BOOST_TEST(recorder->mStatus == 200);
      BOOST_TEST(recorder->mBody == "part");
    }
  }
}
