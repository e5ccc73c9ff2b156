#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/ResponseParser.h>

#include <Peridothoist/Shell/HttpGrammar.h>

#include <algorithm>
#include <charconv>

namespace peridothoist::detail {

namespace {

/// Maximum size of all interim heads and the final head of a response together,
/// and of its trailers.
constexpr std::size_t kMaxHeadBytes = 64 * 1024;

constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200; ///< 1xx statuses are interim.
constexpr int kFirstRedirectStatus = 300;

/// Returns the length that a Content-Length header states, which may be
/// repeated in a list; nullopt if it states none or several.
std::optional<std::uint64_t>
ParseLength(std::string_view aValue)
{
  std::optional<std::uint64_t> length;
  while (true) {
    const auto comma = std::min(aValue.find(','), aValue.size());
    const std::string_view digits = TrimBlanks(aValue.substr(0, comma));
    std::uint64_t number = 0;
    const auto [end, ec] =
      std::from_chars(digits.data(), digits.data() + digits.size(), number);
    const bool isNumber = IsNumber(digits) && ec == std::errc();
    if (!isNumber || number != length.value_or(number)) {
      return std::nullopt;
    }
    length = number;
    if (comma == aValue.size()) {
      return length;
    }
    aValue.remove_prefix(comma + 1);
  }
}

/// Returns whether the encodings of a body are chunks and nothing else.
bool
IsChunkedOnly(std::string_view aEncodings)
{
  const auto encodings = SplitList(aEncodings);
  return encodings.size() == 1 && ToLower(encodings.front()) == "chunked";
}

} // namespace

ResponseParser::ResponseParser(std::string_view aMethod)
  : mIsHeadRequest(aMethod == "HEAD")
  , mIsConnectRequest(aMethod == "CONNECT")
  , mChunks(kMaxHeadBytes)
{
}

void
ResponseParser::TakeHeadLine(std::string_view aLine)
{
  if (mError != nullptr) {
    return;
  }
  mHeadBytes += aLine.size();
  const std::size_t size =
    aLine.size() - std::min(aLine.size(), kLineEnd.size());
  const std::string_view line = aLine.substr(0, size);
  if (mHasHead) {
    mError = "a line of the head came after its end";
  } else if (mHeadBytes > kMaxHeadBytes) {
    mError = "the head of the response is too long";
  } else if (aLine.substr(size) != kLineEnd) {
    mError = "a line of the head does not end in CR and LF";
  } else if (!mHasStatusLine) {
    mError = TakeStatusLine(line);
  } else if (!line.empty()) {
    mError = TakeField(line);
  } else {
    mError = FinishHead();
  }
}

/// Takes a line such as "HTTP/1.1 200 OK". The blank before an empty reason may
/// be missing.
const char*
ResponseParser::TakeStatusLine(std::string_view aLine)
{
  constexpr std::string_view kHttp10 = "HTTP/1.0 ";
  constexpr std::string_view kHttp11 = "HTTP/1.1 ";
  constexpr std::size_t kStatusDigits = 3;
  const std::string_view version = aLine.substr(0, kHttp11.size());
  const std::string_view rest = aLine.substr(version.size());
  const std::string_view digits = rest.substr(0, kStatusDigits);
  const std::string_view reason = rest.substr(digits.size());
  const bool isStatusLine = (version == kHttp11 || version == kHttp10) &&
                            digits.size() == kStatusDigits &&
                            IsNumber(digits) &&
                            (reason.empty() || reason.front() == ' ');
  if (!isStatusLine) {
    return "the response does not begin with a status line of HTTP/1.1 or 1.0";
  }
  if (const char* error = FindLineError(aLine)) {
    return error;
  }
  mIsHttp10 = version == kHttp10;
  std::from_chars(digits.data(), digits.data() + digits.size(), mStatus);
  if (mStatus < kMinStatus || mStatus > kMaxStatus) {
    return "the status is out of range";
  }
  if (mStatus == kSwitchingProtocols) {
    return "the response switches to a protocol that was not asked for";
  }
  mHasStatusLine = true;
  mHeaders.clear();
  return nullptr;
}

const char*
ResponseParser::TakeField(std::string_view aLine)
{
  if (const char* error = FindFieldError(aLine)) {
    return error;
  }
  const auto colon = aLine.find(':');
  const auto [it, isFirst] =
    mHeaders.try_emplace(ToLower(aLine.substr(0, colon)));
  it->second += isFirst ? "" : ", ";
  it->second += TrimBlanks(aLine.substr(colon + 1));
  return nullptr;
}

const char*
ResponseParser::FinishHead()
{
  const char* error = DecideFraming();
  mHasStatusLine = false;
  mHasHead = error == nullptr && mStatus >= kFirstFinalStatus;
  return error;
}

/// Decides where the body ends, as RFC 9112 has it in section 6.3. What states
/// its length is checked also if there is no body.
const char*
ResponseParser::DecideFraming()
{
  const auto encoding = mHeaders.find("transfer-encoding");
  const auto stated = mHeaders.find("content-length");
  const bool hasEncoding = encoding != mHeaders.end();
  const bool hasLength = stated != mHeaders.end();
  const auto length = hasLength ? ParseLength(stated->second) : std::nullopt;
  if (hasLength && !length) {
    return "Content-Length is not one number";
  }
  if (hasEncoding && hasLength) {
    return "both Content-Length and Transfer-Encoding are set";
  }
  if (hasEncoding && (mIsHttp10 || !IsChunkedOnly(encoding->second))) {
    return "unsupported transfer encoding; only chunked is allowed, in "
           "HTTP/1.1";
  }
  const bool isTunnel = mIsConnectRequest && mStatus >= kFirstFinalStatus &&
                        mStatus < kFirstRedirectStatus;
  mBytesLeft = length.value_or(0);
  if (mIsHeadRequest || isTunnel || IsWithoutBody(mStatus)) {
    mFraming = BodyFraming::None;
  } else if (hasEncoding) {
    mFraming = BodyFraming::Chunks;
  } else {
    mFraming = hasLength ? BodyFraming::Length : BodyFraming::Close;
  }
  return nullptr;
}

std::string_view
ResponseParser::TakeBody(std::string_view aBytes)
{
  if (mError != nullptr || aBytes.empty()) {
    return {};
  }
  if (!mHasHead) {
    mError = "a body came before the end of the head";
    return {};
  }
  if (mFraming == BodyFraming::Close) {
    return aBytes;
  }
  if (mFraming == BodyFraming::Chunks) {
    return DecodeChunks(aBytes);
  }
  const std::uint64_t bodyBytes =
    mFraming == BodyFraming::Length ? mBytesLeft : 0;
  const std::size_t n = std::min<std::uint64_t>(aBytes.size(), bodyBytes);
  mBytesLeft -= n;
  mHasExcess = mHasExcess || n < aBytes.size();
  return aBytes.substr(0, n);
}

std::string_view
ResponseParser::DecodeChunks(std::string_view aBytes)
{
  mDecoded.clear();
  const std::size_t n = mChunks.Decode(aBytes, mDecoded);
  mError = mChunks.Error();
  mHasExcess = mHasExcess || (mError == nullptr && n < aBytes.size());
  return mDecoded;
}

bool
ResponseParser::IsComplete() const
{
  if (!mHasHead || mError != nullptr) {
    return false;
  }
  switch (mFraming) {
    case BodyFraming::Length:
      return mBytesLeft == 0;
    case BodyFraming::Chunks:
      return mChunks.IsDone();
    case BodyFraming::None:
    case BodyFraming::Close:
      break;
  }
  return true;
}

} // namespace peridothoist::detail
