/// Any order of arrivals, answers, losses, crashes, changes and departures:
/// each request is answered once and whole, what must not repeat runs once at
/// the most, "not run" is true, and no engine memory stays held.
#define BOOST_TEST_MODULE Chaos
#include <Peridothoist/Peridothoist.h>
#include <Request/FakeWorld.h>
#include <Request/NaiveRouter.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <rapidcheck/state.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

enum class Move
{
  Arrive,
  Step,
  Notice,
  Advance,
  Crash,
  Cut,
  Revive,
  Report,
  CallerGone,
  Leaving,
  Strategies
};

/// The model is empty: what must hold is checked by the world itself.
struct Model
{};

using Base = rc::state::Command<Model, FakeWorld>;

/// One move of the test.
struct Play : public Base
{
  explicit Play()
    : mMove(*rc::gen::weightedElement<Move>({ { 6, Move::Arrive },
                                              { 40, Move::Step },
                                              { 3, Move::Notice },
                                              { 6, Move::Advance },
                                              { 1, Move::Crash },
                                              { 1, Move::Cut },
                                              { 2, Move::Revive },
                                              { 3, Move::Report },
                                              { 1, Move::CallerGone },
                                              { 1, Move::Leaving },
                                              { 1, Move::Strategies } }))
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

  void run(const Model& /*aModel*/, FakeWorld& aWorld) const override
  {
    Do(aWorld);
    if (!aWorld.Violation().empty()) {
      RC_FAIL(aWorld.Violation());
    }
  }

  void Do(FakeWorld& aWorld) const
  {
    static const std::array<const char*, 3> kPools = { "pre", "dec", "svc" };
    const std::string upstream =
      kPools[mNumber % 3] + std::to_string(mNumber / 3 % 3);
    switch (mMove) {
      case Move::Arrive:
        aWorld.Arrive(mNumber % 2, MakeAsk());
        break;
      case Move::Step:
        aWorld.Step(mNumber, mFault);
        break;
      case Move::Notice:
        aWorld.StepNotice();
        break;
      case Move::Advance:
        aWorld.Advance(Duration(mNumber * 1000));
        break;
      case Move::Crash:
        aWorld.Crash(upstream);
        break;
      case Move::Cut:
        aWorld.Cut(upstream);
        break;
      case Move::Revive:
        aWorld.Revive(upstream);
        break;
      case Move::Report:
        aWorld.Report(upstream);
        break;
      case Move::CallerGone:
        aWorld.LeaveCaller(mNumber);
        break;
      case Move::Leaving:
        aWorld.SetLeaving(upstream, mNumber / 9 % 2 == 0);
        break;
      case Move::Strategies:
        aWorld.Change([this](Configuration& aConfig) {
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

  /// Few bodies and keys, so that resends meet each other.
  FakeWorld::Ask MakeAsk() const
  {
    static const std::array<const char*, 4> kRoutes = {
      "chat", "lookup", "post", "cert"
    };
    FakeWorld::Ask ask;
    ask.mRoute = kRoutes[mNumber / 2 % 4];
    const std::string number = std::to_string(mNumber / 8 % 3);
    const bool repeats = ask.mRoute == "chat" || ask.mRoute == "lookup";
    ask.mBody = ask.mRoute + number;
    ask.mKey = repeats ? "" : ask.mRoute + "-key" + number;
    ask.mStreaming = mNumber / 24 % 2 == 0 && ask.mRoute != "cert";
    ask.mWorkspace = mNumber / 48 % 2 == 0 ? "a" : "b";
    return ask;
  }

  void show(std::ostream& aOut) const override
  {
    aOut << "Play(" << int(mMove) << "," << int(mFault) << "," << mNumber
         << ")";
  }

  Move mMove;
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

/// Two routers under one sequence of moves; then all comes to its end.
void
CheckChaos(const MakeRouter& aMake, const std::string& aOnly = "")
{
  auto config = MakeConfiguration();
  FakeWorld world(config);
  world.SetOnly(aOnly);
  world.AddRouter(aMake(config, 1));
  world.AddRouter(aMake(config, 2));
  const Model model;
  rc::state::check(model, world, rc::state::gen::execOneOfWithArgs<Play>());
  const bool quiet = world.Quiesce();
  world.CheckEnd();
  if (!world.Violation().empty()) {
    RC_FAIL(world.Violation());
  }
  RC_ASSERT(quiet || !aOnly.empty());
}

} // namespace

RC_BOOST_PROP(EverythingHoldsUnderAnyFaults, ())
{
  CheckChaos(&MakeCore);
}

/// Each point for itself: the naive router breaks every one of them.
BOOST_AUTO_TEST_CASE(NaiveRouterIsFoundViolating)
{
  rc::detail::TestParams params;
  params.seed = 20261203;
  params.maxSuccess = 3000;
  params.maxSize = 400;
  params.disableShrinking = true;
  for (const char* point : { "answered twice",
                             "another answer",
                             "token out of place",
                             "stream ends short",
                             "not run, but ran",
                             "ran twice",
                             "memory held at the end",
                             "new work at a leaving upstream" }) {
    const auto result =
      rc::detail::checkTestable([point] { CheckChaos(&MakeNaive, point); },
                                rc::detail::TestMetadata(),
                                params);
    rc::detail::FailureResult failure;
    BOOST_TEST(result.match(failure), point << " was not found");
  }
}
