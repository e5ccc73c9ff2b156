/// Plays the gossip of a fleet of 295 VMs in five zones without a network: what
/// each VM knows of the others, and how many messages that takes.
#define BOOST_TEST_MODULE FleetGossip
#include <Peridothoist/Peridothoist.h>
#include <Cells/FleetVms.h>
#include <Peridothoist/Cells/CellMembership.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Relay/CallerDirectory.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

constexpr int kZones = 5;
constexpr int kPerZone = 59;
constexpr std::size_t kVms = kZones * kPerZone;
const TimePoint kStart{ 1h };
/// Messages of a VM of which one tells speeds of upstreams.
constexpr std::uint64_t kMessagesPerSpeedReport = 7;

/// One VM's state as its gossip needs it.
struct Vm
{
  Vm(const VmRecord& aRecord, const VmRecords& aVms)
    : mRecord(aRecord)
    , mMembers({ 1200ms }, aRecord.mName)
    , mSummaries({})
    , mCells({}, aRecord, &mMembers, &mSummaries)
  {
    mCells.SetVms(aVms);
  }

  GossipMessage Message(std::uint64_t aSequence) const
  {
    GossipMessage message;
    message.mVm = mRecord.mName;
    message.mZone = mRecord.mZone;
    message.mInstance = mRecord.mName + "#1";
    message.mSequence = aSequence;
    message.mPeerAddress = mRecord.mPeerAddress;
    message.mCallerAddress = mRecord.mName + ":80";
    message.mServing = ServingState::Everything;
    message.mGranted = { { "w", 10 } };
    message.mWork = { { "engine-" + mRecord.mZone, { 1, 100 } } };
    message.mWaiting = { { "s", { 1, 0 } } };
    if (aSequence % kMessagesPerSpeedReport == 0) {
      message.mSpeeds = mSpeeds;
    }
    return message;
  }

  VmRecord mRecord;
  MembershipTable mMembers;
  SummaryTable mSummaries;
  CellMembership mCells;
  SpeedsByUpstream mSpeeds; ///< That it tells the others.
};

/// All VMs, and the messages between them, by address.
struct Fleet
{
  Fleet()
  {
    const VmRecords records = MakeFleet(kZones, kPerZone);
    for (const auto& [name, record] : records) {
      mVms[record.mPeerAddress] = std::make_unique<Vm>(record, records);
    }
    std::vector<RelayUpstream> engines;
    for (int zone = 0; zone < kZones; ++zone) {
      RelayUpstream engine;
      engine.mZone = "z" + std::to_string(zone);
      engine.mId = "engine-" + engine.mZone;
      engines.push_back(engine);
    }
    mUpstreams.OnListRead(engines, kStart);
  }

  /// Lets every VM except the silent ones send once.
  void Round(const std::set<std::string>& aSilent = {})
  {
    mNow += 250ms;
    ++mSequence;
    mMaxSent = 0;
    for (auto& [address, vm] : mVms) {
      if (aSilent.count(vm->mRecord.mName) == 0) {
        Send(*vm, aSilent);
      }
    }
  }

  void Send(Vm& aVm, const std::set<std::string>& aSilent)
  {
    std::size_t sent = 0;
    GossipMessage message = aVm.Message(mSequence);
    message.mAnnouncesContents = aVm.mRecord.mName != mOldBuild;
    const auto peers = aVm.mCells.CellPeerAddresses();
    for (const std::string& address : peers) {
      ++sent;
      Vm& to = *mVms.at(address);
      if (aSilent.count(to.mRecord.mName) == 0 && to.mCells.IsPeer(message)) {
        to.mMembers.OnGossipMessage(message, mNow);
      }
    }
    aVm.mSummaries.DropSilent(mNow);
    if (aVm.mCells.IsLeader(false, mNow)) {
      sent += SendSummaries(aVm, message, aSilent);
      sent += peers.size();
    }
    mMaxSent = std::max(mMaxSent, sent);
  }

