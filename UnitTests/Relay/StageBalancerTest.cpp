/// Tests which prefill engines are ordered to decode.
#define BOOST_TEST_MODULE StageBalancer
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/StageBalancer.h>
#include <Relay/PlainUpstream.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

const TimePoint kNow{ 1h };

RelayUpstream
MakeEngine(const std::string& aId, RelayStage aStage, const std::string& aZone)
{
  RelayUpstream engine = MakeUpstream(aId);
  engine.mStage = aStage;
  engine.mZone = aZone;
  engine.mIncarnationId = 7;
  return engine;
}

/// A fleet in which a third of the engines are prefill engines.
struct Fleet
{
  explicit Fleet(int aEngines)
  {
    for (int n = 0; n < aEngines; ++n) {
      const bool prefill = n % 3 == 0;
      mEngines.push_back(
        MakeEngine("e" + std::to_string(n),
                   prefill ? RelayStage::Prefill : RelayStage::Decode,
                   n % 2 == 0 ? "a" : "b"));
    }
    List(kNow);
  }

  void List(TimePoint aNow) { mUpstreamList.OnListRead(mEngines, aNow); }

  std::size_t PrefillEngines() const
  {
    return static_cast<std::size_t>(
      std::count_if(mEngines.begin(), mEngines.end(), [](const auto& aEngine) {
        return aEngine.mStage == RelayStage::Prefill;
      }));
  }

  void Switch(const std::string& aId)
  {
    for (RelayUpstream& it : mEngines) {
      if (it.mId == aId) {
        it.mStage = RelayStage::Decode;
      }
    }
  }

  std::vector<RelayUpstream> mEngines;
  UpstreamList mUpstreamList{ UpstreamListSettings() };
};

std::vector<std::string>
NamesOf(const std::vector<RelayUpstream>& aEngines)
{
  std::vector<std::string> names;
  for (const RelayUpstream& it : aEngines) {
    names.push_back(it.mId);
  }
  return names;
}

} // namespace

BOOST_AUTO_TEST_CASE(ExcessPrefillEnginesAreChosenOnceListedLongEnough)
{
  // Long streams fill the memory of the decode engines while prefill engines
  // are idle.
  Fleet fleet(30);
  StageBalancer balancer{ StageBalancerSettings() };
  BOOST_TEST(balancer.Choose(fleet.mUpstreamList, kNow).empty());
  const auto chosen = balancer.Choose(fleet.mUpstreamList, kNow + 5s);
  // Of 10 prefill engines, 6 are kept, a fifth of all 30.
  BOOST_TEST(chosen.size() == 4U);
  std::map<std::string, int> byZone;
  for (const RelayUpstream& it : chosen) {
    BOOST_TEST((it.mStage == RelayStage::Prefill));
    ++byZone[it.mZone];
  }
  BOOST_TEST(byZone["a"] == 2);
  BOOST_TEST(byZone["b"] == 2);
}

BOOST_AUTO_TEST_CASE(AnOrderedEngineIsNotOrderedAgain)
{
  Fleet fleet(30);
  StageBalancer balancer{ StageBalancerSettings() };
  balancer.Choose(fleet.mUpstreamList, kNow);
  for (const RelayUpstream& it :
       balancer.Choose(fleet.mUpstreamList, kNow + 5s)) {
    balancer.OnOrdered(it);
  }
  BOOST_TEST(balancer.Choose(fleet.mUpstreamList, kNow + 6s).empty());
}

BOOST_AUTO_TEST_CASE(ARestartedEngineIsOrderedAgain)
{
  Fleet fleet(30);
  StageBalancer balancer{ StageBalancerSettings() };
  balancer.Choose(fleet.mUpstreamList, kNow);
  const auto chosen = balancer.Choose(fleet.mUpstreamList, kNow + 5s);
  for (const RelayUpstream& it : chosen) {
    balancer.OnOrdered(it);
  }
  for (RelayUpstream& it : fleet.mEngines) {
    it.mIncarnationId = 8;
  }
  fleet.List(kNow + 6s);
  BOOST_TEST(balancer.Choose(fleet.mUpstreamList, kNow + 6s).empty());
  BOOST_TEST(balancer.Choose(fleet.mUpstreamList, kNow + 11s).size() == 4U);
}

BOOST_AUTO_TEST_CASE(ASmallServiceKeepsTheMinimumOfPrefillEngines)
{
  Fleet fleet(6);
  StageBalancer balancer{ StageBalancerSettings() };
  balancer.Choose(fleet.mUpstreamList, kNow);
  BOOST_TEST(balancer.Choose(fleet.mUpstreamList, kNow + 5s).empty());
}

BOOST_AUTO_TEST_CASE(NoEngineIsChosenWithAFractionOfZero)
{
  StageBalancerSettings settings;
  settings.mPrefillFraction = 0;
  Fleet fleet(30);
  StageBalancer balancer(settings);
  balancer.Choose(fleet.mUpstreamList, kNow);
  BOOST_TEST(balancer.Choose(fleet.mUpstreamList, kNow + 5s).empty());
}

RC_BOOST_PROP(TwoLeadersOrderNoMoreEnginesThanOne, ())
{
  // Two VMs both act as the leader, and see engines change their stage at
  // different times. Each order inserts a row that can be inserted only
  // once.
  Fleet one(*rc::gen::inRange(6, 60));
  Fleet two = one;
  const auto kept = std::max<std::size_t>(2, (one.mEngines.size() + 4) / 5);
  const std::size_t minimum = std::min(kept, one.PrefillEngines());
  StageBalancer first{ StageBalancerSettings() };
  StageBalancer second{ StageBalancerSettings() };
  first.Choose(one.mUpstreamList, kNow);
  second.Choose(two.mUpstreamList, kNow);
  std::set<std::string> rows;
  TimePoint now = kNow + 5s;
  for (int n = 0; n < 20; ++n) {
    now += 1s;
    const bool isFirst = *rc::gen::inRange(0, 2) == 0;
    Fleet& fleet = isFirst ? one : two;
    StageBalancer& balancer = isFirst ? first : second;
    for (const RelayUpstream& it : balancer.Choose(fleet.mUpstreamList, now)) {
      if (*rc::gen::inRange(0, 3) > 0) {
        rows.insert(it.mId);
        balancer.OnOrdered(it);
      }
    }
    for (const std::string& id : rows) {
      if (*rc::gen::inRange(0, 3) == 0) {
        fleet.Switch(id);
      }
    }
    fleet.List(now);
  }
  std::size_t remaining = 0;
  for (const RelayUpstream& it : one.mEngines) {
    remaining +=
      it.mStage == RelayStage::Prefill && rows.count(it.mId) == 0 ? 1 : 0;
  }
  RC_ASSERT(remaining >= minimum);
}
