/// Tests the freshness rule under network partitions, pauses, joins, restarts,
/// lost and late messages: no VM acts without a change for longer than the
/// staleness limit.
#define BOOST_TEST_MODULE FreshnessRule
#include <Peridothoist/Peridothoist.h>
#include <Support/PropertyRun.h>
#include <View/FreshnessModel.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace rc {

template<>
struct Arbitrary<Step>
{
  static Gen<Step> arbitrary()
  {
    const auto number = gen::inRange(0u, 10000u);
    return gen::build<Step>(
      gen::set(&Step::mOp, gen::inRange(0u, FreshnessModel::kOps)),
      gen::set(&Step::mNode, number),
      gen::set(&Step::mOther, number),
      gen::set(&Step::mDetail, number));
  }
};

} // namespace rc

namespace {

constexpr int kSteps = 120;

std::vector<Step>
AnySteps()
{
  return *rc::gen::resize(
    rc::kNominalSize,
    rc::gen::container<std::vector<Step>>(kSteps, rc::gen::arbitrary<Step>()));
}

std::size_t
RunSteps(Naive aNaive)
{
  FreshnessModel model(aNaive);
  for (const Step& step : AnySteps()) {
    model.Run(step);
    RC_ASSERT(!model.IsAnyVmActingOnStaleView());
  }
  return model.CountChanges();
}

bool
HoldsWith(Naive aNaive, int aCases)
{
  return PropertyHolds([aNaive] { RunSteps(aNaive); }, aCases);
}

constexpr int kNaiveCases = 10000;

} // namespace

BOOST_AUTO_TEST_CASE(NoVmActsWithoutAnEffectiveChange)
{
  std::size_t changes = 0;
  BOOST_TEST(
    PropertyHolds([&changes] { changes += RunSteps(Naive::None); }, 5000));
  BOOST_TEST_MESSAGE("accepted changes in 5000 runs: " << changes);
  BOOST_TEST(changes > 5000u);
}

BOOST_AUTO_TEST_CASE(ModelDetectsNaiveRules)
{
  BOOST_TEST(!HoldsWith(Naive::ResetAges, kNaiveCases));
  BOOST_TEST(!HoldsWith(Naive::TrustRequests, kNaiveCases));
  BOOST_TEST(!HoldsWith(Naive::ListedMembersOnly, kNaiveCases));
  BOOST_TEST(!HoldsWith(Naive::NoInDoubt, kNaiveCases));
  BOOST_TEST(!HoldsWith(Naive::ForgetRestarts, kNaiveCases));
  BOOST_TEST(!HoldsWith(Naive::AnyVersion, kNaiveCases));
}

/// All VMs lose the platform, and one that they don't know joins and reaches
/// it. Without ChangeGuard, it would accept a change that the others miss.
BOOST_AUTO_TEST_CASE(UnknownNewVmCannotAcceptAChange)
{
  for (Naive naive : { Naive::None, Naive::NoChangeGuard }) {
    FreshnessModel model(naive);
    const unsigned newcomer = 3;
    const std::vector<Step> steps = {
      { 10, 0, 0, 0 },       { 10, 1, 0, 0 },        { 10, 2, 0, 0 },
      { 12, 0, 0, 0 },       { 11, newcomer, 0, 1 }, { 4, newcomer, 0, 1 },
      { 7, newcomer, 1, 3 },
    };
    bool isStale = false;
    for (const Step& step : steps) {
      model.Run(step);
    }
    for (int i = 0; i < 10; ++i) {
      model.Advance(500ms);
      model.ExchangeAll();
      isStale = isStale || model.IsAnyVmActingOnStaleView();
    }
    BOOST_TEST(isStale == (naive == Naive::NoChangeGuard));
    BOOST_TEST(model.CountChanges() ==
               (naive == Naive::NoChangeGuard ? 1u : 0u));
  }
}

BOOST_AUTO_TEST_CASE(PlatformOutageLeavesAllViewsFresh)
{
  FreshnessModel model(Naive::None);
  model.Platform().mIsUp = false;
  for (int i = 0; i < 1000; ++i) {
    model.Advance(500ms);
    model.ExchangeAll();
    BOOST_TEST(model.CountFresh() == 3u);
  }
}

BOOST_AUTO_TEST_CASE(OneSilentMemberPreventsTheAgreement)
{
  FreshnessModel model(Naive::None);
  model.Platform().mIsUp = false;
  model.Node(0).mIsPaused = true;
  for (int i = 0; i < 10; ++i) {
    model.Advance(500ms);
    model.ExchangeAll();
  }
  BOOST_TEST(model.CountFresh() == 0u);
}
