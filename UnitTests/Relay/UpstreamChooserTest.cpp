/// Tests the choice of an upstream by load, zone and call outcomes.
#define BOOST_TEST_MODULE UpstreamChooser
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/DurationUnits.h>
#include <Peridothoist/Relay/PrefillPlanner.h>
#include <Peridothoist/Relay/UpstreamChooser.h>
#include <Relay/PlainUpstream.h>

#include <boost/test/unit_test.hpp>

#include <deque>

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

  /// Lists engines and lets them state how long work takes there.
  void ListEngines(RelayStage aStage,
                   const std::map<std::string, std::uint32_t>& aPercent)
  {
    std::vector<RelayUpstream> engines;
    for (const auto& [id, percent] : aPercent) {
      engines.push_back(MakeUpstream(id));
      engines.back().mStage = aStage;
      engines.back().mSlots = 64;
      const bool isPrefill = aStage == RelayStage::Prefill;
      const SpeedSubject subject{
        id, "s", isPrefill ? WorkKind::Prefill : WorkKind::Decode, 0
      };
      for (Duration ago = 4s; ago >= 1s; ago -= 100ms) {
        mSpeeds.OnStated(subject, percent, kNow - ago);
      }
    }
    List(engines);
    mQuery.mStage = aStage;
    mSpeeds.Update(kNow);
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

constexpr double kTokensPerSecond = 10000; ///< Of an engine of factor 1.

/// Prefill engines that read one prompt after the other, and prompts that
/// arrive at random.
class PrefillPlay
{
public:
  PrefillPlay(ChooserFixture& aFixture,
              const std::map<std::string, double>& aFactors)
    : mFixture(aFixture)
    , mFactors(aFactors)
  {
  }

  /// Places prompts for aFor at a fraction of what the engines can read.
  void Run(Duration aFor, double aLoad)
  {
    constexpr double kMeanTokens = 1000;
    double rate = 0; // Prompts a second.
    for (const auto& [id, factor] : mFactors) {
      rate += aLoad * kTokensPerSecond / factor / kMeanTokens;
    }
    for (double left = ToSeconds(aFor); left > 0;) {
      const double gap = mFixture.mRandom.Exponential(1 / rate);
      left -= gap;
      mNow += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap));
      Finish();
      Place(256 + static_cast<std::uint64_t>(
                    mFixture.mRandom.Exponential(kMeanTokens - 256)));
    }
  }

  /// Seconds that prompts waited while another engine was idle: the longest.
  double mLongestWaitInVain = 0;
  std::map<std::string, double> mWaited; ///< Sum of seconds, by engine.
  std::map<std::string, int> mPlaced;    ///< Prompts, by engine.

private:
  struct Prompt
  {
    std::uint64_t mTokens;
    TimePoint mStart; ///< Of its reading.
    TimePoint mEnd;
  };

  void Finish()
  {
    for (auto& [id, prompts] : mPrompts) {
      while (!prompts.empty() && prompts.front().mEnd <= mNow) {
        mFixture.mLoads.OnDone(id, prompts.front().mTokens);
        prompts.pop_front();
      }
    }
  }

  void Place(std::uint64_t aTokens)
  {
    mFixture.mQuery.mPromptTokens = aTokens;
    const std::string id = mFixture.Choose(mNow);
    std::deque<Prompt>& prompts = mPrompts[id];
    const TimePoint start = prompts.empty() ? mNow : prompts.back().mEnd;
    const auto time =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        static_cast<double>(aTokens) * mFactors.at(id) / kTokensPerSecond));
    prompts.push_back({ aTokens, start, start + time });
    mFixture.mLoads.OnSent(id, aTokens);
    mWaited[id] += ToSeconds(start - mNow);
    ++mPlaced[id];
    // An idle engine stays so for other prompts that wait.
    for (const auto& [other, factor] : mFactors) {
      if (mPrompts[other].empty()) {
        for (const auto& [busy, waiting] : mPrompts) {
          for (const Prompt& it : waiting) {
            mLongestWaitInVain =
              std::max(mLongestWaitInVain, ToSeconds(it.mStart - mNow));
          }
        }
      }
    }
  }

  ChooserFixture& mFixture;
  std::map<std::string, double> mFactors;
  std::map<std::string, std::deque<Prompt>> mPrompts; ///< By engine.
  TimePoint mNow = kNow;
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

