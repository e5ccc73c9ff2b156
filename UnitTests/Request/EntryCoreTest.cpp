/// The core's decisions one by one, in fixed sequences.
#define BOOST_TEST_MODULE EntryCore
#include <Peridothoist/Peridothoist.h>
#include <Request/FakeWorld.h>
#include <Request/NaiveRouter.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

/// One core in a fake world.
struct Fixture
{
  explicit Fixture(std::uint32_t aUpstreams = 3)
    : mConfig(MakeConfiguration(aUpstreams))
    , mWorld(mConfig)
  {
    auto router = std::make_unique<CoreRouter>(EntryCoreSettings(), mConfig, 7);
    mRouter = router.get();
    mWorld.AddRouter(std::move(router));
  }

  FakeWorld::Caller& Send(const FakeWorld::Ask& aAsk)
  {
    const std::uint64_t id = mWorld.Arrive(0, aAsk);
    return mWorld.Callers()[id];
  }

  void Finish()
  {
    BOOST_TEST(mWorld.Quiesce());
    mWorld.CheckEnd();
    BOOST_TEST(mWorld.Violation() == "");
  }

  const EntryCounters& Counters() { return mRouter->Core().Counters(); }

  std::shared_ptr<Configuration> mConfig;
  FakeWorld mWorld;
  CoreRouter* mRouter;
};

void
StepTimes(FakeWorld& aWorld, int aTimes, Fault aFault = Fault::None)
{
  for (int n = 0; n < aTimes; ++n) {
    aWorld.Step(0, aFault);
  }
}

constexpr int kToFirstToken = 12; ///< Steps of a completion up to its first.

} // namespace

