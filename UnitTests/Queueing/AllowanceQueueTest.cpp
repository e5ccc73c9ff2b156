/// Tests the order and the bounds of requests that wait for their allowance.
#define BOOST_TEST_MODULE AllowanceQueue
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Queueing/AllowanceQueue.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;

namespace {

const TimePoint kStart{ 1h };

AllowanceWaiter
MakeWaiter(std::uint64_t aId,
           const std::string& aWorkspace,
           std::uint32_t aPriority,
           Duration aWait,
           double aCost = 1,
           std::size_t aBytes = 1)
{
  return { aId, aWorkspace, aPriority, kStart, kStart + aWait, aCost, aBytes };
}

std::vector<std::uint64_t>
IdsOf(const AllowanceQueue& aQueue, const std::string& aWorkspace)
{
  std::vector<std::uint64_t> ids;
  if (const auto* waiting = aQueue.Find(aWorkspace)) {
    for (const AllowanceWaiter& it : *waiting) {
      ids.push_back(it.mId);
    }
  }
  return ids;
}

} // namespace

// Load: urgent and less urgent requests of one workspace, and an idle one.
// Guards against an order by arrival, and against one over all workspaces.
BOOST_AUTO_TEST_CASE(OrderIsByPriorityThenEndOfWaitWithinOneWorkspace)
{
  AllowanceQueue queue({});
  BOOST_TEST(queue.Add(MakeWaiter(1, "w", 5, 300ms, 10)).empty());
  BOOST_TEST(queue.Add(MakeWaiter(2, "w", 5, 200ms, 20)).empty());
  BOOST_TEST(queue.Add(MakeWaiter(3, "w", 1, 900ms, 40)).empty());
  BOOST_TEST(queue.Add(MakeWaiter(4, "idle", 9, 900ms)).empty());
  const std::vector<std::uint64_t> expected = { 3, 2, 1 };
  BOOST_TEST(IdsOf(queue, "w") == expected);
  BOOST_TEST(*queue.TokensAhead(MakeWaiter(5, "w", 5, 250ms)) == 60);
  BOOST_TEST(*queue.TokensAhead(MakeWaiter(5, "w", 1, 950ms)) == 40);
  BOOST_TEST(!queue.TokensAhead(MakeWaiter(5, "w", 0, 1s)).has_value());
  BOOST_TEST(!queue.TokensAhead(MakeWaiter(5, "idle", 5, 1s)).has_value());
  BOOST_TEST(!queue.TokensAhead(MakeWaiter(5, "other", 5, 1s)).has_value());
}

// Load: a flood of one workspace. Guards against memory without a bound, and
// against the refusal of an urgent request for a less urgent one.
BOOST_AUTO_TEST_CASE(AFullWorkspaceLosesItsLeastUrgentRequest)
{
  AllowanceQueueSettings settings;
  settings.mMaxRequestsPerWorkspace = 2;
  AllowanceQueue queue(settings);
  queue.Add(MakeWaiter(1, "w", 5, 100ms));
  queue.Add(MakeWaiter(2, "w", 5, 200ms));
  const auto own = queue.Add(MakeWaiter(3, "w", 5, 300ms));
  BOOST_REQUIRE(own.size() == 1U);
  BOOST_TEST(own[0].mId == 3U);
  const auto other = queue.Add(MakeWaiter(4, "w", 0, 900ms));
  BOOST_REQUIRE(other.size() == 1U);
  BOOST_TEST(other[0].mId == 2U);
}

// Load: a flood of one workspace beside another. Guards against a VM's bound
// that the first workspace takes from the second.
BOOST_AUTO_TEST_CASE(AFullVmRefusesRequestsOfTheWorkspaceThatHoldsTheMost)
{
  AllowanceQueueSettings settings;
  settings.mMaxRequests = 3;
  settings.mMaxBytes = 100;
  AllowanceQueue queue(settings);
  queue.Add(MakeWaiter(1, "flood", 0, 100ms));
  queue.Add(MakeWaiter(2, "flood", 0, 200ms));
  queue.Add(MakeWaiter(3, "flood", 0, 300ms));
  const auto removed = queue.Add(MakeWaiter(4, "other", 9, 100ms));
  BOOST_REQUIRE(removed.size() == 1U);
  BOOST_TEST(removed[0].mId == 3U);
  const auto large = queue.Add(MakeWaiter(5, "large", 0, 100ms, 1, 200));
  BOOST_REQUIRE(large.size() == 1U);
  BOOST_TEST(large[0].mId == 5U); // The bytes are its own.
  BOOST_TEST(queue.Find("other") != nullptr);
}

// Guards against a wait that is tried too early, too late or never again.
BOOST_AUTO_TEST_CASE(DueWorkspacesAreThoseWhoseTimeHasCome)
{
  AllowanceQueue queue({});
  BOOST_TEST(!queue.NextTry().has_value());
  queue.Add(MakeWaiter(1, "a", 5, 100ms));
  queue.Add(MakeWaiter(2, "b", 5, 100ms));
  queue.SetNextTry("a", kStart + 20ms);
  queue.SetNextTry("b", kStart + 10ms);
  queue.SetNextTry("gone", kStart);
  BOOST_TEST((queue.NextTry() == kStart + 10ms));
  BOOST_TEST(queue.DueWorkspaces(kStart + 9ms).empty());
  BOOST_TEST(queue.DueWorkspaces(kStart + 10ms) ==
             std::vector<std::string>{ "b" });
  queue.Remove(2);
  BOOST_TEST((queue.NextTry() == kStart + 20ms));
}

// Guards against counts and bytes that drift from the requests that wait.
RC_BOOST_PROP(CountsAndBytesMatchTheQueue, ())
{
  AllowanceQueueSettings settings;
  settings.mMaxRequestsPerWorkspace = 5;
  settings.mMaxBytesPerWorkspace = 300;
  settings.mMaxRequests = 8;
  settings.mMaxBytes = 500;
  AllowanceQueue queue(settings);
  const auto steps = *rc::gen::inRange(1, 60);
  for (int id = 1; id <= steps; ++id) {
    const std::string workspace(1, *rc::gen::inRange('a', 'd'));
    const auto priority = *rc::gen::inRange<std::uint32_t>(0, 3);
    const auto wait = std::chrono::milliseconds(*rc::gen::inRange(0, 9));
    const auto bytes = *rc::gen::inRange<std::size_t>(0, 200);
    queue.Add(MakeWaiter(
      static_cast<std::uint64_t>(id), workspace, priority, wait, 1, bytes));
    if (*rc::gen::inRange(0, 3) == 0) {
      queue.Remove(*rc::gen::inRange<std::uint64_t>(1, 60));
    }
    std::size_t count = 0;
    std::size_t sum = 0;
    for (const std::string& name : queue.Workspaces()) {
      std::size_t own = 0;
      for (const AllowanceWaiter& it : *queue.Find(name)) {
        ++count;
        own += it.mBytes;
      }
      RC_ASSERT(queue.Find(name)->size() <= 5U);
      RC_ASSERT(own <= 300U);
      sum += own;
    }
    RC_ASSERT(queue.Count() == count && count <= 8U);
    RC_ASSERT(queue.Bytes() == sum && sum <= 500U);
  }
}
