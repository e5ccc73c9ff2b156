/// Fuzz tests of peer messages: corrupted and random bytes must neither crash
/// the parser and the codec nor stop a running server.
#define BOOST_TEST_MODULE PeerMessages
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Peers/PeerClient.h>
#include <Peridothoist/Peers/PeerCodec.h>
#include <Peridothoist/Peers/PeerServer.h>
#include <Shell/ShellFixture.h>

#include <rapidcheck/boost_test.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

/// Returns a valid message with some bytes changed or cut off.
std::string
MakeCorruptedExchange()
{
  peer::ExchangeRequest request;
  request.mutable_self()->set_vm("vm-1");
  request.mutable_self()->set_age_us(1000);
  request.mutable_view()->set_version(3);
  auto* change = request.add_changes();
  change->set_version(4);
  change->set_operation_id("operation");
  auto* edit = change->add_edits();
  edit->set_kind("workspace");
  edit->set_name("name");
  edit->set_json("{}");
  request.add_suspensions()->add_keys("key");
  request.add_quarantine()->set_digest("digest");
  std::string bytes = request.SerializeAsString();
  const auto changes = *rc::gen::container<std::vector<std::uint16_t>>(
    *rc::gen::inRange(0, 6), rc::gen::arbitrary<std::uint16_t>());
  for (const std::uint16_t at : changes) {
    bytes[at % bytes.size()] = static_cast<char>(at >> 8U);
  }
  bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
  return bytes;
}

/// Decodes the message's parts as a handler does.
void
DecodeParts(const peer::ExchangeRequest& aRequest)
{
  for (const peer::Change& change : aRequest.changes()) {
    if (const auto decoded = FromMessage(change)) {
      RC_ASSERT(decoded->mVersion == change.version());
      RC_ASSERT(decoded->mEdits.size() ==
                static_cast<std::size_t>(change.edits_size()));
    }
  }
  const Duration age = FromMicroseconds(aRequest.self().age_us());
  RC_ASSERT(age >= Duration::zero());
  RC_ASSERT(age + age >= age); // Adding ages doesn't overflow.
}

} // namespace

RC_BOOST_PROP(CorruptedMessagesDontCrash, ())
{
  peer::ExchangeRequest request;
  if (request.ParseFromString(MakeCorruptedExchange())) {
    DecodeParts(request);
  }
}

RC_BOOST_PROP(RandomBytesDontCrash, (const std::string& aBytes))
{
  peer::ExchangeRequest request;
  if (request.ParseFromString(aBytes)) {
    DecodeParts(request);
  }
}

BOOST_AUTO_TEST_CASE(ServerKeepsServingAfterBytesThatAreNotGrpc)
{
  /// Counts exchanges, which are called only for complete messages.
  struct CountingControlHandler : ControlPeerHandler
  {
    void OnExchange(const peer::ExchangeRequest& /*aRequest*/,
                    PeerResponder<peer::ExchangeReply> aResponder) override
    {
      ++mExchanges;
      aResponder({});
    }
    void OnFollow(const peer::FollowRequest& /*aRequest*/,
                  PeerResponder<peer::ViewUpdate> aResponder) override
    {
      aResponder({});
    }
    int mExchanges = 0;
  };
  const auto reactor = Reactor::Create();
  CountingControlHandler control;
  PeerServerSettings settings;
  settings.mCredentials.mSharedSecret = "a-secret-of-some-length";
  const auto server =
    PeerServer::Create(*reactor, settings, &control, nullptr, nullptr);
  BOOST_REQUIRE(server != nullptr);
  const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  const bool isPassed = rc::check("not gRPC", [&] {
    RawCaller caller(server->Port());
    caller.Send(*rc::gen::element(std::string(), preface) +
                *rc::gen::arbitrary<std::string>());
  });
  BOOST_TEST(isPassed);
  PeerClientSettings clientSettings;
  clientSettings.mCredentials = settings.mCredentials;
  const auto client = PeerClient::Create(*reactor, clientSettings, nullptr);
  bool hasReply = false;
  client->Exchange(
    "127.0.0.1:" + std::to_string(server->Port()),
    {},
    kEventTimeout,
    [&](const std::optional<peer::ExchangeReply>& aReply,
        const Reason& /*aReason*/) { hasReply = aReply.has_value(); });
  BOOST_TEST(RunUntil(*reactor, [&] { return hasReply; }));
  BOOST_TEST(control.mExchanges == 1);
}
