/// Tests of the member list, the detection of terminated instances, the choice
/// of peers, the entries for a workspace's callers, and the share plan.
#define BOOST_TEST_MODULE Membership
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/SharePlanScheduler.h>
#include <Peridothoist/Membership/EntryDirectory.h>
#include <Peridothoist/Membership/MemberList.h>
#include <Peridothoist/Membership/LocalEntryTracker.h>
#include <Peridothoist/Membership/Rendezvous.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

using namespace peridothoist;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

Member
MakeMember(const std::string& aVm, const std::string& aZone, int aInstance = 1)
{
  Member member;
  member.mVm = aVm;
  member.mZone = aZone;
  member.mEntryAddress = aVm + ":80";
  member.mControlPeer = aVm + ":81";
  member.mEntryInstance = aVm + "#" + std::to_string(aInstance);
  member.mControlInstance = aVm + "#" + std::to_string(aInstance);
  member.mReportAge = Duration{ 0 };
  return member;
}

MemberList
MakeList(const std::string& aSelf)
{
  return { MemberListSettings{}, MakeMember(aSelf, "uno"), kStart };
}

const Member&
Find(const std::vector<Member>& aMembers, const std::string& aVm)
{
  const auto it =
    std::find_if(aMembers.begin(), aMembers.end(), [&](const Member& aMember) {
      return aMember.mVm == aVm;
    });
  BOOST_REQUIRE((it != aMembers.end()));
  return *it;
}

bool
IsTerminated(const MemberList& aList,
             const std::string& aInstance,
             TimePoint aNow)
{
  const auto terminated = aList.TerminatedInstances(aNow);
  return std::any_of(terminated.begin(),
                     terminated.end(),
                     [&](const TerminatedInstance& aTerminated) {
                       return aTerminated.mEntryInstance == aInstance;
                     });
}

std::vector<std::string>
MakeNodes(std::size_t aCount)
{
  std::vector<std::string> nodes;
  for (std::size_t i = 0; i < aCount; ++i) {
    nodes.push_back("vm" + std::to_string(i));
  }
  return nodes;
}

} // namespace

BOOST_AUTO_TEST_CASE(AgesAddUpAndNewerReportsReplaceOlderOnes)
{
  MemberList list = MakeList("a");
  Member indirect = MakeMember("far", "dos");
  indirect.mReportAge = 300ms;
  indirect.mStamp = { 7, 1 };
  list.MergeReply(MakeMember("b", "dos"), { indirect }, kStart, kStart + 50ms);
  BOOST_TEST((Find(list.CurrentMembers(kStart + 1s), "far").mReportAge ==
              Duration(std::chrono::milliseconds(1300))));
  // An older report that arrives from another VM has no effect.
  indirect.mReportAge = 900ms;
  indirect.mStamp = { 6, 1 };
  list.MergeReply(
    MakeMember("c", "dos"), { indirect }, kStart + 100ms, kStart + 150ms);
  BOOST_TEST(Find(list.CurrentMembers(kStart + 1s), "far").mStamp.mVersion ==
             7u);
}

BOOST_AUTO_TEST_CASE(RequestsMakeVmsKnownButAreNoReports)
{
  MemberList list = MakeList("a");
  list.MergeRequest(
    MakeMember("b", "dos"), { MakeMember("c", "tres") }, kStart);
  BOOST_TEST(list.Size() == 3u);
  for (const MemberReport& report : list.MemberReports(kStart)) {
    BOOST_TEST(report.mAsOf.has_value() == (report.mVm == "a"));
  }
  for (const ChangeGuardMember& member : list.ChangeGuardMembers(kStart)) {
    BOOST_TEST(!member.mLastExchangeAge.has_value());
  }
}

BOOST_AUTO_TEST_CASE(LeavingInstanceNeverBecomesLiveAgain)
{
  MemberList list = MakeList("a");
  Member leaving = MakeMember("b", "dos");
  leaving.mState = MemberState::Leaving;
  list.MergeReply(leaving, {}, kStart, kStart);
  list.MergeReply(MakeMember("b", "dos"), {}, kStart + 1s, kStart + 1s);
  BOOST_TEST((Find(list.CurrentMembers(kStart + 1s), "b").mState ==
              MemberState::Leaving));
  list.MergeReply(MakeMember("b", "dos", 2), {}, kStart + 2s, kStart + 2s);
  BOOST_TEST(
    (Find(list.CurrentMembers(kStart + 2s), "b").mState == MemberState::Live));
}

