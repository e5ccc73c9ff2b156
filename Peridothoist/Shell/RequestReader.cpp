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

/// Adds one header. Values of a repeated header are joined with commas, as HTTP
/// allows.
MHD_Result
AddHeader(void* aHeaders,
          MHD_ValueKind /*aKind*/,
          const char* aName,
          std::size_t aNameSize,
          const char* aValue,
          std::size_t aValueSize)
{
  auto& headers = *static_cast<HttpHeaders*>(aHeaders);
  std::string& value = headers[ToLower({ aName, aNameSize })];
  if (!value.empty()) {
    value += ", ";
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
  const bool hasEncoding = aRequest.mHeaders.count("transfer-encoding") > 0;
  const bool hasLength = aRequest.mHeaders.count("content-length") > 0;
  if (hasEncoding && hasLength) {
    return HttpRequestError{
      MHD_HTTP_BAD_REQUEST,
      "bad_request",
      "both Content-Length and Transfer-Encoding are set"
    };
  }
  if (hasEncoding &&
      ToLower(aRequest.mHeaders.at("transfer-encoding")) != "chunked") {
    return HttpRequestError{
      MHD_HTTP_BAD_REQUEST,
      "bad_request",
      "unsupported transfer encoding; only chunked is allowed"
    };
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
  std::uint64_t length = 0;
  if (it != aRequest.mHeaders.end()) {
    // libmicrohttpd has checked that it is a number.
    const char* begin = it->second.data();
    std::from_chars(begin, begin + it->second.size(), length);
  }
  return length;
}

HttpRequestError
MakeBodyTooLargeError(const HttpServerSettings& aSettings)
{
  return { MHD_HTTP_CONTENT_TOO_LARGE,
           "body_too_large",
           fmt::format("the body exceeds {} bytes", aSettings.mMaxBodyBytes) };
}

} // namespace peridothoist::detail
