/// Peers over real sockets on loopback: who is let in, what a call's end says,
/// and that neither side waits for one that is gone.
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

/// Answers exchanges with the request's version plus one, or keeps them.
class Control : public ControlPeerHandler
{
public:
  // See: ControlPeerHandler
  void OnExchange(const peer::ExchangeRequest& aRequest,
                  PeerAnswer<peer::ExchangeReply> aAnswer) override
  {
    ++mExchanges;
    if (mKeep) {
      mKept.push_back(std::move(aAnswer));
      return;
    }
    peer::ExchangeReply reply;
    reply.mutable_view()->set_version(aRequest.view().version() + 1);
    reply.mutable_self()->set_vm(std::string(mReplyBytes, 'x'));
    aAnswer(reply);
  }

  void OnFollow(const peer::FollowRequest& /*aRequest*/,
                PeerAnswer<peer::ViewUpdate> /*aAnswer*/) override
  {
    ++mFollows; // Drops the answer.
  }

  bool mKeep = false;
  std::size_t mReplyBytes = 0;
  std::vector<PeerAnswer<peer::ExchangeReply>> mKept;
  int mExchanges = 0;
  int mFollows = 0;
};

/// How one exchange ended.
struct Ended
{
  int mTimes = 0;
  std::optional<peer::ExchangeReply> mReply;
  Reason mReason;
};

struct PeersFixture : ShellFixture
{
  static PeerCredentials Secret(std::string aSecret = kSecret)
  {
    PeerCredentials credentials;
    credentials.mSharedSecret = std::move(aSecret);
    return credentials;
  }

  void ServePeers(const PeerCredentials& aCredentials,
                  const std::string& aAddress = "127.0.0.1:0")
  {
    PeerServerSettings settings;
    settings.mAddress = aAddress;
    settings.mCredentials = aCredentials;
    Reason reason;
    mPeers =
      PeerServer::Create(*mReactor, settings, &mControl, nullptr, &reason);
    BOOST_REQUIRE_MESSAGE(mPeers != nullptr, reason.mText);
    mAddress = "127.0.0.1:" + std::to_string(mPeers->Port());
  }

  void MakeClient(const PeerCredentials& aCredentials)
  {
    PeerClientSettings settings;
    settings.mCredentials = aCredentials;
    Reason reason;
    mPeerClient = PeerClient::Create(*mReactor, settings, &reason);
    BOOST_REQUIRE_MESSAGE(mPeerClient != nullptr, reason.mText);
  }

  std::shared_ptr<Ended> Exchange(Duration aDeadline = kPatience,
                                  std::size_t aBytes = 0)
  {
    const auto ended = std::make_shared<Ended>();
    peer::ExchangeRequest request;
    request.mutable_view()->set_version(41);
    request.mutable_self()->set_vm(std::string(aBytes, 'x'));
    mPeerClient->Exchange(mAddress,
                          request,
                          aDeadline,
                          [ended](std::optional<peer::ExchangeReply> aReply,
                                  const Reason& aReason) {
                            ++ended->mTimes;
                            ended->mReply = std::move(aReply);
                            ended->mReason = aReason;
                          });
    BOOST_TEST(ended->mTimes == 0);
    return ended;
  }

  std::shared_ptr<Ended> ExchangeAndWait(Duration aDeadline = kPatience,
                                         std::size_t aBytes = 0)
  {
    const auto ended = Exchange(aDeadline, aBytes);
    BOOST_REQUIRE(Until([&] { return ended->mTimes > 0; }));
    return ended;
  }

  Control mControl;
  std::unique_ptr<PeerServer> mPeers;
  std::unique_ptr<PeerClient> mPeerClient;
  std::string mAddress;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Peers, PeersFixture)

BOOST_AUTO_TEST_CASE(RightSecret)
{
  ServePeers(Secret());
  MakeClient(Secret());
  const auto ended = ExchangeAndWait();
  BOOST_REQUIRE_MESSAGE(ended->mReply, ended->mReason.mText);
  BOOST_TEST(ended->mReply->view().version() == 42U);
}

BOOST_AUTO_TEST_CASE(WrongSecret)
{
  ServePeers(Secret());
  MakeClient(Secret("another-secret-of-some-length"));
  const auto ended = ExchangeAndWait();
  BOOST_TEST(!ended->mReply);
  BOOST_TEST((ended->mReason.mCode == ReasonCode::Refused));
  BOOST_TEST(mControl.mExchanges == 0);
}

BOOST_AUTO_TEST_CASE(NoCredentials)
{
  Reason reason;
  BOOST_TEST(!PeerServer::Create(
    *mReactor, PeerServerSettings(), &mControl, nullptr, &reason));
  BOOST_TEST((reason.mCode == ReasonCode::Invalid));
  PeerClientSettings half;
  half.mCredentials.mCertificatePem = "x";
  half.mCredentials.mSharedSecret = kSecret;
  BOOST_TEST(!PeerClient::Create(*mReactor, half, &reason));
  BOOST_TEST((reason.mCode == ReasonCode::Invalid));
}

