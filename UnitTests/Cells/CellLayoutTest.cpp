/// Tests how a fleet is divided into cells, and engines over them.
#define BOOST_TEST_MODULE CellLayout
#include <Peridothoist/Peridothoist.h>
#include <Cells/FleetVms.h>
#include <Peridothoist/Cells/HomeEngines.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

const TimePoint kNow{ 1h };

RelayUpstream
MakeEngine(const std::string& aZone, int aNumber, RelayStage aStage)
{
  RelayUpstream engine;
  engine.mId = "e-" + aZone + '-' + std::to_string(aNumber);
  engine.mService = "model";
  engine.mZone = aZone;
  engine.mStage = aStage;
  return engine;
}

/// Returns aPerZone engines in each of five zones, each third of which reads
/// prompts.
std::vector<RelayUpstream>
MakeEngines(int aPerZone)
{
  std::vector<RelayUpstream> engines;
  for (int zone = 0; zone < 5; ++zone) {
    for (int n = 0; n < aPerZone; ++n) {
      engines.push_back(
        MakeEngine("z" + std::to_string(zone),
                   n,
                   n % 3 == 0 ? RelayStage::Prefill : RelayStage::Decode));
    }
  }
  return engines;
}

/// Returns the home cell of each engine.
std::map<std::string, CellId>
HomesOf(const CellLayout& aLayout, const std::vector<RelayUpstream>& aEngines)
{
  UpstreamList list({});
  list.OnListRead(aEngines, kNow);
  std::map<std::string, CellId> homes;
  for (const CellId& cell : aLayout.Cells()) {
    for (const std::string& id : HomeEngines(aLayout, cell, list)) {
      BOOST_TEST(homes.count(id) == 0U);
      homes[id] = cell;
    }
  }
  return homes;
}

} // namespace

BOOST_AUTO_TEST_CASE(ASmallFleetIsOneCellOverAllZones)
{
  const CellLayout layout = MakeLayout(MakeFleet(3, 2));
  BOOST_TEST(layout.IsSingleCell());
  BOOST_TEST(
    (layout.CellOf("front-z0-1", "z0") == layout.CellOf("front-z2-2", "z2")));
  BOOST_TEST(layout.VmsOf(CellId()).size() == 6U);
}

BOOST_AUTO_TEST_CASE(CellsOfALargeFleetHaveABoundedSize)
{
  for (const int perZone : { 15, 59, 138 }) {
    const CellLayout layout = MakeLayout(MakeFleet(5, perZone));
    BOOST_TEST(!layout.IsSingleCell());
    std::size_t total = 0;
    for (const CellId& cell : layout.Cells()) {
      const std::size_t size = layout.VmsOf(cell).size();
      BOOST_TEST(size > 0U);
      BOOST_TEST(size <= 32U);
      total += size;
    }
    BOOST_TEST(total == static_cast<std::size_t>(5 * perZone));
  }
}

BOOST_AUTO_TEST_CASE(FewVmsChangeCellsWhenOneJoins)
{
  const CellLayout before = MakeLayout(MakeFleet(5, 59));
  VmRecords vms = MakeFleet(5, 59);
  for (int n = 60; n <= 66; ++n) { // Three cells' worth of VMs more than four.
    const VmRecord joined = MakeVm("z0", n);
    vms[joined.mName] = joined;
  }
  const CellLayout after = MakeLayout(vms);
  BOOST_TEST(after.CellCount("z0") == before.CellCount("z0") + 1);
  int moved = 0;
  for (const auto& [name, vm] : before.Vms()) {
    const bool isSame =
      before.CellOf(name, vm.mZone) == after.CellOf(name, vm.mZone);
    moved += isSame ? 0 : 1;
    BOOST_TEST((isSame || vm.mZone == "z0"));
  }
  BOOST_TEST(moved < 59 / 2);
}

BOOST_AUTO_TEST_CASE(VmsOfOtherBuildsBelongToNoCell)
{
  VmRecords vms = MakeFleet(5, 59);
  vms["old"] = { "old", "", "" };
  const CellLayout layout = MakeLayout(vms);
  for (const CellId& cell : layout.Cells()) {
    for (const VmRecord& vm : layout.VmsOf(cell)) {
      BOOST_TEST(vm.mName != "old");
    }
  }
}

BOOST_AUTO_TEST_CASE(EveryEngineHasOneHomeAndCellsHaveEqualParts)
{
  const CellLayout layout = MakeLayout(MakeFleet(5, 59));
  const auto homes = HomesOf(layout, MakeEngines(39));
  BOOST_TEST(homes.size() == 5U * 39U);
  std::map<CellId, int> counts;
  for (const auto& [id, cell] : homes) {
    BOOST_TEST(id.find(cell.mZone) != std::string::npos);
    ++counts[cell];
  }
  for (const CellId& cell : layout.Cells()) {
    const double vms = static_cast<double>(layout.VmsOf(cell).size());
    // Each stage is divided separately and rounded up.
    BOOST_TEST(counts[cell] <= 39.0 * vms / 59.0 + 2);
  }
}

BOOST_AUTO_TEST_CASE(FewEnginesMoveWhenOneLeaves)
{
  const CellLayout layout = MakeLayout(MakeFleet(5, 59));
  std::vector<RelayUpstream> engines = MakeEngines(39);
  const auto before = HomesOf(layout, engines);
  engines.erase(engines.begin() + 7);
  const auto after = HomesOf(layout, engines);
  int moved = 0;
  for (const auto& [id, cell] : after) {
    moved += cell == before.at(id) ? 0 : 1;
  }
  BOOST_TEST(moved <= 4);
}

BOOST_AUTO_TEST_CASE(EnginesOfASingleCellHaveNoHome)
{
  UpstreamList list({});
  list.OnListRead(MakeEngines(3), kNow);
  const CellLayout layout = MakeLayout(MakeFleet(3, 2));
  BOOST_TEST(HomeEngines(layout, CellId(), list).empty());
}
