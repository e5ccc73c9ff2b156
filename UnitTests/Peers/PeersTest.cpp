/// Calls between peers over loopback sockets: authentication, the reason that a
/// failed call reports, and that neither side blocks when the other is gone.
#define BOOST_TEST_MODULE Peers
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Peers/PeerClient.h>
#include <Peridothoist/Peers/PeerServer.h>
#include <Shell/ShellFixture.h>
#include <Shell/TestCertificates.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

constexpr const char* kSecret = "a-secret-of-some-length";

/// Replies to exchanges with the request's version plus one, or holds replies
/// back.
class FakeControlHandler : public ControlPeerHandler
{
public:
  // See: ControlPeerHandler
  void OnExchange(const peer::ExchangeRequest& aRequest,
                  PeerResponder<peer::ExchangeReply> aResponder) override
  {
    ++mExchanges;
    if (mShouldHoldReplies) {
      mHeldResponders.push_back(std::move(aResponder));
      return;
    }
    peer::ExchangeReply reply;
    reply.mutable_view()->set_version(aRequest.view().version() + 1);
    reply.mutable_self()->set_vm(std::string(mReplyBytes, 'x'));
    aResponder(reply);
  }

  void OnFollow(const peer::FollowRequest& /*aRequest*/,
                PeerResponder<peer::ViewUpdate> /*aResponder*/) override
  {
    ++mFollows; // Destroys the responder without a reply.
  }

  bool mShouldHoldReplies = false;
  std::size_t mReplyBytes = 0;
  std::vector<PeerResponder<peer::ExchangeReply>> mHeldResponders;
  int mExchanges = 0;
  int mFollows = 0;
};

/// Result of one exchange.
struct ExchangeResult
{
  int mCallbackCount = 0;
  std::optional<peer::ExchangeReply> mReply;
  Reason mReason;
};

struct PeersFixture : ShellFixture
{
  static PeerCredentials SecretCredentials(std::string aSecret = kSecret)
  {
    PeerCredentials credentials;
    credentials.mSharedSecret = std::move(aSecret);
    return credentials;
  }

  void StartPeerServer(const PeerCredentials& aCredentials,
                       const std::string& aAddress = "127.0.0.1:0")
  {
    PeerServerSettings settings;
    settings.mAddress = aAddress;
    settings.mCredentials = aCredentials;
    Reason reason;
    mPeerServer =
      PeerServer::Create(*mReactor, settings, &mControl, nullptr, &reason);
    BOOST_REQUIRE_MESSAGE(mPeerServer != nullptr, reason.mText);
    mAddress = "127.0.0.1:" + std::to_string(mPeerServer->Port());
  }

  void CreateClient(const PeerCredentials& aCredentials)
  {
    PeerClientSettings settings;
    settings.mCredentials = aCredentials;
    Reason reason;
    mPeerClient = PeerClient::Create(*mReactor, settings, &reason);
    BOOST_REQUIRE_MESSAGE(mPeerClient != nullptr, reason.mText);
  }

  std::shared_ptr<ExchangeResult> Exchange(Duration aTimeout = kEventTimeout,
                                           std::size_t aBytes = 0)
  {
    const auto result = std::make_shared<ExchangeResult>();
    peer::ExchangeRequest request;
    request.mutable_view()->set_version(41);
    request.mutable_self()->set_vm(std::string(aBytes, 'x'));
    mPeerClient->Exchange(mAddress,
                          request,
                          aTimeout,
                          [result](std::optional<peer::ExchangeReply> aReply,
                                   const Reason& aReason) {
                            ++result->mCallbackCount;
                            result->mReply = std::move(aReply);
                            result->mReason = aReason;
                          });
    BOOST_TEST(result->mCallbackCount == 0);
    return result;
  }

  std::shared_ptr<ExchangeResult> ExchangeAndWait(
    Duration aTimeout = kEventTimeout,
    std::size_t aBytes = 0)
  {
    const auto result = Exchange(aTimeout, aBytes);
    BOOST_REQUIRE(Until([&] { return result->mCallbackCount > 0; }));
    return result;
  }

