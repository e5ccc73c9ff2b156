#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/ResponseHead.h>

#include <iostream> // Needed by the header of Boost below.

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <iterator>

namespace peridothoist::detail {

namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

/// Headers that the server states itself.
bool
IsOwnHeader(const std::string& aName)
{
  static constexpr std::array<std::string_view, 4> kNames = {
    "connection", "content-length", "keep-alive", "transfer-encoding"
  };
  return std::find(kNames.begin(), kNames.end(), aName) != kNames.end();
}

/// Returns whether the text can't end a line of the head.
bool
IsOneLine(const std::string& aText)
{
  return aText.find_first_of(std::string_view("\r\n\0", 3)) ==
         std::string::npos;
}

/// Returns the Date header. It is formatted once a second.
const std::string&
DateLine()
{
  static std::time_t formattedAt = 0;
  static std::string line;
  const std::time_t now = std::time(nullptr);
  if (now != formattedAt) {
    formattedAt = now;
    std::tm utc = {};
    ::gmtime_r(&now, &utc);
    std::array<char, 64> text = {};
    const std::size_t n = std::strftime(
      text.data(), text.size(), "Date: %a, %d %b %Y %H:%M:%S GMT\r\n", &utc);
    line.assign(text.data(), n);
  }
  return line;
}

} // namespace

bool
IsWithoutBody(int aStatus)
{
  return aStatus < kFirstFinalStatus || aStatus == kNoContent ||
         aStatus == kNotModified;
}

bool
AsksToClose(const HttpHeaders& aHeaders)
{
  const auto it = aHeaders.find("connection");
  return it != aHeaders.end() && it->second == "close";
}

std::string
FormatResponseHead(const ResponseHead& aHead)
{
  const auto reason = boost::beast::http::obsolete_reason(
    boost::beast::http::int_to_status(static_cast<unsigned>(aHead.mStatus)));
  std::string text =
    fmt::format("HTTP/1.1 {} {}\r\n",
                aHead.mStatus,
                std::string_view(reason.data(), reason.size()));
  if (aHead.mHeaders.count("date") == 0) {
    text += DateLine();
  }
  for (const auto& [name, value] : aHead.mHeaders) {
    if (!IsOwnHeader(name) && IsOneLine(name) && IsOneLine(value)) {
      fmt::format_to(std::back_inserter(text), "{}: {}\r\n", name, value);
    }
  }
  if (aHead.mFraming == BodyFraming::Length) {
    text += fmt::format("Content-Length: {}\r\n", aHead.mLength);
  } else if (aHead.mFraming == BodyFraming::Chunks) {
    text += "Transfer-Encoding: chunked\r\n";
  }
  if (aHead.mClosesConnection) {
    text += "Connection: close\r\n";
  } else if (aHead.mIsHttp10) {
    text += "Connection: keep-alive\r\n";
  }
  return text + "\r\n";
}

void
AppendChunk(std::string& aOut, std::string_view aData)
{
  if (!aData.empty()) { // An empty chunk would end the body.
    fmt::format_to(std::back_inserter(aOut), "{:x}\r\n", aData.size());
    aOut += aData;
    aOut += "\r\n";
  }
}

} // namespace peridothoist::detail
