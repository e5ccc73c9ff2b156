/// Tests of the retry budget, the memory reservations, the free-memory
/// estimate, the prefix hints, the selection strategies and the suspect table.
#define BOOST_TEST_MODULE Routing
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Routing/Chooser.h>
#include <Peridothoist/Routing/ReservationPolicy.h>
#include <Peridothoist/Routing/RetryBudget.h>
#include <Peridothoist/Routing/SuspectTable.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <set>

using namespace peridothoist;

namespace {

UpstreamState
MakeEngine(const std::string& aName, std::uint32_t aPieces)
{
  Upstream config;
  config.mName = aName;
  config.mMemoryPieces = aPieces;
  return UpstreamState(config, UpstreamRole::Decode);
}

} // namespace

RC_BOOST_PROP(RetriesAreLimitedToAFractionOfNewRequests, ())
{
  const double fraction = *rc::gen::inRange(0, 50) / 100.0;
  const double burst = *rc::gen::inRange(1, 50);
  RetryBudget budget(fraction, burst);
  int newRequests = 0;
  int retriesAndHedges = 0;
  const int steps = *rc::gen::inRange(0, 500);
  for (int n = 0; n < steps; ++n) {
    const int step = *rc::gen::inRange(0, 3);
    if (step == 0) {
      budget.OnFirstDispatch();
      ++newRequests;
    } else {
      const bool isTaken =
        step == 1 ? budget.TryTakeRetry() : budget.TryTakeHedge();
      retriesAndHedges += isTaken ? 1 : 0;
    }
    RC_ASSERT(retriesAndHedges <= fraction * newRequests + burst + 1e-9);
  }
}

RC_BOOST_PROP(PiecesPerEntryAreTheTotalDividedAndRoundedUp, ())
{
  const auto entries = *rc::gen::inRange<std::uint32_t>(1, 10);
  const auto total = *rc::gen::inRange<std::uint32_t>(1, 100);
  ReservationPolicy policy;
  policy.SetEntryCount(entries);
  RC_ASSERT(policy.PiecesPerEntry(total) * entries >= total);
  RC_ASSERT((policy.PiecesPerEntry(total) - 1) * entries < total);
}

RC_BOOST_PROP(OneEntryNeverReservesMoreThanTheTotal, ())
{
  const auto total = *rc::gen::inRange<std::uint32_t>(1, 40);
  ReservationPolicy policy;
  policy.SetEntryCount(*rc::gen::inRange<std::uint32_t>(1, 10));
  UpstreamState engine = MakeEngine("e", total);
  const TimePoint now{ 1h };
  const auto free = *rc::gen::inRange<std::uint32_t>(0, total + 1);
  engine.OnReport({ free, total, 0, 0, 0us }, now);
  for (std::uint64_t n = 1; n < 100; ++n) {
    const auto pieces = *rc::gen::inRange<std::uint32_t>(1, 6);
    if (policy.MayReserve(engine, pieces)) {
      AttemptUsage usage;
      usage.mPieces = pieces;
      usage.mAt = now + 1ms;
      engine.AddAttempt({ n, 1 }, usage);
    }
    RC_ASSERT(engine.PiecesHeld() <= total);
  }
}

BOOST_AUTO_TEST_CASE(FreePiecesAreTheReportMinusLaterReservations)
{
  UpstreamState engine = MakeEngine("e", 20);
  const TimePoint now{ 1h };
  AttemptUsage before;
  before.mPieces = 3;
  before.mAt = now - 2s;
  engine.AddAttempt({ 1, 1 }, before);
  engine.OnReport({ 8, 20, 0, 0, 1s }, now);
  BOOST_TEST(engine.FreePieces() == 8u);
  AttemptUsage after;
  after.mPieces = 5;
  after.mAt = now - 500ms;
  engine.AddAttempt({ 2, 1 }, after);
  BOOST_TEST(engine.FreePieces() == 3u);
  // A report that was measured before the last one is ignored.
  engine.OnReport({ 20, 20, 0, 0, 2s }, now);
  BOOST_TEST(engine.FreePieces() == 3u);
  engine.OnFull(0u, 100ms, now);
  BOOST_TEST(engine.FreePieces() == 0u);
  BOOST_TEST(!engine.AcceptsRequests(now));
  BOOST_TEST(engine.AcceptsRequests(now + 100ms));
}

