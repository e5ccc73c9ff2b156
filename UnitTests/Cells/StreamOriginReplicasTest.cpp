/// Tests which VMs keep copies of a stream's origin.
#define BOOST_TEST_MODULE StreamOriginReplicas
#include <Peridothoist/Peridothoist.h>
#include <Cells/FleetVms.h>
#include <Peridothoist/Cells/StreamOriginReplicas.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

constexpr int kKeys = 500;

std::string
KeyOf(int aNumber)
{
  return "attempt-" + std::to_string(aNumber);
}

StreamOriginReplicas
MakeReplicas(const VmRecords& aVms,
             const std::string& aOwnVm = "front-z0-1",
             std::size_t aCount = 3)
{
  StreamOriginReplicas replicas({ aCount }, aOwnVm);
  replicas.SetVms(aVms);
  return replicas;
}

std::set<std::string>
NamesOf(const StreamOriginReplicas& aReplicas, int aKey)
{
  std::set<std::string> names;
  for (const VmRecord& it : aReplicas.ReplicasOf(KeyOf(aKey))) {
    names.insert(it.mName);
  }
  return names;
}

std::set<std::string>
ZonesOf(const StreamOriginReplicas& aReplicas, int aKey)
{
  std::set<std::string> zones;
  for (const VmRecord& it : aReplicas.ReplicasOf(KeyOf(aKey))) {
    zones.insert(it.mZone);
  }
  return zones;
}

/// Checks that aJoined replaces one replica of the keys that it gains (or adds
/// one, if there were fewer than three VMs), and that no other key's replicas
/// change. Returns how many keys it gains.
int
CheckJoin(const VmRecords& aBefore, const VmRecord& aJoined)
{
  VmRecords vms = aBefore;
  vms[aJoined.mName] = aJoined;
  const StreamOriginReplicas before = MakeReplicas(aBefore);
  const StreamOriginReplicas after = MakeReplicas(vms);
  int gained = 0;
  for (int key = 0; key < kKeys; ++key) {
    const std::set<std::string> old = NamesOf(before, key);
    std::set<std::string> now = NamesOf(after, key);
    if (now.erase(aJoined.mName) > 0) {
      ++gained;
      BOOST_TEST(old.size() - now.size() == (aBefore.size() < 3 ? 0U : 1U));
      BOOST_TEST(std::includes(old.begin(), old.end(), now.begin(), now.end()));
    } else {
      BOOST_TEST(old == now);
    }
  }
  return gained;
}

} // namespace

// Guards against VMs that look for an origin where no other VM has put it.
BOOST_AUTO_TEST_CASE(AllVmsAgreeOnTheReplicas)
{
  const VmRecords fleet = MakeFleet(3, 4);
  const StreamOriginReplicas reference = MakeReplicas(fleet);
  for (const auto& [name, vm] : fleet) {
    const StreamOriginReplicas own = MakeReplicas(fleet, name);
    for (int key = 0; key < kKeys; ++key) {
      BOOST_TEST(NamesOf(own, key) == NamesOf(reference, key));
    }
  }
}

// Guards against a VM that sends to itself or leaves out another replica.
BOOST_AUTO_TEST_CASE(PeersAreTheReplicasWithoutTheOwnVm)
{
  const VmRecords fleet = MakeFleet(2, 2);
  const StreamOriginReplicas own = MakeReplicas(fleet, "front-z1-2");
  int timesOwn = 0;
  for (int key = 0; key < kKeys; ++key) {
    std::set<std::string> expected;
    for (const VmRecord& it : own.ReplicasOf(KeyOf(key))) {
      expected.insert(it.mPeerAddress);
    }
    BOOST_TEST(expected.size() == 3U);
    timesOwn += static_cast<int>(expected.erase("front-z1-2:7600"));
    const std::vector<std::string> peers = own.PeerAddressesOf(KeyOf(key));
    BOOST_TEST(std::set<std::string>(peers.begin(), peers.end()) == expected);
    BOOST_TEST(peers.size() == expected.size());
  }
  BOOST_TEST(timesOwn > 0);
  BOOST_TEST(timesOwn < kKeys);
}

// Guards against streams that lose their origin whenever the fleet changes.
BOOST_AUTO_TEST_CASE(AVmThatJoinsOrLeavesMovesOnlyItsOwnKeys)
{
  for (const int zones : { 1, 2, 3, 5 }) {
    for (const int perZone : { 1, 2, 6 }) {
      const VmRecords fleet = MakeFleet(zones, perZone);
      const int gained = CheckJoin(fleet, MakeVm("z0", perZone + 1));
      BOOST_TEST(gained > 0);
      BOOST_TEST(CheckJoin(fleet, MakeVm("new-zone", 1)) > 0);
    }
  }
}

// Guards against a join that moves nearly all keys of a large fleet.
BOOST_AUTO_TEST_CASE(AVmOfALargeFleetGainsFewKeys)
{
  const int gained = CheckJoin(MakeFleet(5, 59), MakeVm("z0", 60));
  BOOST_TEST(gained < kKeys / 20);
}

// Guards against the loss of all copies together with one zone.
BOOST_AUTO_TEST_CASE(ReplicasAreInDifferentZonesWhereThereAreSeveral)
{
  const StreamOriginReplicas three = MakeReplicas(MakeFleet(3, 5));
  const StreamOriginReplicas two = MakeReplicas(MakeFleet(2, 5));
  const StreamOriginReplicas one = MakeReplicas(MakeFleet(1, 5));
  for (int key = 0; key < kKeys; ++key) {
    BOOST_TEST(ZonesOf(three, key).size() == 3U);
    BOOST_TEST(ZonesOf(two, key).size() == 2U);
    BOOST_TEST(NamesOf(two, key).size() == 3U);
    BOOST_TEST(NamesOf(one, key).size() == 3U);
  }
}

// Guards against a zone with few VMs whose keys all get the same replicas.
BOOST_AUTO_TEST_CASE(ReplicasAreSpreadOverAllVms)
{
  const VmRecords fleet = MakeFleet(3, 4);
  const StreamOriginReplicas replicas = MakeReplicas(fleet);
  std::map<std::string, int> keys;
  for (int key = 0; key < kKeys; ++key) {
    for (const std::string& name : NamesOf(replicas, key)) {
      ++keys[name];
    }
  }
  for (const auto& [name, vm] : fleet) { // Expected: 500 * 3 / 12 = 125.
    BOOST_TEST(keys[name] > 75);
    BOOST_TEST(keys[name] < 175);
  }
}

// Guards against copies at VMs that cannot receive or do not know the messages.
BOOST_AUTO_TEST_CASE(VmsOfOtherBuildsKeepNoOrigins)
{
  VmRecords fleet = MakeFleet(1, 2);
  fleet["no-zone"] = { "no-zone", "", "no-zone:7600" };
  fleet["no-address"] = { "no-address", "z0", "" };
  const StreamOriginReplicas replicas = MakeReplicas(fleet);
  for (int key = 0; key < kKeys; ++key) {
    const std::set<std::string> names = NamesOf(replicas, key);
    BOOST_TEST(names == std::set<std::string>({ "front-z0-1", "front-z0-2" }));
  }
}

// Guards against failures while no VMs are known, or the own one only.
BOOST_AUTO_TEST_CASE(AFleetWithoutPeersHasNoPeerAddresses)
{
  BOOST_TEST(MakeReplicas({}).PeerAddressesOf("a").empty());
  BOOST_TEST(MakeReplicas(MakeFleet(1, 1)).PeerAddressesOf("a").empty());
}
