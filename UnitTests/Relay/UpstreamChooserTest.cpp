/// Tests the choice of an upstream by load, zone and call outcomes.
#define BOOST_TEST_MODULE UpstreamChooser
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UpstreamChooser.h>
#include <Relay/PlainUpstream.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

const TimePoint kNow{ 1h };

struct ChooserFixture
{
  ChooserFixture()
    : mUpstreamList({ 2s })
    , mLoads(UpstreamLoadTrackerSettings())
    , mRandom(3)
    , mLimiter(UpstreamLimiterSettings())
    , mSpeeds(UpstreamSpeedsSettings())
    , mChooser(UpstreamChooserSettings(),
               &mUpstreamList,
               &mLoads,
               &mLimiter,
               &mSpeeds,
               &mRandom)
  {
    mQuery.mService = "s";
    mQuery.mZone = "a";
  }

  std::string Choose(TimePoint aNow = kNow)
  {
    const Choice choice = mChooser.Choose(mQuery, aNow);
    return choice.mUpstream == nullptr ? ToName(choice.mReason)
                                       : choice.mUpstream->mId;
  }

  void List(std::vector<RelayUpstream> aUpstreams)
  {
    mUpstreamList.OnListRead(std::move(aUpstreams), kNow);
  }

  UpstreamList mUpstreamList;
  UpstreamLoadTracker mLoads;
  Random mRandom;
  UpstreamLimiter mLimiter;
  UpstreamSpeeds mSpeeds;
  UpstreamChooser mChooser;
  UpstreamQuery mQuery;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(TheOwnZoneIsPreferredUnlessItIsBusier, ChooserFixture)
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

BOOST_FIXTURE_TEST_CASE(WorkOfOtherVmsIsCounted, ChooserFixture)
{
  List({ MakeUpstream("one"), MakeUpstream("two") });
  mLoads.OnPeerWork("vm", { { "one", { 5, 0 } } });
  BOOST_TEST(Choose() == "two");
  mLoads.ForgetPeer("vm");
  mLoads.OnSent("two", 0);
  BOOST_TEST(Choose() == "one");
}

BOOST_FIXTURE_TEST_CASE(AnUpstreamThatFailsCallsGetsFewer, ChooserFixture)
{
  // A third of the upstreams fail half of their calls. Such an upstream is
  // avoided even if it is less loaded.
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

BOOST_FIXTURE_TEST_CASE(FullAndMissingUpstreamsAreDistinguished, ChooserFixture)
{
  BOOST_TEST(Choose() == "no_upstream");
  List({ MakeUpstream("one") });
  for (int n = 0; n < 18; ++n) {
    mLoads.OnSent("one", 0);
  }
  BOOST_TEST(Choose() == "full");
}

BOOST_FIXTURE_TEST_CASE(AvoidedUpstreamsAreTheLastResort, ChooserFixture)
{
  List({ MakeUpstream("one"), MakeUpstream("two") });
  mLoads.OnGone("one", kNow);
  BOOST_TEST(Choose() == "two");
  mLoads.OnGone("two", kNow);
  BOOST_TEST((Choose() == "one" || Choose() == "two"));
  BOOST_TEST(mLoads.GoneUpstreams(kNow).size() == 2U);
  mLoads.OnSuccess("one");
  BOOST_TEST(Choose() == "one");
}

// An upstream of another software version is chosen, or its capacity counts.
BOOST_FIXTURE_TEST_CASE(OnlyTheAskedForVersionIsConsidered, ChooserFixture)
{
  RelayUpstream other = MakeUpstream("other");
  other.mSoftwareVersion = "v2";
  RelayUpstream busy = MakeUpstream("busy");
  busy.mSoftwareVersion = "v1";
  List({ other, busy });
  mLoads.OnSent("busy", 0);
  BOOST_TEST(Choose() == "other");
  const double all = mChooser.CapacityFor(mQuery, kNow).mShared;
  mQuery.mSoftwareVersion = "v1";
  BOOST_TEST(Choose() == "busy");
  BOOST_TEST(mChooser.CapacityFor(mQuery, kNow).mShared < all);
  mQuery.mExcludedUpstreams = { "busy" };
  BOOST_TEST(Choose() == "no_upstream");
  mQuery.mExcludedUpstreams.clear();
  mQuery.mSoftwareVersion = "v3";
  BOOST_TEST(Choose() == "no_upstream");
  BOOST_TEST(mChooser.CapacityFor(mQuery, kNow).mShared == 0);
}

BOOST_FIXTURE_TEST_CASE(MemoryLimitsAnEngine, ChooserFixture)
{
  RelayUpstream engine = MakeUpstream("e");
  engine.mStage = RelayStage::Decode;
  engine.mSlots = 64;
  List({ engine });
  mQuery.mStage = RelayStage::Decode;
  mQuery.mEngineMemoryTokens = 10000;
  mQuery.mNeededTokens = 3000;
  BOOST_TEST(mChooser.CapacityFor(mQuery, kNow).mShared == 3);
  mLoads.OnSent("e", 7000);
  BOOST_TEST(Choose() == "full");
  mLoads.OnDone("e", 7000);
  mQuery.mNeededTokens = 20000; // Too large for the engine, which refuses it.
  BOOST_TEST(Choose() == "e");
}

BOOST_FIXTURE_TEST_CASE(StatedLoadCountsUnreportedRequests, ChooserFixture)
{
  RelayUpstream engine = MakeUpstream("e");
  engine.mStage = RelayStage::Decode;
  engine.mSlots = 64;
  List({ engine });
  mQuery.mStage = RelayStage::Decode;
  mQuery.mEngineMemoryTokens = 10000;
  mQuery.mNeededTokens = 3000;
  mLoads.OnLoadStated("e", { 3, 0, 64 }, kNow);
  BOOST_TEST(Choose() == "full");
  BOOST_TEST(Choose(kNow + 2s) == "e");
}

BOOST_FIXTURE_TEST_CASE(AnUpstreamThatFailsManyVmsIsTheLastResort,
                        ChooserFixture)
{
  // An engine of a large fleet fails half of its calls, but each VM calls it
  // only every few seconds, so one VM alone can't detect it.
  List({ MakeUpstream("grey"), MakeUpstream("good") });
  for (int n = 0; n < 6; ++n) {
    mLoads.OnSent("good", 0);
  }
  BOOST_TEST(Choose() == "grey");
  for (const char* vm : { "vm2", "vm3", "vm4" }) {
    mLoads.Outcomes().OnPeerCounts(vm, { { "grey", { 1, 1 } } });
  }
  BOOST_TEST(Choose() == "good");
  mQuery.mExcludedUpstreams = { "good" };
  BOOST_TEST(Choose() == "grey");
  mQuery.mExcludedUpstreams.clear();
  for (const char* vm : { "vm2", "vm3", "vm4" }) {
    mLoads.Outcomes().OnPeerCounts(vm, {});
  }
  BOOST_TEST(Choose() == "grey");
}
