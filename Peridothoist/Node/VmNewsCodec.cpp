#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/VmNewsCodec.h>

#include <nlohmann/json.hpp>

#include <cmath>

namespace peridothoist {

namespace {

using nlohmann::json;

// Keys are short: the messages are many.
constexpr const char* kVm = "v";
constexpr const char* kInstance = "i";
constexpr const char* kSequence = "n";
constexpr const char* kCallers = "a";
constexpr const char* kPeer = "p";
constexpr const char* kServing = "s";
constexpr const char* kLeaving = "l";
constexpr const char* kGranted = "g";
constexpr const char* kWork = "w";
constexpr const char* kWaiting = "q";
constexpr const char* kGone = "x";
constexpr const char* kFailing = "f";
constexpr const char* kCrashes = "c";

/// Counts of calls travel in hundredths.
constexpr double kCountUnit = 100;
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
EncodeCrashes(const std::vector<CrashNews>& aCrashes)
{
  json crashes = json::array();
  for (const CrashNews& it : aCrashes) {
    crashes.push_back(
      { it.mDigest, it.mCrashes, it.mQuarantined, it.mLasts.count() });
  }
  return crashes;
}

json
EncodeFailing(const CountsByUpstream& aFailing)
{
  json failing = json::object();
  for (const auto& [id, it] : aFailing) {
    failing[id] = { std::llround(it.mFailed * kCountUnit),
                    std::llround(it.mGood * kCountUnit) };
  }
  return failing;
}

CountsByUpstream
DecodeFailing(const json& aValue)
{
  CountsByUpstream failing;
  for (const auto& [id, counts] : aValue.items()) {
    failing[id] = { counts.at(0).get<std::uint32_t>() / kCountUnit,
                    counts.at(1).get<std::uint32_t>() / kCountUnit };
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

VmNews
Decode(const json& aValue)
{
  VmNews news;
  news.mVm = aValue.at(kVm).get<std::string>();
  news.mInstance = aValue.at(kInstance).get<std::string>();
  news.mSequence = aValue.at(kSequence).get<std::uint64_t>();
  news.mCallerAddress = aValue.at(kCallers).get<std::string>();
  news.mPeerAddress = aValue.at(kPeer).get<std::string>();
  news.mServing = ServingStateOf(aValue.at(kServing).get<int>());
  news.mLeaving = aValue.at(kLeaving).get<bool>();
  news.mGranted = aValue.at(kGranted).get<GrantedTokens>();
  for (const auto& [id, work] : aValue.at(kWork).items()) {
    news.mWork[id] = { work.at(0).get<std::uint32_t>(),
                       work.at(1).get<std::uint64_t>() };
  }
  const json& waiting = aValue.at(kWaiting);
  news.mWaiting = { waiting.at(0).get<std::uint32_t>(),
                    waiting.at(1).get<std::uint32_t>() };
  news.mGone = aValue.at(kGone).get<std::vector<std::string>>();
  news.mFailing = DecodeFailing(aValue.at(kFailing));
  for (const json& it : aValue.at(kCrashes)) {
    news.mCrashes.push_back({ it.at(0).get<std::string>(),
                              it.at(1).get<std::uint32_t>(),
                              it.at(2).get<bool>(),
                              Duration(it.at(3).get<std::int64_t>()) });
  }
  news.mPeers = aValue.at(kKnownPeers).get<std::vector<std::string>>();
  return news;
}

/// Questions and answers are arrays that begin with these.
constexpr const char* kAskTag = "ask";
constexpr const char* kTellTag = "tell";

std::string
ToBytes(const json& aValue)
{
  const std::vector<std::uint8_t> bytes = json::to_cbor(aValue);
  return { bytes.begin(), bytes.end() };
}

/// Decodes bytes by aDecode; nothing when they don't fit. The library throws
/// on missing and odd fields, and on sizes that no message has even where it
/// is told not to throw.
template<typename Message>
std::optional<Message>
FromBytes(std::string_view aBytes, Message (*aDecode)(const json& aValue))
{
  try {
    return aDecode(json::from_cbor(aBytes.begin(), aBytes.end()));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

/// Checks an array's tag; throws as the library does.
void
CheckTag(const json& aValue, const char* aTag)
{
  if (aValue.at(0).get<std::string>() != aTag) {
    throw json::type_error::create(0, "another message", nullptr);
  }
}

ViewAsk
DecodeAsk(const json& aValue)
{
  CheckTag(aValue, kAskTag);
  return { aValue.at(1).get<std::uint64_t>(), aValue.at(2).get<std::string>() };
}

ViewTell
DecodeTell(const json& aValue)
{
  CheckTag(aValue, kTellTag);
  return { aValue.at(1).get<std::uint64_t>(),
           aValue.at(2).get<std::uint64_t>(),
           Duration(aValue.at(3).get<std::int64_t>()),
           aValue.at(4).get<std::uint64_t>(),
           Duration(aValue.at(5).get<std::int64_t>()) };
}

} // namespace

std::string
EncodeVmNews(const VmNews& aNews)
{
  return ToBytes(
    { { kVm, aNews.mVm },
      { kInstance, aNews.mInstance },
      { kSequence, aNews.mSequence },
      { kCallers, aNews.mCallerAddress },
      { kPeer, aNews.mPeerAddress },
      { kServing, static_cast<int>(aNews.mServing) },
      { kLeaving, aNews.mLeaving },
      { kGranted, aNews.mGranted },
      { kWork, EncodeWork(aNews.mWork) },
      { kWaiting, { aNews.mWaiting.mInTime, aNews.mWaiting.mLate } },
      { kGone, aNews.mGone },
      { kFailing, EncodeFailing(aNews.mFailing) },
      { kCrashes, EncodeCrashes(aNews.mCrashes) },
      { kKnownPeers, aNews.mPeers } });
}

std::optional<VmNews>
DecodeVmNews(std::string_view aBytes)
{
  return FromBytes(aBytes, &Decode);
}

std::string
EncodeViewAsk(const ViewAsk& aAsk)
{
  return ToBytes(json::array({ kAskTag, aAsk.mStamp, aAsk.mAnswerTo }));
}

std::optional<ViewAsk>
DecodeViewAsk(std::string_view aBytes)
{
  return FromBytes(aBytes, &DecodeAsk);
}

std::string
EncodeViewTell(const ViewTell& aTell)
{
  return ToBytes(json::array({ kTellTag,
                               aTell.mStamp,
                               aTell.mVersion,
                               aTell.mConfigurationAge.count(),
                               aTell.mListDigest,
                               aTell.mListAge.count() }));
}

std::optional<ViewTell>
DecodeViewTell(std::string_view aBytes)
{
  return FromBytes(aBytes, &DecodeTell);
}

} // namespace peridothoist
