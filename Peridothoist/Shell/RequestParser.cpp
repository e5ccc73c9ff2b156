#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/RequestParser.h>

#include <Peridothoist/Core/BoundedBuffer.h>
#include <Peridothoist/Shell/HttpGrammar.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace peridothoist::detail {

namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

constexpr std::string_view kHeadEnd = "\r\n\r\n";

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kVersionNotSupported = 505;

/// Versions are numbers of two digits, as the parser states them.
constexpr int kHttp10 = 10;

/// Returns the first error in the lines of a head; null: none.
const char*
FindLinesError(std::string_view aHead)
{
  while (!aHead.empty()) {
    const auto end = aHead.find(kLineEnd);
    if (const char* error = FindLineError(aHead.substr(0, end))) {
      return error;
    }
    if (end == std::string_view::npos) {
      break;
    }
    aHead.remove_prefix(end + kLineEnd.size());
  }
  return nullptr;
}

/// Returns whether a request has the header only once. Of several, each program
/// may take another one.
bool
IsSingle(const std::string& aName)
{
  return aName == "host" || aName == "content-length" ||
         aName == "transfer-encoding";
}

/// Returns whether the first line of a head consists of three words, of which
/// the last one names a version of HTTP.
bool
HasRequestLine(std::string_view aHead)
{
  const std::string_view line = aHead.substr(0, aHead.find("\r\n"));
  const auto version = std::min(line.rfind(' '), line.size());
  return std::count(line.begin(), line.end(), ' ') == 2 &&
         line.substr(version).substr(0, 6) == " HTTP/";
}

/// Returns whether the target has visible ASCII characters only.
bool
IsTarget(std::string_view aTarget)
{
  return std::all_of(aTarget.begin(), aTarget.end(), [](char aChar) {
    return aChar > ' ' && aChar < '\x7f';
  });
}

/// Returns the byte that two hexadecimal digits state; nullopt if they aren't.
std::optional<char>
ParseHexByte(std::string_view aDigits)
{
  constexpr int kHexadecimal = 16;
  unsigned value = 0;
  const char* end = aDigits.data() + aDigits.size();
  const auto [last, ec] =
    std::from_chars(aDigits.data(), end, value, kHexadecimal);
  const bool isByte = aDigits.size() == 2 && ec == std::errc() && last == end;
  return isByte ? std::optional<char>(static_cast<char>(value)) : std::nullopt;
}

/// Decodes percent-encoded bytes. Malformed ones stay as they are.
std::string
PercentDecode(std::string_view aText)
{
  std::string decoded;
  for (std::size_t n = 0; n < aText.size(); ++n) {
    const auto byte =
      aText[n] == '%' ? ParseHexByte(aText.substr(n + 1, 2)) : std::nullopt;
    decoded += byte.value_or(aText[n]);
    n += byte ? 2 : 0;
  }
  return decoded;
}

/// Decodes the query of a target. Only the first of several parameters with the
/// same name is kept.
std::map<std::string, std::string>
ParseQuery(std::string_view aQuery)
{
  std::map<std::string, std::string> parameters;
  while (!aQuery.empty()) {
    std::string parameter(aQuery.substr(0, aQuery.find('&')));
    aQuery.remove_prefix(std::min(aQuery.size(), parameter.size() + 1));
    std::replace(parameter.begin(), parameter.end(), '+', ' ');
    const auto equals = std::min(parameter.find('='), parameter.size());
    const std::string_view value = std::string_view(parameter).substr(
      std::min(equals + 1, parameter.size()));
    if (!parameter.empty()) {
      parameters.emplace(
        PercentDecode(std::string_view(parameter).substr(0, equals)),
        PercentDecode(value));
    }
  }
  return parameters;
}

/// Returns whether a header's list of words has a word, whatever its case.
bool
HasWord(const HttpHeaders& aHeaders, const char* aName, std::string_view aWord)
{
  const auto it = aHeaders.find(aName);
  if (it == aHeaders.end()) {
    return false;
  }
  const auto words = SplitList(it->second);
  return std::any_of(words.begin(), words.end(), [&](std::string_view aIt) {
    return ToLower(aIt) == aWord;
  });
}

} // namespace

/// Collects the parts of one request from the parser of the library.
class RequestParser::Message final : public http::basic_parser<true>
{
public:
  explicit Message(const HttpServerSettings& aSettings)
    : mBody(aSettings.mMemory, aSettings.mMaxBodyBytes, kRequestBuffer)
  {
    header_limit(aSettings.mMaxHeaderBytes);
    body_limit(aSettings.mMaxBodyBytes);
    eager(false); // Returns after the head.
  }

