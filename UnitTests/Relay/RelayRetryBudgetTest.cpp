/// Tests the bound on retries, over several VMs and restarts.
#define BOOST_TEST_MODULE RelayRetryBudget
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayRetryBudget.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;

namespace {

const TimePoint kNow{ 1h };

} // namespace

BOOST_AUTO_TEST_CASE(ARestartGrantsNoSecondBudget)
{
  // All VMs restart while upstreams fail to respond. The new processes must not
  // each start with a full budget.
  const RelayRetryBudgetSettings settings;
  const auto takeAll = [](RelayRetryBudget& aBudget, TimePoint aNow) {
    int retries = 0;
    while (aBudget.TryTake(1, aNow)) {
      ++retries;
    }
    return retries;
  };
  RelayRetryBudget before(settings, kNow - 1h);
  RelayRetryBudget after(settings, kNow);
  const int used = takeAll(before, kNow);
  BOOST_TEST(used == settings.mFixed);
  BOOST_TEST(takeAll(after, kNow) == 0);
  BOOST_TEST(takeAll(after, kNow + 5s) <= settings.mFixed / 2);
}

RC_BOOST_PROP(AllVmsTogetherStayWithinTheBudget, ())
{
  const auto vms = *rc::gen::inRange<std::size_t>(1, 8);
  const RelayRetryBudgetSettings settings;
  std::vector<RelayRetryBudget> budgets(vms, RelayRetryBudget(settings, kNow));
  std::vector<std::pair<TimePoint, bool>> events; // True: a retry.
  TimePoint now = kNow;
  for (int n = 0; n < 400; ++n) {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 100));
    RelayRetryBudget& budget = budgets[*rc::gen::inRange<std::size_t>(0, vms)];
    if (*rc::gen::inRange(0, 2) == 0) {
      budget.OnRequest(now);
      events.push_back({ now, false });
    } else if (budget.TryTake(vms, now)) {
      events.push_back({ now, true });
    }
  }
  for (const auto& [end, retry] : events) {
    double requests = 0;
    double retries = 0;
    for (const auto& it : events) {
      const bool isInWindow =
        it.first <= end && it.first > end - settings.mWindow;
      requests += isInWindow && !it.second ? 1 : 0;
      retries += isInWindow && it.second ? 1 : 0;
    }
    RC_ASSERT(retries <= settings.mRatio * requests + settings.mFixed + vms);
  }
}
