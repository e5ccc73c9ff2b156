/// A request that crashes the upstream that runs it may crash at most two
/// upstreams. Other requests must complete and must not be quarantined.
#define BOOST_TEST_MODULE Crash
#include <Peridothoist/Peridothoist.h>
#include <Request/FakeCluster.h>
#include <Request/NaiveRouter.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

constexpr std::uint32_t kUpstreams = 5;

/// A random sequence of actions and the requests it sends.
struct Scenario
{
  std::uint32_t mCrashers = 1;
  std::uint32_t mBystanders = 5;
  bool mIsPlain = false;
  std::vector<std::uint32_t> mActions;
};

Scenario
AnyScenario()
{
  Scenario scenario;
  scenario.mCrashers = *rc::gen::inRange<std::uint32_t>(1, 3);
  scenario.mBystanders = *rc::gen::inRange<std::uint32_t>(0, 15);
  scenario.mIsPlain = *rc::gen::arbitrary<bool>();
  scenario.mActions = *rc::gen::container<std::vector<std::uint32_t>>(
    300, rc::gen::inRange<std::uint32_t>(0, 1000000));
  return scenario;
}

FakeCluster::RequestSpec
MakeSpec(const Scenario& aScenario, const std::string& aBody)
{
  FakeCluster::RequestSpec spec;
  spec.mRoute = aScenario.mIsPlain ? "lookup" : "chat";
  spec.mBody = aBody;
  return spec;
}

/// Sends a crashing request again if it got a response.
void
RetryIfFinished(FakeCluster& aCluster,
                const Scenario& aScenario,
                std::uint64_t& aLast)
{
  const FakeCluster::Caller caller = aCluster.Callers()[aLast];
  if (caller.mFinalResponses > 0) {
    aLast = aCluster.SendRequest(0, MakeSpec(aScenario, caller.mSpec.mBody));
  }
}

void
RunScenario(FakeCluster& aCluster, const Scenario& aScenario)
{
  std::vector<std::uint64_t> crashers;
  std::uint32_t bystanders = 0;
  for (std::uint32_t action : aScenario.mActions) {
    const std::uint32_t number = action / 20;
    if (action % 20 == 0 && crashers.size() < aScenario.mCrashers) {
      const std::string body = "crasher" + std::to_string(crashers.size());
      aCluster.mCrashingBodies.insert(body);
      crashers.push_back(aCluster.SendRequest(0, MakeSpec(aScenario, body)));
    } else if (action % 20 < 2 && bystanders < aScenario.mBystanders) {
      const std::string body = "bystander" + std::to_string(bystanders++);
      aCluster.SendRequest(0, MakeSpec(aScenario, body));
    } else if (action % 20 == 2 && !crashers.empty()) {
      RetryIfFinished(aCluster, aScenario, crashers[number % crashers.size()]);
    } else if (action % 20 == 3) {
      aCluster.AdvanceTime(Duration(number % 300 * 1000));
    } else if (action % 20 == 4) {
      const char* pools[] = { "pre", "dec", "svc" };
      const std::string name =
        pools[number % 3] + std::to_string(number / 3 % kUpstreams);
      aCluster.AdvanceTime(1ms); // Delivers the notice of its crash.
      aCluster.Recover(name);
      aCluster.ReportLoad(name);
    } else {
      aCluster.Step(number, Fault::None);
    }
  }
  aCluster.RunUntilIdle();
  for (std::uint64_t& it : crashers) {
    for (int n = 0; n < 3; ++n) {
      RetryIfFinished(aCluster, aScenario, it);
      aCluster.RunUntilIdle();
    }
  }
}

void
Check(FakeCluster& aCluster)
{
  for (const auto& [body, crashes] : aCluster.mCrashesByBody) {
    RC_ASSERT(crashes <= 2);
  }
  for (const std::string& body :
       aCluster.RouterAt(0).Quarantined(aCluster.Now())) {
    RC_ASSERT(aCluster.mCrashingBodies.count(body) == 1u);
  }
  for (const auto& [id, caller] : aCluster.Callers()) {
    const bool isBystander =
      aCluster.mCrashingBodies.count(caller.mSpec.mBody) == 0;
    if (isBystander && !caller.mIsComplete) {
      RC_LOG() << caller.mSpec.mBody << " "
               << (caller.mRefusal ? ToName(caller.mRefusal->mKind) : "open")
               << "\n";
    }
    RC_ASSERT(!isBystander || caller.mIsComplete);
  }
  aCluster.CheckFinalState();
  RC_ASSERT(aCluster.Violation().empty());
}

} // namespace

RC_BOOST_PROP(CrasherCrashesAtMostTwoUpstreams, ())
{
  auto config = MakeConfiguration(kUpstreams);
  FakeCluster cluster(config);
  cluster.AddRouter(
    std::make_unique<CoreRouter>(EntryCoreSettings(), config, 1));
  RunScenario(cluster, AnyScenario());
  Check(cluster);
}

