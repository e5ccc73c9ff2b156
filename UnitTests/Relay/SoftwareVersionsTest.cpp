/// Tests what the records of software versions prove.
#define BOOST_TEST_MODULE SoftwareVersions
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/SoftwareVersions.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;

namespace {

const TimePoint kReadAt{ 50s };
constexpr std::uint64_t kNowMs = 1000 * 1000;

std::string
SoleOf(const ServiceVersions& aRecord,
       std::optional<std::uint64_t> aNowMs = kNowMs,
       TimePoint aNotBefore = kReadAt)
{
  SoftwareVersions versions;
  versions.OnRead({ { "s", aRecord } }, aNowMs, kReadAt);
  return versions.SoleVersion("s", 37s, aNotBefore).value_or("unknown");
}

} // namespace

// Guards against a version that is taken for the only one although another was
// listed recently, or the record is too young, too old or from another clock.
BOOST_AUTO_TEST_CASE(OnlyACertainVersionIsTheSoleOne)
{
  BOOST_TEST(SoleOf({ { "v1" }, {}, kNowMs - 37000 }) == "v1");
  BOOST_TEST(SoleOf({ { "v1" }, {}, kNowMs - 36999 }) == "unknown");
  BOOST_TEST(SoleOf({ { "v1", "v2" }, {}, 0 }) == "unknown");
  BOOST_TEST(SoleOf({ {}, {}, 0 }) == "unknown");
  BOOST_TEST(SoleOf({ { "v1" }, { { "v2", kNowMs - 36999 } }, 0 }) ==
             "unknown");
  BOOST_TEST(SoleOf({ { "v1" }, { { "v2", kNowMs - 37000 } }, 0 }) == "v1");
  BOOST_TEST(SoleOf({ { "v1" }, { { "v2", kNowMs + 1 } }, 0 }) == "unknown");
  BOOST_TEST(SoleOf({ { "v1" }, {}, kNowMs + 1 }) == "unknown");
  BOOST_TEST(SoleOf({ { "v1" }, {}, 0 }, std::nullopt) == "unknown");
  BOOST_TEST(SoleOf({ { "v1" }, {}, 0 }, kNowMs, kReadAt + 1us) == "unknown");
  BOOST_TEST(
    !SoftwareVersions().SoleVersion("s", 37s, TimePoint()).has_value());
}

// Guards against a release or a roll back whose former version is forgotten too
// early, and against records that grow with each release.
BOOST_AUTO_TEST_CASE(ARecordKeepsWhenVersionsWereGone)
{
  const ServiceVersions first = NextRecord(nullptr, { "v1" }, 1000);
  BOOST_TEST((first == ServiceVersions{ { "v1" }, {}, 1000 }));
  const ServiceVersions both = NextRecord(&first, { "v1", "v2" }, 2000);
  BOOST_TEST((both == ServiceVersions{ { "v1", "v2" }, {}, 1000 }));
  const ServiceVersions second = NextRecord(&both, { "v2" }, 3000);
  BOOST_TEST((second == ServiceVersions{ { "v2" }, { { "v1", 3000 } }, 1000 }));
  const ServiceVersions back = NextRecord(&second, { "v1" }, 4000);
  BOOST_TEST((back == ServiceVersions{ { "v1" }, { { "v2", 4000 } }, 1000 }));
  const ServiceVersions third = NextRecord(&back, { "v3" }, 604000);
  BOOST_TEST(
    (third == ServiceVersions{ { "v3" }, { { "v1", 604000 } }, 1000 }));
  // A store that was restarted counts from 0.
  const ServiceVersions earlier = NextRecord(&third, { "v3", "v4" }, 10);
  BOOST_TEST(
    (earlier == ServiceVersions{ { "v3", "v4" }, { { "v1", 10 } }, 10 }));
}

// Guards against any order of releases after which a version that was listed
// within the period is not counted.
RC_BOOST_PROP(NoVersionListedRecentlyIsForgotten, ())
{
  std::uint64_t nowMs = 0;
  std::map<std::string, std::uint64_t> lastListed;
  std::optional<ServiceVersions> record;
  for (int n = 0; n < *rc::gen::inRange(1, 20); ++n) {
    std::set<std::string> listed;
    for (const char* version : { "v1", "v2", "v3" }) {
      if (*rc::gen::inRange(0, 3) == 0) {
        listed.insert(version);
      }
    }
    if (listed.empty()) {
      continue;
    }
    // Those that the former record lists were listed until now.
    if (record) {
      for (const std::string& it : record->mListed) {
        lastListed[it] = nowMs;
      }
    }
    record = NextRecord(record ? &*record : nullptr, listed, nowMs);
    nowMs += *rc::gen::inRange<std::uint64_t>(1, 60000);
    SoftwareVersions versions;
    versions.OnRead({ { "s", *record } }, nowMs, kReadAt);
    const auto sole = versions.SoleVersion("s", 37s, kReadAt);
    for (const auto& [version, at] : lastListed) {
      const bool isRecent = nowMs - at < 37000;
      RC_ASSERT(!sole || *sole == version || !isRecent);
    }
  }
}
