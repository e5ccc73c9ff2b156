/// Reads the head of a request from a libmicrohttpd connection and checks the
/// request against the server's limits.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpServer.h>

#include <microhttpd.h>

namespace peridothoist::detail {

/// The error response to a request that is rejected before the handler gets it.
struct HttpRequestError
{
  int mStatus = 0;
  const char* mType = ""; ///< Error type in the JSON response.
  std::string mMessage;
};

/// Reads the head of a request: method, path, query, headers and address.
HttpRequest
ReadHead(MHD_Connection* aConnection,
         const char* aMethod,
         const char* aPath,
         const std::string& aTarget);

/// Checks the head of a request. Returns the error, or nullopt when it is
/// valid. aIsHttp10: it states that version.
std::optional<HttpRequestError>
CheckHead(MHD_Connection* aConnection,
          const HttpRequest& aRequest,
          bool aIsHttp10,
          const HttpServerSettings& aSettings);

/// Returns the value of the Content-Length header, or 0 without a valid one.
std::uint64_t
ContentLength(const HttpRequest& aRequest);

/// Returns the error for a body that is larger than allowed.
HttpRequestError
MakeBodyTooLargeError(const HttpServerSettings& aSettings);

} // namespace peridothoist::detail