/// Upstreams that become unreachable, or that stop while leaving, must not
/// cause any request to be quarantined.
RC_BOOST_PROP(OnlyCrashesCauseQuarantine, ())
{
  auto config = MakeConfiguration(kUpstreams);
  FakeCluster cluster(config);
  cluster.AddRouter(
    std::make_unique<CoreRouter>(EntryCoreSettings(), config, 1));
  for (int n = 0; n < 60; ++n) {
    const bool isPlain = *rc::gen::arbitrary<bool>();
    const int number = *rc::gen::inRange(0, 100);
    const std::string upstream =
      (isPlain ? "svc" : "dec") + std::to_string(number % int(kUpstreams));
    const int action = *rc::gen::inRange(0, 20);
    if (action < 4) {
      const std::string body = "body" + std::to_string(n);
      cluster.SendRequest(0,
                          { isPlain ? "lookup" : "chat", body, "", true, "a" });
    } else if (action == 4) {
      cluster.Disconnect(upstream);
    } else if (action == 5) {
      cluster.SetLeaving(upstream, true);
      cluster.Crash(upstream);
    } else if (action == 6) {
      cluster.AdvanceTime(1ms); // Delivers the notice of its end.
      cluster.Recover(upstream);
      cluster.SetLeaving(upstream, false);
    } else {
      cluster.Step(std::size_t(number), Fault::None);
    }
    RC_ASSERT(cluster.RouterAt(0).Quarantined(cluster.Now()).empty());
  }
  RC_ASSERT(cluster.RunUntilIdle());
  cluster.CheckFinalState();
  RC_ASSERT(cluster.Violation() == "");
  RC_ASSERT(cluster.RouterAt(0).Quarantined(cluster.Now()).empty());
}

namespace {

/// Two VMs that exchange their suspects and quarantined digests.
struct TwoVmsFixture
{
  TwoVmsFixture()
    : mConfig(MakeConfiguration(kUpstreams))
    , mCluster(mConfig)
  {
    for (auto& vm : mVms) {
      auto router =
        std::make_unique<CoreRouter>(EntryCoreSettings(), mConfig, 1);
      vm = &router->Core();
      mCluster.AddRouter(std::move(router));
    }
  }

  void Exchange()
  {
    RequestCommands commands;
    const TimePoint now = mCluster.Now();
    for (std::size_t n = 0; n < 2; ++n) {
      for (const QuarantinedDigest& it : mVms[n]->Suspects(now)) {
        mVms[1 - n]->OnSuspect(it.mDigest, it.mRemaining, now);
      }
      for (const QuarantinedDigest& it : mVms[n]->Quarantined(now)) {
        mVms[1 - n]->OnQuarantine(it.mDigest, it.mRemaining, now, commands);
      }
    }
  }

  std::shared_ptr<Configuration> mConfig;
  FakeCluster mCluster;
  std::array<EntryCore*, 2> mVms{};
};

} // namespace

/// A crashing non-idempotent request is sent to alternating VMs, each time with
/// a new idempotency key. It must not crash two upstreams for each VM.
BOOST_AUTO_TEST_CASE(CrasherIsQuarantinedAtAllVms)
{
  TwoVmsFixture vms;
  vms.mCluster.mCrashingBodies.insert("x");
  for (std::size_t n = 0; n < 6; ++n) {
    vms.mCluster.SendRequest(n, { "post", "x", std::to_string(n), false, "a" });
    vms.mCluster.RunUntilIdle();
    vms.Exchange();
  }
  vms.mCluster.CheckFinalState();
  BOOST_TEST(vms.mCluster.Violation() == "");
  BOOST_TEST(vms.mCluster.mCrashesByBody["x"] == 2);
  const auto& callers = vms.mCluster.Callers();
  const Refusal& last = *callers.rbegin()->second.mRefusal;
  BOOST_TEST(bool(last.mKind == RefusalKind::Quarantined));
  BOOST_TEST(bool(last.mVerdict == RunVerdict::NotRun));
}

/// Copies of a suspect that arrive while the first one waits to run in
/// isolation must not run concurrently with it.
BOOST_AUTO_TEST_CASE(CopiesOfASuspectRunOneAtATime)
{
  auto config = MakeConfiguration(kUpstreams);
  FakeCluster cluster(config);
  cluster.AddRouter(
    std::make_unique<CoreRouter>(EntryCoreSettings(), config, 1));
  cluster.mCrashingBodies.insert("x");
  cluster.SendRequest(0, { "lookup", "x", "", false, "a" });
  while (cluster.mCrashesByBody["x"] == 0) {
    cluster.Step(0, Fault::None);
  }
  cluster.AdvanceTime(1ms); // Delivers the notice of the crash.
  for (int n = 0; n < 4; ++n) {
    cluster.SendRequest(0, { "lookup", "x", "", false, "a" });
  }
  cluster.RunUntilIdle();
  BOOST_TEST(cluster.mCrashesByBody["x"] == 2);
}

/// Checks that the test detects a router that spreads crashes.
BOOST_AUTO_TEST_CASE(NaiveRouterFails)
{
  const auto result = rc::detail::checkTestable([] {
    auto config = MakeConfiguration(kUpstreams);
    FakeCluster cluster(config);
    cluster.AddRouter(std::make_unique<NaiveRouter>(config));
    RunScenario(cluster, AnyScenario());
    Check(cluster);
  });
  rc::detail::FailureResult failure;
  BOOST_TEST(result.match(failure));
}
