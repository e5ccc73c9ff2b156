/// The rate limiter of the log: how many lines it allows, and which lines it
/// drops first.
#define BOOST_TEST_MODULE LogRateLimiter
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/LogRateLimiter.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;

namespace {

const TimePoint kNow{ 1h };

} // namespace

BOOST_AUTO_TEST_CASE(RoutineLinesAreDroppedFirst)
{
  // Guards against a burst of routine lines that uses up the limit, so that the
  // lines about refusals are dropped.
  LogRateLimiter limiter({ 100, 0.5 });
  for (int n = 0; n < 1000; ++n) {
    limiter.TryTake(LogPriority::Routine, kNow);
  }
  BOOST_TEST(limiter.DroppedCount(LogPriority::Routine) == 950U);
  for (int n = 0; n < 50; ++n) {
    BOOST_TEST(limiter.TryTake(LogPriority::Decision, kNow));
  }
  BOOST_TEST(!limiter.TryTake(LogPriority::Decision, kNow));
  BOOST_TEST(limiter.TryTake(LogPriority::Fault, kNow));
  BOOST_TEST(limiter.TryTake(LogPriority::Decision, kNow + 100ms));
  BOOST_TEST(!limiter.TryTake(LogPriority::Routine, kNow + 100ms));
  BOOST_TEST(limiter.TryTake(LogPriority::Routine, kNow + 700ms));
}

BOOST_AUTO_TEST_CASE(NoLimitDropsNothing)
{
  LogRateLimiter limiter({ 0, 0.5 });
  for (int n = 0; n < 1000; ++n) {
    BOOST_TEST(limiter.TryTake(LogPriority::Routine, kNow));
  }
}

RC_BOOST_PROP(NoSecondHasMoreThanTwiceTheRate, ())
{
  LogRateLimiter limiter({ 20, 0.5 });
  std::vector<TimePoint> writtenAt;
  TimePoint now = kNow;
  for (int n = 0; n < 500; ++n) {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 30));
    const bool isRoutine = *rc::gen::inRange(0, 2) == 0;
    if (limiter.TryTake(
          isRoutine ? LogPriority::Routine : LogPriority::Decision, now)) {
      writtenAt.push_back(now);
    }
  }
  for (const TimePoint start : writtenAt) {
    std::size_t lines = 0;
    for (const TimePoint at : writtenAt) {
      lines += at >= start && at < start + 1s ? 1 : 0;
    }
    RC_ASSERT(lines <= 40U);
  }
}
