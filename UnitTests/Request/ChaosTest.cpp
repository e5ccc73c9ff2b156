/// Random sequences of arrivals, responses, losses, crashes, configuration
/// changes and disconnects. Each request must get exactly one complete
/// response, non-idempotent requests must run at most once, the verdict "not
/// run" must be true, and no engine memory may stay reserved.
#define BOOST_TEST_MODULE Chaos
#include <Peridothoist/Peridothoist.h>
#include <Request/FakeCluster.h>
#include <Request/NaiveRouter.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <rapidcheck/state.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

enum class Action
{
  SendRequest,
  Step,
  DeliverNotice,
  AdvanceTime,
  Crash,
  Disconnect,
  Recover,
  ReportLoad,
  CallerGone,
  Leaving,
  Strategies
};

/// The model is empty: the cluster itself checks the invariants.
struct Model
{};

using Base = rc::state::Command<Model, FakeCluster>;

/// One random action on the cluster.
struct RandomAction : public Base
{
  explicit RandomAction()
    : mAction(*rc::gen::weightedElement<Action>({ { 6, Action::SendRequest },
                                                  { 40, Action::Step },
                                                  { 3, Action::DeliverNotice },
                                                  { 6, Action::AdvanceTime },
                                                  { 1, Action::Crash },
                                                  { 1, Action::Disconnect },
                                                  { 2, Action::Recover },
                                                  { 3, Action::ReportLoad },
                                                  { 1, Action::CallerGone },
                                                  { 1, Action::Leaving },
                                                  { 1, Action::Strategies } }))
    , mFault(*rc::gen::weightedElement<Fault>({ { 30, Fault::None },
                                                { 1, Fault::NotConnected },
                                                { 2, Fault::Lose },
                                                { 1, Fault::Break },
                                                { 2, Fault::Duplicate },
                                                { 1, Fault::BadStatus } }))
    , mNumber(*rc::gen::inRange<std::size_t>(0, 1000))
  {
  }

  void apply(Model& /*aModel*/) const override {}

  void run(const Model& /*aModel*/, FakeCluster& aCluster) const override
  {
    Perform(aCluster);
    if (!aCluster.Violation().empty()) {
      RC_FAIL(aCluster.Violation());
    }
  }

  void Perform(FakeCluster& aCluster) const
  {
    static const std::array<const char*, 3> kPools = { "pre", "dec", "svc" };
    const std::string upstream =
      kPools[mNumber % 3] + std::to_string(mNumber / 3 % 3);
    switch (mAction) {
      case Action::SendRequest:
        aCluster.SendRequest(mNumber % 2, MakeSpec());
        break;
      case Action::Step:
        aCluster.Step(mNumber, mFault);
        break;
      case Action::DeliverNotice:
        aCluster.DeliverNextNotice();
        break;
      case Action::AdvanceTime:
        aCluster.AdvanceTime(Duration(mNumber * 1000));
        break;
      case Action::Crash:
        aCluster.Crash(upstream);
        break;
      case Action::Disconnect:
        aCluster.Disconnect(upstream);
        break;
      case Action::Recover:
        aCluster.Recover(upstream);
        break;
      case Action::ReportLoad:
        aCluster.ReportLoad(upstream);
        break;
      case Action::CallerGone:
        aCluster.DisconnectCaller(mNumber);
        break;
      case Action::Leaving:
        aCluster.SetLeaving(upstream, mNumber / 9 % 2 == 0);
        break;
      case Action::Strategies:
        aCluster.ChangeConfiguration([this](Configuration& aConfig) {
          ChangeStrategies(aConfig.mDefaults);
        });
        break;
    }
  }

