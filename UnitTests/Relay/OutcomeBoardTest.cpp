/// What all VMs' calls tell of upstreams that fail.
#define BOOST_TEST_MODULE OutcomeBoard
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/OutcomeBoard.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;

namespace {

const TimePoint kNow{ 1h };

struct BoardFixture
{
  void Call(const std::string& aUpstream, bool aFailed)
  {
    mBoard.OnOutcome(aUpstream, aFailed, kNow);
  }
  double Rate(const std::string& aUpstream, TimePoint aNow = kNow) const
  {
    return mBoard.FailureRate(aUpstream, aNow);
  }

  OutcomeBoard mBoard{ OutcomeBoardSettings() };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Outcomes, BoardFixture)

BOOST_AUTO_TEST_CASE(OneFailureProvesLittleAndIsForgotten)
{
  Call("u", true);
  BOOST_TEST(Rate("u") < 0.4);
  BOOST_TEST(Rate("u", kNow + 30s) < 0.01);
  BOOST_TEST(mBoard.Failing(kNow).count("u") == 1U);
  BOOST_TEST(mBoard.Failing(kNow + 30s).empty());
}

BOOST_AUTO_TEST_CASE(WhatManyVmsMeetAddsUp)
{
  for (int n = 0; n < 20; ++n) {
    mBoard.OnPeer("vm" + std::to_string(n), { { "u", { 1, 1 } } });
  }
  BOOST_TEST(Rate("u") > 0.45);
  BOOST_TEST(Rate("other") == 0);
  for (int n = 0; n < 20; ++n) {
    mBoard.ForgetPeer("vm" + std::to_string(n));
  }
  BOOST_TEST(Rate("u") == 0);
}

BOOST_AUTO_TEST_CASE(OnlyTheNewestWordOfAVmCounts)
{
  for (int n = 0; n < 20; ++n) {
    mBoard.OnPeer("vm", { { "u", { 1, 0 } } });
  }
  BOOST_TEST(Rate("u") < 0.4);
}

BOOST_AUTO_TEST_CASE(AVmWithTroubleOfItsOwnAccusesNobody)
{
  // Pattern: a VM's link is cut, and all its calls fail.
  for (const char* id : { "a", "b", "c", "d", "e" }) {
    Call(id, true);
  }
  BOOST_TEST(mBoard.Failing(kNow).empty());
  for (const char* id : { "f", "g", "h", "i", "j", "k" }) {
    Call(id, false);
  }
  BOOST_TEST(mBoard.Failing(kNow).size() == 5U);
}

BOOST_AUTO_TEST_CASE(AMessageHoldsTheWorst)
{
  for (int n = 0; n < 20; ++n) {
    Call("bad" + std::to_string(n), true);
    Call("good" + std::to_string(n), false);
    Call("good2" + std::to_string(n), false);
  }
  Call("bad7", true);
  const CountsByUpstream failing = mBoard.Failing(kNow);
  BOOST_TEST(failing.size() == OutcomeBoardSettings().mMaxReportedUpstreams);
  BOOST_TEST(failing.count("bad7") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
