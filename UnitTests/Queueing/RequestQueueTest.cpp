/// Queues neither lose nor duplicate items, serve workspaces equally by cost
/// and urgent classes first. The admission policy refuses requests that
/// cannot be served in time at the observed rate.
#define BOOST_TEST_MODULE RequestQueue
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Queueing/AdmissionPolicy.h>
#include <Peridothoist/Queueing/RequestQueue.h>
#include <Peridothoist/Queueing/ServiceRateEstimator.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <set>

using namespace peridothoist;

namespace {

constexpr double kMaxCost = 100;

QueueItem
AnyItem(std::uint64_t aId)
{
  QueueItem item;
  item.mId = aId;
  item.mWorkspace = std::string(1, char('a' + *rc::gen::inRange(0, 4)));
  item.mClass = static_cast<RequestClass>(*rc::gen::inRange(0, 3));
  item.mCost = *rc::gen::inRange(1, int(kMaxCost) + 1);
  return item;
}

/// Serves two workspaces that always have queued items, one of them many times
/// as many as the other. Returns the largest difference in cost served.
double
LargestLag(RequestQueue& aQueue)
{
  std::uint64_t id = 0;
  std::map<std::string, double> served = { { "big", 0 }, { "small", 0 } };
  const auto push = [&](const char* aWorkspace) {
    QueueItem item;
    item.mId = ++id;
    item.mWorkspace = aWorkspace;
    item.mCost = *rc::gen::inRange(1, int(kMaxCost) + 1);
    aQueue.Push(item);
  };
  for (int n = 0; n < 50; ++n) {
    push("big");
  }
  push("small");
  double largest = 0;
  for (int n = 0; n < 100; ++n) {
    const QueueItem item = aQueue.Pop();
    served[item.mWorkspace] += item.mCost;
    push(item.mWorkspace.c_str());
    largest = std::max(largest, std::abs(served["big"] - served["small"]));
  }
  return largest;
}

} // namespace

RC_BOOST_PROP(NothingIsLostOrDuplicated, ())
{
  const auto queue = RequestQueue::Create(*rc::gen::element("fair", "fifo"));
  std::set<std::uint64_t> queued;
  std::vector<QueueItem> taken;
  const int actions = *rc::gen::inRange(0, 200);
  for (int n = 1; n <= actions; ++n) {
    const int action = *rc::gen::inRange(0, 10);
    if (action < 5) {
      queue->Push(AnyItem(std::uint64_t(n)));
      queued.insert(std::uint64_t(n));
    } else if (action < 7 && !queued.empty()) {
      taken.push_back(queue->Pop());
      RC_ASSERT(queued.erase(taken.back().mId) == 1u);
    } else if (action == 7 && !taken.empty()) {
      queued.insert(taken.back().mId);
      queue->PutBack(taken.back());
      taken.pop_back();
    } else {
      const auto id = std::uint64_t(*rc::gen::inRange(1, n + 1));
      RC_ASSERT(queue->Remove(id) == (queued.erase(id) == 1));
    }
    RC_ASSERT(queue->Length() == queued.size());
    RC_ASSERT((queue->Front() == nullptr) == queued.empty());
  }
  std::size_t lengths = 0;
  for (const char* workspace : { "a", "b", "c", "d" }) {
    lengths += queue->Length(workspace);
  }
  RC_ASSERT(lengths == queued.size());
  RC_ASSERT(queue->Items().size() == queued.size());
}

RC_BOOST_PROP(BusyWorkspacesGetEqualCost, ())
{
  const auto queue = RequestQueue::Create("fair");
  RC_ASSERT(LargestLag(*queue) <= 2 * kMaxCost);
}

/// Checks that LargestLag() detects an unfair queue.
BOOST_AUTO_TEST_CASE(FifoQueueIsUnfair)
{
  const auto result = rc::detail::checkTestable([] {
    const auto queue = RequestQueue::Create("fifo");
    RC_ASSERT(LargestLag(*queue) <= 2 * kMaxCost);
  });
  rc::detail::FailureResult failure;
  BOOST_TEST(result.match(failure));
}

RC_BOOST_PROP(UrgentClassesOfAWorkspaceAreServedFirst, ())
{
  const auto queue = RequestQueue::Create("fair");
  const int count = *rc::gen::inRange(1, 50);
  for (int n = 1; n <= count; ++n) {
    queue->Push(AnyItem(std::uint64_t(n)));
  }
  std::map<std::string, QueueItem> last;
  while (queue->Length() > 0) {
    const QueueItem item = queue->Pop();
    const auto it = last.find(item.mWorkspace);
    if (it != last.end()) {
      const bool later =
        it->second.mClass < item.mClass ||
        (it->second.mClass == item.mClass && it->second.mId < item.mId);
      RC_ASSERT(later);
    }
    last[item.mWorkspace] = item;
  }
}

RC_BOOST_PROP(ItemPutBackIsServedNext, ())
{
  const auto queue = RequestQueue::Create(*rc::gen::element("fair", "fifo"));
  const int count = *rc::gen::inRange(1, 50);
  for (int n = 1; n <= count; ++n) {
    queue->Push(AnyItem(std::uint64_t(n)));
  }
  const int taken = *rc::gen::inRange(0, count);
  for (int n = 0; n < taken; ++n) {
    queue->Pop();
  }
  const QueueItem item = queue->Pop();
  queue->PutBack(item);
  RC_ASSERT(queue->Front()->mId == item.mId);
}

BOOST_AUTO_TEST_CASE(EarlyAdmissionFollowsTheObservedRate)
{
  const auto queue = RequestQueue::Create("fair");
  ServiceRateEstimator rate{ ServiceRateEstimatorSettings() };
  TimePoint now{ 1h };
  rate.SetHasBacklog(true, now);
  for (int n = 0; n < 20; ++n) { // 1000 units of cost per second.
    now += 100ms;
    rate.OnCostTaken(100, now);
  }
  for (std::uint64_t n = 1; n <= 50; ++n) {
    queue->Push({ n, "a", RequestClass::Draft, 100, 0, 0 });
  }
  AdmissionQuery query{
    queue.get(), &rate, "a", RequestClass::Draft, 100, 10s
  };
  const auto early = AdmissionPolicy::Create("early");
  BOOST_TEST(!early->RetryAfterIfRefused(query).has_value());
  query.mTimeLeft = 2s; // 5000 units are ahead.
  BOOST_TEST(early->RetryAfterIfRefused(query).has_value());
  query.mClass = RequestClass::Lookup; // Goes before all of them.
  BOOST_TEST(!early->RetryAfterIfRefused(query).has_value());
  query.mClass = RequestClass::Draft;
  const auto deadline = AdmissionPolicy::Create("deadline");
  BOOST_TEST(!deadline->RetryAfterIfRefused(query).has_value());
}
