/// Tests the failure rates of upstreams, computed from the calls of all VMs.
#define BOOST_TEST_MODULE CallOutcomeTracker
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/CallOutcomeTracker.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;

namespace {

const TimePoint kNow{ 1h };

struct OutcomeFixture
{
  void Call(const std::string& aUpstream, bool aFailed)
  {
    mOutcomes.OnOutcome(aUpstream, aFailed, kNow);
  }
  double Rate(const std::string& aUpstream, TimePoint aNow = kNow) const
  {
    return mOutcomes.FailureRate(aUpstream, aNow);
  }

  CallOutcomeTracker mOutcomes{ CallOutcomeTrackerSettings() };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Outcomes, OutcomeFixture)

BOOST_AUTO_TEST_CASE(OneFailureHasLittleWeightAndDecays)
{
  Call("u", true);
  BOOST_TEST(Rate("u") < 0.4);
  BOOST_TEST(Rate("u", kNow + 30s) < 0.01);
  BOOST_TEST(mOutcomes.FailingUpstreams(kNow).count("u") == 1U);
  BOOST_TEST(mOutcomes.FailingUpstreams(kNow + 30s).empty());
}

BOOST_AUTO_TEST_CASE(CountsOfAllVmsAreSummed)
{
  for (int n = 0; n < 20; ++n) {
    mOutcomes.OnPeerCounts("vm" + std::to_string(n), { { "u", { 1, 1 } } });
  }
  BOOST_TEST(Rate("u") > 0.45);
  BOOST_TEST(Rate("other") == 0);
  for (int n = 0; n < 20; ++n) {
    mOutcomes.ForgetPeer("vm" + std::to_string(n));
  }
  BOOST_TEST(Rate("u") == 0);
}

BOOST_AUTO_TEST_CASE(AReportReplacesTheLastOneOfItsVm)
{
  for (int n = 0; n < 20; ++n) {
    mOutcomes.OnPeerCounts("vm", { { "u", { 1, 0 } } });
  }
  BOOST_TEST(Rate("u") < 0.4);
}

BOOST_AUTO_TEST_CASE(VmsWithoutFailuresReportTheirSuccesses)
{
  // Each of 70 VMs calls a plain upstream three times, and one call in 25
  // fails. The VMs that saw no failure tell so once others report the upstream:
  // by the reports of the others alone, a quarter of its calls would fail.
  std::vector<CallOutcomeTracker> vms(
    70, CallOutcomeTracker(CallOutcomeTrackerSettings()));
  for (std::size_t n = 0; n < vms.size(); ++n) {
    for (std::size_t call = 0; call < 3; ++call) {
      vms[n].OnOutcome("u", (3 * n + call) % 25 == 0, kNow);
    }
  }
  for (int round = 0; round < 2; ++round) {
    for (std::size_t from = 0; from < vms.size(); ++from) {
      for (std::size_t to = 0; to < vms.size(); ++to) {
        if (from != to) {
          vms[to].OnPeerCounts("vm" + std::to_string(from),
                               vms[from].FailingUpstreams(kNow));
        }
      }
    }
  }
  BOOST_TEST(vms.front().FailureRate("u", kNow) < 0.06);
}

BOOST_AUTO_TEST_CASE(AVmThatFailsMostCallsReportsNoUpstreams)
{
  // A VM whose network link fails sees all its calls fail. It must not make
  // other VMs avoid healthy upstreams.
  for (const char* id : { "a", "b", "c", "d", "e" }) {
    Call(id, true);
  }
  BOOST_TEST(mOutcomes.FailingUpstreams(kNow).empty());
  for (const char* id : { "f", "g", "h", "i", "j", "k" }) {
    Call(id, false);
  }
  BOOST_TEST(mOutcomes.FailingUpstreams(kNow).size() == 5U);
}

BOOST_AUTO_TEST_CASE(AMessageIsLimitedToTheWorstUpstreams)
{
  for (int n = 0; n < 20; ++n) {
    Call("bad" + std::to_string(n), true);
    Call("good" + std::to_string(n), false);
    Call("good2" + std::to_string(n), false);
  }
  Call("bad7", true);
  const CountsByUpstream failing = mOutcomes.FailingUpstreams(kNow);
  BOOST_TEST(failing.size() ==
             CallOutcomeTrackerSettings().mMaxReportedUpstreams);
  BOOST_TEST(failing.count("bad7") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
