/// Tests single behaviours of the core, mostly in fixed sequences of events.
#define BOOST_TEST_MODULE EntryCore
#include <Peridothoist/Peridothoist.h>
#include <Request/FakeCluster.h>
#include <Request/NaiveRouter.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

/// One core in a fake cluster.
struct Fixture
{
  explicit Fixture(std::uint32_t aUpstreams = 3)
    : mConfig(MakeConfiguration(aUpstreams))
    , mCluster(mConfig)
  {
    auto router = std::make_unique<CoreRouter>(EntryCoreSettings(), mConfig, 7);
    mRouter = router.get();
    mCluster.AddRouter(std::move(router));
  }

  FakeCluster::Caller& Send(const FakeCluster::RequestSpec& aSpec)
  {
    const std::uint64_t id = mCluster.SendRequest(0, aSpec);
    return mCluster.Callers()[id];
  }

  void Finish()
  {
    BOOST_TEST(mCluster.RunUntilIdle());
    mCluster.CheckFinalState();
    BOOST_TEST(mCluster.Violation() == "");
  }

  const EntryCounters& Counters() { return mRouter->Core().Counters(); }

  std::shared_ptr<Configuration> mConfig;
  FakeCluster mCluster;
  CoreRouter* mRouter;
};

void
StepTimes(FakeCluster& aCluster, int aTimes, Fault aFault = Fault::None)
{
  for (int n = 0; n < aTimes; ++n) {
    aCluster.Step(0, aFault);
  }
}

/// Number of steps of a completion until its first token.
constexpr int kStepsToFirstToken = 12;

} // namespace