BOOST_AUTO_TEST_CASE(MutualTls)
{
  const TestAuthority authority;
  const TestAuthority stranger;
  ServePeers(authority.Issue());
  MakeClient(authority.Issue());
  BOOST_TEST(ExchangeAndWait()->mReply.has_value());
  MakeClient(stranger.Issue());
  BOOST_TEST(!ExchangeAndWait()->mReply);
  MakeClient(Secret());
  BOOST_TEST(!ExchangeAndWait()->mReply);
  BOOST_TEST(mControl.mExchanges == 1);
}

BOOST_AUTO_TEST_CASE(DeadlineThenLateAnswer)
{
  ServePeers(Secret());
  MakeClient(Secret());
  mControl.mKeep = true;
  const auto ended = ExchangeAndWait(300ms);
  BOOST_TEST(!ended->mReply);
  BOOST_TEST((ended->mReason.mCode == ReasonCode::InDoubt));
  BOOST_REQUIRE(mControl.mKept.size() == 1);
  mControl.mKept.front()(peer::ExchangeReply());
  mControl.mKeep = false;
  BOOST_TEST(ExchangeAndWait()->mReply.has_value());
  BOOST_TEST(ended->mTimes == 1);
}

BOOST_AUTO_TEST_CASE(DroppedAnswerFailsTheCall)
{
  ServePeers(Secret());
  MakeClient(Secret());
  int ends = 0;
  mPeerClient->Follow(
    mAddress,
    {},
    kPatience,
    [&](const std::optional<peer::ViewUpdate>& aReply, const Reason& aReason) {
      ++ends;
      BOOST_TEST(!aReply.has_value());
      BOOST_TEST((aReason.mCode == ReasonCode::InDoubt));
    });
  BOOST_REQUIRE(Until([&] { return ends > 0; }));
  BOOST_TEST(mControl.mFollows == 1);
}

BOOST_AUTO_TEST_CASE(ServerGoneAndBack)
{
  ServePeers(Secret());
  MakeClient(Secret());
  BOOST_TEST(ExchangeAndWait()->mReply.has_value());
  mControl.mKeep = true;
  const auto cut = Exchange();
  BOOST_REQUIRE(Until([&] { return mControl.mKept.size() == 1; }));
  mPeers.reset(); // With a call open and its answer kept.
  BOOST_REQUIRE(Until([&] { return cut->mTimes > 0; }));
  BOOST_TEST((cut->mReason.mCode == ReasonCode::InDoubt));
  mControl.mKept.front()(peer::ExchangeReply());
  mControl.mKeep = false;

  // Nobody listens: known to be unsent, at the latest with the second call.
  std::shared_ptr<Ended> ended;
  for (int i = 0; i < 2; ++i) {
    ended = ExchangeAndWait();
    BOOST_TEST(!ended->mReply);
  }
  BOOST_TEST((ended->mReason.mCode == ReasonCode::Unreachable));

  ServePeers(Secret(), mAddress);
  const TimePoint end = mReactor->Now() + kPatience;
  do {
    ended = ExchangeAndWait();
  } while (!ended->mReply && mReactor->Now() < end);
  BOOST_TEST(ended->mReply.has_value());
}

BOOST_AUTO_TEST_CASE(TooLargeMessages)
{
  constexpr std::size_t kTooLarge = 9 * 1024 * 1024;
  ServePeers(Secret());
  MakeClient(Secret());
  const auto request = ExchangeAndWait(kPatience, kTooLarge);
  BOOST_TEST(!request->mReply);
  BOOST_TEST((request->mReason.mCode == ReasonCode::Full));
  BOOST_TEST(mControl.mExchanges == 0);
  mControl.mReplyBytes = kTooLarge;
  const auto reply = ExchangeAndWait();
  BOOST_TEST(!reply->mReply);
  BOOST_TEST((reply->mReason.mCode == ReasonCode::InDoubt));
  mControl.mReplyBytes = 0;
  BOOST_TEST(ExchangeAndWait(kPatience, 4 * 1024 * 1024)->mReply.has_value());
}

BOOST_AUTO_TEST_CASE(ClientGoesWithCallsOpen)
{
  ServePeers(Secret());
  MakeClient(Secret());
  mControl.mKeep = true;
  const auto ended = Exchange();
  BOOST_REQUIRE(Until([&] { return mControl.mKept.size() == 1; }));
  const auto connecting = Exchange();
  mPeerClient.reset();
  mControl.mKept.front()(peer::ExchangeReply());
  MakeClient(Secret());
  mControl.mKeep = false;
  BOOST_TEST(ExchangeAndWait()->mReply.has_value());
  BOOST_TEST(ended->mTimes == 0);
  BOOST_TEST(connecting->mTimes == 0);
}

BOOST_AUTO_TEST_CASE(BadAddressAndTakenPort)
{
  ServePeers(Secret());
  MakeClient(Secret());
  const std::string good = std::exchange(mAddress, "localhost:1");
  BOOST_TEST((ExchangeAndWait()->mReason.mCode == ReasonCode::Invalid));
  PeerServerSettings settings;
  settings.mAddress = good;
  settings.mCredentials = Secret();
  Reason reason;
  BOOST_TEST(
    !PeerServer::Create(*mReactor, settings, &mControl, nullptr, &reason));
  BOOST_TEST((reason.mCode == ReasonCode::Refused));
}

BOOST_AUTO_TEST_SUITE_END()