  HttpRequest mRequest; ///< Without its body.
  BoundedBuffer mBody;
  int mVersion = 0;
  /// The first of the headers that may be stated only once and was repeated;
  /// empty: none.
  std::string mRepeatedHeader;

protected:
  void on_request_impl(http::verb /*aVerb*/,
                       string_view aMethod,
                       string_view aTarget,
                       int aVersion,
                       error_code& /*aError*/) override
  {
    mRequest.mMethod.assign(aMethod.data(), aMethod.size());
    mRequest.mTarget.assign(aTarget.data(), aTarget.size());
    mVersion = aVersion;
  }

  void on_response_impl(int /*aStatus*/,
                        string_view /*aReason*/,
                        int /*aVersion*/,
                        error_code& /*aError*/) override
  {
  }

  /// Adds one header. Values of a repeated header are joined with commas, those
  /// of cookies with semicolons, as HTTP has it. Trailers are dropped.
  void on_field_impl(http::field /*aField*/,
                     string_view aName,
                     string_view aValue,
                     error_code& /*aError*/) override
  {
    if (mIsHeadComplete) {
      return;
    }
    const std::string name = ToLower({ aName.data(), aName.size() });
    const auto [it, isFirst] = mRequest.mHeaders.try_emplace(name);
    if (!isFirst) {
      it->second += name == "cookie" ? "; " : ", ";
    }
    if (!isFirst && mRepeatedHeader.empty() && IsSingle(name)) {
      mRepeatedHeader = name;
    }
    it->second.append(aValue.data(), aValue.size());
  }

  void on_header_impl(error_code& /*aError*/) override
  {
    mIsHeadComplete = true;
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& /*aLength*/,
                         error_code& /*aError*/) override
  {
  }

  std::size_t on_body_impl(string_view aBody, error_code& aError) override
  {
    return AppendToBody(aBody, aError);
  }

  void on_chunk_header_impl(std::uint64_t /*aSize*/,
                            string_view /*aExtensions*/,
                            error_code& /*aError*/) override
  {
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*aRemaining*/,
                                 string_view aBody,
                                 error_code& aError) override
  {
    return AppendToBody(aBody, aError);
  }

  void on_finish_impl(error_code& /*aError*/) override {}

private:
  std::size_t AppendToBody(string_view aBody, error_code& aError)
  {
    if (!mBody.Append({ aBody.data(), aBody.size() })) {
      aError = http::error::buffer_overflow;
      return 0;
    }
    return aBody.size();
  }

  bool mIsHeadComplete = false;
};

RequestParser::RequestParser(const HttpServerSettings& aSettings)
  : mSettings(aSettings)
  , mMessage(std::make_unique<Message>(aSettings))
{
}

RequestParser::~RequestParser() = default;

std::size_t
RequestParser::Parse(std::string_view aBytes)
{
  if (mError || IsComplete()) {
    return 0;
  }
  const std::size_t n = mHasHead ? 0 : ParseHead(aBytes);
  return mHasHead && !mError ? n + ParseBody(aBytes.substr(n)) : n;
}

/// Parses the head once all of it is there.
std::size_t
RequestParser::ParseHead(std::string_view aBytes)
{
  // Empty lines before a request are allowed.
  std::size_t start = 0;
  while (aBytes.substr(start, 2) == "\r\n") {
    start += 2;
  }
  const std::string_view bytes = aBytes.substr(start);
  // A part of the end may have been there at the last call.
  const std::size_t from =
    std::min(bytes.size(), mScannedBytes) -
    std::min({ bytes.size(), mScannedBytes, kHeadEnd.size() });
  const auto end = bytes.find(kHeadEnd, from);
  const bool isWhole = end != std::string_view::npos;
  const std::size_t size = isWhole ? end + kHeadEnd.size() : bytes.size();
  mScannedBytes = start > 0 ? 0 : size;
  if (size > mSettings.mMaxHeaderBytes) {
    Reject(kHeadersTooLarge,
           "headers_too_large",
           fmt::format("headers exceed {} bytes", mSettings.mMaxHeaderBytes));
    return start;
  }
  const std::string_view head = bytes.substr(
    0, isWhole ? size : size - (size > 0 && bytes.back() == '\r' ? 1 : 0));
  if (const char* error = FindLinesError(head)) {
    Reject(kBadRequest, "bad_request", error);
    return start;
  }
  if (!isWhole) {
    return start;
  }
  error_code ec;
  const std::size_t n =
    mMessage->put(boost::asio::buffer(head.data(), head.size()), ec);
  if (ec == http::error::bad_version && HasRequestLine(head)) {
    Reject(kVersionNotSupported, "bad_request", "unsupported HTTP version");
  } else if (ec == http::error::body_limit) {
    RejectBody();
  } else if (ec && ec != http::error::need_more) {
    Reject(kBadRequest, "bad_request", "malformed head: " + ec.message());
  } else {
    CheckHead(n);
  }
  return start + n;
}