/// Reports of two instances of one VM arrive late and out of order. The newer
/// instance is never regarded as terminated, and the older one not before it
/// was replaced.
RC_BOOST_PROP(OnlyReplacedInstancesAreTerminated,
              (const std::vector<std::uint16_t>& aReports))
{
  MemberList list = MakeList("a");
  const TimePoint replacedAt = kStart + 5s;
  TimePoint now = kStart;
  for (std::uint16_t raw : aReports) {
    now += std::chrono::milliseconds(raw % 400);
    const Duration age = std::chrono::milliseconds((raw / 7) % 3000);
    const Duration transit = std::chrono::milliseconds((raw / 3) % 300);
    const TimePoint reportedAt = std::max(kStart, now - age - transit);
    Member report = MakeMember("b", "dos", reportedAt < replacedAt ? 1 : 2);
    // The age that is carried is never less than the true one.
    const TimePoint sent = now - transit;
    report.mReportAge = std::max(sent - reportedAt, Duration{ 0 });
    list.MergeReply(MakeMember("c", "tres"), { report }, sent, now);
    RC_ASSERT(!IsTerminated(list, "b#2", now));
    RC_ASSERT(!IsTerminated(list, "b#1", now) || now >= replacedAt);
  }
}

/// An old instance's report that arrives after the new instance's must not make
/// the new one look replaced.
BOOST_AUTO_TEST_CASE(OldReportThatArrivesLastReplacesNoInstance)
{
  MemberList list = MakeList("a");
  list.MergeReply(MakeMember("b", "dos", 2), {}, kStart, kStart + 10ms);
  Member old = MakeMember("b", "dos", 1);
  old.mReportAge = 5s;
  const TimePoint now = kStart + 1s;
  list.MergeReply(MakeMember("c", "tres"), { old }, now, now + 10ms);
  BOOST_TEST(!IsTerminated(list, "b#2", now + 10ms));
  BOOST_TEST(Find(list.CurrentMembers(now), "b").mEntryInstance == "b#2");
}

BOOST_AUTO_TEST_CASE(SilentVmThatLeftTheListIsTerminated)
{
  MemberList list = MakeList("a");
  list.MergePlatformList(
    { MakeMember("a", "uno"), MakeMember("b", "dos") }, kStart, kStart);
  list.MergeReply(MakeMember("b", "dos"), {}, kStart, kStart);
  TimePoint now = kStart + 3min;
  // The VM is silent, but the list can't be read, so no VM is forgotten.
  list.RemoveExpired(now);
  BOOST_TEST(list.Size() == 2u);
  list.MergePlatformList(
    { MakeMember("a", "uno"), MakeMember("b", "dos") }, now, now);
  list.RemoveExpired(now);
  BOOST_TEST(list.Size() == 2u);
  BOOST_TEST(!IsTerminated(list, "b#1", now));
  list.MergePlatformList({ MakeMember("a", "uno") }, now, now);
  BOOST_TEST(IsTerminated(list, "b#1", now));
  list.RemoveExpired(now);
  BOOST_TEST(list.Size() == 1u);
  BOOST_TEST(IsTerminated(list, "b#1", now));
}

BOOST_AUTO_TEST_CASE(PickedPeersCoverEveryZoneAndEveryVmInTurn)
{
  MemberList list = MakeList("a");
  for (int i = 0; i < 9; ++i) {
    const std::string zone = "zone" + std::to_string(i % 3);
    list.MergeRequest(MakeMember("vm" + std::to_string(i), zone), {}, kStart);
  }
  Random random(1);
  std::set<std::string> picked;
  for (int round = 0; round < 3; ++round) {
    const TimePoint now = kStart + std::chrono::seconds(round);
    std::set<std::string> zones;
    for (const Member& peer : list.PickPeers(3, now, random)) {
      zones.insert(peer.mZone);
      picked.insert(peer.mVm);
    }
    BOOST_TEST(zones.size() == 3u);
  }
  BOOST_TEST(picked.size() == 9u);
}

/// A follow request of a dead entry that is read late must not make its
/// successor look replaced.
BOOST_AUTO_TEST_CASE(LateFollowRequestDoesNotReplaceTheEntry)
{
  LocalEntryTracker tracker({});
  tracker.OnFollow("old", false, kStart);
  tracker.OnFollow("new", false, kStart + 1s);
  BOOST_TEST(tracker.Instance(kStart + 1s) == "old");
  tracker.OnFollow("new", false, kStart + 2s);
  BOOST_TEST(tracker.Instance(kStart + 2s) == "new");
  tracker.OnFollow("old", true, kStart + 2100ms);
  tracker.OnFollow("old", true, kStart + 2100ms);
  BOOST_TEST(tracker.Instance(kStart + 2100ms) == "new");
  BOOST_TEST(!tracker.IsLeaving());
  BOOST_TEST(tracker.Instance(kStart + 10s).empty());
}

/// When one of n nodes is removed, only its own keys move, which are about
/// 1 / n of all assignments.
RC_BOOST_PROP(OnlyTheRemovedNodesKeysMove,
              (std::uint8_t aCount, std::uint8_t aRemoved))
{
  const std::size_t n = 4 + aCount % 60;
  const std::vector<std::string> nodes = MakeNodes(n);
  std::vector<std::string> remaining = nodes;
  const std::string removed = nodes[aRemoved % n];
  remaining.erase(remaining.begin() +
                  static_cast<std::ptrdiff_t>(aRemoved % n));
  constexpr std::size_t kKeys = 2000;
  std::size_t moved = 0;
  for (std::size_t i = 0; i < kKeys; ++i) {
    const std::string key = "workspace" + std::to_string(i);
    std::vector<std::string> before = TopRendezvousNodes(key, nodes, 3);
    const std::vector<std::string> after =
      TopRendezvousNodes(key, remaining, 3);
    const auto it = std::find(before.begin(), before.end(), removed);
    if (it == before.end()) {
      RC_ASSERT(before == after);
      continue;
    }
    ++moved;
    before.erase(it);
    RC_ASSERT(std::equal(before.begin(), before.end(), after.begin()));
  }
  const double expected = 3.0 * kKeys / static_cast<double>(n);
  RC_ASSERT(moved > expected * 0.6 && moved < expected * 1.5);
}

