/// Tests what is learnt of upstreams' speeds. Each test names the load or the
/// failure that it guards against.
#define BOOST_TEST_MODULE UpstreamSpeeds
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Routing/UpstreamSpeeds.h>

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace peridothoist;

namespace {

constexpr double kTypicalSeconds = 0.1; ///< For one unit of work.
constexpr std::uint64_t kProcess = 7;

SpeedSubject
Subject(const std::string& aId, std::uint64_t aProcess = kProcess)
{
  return { aId, "chat", WorkKind::Prefill, aProcess };
}

struct SpeedsFixture
{
  SpeedsFixture()
    : mSpeeds(UpstreamSpeedsSettings())
    , mRandom(5)
  {
  }

  /// Measures one call to each upstream every 300 ms. aLateness: factor of this
  /// VM's own measurements.
  void Measure(const std::map<std::string, double>& aFactors,
               Duration aFor,
               double aLateness = 1)
  {
    for (const TimePoint end = mNow + aFor; mNow < end; mNow += 300ms) {
      for (const auto& [id, factor] : aFactors) {
        const double noise = std::exp(0.4 * (mRandom.UniformFraction() - 0.5));
        mSpeeds.OnMeasured(
          Subject(id), kTypicalSeconds * factor * aLateness * noise, mNow);
      }
    }
    mSpeeds.Update(mNow);
  }

  double FactorOf(const std::string& aId)
  {
    return mSpeeds.FactorOf(aId, mNow);
  }

  UpstreamSpeeds mSpeeds;
  Random mRandom;
  TimePoint mNow{ 1h };
};

const std::map<std::string, double> kUneven = { { "a", 0.7 },
                                                { "b", 0.7 },
                                                { "c", 1.7 } };
const std::map<std::string, double> kEven = { { "a", 1 },
                                              { "b", 1 },
                                              { "c", 1 } };

} // namespace

// Uneven engines of one service that state nothing are treated as equal.
BOOST_FIXTURE_TEST_CASE(MeasuredTimesShowUnevenEngines, SpeedsFixture)
{
  Measure(kUneven, 2s);
  BOOST_TEST(!mSpeeds.Differ("chat", WorkKind::Prefill)); // Too few samples.
  BOOST_TEST(FactorOf("c") == 1);
  Measure(kUneven, 20s);
  BOOST_TEST(mSpeeds.Differ("chat", WorkKind::Prefill));
  BOOST_TEST(!mSpeeds.Differ("chat", WorkKind::Decode));
  BOOST_TEST(FactorOf("c") / FactorOf("a") == 1.7 / 0.7,
             boost::test_tools::tolerance(0.15));
  BOOST_TEST(FactorOf("a") == FactorOf("b"), boost::test_tools::tolerance(0.1));
}

// Chance makes equal upstreams look uneven: callers of plain upstreams ask for
// work of very different sizes.
BOOST_FIXTURE_TEST_CASE(EqualUpstreamsOfUnequalWorkStayEqual, SpeedsFixture)
{
  for (int round = 0; round < 1000; ++round, mNow += 300ms) {
    for (const char* id : { "a", "b", "c", "d" }) {
      mSpeeds.OnMeasured(Subject(id), mRandom.Exponential(0.2), mNow);
    }
    mSpeeds.Update(mNow);
    BOOST_REQUIRE(!mSpeeds.Differ("chat", WorkKind::Prefill));
  }
}

// A stall of a second, in which all calls take long, is taken for slowness.
BOOST_FIXTURE_TEST_CASE(AStallIsNotSlowness, SpeedsFixture)
{
  Measure(kEven, 20s);
  for (Duration left = 1s; left > Duration(0); left -= 50ms, mNow += 50ms) {
    mSpeeds.OnMeasured(Subject("a"), kTypicalSeconds + 1, mNow);
  }
  mSpeeds.Update(mNow);
  BOOST_TEST(!mSpeeds.Differ("chat", WorkKind::Prefill));
  Measure(kEven, 5s);
  BOOST_TEST(FactorOf("a") == 1);
}