/// Checks what the parser leaves to its user.
void
RequestParser::CheckHead(std::size_t aHeadBytes)
{
  const HttpRequest& request = mMessage->mRequest;
  const auto encoding = request.mHeaders.find("transfer-encoding");
  const bool hasEncoding = encoding != request.mHeaders.end();
  const auto length = request.mHeaders.find("content-length");
  const bool hasLength = length != request.mHeaders.end();
  const char* error = nullptr;
  if (!mMessage->is_header_done() || aHeadBytes == 0) {
    error = "malformed head";
  } else if (!IsTarget(request.mTarget)) {
    error = "the target has invalid characters";
  } else if (request.mTarget.find("%00") != std::string::npos) {
    error = "the path or query contains a NUL byte";
  } else if (!mMessage->mRepeatedHeader.empty()) {
    error =
      "Host, Content-Length or Transfer-Encoding is stated more than once";
  } else if (hasLength && !IsNumber(length->second)) {
    error = "Content-Length is not one number";
  } else if (hasEncoding && hasLength) {
    error = "both Content-Length and Transfer-Encoding are set";
  } else if (hasEncoding &&
             (IsHttp10() || ToLower(encoding->second) != "chunked")) {
    error = "unsupported transfer encoding; only chunked is allowed, in "
            "HTTP/1.1";
  }
  if (error != nullptr) {
    Reject(kBadRequest, "bad_request", error);
    return;
  }
  mHasHead = true;
  mMessage->eager(true);
  // The memory of the body is drawn before any of it is read.
  const auto stated = mMessage->content_length();
  if (stated && !mMessage->mBody.Reserve(*stated)) {
    RejectForMemory();
  }
}

std::size_t
RequestParser::ParseBody(std::string_view aBytes)
{
  std::size_t consumed = 0;
  error_code ec;
  while (!mMessage->is_done() && consumed < aBytes.size() && !ec) {
    const std::string_view rest = aBytes.substr(consumed);
    const std::size_t n =
      mMessage->put(boost::asio::buffer(rest.data(), rest.size()), ec);
    consumed += n;
    if (n == 0) {
      break;
    }
  }
  if (ec == http::error::body_limit) {
    RejectBody();
  } else if (ec == http::error::buffer_overflow) {
    RejectForMemory();
  } else if (ec && ec != http::error::need_more) {
    Reject(kBadRequest, "bad_request", "malformed body: " + ec.message());
  } else if (aBytes.size() - consumed > mSettings.mMaxHeaderBytes &&
             !IsComplete()) {
    Reject(kBadRequest, "bad_request", "the line of a chunk is too long");
  }
  return consumed;
}

void
RequestParser::Reject(int aStatus, const char* aType, std::string aMessage)
{
  mError = HttpRequestError{ aStatus, aType, std::move(aMessage) };
}

void
RequestParser::RejectForMemory()
{
  mError.emplace();
  mError->mIsMemoryFull = true;
}

void
RequestParser::RejectBody()
{
  Reject(kContentTooLarge,
         "body_too_large",
         fmt::format("the body exceeds {} bytes", mSettings.mMaxBodyBytes));
}

bool
RequestParser::HasBegun() const
{
  return mHasHead || mScannedBytes > 0;
}

bool
RequestParser::IsComplete() const
{
  return mHasHead && !mError && mMessage->is_done();
}

bool
RequestParser::ExpectsContinue() const
{
  return mHasHead && !IsComplete() &&
         HasWord(mMessage->mRequest.mHeaders, "expect", "100-continue");
}

bool
RequestParser::IsHttp10() const
{
  return mMessage->mVersion == kHttp10;
}

bool
RequestParser::KeepsConnection() const
{
  const HttpHeaders& headers = mMessage->mRequest.mHeaders;
  return IsHttp10() ? HasWord(headers, "connection", "keep-alive")
                    : !HasWord(headers, "connection", "close");
}

bool
RequestParser::IsHead() const
{
  return mMessage->mRequest.mMethod == "HEAD";
}

const std::string&
RequestParser::Target() const
{
  return mMessage->mRequest.mTarget;
}

const HttpRequest&
RequestParser::PartialRequest() const
{
  return mMessage->mRequest;
}

HttpRequest
RequestParser::TakeRequest(MemoryCharge* aMemory)
{
  HttpRequest request = std::move(mMessage->mRequest);
  request.mBody = mMessage->mBody.Take();
  *aMemory = mMessage->mBody.TakeCharge();
  const auto question =
    std::min(request.mTarget.find('?'), request.mTarget.size());
  const std::string_view target = request.mTarget;
  request.mPath = PercentDecode(target.substr(0, question));
  request.mQuery =
    ParseQuery(target.substr(std::min(question + 1, target.size())));
  mMessage = std::make_unique<Message>(mSettings);
  mHasHead = false;
  mScannedBytes = 0;
  return request;
}

} // namespace peridothoist::detail
