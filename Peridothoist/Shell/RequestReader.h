/// Reads a request from a libmicrohttpd connection and says which of the
/// server's limits it breaks.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpServer.h>

#include <microhttpd.h>

namespace peridothoist::detail {

/// Why a request is refused before the handler sees it.
struct RequestFault
{
  int mStatus = 0;
  const char* mType = ""; ///< The error's type in the answer's JSON.
  std::string mMessage;
};

/// Reads the head of a request: method, path, query, headers and address.
HttpRequest
ReadHead(MHD_Connection* aConnection,
         const char* aMethod,
         const char* aPath,
         const std::string& aTarget);

/// Checks the head against the limits; empty when nothing is wrong.
std::optional<RequestFault>
CheckHead(MHD_Connection* aConnection,
          const HttpRequest& aRequest,
          const HttpServerSettings& aSettings);

/// The body's length as the head gives it; 0 when it doesn't.
std::uint64_t
ContentLength(const HttpRequest& aRequest);

/// The fault of a body that is larger than allowed.
RequestFault
BodyTooLarge(const HttpServerSettings& aSettings);

} // namespace peridothoist::detail