// The same while the upstream is being learnt.
BOOST_FIXTURE_TEST_CASE(AStallAtTheStartIsNotSlowness, SpeedsFixture)
{
  for (int n = 0; n < 5; ++n, mNow += 250ms) {
    mSpeeds.OnMeasured(Subject("a"), kTypicalSeconds + 1, mNow);
  }
  Measure(kEven, 20s);
  BOOST_TEST(!mSpeeds.Differ("chat", WorkKind::Prefill));
}

// A stream's pause of a second counts as its pace.
BOOST_AUTO_TEST_CASE(ALongGapIsNotThePaceOfAStream)
{
  EventPace pace;
  TimePoint now{ 1h };
  std::optional<Duration> measured;
  for (int n = 0; n < 17; ++n) {
    BOOST_TEST(!measured.has_value());
    measured = pace.OnEvent(now);
    now += n == 7 ? 1000ms : 30ms;
  }
  BOOST_REQUIRE(measured.has_value());
  BOOST_TEST((*measured == 30ms));
}

// A VM whose event loop is late measures long times everywhere, and those of
// the upstreams that it calls most would count as slow.
BOOST_FIXTURE_TEST_CASE(ALateVmMakesNoUpstreamSlow, SpeedsFixture)
{
  Measure(kEven, 20s);
  Measure(kEven, 20s, 1.8);
  BOOST_TEST(!mSpeeds.Differ("chat", WorkKind::Prefill));
  Measure(kUneven, 30s, 1.8);
  BOOST_TEST(FactorOf("c") / FactorOf("a") == 1.7 / 0.7,
             boost::test_tools::tolerance(0.2));
}

// An upstream that was slow once stays slow for ever.
BOOST_FIXTURE_TEST_CASE(AChangeIsLearnt, SpeedsFixture)
{
  Measure(kUneven, 20s);
  Measure({ { "a", 0.7 }, { "b", 1.7 }, { "c", 0.7 } }, 30s);
  BOOST_TEST(FactorOf("b") > 1.3);
  BOOST_TEST(FactorOf("c") < 0.9);
  mNow += 5min; // Without any requests.
  mSpeeds.Update(mNow);
  BOOST_TEST(FactorOf("b") == 1);
  BOOST_TEST(mSpeeds.KnownRange().mKnown == 0U);
}

// Stated work times change many times a second; one value is no speed.
BOOST_FIXTURE_TEST_CASE(StatedTimesAreAveraged, SpeedsFixture)
{
  for (int n = 0; n < 200; ++n, mNow += 60ms) {
    mSpeeds.OnStated(Subject("a"), n % 2 == 0 ? 40 : 100, mNow);
    mSpeeds.OnStated(Subject("c"), n % 2 == 0 ? 120 : 220, mNow);
  }
  mSpeeds.Update(mNow);
  mNow += 200ms;
  BOOST_TEST(FactorOf("a") == 0.7, boost::test_tools::tolerance(0.1));
  BOOST_TEST(FactorOf("c") == 1.7, boost::test_tools::tolerance(0.1));
  mSpeeds.OnStated(Subject("c"), 100, mNow);
  BOOST_TEST(FactorOf("c") < 1.5); // The single value, while it is fresh.
  mNow += 100ms;
  BOOST_TEST(FactorOf("c") > 1.5);
}

// Invalid statements ("0", a number beyond measure) stop requests to an
// upstream, or send all to it.
BOOST_FIXTURE_TEST_CASE(StatedTimesAreClamped, SpeedsFixture)
{
  for (int n = 0; n < 50; ++n, mNow += 60ms) {
    mSpeeds.OnStated(Subject("a"), 0, mNow);
    mSpeeds.OnStated(Subject("b"), 4000000000, mNow);
  }
  mSpeeds.Update(mNow);
  BOOST_TEST(FactorOf("a") == 0.25, boost::test_tools::tolerance(0.001));
  BOOST_TEST(FactorOf("b") == 4, boost::test_tools::tolerance(0.001));
}

