/// Tests what counts as a response, on tables of broken and of sound ones, and
/// on random splits of their bytes.
#define BOOST_TEST_MODULE ResponseParser
#include <Peridothoist/Peridothoist.h>
#include <Shell/ParsedResponse.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;
using namespace peridothoist::test;
using detail::ParseChunkSize;

namespace {

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";

std::string
WithNul(std::string_view aBefore, std::string_view aAfter)
{
  return std::string(aBefore) + '\0' + std::string(aAfter);
}

/// First lines that are no status line of HTTP/1, each without its end.
const std::vector<std::string> kBrokenStatusLines = {
  "",
  "garbage",
  "HTTP/1.1",
  "HTTP/1.1 ",
  "HTTP/1.1 2",
  "HTTP/1.1 20",
  "HTTP/1.1 20 OK",
  "HTTP/1.1 2000 OK",
  "HTTP/1.1 200OK",
  "HTTP/1.1 200\tOK",
  "HTTP/1.1  200 OK",
  "HTTP/1.1\t200 OK",
  "HTTP/1.1 +20 OK",
  "HTTP/1.1 -20 OK",
  "HTTP/1.1 0x2 OK",
  "HTTP/1.1 2 0 OK",
  "HTTP/1.1 000 None",
  "HTTP/1.1 099 None",
  "HTTP/1.1 600 None",
  "HTTP/1.1 999 None",
  "HTTP/1.1 101 Switching Protocols",
  "HTTP/1 200 OK",
  "HTTP/1. 200 OK",
  "HTTP/11 200 OK",
  "HTTP/1.x 200 OK",
  "HTTP/0.9 200 OK",
  "HTTP/1.2 200 OK",
  "HTTP/2.0 200 OK",
  "HTTP/2 200 OK",
  "HTTP/10.1 200 OK",
  "http/1.1 200 OK",
  "HTTPS/1.1 200 OK",
  " HTTP/1.1 200 OK",
  "\tHTTP/1.1 200 OK",
  "ICY 200 OK",
  "200 OK",
  "GET / HTTP/1.1",
  WithNul("HTTP/1.1 200 O", "K"),
  "HTTP/1.1 200 O\x01K",
  "HTTP/1.1 200 O\x7fK",
  "HTTP/1.1 200 OK\rX: y",
};

const std::vector<std::string> kSoundStatusLines = {
  "HTTP/1.1 200 OK",
  "HTTP/1.1 200 ",
  "HTTP/1.1 200",
  "HTTP/1.0 200 OK",
  "HTTP/1.1 200 All is well: 100%, \"really\"",
  "HTTP/1.1 200 tab\there",
  "HTTP/1.1 200 d\xc3\xa9j\xc3\xa0",
};

/// Lines that are no header, each without its end.
const std::vector<std::string> kBrokenFields = {
  // Names with blanks or control characters
  "X Y: z",
  "X : z",
  "X\t: z",
  " X: z",
  "\tX: z",
  "X\x01Y: z",
  "\x01: z",
  "X\x7f: z",
  WithNul("X", ": z"),
  "X\r: z",
  "\rX: z",
  "Content-Length : 4",
  "Content-Length\t: 4",
  "Content-\x01Length: 4",
  "Transfer-Encoding : chunked",
  WithNul("Transfer-Encoding", ": chunked"),
  // Names with other characters that no token has
  "X(Y): z",
  "X/Y: z",
  "X\"Y\": z",
  "X=Y: z",
  "X\xc3\xa9: z",
  // No header
  "garbage",
  "no colon here",
  ":",
  ": z",
  " ",
  "\t",
  "HTTP/1.1 200 OK",
  "{\"a\": 1}",
  "Content-Length 4",
  "\r",
  // Values
  "X: a\x01z",
  "X: a\rz",
  WithNul("X: a", "z"),
  "X: \x7f",
  "X: \x1b[1m",
};

const std::vector<std::string> kSoundFields = {
  "X:",
  "X: ",
  "X:z",
  "X: \t z \t ",
  "X: a b\tc",
  "X: a:b:c",
  "X: \"quoted, with commas\", (comment)",
  "X: d\xc3\xa9j\xc3\xa0",
  "x-lower: z",
  "X!#$%&'*+-.^_`|~9: z",
  "1: z",
  "Content-Lengths: no number",
  "Set-Cookie: a=b; Expires=Sun, 06 Dec 2026 22:17:12 GMT",
};

/// Headers that leave open where the body ends.
const std::vector<std::string> kBrokenFramings = {
  "Content-Length:",
  "Content-Length: four",
  "Content-Length: 4x",
  "Content-Length: x4",
  "Content-Length: 4 ;",
  "Content-Length: 4 4",
  "Content-Length: 4.0",
  "Content-Length: 4e0",
  "Content-Length: 0x4",
  "Content-Length: +4",
  "Content-Length: -4",
  "Content-Length: \"4\"",
  "Content-Length: 4,",
  "Content-Length: ,4",
  "Content-Length: 4, 5",
  "Content-Length: 4, x",
  "Content-Length: 18446744073709551616",
  "Content-Length: 99999999999999999999999999",
  "Content-Length: 4\r\nContent-Length: 5",
  "Content-Length: 4\r\ncontent-length: 04x",
  "Content-Length: 4\r\nContent-Length:",
  "Content-Length: 4\r\nTransfer-Encoding: chunked",
  "Transfer-Encoding: chunked\r\nContent-Length: 4",
  "Transfer-Encoding:",
  "Transfer-Encoding: chunke",
  "Transfer-Encoding: chunkedx",
  "Transfer-Encoding: chunked;q=1",
  "Transfer-Encoding: chun ked",
  "Transfer-Encoding: \"chunked\"",
  "Transfer-Encoding: identity",
  "Transfer-Encoding: gzip",
  "Transfer-Encoding: gzip, chunked",
  "Transfer-Encoding: chunked, gzip",
  "Transfer-Encoding: chunked, chunked",
  "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
};

struct Framing
{
  std::string mFields;
  std::string mBody; ///< As it is sent.
};

const std::vector<Framing> kSoundFramings = {
  { "Content-Length: 4\r\n", "good" },
  { "content-length:4\r\n", "good" },
  { "CONTENT-LENGTH: \t 4 \t\r\n", "good" },
  { "Content-Length: 0004\r\n", "good" },
  { "Content-Length: 4, 4\r\n", "good" },
  { "Content-Length: 4\r\nX: y\r\nContent-Length: 4\r\n", "good" },
  { "Transfer-Encoding: chunked\r\n", "4\r\ngood\r\n0\r\n\r\n" },
  { "transfer-encoding: Chunked\r\n", "2\r\ngo\r\n2\r\nod\r\n0\r\n\r\n" },
  { "Transfer-Encoding: , chunked ,\r\n", "4\r\ngood\r\n0\r\n\r\n" },
  { "", "good" },
};

const std::vector<std::string> kBrokenChunks = {
  "\r\n",
  "x\r\ngood\r\n0\r\n\r\n",
  "0x4\r\ngood\r\n0\r\n\r\n",
  "-4\r\ngood\r\n0\r\n\r\n",
  "+4\r\ngood\r\n0\r\n\r\n",
  " 4\r\ngood\r\n0\r\n\r\n",
  "4 \r\ngood\r\n0\r\n\r\n",
  "4 x\r\ngood\r\n0\r\n\r\n",
  "4\ngood\r\n0\r\n\r\n",
  "4\r\r\ngood\r\n0\r\n\r\n",
  "4\r\ngood\n0\r\n\r\n",
  "4\r\ngood0\r\n\r\n",
  "3\r\ngood\r\n0\r\n\r\n",
  "5\r\ngood\r\n0\r\n\r\n",
  "4;\r\ngood\r\n0\r\n\r\n",
  "4;a=\r\ngood\r\n0\r\n\r\n",
  "4;a=\"x\r\ngood\r\n0\r\n\r\n",
  "4;a b\r\ngood\r\n0\r\n\r\n",
  "4;\x01\r\ngood\r\n0\r\n\r\n",
  "4;a \r\ngood\r\n0\r\n\r\n",
  "00000000000000004\r\ngood\r\n0\r\n\r\n",
  "4\r\ngood\r\n0\r\ngarbage\r\n\r\n",
  "4\r\ngood\r\n0\r\nX Y: z\r\n\r\n",
  "4\r\ngood\r\n0\r\nX: y\n\r\n",
  "4\r\ngood\r\n0\r\n folded: y\r\n\r\n",
  "4\r\ngood\r\n0\r\n\n",
  "4\r\ngood\r\n0\r\n" + std::string(70'000, 'x'),
  "4;" + std::string(70'000, 'x'),
};

const std::vector<std::string> kSoundChunks = {
  "4\r\ngood\r\n0\r\n\r\n",
  "0004\r\ngood\r\n000\r\n\r\n",
  "1\r\ng\r\n3\r\nood\r\n0\r\n\r\n",
  "4;a\r\ngood\r\n0;b\r\n\r\n",
  "4;a=1;b=\"x; \\\" y\"\r\ngood\r\n0\r\n\r\n",
  "4 ; a = b\r\ngood\r\n0\r\n\r\n",
  "4\r\ngood\r\n0\r\nX: y\r\nZ:\r\n\r\n",
};

void
CheckBroken(const std::string& aBytes)
{
  const ParsedResponse result = ParseResponse(aBytes);
  BOOST_TEST(result.mIsBroken, aBytes);
  BOOST_TEST(!result.mIsComplete, aBytes);
}

/// Checks that the head is broken, and that nothing of it can be used.
void
CheckBrokenHead(const std::string& aBytes)
{
  CheckBroken(aBytes);
  const ParsedResponse result = ParseResponse(aBytes);
  BOOST_TEST(result.mStatus == 0, aBytes);
  BOOST_TEST(result.mHeaders.empty(), aBytes);
  BOOST_TEST(result.mBody.empty(), aBytes);
}

void
CheckSound(const std::string& aBytes)
{
  const ParsedResponse result = ParseResponse(aBytes);
  BOOST_TEST(result.mIsComplete, aBytes);
  BOOST_TEST(!result.mIsBroken, aBytes);
  BOOST_TEST(!result.mHasExcess, aBytes);
  BOOST_TEST(result.mStatus == 200, aBytes);
  BOOST_TEST(result.mBody == "good", aBytes);
}

} // namespace

// Guards against statuses such as 000, and against bytes that are no response.
BOOST_AUTO_TEST_CASE(StatusLines)
{
  for (const std::string& line : kBrokenStatusLines) {
    CheckBrokenHead(line + "\r\nContent-Length: 4\r\n\r\ngood");
  }
  for (const std::string& line : kSoundStatusLines) {
    CheckSound(line + "\r\nContent-Length: 4\r\n\r\ngood");
  }
}

// Guards against lines that are no header, and against odd names of headers,
// which each reader takes for something else.
BOOST_AUTO_TEST_CASE(Fields)
{
  for (const std::string& field : kBrokenFields) {
    CheckBrokenHead(kOk + field + "\r\nContent-Length: 4\r\n\r\ngood");
    CheckBrokenHead(kOk + "Content-Length: 4\r\n" + field + "\r\n\r\ngood");
    CheckBrokenHead(kOk + "Content-Length: 4\r\nX: y\r\n" + field +
                    "\r\nX: y\r\n\r\ngood");
  }
  for (const std::string& field : kSoundFields) {
    CheckSound(kOk + field + "\r\nContent-Length: 4\r\n\r\ngood");
    CheckSound(kOk + "Content-Length: 4\r\n" + field + "\r\n\r\ngood");
  }
}

// Guards against a head that is spoilt where it tells the length of the body.
BOOST_AUTO_TEST_CASE(Framings)
{
  for (const std::string& fields : kBrokenFramings) {
    for (const char* status : { "200 OK", "304 Not Modified", "500 Oops" }) {
      CheckBrokenHead("HTTP/1.1 " + std::string(status) + "\r\n" + fields +
                      "\r\n\r\ngood");
    }
  }
  CheckBrokenHead("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "4\r\ngood\r\n0\r\n\r\n");
  for (const Framing& framing : kSoundFramings) {
    CheckSound(kOk + framing.mFields + "\r\n" + framing.mBody);
  }
}

// Guards against heads whose lines end otherwise for each reader.
BOOST_AUTO_TEST_CASE(LineEnds)
{
  const std::string head = kOk + "X: y\r\nContent-Length: 4\r\n\r\n";
  for (auto at = head.find("\r\n"); at != std::string::npos;
       at = head.find("\r\n", at + 1)) {
    for (const char* end : { "\n", "\r", "\r\r\n", "\n\r\n" }) {
      std::string odd = head;
      CheckBroken(odd.replace(at, 2, end) + "good");
    }
  }
}

BOOST_AUTO_TEST_CASE(Chunks)
{
  for (const std::string& chunks : kBrokenChunks) {
    CheckBroken(kChunked + chunks);
  }
  for (const std::string& chunks : kSoundChunks) {
    CheckSound(kChunked + chunks);
  }
  BOOST_TEST(ParseChunkSize("ffffffffffffffff").value() == UINT64_MAX);
  BOOST_TEST(ParseChunkSize("aF").value() == 0xafU);
}

BOOST_AUTO_TEST_CASE(StatusesAndMethodsWithoutABody)
{
  const std::string length = "Content-Length: 4\r\n\r\n";
  for (const char* status : { "204 No Content", "304 Not Modified" }) {
    const auto result =
      ParseResponse("HTTP/1.1 " + std::string(status) + "\r\n" + length);
    BOOST_TEST(result.mIsComplete);
    BOOST_TEST(result.mBody.empty());
  }
  BOOST_TEST(ParseResponse(kOk + length, 1, "HEAD").mIsComplete);
  BOOST_TEST(ParseResponse(kChunked, 1, "HEAD").mIsComplete);
  BOOST_TEST(ParseResponse(kOk + length, 1, "CONNECT").mIsComplete);
  BOOST_TEST(!ParseResponse(kOk + length, 1, "GET").mIsComplete);
  BOOST_TEST(
    !ParseResponse("HTTP/1.1 502 Bad Gateway\r\n" + length, 1, "CONNECT")
       .mIsComplete);
}

// Guards against interim responses that are checked less, or whose headers are
// taken for those of the final one.
BOOST_AUTO_TEST_CASE(InterimResponses)
{
  const std::string last = kOk + "Content-Length: 4\r\n\r\ngood";
  const std::string hints =
    "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n";
  CheckSound("HTTP/1.1 100 Continue\r\n\r\n" + last);
  CheckSound("HTTP/1.1 100\r\n\r\n" + hints + hints + last);
  BOOST_TEST(ParseResponse(hints + last).mHeaders.count("link") == 0U);
  BOOST_TEST(!ParseResponse(hints).mIsComplete);
  BOOST_TEST(ParseResponse(hints).mStatus == 0);
  CheckBrokenHead("HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + last);
  CheckBrokenHead("HTTP/1.1 100 Continue\r\n\r\ngarbage\r\n" + last);
  CheckBrokenHead("HTTP/1.1 100 Continue\r\n\r\n\r\n" + last);
}

BOOST_AUTO_TEST_CASE(RepeatedHeadersAreJoined)
{
  const auto result = ParseResponse(kOk + "A: 1\r\na:\r\nA: 2\r\n\r\n");
  BOOST_TEST(result.mHeaders.at("a") == "1, , 2");
}

// Guards against bytes after a response that count for the next one.
BOOST_AUTO_TEST_CASE(BytesAfterTheResponse)
{
  for (const std::string& response :
       { kOk + "Content-Length: 4\r\n\r\ngood",
         kChunked + "4\r\ngood\r\n0\r\n\r\n",
         std::string("HTTP/1.1 204 No Content\r\n\r\n") }) {
    const auto result = ParseResponse(response + "more");
    BOOST_TEST(result.mIsComplete, response);
    BOOST_TEST(result.mHasExcess, response);
    BOOST_TEST(result.mBody == ParseResponse(response).mBody, response);
  }
}

BOOST_AUTO_TEST_CASE(EveryCutIsIncomplete)
{
  for (const Framing& framing : kSoundFramings) {
    if (framing.mFields.empty()) {
      continue; // Ends with its connection.
    }
    const std::string whole = kOk + framing.mFields + "\r\n" + framing.mBody;
    for (std::size_t n = 0; n < whole.size(); ++n) {
      BOOST_TEST(!ParseResponse(whole.substr(0, n)).mIsComplete,
                 whole.substr(0, n));
    }
  }
}

BOOST_AUTO_TEST_CASE(HeadsAreLimited)
{
  const std::string line = "X: " + std::string(1000, 'x') + "\r\n";
  std::string head = kOk;
  for (int i = 0; i < 70; ++i) {
    head += line;
  }
  CheckBrokenHead(head + "\r\n");
}

// Guards against a result that depends on how the bytes arrive.
RC_BOOST_PROP(AnySplitHasTheSameResult, ())
{
  std::vector<std::string> responses;
  for (const std::string& chunks : kSoundChunks) {
    responses.push_back(kChunked + chunks + "more");
  }
  for (const std::string& chunks : kBrokenChunks) {
    responses.push_back(kChunked + chunks);
  }
  const auto response = *rc::gen::elementOf(responses);
  const auto partBytes = *rc::gen::inRange<std::size_t>(1, 40);
  const ParsedResponse whole = ParseResponse(response);
  const ParsedResponse split = ParseResponse(response, partBytes);
  RC_ASSERT(split.mIsComplete == whole.mIsComplete);
  RC_ASSERT(split.mIsBroken == whole.mIsBroken);
  RC_ASSERT(split.mBody == whole.mBody);
}
