/// Tests that the reader reports the same events however the bytes are split
/// into chunks.
#define BOOST_TEST_MODULE EventStreamReader
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EventStreamReader.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;

namespace {

std::vector<std::string>
ReadInChunks(const std::string& aStream,
             const std::vector<std::size_t>& aChunkSizes)
{
  EventStreamReader reader;
  std::vector<std::string> events;
  const auto collect = [&events](std::string_view aData) {
    events.emplace_back(aData);
  };
  std::size_t at = 0;
  for (std::size_t chunkSize : aChunkSizes) {
    const std::size_t n = std::min(chunkSize % 7, aStream.size() - at);
    BOOST_REQUIRE(
      reader.Feed(std::string_view(aStream).substr(at, n), collect));
    at += n;
  }
  BOOST_REQUIRE(reader.Feed(std::string_view(aStream).substr(at), collect));
  return events;
}

} // namespace

RC_BOOST_PROP(ChunkingDoesNotChangeTheEvents,
              (const std::vector<std::size_t>& aChunkSizes))
{
  const std::string stream =
    "data: {\"index\":0}\n\ndata:{\"index\":1}\n\n: comment\n\n"
    "event: x\ndata: {\"done\":true}\n\n";
  const std::vector<std::string> expected = { "{\"index\":0}",
                                              "{\"index\":1}",
                                              "{\"done\":true}" };
  RC_ASSERT(ReadInChunks(stream, aChunkSizes) == expected);
}

BOOST_AUTO_TEST_CASE(IncompleteEventIsNotReported)
{
  BOOST_TEST(ReadInChunks("data: {\"done\":true}\n", {}).empty());
}

BOOST_AUTO_TEST_CASE(EventAboveTheSizeLimitIsRejected)
{
  EventStreamReader reader;
  const std::string oversized(EventStreamReader::kMaxEventBytes + 1, 'x');
  BOOST_TEST(!reader.Feed(oversized, [](std::string_view) {}));
}
