/// Tests that requests are placed within the limits that upstreams state, and
/// are refused at once when these don't allow them.
#define BOOST_TEST_MODULE RelayLimits
#include <Peridothoist/Peridothoist.h>
#include <Relay/RelayFixture.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

class LimitFixture : public RelayFixture
{
public:
  void State(const std::string& aUpstream, std::optional<double> aPerSecond)
  {
    mMachine.OnLimitStated(aUpstream, { aPerSecond }, mNow);
  }

  /// Sends a request and returns the upstream to which it was sent; "": none.
  std::string Send(const std::shared_ptr<const RelayRoute>& aRoute)
  {
    TakeCommands();
    Arrive(aRoute);
    for (const RelayCommand& it : mCommands) {
      if (it.mKind == RelayCommandKind::StartCall) {
        return it.mUpstream;
      }
    }
    return "";
  }

  std::map<std::string, int> SendMany(int aCount)
  {
    std::map<std::string, int> sent;
    for (int n = 0; n < aCount; ++n) {
      const std::string upstream = Send(Route(RouteKind::Idempotent, 1));
      ++sent[upstream];
      if (!upstream.empty()) {
        End(Call(mLastId), Responded(200));
      }
    }
    return sent;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Limits, LimitFixture)

// Guards against requests that go to a limited upstream while others are free,
// and against a limit that takes the service down.
BOOST_AUTO_TEST_CASE(TheOthersTakeWhatALimitedUpstreamCannot)
{
  List(
    { Upstream("p1", RelayStage::Plain), Upstream("p2", RelayStage::Plain) });
  State("p1", 2.0);
  auto sent = SendMany(100);
  BOOST_TEST(sent["p1"] <= 1);
  BOOST_TEST(sent["p1"] + sent["p2"] == 100);
  Advance(10s);
  sent = SendMany(100);
  BOOST_TEST(sent["p1"] >= 1);
  BOOST_TEST(sent["p1"] <= 2);
}

// Guards against callers that wait for what the limits can't allow in time, and
// are told to come back before they do.
BOOST_AUTO_TEST_CASE(RequestsBeyondAllLimitsAreRefusedAtOnce)
{
  List({ Upstream("p1", RelayStage::Plain) });
  State("p1", 1.0);
  SendMany(2);
  std::size_t waiting = 0;
  bool isRefused = false;
  for (int n = 0; n < 20 && !isRefused; ++n) {
    BOOST_TEST(Send(Route(RouteKind::Idempotent, 1)).empty());
    isRefused = Count(RelayCommandKind::SendRefusal) > 0;
    waiting = mMachine.WaitingRequestCount();
  }
  // The time to wait for capacity is about 3 s, so about three may wait.
  BOOST_TEST(isRefused);
  BOOST_TEST(waiting <= 4U);
  const Refusal refusal = OnlyRefusal();
  BOOST_TEST(refusal.Status() == 503);
  BOOST_TEST((refusal.mRetryAfter >= 1s));
  BOOST_TEST((refusal.mRetryAfter <= Duration(14s) / 3));
}

// Guards against waiting requests that are forgotten, or all sent at once, when
// the limit allows the next one.
BOOST_AUTO_TEST_CASE(WaitingRequestsAreSentAsTheLimitAllows)
{
  List({ Upstream("p1", RelayStage::Plain) });
  State("p1", 2.0);
  SendMany(2);
  for (int n = 0; n < 3; ++n) {
    Arrive(Route(RouteKind::Idempotent, 1));
  }
  const std::size_t before = mMachine.WaitingRequestCount();
  BOOST_REQUIRE(before >= 2U);
  std::size_t started = 0;
  for (int n = 0; n < 150; ++n) {
    TakeCommands();
    Advance(10ms);
    const std::size_t now = Count(RelayCommandKind::StartCall);
    BOOST_TEST(now <= 1U);
    started += now;
  }
  BOOST_TEST(started >= 2U);
  BOOST_TEST(started <= 4U);
}

// Guards against calls other than runs that the limit does not count: prefills,
// reservations, and the run after them.
BOOST_AUTO_TEST_CASE(EachCallOfAStreamCounts)
{
  List({ Upstream("d1", RelayStage::Decode),
         Upstream("f1", RelayStage::Prefill) });
  State("d1", 1.0);
  State("f1", 1.0);
  Advance(10s);
  BOOST_TEST(Send(Route(RouteKind::Stream, 1)) == "f1");
  BOOST_TEST(Count(RelayCommandKind::StartCall) == 1U); // No reservation.
  BOOST_TEST(*mMachine.Limits().Available("f1", mNow) < 1);
  BOOST_TEST(*mMachine.Limits().Available("d1", mNow) < 1);
  const double left = *mMachine.Limits().Available("d1", mNow);
  End(Call(mLastId), Prefilled("h"));
  BOOST_TEST((Call(mLastId).mCallKind == RelayCallKind::Stream));
  BOOST_TEST(*mMachine.Limits().Available("d1", mNow) == left);
}

// Guards against the limit of a process that is gone.
BOOST_AUTO_TEST_CASE(ARestartedUpstreamHasNoLimit)
{
  RelayUpstream upstream = Upstream("p1", RelayStage::Plain);
  upstream.mIncarnationId = 1;
  List({ upstream });
  State("p1", 1.0);
  BOOST_TEST(mMachine.Limits().IsLimited("p1", mNow));
  upstream.mIncarnationId = 2;
  List({ upstream });
  BOOST_TEST(!mMachine.Limits().IsLimited("p1", mNow));
}

// Guards against the end of a limit that nobody hears because the VMs that may
// send to the upstream prefer others.
BOOST_AUTO_TEST_CASE(AnUnusedLimitIsChecked)
{
  List({ Upstream("p1", RelayStage::Plain, "far"),
         Upstream("p2", RelayStage::Plain) });
  State("p1", 0.0);
  TimePoint checkedAt = mNow;
  const TimePoint start = mNow;
  int checks = 0;
  for (int n = 0; n < 100; ++n) {
    Advance(100ms);
    for (const RelayCommand& it : TakeCommands()) {
      if (it.mKind == RelayCommandKind::CheckUpstream) {
        BOOST_TEST(it.mUpstream == "p1");
        checkedAt = checks == 0 ? mNow : checkedAt;
        ++checks;
        State("p1", 0.0); // Its response.
      }
    }
    BOOST_TEST(Send(Route(RouteKind::Idempotent, 1)) == "p2");
    End(Call(mLastId), Responded(200));
  }
  BOOST_TEST((checkedAt - start <= 5s));
  BOOST_TEST(checks >= 2);
  BOOST_TEST(checks <= 6); // Half a request a second, in ten seconds.
  State("p1", std::nullopt);
  BOOST_TEST(mMachine.Limits().LimitedCount(mNow) == 0U);
  Advance(10s);
  BOOST_TEST(Count(RelayCommandKind::CheckUpstream) == 0U);
}

// Guards against checks of upstreams whose responses state the limit anyway.
BOOST_AUTO_TEST_CASE(ALimitThatIsHeardIsNotChecked)
{
  List({ Upstream("p1", RelayStage::Plain) });
  for (int n = 0; n < 50; ++n) {
    State("p1", 4.0);
    Advance(200ms);
  }
  BOOST_TEST(Count(RelayCommandKind::CheckUpstream) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
