/// Tests the compression of a text against an earlier one.
#define BOOST_TEST_MODULE Compression
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/Compression.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;

namespace {

constexpr std::size_t kMaxBytes = std::size_t(1) << 20;

std::string
MakeRoutes(int aFrom, int aTo)
{
  std::string text;
  for (int n = aFrom; n < aTo; ++n) {
    text +=
      "{\"name\":\"r-" + std::to_string(n * 7919) + "\",\"service\":\"s\"},";
  }
  return text;
}

} // namespace

RC_BOOST_PROP(EveryTextIsReadBackAgainstItsBase,
              (const std::string& aBase, const std::string& aText))
{
  const std::string bytes = CompressAgainst(aBase, aText);
  RC_ASSERT(DecompressAgainst(aBase, bytes, kMaxBytes) == aText);
}

BOOST_AUTO_TEST_CASE(OnlyWhatHasChangedTakesBytes)
{
  const std::string base = MakeRoutes(0, 10000);
  const std::string text = base + MakeRoutes(10000, 10010);
  const std::string bytes = CompressAgainst(base, text);
  BOOST_TEST(bytes.size() < 400U);
  BOOST_TEST((DecompressAgainst(base, bytes, kMaxBytes) == text));
}

BOOST_AUTO_TEST_CASE(InvalidBytesAreRejected)
{
  const std::string base = MakeRoutes(0, 1000);
  const std::string text = base + MakeRoutes(1000, 1010);
  const std::string bytes = CompressAgainst(base, text);
  const auto isRejected = [](const std::string& aBase,
                             std::string_view aBytes) {
    return !DecompressAgainst(aBase, aBytes, kMaxBytes);
  };
  BOOST_TEST(isRejected("", bytes));
  BOOST_TEST(isRejected(MakeRoutes(1, 1001), bytes));
  BOOST_TEST(isRejected(base, ""));
  BOOST_TEST(isRejected(base, "no frame"));
  BOOST_TEST(
    isRejected(base, std::string_view(bytes).substr(0, bytes.size() / 2)));
  // A frame that states more than the reader takes.
  BOOST_TEST(!DecompressAgainst(base, bytes, text.size() - 1));
}