// Engines of factors 0.7, 0.7 and 1.7 near their capacity: prompts wait a
// second at the slow one while a fast one is idle, or the slow one is unused.
BOOST_FIXTURE_TEST_CASE(UnevenPrefillEnginesFinishAlike, ChooserFixture)
{
  ListEngines(RelayStage::Prefill, { { "a", 70 }, { "b", 70 }, { "c", 170 } });
  PrefillPlay play(*this, { { "a", 0.7 }, { "b", 0.7 }, { "c", 1.7 } });
  play.Run(60s, 0.85);
  BOOST_TEST(play.mLongestWaitInVain < 0.5);
  BOOST_TEST(play.mPlaced["c"] * 4 > play.mPlaced["a"]);
  const auto waitAt = [&](const char* aId) {
    return play.mWaited[aId] / play.mPlaced[aId];
  };
  BOOST_TEST_MESSAGE("waits "
                     << waitAt("a") << ' ' << waitAt("b") << ' ' << waitAt("c")
                     << ", in vain " << play.mLongestWaitInVain << ", placed "
                     << play.mPlaced["a"] << ' ' << play.mPlaced["b"] << ' '
                     << play.mPlaced["c"]);
  BOOST_TEST(waitAt("c") < 1.5 * waitAt("a"));
}

// One long prompt at an engine counts as little as a short one at another.
BOOST_FIXTURE_TEST_CASE(PromptsAvoidALongBacklog, ChooserFixture)
{
  ListEngines(RelayStage::Prefill,
              { { "a", 100 }, { "b", 100 }, { "c", 170 } });
  mQuery.mPromptTokens = 500;
  mLoads.OnSent("a", 8000);
  mLoads.OnPeerWork("vm", { { "b", { 2, 600 } } });
  mLoads.OnSent("c", 2000);
  BOOST_TEST(Choose() == "b");
}

// Streams are divided by count, so that those of a slow engine lag.
BOOST_FIXTURE_TEST_CASE(ASlowDecodeEngineGetsFewerStreams, ChooserFixture)
{
  ListEngines(RelayStage::Decode, { { "fast", 70 }, { "slow", 170 } });
  std::map<std::string, int> chosen;
  for (int n = 0; n < 24; ++n) {
    const std::string id = Choose();
    ++chosen[id];
    mLoads.OnSent(id, 100);
  }
  BOOST_TEST(chosen["fast"] == 17);
  BOOST_TEST(chosen["slow"] == 7);
}

// Where no speeds differ, the score differs from that of earlier builds, and
// margins such as the zone preference have another effect.
BOOST_FIXTURE_TEST_CASE(WithoutKnownSpeedsRequestsAreCounted, ChooserFixture)
{
  ListEngines(RelayStage::Prefill, { { "a", 100 }, { "b", 95 } });
  mQuery.mPromptTokens = 500;
  mLoads.OnSent("a", 8000);
  mLoads.OnSent("b", 100);
  mLoads.OnSent("b", 100);
  const Choice choice = mChooser.Choose(mQuery, kNow);
  BOOST_TEST(choice.mUpstream->mId == "a");
  BOOST_TEST(choice.mScore == 1);
}

// A slow prefill engine is given as many prompts as others, which then wait
// longer than the decode engine would take to read them.
BOOST_AUTO_TEST_CASE(ASlowPrefillEngineIsUsedForFewer)
{
  const PrefillPlanner planner{ PrefillPlannerSettings() };
  PrefillQuery query;
  query.mPromptTokens = 1000;
  query.mPrefillWork = UpstreamWork{ 4, 4000 };
  BOOST_TEST(planner.ShouldUsePrefillEngine(query));
  query.mPrefillFactor = 0.7;
  BOOST_TEST(planner.ShouldUsePrefillEngine(query));
  query.mPrefillFactor = 1.7;
  BOOST_TEST(!planner.ShouldUsePrefillEngine(query));
}