BOOST_AUTO_TEST_CASE(EquallyLoadedEnginesAreAllSelected)
{
  // Entries that see the same outdated reports must not all select the same
  // engine.
  std::vector<UpstreamState> engines;
  for (int n = 0; n < 6; ++n) {
    engines.push_back(MakeEngine("e" + std::to_string(n), 20));
  }
  std::vector<UpstreamState*> candidates;
  for (UpstreamState& it : engines) {
    candidates.push_back(&it);
  }
  const PrefixHints hints{ PrefixHintsSettings() };
  const ChoiceQuery query{ &hints, 1, 1000, "z" };
  std::set<std::string> chosen;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    Random random(seed);
    const auto strategy = Chooser::Create("cost");
    chosen.insert(strategy->Choose(candidates, query, random)->mConfig.mName);
  }
  BOOST_TEST(chosen.size() == 6u);
  Random random(1);
  std::set<std::string> chosenByNaive;
  const auto naive = Chooser::Create("least_loaded");
  for (int n = 0; n < 100; ++n) {
    chosenByNaive.insert(
      naive->Choose(candidates, query, random)->mConfig.mName);
  }
  BOOST_TEST(chosenByNaive.size() == 1u);
}

BOOST_AUTO_TEST_CASE(CachedPrefixIsPreferredUntilTheQueueIsLong)
{
  PrefixHints hints{ PrefixHintsSettings() };
  std::vector<UpstreamState> engines;
  for (int n = 0; n < 3; ++n) {
    Upstream config;
    config.mName = "p" + std::to_string(n);
    engines.emplace_back(config, UpstreamRole::Prefill);
  }
  std::vector<UpstreamState*> candidates;
  for (UpstreamState& it : engines) {
    candidates.push_back(&it);
  }
  hints.OnStored(42, "p1");
  const ChoiceQuery query{ &hints, 42, 4000, "" };
  Random random(1);
  const auto strategy = Chooser::Create("cost");
  BOOST_TEST(strategy->Choose(candidates, query, random) == candidates[1]);
  engines[1].OnReport({ 0, 0, 0, 20, 0us }, TimePoint(1h));
  BOOST_TEST(strategy->Choose(candidates, query, random) != candidates[1]);
  hints.OnEvicted(42, "p1");
  BOOST_TEST(hints.Holders(42).empty());
}

RC_BOOST_PROP(HintsStayBounded, ())
{
  const PrefixHintsSettings settings{ 10, 2 };
  PrefixHints hints(settings);
  std::set<std::uint64_t> known;
  for (int n = 0; n < 200; ++n) {
    const auto prefix = *rc::gen::inRange<std::uint64_t>(0, 40);
    const std::string upstream(1, char('a' + *rc::gen::inRange(0, 5)));
    if (*rc::gen::arbitrary<bool>()) {
      hints.OnStored(prefix, upstream);
      RC_ASSERT(hints.IsLikelyCached(prefix, upstream));
    } else {
      hints.OnEvicted(prefix, upstream);
      RC_ASSERT(!hints.IsLikelyCached(prefix, upstream));
    }
    std::size_t held = 0;
    for (std::uint64_t it = 0; it < 40; ++it) {
      RC_ASSERT(hints.Holders(it).size() <= settings.mMaxUpstreamsPerPrefix);
      held += hints.Holders(it).empty() ? 0 : 1;
    }
    RC_ASSERT(held <= settings.mMaxPrefixes);
  }
}

BOOST_AUTO_TEST_CASE(TwoSharedCrashesDoNotQuarantine)
{
  const TimePoint now{ 1h };
  SuspectTable suspects{ SuspectTableSettings() };
  BOOST_TEST(suspects.OnCrash({ "a", "b" }, now).empty());
  BOOST_TEST(suspects.OnCrash({ "a", "c" }, now).empty());
  BOOST_TEST(suspects.IsSuspect("a", now));
  BOOST_TEST(!suspects.QuarantinedUntil("a", now).has_value());
  const auto quarantined = suspects.OnCrash({ "a" }, now);
  BOOST_TEST(quarantined.size() == 1u);
  BOOST_TEST(suspects.QuarantinedUntil("a", now).has_value());
  suspects.OnFinished("b");
  BOOST_TEST(!suspects.IsSuspect("b", now));
}

RC_BOOST_PROP(SuspectTableStaysBounded, ())
{
  SuspectTableSettings settings;
  settings.mMaxEntries = 8;
  SuspectTable suspects(settings);
  TimePoint now{ 1h };
  for (int n = 0; n < 100; ++n) {
    now += Duration(*rc::gen::inRange(0, 100000000));
    const std::string digest = std::to_string(*rc::gen::inRange(0, 30));
    suspects.OnCrash({ digest, "other" }, now);
    RC_ASSERT(suspects.IsSuspect(digest, now));
    RC_ASSERT(suspects.Size() <= settings.mMaxEntries);
  }
}
