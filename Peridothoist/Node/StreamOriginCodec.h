/// Encodes and decodes the messages by which VMs exchange the origins of
/// streams, as CBOR. Decoders return nullopt if the bytes are not a valid
/// message of that type.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/ContentOriginTable.h>
#include <Peridothoist/Relay/StreamOriginTable.h>

namespace peridothoist {

/// Bounds on messages; decoders reject those that exceed them.
constexpr std::size_t kMaxOriginKeyBytes = 256;
constexpr std::size_t kMaxOriginNameBytes = 128; ///< Service, version, address.
constexpr std::size_t kMaxOriginsPerNotice = 16;

/// Returns whether a key and an origin fit into messages.
bool
FitsOriginMessage(const std::string& aKey, const StreamOrigin& aOrigin);

/// The origin of one stream.
struct KeyedStreamOrigin
{
  std::string mKey;
  StreamOrigin mOrigin;
};

/// Origins that the receiver is to keep; at least one.
struct OriginNotice
{
  std::vector<KeyedStreamOrigin> mOrigins;
};

/// Asks for an origin.
struct OriginQuery
{
  std::uint64_t mId = 0; ///< Identifies the lookup and the receiver.
  std::string mKey;
  std::string mReplyAddress; ///< Where to send the response, "ip:port".
};

/// The response to a query.
struct OriginResponse
{
  std::uint64_t mId = 0; ///< From the query.
  std::string mKey;
  std::optional<StreamOrigin> mOrigin; ///< nullopt: not known.
};

/// The response to a query for a content. The query is encoded like that for an
/// attempt, with another tag: builds that keep no contents don't respond.
struct ContentOriginResponse
{
  std::uint64_t mId = 0; ///< From the query.
  std::string mKey;
  ContentOrigins mKnown;
};

/// By what origins are kept.
enum class OriginKind
{
  Attempt, ///< The caller's id of the attempt that received the first event.
  Content  ///< The contents of the request.
};

std::string
EncodeOriginNotice(const OriginNotice& aNotice);
std::optional<OriginNotice>
DecodeOriginNotice(std::string_view aBytes);

std::string
EncodeOriginQuery(const OriginQuery& aQuery);
std::optional<OriginQuery>
DecodeOriginQuery(std::string_view aBytes);

std::string
EncodeOriginResponse(const OriginResponse& aResponse);
std::optional<OriginResponse>
DecodeOriginResponse(std::string_view aBytes);

/// One origin that the receiver is to keep for a content.
std::string
EncodeContentOriginNotice(const KeyedStreamOrigin& aNotice);
std::optional<KeyedStreamOrigin>
DecodeContentOriginNotice(std::string_view aBytes);

std::string
EncodeContentOriginQuery(const OriginQuery& aQuery);
std::optional<OriginQuery>
DecodeContentOriginQuery(std::string_view aBytes);

std::string
EncodeContentOriginResponse(const ContentOriginResponse& aResponse);
std::optional<ContentOriginResponse>
DecodeContentOriginResponse(std::string_view aBytes);

/// Asks for the origins that the sender, a VM that has started, is to keep.
/// mKey: name of that VM.
std::string
EncodeCatchUpRequest(OriginKind aKind, const OriginQuery& aRequest);
std::optional<OriginQuery>
DecodeCatchUpRequest(OriginKind aKind, std::string_view aBytes);

/// Tells a VM that all of these have been sent. aId: from the request.
std::string
EncodeCatchUpDone(OriginKind aKind, std::uint64_t aId);
std::optional<std::uint64_t>
DecodeCatchUpDone(OriginKind aKind, std::string_view aBytes);

} // namespace peridothoist
