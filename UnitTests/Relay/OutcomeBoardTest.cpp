/// Tests the failure rates of upstreams, computed from the calls of all VMs.
#define BOOST_TEST_MODULE OutcomeBoard
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/OutcomeBoard.h>

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

  OutcomeBoard mOutcomes{ OutcomeBoardSettings() };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Outcomes, OutcomeFixture)

BOOST_AUTO_TEST_CASE(OneFailureHasLittleWeightAndDecays)
{
  Call("u", true);
  BOOST_TEST(Rate("u") < 0.4);
  BOOST_TEST(Rate("u", kNow + 30s) < 0.01);
  BOOST_TEST(mOutcomes.Failing(kNow).count("u") == 1U);
  BOOST_TEST(mOutcomes.Failing(kNow + 30s).empty());
}

BOOST_AUTO_TEST_CASE(CountsOfAllVmsAreSummed)
{
  for (int n = 0; n < 20; ++n) {
    mOutcomes.OnPeer("vm" + std::to_string(n), { { "u", { 1, 1 } } });
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
    mOutcomes.OnPeer("vm", { { "u", { 1, 0 } } });
  }
  BOOST_TEST(Rate("u") < 0.4);
}

BOOST_AUTO_TEST_CASE(AVmThatFailsMostCallsReportsNoUpstreams)
{
  // A VM whose network link fails sees all its calls fail. It must not make
  // other VMs avoid healthy upstreams.
  for (const char* id : { "a", "b", "c", "d", "e" }) {
    Call(id, true);
  }
  BOOST_TEST(mOutcomes.Failing(kNow).empty());
  for (const char* id : { "f", "g", "h", "i", "j", "k" }) {
    Call(id, false);
  }
  BOOST_TEST(mOutcomes.Failing(kNow).size() == 5U);
}

BOOST_AUTO_TEST_CASE(AMessageIsLimitedToTheWorstUpstreams)
{
  for (int n = 0; n < 20; ++n) {
    Call("bad" + std::to_string(n), true);
    Call("good" + std::to_string(n), false);
    Call("good2" + std::to_string(n), false);
  }
  Call("bad7", true);
  const CountsByUpstream failing = mOutcomes.Failing(kNow);
  BOOST_TEST(failing.size() == OutcomeBoardSettings().mMaxReportedUpstreams);
  BOOST_TEST(failing.count("bad7") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
