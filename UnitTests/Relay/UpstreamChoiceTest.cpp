/// The choice of an upstream from its load, its zone and how its calls ended.
#define BOOST_TEST_MODULE UpstreamChoice
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UpstreamChoice.h>
#include <Relay/PlainUpstream.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

const TimePoint kNow{ 1h };

struct ChooserFixture
{
  ChooserFixture()
    : mRoster({ 2s })
    , mLoads(LoadBoardSettings())
    , mRandom(3)
    , mChooser(UpstreamChooserSettings(), &mRoster, &mLoads, &mRandom)
  {
    mQuestion.mService = "s";
    mQuestion.mZone = "a";
  }

  std::string Choose(TimePoint aNow = kNow)
  {
    const Choice choice = mChooser.Choose(mQuestion, aNow);
    return choice.mUpstream == nullptr ? ToName(choice.mReason)
                                       : choice.mUpstream->mId;
  }

  void List(std::vector<RelayUpstream> aUpstreams)
  {
    mRoster.OnListed(std::move(aUpstreams), kNow);
  }

  UpstreamRoster mRoster;
  LoadBoard mLoads;
  Random mRandom;
  UpstreamChooser mChooser;
  UpstreamQuery mQuestion;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(TheOwnZoneWhileItIsNotBusier, ChooserFixture)
{
  RelayUpstream far = MakeUpstream("far");
  far.mZone = "b";
  List({ MakeUpstream("near"), far });
  BOOST_TEST(Choose() == "near");
  for (int n = 0; n < 4; ++n) {
    mLoads.OnSent("near", 0);
  }
  BOOST_TEST(Choose() == "far");
}

BOOST_FIXTURE_TEST_CASE(OthersWorkCounts, ChooserFixture)
{
  List({ MakeUpstream("one"), MakeUpstream("two") });
  mLoads.OnPeerWork("vm", { { "one", { 5, 0 } } });
  BOOST_TEST(Choose() == "two");
  mLoads.ForgetPeer("vm");
  mLoads.OnSent("two", 0);
  BOOST_TEST(Choose() == "one");
}

BOOST_FIXTURE_TEST_CASE(WhoFailsManyCallsGetsFewer, ChooserFixture)
{
  // Pattern: a third of the upstreams fail half of what they run.
  List({ MakeUpstream("good"), MakeUpstream("grey") });
  for (int n = 0; n < 6; ++n) {
    mLoads.Outcomes().OnOutcome("grey", n % 2 == 0, kNow);
    mLoads.Outcomes().OnOutcome("good", false, kNow);
  }
  mLoads.OnSent("good", 0);
  mLoads.OnSent("good", 0);
  BOOST_TEST(Choose() == "good");
  BOOST_TEST(mLoads.Outcomes().FailureRate("grey", kNow + 30s) < 0.01);
}

BOOST_FIXTURE_TEST_CASE(FullIsNotTheSameAsNone, ChooserFixture)
{
  BOOST_TEST(Choose() == "no_upstream");
  List({ MakeUpstream("one") });
  for (int n = 0; n < 18; ++n) {
    mLoads.OnSent("one", 0);
  }
  BOOST_TEST(Choose() == "full");
}

BOOST_FIXTURE_TEST_CASE(AvoidedOnesAreTheLastResort, ChooserFixture)
{
  List({ MakeUpstream("one"), MakeUpstream("two") });
  mLoads.OnGone("one", kNow);
  BOOST_TEST(Choose() == "two");
  mLoads.OnGone("two", kNow);
  BOOST_TEST((Choose() == "one" || Choose() == "two"));
  BOOST_TEST(mLoads.FoundGone(kNow).size() == 2U);
  mLoads.OnSuccess("one");
  BOOST_TEST(Choose() == "one");
}

BOOST_FIXTURE_TEST_CASE(MemoryLimitsAnEngine, ChooserFixture)
{
  RelayUpstream engine = MakeUpstream("e");
  engine.mStage = RelayStage::Decode;
  engine.mSlots = 64;
  List({ engine });
  mQuestion.mStage = RelayStage::Decode;
  mQuestion.mMemoryTokens = 10000;
  mQuestion.mTokens = 3000;
  BOOST_TEST(mChooser.CapacityFor(mQuestion, kNow) == 3);
  mLoads.OnSent("e", 7000);
  BOOST_TEST(Choose() == "full");
  mLoads.OnDone("e", 7000);
  mQuestion.mTokens = 20000; // Larger than all: the engine will say so.
  BOOST_TEST(Choose() == "e");
}

BOOST_FIXTURE_TEST_CASE(AnEnginesWordCoversWhatIsNotKnown, ChooserFixture)
{
  RelayUpstream engine = MakeUpstream("e");
  engine.mStage = RelayStage::Decode;
  engine.mSlots = 64;
  List({ engine });
  mQuestion.mStage = RelayStage::Decode;
  mQuestion.mMemoryTokens = 10000;
  mQuestion.mTokens = 3000;
  mLoads.OnLoadStated("e", { 3, 0, 64 }, kNow);
  BOOST_TEST(Choose() == "full");
  BOOST_TEST(Choose(kNow + 2s) == "e");
}

BOOST_FIXTURE_TEST_CASE(WhoFailsTheCallsOfManyVmsIsTheLastResort, ChooserFixture)
{
  // Pattern: an engine of a large fleet fails half of what it is sent, and
  // each VM sends it a call every few seconds.
  List({ MakeUpstream("grey"), MakeUpstream("good") });
  for (int n = 0; n < 6; ++n) {
    mLoads.OnSent("good", 0);
  }
  BOOST_TEST(Choose() == "grey");
  for (const char* vm : { "vm2", "vm3", "vm4" }) {
    mLoads.Outcomes().OnPeer(vm, { { "grey", { 1, 1 } } });
  }
  BOOST_TEST(Choose() == "good");
  mQuestion.mExcludedUpstreams = { "good" };
  BOOST_TEST(Choose() == "grey");
  mQuestion.mExcludedUpstreams.clear();
  for (const char* vm : { "vm2", "vm3", "vm4" }) {
    mLoads.Outcomes().OnPeer(vm, {});
  }
  BOOST_TEST(Choose() == "grey");
}
