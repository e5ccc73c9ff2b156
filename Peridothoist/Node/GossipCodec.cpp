#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/GossipCodec.h>

#include <nlohmann/json.hpp>

#include <cmath>

namespace peridothoist {

namespace {

using nlohmann::json;

// Keys of a gossip message, short to reduce traffic.
constexpr const char* kVm = "v";
constexpr const char* kInstance = "i";
constexpr const char* kSequence = "n";
constexpr const char* kCallerAddress = "a";
constexpr const char* kPeerAddress = "p";
constexpr const char* kServing = "s";
constexpr const char* kLeaving = "l";
constexpr const char* kGranted = "g";
constexpr const char* kWork = "w";
constexpr const char* kWaiting = "q";
constexpr const char* kGone = "x";
constexpr const char* kFailing = "f";
constexpr const char* kCrashes = "c";

/// Call counts are encoded as integers in hundredths.
constexpr double kCountScale = 100;
constexpr const char* kKnownPeers = "k";

json
EncodeWork(const WorkByUpstream& aWork)
{
  json work = json::object();
  for (const auto& [id, it] : aWork) {
    work[id] = { it.mRequests, it.mTokens };
  }
  return work;
}

json
EncodeCrashes(const std::vector<CrashReport>& aCrashes)
{
  json crashes = json::array();
  for (const CrashReport& it : aCrashes) {
    crashes.push_back(
      { it.mDigest, it.mCrashes, it.mIsQuarantined, it.mRemaining.count() });
  }
  return crashes;
}

json
EncodeFailing(const CountsByUpstream& aFailing)
{
  json failing = json::object();
  for (const auto& [id, it] : aFailing) {
    failing[id] = { std::llround(it.mFailed * kCountScale),
                    std::llround(it.mSucceeded * kCountScale) };
  }
  return failing;
}

CountsByUpstream
DecodeFailing(const json& aValue)
{
  CountsByUpstream failing;
  for (const auto& [id, counts] : aValue.items()) {
    failing[id] = { counts.at(0).get<std::uint32_t>() / kCountScale,
                    counts.at(1).get<std::uint32_t>() / kCountScale };
  }
  return failing;
}

ServingState
ServingStateOf(int aNumber)
{
  const bool known =
    aNumber >= 0 && aNumber <= static_cast<int>(ServingState::Everything);
  return known ? static_cast<ServingState>(aNumber) : ServingState::Nothing;
}

GossipMessage
DecodeMessage(const json& aValue)
{
  GossipMessage message;
  message.mVm = aValue.at(kVm).get<std::string>();
  message.mInstance = aValue.at(kInstance).get<std::string>();
  message.mSequence = aValue.at(kSequence).get<std::uint64_t>();
  message.mCallerAddress = aValue.at(kCallerAddress).get<std::string>();
  message.mPeerAddress = aValue.at(kPeerAddress).get<std::string>();
  message.mServing = ServingStateOf(aValue.at(kServing).get<int>());
  message.mIsLeaving = aValue.at(kLeaving).get<bool>();
  message.mGranted = aValue.at(kGranted).get<GrantedTokens>();
  for (const auto& [id, work] : aValue.at(kWork).items()) {
    message.mWork[id] = { work.at(0).get<std::uint32_t>(),
                          work.at(1).get<std::uint64_t>() };
  }
  const json& waiting = aValue.at(kWaiting);
  message.mWaiting = { waiting.at(0).get<std::uint32_t>(),
                       waiting.at(1).get<std::uint32_t>() };
  message.mGoneUpstreams = aValue.at(kGone).get<std::vector<std::string>>();
  message.mFailingUpstreams = DecodeFailing(aValue.at(kFailing));
  for (const json& it : aValue.at(kCrashes)) {
    message.mCrashReports.push_back({ it.at(0).get<std::string>(),
                                      it.at(1).get<std::uint32_t>(),
                                      it.at(2).get<bool>(),
                                      Duration(it.at(3).get<std::int64_t>()) });
  }
  message.mPeers = aValue.at(kKnownPeers).get<std::vector<std::string>>();
  return message;
}

// View queries and responses are arrays that begin with one of these tags.
constexpr const char* kViewQueryTag = "ask";
constexpr const char* kViewResponseTag = "tell";

std::string
ToBytes(const json& aValue)
{
  const std::vector<std::uint8_t> bytes = json::to_cbor(aValue);
  return { bytes.begin(), bytes.end() };
}

/// Decodes bytes with aDecode. Returns nullopt if they are invalid. The library
/// throws on missing fields and fields of other types, and on excessive sizes
/// even if told not to throw.
template<typename Decoded>
std::optional<Decoded>
FromBytes(std::string_view aBytes, Decoded (*aDecode)(const json& aValue))
{
  try {
    return aDecode(json::from_cbor(aBytes.begin(), aBytes.end()));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

/// Checks the tag of an array. Throws the library's exception on a mismatch.
void
CheckTag(const json& aValue, const char* aTag)
{
  if (aValue.at(0).get<std::string>() != aTag) {
    throw json::type_error::create(0, "message tag mismatch", nullptr);
  }
}

ViewQuery
ParseViewQuery(const json& aValue)
{
  CheckTag(aValue, kViewQueryTag);
  return { aValue.at(1).get<std::uint64_t>(), aValue.at(2).get<std::string>() };
}

ViewResponse
ParseViewResponse(const json& aValue)
{
  CheckTag(aValue, kViewResponseTag);
  return { aValue.at(1).get<std::uint64_t>(),
           aValue.at(2).get<std::uint64_t>(),
           Duration(aValue.at(3).get<std::int64_t>()),
           aValue.at(4).get<std::uint64_t>(),
           Duration(aValue.at(5).get<std::int64_t>()) };
}

} // namespace

std::string
EncodeGossipMessage(const GossipMessage& aMessage)
{
  return ToBytes(
    { { kVm, aMessage.mVm },
      { kInstance, aMessage.mInstance },
      { kSequence, aMessage.mSequence },
      { kCallerAddress, aMessage.mCallerAddress },
      { kPeerAddress, aMessage.mPeerAddress },
      { kServing, static_cast<int>(aMessage.mServing) },
      { kLeaving, aMessage.mIsLeaving },
      { kGranted, aMessage.mGranted },
      { kWork, EncodeWork(aMessage.mWork) },
      { kWaiting, { aMessage.mWaiting.mInTime, aMessage.mWaiting.mLate } },
      { kGone, aMessage.mGoneUpstreams },
      { kFailing, EncodeFailing(aMessage.mFailingUpstreams) },
      { kCrashes, EncodeCrashes(aMessage.mCrashReports) },
      { kKnownPeers, aMessage.mPeers } });
}

std::optional<GossipMessage>
DecodeGossipMessage(std::string_view aBytes)
{
  return FromBytes(aBytes, &DecodeMessage);
}

std::string
EncodeViewQuery(const ViewQuery& aQuery)
{
  return ToBytes(
    json::array({ kViewQueryTag, aQuery.mStamp, aQuery.mReplyAddress }));
}

std::optional<ViewQuery>
DecodeViewQuery(std::string_view aBytes)
{
  return FromBytes(aBytes, &ParseViewQuery);
}

std::string
EncodeViewResponse(const ViewResponse& aResponse)
{
  return ToBytes(json::array({ kViewResponseTag,
                               aResponse.mStamp,
                               aResponse.mVersion,
                               aResponse.mConfigurationAge.count(),
                               aResponse.mListDigest,
                               aResponse.mListAge.count() }));
}

std::optional<ViewResponse>
DecodeViewResponse(std::string_view aBytes)
{
  return FromBytes(aBytes, &ParseViewResponse);
}

} // namespace peridothoist
