#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/StreamOriginCodec.h>

#include <Peridothoist/Node/CborMessage.h>

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

constexpr std::size_t kNoticeFields = 2;
constexpr std::size_t kQueryFields = 4;
constexpr std::size_t kPositiveFields = 5;
constexpr std::size_t kNegativeFields = 3;
constexpr std::size_t kEntryFields = 3;

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

} // namespace peridothoist
