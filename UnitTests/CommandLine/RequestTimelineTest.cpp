/// The timeline of a failed request must include the cause of the failure and
/// only lines of the VM that handled the request.
#define BOOST_TEST_MODULE RequestTimeline
#include <Peridothoist/Peridothoist.h>
#include <CommandLine/RequestTimeline.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <sstream>

using namespace peridothoist;

namespace {

constexpr const char* kLogs =
  R"(ts=2026-08-11T13:20:01.000000Z level=info vm=a event=configuration_in_force version=4
noise without fields
ts=2026-08-11T13:20:01.500000Z level=info vm=c event=zone_evacuated zone=z evacuated=true
ts=2026-08-11T13:20:01.600000Z level=info vm=c event=upstream_cold upstream=u9 cold_ms=900
ts=2026-08-11T13:20:01.700000Z level=info vm=c event=request_done id=x4 request=9 outcome=too_late status=503 ms=20
ts=2026-08-11T13:20:02.000000Z level=info vm=a event=upstream_listed upstream=u1 leaving=false
ts=2026-08-11T13:20:02.100000Z level=info vm=b event=upstream_listed upstream=u1 leaving=false
 10.3 host ts=2026-08-11T13:20:05.300000Z level=info vm=a event=call_ended request=7 attempt=1 upstream=u1 end=broken reason="Failure when \"receiving\" data"
ts=2026-08-11T13:20:05.310000Z level=info vm=b event=call_ended request=7 attempt=1 upstream=u2 end=whole
ts=2026-08-11T13:20:05.320000Z level=info vm=a event=request_done id=x1 request=7 outcome=upstream_failed status=502 ms=120
ts=2026-08-11T13:20:06.000000Z level=info vm=b event=refused_on_arrival id=x2 type=view_stale view_age_ms=4400
ts=2026-08-11T13:20:06.500000Z level=info vm=a event=request_done id=x3 request=8 outcome=answered status=200 ms=20
)";

std::vector<TimelineEntry>
TimelineOf(const std::string& aId)
{
  std::istringstream stream(kLogs);
  return BuildTimeline(ReadLogRecords(stream), aId);
}

} // namespace

BOOST_AUTO_TEST_CASE(TimelineOfFailedRequestShowsBrokenCall)
{
  const auto timeline = TimelineOf("x1");
  BOOST_REQUIRE(timeline.size() == 4U);
  BOOST_TEST(timeline[0].mText.find("configuration_in_force") !=
             std::string::npos);
  BOOST_TEST(timeline[1].mText.find("upstream_listed") != std::string::npos);
  BOOST_TEST(timeline[2].mText.find("end=broken") != std::string::npos);
  BOOST_TEST(timeline[3].mText.find("upstream_failed") != std::string::npos);
  BOOST_TEST(timeline[0].mSecondsAfterArrival < 0);
  BOOST_TEST(std::abs(timeline[2].mSecondsAfterArrival - 0.1) < 0.001);
  for (const TimelineEntry& it : timeline) {
    BOOST_TEST(it.mVm == "a");
  }
}

BOOST_AUTO_TEST_CASE(TimelineOfRefusedRequestShowsReason)
{
  const auto timeline = TimelineOf("x2");
  BOOST_REQUIRE(timeline.size() == 1U);
  BOOST_TEST(timeline[0].mText.find("view_age_ms=4400") != std::string::npos);
}

// Guards against a wait for the workspace's allowance that operators can't see.
BOOST_AUTO_TEST_CASE(TimelineShowsTheWaitForTheAllowance)
{
  std::istringstream stream(
    "ts=2026-08-11T13:20:05.500000Z level=info vm=a event=request_done id=x4 "
    "request=9 outcome=answered status=200 allowance_wait_ms=180.2 ms=460\n"
    "ts=2026-08-11T13:20:05.600000Z level=info vm=b event=refused_on_arrival "
    "id=x5 type=over_allowance allowance_wait_ms=401.5 ms=401.5\n");
  const auto records = ReadLogRecords(stream);
  const auto served = BuildTimeline(records, "x4");
  BOOST_REQUIRE(served.size() == 1U);
  BOOST_TEST(served[0].mText.find("allowance_wait_ms=180.2") !=
             std::string::npos);
  const auto refused = BuildTimeline(records, "x5");
  BOOST_REQUIRE(refused.size() == 1U);
  BOOST_TEST(refused[0].mText.find("allowance_wait_ms=401.5") !=
             std::string::npos);
  BOOST_TEST(std::abs(refused[0].mSecondsAfterArrival - 0.4015) < 0.001);
}

// Guards against a refusal that nothing explains: its upstreams were evacuated,
// or are cold.
BOOST_AUTO_TEST_CASE(TimelineShowsEvacuatedZonesAndColdUpstreams)
{
  const auto timeline = TimelineOf("x4");
  BOOST_REQUIRE(timeline.size() == 3U);
  BOOST_TEST(timeline[0].mText.find("zone_evacuated") != std::string::npos);
  BOOST_TEST(timeline[1].mText.find("upstream_cold") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(UnknownRequestHasEmptyTimeline)
{
  BOOST_TEST(TimelineOf("nobody").empty());
}

BOOST_AUTO_TEST_CASE(ValuesAreUnquoted)
{
  const auto record = ParseLogLine(
    R"(ts=2026-08-11T13:20:05.3Z level=info event=x reason="a \"b\" c" n=1)");
  BOOST_REQUIRE(record.has_value());
  BOOST_TEST(record->GetField("reason") == "a \"b\" c");
  BOOST_TEST(record->GetField("n") == "1");
}

RC_BOOST_PROP(ArbitraryLinesDontCrashParser, (const std::string& aText))
{
  ParseLogLine("ts=" + aText);
  ParseLogLine(aText);
}
