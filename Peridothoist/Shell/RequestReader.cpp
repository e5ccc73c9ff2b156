/// Reads the head of a request from a libmicrohttpd connection.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/RequestReader.h>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace peridothoist::detail {

namespace {

std::string
ToLower(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char aChar) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
  });
  return lower;
}

/// Adds one header. Values of a repeated header are joined with commas, those
/// of cookies with semicolons, as HTTP has it. Empty values count: a length
/// that is stated twice must not look like one.
MHD_Result
AddHeader(void* aHeaders,
          MHD_ValueKind /*aKind*/,
          const char* aName,
          std::size_t aNameSize,
          const char* aValue,
          std::size_t aValueSize)
{
  auto& headers = *static_cast<HttpHeaders*>(aHeaders);
  const std::string name = ToLower({ aName, aNameSize });
  const auto [it, isFirst] = headers.try_emplace(name);
  std::string& value = it->second;
  if (!isFirst) {
    value += name == "cookie" ? "; " : ", ";
  }
  if (aValue != nullptr) {
    value.append(aValue, aValueSize);
  }
  return MHD_YES;
}

/// Adds one query parameter. Only the first of several parameters with the same
/// name is kept.
MHD_Result
AddArgument(void* aQuery,
            MHD_ValueKind /*aKind*/,
            const char* aName,
            std::size_t aNameSize,
            const char* aValue,
            std::size_t aValueSize)
{
  auto& query = *static_cast<std::map<std::string, std::string>*>(aQuery);
  const std::string value =
    aValue == nullptr ? std::string() : std::string(aValue, aValueSize);
  query.emplace(std::string(aName, aNameSize), value);
  return MHD_YES;
}

std::string
PeerAddress(MHD_Connection* aConnection)
{
  const MHD_ConnectionInfo* info =
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  if (info == nullptr || info->client_addr == nullptr) {
    return {};
  }
  const sockaddr* address = info->client_addr;
  const void* number = nullptr;
  if (address->sa_family == AF_INET6) {
    number = &reinterpret_cast<const sockaddr_in6*>(address)->sin6_addr;
  } else {
    number = &reinterpret_cast<const sockaddr_in*>(address)->sin_addr;
  }
  std::array<char, INET6_ADDRSTRLEN> text = {};
  ::inet_ntop(address->sa_family, number, text.data(), text.size());
  return text.data();
}

/// Returns whether the target has an encoded NUL byte, which would truncate the
/// path.
bool
HasEncodedNul(const std::string& aTarget)
{
  return aTarget.find("%00") != std::string::npos;
}

/// Returns whether the name is a token of HTTP: not empty, without blanks, also
/// before the colon, and without separators.
bool
IsHeaderName(const std::string& aName)
{
  constexpr std::string_view kOtherTokenChars = "!#$%&'*+-.^_`|~";
  return !aName.empty() &&
         std::all_of(aName.begin(), aName.end(), [&](char aChar) {
           return std::isalnum(static_cast<unsigned char>(aChar)) != 0 ||
                  kOtherTokenChars.find(aChar) != std::string_view::npos;
         });
}

/// Returns whether the value has no control characters but tabs.
bool
IsHeaderValue(const std::string& aValue)
{
  return std::none_of(aValue.begin(), aValue.end(), [](char aChar) {
    return (aChar >= 0 && aChar < ' ' && aChar != '\t') || aChar == '\x7f';
  });
}

/// Returns whether the target has visible ASCII characters only.
bool
IsTarget(const std::string& aTarget)
{
  return std::all_of(aTarget.begin(), aTarget.end(), [](char aChar) {
    return aChar > ' ' && aChar < '\x7f';
  });
}

std::optional<std::uint64_t>
ParseLength(const std::string& aText)
{
  std::uint64_t length = 0;
  const char* end = aText.data() + aText.size();
  const auto [last, ec] = std::from_chars(aText.data(), end, length);
  const bool isNumber = !aText.empty() && ec == std::errc() && last == end;
  return isNumber ? std::optional<std::uint64_t>(length) : std::nullopt;
}

/// Returns what leaves open where the request ends, or how its head is to be
/// read; null: nothing. Whoever passed the request on may have read it
/// otherwise, and taken a part of its body for a request, or the reverse.
const char*
FindAmbiguity(const HttpRequest& aRequest, bool aIsHttp10)
{
  for (const auto& [name, value] : aRequest.mHeaders) {
    if (!IsHeaderName(name)) {
      return "the name of a header is not valid";
    }
    if (!IsHeaderValue(value)) {
      return "the value of a header has control characters";
    }
  }
  const auto length = aRequest.mHeaders.find("content-length");
  const auto encoding = aRequest.mHeaders.find("transfer-encoding");
  const bool hasLength = length != aRequest.mHeaders.end();
  const bool hasEncoding = encoding != aRequest.mHeaders.end();
  if (hasEncoding && hasLength) {
    return "both Content-Length and Transfer-Encoding are set";
  }
  if (hasLength && !ParseLength(length->second)) {
    return "Content-Length is not one number, or is stated more than once";
  }
  if (hasEncoding && (aIsHttp10 || ToLower(encoding->second) != "chunked")) {
    return "unsupported transfer encoding; only chunked is allowed, in "
           "HTTP/1.1";
  }
  return IsTarget(aRequest.mTarget) ? nullptr
                                    : "the target has invalid characters";
}

} // namespace

HttpRequest
ReadHead(MHD_Connection* aConnection,
         const char* aMethod,
         const char* aPath,
         const std::string& aTarget)
{
  HttpRequest request;
  request.mMethod = aMethod;
  request.mPath = aPath;
  request.mTarget = aTarget;
  request.mPeerAddress = PeerAddress(aConnection);
  MHD_get_connection_values_n(
    aConnection, MHD_HEADER_KIND, &AddHeader, &request.mHeaders);
  MHD_get_connection_values_n(
    aConnection, MHD_GET_ARGUMENT_KIND, &AddArgument, &request.mQuery);
  return request;
}

std::optional<HttpRequestError>
CheckHead(MHD_Connection* aConnection,
          const HttpRequest& aRequest,
          bool aIsHttp10,
          const HttpServerSettings& aSettings)
{
  const std::size_t headerBytes =
    MHD_get_connection_info(aConnection,
                            MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
      ->header_size;
  if (headerBytes > aSettings.mMaxHeaderBytes) {
    return HttpRequestError{ MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
                             "headers_too_large",
                             fmt::format("headers exceed {} bytes",
                                         aSettings.mMaxHeaderBytes) };
  }
  if (const char* ambiguity = FindAmbiguity(aRequest, aIsHttp10)) {
    return HttpRequestError{ MHD_HTTP_BAD_REQUEST, "bad_request", ambiguity };
  }
  if (HasEncodedNul(aRequest.mTarget)) {
    return HttpRequestError{ MHD_HTTP_BAD_REQUEST,
                             "bad_request",
                             "the path or query contains a NUL byte" };
  }
  return std::nullopt;
}

std::uint64_t
ContentLength(const HttpRequest& aRequest)
{
  const auto it = aRequest.mHeaders.find("content-length");
  return it == aRequest.mHeaders.end() ? 0
                                       : ParseLength(it->second).value_or(0);
}

HttpRequestError
MakeBodyTooLargeError(const HttpServerSettings& aSettings)
{
  return { MHD_HTTP_CONTENT_TOO_LARGE,
           "body_too_large",
           fmt::format("the body exceeds {} bytes", aSettings.mMaxBodyBytes) };
}

} // namespace peridothoist::detail