  std::size_t SendSummaries(Vm& aVm,
                            const GossipMessage& aMessage,
                            const std::set<std::string>& aSilent)
  {
    const auto targets = aVm.mCells.NextSummaryTargets();
    for (const SummaryTarget& it : targets) {
      Vm& to = *mVms.at(it.mAddress);
      const bool isHeard =
        aSilent.count(to.mRecord.mName) == 0 && to.mCells.IsLeader(false, mNow);
      if (isHeard) {
        to.mSummaries.OnSummary(
          aVm.mCells.SummarizeCell(
            aMessage, {}, mUpstreams, it.mCell.mZone, mNow),
          mNow);
      }
    }
    return targets.size();
  }

  std::vector<Vm*> Leaders()
  {
    std::vector<Vm*> leaders;
    for (auto& [address, vm] : mVms) {
      if (vm->mCells.IsLeader(false, mNow)) {
        leaders.push_back(vm.get());
      }
    }
    return leaders;
  }

  std::map<std::string, std::unique_ptr<Vm>> mVms; ///< By address.
  UpstreamList mUpstreams{ {} };
  TimePoint mNow = kStart;
  std::uint64_t mSequence = 0;
  std::size_t mMaxSent = 0; ///< Messages of one VM in the last round.
  std::string mOldBuild;    ///< VM that announces no contents of streams.
};

} // namespace

BOOST_AUTO_TEST_CASE(LeadersKnowTheWholeFleetAndSendToABoundedNumber)
{
  Fleet fleet;
  for (int round = 0; round < 8; ++round) {
    fleet.Round();
  }
  const auto leaders = fleet.Leaders();
  BOOST_TEST(leaders.size() == leaders.front()->mCells.Layout().Cells().size());
  for (Vm* leader : leaders) {
    std::size_t reachable = 1 + leader->mSummaries.ReachableVms();
    for (const auto& [name, member] : leader->mMembers.Members()) {
      reachable += leader->mMembers.IsReachable(name, fleet.mNow) ? 1 : 0;
    }
    BOOST_TEST(reachable == kVms);
    // It knows the work of all VMs at the engines of its zone.
    GossipSummary sum;
    leader->mSummaries.AddUp(sum);
    const std::size_t elsewhere =
      kPerZone - leader->mMembers.Members().size() - 1;
    const std::string own = "engine-" + leader->mRecord.mZone;
    BOOST_TEST(sum.mWork.size() == 1U);
    BOOST_TEST(sum.mWork[own].mRequests == elsewhere);
  }
  BOOST_TEST(fleet.mMaxSent < 100U);
}

// Guards against VMs that rely on all streams of a content being announced
// beside a VM of another cell that announces none.
BOOST_AUTO_TEST_CASE(LeadersKnowWhetherAllVmsAnnounceContents)
{
  Fleet fleet;
  for (int round = 0; round < 8; ++round) {
    fleet.Round();
  }
  for (Vm* leader : fleet.Leaders()) {
    BOOST_TEST(leader->mSummaries.AnnounceContents());
  }
  fleet.mOldBuild = fleet.mVms.begin()->second->mRecord.mName;
  const CellId cell = fleet.mVms.begin()->second->mCells.OwnCell();
  for (int round = 0; round < 8; ++round) {
    fleet.Round();
  }
  for (Vm* leader : fleet.Leaders()) {
    const bool isElsewhere = !(leader->mCells.OwnCell() == cell);
    BOOST_TEST(leader->mSummaries.AnnounceContents() != isElsewhere);
  }
}

BOOST_AUTO_TEST_CASE(ALostLeaderIsReplacedWithinSeconds)
{
  Fleet fleet;
  for (int round = 0; round < 8; ++round) {
    fleet.Round();
  }
  const std::string lost = fleet.Leaders().front()->mRecord.mName;
  for (int round = 0; round < 16; ++round) {
    fleet.Round({ lost });
  }
  for (Vm* leader : fleet.Leaders()) {
    if (leader->mRecord.mName == lost) {
      continue;
    }
    std::size_t reachable = 1 + leader->mSummaries.ReachableVms();
    for (const auto& [name, member] : leader->mMembers.Members()) {
      reachable += leader->mMembers.IsReachable(name, fleet.mNow) ? 1 : 0;
    }
    BOOST_TEST(reachable == kVms - 1);
  }
}

