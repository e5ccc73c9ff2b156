/// The reader gives the same events however the bytes were cut.
#define BOOST_TEST_MODULE EventStreamReader
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EventStreamReader.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;

namespace {

std::vector<std::string>
ReadInPieces(const std::string& aStream, const std::vector<std::size_t>& aCuts)
{
  EventStreamReader reader;
  std::vector<std::string> events;
  const auto keep = [&events](std::string_view aData) {
    events.emplace_back(aData);
  };
  std::size_t at = 0;
  for (std::size_t cut : aCuts) {
    const std::size_t n = std::min(cut % 7, aStream.size() - at);
    BOOST_REQUIRE(reader.Feed(std::string_view(aStream).substr(at, n), keep));
    at += n;
  }
  BOOST_REQUIRE(reader.Feed(std::string_view(aStream).substr(at), keep));
  return events;
}

} // namespace

RC_BOOST_PROP(CutsDoNotMatter, (const std::vector<std::size_t>& aCuts))
{
  const std::string stream =
    "data: {\"index\":0}\n\ndata:{\"index\":1}\n\n: comment\n\n"
    "event: x\ndata: {\"done\":true}\n\n";
  const std::vector<std::string> expected = { "{\"index\":0}",
                                              "{\"index\":1}",
                                              "{\"done\":true}" };
  RC_ASSERT(ReadInPieces(stream, aCuts) == expected);
}

BOOST_AUTO_TEST_CASE(AnUnfinishedEventIsNotGivenOut)
{
  BOOST_TEST(ReadInPieces("data: {\"done\":true}\n", {}).empty());
}

BOOST_AUTO_TEST_CASE(AnEndlessEventIsRefused)
{
  EventStreamReader reader;
  const std::string much(EventStreamReader::kMaxEventBytes + 1, 'x');
  BOOST_TEST(!reader.Feed(much, [](std::string_view) {}));
}
