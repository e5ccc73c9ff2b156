/// A request that crashes what runs it takes down two upstreams at the most,
/// bystanders finish, and nobody innocent is quarantined.
#define BOOST_TEST_MODULE Crash
#include <Peridothoist/Peridothoist.h>
#include <Request/FakeWorld.h>
#include <Request/NaiveRouter.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

constexpr std::uint32_t kUpstreams = 5;

/// Requests, and when and how they are sent.
struct Plan
{
  std::uint32_t mPoisons = 1;
  std::uint32_t mBystanders = 5;
  bool mPlain = false;
  std::vector<std::uint32_t> mMoves;
};

Plan
AnyPlan()
{
  Plan plan;
  plan.mPoisons = *rc::gen::inRange<std::uint32_t>(1, 3);
  plan.mBystanders = *rc::gen::inRange<std::uint32_t>(0, 15);
  plan.mPlain = *rc::gen::arbitrary<bool>();
  plan.mMoves = *rc::gen::container<std::vector<std::uint32_t>>(
    300, rc::gen::inRange<std::uint32_t>(0, 1000000));
  return plan;
}

FakeWorld::Ask
MakeAsk(const Plan& aPlan, const std::string& aBody)
{
  FakeWorld::Ask ask;
  ask.mRoute = aPlan.mPlain ? "lookup" : "chat";
  ask.mBody = aBody;
  return ask;
}

/// A poison's caller sends it again when it was refused.
void
Resend(FakeWorld& aWorld, const Plan& aPlan, std::uint64_t& aLast)
{
  const FakeWorld::Caller caller = aWorld.Callers()[aLast];
  if (caller.mFinals > 0) {
    aLast = aWorld.Arrive(0, MakeAsk(aPlan, caller.mAsk.mBody));
  }
}

void
Play(FakeWorld& aWorld, const Plan& aPlan)
{
  std::vector<std::uint64_t> poisons;
  std::uint32_t bystanders = 0;
  for (std::uint32_t move : aPlan.mMoves) {
    const std::uint32_t number = move / 20;
    if (move % 20 == 0 && poisons.size() < aPlan.mPoisons) {
      const std::string body = "poison" + std::to_string(poisons.size());
      aWorld.mPoison.insert(body);
      poisons.push_back(aWorld.Arrive(0, MakeAsk(aPlan, body)));
    } else if (move % 20 < 2 && bystanders < aPlan.mBystanders) {
      const std::string body = "good" + std::to_string(bystanders++);
      aWorld.Arrive(0, MakeAsk(aPlan, body));
    } else if (move % 20 == 2 && !poisons.empty()) {
      Resend(aWorld, aPlan, poisons[number % poisons.size()]);
    } else if (move % 20 == 3) {
      aWorld.Advance(Duration(number % 300 * 1000));
    } else if (move % 20 == 4) {
      const char* pools[] = { "pre", "dec", "svc" };
      const std::string name =
        pools[number % 3] + std::to_string(number / 3 % kUpstreams);
      aWorld.Advance(1ms); // Word of its crash comes before.
      aWorld.Revive(name);
      aWorld.Report(name);
    } else {
      aWorld.Step(number, Fault::None);
    }
  }
  aWorld.Quiesce();
  for (std::uint64_t& it : poisons) {
    for (int n = 0; n < 3; ++n) {
      Resend(aWorld, aPlan, it);
      aWorld.Quiesce();
    }
  }
}

void
Check(FakeWorld& aWorld)
{
  for (const auto& [body, kills] : aWorld.mKills) {
    RC_ASSERT(kills <= 2);
  }
  for (const std::string& body : aWorld.At(0).Quarantined(aWorld.Now())) {
    RC_ASSERT(aWorld.mPoison.count(body) == 1u);
  }
  for (const auto& [id, caller] : aWorld.Callers()) {
    const bool good = aWorld.mPoison.count(caller.mAsk.mBody) == 0;
    if (good && !caller.mComplete) {
      RC_LOG() << caller.mAsk.mBody << " "
               << (caller.mRefusal ? ToName(caller.mRefusal->mKind) : "open")
               << "\n";
    }
    RC_ASSERT(!good || caller.mComplete);
  }
  aWorld.CheckEnd();
  RC_ASSERT(aWorld.Violation().empty());
}

} // namespace

RC_BOOST_PROP(PoisonTakesDownTwoAtMost, ())
{
  auto config = MakeConfiguration(kUpstreams);
  FakeWorld world(config);
  world.AddRouter(std::make_unique<CoreRouter>(EntryCoreSettings(), config, 1));
  Play(world, AnyPlan());
  Check(world);
}

