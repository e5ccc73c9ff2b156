/// Tests what VMs send each other of a changed configuration.
#define BOOST_TEST_MODULE ConfigurationHistory
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/ConfigurationHistory.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;

namespace {

/// Returns the row of a configuration with as many routes.
std::vector<StoredRow>
MakeRows(std::uint64_t aVersion, int aRoutes)
{
  std::string value = "{\"version\":" + std::to_string(aVersion);
  for (int n = 0; n < aRoutes; ++n) {
    // No two names have much in common, as in a real configuration.
    const auto name = std::to_string((n + 1) * 2654435761U % 1000000007U);
    value += ",{\"name\":\"r-" + name + "\",\"host\":\"site.example\"," +
             "\"pathPrefix\":\"/p" + name + "/\",\"kind\":\"unsafe\"," +
             "\"timeoutMs\":2000,\"targetLatencyMs\":300,\"priority\":2," +
             "\"service\":\"huvo11a\",\"maxAttempts\":1,\"public\":false," +
             "\"sticky\":false,\"resumable\":false}";
  }
  return { { "config", value + "}", aVersion } };
}

std::string
ValueOf(const std::optional<std::vector<StoredRow>>& aRows)
{
  return aRows && aRows->size() == 1 ? aRows->front().mValue : "";
}

} // namespace

// Guards against a leader that sends a grown configuration whole to each VM of
// its cell, which takes seconds on a narrow link (CONFIG).
BOOST_AUTO_TEST_CASE(AChangeTakesFewBytes)
{
  ConfigurationHistory leader;
  ConfigurationHistory follower;
  leader.Add(MakeRows(13, 1440));
  follower.Add(MakeRows(13, 1440));
  leader.Add(MakeRows(15, 2840));
  const auto grown = leader.ChangeSince(follower.NewestDigest(), 1s);
  BOOST_REQUIRE(grown.has_value());
  BOOST_TEST(grown->mCompressedRows.size() < 50000U); // 300 KB as text.
  const auto rows = follower.Apply(*grown);
  BOOST_TEST((ValueOf(rows) == MakeRows(15, 2840).front().mValue));

  follower.Add(*rows);
  BOOST_TEST(follower.NewestDigest() == leader.NewestDigest());
  leader.Add(MakeRows(17, 2840));
  const auto next = leader.ChangeSince(follower.NewestDigest(), 1s);
  BOOST_TEST(next->mCompressedRows.size() < 500U);
  BOOST_TEST(
    (ValueOf(follower.Apply(*next)) == MakeRows(17, 2840).front().mValue));
}

BOOST_AUTO_TEST_CASE(AVmThatHasMissedManyChangesGetsTheRowsWhole)
{
  ConfigurationHistory leader;
  ConfigurationHistory follower;
  leader.Add(MakeRows(1, 40));
  follower.Add(MakeRows(1, 40));
  for (std::uint64_t version = 2; version < 8; ++version) {
    leader.Add(MakeRows(version, 40));
  }
  for (const std::uint64_t base :
       { follower.NewestDigest(), std::uint64_t(0) }) {
    const auto whole = leader.ChangeSince(base, 1s);
    BOOST_REQUIRE(whole.has_value());
    BOOST_TEST(whole->mBaseDigest == 0U);
    BOOST_TEST(
      (ValueOf(follower.Apply(*whole)) == MakeRows(7, 40).front().mValue));
  }
}

BOOST_AUTO_TEST_CASE(AChangeOfAnUnknownBaseIsNotApplied)
{
  ConfigurationHistory leader;
  BOOST_TEST(!leader.ChangeSince(0, 1s).has_value());
  leader.Add(MakeRows(1, 40));
  const std::uint64_t base = leader.NewestDigest();
  leader.Add(MakeRows(2, 40));
  const auto change = leader.ChangeSince(base, 1s);
  BOOST_TEST(change->mBaseDigest == base);
  BOOST_TEST(!ConfigurationHistory().Apply(*change).has_value());
  ConfigurationChange damaged = *change;
  damaged.mCompressedRows.resize(damaged.mCompressedRows.size() / 2);
  BOOST_TEST(!leader.Apply(damaged).has_value());
}

BOOST_AUTO_TEST_CASE(ChangesAreEncodedAndDecoded)
{
  ConfigurationHistory leader;
  leader.Add(MakeRows(1, 3));
  const auto change = leader.ChangeSince(0, 1s);
  const auto decoded =
    DecodeConfigurationChange(EncodeConfigurationChange(*change));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((decoded->mAge == 1s));
  BOOST_TEST(decoded->mBaseDigest == 0U);
  BOOST_TEST((decoded->mCompressedRows == change->mCompressedRows));
  BOOST_TEST(!DecodeConfigurationChange("no message").has_value());
}