BOOST_AUTO_TEST_CASE(DirectoryPutsTheCallersZoneFirst)
{
  std::vector<Member> members;
  for (int i = 0; i < 6; ++i) {
    members.push_back(
      MakeMember("vm" + std::to_string(i), "zone" + std::to_string(i % 3)));
  }
  const EntryDirectory directory({});
  const auto all = directory.SelectEntries("workspace", "none", members);
  BOOST_TEST(all.size() == 3u);
  const Member& last = Find(members, all[2].substr(0, all[2].find(':')));
  const auto byZone = directory.SelectEntries("workspace", last.mZone, members);
  const Member& first = Find(members, byZone[0].substr(0, byZone[0].find(':')));
  BOOST_TEST(first.mZone == last.mZone);
  BOOST_TEST(std::is_permutation(all.begin(), all.end(), byZone.begin()));

  members[0].mState = MemberState::Leaving;
  members[1].mReportAge = 1min;
  members[2].mReportAge.reset();
  for (const std::string& it :
       directory.SelectEntries("workspace", "x", members)) {
    BOOST_TEST((it == "vm3:80" || it == "vm4:80" || it == "vm5:80"));
  }
}

BOOST_AUTO_TEST_CASE(PlanChangesWithItsEntriesAfterTheMinimumInterval)
{
  SharePlanScheduler scheduler({});
  std::vector<Member> members = { MakeMember("a", "uno"),
                                  MakeMember("b", "dos") };
  BOOST_TEST(!scheduler.Propose(members, kStart - 1s).has_value());
  const auto first = scheduler.Propose(members, kStart);
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST(first->mEpoch == 1u);
  scheduler.OnPlan(*first, kStart);
  scheduler.OnPlan({ 1, {} }, kStart + 1s);
  BOOST_TEST(scheduler.CurrentPlan().mEntryInstances.size() == 2u);

  members[1].mReportAge = 10s;
  BOOST_TEST(!scheduler.Propose(members, kStart + 2s).has_value());
  const auto second = scheduler.Propose(members, kStart + 3s);
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(second->mEpoch == 2u);
  BOOST_TEST((second->mEntryInstances == std::vector<std::string>{ "a#1" }));
  scheduler.OnPlan(*second, kStart + 3s);
  BOOST_TEST(!scheduler.Propose(members, kStart + 1min).has_value());
  BOOST_TEST(scheduler.Propose(members, kStart + 6min).has_value());
  // No entry is alive, so the old plan stays.
  members[0].mReportAge = 10s;
  BOOST_TEST(!scheduler.Propose(members, kStart + 6min).has_value());
}

BOOST_AUTO_TEST_CASE(FirstPlanWaitsForEntriesThatAreNotSeenYet)
{
  SharePlanScheduler scheduler({});
  std::vector<Member> members = { MakeMember("a", "uno"),
                                  MakeMember("b", "dos") };
  members[1].mEntryInstance.clear();
  BOOST_TEST(!scheduler.Propose(members, kStart).has_value());
  BOOST_TEST(!scheduler.Propose(members, kStart + 1s).has_value());
  // An entry that never appears delays the plan only up to the limit.
  const auto late = scheduler.Propose(members, kStart + 2s);
  BOOST_REQUIRE(late.has_value());
  BOOST_TEST(late->mEntryInstances.size() == 1u);
  members[1].mEntryInstance = "b#1";
  const auto all = scheduler.Propose(members, kStart + 1s);
  BOOST_REQUIRE(all.has_value());
  BOOST_TEST(all->mEntryInstances.size() == 2u);
}

BOOST_AUTO_TEST_CASE(InForceCountsTheEntryProcessToo)
{
  Member self = MakeMember("a", "uno");
  self.mStamp.mVersion = 7;
  self.mEntryVersion = 6;
  MemberList list({}, self, kStart);
  list.SetSelf(self, kStart);
  const std::vector<InForceMember> behind = list.InForceMembers();
  BOOST_REQUIRE(behind.size() == 1u);
  BOOST_TEST(behind[0].mVersion == 6u);

  self.mEntryVersion = 7;
  list.SetSelf(self, kStart + 1s);
  BOOST_TEST(list.InForceMembers()[0].mVersion == 7u);

  // Without an entry process, only the control process's version counts.
  self.mEntryInstance.clear();
  self.mEntryVersion = 0;
  list.SetSelf(self, kStart + 2s);
  BOOST_TEST(list.InForceMembers()[0].mVersion == 7u);
}
