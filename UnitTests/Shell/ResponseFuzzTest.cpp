/// Fuzzing of the HTTP client with malformed responses: what it takes for a
/// complete response must be that by the bytes that were sent, whatever libcurl
/// drops, joins or reads in a way of its own.
#define BOOST_TEST_MODULE ResponseFuzz
#include <Peridothoist/Peridothoist.h>
#include <Shell/ParsedResponse.h>
#include <Shell/ShellFixture.h>

#include <rapidcheck/boost_test.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

const std::vector<std::string> kCorpus = {
  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
  "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 4, 4\r\n\r\ngood",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
  "3;a=b\r\ngoo\r\n1\r\nd\r\n0\r\nA: b\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n"
  "Content-Length: 4\r\n\r\ngood",
  "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
  "HTTP/1.0 200 OK\r\nA: b\r\n\r\ngood",
  "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nConnection: close\r\n\r\nbusy",
};

/// Bytes on which readers differ.
const std::vector<std::string> kOddBytes = {
  " ",
  "\t",
  "\r",
  "\n",
  "\r\n",
  std::string(1, '\0'),
  ":",
  ";",
  ",",
  "\x01",
  "\x7f",
  "\xff",
  "0",
  "9",
  "f",
  "-",
  "+",
  "\"",
  "\x0b",
  "\x0c",
  "\x85",
  "HTTP/1.1 200 OK\r\n",
  "Content-Length: 2\r\n",
};

/// Returns a response in which some places are replaced by odd bytes, extended
/// by them or left out.
std::string
Mutate(std::string aResponse)
{
  const int changes = *rc::gen::inRange(0, 4);
  for (int i = 0; i < changes && !aResponse.empty(); ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, aResponse.size());
    const auto n = *rc::gen::inRange<std::size_t>(0, 3);
    const auto odd = *rc::gen::elementOf(kOddBytes);
    aResponse.replace(at, n, *rc::gen::arbitrary<bool>() ? odd : "");
  }
  return aResponse;
}

/// Sends a response to the client and compares what it makes of it with the
/// bytes.
void
CheckResponse(ShellFixture& aFixture, const std::string& aBytes)
{
  const RawServer server(*aFixture.mReactor, aBytes);
  HttpCall call;
  call.mUrl = "http://127.0.0.1:" + std::to_string(server.mPort) + "/";
  call.mSendOnce = true;
  const auto recorder = aFixture.CallAndWait(call);
  const ParsedResponse parsed = ParseResponse(aBytes);
  const bool isComplete = recorder->mResult.mFailure == CallFailure::None;
  RC_LOG() << "reason: " << recorder->mResult.mReason << "\n";
  RC_ASSERT(isComplete == parsed.mIsComplete);
  if (isComplete) {
    RC_ASSERT(recorder->mStatus == parsed.mStatus);
    RC_ASSERT(recorder->mHeaders == parsed.mHeaders);
    RC_ASSERT(recorder->mBody == parsed.mBody);
  }
}

constexpr int kResponsesPerRun = 10;

} // namespace

RC_BOOST_FIXTURE_PROP(CompleteResponsesAreCompleteByTheirBytes,
                      ShellFixture,
                      ())
{
  for (int i = 0; i < kResponsesPerRun; ++i) {
    CheckResponse(*this, Mutate(*rc::gen::elementOf(kCorpus)));
  }
}
