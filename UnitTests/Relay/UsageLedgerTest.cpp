/// Allowances over several VMs that hear each other late, not at all, or start
/// anew.
#define BOOST_TEST_MODULE UsageLedger
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UsageLedger.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;

namespace {

constexpr double kRate = 1000;
constexpr double kBurst = 2000;
constexpr Duration kWindow = 8s;
const TimePoint kStart{ 1h };

std::map<std::string, RelayWorkspace>
OneWorkspace(double aRate = kRate, double aBurst = kBurst)
{
  RelayWorkspace workspace;
  workspace.mName = "w";
  workspace.mTokensPerSecond = aRate;
  workspace.mBurstTokens = aBurst;
  return { { "w", workspace } };
}

UsageLedger
MakeLedger()
{
  UsageLedger ledger({ kWindow }, kStart);
  ledger.SetWorkspaces(OneWorkspace());
  return ledger;
}

/// Spends as much as is granted; returns it.
double
SpendAll(UsageLedger& aLedger, TimePoint aNow, double aEach = 100)
{
  double sum = 0;
  while (!aLedger.Spend("w", aEach, aNow)) {
    sum += aEach;
  }
  return sum;
}

} // namespace

BOOST_AUTO_TEST_CASE(AWindowHoldsRateAndBurst)
{
  UsageLedger ledger = MakeLedger();
  const double whole = kRate * 8 + kBurst;
  const double burst = SpendAll(ledger, kStart + 20s);
  BOOST_TEST(burst <= kBurst);
  BOOST_TEST(burst >= kBurst * 0.94);
  double granted = burst;
  for (int step = 1; step <= 79; ++step) {
    granted += SpendAll(ledger, kStart + 20s + step * Duration(100ms));
  }
  BOOST_TEST(granted <= whole);
  BOOST_TEST(granted >= whole * 0.94);
}

BOOST_AUTO_TEST_CASE(WhatIsAskedSteadilyAtTheRateIsGranted)
{
  // Pattern: a workspace asks three times its rate for ten seconds. What lies
  // within its rate is granted all the time, and not in turns of nothing.
  UsageLedger ledger = MakeLedger();
  SpendAll(ledger, kStart + 20s);
  for (int second = 21; second < 40; ++second) {
    const double granted = SpendAll(ledger, kStart + second * Duration(1s));
    BOOST_TEST(granted >= kRate * 0.9);
    BOOST_TEST(granted <= kRate * 1.1);
  }
}

BOOST_AUTO_TEST_CASE(ALargeRequestWaitsForAFullBucketOnly)
{
  UsageLedger ledger = MakeLedger();
  SpendAll(ledger, kStart + 20s);
  const auto wait = ledger.Spend("w", kBurst * 3, kStart + 20s);
  BOOST_REQUIRE(wait.has_value());
  BOOST_TEST((*wait <= 2s));
  BOOST_TEST(!ledger.Spend("w", kBurst * 3, kStart + 20s + *wait));
  BOOST_TEST(SpendAll(ledger, kStart + 25s) == 0); // It has to be earned first.
}

BOOST_AUTO_TEST_CASE(TheWaitIsTrue)
{
  UsageLedger ledger = MakeLedger();
  SpendAll(ledger, kStart + 20s);
  const TimePoint soon = kStart + 20s + 10ms;
  const auto wait = ledger.Spend("w", 100, soon);
  BOOST_REQUIRE(wait.has_value());
  BOOST_TEST(ledger.Spend("w", 100, soon + *wait - 1ms).has_value());
  BOOST_TEST(!ledger.Spend("w", 100, soon + *wait));
}

BOOST_AUTO_TEST_CASE(AStartGivesNobodyASecondBurst)
{
  UsageLedger ledger = MakeLedger();
  BOOST_TEST(SpendAll(ledger, kStart) == 0);
  BOOST_TEST(SpendAll(ledger, kStart + 1s) <= kRate + kBurst / 8);
}

BOOST_AUTO_TEST_CASE(ALowerLimitHoldsAtOnce)
{
  UsageLedger ledger = MakeLedger();
  ledger.SetWorkspaces(OneWorkspace(10, 100));
  BOOST_TEST(SpendAll(ledger, kStart + 20s, 10) <= 180);
}

BOOST_AUTO_TEST_CASE(OthersGrantsCount)
{
  UsageLedger ledger = MakeLedger();
  ledger.OnPeerGranted("p", { { "w", 500 } }, kStart + 20s);
  ledger.OnPeerGranted("p", { { "w", 8500 } }, kStart + 20s);
  BOOST_TEST(SpendAll(ledger, kStart + 20s) <= 2000);
}

