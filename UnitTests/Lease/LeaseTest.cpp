/// Tests that no upstream executes an old lease holder's order after a newer
/// holder's, and that requests of terminated instances are found.
#define BOOST_TEST_MODULE Lease
#include <Peridothoist/Peridothoist.h>
#include <Lease/LeaseModel.h>
#include <Peridothoist/Lease/ReclaimPlanner.h>
#include <Support/PropertyRun.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace rc {

template<>
struct Arbitrary<LeaseStep>
{
  static Gen<LeaseStep> arbitrary()
  {
    const auto number = gen::inRange(0u, 10000u);
    return gen::build<LeaseStep>(
      gen::set(&LeaseStep::mOp, gen::inRange(0u, LeaseModel::kOps)),
      gen::set(&LeaseStep::mHolder, number),
      gen::set(&LeaseStep::mDetail, number));
  }
};

} // namespace rc

namespace {

constexpr int kSteps = 250;
constexpr int kCases = 5000;

struct Counts
{
  std::size_t mOrders = 0;
  std::size_t mTakeOvers = 0;
};

void
RunSteps(NaiveLease aNaive, Counts* aCounts)
{
  LeaseModel model(aNaive);
  const auto steps =
    *rc::gen::resize(rc::kNominalSize,
                     rc::gen::container<std::vector<LeaseStep>>(
                       kSteps, rc::gen::arbitrary<LeaseStep>()));
  for (const LeaseStep& step : steps) {
    model.Run(step);
    RC_ASSERT(!model.HasUncheckedOldOrder());
    RC_ASSERT(!model.HasCheckedOldOrder());
  }
  aCounts->mOrders += model.Orders();
  aCounts->mTakeOvers += model.Fence();
}

bool
PropertyHoldsWith(NaiveLease aNaive, Counts* aCounts)
{
  return PropertyHolds([=] { RunSteps(aNaive, aCounts); }, kCases);
}

} // namespace

BOOST_AUTO_TEST_CASE(NoOrderOfAnOldHolderAfterOneOfANewerHolder)
{
  Counts counts;
  BOOST_TEST(PropertyHoldsWith(NaiveLease::None, &counts));
  BOOST_TEST_MESSAGE("orders " << counts.mOrders << ", take-overs "
                               << counts.mTakeOvers);
  BOOST_TEST(counts.mOrders > 1u * kCases);
  BOOST_TEST(counts.mTakeOvers > 2u * kCases);
}

BOOST_AUTO_TEST_CASE(ModelDetectsNaiveHolders)
{
  for (NaiveLease naive : { NaiveLease::NoOrderDelay,
                            NaiveLease::CountFromResponse,
                            NaiveLease::TakeOverAtFirstRead,
                            NaiveLease::CheckBeforePause }) {
    Counts counts;
    BOOST_TEST_CONTEXT("naive holder " << static_cast<int>(naive))
    {
      BOOST_TEST(!PropertyHoldsWith(naive, &counts));
    }
  }
}

BOOST_AUTO_TEST_CASE(TakeOverWithALostResponseIsSettledByReading)
{
  LeaseStateMachine machine({}, "a");
  TimePoint now(std::chrono::hours(1));
  BOOST_TEST((machine.NextAction(now).mKind == LeaseActionKind::Read));
  machine.OnRead({}, now);
  const LeaseAction takeOver = machine.NextAction(now);
  BOOST_TEST((takeOver.mKind == LeaseActionKind::Write));
  BOOST_TEST(takeOver.mRow.mFence == 1u);
  machine.OnWrite(LeaseWriteResult::InDoubt, 0, now);
  BOOST_TEST(!machine.IsHeld(now));

  now += 1s;
  BOOST_TEST((machine.NextAction(now).mKind == LeaseActionKind::Read));
  machine.OnRead({ takeOver.mRow, 17 }, now);
  BOOST_TEST(!machine.IsHeld(now));
  const LeaseAction renewal = machine.NextAction(now);
  BOOST_TEST(renewal.mRow.mFence == 1u);
  BOOST_TEST(renewal.mIfRowVersion == 17u);
  machine.OnWrite(LeaseWriteResult::Committed, 18, now + 1s);
  BOOST_TEST(machine.IsHeld(now + 9s));
  BOOST_TEST(!machine.IsHeld(now + 9500ms));
  BOOST_TEST(machine.MaySendOrder(FenceCheck::Checked, false, now + 2s));
  BOOST_TEST(!machine.MaySendOrder(FenceCheck::Unchecked, true, now + 2s));
  BOOST_TEST(!machine.MaySendOrder(FenceCheck::Unchecked, false, now + 7s));
  BOOST_TEST(machine.MaySendOrder(FenceCheck::Unchecked, true, now + 7s));
}

BOOST_AUTO_TEST_CASE(OnlyRequestsOfTerminatedInstancesAreReclaimed)
{
  const std::vector<HeldRequest> held = {
    { "decode-1", "vm1#1/5/1" },   { "decode-1", "vm1#2/1/1" },
    { "decode-1", "vm1#1/6/2" },   { "decode-2", "vm1#1/7/1" },
    { "decode-2", "unknown/1/1" }, { "decode-2", "malformed" },
    { "decode-2", "/1" },
  };
  const auto orders = PlanReclaim(held, { { "vm1", "vm1#1" } });
  BOOST_TEST(orders.size() == 2u);
  BOOST_TEST(orders[0].mUpstream == "decode-1");
  BOOST_TEST(orders[0].mRequests == 2u);
  BOOST_TEST(orders[1].mEntryInstance == "vm1#1");
  BOOST_TEST((InstanceOfRequest("a/b/1/2") == "a/b"));
}
