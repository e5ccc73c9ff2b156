/// Tests which requests a leaving VM takes, and what it answers to those that
/// are open when its service ends.
#define BOOST_TEST_MODULE Leaving
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/LeavingSchedule.h>
#include <Relay/RelayFixture.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

constexpr TimePoint kSignalAt{ 1h };

LeavingSchedule
MakeSchedule(Duration aGracePeriod)
{
  LeavingScheduleSettings settings;
  settings.mGracePeriod = aGracePeriod;
  return { settings, kSignalAt };
}

} // namespace

// Guards against steps that don't fit into a short grace period.
BOOST_AUTO_TEST_CASE(TheStepsFollowEachOtherInEveryGracePeriod)
{
  for (const Duration grace : { Duration(1s), Duration(8s), Duration(60s) }) {
    const LeavingSchedule schedule = MakeSchedule(grace);
    BOOST_TEST((kSignalAt < schedule.AcceptsUntil()));
    BOOST_TEST((schedule.AcceptsUntil() < schedule.AnswersAt()));
    BOOST_TEST((schedule.AnswersAt() < schedule.EndsAt()));
    BOOST_TEST((schedule.EndsAt() < kSignalAt + grace));
  }
}

// Guards against requests that are taken although the process ends before
// they could be answered (LOST).
BOOST_AUTO_TEST_CASE(OnlyRequestsThatCanEndAreTaken)
{
  const LeavingSchedule schedule = MakeSchedule(8s);
  const auto takes = [&](Duration aSince, Duration aLimit, Duration aTypical) {
    const TimePoint now = kSignalAt + aSince;
    return schedule.Takes(
      RouteKind::NonIdempotent, now + aLimit, aTypical, now);
  };
  BOOST_TEST(takes(0s, 4s, 6s));   // Its deadline comes before the end.
  BOOST_TEST(takes(3s, 10s, 1s));  // It ends in time unless it is very slow.
  BOOST_TEST(takes(3s, 10s, 0s));  // Nothing is known of such calls.
  BOOST_TEST(!takes(3s, 10s, 3s)); // It might just end in time.
  BOOST_TEST(!takes(0s, 10s, 6s));
  BOOST_TEST(!takes(3500ms, 100ms, 10ms)); // Others serve all callers by now.
}

BOOST_AUTO_TEST_CASE(StreamsAreTakenForAShorterTime)
{
  const LeavingSchedule schedule = MakeSchedule(8s);
  const TimePoint now = kSignalAt + 3s;
  BOOST_TEST(!schedule.Takes(RouteKind::Stream, now + 1s, 10ms, now));
  BOOST_TEST(schedule.Takes(RouteKind::Idempotent, now + 1s, 10ms, now));
}

BOOST_FIXTURE_TEST_SUITE(EndOfService, RelayFixture)

// Guards against requests that are open when the process ends and get no
// answer, or an untrue one (LOST, REFUSED).
BOOST_AUTO_TEST_CASE(OpenRequestsAreAnsweredByWhatIsKnownOfThem)
{
  List({ Upstream("p1", RelayStage::Plain) });
  const auto sent = Arrive(Route(RouteKind::NonIdempotent, 1));
  Call(sent);
  const auto unsent = Arrive(Route(RouteKind::NonIdempotent, 1));
  Call(unsent, false);
  RelayCommands out;
  mMachine.EndService(mNow, out);
  std::map<std::uint64_t, int> statuses;
  for (const RelayCommand& it : out) {
    if (it.mKind == RelayCommandKind::SendRefusal) {
      BOOST_TEST((it.mRefusal->mKind == RefusalKind::Leaving));
      statuses[it.mId] = it.mRefusal->Status();
    }
  }
  BOOST_TEST(statuses[sent] == 502);
  BOOST_TEST(statuses[unsent] == 503);
  BOOST_TEST(mMachine.OpenRequestCount() == 0U);
}

BOOST_AUTO_TEST_CASE(OpenStreamsEndIncomplete)
{
  List({ Upstream("d1", RelayStage::Decode) });
  const auto id = Arrive(Route(RouteKind::Stream, 1));
  Event(Call(id), 1);
  RelayCommands out;
  mMachine.EndService(mNow, out);
  TakeCommands();
  Append(std::move(out));
  BOOST_TEST(Count(RelayCommandKind::AbortStream) == 1U);
  BOOST_TEST(Count(RelayCommandKind::EndStream) == 0U);
}

BOOST_AUTO_TEST_CASE(NothingIsSentAfterTheEnd)
{
  List({ Upstream("p1", RelayStage::Plain) });
  RelayCommands out;
  mMachine.EndService(mNow, out);
  TakeCommands();
  Arrive(Route(RouteKind::Idempotent, 2));
  BOOST_TEST(Count(RelayCommandKind::StartCall) == 0U);
  BOOST_TEST(OnlyRefusal().Status() == 503);
}

BOOST_AUTO_TEST_SUITE_END()
