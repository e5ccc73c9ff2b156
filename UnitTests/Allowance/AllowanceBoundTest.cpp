/// Tests that all entries together never grant a workspace more than its rate
/// and burst, whatever fails, and counts the requests that are refused though
/// the workspace has tokens left.
#define BOOST_TEST_MODULE AllowanceBound
#include <Peridothoist/Peridothoist.h>
#include <Allowance/AllowanceModel.h>
#include <Peridothoist/Core/Random.h>
#include <Support/PropertyRun.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace rc {

template<>
struct Arbitrary<AllowanceStep>
{
  static Gen<AllowanceStep> arbitrary()
  {
    const auto number = gen::inRange(0u, 10000u);
    return gen::build<AllowanceStep>(
      gen::set(&AllowanceStep::mOp, gen::inRange(0u, AllowanceModel::kOps)),
      gen::set(&AllowanceStep::mEntry, number),
      gen::set(&AllowanceStep::mOther, number),
      gen::set(&AllowanceStep::mDetail, number));
  }
};

} // namespace rc

namespace {

constexpr int kSteps = 150;
constexpr int kCases = 5000;
constexpr int kNaiveCases = 30000; // Ends at the first failing case.

struct Counts
{
  std::size_t mGranted = 0;
  std::size_t mRefused = 0;
  std::size_t mWronglyRefused = 0;
};

void
RunSteps(NaiveAllowance aNaive, const std::string& aStrategy, Counts* aCounts)
{
  AllowanceModel model(aNaive, aStrategy);
  const auto steps =
    *rc::gen::resize(rc::kNominalSize,
                     rc::gen::container<std::vector<AllowanceStep>>(
                       kSteps, rc::gen::arbitrary<AllowanceStep>()));
  for (const AllowanceStep& step : steps) {
    model.Run(step);
    RC_ASSERT(model.IsWithinBound());
  }
  aCounts->mGranted += model.Granted();
  aCounts->mRefused += model.Refused();
  aCounts->mWronglyRefused += model.WronglyRefused();
}

bool
HoldsWith(NaiveAllowance aNaive,
          const std::string& aStrategy,
          int aCases,
          Counts* aCounts)
{
  return PropertyHolds([=] { RunSteps(aNaive, aStrategy, aCounts); }, aCases);
}

void
Report(const std::string& aWhat, const Counts& aCounts)
{
  BOOST_TEST_MESSAGE(aWhat << ": granted " << aCounts.mGranted << ", refused "
                           << aCounts.mRefused << ", of these wrongly "
                           << aCounts.mWronglyRefused);
}

/// Runs without faults, with callers at 0.8 of the rate and most of them at
/// one entry.
Counts
RunSkewed(const std::string& aStrategy)
{
  AllowanceModel model(NaiveAllowance::None, aStrategy);
  Random random(20261203);
  for (std::size_t i = 0; i < AllowanceModel::kEntries; ++i) {
    model.SetDemandRate(i, i == 0 ? 64 : 4);
  }
  for (int i = 0; i < 20000; ++i) {
    model.Advance(
      std::chrono::milliseconds(static_cast<int>(random.Exponential(125))));
    model.ConfirmAll();
    model.SendReturns();
    const bool isSkewed = random.UniformBelow(10) < 8;
    const std::size_t entry =
      isSkewed ? 0 : random.UniformBelow(AllowanceModel::kEntries);
    model.Request(entry, 10, true);
    BOOST_REQUIRE(model.IsWithinBound());
  }
  return { model.Granted(), model.Refused(), model.WronglyRefused() };
}

} // namespace

BOOST_AUTO_TEST_CASE(AllEntriesTogetherStayWithinTotalRateAndBurst)
{
  Counts demand;
  BOOST_TEST(HoldsWith(NaiveAllowance::None, "demand", kCases, &demand));
  Report("under faults, shares by demand", demand);
  Counts equal;
  BOOST_TEST(HoldsWith(NaiveAllowance::None, "equal", kCases, &equal));
  Report("under faults, equal shares", equal);
  BOOST_TEST(demand.mGranted > 10u * kCases);
}

BOOST_AUTO_TEST_CASE(ModelDetectsNaiveImplementations)
{
  for (NaiveAllowance naive : { NaiveAllowance::FullRateEverywhere,
                                NaiveAllowance::DuplicatesCount,
                                NaiveAllowance::AnyInstance,
                                NaiveAllowance::AnyEpoch,
                                NaiveAllowance::RaiseAtOnce,
                                NaiveAllowance::NeverStale }) {
    Counts counts;
    BOOST_TEST_CONTEXT("naive strategy " << static_cast<int>(naive))
    {
      BOOST_TEST(!HoldsWith(naive, "demand", kNaiveCases, &counts));
    }
  }
}

BOOST_AUTO_TEST_CASE(SkewedCallersWithinTheRate)
{
  const Counts demand = RunSkewed("demand");
  const Counts equal = RunSkewed("equal");
  Report("skewed callers, shares by demand", demand);
  Report("skewed callers, equal shares", equal);
  BOOST_TEST(demand.mWronglyRefused < equal.mWronglyRefused);
}