/// Upstreams that are cut off, or that leave and stop, blame nobody.
RC_BOOST_PROP(OnlyCrashesAreEvidence, ())
{
  auto config = MakeConfiguration(kUpstreams);
  FakeWorld world(config);
  world.AddRouter(std::make_unique<CoreRouter>(EntryCoreSettings(), config, 1));
  for (int n = 0; n < 60; ++n) {
    const bool plain = *rc::gen::arbitrary<bool>();
    const int number = *rc::gen::inRange(0, 100);
    const std::string upstream =
      (plain ? "svc" : "dec") + std::to_string(number % int(kUpstreams));
    const int move = *rc::gen::inRange(0, 20);
    if (move < 4) {
      const std::string body = "body" + std::to_string(n);
      world.Arrive(0, { plain ? "lookup" : "chat", body, "", true, "a" });
    } else if (move == 4) {
      world.Cut(upstream);
    } else if (move == 5) {
      world.SetLeaving(upstream, true);
      world.Crash(upstream);
    } else if (move == 6) {
      world.Advance(1ms); // Word of its end comes before.
      world.Revive(upstream);
      world.SetLeaving(upstream, false);
    } else {
      world.Step(std::size_t(number), Fault::None);
    }
    RC_ASSERT(world.At(0).Quarantined(world.Now()).empty());
  }
  RC_ASSERT(world.Quiesce());
  world.CheckEnd();
  RC_ASSERT(world.Violation() == "");
  RC_ASSERT(world.At(0).Quarantined(world.Now()).empty());
}

namespace {

/// Two VMs that tell each other of suspects and quarantines.
struct TwoVms
{
  TwoVms()
    : mConfig(MakeConfiguration(kUpstreams))
    , mWorld(mConfig)
  {
    for (auto& vm : mVms) {
      auto router =
        std::make_unique<CoreRouter>(EntryCoreSettings(), mConfig, 1);
      vm = &router->Core();
      mWorld.AddRouter(std::move(router));
    }
  }

  void Exchange()
  {
    RequestCommands commands;
    const TimePoint now = mWorld.Now();
    for (std::size_t n = 0; n < 2; ++n) {
      for (const QuarantinedDigest& it : mVms[n]->Suspects(now)) {
        mVms[1 - n]->OnSuspect(it.mDigest, it.mLasts, now);
      }
      for (const QuarantinedDigest& it : mVms[n]->Quarantined(now)) {
        mVms[1 - n]->OnQuarantine(it.mDigest, it.mLasts, now, commands);
      }
    }
  }

  std::shared_ptr<Configuration> mConfig;
  FakeWorld mWorld;
  std::array<EntryCore*, 2> mVms{};
};

} // namespace

/// The caller of a request that must not repeat sends it again, with a new
/// key each time, to one VM after the other.
BOOST_AUTO_TEST_CASE(PoisonIsKnownAtAllVms)
{
  TwoVms vms;
  vms.mWorld.mPoison.insert("x");
  for (std::size_t n = 0; n < 6; ++n) {
    vms.mWorld.Arrive(n, { "post", "x", std::to_string(n), false, "a" });
    vms.mWorld.Quiesce();
    vms.Exchange();
  }
  vms.mWorld.CheckEnd();
  BOOST_TEST(vms.mWorld.Violation() == "");
  BOOST_TEST(vms.mWorld.mKills["x"] == 2);
  const auto& callers = vms.mWorld.Callers();
  const Refusal& last = *callers.rbegin()->second.mRefusal;
  BOOST_TEST(bool(last.mKind == RefusalKind::Quarantined));
  BOOST_TEST(bool(last.mVerdict == RunVerdict::NotRun));
}

/// Copies that come while the first waits to run apart don't run beside it.
BOOST_AUTO_TEST_CASE(CopiesOfASuspectRunOneByOne)
{
  auto config = MakeConfiguration(kUpstreams);
  FakeWorld world(config);
  world.AddRouter(std::make_unique<CoreRouter>(EntryCoreSettings(), config, 1));
  world.mPoison.insert("x");
  world.Arrive(0, { "lookup", "x", "", false, "a" });
  while (world.mKills["x"] == 0) {
    world.Step(0, Fault::None);
  }
  world.Advance(1ms); // Word of the crash comes.
  for (int n = 0; n < 4; ++n) {
    world.Arrive(0, { "lookup", "x", "", false, "a" });
  }
  world.Quiesce();
  BOOST_TEST(world.mKills["x"] == 2);
}

BOOST_AUTO_TEST_CASE(NaiveRouterIsFoundViolating)
{
  const auto result = rc::detail::checkTestable([] {
    auto config = MakeConfiguration(kUpstreams);
    FakeWorld world(config);
    world.AddRouter(std::make_unique<NaiveRouter>(config));
    Play(world, AnyPlan());
    Check(world);
  });
  rc::detail::FailureResult failure;
  BOOST_TEST(result.match(failure));
}