  FakeControlHandler mControl;
  std::unique_ptr<PeerServer> mPeerServer;
  std::unique_ptr<PeerClient> mPeerClient;
  std::string mAddress;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Peers, PeersFixture)

BOOST_AUTO_TEST_CASE(CallWithCorrectSecretSucceeds)
{
  StartPeerServer(SecretCredentials());
  CreateClient(SecretCredentials());
  const auto result = ExchangeAndWait();
  BOOST_REQUIRE_MESSAGE(result->mReply, result->mReason.mText);
  BOOST_TEST(result->mReply->view().version() == 42U);
}

BOOST_AUTO_TEST_CASE(CallWithWrongSecretIsRefused)
{
  StartPeerServer(SecretCredentials());
  CreateClient(SecretCredentials("another-secret-of-some-length"));
  const auto result = ExchangeAndWait();
  BOOST_TEST(!result->mReply);
  BOOST_TEST((result->mReason.mCode == ReasonCode::Refused));
  BOOST_TEST(mControl.mExchanges == 0);
}

BOOST_AUTO_TEST_CASE(MissingOrIncompleteCredentialsAreInvalid)
{
  Reason reason;
  BOOST_TEST(!PeerServer::Create(
    *mReactor, PeerServerSettings(), &mControl, nullptr, &reason));
  BOOST_TEST((reason.mCode == ReasonCode::Invalid));
  PeerClientSettings incomplete;
  incomplete.mCredentials.mCertificatePem = "x";
  incomplete.mCredentials.mSharedSecret = kSecret;
  BOOST_TEST(!PeerClient::Create(*mReactor, incomplete, &reason));
  BOOST_TEST((reason.mCode == ReasonCode::Invalid));
}

BOOST_AUTO_TEST_CASE(MutualTlsRejectsOtherAuthorities)
{
  const TestCertificateAuthority authority;
  const TestCertificateAuthority otherAuthority;
  StartPeerServer(authority.Issue());
  CreateClient(authority.Issue());
  BOOST_TEST(ExchangeAndWait()->mReply.has_value());
  CreateClient(otherAuthority.Issue());
  BOOST_TEST(!ExchangeAndWait()->mReply);
  CreateClient(SecretCredentials());
  BOOST_TEST(!ExchangeAndWait()->mReply);
  BOOST_TEST(mControl.mExchanges == 1);
}

BOOST_AUTO_TEST_CASE(ReplyAfterDeadlineIsDropped)
{
  StartPeerServer(SecretCredentials());
  CreateClient(SecretCredentials());
  mControl.mShouldHoldReplies = true;
  const auto result = ExchangeAndWait(300ms);
  BOOST_TEST(!result->mReply);
  BOOST_TEST((result->mReason.mCode == ReasonCode::InDoubt));
  BOOST_REQUIRE(mControl.mHeldResponders.size() == 1);
  mControl.mHeldResponders.front()(peer::ExchangeReply());
  mControl.mShouldHoldReplies = false;
  BOOST_TEST(ExchangeAndWait()->mReply.has_value());
  BOOST_TEST(result->mCallbackCount == 1);
}

BOOST_AUTO_TEST_CASE(DestroyedResponderFailsTheCall)
{
  StartPeerServer(SecretCredentials());
  CreateClient(SecretCredentials());
  int callbackCount = 0;
  mPeerClient->Follow(
    mAddress,
    {},
    kEventTimeout,
    [&](const std::optional<peer::ViewUpdate>& aReply, const Reason& aReason) {
      ++callbackCount;
      BOOST_TEST(!aReply.has_value());
      BOOST_TEST((aReason.mCode == ReasonCode::InDoubt));
    });
  BOOST_REQUIRE(Until([&] { return callbackCount > 0; }));
  BOOST_TEST(mControl.mFollows == 1);
}