  void ChangeStrategies(Defaults& aDefaults) const
  {
    static const std::array<const char*, 3> kChoosers = { "cost",
                                                          "round_robin",
                                                          "least_loaded" };
    aDefaults.mQueueStrategy = mNumber % 2 == 0 ? "fair" : "fifo";
    aDefaults.mReserveStrategy = mNumber / 2 % 2 == 0 ? "before" : "after";
    aDefaults.mChooseStrategy = kChoosers[mNumber / 4 % 3];
    aDefaults.mAdmitStrategy = mNumber / 12 % 2 == 0 ? "early" : "deadline";
    aDefaults.mHedgeLookups = mNumber / 24 % 2 == 0;
  }

  /// Uses few bodies and keys, so that retries of the same request overlap.
  FakeCluster::RequestSpec MakeSpec() const
  {
    static const std::array<const char*, 4> kRoutes = {
      "chat", "lookup", "post", "cert"
    };
    FakeCluster::RequestSpec spec;
    spec.mRoute = kRoutes[mNumber / 2 % 4];
    const std::string number = std::to_string(mNumber / 8 % 3);
    const bool isIdempotent = spec.mRoute == "chat" || spec.mRoute == "lookup";
    spec.mBody = spec.mRoute + number;
    spec.mKey = isIdempotent ? "" : spec.mRoute + "-key" + number;
    spec.mStreaming = mNumber / 24 % 2 == 0 && spec.mRoute != "cert";
    spec.mWorkspace = mNumber / 48 % 2 == 0 ? "a" : "b";
    return spec;
  }

  void show(std::ostream& aOut) const override
  {
    aOut << "RandomAction(" << int(mAction) << "," << int(mFault) << ","
         << mNumber << ")";
  }

  Action mAction;
  Fault mFault;
  std::size_t mNumber;
};

using MakeRouter =
  std::function<std::unique_ptr<Router>(std::shared_ptr<const Configuration>,
                                        std::uint64_t)>;

std::unique_ptr<Router>
MakeCore(std::shared_ptr<const Configuration> aConfig, std::uint64_t aSeed)
{
  return std::make_unique<CoreRouter>(EntryCoreSettings(), aConfig, aSeed);
}

std::unique_ptr<Router>
MakeNaive(std::shared_ptr<const Configuration> aConfig, std::uint64_t)
{
  return std::make_unique<NaiveRouter>(aConfig);
}

/// Runs two routers under one sequence of actions, and then until they are
/// idle.
void
CheckInvariants(const MakeRouter& aMake, const std::string& aOnlyInvariant = "")
{
  auto config = MakeConfiguration();
  FakeCluster cluster(config);
  cluster.CheckOnly(aOnlyInvariant);
  cluster.AddRouter(aMake(config, 1));
  cluster.AddRouter(aMake(config, 2));
  const Model model;
  rc::state::check(
    model, cluster, rc::state::gen::execOneOfWithArgs<RandomAction>());
  const bool isIdle = cluster.RunUntilIdle();
  cluster.CheckFinalState();
  if (!cluster.Violation().empty()) {
    RC_FAIL(cluster.Violation());
  }
  RC_ASSERT(isIdle || !aOnlyInvariant.empty());
}

} // namespace

RC_BOOST_PROP(InvariantsHoldUnderAnyFaults, ())
{
  CheckInvariants(&MakeCore);
}

/// Checks that the test detects violations: the naive router violates each of
/// these invariants.
BOOST_AUTO_TEST_CASE(NaiveRouterViolatesEachInvariant)
{
  rc::detail::TestParams params;
  params.seed = 20261203;
  params.maxSuccess = 3000;
  params.maxSize = 400;
  params.disableShrinking = true;
  for (const char* invariant : { "second final response",
                                 "wrong response",
                                 "token out of order",
                                 "stream ended early",
                                 "verdict not run, but executed",
                                 "executed twice",
                                 "memory still reserved",
                                 "new call to a leaving upstream" }) {
    const auto result = rc::detail::checkTestable(
      [invariant] { CheckInvariants(&MakeNaive, invariant); },
      rc::detail::TestMetadata(),
      params);
    rc::detail::FailureResult failure;
    BOOST_TEST(result.match(failure), invariant << " was not found");
  }
}
