/// The bound on log lines, and which of them are left out.
#define BOOST_TEST_MODULE LogBudget
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/LogBudget.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;

namespace {

const TimePoint kNow{ 1h };

} // namespace

BOOST_AUTO_TEST_CASE(SuccessesAreLeftOutFirst)
{
  // Pattern: a burst of good answers, and refusals among them.
  LogBudget budget({ 100, 0.5 });
  for (int n = 0; n < 1000; ++n) {
    budget.Take(LogWorth::Routine, kNow);
  }
  BOOST_TEST(budget.LeftOut(LogWorth::Routine) == 950U);
  for (int n = 0; n < 50; ++n) {
    BOOST_TEST(budget.Take(LogWorth::Decision, kNow));
  }
  BOOST_TEST(!budget.Take(LogWorth::Decision, kNow));
  BOOST_TEST(budget.Take(LogWorth::Fault, kNow));
  BOOST_TEST(budget.Take(LogWorth::Decision, kNow + 100ms));
  BOOST_TEST(!budget.Take(LogWorth::Routine, kNow + 100ms));
  BOOST_TEST(budget.Take(LogWorth::Routine, kNow + 700ms));
}

BOOST_AUTO_TEST_CASE(NoBoundLeavesNothingOut)
{
  LogBudget budget({ 0, 0.5 });
  for (int n = 0; n < 1000; ++n) {
    BOOST_TEST(budget.Take(LogWorth::Routine, kNow));
  }
}

RC_BOOST_PROP(NoSecondHoldsMoreThanTwiceTheRate, ())
{
  LogBudget budget({ 20, 0.5 });
  std::vector<TimePoint> written;
  TimePoint now = kNow;
  for (int n = 0; n < 500; ++n) {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 30));
    const bool routine = *rc::gen::inRange(0, 2) == 0;
    if (budget.Take(routine ? LogWorth::Routine : LogWorth::Decision, now)) {
      written.push_back(now);
    }
  }
  for (const TimePoint start : written) {
    std::size_t lines = 0;
    for (const TimePoint it : written) {
      lines += it >= start && it < start + 1s ? 1 : 0;
    }
    RC_ASSERT(lines <= 40U);
  }
}
