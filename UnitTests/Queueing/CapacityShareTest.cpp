/// Tests how VMs divide the free capacity of a service between the requests
/// that wait for it at all of them.
#define BOOST_TEST_MODULE CapacityShare
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Queueing/CapacityShare.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <vector>

using namespace peridothoist;

namespace {

constexpr UrgencyLevel kUrgent{ false, 0 };
constexpr UrgencyLevel kOrdinary{ false, 1 };
constexpr UrgencyLevel kLateUrgent{ true, 0 };

} // namespace

// Guards against a VM that has only less urgent requests and takes the capacity
// for which urgent ones wait elsewhere.
BOOST_AUTO_TEST_CASE(CapacityIsLeftToMoreUrgentRequestsElsewhere)
{
  const DemandByLevel demand = { { kUrgent, { 0, 3 } },
                                 { kOrdinary, { 4, 0 } } };
  BOOST_TEST(ShareCapacity(3, demand).at(kOrdinary) == 0.0);
  BOOST_TEST(ShareCapacity(5, demand).at(kOrdinary) == 2.0);
}

// Guards against capacity that nobody uses, since each VM leaves it to others.
BOOST_AUTO_TEST_CASE(AllVmsTogetherUseAllCapacity)
{
  const DemandByLevel here = { { kUrgent, { 1, 2 } }, { kOrdinary, { 5, 1 } } };
  const DemandByLevel there = { { kUrgent, { 2, 1 } },
                                { kOrdinary, { 1, 5 } } };
  double sum = 0;
  for (const DemandByLevel& it : { here, there }) {
    for (const auto& [level, share] : ShareCapacity(7, it)) {
      sum += share;
    }
  }
  BOOST_TEST(sum == 7.0, boost::test_tools::tolerance(1e-9));
}

// Guards against late requests that are started before some that can still be
// in time, since these are worth little.
BOOST_AUTO_TEST_CASE(LateRequestsComeAfterThoseInTime)
{
  const DemandByLevel demand = { { kOrdinary, { 2, 0 } },
                                 { kLateUrgent, { 2, 0 } } };
  const auto shares = ShareCapacity(3, demand);
  BOOST_TEST(shares.at(kOrdinary) == 2.0);
  BOOST_TEST(shares.at(kLateUrgent) == 1.0);
}

// Guards against a request that is refused for a queue that it would pass, and
// against one that is accepted for a queue that never ends.
BOOST_AUTO_TEST_CASE(OnlyRequestsThatGoBeforeCountAsAhead)
{
  const DemandByLevel demand = { { kUrgent, { 1, 4 } },
                                 { kOrdinary, { 2, 6 } },
                                 { kLateUrgent, { 9, 9 } } };
  BOOST_TEST(CountAhead(demand, kUrgent, false) == 5U);
  BOOST_TEST(CountAhead(demand, kUrgent, true) == 0U);
  BOOST_TEST(CountAhead(demand, kOrdinary, false) == 13U);
  BOOST_TEST(CountAhead(demand, kLateUrgent, true) == 13U);
}

// Guards against services that are ordered by priority although all that wait
// have the same one.
BOOST_AUTO_TEST_CASE(RequestsOfOnePriorityDoNotDiffer)
{
  const DemandByLevel demand = { { kUrgent, { 1, 0 } },
                                 { kLateUrgent, { 0, 1 } },
                                 { kOrdinary, { 0, 0 } } };
  BOOST_TEST(!DiffersInPriority(demand, 0));
  BOOST_TEST(DiffersInPriority(demand, 1));
}

// Guards against shares of all VMs that exceed the capacity, or against a less
// urgent level that gets some while a more urgent one lacks.
RC_BOOST_PROP(SharesFollowUrgencyAndNeverExceedTheCapacity, ())
{
  const double capacity = *rc::gen::inRange(0, 40);
  DemandByLevel demand;
  for (std::uint32_t priority = 0; priority < 4; ++priority) {
    demand[{ false, priority }] = {
      static_cast<std::size_t>(*rc::gen::inRange(0, 9)),
      static_cast<std::size_t>(*rc::gen::inRange(0, 9))
    };
  }
  const auto shares = ShareCapacity(capacity, demand);
  double left = capacity;
  for (const auto& [level, counts] : demand) {
    const auto all = static_cast<double>(counts.All());
    const double expected = std::min(left, all);
    const double own =
      all > 0 ? expected * static_cast<double>(counts.mOwn) / all : 0;
    RC_ASSERT(std::abs(shares.at(level) - own) < 1e-9);
    left -= expected;
  }
}
