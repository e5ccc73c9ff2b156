/// Formats the heads of HTTP responses.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpServer.h>

namespace peridothoist::detail {

/// How the end of a response's body is known.
enum class BodyFraming
{
  None,   ///< There is no body.
  Length, ///< Its length is stated.
  Chunks, ///< It is sent in chunks.
  Close   ///< The connection ends with it.
};

/// A response's head without what the caller of this function states itself.
struct ResponseHead
{
  int mStatus = 0;
  const HttpHeaders&
    mHeaders; ///< Those of framing and connection are left out.
  BodyFraming mFraming = BodyFraming::None;
  std::size_t mLength = 0; ///< With BodyFraming::Length.
  bool mIsHttp10 = false;
  bool mClosesConnection = false;
};

/// Returns the head with its empty line.
std::string
FormatResponseHead(const ResponseHead& aHead);

/// Returns whether responses with this status have no body.
bool
IsWithoutBody(int aStatus);

/// Returns whether a response's headers ask for the connection to be closed.
bool
AsksToClose(const HttpHeaders& aHeaders);

/// Appends a part of a body as one chunk.
void
AppendChunk(std::string& aOut, std::string_view aData);

/// The end of a body in chunks.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// The response that asks for the body of a request.
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace peridothoist::detail
