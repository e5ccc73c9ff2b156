/// Tests the messages by which VMs exchange the origins of streams.
#define BOOST_TEST_MODULE StreamOriginCodec
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/CborMessage.h>
#include <Peridothoist/Node/GossipCodec.h>
#include <Peridothoist/Node/StreamOriginCodec.h>
#include <Peridothoist/Node/ViewCodec.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;
using nlohmann::json;

namespace {

const std::string kLongKey(kMaxOriginKeyBytes + 1, 'k');
const std::string kLongName(kMaxOriginNameBytes + 1, 'n');

OriginNotice
MakeNotice(std::size_t aEntries)
{
  OriginNotice notice;
  for (std::size_t n = 0; n < aEntries; ++n) {
    notice.mOrigins.push_back(
      { "attempt-" + std::to_string(n), { "model", "v1" } });
  }
  return notice;
}

bool
IsOriginMessage(const std::string& aBytes)
{
  return DecodeOriginNotice(aBytes) || DecodeOriginQuery(aBytes) ||
         DecodeOriginResponse(aBytes);
}

bool
IsOtherMessage(const std::string& aBytes)
{
  return DecodeGossipMessage(aBytes) || DecodeGossipSummary(aBytes) ||
         DecodeViewQuery(aBytes) || DecodeViewResponse(aBytes);
}

std::string
Encode(const json& aValue)
{
  return detail::ToCbor(aValue);
}

GossipMessage
MakeGossipMessage()
{
  GossipMessage message;
  message.mVm = "vm1";
  message.mZone = "a";
  message.mInstance = "vm1-1";
  message.mPeerAddress = "10.0.0.1:7600";
  message.mCallerAddress = "10.0.0.1:8221";
  return message;
}

/// Returns one of each of the messages that VMs exchange otherwise.
std::vector<std::string>
OtherMessages()
{
  GossipSummary summary;
  summary.mVm = "vm1";
  summary.mInstance = "vm1-1";
  summary.mCell = CellId{ "a", 1 };
  ViewResponse response;
  response.mStamp = 7;
  return { EncodeGossipMessage(MakeGossipMessage()),
           EncodeGossipSummary(summary),
           EncodeViewQuery({ 7, "10.0.0.1:7600" }),
           EncodeViewResponse(response),
           EncodeSharedConfiguration({}),
           EncodeSharedUpstreams({}),
           EncodeVmRecords({ { "vm1", { "vm1", "a", "10.0.0.1:7600" } } }) };
}

/// Returns one of each of the messages about origins.
std::vector<std::string>
OriginMessages()
{
  return { EncodeOriginNotice(MakeNotice(2)),
           EncodeOriginQuery({ 7, "attempt-1", "10.0.0.1:7600" }),
           EncodeOriginResponse({ 7, "attempt-1", std::nullopt }),
           EncodeOriginResponse(
             { 7, "attempt-1", StreamOrigin{ "model", "v1" } }) };
}

} // namespace

// Guards against origins that change on their way, and against a full batch
// that the receiver rejects.
BOOST_AUTO_TEST_CASE(NoticesArriveAsTheyWereSent)
{
  for (const std::size_t entries : { std::size_t(1), kMaxOriginsPerNotice }) {
    const OriginNotice sent = MakeNotice(entries);
    const auto received = DecodeOriginNotice(EncodeOriginNotice(sent));
    BOOST_REQUIRE(received.has_value());
    BOOST_REQUIRE(received->mOrigins.size() == entries);
    for (std::size_t n = 0; n < entries; ++n) {
      BOOST_TEST(received->mOrigins[n].mKey == sent.mOrigins[n].mKey);
      BOOST_TEST((received->mOrigins[n].mOrigin == sent.mOrigins[n].mOrigin));
    }
  }
}

// Guards against queries and responses that arrive changed, also with the
// largest values.
BOOST_AUTO_TEST_CASE(QueriesAndResponsesArriveAsTheyWereSent)
{
  const std::string key(kMaxOriginKeyBytes, 'k');
  const auto query = DecodeOriginQuery(
    EncodeOriginQuery({ 0xffffffffffffffffU, key, "10.0.0.1:7600" }));
  BOOST_REQUIRE(query.has_value());
  BOOST_TEST(query->mId == 0xffffffffffffffffU);
  BOOST_TEST(query->mKey == key);
  BOOST_TEST(query->mReplyAddress == "10.0.0.1:7600");
  const auto unknown =
    DecodeOriginResponse(EncodeOriginResponse({ 7, key, std::nullopt }));
  BOOST_REQUIRE(unknown.has_value());
  BOOST_TEST(!unknown->mOrigin.has_value());
  const StreamOrigin origin{ "model", std::string(kMaxOriginNameBytes, 'v') };
  const auto known =
    DecodeOriginResponse(EncodeOriginResponse({ 7, key, origin }));
  BOOST_REQUIRE(known.has_value());
  BOOST_TEST(known->mId == 7U);
  BOOST_TEST(known->mKey == key);
  BOOST_TEST((known->mOrigin == origin));
}

// Guards against the loss of streams of upstreams that state no version.
BOOST_AUTO_TEST_CASE(AnOriginMayHaveNoVersion)
{
  const StreamOrigin origin{ "model", "" };
  BOOST_TEST(FitsOriginMessage("attempt-1", origin));
  const auto response =
    DecodeOriginResponse(EncodeOriginResponse({ 7, "attempt-1", origin }));
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST((response->mOrigin == origin));
}