BOOST_AUTO_TEST_CASE(EachRouteIsServed)
{
  for (const char* route : { "chat", "lookup", "post", "cert" }) {
    for (bool streaming : { false, true }) {
      Fixture fixture;
      const FakeCluster::RequestSpec spec{ route, "x", "key", streaming, "a" };
      const FakeCluster::Caller& caller = fixture.Send(spec);
      fixture.Finish();
      BOOST_TEST(caller.mIsComplete);
      BOOST_TEST(caller.mExecutions == 1);
      BOOST_TEST(caller.mForgetCommands == 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(BrokenStreamIsResumedOnAnotherEngine)
{
  Fixture fixture;
  const FakeCluster::Caller& caller = fixture.Send({});
  StepTimes(fixture.mCluster, kStepsToFirstToken);
  BOOST_TEST(caller.mTokens >= 1u);
  fixture.mCluster.Step(0, Fault::Break);
  fixture.Finish();
  BOOST_TEST(caller.mIsComplete);
  BOOST_TEST(fixture.Counters().mResumed == 1u);
}

/// A retry with the same key runs after the first request was refused as not
/// run.
BOOST_AUTO_TEST_CASE(RetryRunsAfterNotRun)
{
  Fixture fixture;
  const FakeCluster::RequestSpec spec{ "post", "x", "key", false, "a" };
  StepTimes(fixture.mCluster, 1);
  const FakeCluster::Caller& first = fixture.Send(spec);
  StepTimes(fixture.mCluster, 3); // The claim is inserted.
  fixture.mCluster.mAreAllUnreachable = true;
  fixture.mCluster.AdvanceTime(31s);
  fixture.mCluster.StepAll();
  fixture.mCluster.mAreAllUnreachable = false;
  BOOST_TEST(first.mFinalResponses == 1);
  fixture.Finish();
  const FakeCluster::Caller& second = fixture.Send(spec);
  fixture.Finish();
  BOOST_TEST(first.mExecutions == 0);
  BOOST_TEST(second.mIsComplete);
  BOOST_TEST(second.mExecutions == 1);
}

/// Retries with the same key do not run while the first request runs or after
/// it.
BOOST_AUTO_TEST_CASE(RetryDuringARunIsNotRun)
{
  Fixture fixture;
  const FakeCluster::RequestSpec spec{ "post", "x", "key", false, "a" };
  const FakeCluster::Caller& first = fixture.Send(spec);
  StepTimes(fixture.mCluster, 4);
  const FakeCluster::Caller& second = fixture.Send(spec);
  fixture.Finish();
  BOOST_TEST(first.mIsComplete);
  BOOST_TEST(second.mExecutions == 0);
  BOOST_TEST(second.mFinalResponses == 1);
  const FakeCluster::Caller& third = fixture.Send(spec);
  fixture.Finish();
  BOOST_TEST(third.mIsComplete);
  BOOST_TEST(third.mExecutions == 0);
}

/// An outcome received after the caller's deadline is stored for retries.
BOOST_AUTO_TEST_CASE(LateOutcomeIsStored)
{
  Fixture fixture;
  const FakeCluster::RequestSpec spec{ "post", "x", "key", false, "a" };
  const FakeCluster::Caller& first = fixture.Send(spec);
  StepTimes(fixture.mCluster, 5); // The call is in progress.
  fixture.mCluster.AdvanceTime(31s);
  BOOST_TEST(bool(first.mRefusal->mVerdict == RunVerdict::MayHaveRun));
  fixture.Finish();
  BOOST_TEST(first.mExecutions == 1);
  const FakeCluster::Caller& second = fixture.Send(spec);
  fixture.Finish();
  BOOST_TEST(second.mIsComplete);
  BOOST_TEST(second.mExecutions == 0);
}

BOOST_AUTO_TEST_CASE(SameKeyWithAnotherBodyIsRefused)
{
  Fixture fixture;
  fixture.Send({ "post", "x", "key", false, "a" });
  fixture.Finish();
  const FakeCluster::Caller& other =
    fixture.Send({ "post", "y", "key", false, "a" });
  fixture.Finish();
  BOOST_TEST(
    bool(other.mRefusal->mKind == RefusalKind::IdempotencyKeyMismatch));
  BOOST_TEST(bool(other.mRefusal->mVerdict == RunVerdict::NotRun));
}

BOOST_AUTO_TEST_CASE(MissingIdempotencyKeyIsRefused)
{
  Fixture fixture;
  const FakeCluster::Caller& caller =
    fixture.Send({ "post", "x", "", false, "a" });
  BOOST_TEST(
    bool(caller.mRefusal->mKind == RefusalKind::IdempotencyKeyMissing));
}

/// A key withdrawn at any step before content is sent leads to a refusal.
BOOST_AUTO_TEST_CASE(WithdrawnKeyIsRefusedBeforeContentIsSent)
{
  for (const char* route : { "chat", "lookup", "post", "cert" }) {
    for (int steps = 0; steps < 8; ++steps) {
      Fixture fixture;
      const FakeCluster::Caller& caller =
        fixture.Send({ route, "x", "key", false, "a" });
      StepTimes(fixture.mCluster, steps);
      fixture.mRouter->Policy().mRefusal = RefusalKind::KeyWithdrawn;
      const bool wasSent =
        caller.mExecutions > 0 || fixture.mCluster.mContentSentCount > 0;
      fixture.Finish();
      BOOST_TEST(caller.mIsComplete == wasSent);
      if (!wasSent) {
        BOOST_TEST(bool(caller.mRefusal->mKind == RefusalKind::KeyWithdrawn));
        BOOST_TEST(bool(caller.mRefusal->mVerdict == RunVerdict::NotRun));
      }
    }
  }
}

/// A caller that disconnects at any step leaves no engine memory reserved.
BOOST_AUTO_TEST_CASE(CallerGoneReleasesResourcesAtAnyStep)
{
  for (int steps = 0; steps < 16; ++steps) {
    Fixture fixture;
    fixture.Send({});
    StepTimes(fixture.mCluster, steps);
    fixture.mCluster.DisconnectCaller(0);
    fixture.Finish();
  }
}

BOOST_AUTO_TEST_CASE(SlowLookupIsHedged)
{
  Fixture fixture;
  const FakeCluster::Caller& caller =
    fixture.Send({ "lookup", "x", "", false, "a" });
  fixture.mCluster.AdvanceTime(60ms);
  BOOST_TEST(fixture.mCluster.OpenCalls() == 2u);
  for (int n = 0; n < 3; ++n) {
    fixture.mCluster.Step(1, Fault::None);
  }
  BOOST_TEST(caller.mIsComplete);
  fixture.Finish();
  BOOST_TEST(fixture.Counters().mHedges == 1u);
  BOOST_TEST(fixture.Counters().mHedgesWon == 1u);
}

/// A reservation that reaches an engine only after its restart is released.
BOOST_AUTO_TEST_CASE(ReservationSentDuringACrashIsReleased)
{
  Fixture fixture;
  fixture.Send({});
  for (const char* name : { "dec0", "dec1", "dec2" }) {
    fixture.mCluster.Crash(name);
    fixture.mCluster.Recover(name);
  }
  fixture.Finish();
}

/// A retry is queued again although the queue strategy, and with it the
/// sequence number of the request, has changed since it was first queued.
BOOST_AUTO_TEST_CASE(RetryAfterChangeOfQueueStrategy)
{
  Fixture fixture;
  const auto send = [&](int aNumber) {
    fixture.Send({ "chat", "x" + std::to_string(aNumber), "", true, "a" });
  };
  for (int n = 0; n < 12; ++n) { // Uses up all decode memory.
    send(n);
  }
  fixture.mCluster.ChangeConfiguration(
    [](Configuration& aConfig) { aConfig.mDefaults.mQueueStrategy = "fifo"; });
  for (int n = 12; n < 15; ++n) {
    send(n);
  }
  BOOST_TEST(fixture.mRouter->Core().QueueLength() == 3u);
  fixture.mCluster.Step(0, Fault::NotConnected);
  BOOST_TEST(fixture.mRouter->Core().QueueLength() == 4u);
  fixture.Finish();
  for (const auto& [id, caller] : fixture.mCluster.Callers()) {
    BOOST_TEST(caller.mIsComplete);
  }
}

BOOST_AUTO_TEST_CASE(PoolNotAllowedForWorkspaceIsRefused)
{
  Fixture fixture;
  fixture.mConfig->mWorkspaces["c"] = { "c", 1, 1, { "svc" } };
  const FakeCluster::Caller& caller =
    fixture.Send({ "chat", "x", "", true, "c" });
  BOOST_TEST(bool(caller.mRefusal->mKind == RefusalKind::PoolNotAllowed));
}

/// Requests that arrive before or after the start of a drain complete.
RC_BOOST_PROP(DrainInterruptsNothing, ())
{
  Fixture fixture;
  const auto arrivals = *rc::gen::inRange(1, 20);
  for (int n = 0; n < arrivals; ++n) {
    const bool plain = *rc::gen::arbitrary<bool>();
    const std::string body = "body" + std::to_string(n);
    fixture.Send({ plain ? "post" : "chat", body, body, !plain, "a" });
    StepTimes(fixture.mCluster, *rc::gen::inRange(0, 8));
    if (*rc::gen::inRange(0, 5) == 0) {
      fixture.mRouter->Core().StartDrain();
    }
  }
  fixture.mRouter->Core().StartDrain();
  RC_ASSERT(fixture.mCluster.RunUntilIdle());
  RC_ASSERT(fixture.mRouter->Core().IsIdle());
  for (const auto& [id, caller] : fixture.mCluster.Callers()) {
    RC_ASSERT(caller.mIsComplete);
  }
}

namespace {

/// Returns the number of calls with content for aArrivals requests if every
/// call fails.
int
CountCallsUnderFullLoss(FakeCluster& aCluster, int aArrivals)
{
  static const std::array<Fault, 3> kFaults = { Fault::NotConnected,
                                                Fault::Lose,
                                                Fault::Break };
  for (int n = 0; n < aArrivals; ++n) {
    aCluster.SendRequest(
      0, { "lookup", "body" + std::to_string(n), "", false, "a" });
    for (int i = 0; i < 6; ++i) {
      aCluster.Step(0, *rc::gen::elementOf(kFaults));
    }
    aCluster.AdvanceTime(Duration(*rc::gen::inRange(0, 400000)));
  }
  for (int n = 0; n < 400; ++n) {
    aCluster.Step(0, Fault::Lose);
    aCluster.AdvanceTime(50ms);
  }
  return aCluster.mContentCallCount;
}

} // namespace

RC_BOOST_PROP(RetriesStayWithinTheBudget, ())
{
  Fixture fixture;
  const int arrivals = *rc::gen::inRange(1, 200);
  const int calls = CountCallsUnderFullLoss(fixture.mCluster, arrivals);
  const EntryCoreSettings settings;
  RC_ASSERT(calls <= arrivals * 1.1 + settings.mRetryBurst);
}

/// Checks that the test detects a router without a retry budget.
BOOST_AUTO_TEST_CASE(NaiveRouterExceedsTheRetryBudget)
{
  const auto result = rc::detail::checkTestable([] {
    auto config = MakeConfiguration();
    FakeCluster cluster(config);
    cluster.AddRouter(std::make_unique<NaiveRouter>(config));
    const int arrivals = *rc::gen::inRange(1, 200);
    const int calls = CountCallsUnderFullLoss(cluster, arrivals);
    RC_ASSERT(calls <= arrivals * 1.1 + EntryCoreSettings().mRetryBurst);
  });
  rc::detail::FailureResult failure;
  BOOST_TEST(result.match(failure));
}