BOOST_AUTO_TEST_CASE(WhoIsNotHeardKeepsItsPart)
{
  UsageLedger ledger = MakeLedger();
  ledger.SetHeardPart(0.5);
  BOOST_TEST(SpendAll(ledger, kStart + 20s) <= (kRate * 8 + kBurst) / 2);
}

BOOST_AUTO_TEST_CASE(SmallRequestsFindRoomBesideLargeOnes)
{
  // Pattern: one workspace at eight times its rate, prompts and lookups mixed.
  UsageLedger ledger = MakeLedger();
  SpendAll(ledger, kStart + 20s, 500);
  BOOST_TEST(!ledger.Spend("w", 10, kStart + 20s));
}

BOOST_AUTO_TEST_CASE(WhatHasNotRunIsGivenBack)
{
  UsageLedger ledger = MakeLedger();
  const double granted = SpendAll(ledger, kStart + 20s);
  ledger.Refund("w", granted, kStart + 20s);
  BOOST_TEST(SpendAll(ledger, kStart + 20s) == granted);
  BOOST_TEST(ledger.Granted().at("w") == static_cast<std::int64_t>(granted));
}

BOOST_AUTO_TEST_CASE(NoLimitIsNoLimit)
{
  UsageLedger ledger({ kWindow }, kStart);
  ledger.SetWorkspaces(OneWorkspace(0, 0));
  BOOST_TEST(!ledger.Spend("w", 1e9, kStart));
  BOOST_TEST(!ledger.Spend("unknown", 1e9, kStart));
}

namespace {

/// Several VMs under constant pressure, hearing each other each aInterval.
class Fleet
{
public:
  Fleet(std::size_t aVms, bool aCounts)
    : mCounts(aCounts)
    , mLedgers(aVms, MakeLedger())
  {
  }

  void Tick(TimePoint aNow, const std::vector<bool>& aCut)
  {
    for (std::size_t to = 0; to < mLedgers.size(); ++to) {
      std::size_t heard = 1;
      for (std::size_t from = 0; from < mLedgers.size(); ++from) {
        if (from == to || aCut[from] || aCut[to]) {
          continue;
        }
        ++heard;
        if (mCounts) {
          mLedgers[to].OnPeerGranted(
            std::to_string(from), mLedgers[from].Granted(), aNow);
        }
      }
      mLedgers[to].SetHeardPart(static_cast<double>(heard) /
                                static_cast<double>(mLedgers.size()));
    }
  }

  void Press(std::size_t aVm, double aTokens, TimePoint aNow)
  {
    if (!mLedgers[aVm].Spend("w", aTokens, aNow)) {
      mGrants.push_back({ aNow, aTokens });
    }
  }

  /// The most that any window holds.
  double Worst() const
  {
    double worst = 0;
    for (const auto& first : mGrants) {
      double sum = 0;
      for (const auto& it : mGrants) {
        const bool in =
          it.first >= first.first && it.first < first.first + kWindow;
        sum += in ? it.second : 0;
      }
      worst = std::max(worst, sum);
    }
    return worst;
  }

private:
  bool mCounts;
  std::vector<UsageLedger> mLedgers;
  std::vector<std::pair<TimePoint, double>> mGrants;
};

double
WorstOf(bool aCounts)
{
  const auto vms = *rc::gen::inRange<std::size_t>(2, 7);
  Fleet fleet(vms, aCounts);
  std::vector<bool> cut(vms, false);
  for (int step = 0; step < 120; ++step) {
    const TimePoint now = kStart + 10s + step * Duration(250ms);
    fleet.Tick(now, cut);
    if (*rc::gen::inRange(0, 30) == 0) {
      const auto vm = *rc::gen::inRange<std::size_t>(0, vms);
      cut[vm] = !cut[vm];
    }
    for (std::size_t vm = 0; vm < vms; ++vm) {
      fleet.Press(vm, *rc::gen::inRange(20, 200), now);
    }
  }
  return fleet.Worst();
}

/// The whole, and what every VM may grant unheard in one interval and while a
/// cut isn't noticed.
constexpr double kBound = kRate * 8 + kBurst + 7 * 2 * 200;

} // namespace

RC_BOOST_PROP(AllVmsTogetherKeepToTheWindow, ())
{
  RC_ASSERT(WorstOf(true) <= kBound);
}

BOOST_AUTO_TEST_CASE(VmsThatDoNotCountEachOtherBreakTheBound)
{
  // The naive counterpart: each VM spends the whole by itself.
  Fleet fleet(6, false);
  const std::vector<bool> cut(6, false);
  for (int step = 0; step < 120; ++step) {
    const TimePoint now = kStart + 10s + step * Duration(250ms);
    fleet.Tick(now, cut);
    for (std::size_t vm = 0; vm < 6; ++vm) {
      fleet.Press(vm, 150, now);
    }
  }
  BOOST_TEST(fleet.Worst() > kBound);
}
