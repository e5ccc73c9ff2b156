/// Tests requests of the entry whose upstream sends nothing for a while, so
/// that it counts as unreachable or exceeds the token gap, and then continues.
#define BOOST_TEST_MODULE EntrySilentUpstream
#include <Peridothoist/Peridothoist.h>
#include <Request/FakeCluster.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

/// An upstream in good order may be silent for this long.
constexpr Duration kShortSilence = 1200ms;

/// Steps of a completion until its first token.
constexpr int kStepsToFirstToken = 12;

/// Steps of a plain call until its content was sent.
constexpr int kStepsToSent = 1;

/// Requests that use up the memory of one decode engine.
constexpr int kRequestsPerEngine = 4;

EntryCoreSettings
WithoutRetryBudget()
{
  EntryCoreSettings settings;
  settings.mRetryBurst = 0;
  return settings;
}

EntryCoreSettings
WithoutFurtherAttempts()
{
  EntryCoreSettings settings;
  settings.mMaxAttempts = 1;
  return settings;
}

/// One core in a fake cluster with aUpstreams upstreams in each pool.
struct Fixture
{
  explicit Fixture(const EntryCoreSettings& aSettings = EntryCoreSettings(),
                   std::uint32_t aUpstreams = 2)
    : mConfig(MakeConfiguration(aUpstreams))
    , mCluster(mConfig)
  {
    auto router = std::make_unique<CoreRouter>(aSettings, mConfig, 7);
    mRouter = router.get();
    mCluster.AddRouter(std::move(router));
  }

  FakeCluster::Caller& Send(const FakeCluster::RequestSpec& aSpec)
  {
    const std::uint64_t id = mCluster.SendRequest(0, aSpec);
    return mCluster.Callers()[id];
  }

  void StepFirstCall(int aTimes)
  {
    for (int n = 0; n < aTimes; ++n) {
      mCluster.Step(0, Fault::None);
    }
  }

  /// Sends a stream and waits for its first token.
  FakeCluster::Caller& SendStream()
  {
    FakeCluster::Caller& caller = Send({});
    StepFirstCall(kStepsToFirstToken);
    BOOST_REQUIRE(caller.mTokens >= 1U);
    BOOST_REQUIRE(caller.mTokens < FakeCluster::kTokens);
    return caller;
  }

  /// Returns the only upstream of a pool with requests of this entry.
  std::string BusyUpstream(const std::string& aPool)
  {
    std::string busy;
    for (const auto& [name, upstream] : mConfig->mUpstreams) {
      if (upstream.mPool == aPool && mRouter->Core().InFlight(name) > 0) {
        BOOST_REQUIRE(busy.empty());
        busy = name;
      }
    }
    BOOST_REQUIRE(!busy.empty());
    return busy;
  }

  /// The upstream is silent for a while, and then continues.
  void BeSilent(const std::string& aUpstream)
  {
    mCluster.Silence(aUpstream);
    mCluster.AdvanceTime(kShortSilence);
    mCluster.Recover(aUpstream);
    mCluster.DeliverNextNotice();
  }

  void CheckComplete(const FakeCluster::Caller& aCaller, int aExecutions)
  {
    BOOST_TEST(mCluster.RunUntilIdle());
    mCluster.CheckFinalState();
    BOOST_TEST(mCluster.Violation() == "");
    BOOST_TEST(aCaller.mIsComplete);
    BOOST_TEST(!aCaller.mRefusal.has_value());
    BOOST_TEST(aCaller.mExecutions == aExecutions);
  }

  const EntryCounters& Counters() { return mRouter->Core().Counters(); }

  std::shared_ptr<Configuration> mConfig;
  FakeCluster mCluster;
  CoreRouter* mRouter;
};

} // namespace

// Guards against streams that are aborted because the retry budget is spent.
BOOST_AUTO_TEST_CASE(AStreamWithoutRetryBudgetGoesOn)
{
  Fixture fixture(WithoutRetryBudget());
  const FakeCluster::Caller& caller = fixture.SendStream();
  fixture.BeSilent(fixture.BusyUpstream("dec"));
  fixture.CheckComplete(caller, 1);
}

// Guards against streams that are aborted because no attempt is left.
BOOST_AUTO_TEST_CASE(AStreamWithoutFurtherAttemptsGoesOn)
{
  Fixture fixture(WithoutFurtherAttempts());
  const FakeCluster::Caller& caller = fixture.SendStream();
  fixture.BeSilent(fixture.BusyUpstream("dec"));
  fixture.CheckComplete(caller, 1);
}

// Guards against streams that are ended while the only other engine is full.
BOOST_AUTO_TEST_CASE(AStreamStaysWhileTheOtherEngineIsFull)
{
  Fixture fixture;
  const FakeCluster::Caller& caller = fixture.SendStream();
  const std::string silent = fixture.BusyUpstream("dec");
  fixture.mCluster.SetLeaving(silent, true);
  for (int n = 0; n < kRequestsPerEngine; ++n) {
    fixture.Send({ "chat", "other" + std::to_string(n), "", true, "a" });
  }
  fixture.BeSilent(silent);
  fixture.CheckComplete(caller, 1);
}

// Guards against streams that are aborted at the token gap without a retry.
BOOST_AUTO_TEST_CASE(AStreamWithoutRetryBudgetOutlastsTheTokenGap)
{
  Fixture fixture(WithoutRetryBudget());
  const FakeCluster::Caller& caller = fixture.SendStream();
  fixture.mCluster.AdvanceTime(EntryCoreSettings().mMaxTokenGap + 100ms);
  fixture.CheckComplete(caller, 1);
}

// Guards against plain calls that are refused although a response comes.
BOOST_AUTO_TEST_CASE(APlainCallWithoutRetryBudgetGoesOn)
{
  Fixture fixture(WithoutRetryBudget());
  const FakeCluster::Caller& caller =
    fixture.Send({ "lookup", "x", "", false, "a" });
  fixture.StepFirstCall(kStepsToSent);
  fixture.BeSilent(fixture.BusyUpstream("svc"));
  fixture.CheckComplete(caller, 1);
}

// Guards against streams that wait at a lost engine while another one is free.
BOOST_AUTO_TEST_CASE(AStreamMovesToAFreeEngine)
{
  Fixture fixture;
  const FakeCluster::Caller& caller = fixture.SendStream();
  fixture.BeSilent(fixture.BusyUpstream("dec"));
  BOOST_TEST(fixture.Counters().mResumed == 1U);
  fixture.CheckComplete(caller, 2);
}

// Guards against streams that never end because their engine stays silent.
BOOST_AUTO_TEST_CASE(AStreamThatStaysSilentIsAborted)
{
  Fixture fixture(WithoutRetryBudget());
  const FakeCluster::Caller& caller = fixture.SendStream();
  fixture.mCluster.Silence(fixture.BusyUpstream("dec"));
  for (int n = 0; n < 100; ++n) {
    fixture.mCluster.AdvanceTime(500ms);
  }
  BOOST_TEST(caller.mFinalResponses == 1);
  BOOST_REQUIRE(caller.mRefusal.has_value());
}