BOOST_AUTO_TEST_CASE(OneVmOfEachZoneReadsTheStore)
{
  Fleet fleet;
  for (int round = 0; round < 8; ++round) {
    fleet.Round();
  }
  std::set<std::string> zones;
  for (const auto& [address, vm] : fleet.mVms) {
    const ViewRole role = vm->mCells.RoleForView(false, fleet.mNow);
    if (role.mIsReader) {
      BOOST_TEST(zones.insert(vm->mRecord.mZone).second);
    } else {
      BOOST_TEST(role.mPeers.size() == 1U);
    }
  }
  BOOST_TEST(zones.size() == static_cast<std::size_t>(kZones));
}

BOOST_AUTO_TEST_CASE(CallersAreSpreadOverTheVmsOfTheirZone)
{
  std::vector<CallerAddress> callers;
  for (const auto& [name, vm] : MakeFleet(kZones, 2 * kPerZone)) {
    callers.push_back({ vm.mZone, name, ServingState::Everything });
  }
  Random random(1);
  CallerDirectory directory({}, &random);
  std::set<std::string> seen;
  for (int n = 0; n < 60; ++n) {
    const auto addresses = directory.Select(callers, "z3", callers.size());
    BOOST_TEST(addresses.size() == 64U);
    seen.insert(addresses.begin(), addresses.end());
  }
  BOOST_TEST(seen.size() == static_cast<std::size_t>(2 * kPerZone));
  for (const std::string& name : seen) {
    BOOST_TEST(name.find("-z3-") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(CallersOfAZoneWithoutServingVmsGoToOthers)
{
  std::vector<CallerAddress> callers;
  for (const auto& [name, vm] : MakeFleet(kZones, kPerZone)) {
    const bool isDown = vm.mZone == "z3";
    callers.push_back(
      { vm.mZone,
        name,
        isDown ? ServingState::Nothing : ServingState::Everything });
  }
  Random random(1);
  CallerDirectory directory({}, &random);
  BOOST_TEST(directory.Select(callers, "z3", callers.size()).size() == 64U);
}

// A VM of one cell learns that an engine is slow, and those of the others send
// to it as before; or the summaries grow with the number of upstreams.
BOOST_AUTO_TEST_CASE(SpeedsReachAllCellsInFewBytes)
{
  Fleet fleet;
  for (int round = 0; round < 6; ++round) {
    fleet.Round(); // Until leaders are known.
  }
  Vm& learner = *fleet.mVms.at(MakeVm("z1", 7).mPeerAddress);
  learner.mSpeeds = { { "engine-z0", { 1.7, 40, 3 } } };
  for (int n = 0; n < 16; ++n) { // In one message, but in two summaries.
    learner.mSpeeds["i-" + std::to_string(n)] = { 0.7, 20, 3 };
  }
  const CellId cell = learner.mCells.OwnCell();
  std::map<std::string, std::set<std::string>> heard; // By leader.
  const TimePoint start = fleet.mNow;
  for (; fleet.mNow < start + 3500ms; fleet.Round()) {
    for (Vm* leader : fleet.Leaders()) {
      const GossipSummary* summary = leader->mSummaries.Find(cell);
      if (summary != nullptr) {
        BOOST_REQUIRE(summary->mSpeeds.size() <= kSpeedsPerSummary);
        for (const auto& [id, speed] : summary->mSpeeds) {
          heard[leader->mRecord.mName].insert(id);
        }
      }
    }
  }
  BOOST_TEST(heard.size() == fleet.Leaders().size() - 1);
  for (const auto& [leader, ids] : heard) {
    BOOST_TEST(ids.size() == learner.mSpeeds.size());
  }
  // They are not told for ever.
  learner.mSpeeds.clear();
  for (int round = 0; round < 20; ++round) {
    fleet.Round();
  }
  for (Vm* leader : fleet.Leaders()) {
    const GossipSummary* summary = leader->mSummaries.Find(cell);
    BOOST_TEST((summary == nullptr || summary->mSpeeds.empty()));
  }
}