BOOST_AUTO_TEST_CASE(EachRouteAnswers)
{
  for (const char* route : { "chat", "lookup", "post", "cert" }) {
    for (bool streaming : { false, true }) {
      Fixture fixture;
      const FakeWorld::Ask ask{ route, "x", "key", streaming, "a" };
      const FakeWorld::Caller& caller = fixture.Send(ask);
      fixture.Finish();
      BOOST_TEST(caller.mComplete);
      BOOST_TEST(caller.mExecuted == 1);
      BOOST_TEST(caller.mForgotten == 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(BrokenStreamGoesOnElsewhere)
{
  Fixture fixture;
  const FakeWorld::Caller& caller = fixture.Send({});
  StepTimes(fixture.mWorld, kToFirstToken);
  BOOST_TEST(caller.mTokens >= 1u);
  fixture.mWorld.Step(0, Fault::Break);
  fixture.Finish();
  BOOST_TEST(caller.mComplete);
  BOOST_TEST(fixture.Counters().mResumed == 1u);
}

BOOST_AUTO_TEST_CASE(ResendRunsAfterNotRun)
{
  Fixture fixture;
  const FakeWorld::Ask ask{ "post", "x", "key", false, "a" };
  StepTimes(fixture.mWorld, 1);
  const FakeWorld::Caller& first = fixture.Send(ask);
  StepTimes(fixture.mWorld, 3); // The claim is inserted.
  fixture.mWorld.mAllDown = true;
  fixture.mWorld.Advance(31s);
  fixture.mWorld.StepAll();
  fixture.mWorld.mAllDown = false;
  BOOST_TEST(first.mFinals == 1);
  fixture.Finish();
  const FakeWorld::Caller& second = fixture.Send(ask);
  fixture.Finish();
  BOOST_TEST(first.mExecuted == 0);
  BOOST_TEST(second.mComplete);
  BOOST_TEST(second.mExecuted == 1);
}

BOOST_AUTO_TEST_CASE(ResendDuringARunIsNotRun)
{
  Fixture fixture;
  const FakeWorld::Ask ask{ "post", "x", "key", false, "a" };
  const FakeWorld::Caller& first = fixture.Send(ask);
  StepTimes(fixture.mWorld, 4);
  const FakeWorld::Caller& second = fixture.Send(ask);
  fixture.Finish();
  BOOST_TEST(first.mComplete);
  BOOST_TEST(second.mExecuted == 0);
  BOOST_TEST(second.mFinals == 1);
  const FakeWorld::Caller& third = fixture.Send(ask);
  fixture.Finish();
  BOOST_TEST(third.mComplete);
  BOOST_TEST(third.mExecuted == 0);
}

BOOST_AUTO_TEST_CASE(LateOutcomeIsKept)
{
  Fixture fixture;
  const FakeWorld::Ask ask{ "post", "x", "key", false, "a" };
  const FakeWorld::Caller& first = fixture.Send(ask);
  StepTimes(fixture.mWorld, 5); // The call is on its way.
  fixture.mWorld.Advance(31s);
  BOOST_TEST(bool(first.mRefusal->mVerdict == RunVerdict::MayHaveRun));
  fixture.Finish();
  BOOST_TEST(first.mExecuted == 1);
  const FakeWorld::Caller& second = fixture.Send(ask);
  fixture.Finish();
  BOOST_TEST(second.mComplete);
  BOOST_TEST(second.mExecuted == 0);
}

BOOST_AUTO_TEST_CASE(OtherBodyIsRefused)
{
  Fixture fixture;
  fixture.Send({ "post", "x", "key", false, "a" });
  fixture.Finish();
  const FakeWorld::Caller& other =
    fixture.Send({ "post", "y", "key", false, "a" });
  fixture.Finish();
  BOOST_TEST(
    bool(other.mRefusal->mKind == RefusalKind::IdempotencyKeyMismatch));
  BOOST_TEST(bool(other.mRefusal->mVerdict == RunVerdict::NotRun));
}

BOOST_AUTO_TEST_CASE(MissingKeyIsRefused)
{
  Fixture fixture;
  const FakeWorld::Caller& caller =
    fixture.Send({ "post", "x", "", false, "a" });
  BOOST_TEST(
    bool(caller.mRefusal->mKind == RefusalKind::IdempotencyKeyMissing));
}

BOOST_AUTO_TEST_CASE(WithdrawnKeyIsSeenBeforeBytesLeave)
{
  for (const char* route : { "chat", "lookup", "post", "cert" }) {
    for (int steps = 0; steps < 8; ++steps) {
      Fixture fixture;
      const FakeWorld::Caller& caller =
        fixture.Send({ route, "x", "key", false, "a" });
      StepTimes(fixture.mWorld, steps);
      fixture.mRouter->Gate().mRefusal = RefusalKind::KeyWithdrawn;
      const bool left = caller.mExecuted > 0 || fixture.mWorld.mContentSent > 0;
      fixture.Finish();
      BOOST_TEST(caller.mComplete == left);
      if (!left) {
        BOOST_TEST(bool(caller.mRefusal->mKind == RefusalKind::KeyWithdrawn));
        BOOST_TEST(bool(caller.mRefusal->mVerdict == RunVerdict::NotRun));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(CallerGoneFreesAtAnyStage)
{
  for (int steps = 0; steps < 16; ++steps) {
    Fixture fixture;
    fixture.Send({});
    StepTimes(fixture.mWorld, steps);
    fixture.mWorld.LeaveCaller(0);
    fixture.Finish();
  }
}

BOOST_AUTO_TEST_CASE(SlowLookupIsHedged)
{
  Fixture fixture;
  const FakeWorld::Caller& caller =
    fixture.Send({ "lookup", "x", "", false, "a" });
  fixture.mWorld.Advance(60ms);
  BOOST_TEST(fixture.mWorld.OpenCalls() == 2u);
  for (int n = 0; n < 3; ++n) {
    fixture.mWorld.Step(1, Fault::None);
  }
  BOOST_TEST(caller.mComplete);
  fixture.Finish();
  BOOST_TEST(fixture.Counters().mHedges == 1u);
  BOOST_TEST(fixture.Counters().mHedgesWon == 1u);
}

BOOST_AUTO_TEST_CASE(ReservationSentDuringACrashIsFreed)
{
  Fixture fixture;
  fixture.Send({});
  for (const char* name : { "dec0", "dec1", "dec2" }) {
    fixture.mWorld.Crash(name);
    fixture.mWorld.Revive(name);
  }
  fixture.Finish();
}

BOOST_AUTO_TEST_CASE(RetryAfterAChangeOfQueues)
{
  Fixture fixture;
  const auto send = [&](int aNumber) {
    fixture.Send({ "chat", "x" + std::to_string(aNumber), "", true, "a" });
  };
  for (int n = 0; n < 12; ++n) { // All the memory there is.
    send(n);
  }
  fixture.mWorld.Change(
    [](Configuration& aConfig) { aConfig.mDefaults.mQueueStrategy = "fifo"; });
  for (int n = 12; n < 15; ++n) {
    send(n);
  }
  BOOST_TEST(fixture.mRouter->Core().QueueLength() == 3u);
  fixture.mWorld.Step(0, Fault::NotConnected);
  BOOST_TEST(fixture.mRouter->Core().QueueLength() == 4u);
  fixture.Finish();
  for (const auto& [id, caller] : fixture.mWorld.Callers()) {
    BOOST_TEST(caller.mComplete);
  }
}

BOOST_AUTO_TEST_CASE(ForeignPoolIsRefused)
{
  Fixture fixture;
  fixture.mConfig->mWorkspaces["c"] = { "c", 1, 1, { "svc" } };
  const FakeWorld::Caller& caller =
    fixture.Send({ "chat", "x", "", true, "c" });
  BOOST_TEST(bool(caller.mRefusal->mKind == RefusalKind::PoolNotAllowed));
}

RC_BOOST_PROP(DrainCutsNothing, ())
{
  Fixture fixture;
  const auto arrivals = *rc::gen::inRange(1, 20);
  for (int n = 0; n < arrivals; ++n) {
    const bool plain = *rc::gen::arbitrary<bool>();
    const std::string body = "body" + std::to_string(n);
    fixture.Send({ plain ? "post" : "chat", body, body, !plain, "a" });
    StepTimes(fixture.mWorld, *rc::gen::inRange(0, 8));
    if (*rc::gen::inRange(0, 5) == 0) {
      fixture.mRouter->Core().StartDrain();
    }
  }
  fixture.mRouter->Core().StartDrain();
  RC_ASSERT(fixture.mWorld.Quiesce());
  RC_ASSERT(fixture.mRouter->Core().IsIdle());
  for (const auto& [id, caller] : fixture.mWorld.Callers()) {
    RC_ASSERT(caller.mComplete);
  }
}

namespace {

/// Calls with content, of aArrivals requests, when every one of them fails.
int
CallsUnderFullLoss(FakeWorld& aWorld, int aArrivals)
{
  static const std::array<Fault, 3> kFaults = { Fault::NotConnected,
                                                Fault::Lose,
                                                Fault::Break };
  for (int n = 0; n < aArrivals; ++n) {
    aWorld.Arrive(0, { "lookup", "body" + std::to_string(n), "", false, "a" });
    for (int i = 0; i < 6; ++i) {
      aWorld.Step(0, *rc::gen::elementOf(kFaults));
    }
    aWorld.Advance(Duration(*rc::gen::inRange(0, 400000)));
  }
  for (int n = 0; n < 400; ++n) {
    aWorld.Step(0, Fault::Lose);
    aWorld.Advance(50ms);
  }
  return aWorld.mContentCalls;
}

} // namespace

RC_BOOST_PROP(RetriesStayWithinTheBudget, ())
{
  Fixture fixture;
  const int arrivals = *rc::gen::inRange(1, 200);
  const int calls = CallsUnderFullLoss(fixture.mWorld, arrivals);
  const EntryCoreSettings settings;
  RC_ASSERT(calls <= arrivals * 1.1 + settings.mRetryBurst);
}

BOOST_AUTO_TEST_CASE(NaiveRouterAmplifiesALoss)
{
  const auto result = rc::detail::checkTestable([] {
    auto config = MakeConfiguration();
    FakeWorld world(config);
    world.AddRouter(std::make_unique<NaiveRouter>(config));
    const int arrivals = *rc::gen::inRange(1, 200);
    const int calls = CallsUnderFullLoss(world, arrivals);
    RC_ASSERT(calls <= arrivals * 1.1 + EntryCoreSettings().mRetryBurst);
  });
  rc::detail::FailureResult failure;
  BOOST_TEST(result.match(failure));
}
