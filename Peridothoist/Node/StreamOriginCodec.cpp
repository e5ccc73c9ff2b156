#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/StreamOriginCodec.h>

#include <Peridothoist/Node/CborMessage.h>

#include <algorithm>
#include <array>

namespace peridothoist {

namespace {

using detail::FromCbor;
using detail::HasCborTag;
using detail::ToCbor;
using nlohmann::json;

// Messages are arrays that begin with one of these tags.
constexpr const char* kNoticeTag = "org";
constexpr const char* kQueryTag = "orq";
constexpr const char* kResponseTag = "orr";

constexpr const char* kContentNoticeTag = "ocn";
constexpr const char* kContentQueryTag = "ocq";
constexpr const char* kContentResponseTag = "ocr";

// By OriginKind.
constexpr std::array<const char*, 2> kCatchUpTags = { "ors", "ocs" };
constexpr std::array<const char*, 2> kCatchUpDoneTags = { "ord", "ocd" };

constexpr std::size_t kCatchUpDoneFields = 2;
constexpr std::size_t kNoticeFields = 2;
constexpr std::size_t kQueryFields = 4;
constexpr std::size_t kPositiveFields = 5;
constexpr std::size_t kNegativeFields = 3;
constexpr std::size_t kEntryFields = 3;
constexpr std::size_t kContentNoticeFields = 4;
constexpr std::size_t kContentResponseFields = 5;
constexpr std::size_t kOriginFields = 2;
constexpr std::size_t kMaxContentOrigins = 8;
constexpr std::uint64_t kMaxCompleteMs = 3600 * 1000;

/// Throws the library's exception if a part of a message is invalid.
void
Check(bool aIsValid)
{
  if (!aIsValid) {
    throw json::other_error::create(0, "invalid origin message", nullptr);
  }
}

void
CheckSize(const json& aValue, std::size_t aSize)
{
  Check(aValue.is_array() && aValue.size() == aSize);
}

std::string
ParseText(const json& aValue, std::size_t aMaxBytes)
{
  Check(aValue.is_string());
  const auto& text = aValue.get_ref<const std::string&>();
  Check(!text.empty() && text.size() <= aMaxBytes);
  return text;
}

std::uint64_t
ParseId(const json& aValue)
{
  Check(aValue.is_number_unsigned());
  return aValue.get<std::uint64_t>();
}

StreamOrigin
ParseOrigin(const json& aService, const json& aVersion)
{
  // Upstreams of builds without versions state none.
  Check(aVersion.is_string());
  const auto& version = aVersion.get_ref<const std::string&>();
  Check(version.size() <= kMaxOriginNameBytes);
  return { ParseText(aService, kMaxOriginNameBytes), version };
}

OriginNotice
ParseNotice(const json& aValue)
{
  CheckSize(aValue, kNoticeFields);
  const json& entries = aValue.at(1);
  Check(entries.is_array() && !entries.empty() &&
        entries.size() <= kMaxOriginsPerNotice);
  OriginNotice notice;
  for (const json& it : entries) {
    CheckSize(it, kEntryFields);
    notice.mOrigins.push_back({ ParseText(it.at(0), kMaxOriginKeyBytes),
                                ParseOrigin(it.at(1), it.at(2)) });
  }
  return notice;
}

OriginQuery
ParseQuery(const json& aValue)
{
  CheckSize(aValue, kQueryFields);
  return { ParseId(aValue.at(1)),
           ParseText(aValue.at(2), kMaxOriginKeyBytes),
           ParseText(aValue.at(3), kMaxOriginNameBytes) };
}

std::uint64_t
ParseCatchUpDone(const json& aValue)
{
  CheckSize(aValue, kCatchUpDoneFields);
  return ParseId(aValue.at(1));
}

const char*
TagOf(const std::array<const char*, 2>& aTags, OriginKind aKind)
{
  return aTags[static_cast<std::size_t>(aKind)];
}

OriginResponse
ParseResponse(const json& aValue)
{
  Check(aValue.size() == kNegativeFields || aValue.size() == kPositiveFields);
  OriginResponse response;
  response.mId = ParseId(aValue.at(1));
  response.mKey = ParseText(aValue.at(2), kMaxOriginKeyBytes);
  if (aValue.size() == kPositiveFields) {
    response.mOrigin = ParseOrigin(aValue.at(3), aValue.at(4));
  }
  return response;
}

KeyedStreamOrigin
ParseContentNotice(const json& aValue)
{
  CheckSize(aValue, kContentNoticeFields);
  return { ParseText(aValue.at(1), kMaxOriginKeyBytes),
           ParseOrigin(aValue.at(2), aValue.at(3)) };
}

ContentOriginResponse
ParseContentResponse(const json& aValue)
{
  CheckSize(aValue, kContentResponseFields);
  ContentOriginResponse response;
  response.mId = ParseId(aValue.at(1));
  response.mKey = ParseText(aValue.at(2), kMaxOriginKeyBytes);
  const std::uint64_t completeMs =
    std::min(ParseId(aValue.at(3)), kMaxCompleteMs);
  response.mKnown.mCompleteFor = std::chrono::milliseconds(completeMs);
  const json& origins = aValue.at(4);
  Check(origins.is_array() && origins.size() <= kMaxContentOrigins);
  for (const json& it : origins) {
    CheckSize(it, kOriginFields);
    response.mKnown.mOrigins.push_back(ParseOrigin(it.at(0), it.at(1)));
  }
  return response;
}

} // namespace

bool
FitsOriginMessage(const std::string& aKey, const StreamOrigin& aOrigin)
{
  return !aKey.empty() && aKey.size() <= kMaxOriginKeyBytes &&
         !aOrigin.mService.empty() &&
         aOrigin.mService.size() <= kMaxOriginNameBytes &&
         aOrigin.mSoftwareVersion.size() <= kMaxOriginNameBytes;
}

std::string
EncodeOriginNotice(const OriginNotice& aNotice)
{
  json entries = json::array();
  for (const KeyedStreamOrigin& it : aNotice.mOrigins) {
    entries.push_back(json::array(
      { it.mKey, it.mOrigin.mService, it.mOrigin.mSoftwareVersion }));
  }
  return ToCbor(json::array({ kNoticeTag, std::move(entries) }));
}

std::optional<OriginNotice>
DecodeOriginNotice(std::string_view aBytes)
{
  return HasCborTag(aBytes, kNoticeTag) ? FromCbor(aBytes, &ParseNotice)
                                        : std::nullopt;
}

std::string
EncodeOriginQuery(const OriginQuery& aQuery)
{
  return ToCbor(
    json::array({ kQueryTag, aQuery.mId, aQuery.mKey, aQuery.mReplyAddress }));
}

std::optional<OriginQuery>
DecodeOriginQuery(std::string_view aBytes)
{
  return HasCborTag(aBytes, kQueryTag) ? FromCbor(aBytes, &ParseQuery)
                                       : std::nullopt;
}

std::string
EncodeOriginResponse(const OriginResponse& aResponse)
{
  json message = json::array({ kResponseTag, aResponse.mId, aResponse.mKey });
  if (aResponse.mOrigin) {
    message.push_back(aResponse.mOrigin->mService);
    message.push_back(aResponse.mOrigin->mSoftwareVersion);
  }
  return ToCbor(message);
}

std::optional<OriginResponse>
DecodeOriginResponse(std::string_view aBytes)
{
  return HasCborTag(aBytes, kResponseTag) ? FromCbor(aBytes, &ParseResponse)
                                          : std::nullopt;
}

std::string
EncodeContentOriginNotice(const KeyedStreamOrigin& aNotice)
{
  return ToCbor(json::array({ kContentNoticeTag,
                              aNotice.mKey,
                              aNotice.mOrigin.mService,
                              aNotice.mOrigin.mSoftwareVersion }));
}

std::optional<KeyedStreamOrigin>
DecodeContentOriginNotice(std::string_view aBytes)
{
  return HasCborTag(aBytes, kContentNoticeTag)
           ? FromCbor(aBytes, &ParseContentNotice)
           : std::nullopt;
}

std::string
EncodeContentOriginQuery(const OriginQuery& aQuery)
{
  return ToCbor(json::array(
    { kContentQueryTag, aQuery.mId, aQuery.mKey, aQuery.mReplyAddress }));
}

std::optional<OriginQuery>
DecodeContentOriginQuery(std::string_view aBytes)
{
  return HasCborTag(aBytes, kContentQueryTag) ? FromCbor(aBytes, &ParseQuery)
                                              : std::nullopt;
}

std::string
EncodeContentOriginResponse(const ContentOriginResponse& aResponse)
{
  json origins = json::array();
  for (const StreamOrigin& it : aResponse.mKnown.mOrigins) {
    origins.push_back(json::array({ it.mService, it.mSoftwareVersion }));
  }
  const auto completeMs =
    std::chrono::floor<std::chrono::milliseconds>(aResponse.mKnown.mCompleteFor)
      .count();
  return ToCbor(json::array({ kContentResponseTag,
                              aResponse.mId,
                              aResponse.mKey,
                              static_cast<std::uint64_t>(completeMs),
                              std::move(origins) }));
}

std::optional<ContentOriginResponse>
DecodeContentOriginResponse(std::string_view aBytes)
{
  return HasCborTag(aBytes, kContentResponseTag)
           ? FromCbor(aBytes, &ParseContentResponse)
           : std::nullopt;
}

std::string
EncodeCatchUpRequest(OriginKind aKind, const OriginQuery& aRequest)
{
  return ToCbor(json::array({ TagOf(kCatchUpTags, aKind),
                              aRequest.mId,
                              aRequest.mKey,
                              aRequest.mReplyAddress }));
}

std::optional<OriginQuery>
DecodeCatchUpRequest(OriginKind aKind, std::string_view aBytes)
{
  return HasCborTag(aBytes, TagOf(kCatchUpTags, aKind))
           ? FromCbor(aBytes, &ParseQuery)
           : std::nullopt;
}

std::string
EncodeCatchUpDone(OriginKind aKind, std::uint64_t aId)
{
  return ToCbor(json::array({ TagOf(kCatchUpDoneTags, aKind), aId }));
}

std::optional<std::uint64_t>
DecodeCatchUpDone(OriginKind aKind, std::string_view aBytes)
{
  return HasCborTag(aBytes, TagOf(kCatchUpDoneTags, aKind))
           ? FromCbor(aBytes, &ParseCatchUpDone)
           : std::nullopt;
}

} // namespace peridothoist