BOOST_AUTO_TEST_CASE(CallsFailWhileServerIsDownAndRecover)
{
  StartPeerServer(SecretCredentials());
  CreateClient(SecretCredentials());
  BOOST_TEST(ExchangeAndWait()->mReply.has_value());
  mControl.mShouldHoldReplies = true;
  const auto interrupted = Exchange();
  BOOST_REQUIRE(Until([&] { return mControl.mHeldResponders.size() == 1; }));
  mPeerServer.reset(); // While a call is open and its reply is held back.
  BOOST_REQUIRE(Until([&] { return interrupted->mCallbackCount > 0; }));
  BOOST_TEST((interrupted->mReason.mCode == ReasonCode::InDoubt));
  mControl.mHeldResponders.front()(peer::ExchangeReply());
  mControl.mShouldHoldReplies = false;

  // No server listens: at the latest the second call is known to be unsent.
  std::shared_ptr<ExchangeResult> result;
  for (int i = 0; i < 2; ++i) {
    result = ExchangeAndWait();
    BOOST_TEST(!result->mReply);
  }
  BOOST_TEST((result->mReason.mCode == ReasonCode::Unreachable));

  StartPeerServer(SecretCredentials(), mAddress);
  const TimePoint end = mReactor->Now() + kEventTimeout;
  do {
    result = ExchangeAndWait();
  } while (!result->mReply && mReactor->Now() < end);
  BOOST_TEST(result->mReply.has_value());
}

BOOST_AUTO_TEST_CASE(TooLargeMessagesFailTheCall)
{
  constexpr std::size_t kTooLarge = 9 * 1024 * 1024;
  StartPeerServer(SecretCredentials());
  CreateClient(SecretCredentials());
  const auto request = ExchangeAndWait(kEventTimeout, kTooLarge);
  BOOST_TEST(!request->mReply);
  BOOST_TEST((request->mReason.mCode == ReasonCode::Full));
  BOOST_TEST(mControl.mExchanges == 0);
  mControl.mReplyBytes = kTooLarge;
  const auto reply = ExchangeAndWait();
  BOOST_TEST(!reply->mReply);
  BOOST_TEST((reply->mReason.mCode == ReasonCode::InDoubt));
  mControl.mReplyBytes = 0;
  BOOST_TEST(
    ExchangeAndWait(kEventTimeout, 4 * 1024 * 1024)->mReply.has_value());
}

BOOST_AUTO_TEST_CASE(DestroyedClientCallsNoCallbacks)
{
  StartPeerServer(SecretCredentials());
  CreateClient(SecretCredentials());
  mControl.mShouldHoldReplies = true;
  const auto result = Exchange();
  BOOST_REQUIRE(Until([&] { return mControl.mHeldResponders.size() == 1; }));
  const auto connecting = Exchange();
  mPeerClient.reset();
  mControl.mHeldResponders.front()(peer::ExchangeReply());
  CreateClient(SecretCredentials());
  mControl.mShouldHoldReplies = false;
  BOOST_TEST(ExchangeAndWait()->mReply.has_value());
  BOOST_TEST(result->mCallbackCount == 0);
  BOOST_TEST(connecting->mCallbackCount == 0);
}

BOOST_AUTO_TEST_CASE(InvalidAddressAndUsedPortAreReported)
{
  StartPeerServer(SecretCredentials());
  CreateClient(SecretCredentials());
  const std::string usedAddress = std::exchange(mAddress, "localhost:1");
  BOOST_TEST((ExchangeAndWait()->mReason.mCode == ReasonCode::Invalid));
  PeerServerSettings settings;
  settings.mAddress = usedAddress;
  settings.mCredentials = SecretCredentials();
  Reason reason;
  BOOST_TEST(
    !PeerServer::Create(*mReactor, settings, &mControl, nullptr, &reason));
  BOOST_TEST((reason.mCode == ReasonCode::Refused));
}

BOOST_AUTO_TEST_SUITE_END()