// The speed of a process that was replaced holds for its successor.
BOOST_FIXTURE_TEST_CASE(AReplacedProcessIsForgotten, SpeedsFixture)
{
  Measure(kUneven, 20s);
  const SpeedsByUpstream old = mSpeeds.OwnSpeeds();
  BOOST_TEST(old.count("c") == 1U);
  mSpeeds.Forget("c");
  BOOST_TEST(FactorOf("c") == 1);
  // A peer that has not heard of it yet.
  mSpeeds.OnPeerSpeed(Subject("c", kProcess + 1), old.at("c"), mNow);
  mSpeeds.Update(mNow);
  BOOST_TEST(FactorOf("c") == 1);
}

// A VM that has just started sends to slow engines as to others.
BOOST_FIXTURE_TEST_CASE(AStartingVmLearnsFromPeers, SpeedsFixture)
{
  Measure(kUneven, 20s);
  UpstreamSpeeds started{ UpstreamSpeedsSettings() };
  for (const auto& [id, speed] : mSpeeds.OwnSpeeds()) {
    started.OnPeerSpeed(Subject(id), speed, mNow);
  }
  const std::vector<SpeedChange> changes = started.Update(mNow);
  BOOST_TEST(changes.size() == 3U);
  BOOST_TEST((changes[0].mSource == SpeedSource::Peers));
  BOOST_TEST(started.FactorOf("c", mNow) == FactorOf("c"),
             boost::test_tools::tolerance(0.01));
  BOOST_TEST(started.OwnSpeeds().empty()); // Only what it learnt itself.
}

// Figures of a peer that is gone, or has not sent there for long, hold for
// ever, or outweigh what this VM measures.
BOOST_FIXTURE_TEST_CASE(OldFiguresOfPeersFade, SpeedsFixture)
{
  const ReportedSpeed slow{ 3, 64, ProcessTagOf(kProcess) };
  mSpeeds.OnPeerSpeed(Subject("a"), slow, mNow);
  mSpeeds.Update(mNow);
  BOOST_TEST(FactorOf("a") == 3);
  Measure(kEven, 20s);
  BOOST_TEST(FactorOf("a") < 1.6);
  Measure(kEven, 30s);
  BOOST_TEST(FactorOf("a") == 1);
}

// One line is logged for each small change.
BOOST_FIXTURE_TEST_CASE(OnlyLargeChangesAreReported, SpeedsFixture)
{
  Measure(kUneven, 20s);
  std::size_t changes = 0;
  for (int n = 0; n < 100; ++n, mNow += 300ms) {
    for (const auto& [id, factor] : kUneven) {
      mSpeeds.OnMeasured(Subject(id), kTypicalSeconds * factor, mNow);
    }
    changes += mSpeeds.Update(mNow).size();
  }
  BOOST_TEST(changes <= 1U);
}

// Messages grow with the number of upstreams.
BOOST_AUTO_TEST_CASE(AMessageTellsSomeUpstreamsInTurn)
{
  SpeedsByUpstream all;
  for (char id = 'a'; id <= 'e'; ++id) {
    all[std::string(1, id)] = { 2, 20, 1 };
  }
  const SpeedsByUpstream some = SelectSpeeds(all, 2, 4);
  BOOST_TEST(some.size() == 2U);
  BOOST_TEST(some.count("e") == 1U);
  BOOST_TEST(some.count("a") == 1U);
  BOOST_TEST(SelectSpeeds(all, 16, 3).size() == 5U);
  BOOST_TEST(SelectSpeeds({}, 16, 3).empty());
}

// In a cell's summary, a VM with few samples outweighs one with many, or the
// figures of two processes mix.
BOOST_AUTO_TEST_CASE(SummariesWeightBySamples)
{
  SpeedsByUpstream sum;
  MergeSpeeds(sum, { { "a", { 1, 10, 1 } } });
  MergeSpeeds(sum, { { "a", { 2, 30, 1 } } });
  BOOST_TEST(sum.at("a").mFactor == 1.75);
  BOOST_TEST(sum.at("a").mSamples == 40U);
  MergeSpeeds(sum, { { "a", { 3, 5, 2 } } });
  BOOST_TEST(sum.at("a").mFactor == 3);
}