// Guards against unbounded memory through keys and batches of any size.
BOOST_AUTO_TEST_CASE(OversizeMessagesAreRejected)
{
  BOOST_TEST(
    !DecodeOriginNotice(EncodeOriginNotice(MakeNotice(0))).has_value());
  BOOST_TEST(!DecodeOriginNotice(
                EncodeOriginNotice(MakeNotice(kMaxOriginsPerNotice + 1)))
                .has_value());
  const StreamOrigin good{ "model", "v1" };
  const std::vector<KeyedStreamOrigin> bad = {
    { kLongKey, good },
    { "", good },
    { "k", { kLongName, "v1" } },
    { "k", { "", "v1" } },
    { "k", { "model", kLongName } },
  };
  for (const KeyedStreamOrigin& it : bad) {
    BOOST_TEST(!FitsOriginMessage(it.mKey, it.mOrigin));
    BOOST_TEST(!DecodeOriginNotice(EncodeOriginNotice({ { it } })).has_value());
    BOOST_TEST(
      !DecodeOriginResponse(EncodeOriginResponse({ 7, it.mKey, it.mOrigin }))
         .has_value());
  }
  BOOST_TEST(
    !DecodeOriginQuery(EncodeOriginQuery({ 7, kLongKey, "a:1" })).has_value());
  BOOST_TEST(
    !DecodeOriginQuery(EncodeOriginQuery({ 7, "k", kLongName })).has_value());
}

// Guards against a crash by a datagram with fields of other types.
BOOST_AUTO_TEST_CASE(MessagesOfOtherShapesAreRejected)
{
  const std::vector<json> values = {
    json(nullptr),
    json("org"),
    json(7),
    json::array(),
    json::array({ "org" }),
    json::array({ "org", 7 }),
    json::array({ "org", { { "k", "model" } } }),
    json::array({ "org", json::array({ 7 }) }),
    json::array({ "org", json::array({ json::array({ "k", "model" }) }) }),
    json::array({ "org", json::array({ json::array({ "k", "model", 7 }) }) }),
    json::array({ "org", json::array({ json::array({ 7, "m", "v" }) }) }),
    json::array({ "org", json::array({ json::array({ "k", "m", "v" }) }), 1 }),
    json::array({ "orq" }),
    json::array({ "orq", 7, "k" }),
    json::array({ "orq", "7", "k", "a:1" }),
    json::array({ "orq", -7, "k", "a:1" }),
    json::array({ "orq", 7.5, "k", "a:1" }),
    json::array({ "orq", 7, 7, "a:1" }),
    json::array({ "orq", 7, "k", "a:1", "more" }),
    json::array({ "orr" }),
    json::array({ "orr", 7 }),
    json::array({ "orr", true, "k" }),
    json::array({ "orr", 7, json::array({ "k" }) }),
    json::array({ "orr", 7, "k", "model" }),
    json::array({ "orr", 7, "k", "model", nullptr }),
    json::array({ "orr", 7, "k", "model", "v1", "more" }),
    json::array({ "other", 7, "k" }),
    json::array({ 7, 7, "k" }),
    json{ { "org", 7 } },
  };
  for (const json& it : values) {
    BOOST_TEST(!IsOriginMessage(Encode(it)), it.dump());
  }
}

// Guards against a crash by a datagram that is cut off or damaged.
BOOST_AUTO_TEST_CASE(CutAndDamagedMessagesAreRejectedWithoutACrash)
{
  for (const std::string& bytes : OriginMessages()) {
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      BOOST_TEST(!IsOriginMessage(bytes.substr(0, size)));
    }
    BOOST_TEST(!IsOriginMessage(bytes + '\0'));
    for (std::size_t at = 0; at < bytes.size(); ++at) {
      for (int value = 0; value < 256; ++value) {
        std::string damaged = bytes;
        damaged[at] = static_cast<char>(value);
        IsOriginMessage(damaged); // Some are valid, such as other keys.
        IsOtherMessage(damaged);
      }
    }
  }
}

// Guards against a message that is applied as one of another type.
BOOST_AUTO_TEST_CASE(EachDecoderAcceptsItsOwnMessagesOnly)
{
  for (const std::string& bytes : OtherMessages()) {
    BOOST_TEST(!IsOriginMessage(bytes));
  }
  for (const std::string& bytes : OriginMessages()) {
    BOOST_TEST(!IsOtherMessage(bytes));
    const int accepted = (DecodeOriginNotice(bytes) ? 1 : 0) +
                         (DecodeOriginQuery(bytes) ? 1 : 0) +
                         (DecodeOriginResponse(bytes) ? 1 : 0);
    BOOST_TEST(accepted == 1);
  }
  int others = 0;
  for (const std::string& bytes : OtherMessages()) {
    others += IsOtherMessage(bytes) ? 1 : 0;
  }
  BOOST_TEST(others == 4); // Those that are sent as datagrams.
}

// Guards against origins that cost each VM more than docs/CAPACITY.md states.
BOOST_AUTO_TEST_CASE(MessagesOfOneStreamAreSmall)
{
  const std::string key(36, 'k'); // As long as a UUID.
  const StreamOrigin origin{ std::string(12, 's'), std::string(12, 'v') };
  const std::string notice = EncodeOriginNotice({ { { key, origin } } });
  const std::string query =
    EncodeOriginQuery({ 0x0000ffffffffffffU, key, "100.100.100.100:7600" });
  const std::string response =
    EncodeOriginResponse({ 0x0000ffffffffffffU, key, origin });
  BOOST_TEST_MESSAGE("notice " << notice.size() << ", query " << query.size()
                               << ", response " << response.size());
  BOOST_TEST(notice.size() == 71U);
  BOOST_TEST(query.size() == 73U);
  BOOST_TEST(response.size() == 78U);
}
