/// The bound on repeats, over VMs and restarts.
#define BOOST_TEST_MODULE RepeatBudget
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RepeatBudget.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;

namespace {

const TimePoint kNow{ 1h };

} // namespace

BOOST_AUTO_TEST_CASE(ARestartGivesNobodyASecondBudget)
{
  // Pattern: all VMs lose power while upstreams lose answers.
  const RepeatBudgetSettings settings;
  const auto drain = [](RepeatBudget& aBudget, TimePoint aNow) {
    int repeats = 0;
    while (aBudget.TryTake(1, aNow)) {
      ++repeats;
    }
    return repeats;
  };
  RepeatBudget before(settings, kNow - 1h);
  RepeatBudget after(settings, kNow);
  const int used = drain(before, kNow);
  BOOST_TEST(used == settings.mFixed);
  BOOST_TEST(drain(after, kNow) == 0);
  BOOST_TEST(drain(after, kNow + 5s) <= settings.mFixed / 2);
}

RC_BOOST_PROP(VmsTogetherKeepToTheRepeatBudget, ())
{
  const auto vms = *rc::gen::inRange<std::size_t>(1, 8);
  const RepeatBudgetSettings settings;
  std::vector<RepeatBudget> budgets(vms, RepeatBudget(settings, kNow));
  std::vector<std::pair<TimePoint, bool>> events; // True: a repeat.
  TimePoint now = kNow;
  for (int n = 0; n < 400; ++n) {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 100));
    RepeatBudget& budget = budgets[*rc::gen::inRange<std::size_t>(0, vms)];
    if (*rc::gen::inRange(0, 2) == 0) {
      budget.OnRequest(now);
      events.push_back({ now, false });
    } else if (budget.TryTake(vms, now)) {
      events.push_back({ now, true });
    }
  }
  for (const auto& [end, repeat] : events) {
    double requests = 0;
    double repeats = 0;
    for (const auto& it : events) {
      const bool in = it.first <= end && it.first > end - settings.mWindow;
      requests += in && !it.second ? 1 : 0;
      repeats += in && it.second ? 1 : 0;
    }
    RC_ASSERT(repeats <= settings.mRatio * requests + settings.mFixed + vms);
  }
}
