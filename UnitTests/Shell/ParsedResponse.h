/// Parses the bytes of a connection with ResponseParser alone.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/ResponseParser.h>

#include <algorithm>

namespace peridothoist::test {

/// What the bytes of a connection are.
struct ParsedResponse
{
  bool mIsComplete = false;
  bool mIsBroken = false;
  bool mHasExcess = false;
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
};

/// Passes bytes to a parser as the client does: the head in lines, the body in
/// parts of aPartBytes.
inline ParsedResponse
ParseResponse(std::string_view aBytes,
              std::size_t aPartBytes = std::string::npos,
              std::string_view aMethod = "GET")
{
  detail::ResponseParser parser(aMethod);
  while (!aBytes.empty() && !parser.HasHead() && parser.Error() == nullptr) {
    const std::size_t end = std::min(aBytes.find('\n'), aBytes.size() - 1);
    parser.TakeHeadLine(aBytes.substr(0, end + 1));
    aBytes.remove_prefix(end + 1);
  }
  ParsedResponse result;
  while (!aBytes.empty() && parser.Error() == nullptr) {
    const std::string_view part = aBytes.substr(0, aPartBytes);
    result.mBody += parser.TakeBody(part);
    aBytes.remove_prefix(part.size());
  }
  result.mIsComplete = parser.IsComplete();
  result.mIsBroken = parser.Error() != nullptr;
  result.mHasExcess = parser.HasExcess();
  result.mStatus = parser.Status();
  result.mHeaders = parser.HasHead() ? parser.Headers() : HttpHeaders();
  return result;
}

} // namespace peridothoist::test
