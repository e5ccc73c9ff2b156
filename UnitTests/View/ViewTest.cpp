/// Tests of the view's confirmations, its log of changes, the check before a
/// change is accepted, and the tracking of changes until they are in force.
#define BOOST_TEST_MODULE View
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/View/ChangeGuard.h>
#include <Peridothoist/View/ViewFreshness.h>
#include <Peridothoist/View/InForceTracker.h>
#include <Peridothoist/View/ViewChangeLog.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

ConfigChange
MakeChange(std::uint64_t aVersion)
{
  ConfigChange change;
  change.mVersion = aVersion;
  change.mOperationId = "operation-" + std::to_string(aVersion);
  change.mEdits.push_back({ ItemKind::Key, "key", std::string(100, 'x') });
  return change;
}

} // namespace

BOOST_AUTO_TEST_CASE(ViewIsNotFreshBeforeItsFirstConfirmation)
{
  ViewFreshness view({});
  view.AdvanceStamp({ 7, 1 });
  BOOST_TEST(view.CheckFreshness(kStart).has_value());
  view.ConfirmByAgreement({ 7, 1 }, kStart);
  BOOST_TEST(view.CheckFreshness(kStart).has_value());
  view.ConfirmByPlatform({ 7, 1 }, kStart);
  BOOST_TEST(!view.CheckFreshness(kStart).has_value());
  BOOST_TEST(!view.CheckFreshness(kStart + 1999ms).has_value());
  const auto refusal = view.CheckFreshness(kStart + 2s);
  BOOST_TEST((refusal && refusal->mReason.mCode == ReasonCode::Stale));
  BOOST_TEST((refusal && refusal->mRetryAfter > Duration{ 0 }));
}

BOOST_AUTO_TEST_CASE(AgesAddUpAlongAPath)
{
  ViewFreshness first({});
  ViewFreshness second({});
  ViewFreshness third({});
  first.ConfirmByPlatform({}, kStart);
  second.ConfirmByPeer({}, *first.Age(kStart + 700ms), kStart + 700ms);
  third.ConfirmByPeer({}, *second.Age(kStart + 1400ms), kStart + 1400ms);
  BOOST_TEST(third.IsFresh(kStart + 1999ms));
  BOOST_TEST(!third.IsFresh(kStart + 2000ms));
}

BOOST_AUTO_TEST_CASE(ConfirmationOfANewerViewCountsOnceTheViewIsHeld)
{
  ViewFreshness view({});
  view.AdvanceStamp({ 1, 1 });
  view.ConfirmByPlatform({ 2, 1 }, kStart);
  BOOST_TEST(!view.IsFresh(kStart));
  BOOST_TEST(!view.AdvanceStamp({ 2, 0 }));
  BOOST_TEST(view.AdvanceStamp({ 2, 1 }));
  BOOST_TEST(view.IsFresh(kStart));
}

RC_BOOST_PROP(ConfirmedTimeNeverDecreases,
              (const std::vector<std::uint16_t>& aMilliseconds))
{
  ViewFreshness view({});
  std::optional<TimePoint> latest;
  for (std::uint16_t ms : aMilliseconds) {
    const TimePoint sent = kStart + std::chrono::milliseconds(ms);
    view.ConfirmByPlatform({}, sent);
    latest = std::max(latest.value_or(sent), sent);
    RC_ASSERT(view.ConfirmedAt() == latest);
  }
}

/// Changes that arrive in any order and repeatedly are applied in the order 1,
/// 2, 3, ..., and a log's delta brings another log up to date.
RC_BOOST_PROP(LogAppliesChangesStrictlyInOrder,
              (const std::vector<std::uint8_t>& aVersions))
{
  ViewChangeLogSettings settings;
  settings.mMaxChanges = 5;
  ViewChangeLog log(settings);
  ViewChangeLog peerLog(settings);
  for (std::uint8_t raw : aVersions) {
    const std::uint64_t version = raw % 16;
    const std::uint64_t before = log.Version();
    const ApplyResult result = log.Apply(MakeChange(version));
    RC_ASSERT((result == ApplyResult::Applied) == (version == before + 1));
    RC_ASSERT((result == ApplyResult::Gap) == (version > before + 1));
    RC_ASSERT(log.Version() >= before);

    const ViewDelta delta = log.ChangesSince(peerLog.Version());
    RC_ASSERT(!delta.mNeedsSnapshot);
    for (const ConfigChange& change : delta.mChanges) {
      RC_ASSERT(peerLog.Apply(change) == ApplyResult::Applied);
    }
    RC_ASSERT(peerLog.Version() == log.Version());
  }
}

BOOST_AUTO_TEST_CASE(LogIsBoundedAndRequiresASnapshotForOldPeers)
{
  ViewChangeLogSettings settings;
  settings.mMaxBytes = 2000;
  ViewChangeLog log(settings);
  for (std::uint64_t version = 1; version <= 100; ++version) {
    BOOST_TEST((log.Apply(MakeChange(version)) == ApplyResult::Applied));
    BOOST_TEST(log.Bytes() <= 2000u);
  }
  BOOST_TEST(log.ChangesSince(0).mNeedsSnapshot);
  BOOST_TEST(!log.ChangesSince(99).mNeedsSnapshot);
  BOOST_TEST(log.ChangesSince(99, 1).mChanges.size() == 1u);
  BOOST_TEST(log.ChangesSince(100).mChanges.empty());
  BOOST_TEST((log.FindOperation("operation-100") != nullptr));
  BOOST_TEST((log.FindOperation("operation-1") == nullptr));
  BOOST_TEST(!log.Reset(100));
  BOOST_TEST(log.Reset(200));
  BOOST_TEST(log.ChangesSince(150).mNeedsSnapshot);
}

namespace {

ChangeGuardMember
MakeGuardMember(const char* aVm,
                const char* aZone,
                Duration aKnownFor,
                std::optional<Duration> aLastExchangeAge,
                std::optional<Duration> aLastSeenAge)
{
  ChangeGuardMember member;
  member.mVm = aVm;
  member.mZone = aZone;
  member.mKnownFor = aKnownFor;
  member.mLastExchangeAge = aLastExchangeAge;
  member.mLastSeenAge = aLastSeenAge;
  return member;
}

} // namespace

BOOST_AUTO_TEST_CASE(GuardNamesSilentZonesAndAcceptsAnOverrideReason)
{
  ChangeGuardMember self = MakeGuardMember("a", "uno", 10min, std::nullopt, 0s);
  self.mIsSelf = true;
  const std::vector<ChangeGuardMember> members = {
    self,
    MakeGuardMember("b", "dos", 10min, 100ms, 100ms),
    MakeGuardMember("c", "tres", 10min, 3s, 3s),
  };
  const ChangeGuard guard({});
  const ChangeGuardResult refused = guard.Check(members, "");
  BOOST_TEST(!refused.mIsAllowed);
  BOOST_TEST((refused.mSilentZones == std::vector<std::string>{ "tres" }));
  const ChangeGuardResult overridden =
    guard.Check(members, "zone tres burnt down");
  BOOST_TEST(overridden.mIsAllowed);
  BOOST_TEST(overridden.mIsOverridden);
}

/// New VMs in every zone aren't enough to accept a change while older VMs, with
/// which none of them ever exchanged members, may act by rule (c).
BOOST_AUTO_TEST_CASE(GuardRefusesWhileOlderVmsMayBeUnaware)
{
  ChangeGuardMember self =
    MakeGuardMember("new-a", "uno", 1min, std::nullopt, 0s);
  self.mIsSelf = true;
  std::vector<ChangeGuardMember> members = {
    self,
    MakeGuardMember("new-b", "dos", 1min, 100ms, 100ms),
    MakeGuardMember("old-a", "uno", 60min, std::nullopt, 5min),
    MakeGuardMember("old-b", "dos", 60min, std::nullopt, 5min),
  };
  const ChangeGuard guard({});
  BOOST_TEST(!guard.Check(members, "").mIsAllowed);
  BOOST_TEST(guard.Check(members, "").mSilentVms.size() == 2u);
  // One of the old VMs responds. It knows the other one, which therefore needs
  // its report.
  members[2].mLastExchangeAge = 100ms;
  members[2].mLastSeenAge = 100ms;
  BOOST_TEST(guard.Check(members, "").mIsAllowed);
}

BOOST_AUTO_TEST_CASE(ChangeIsInForceWhenConfirmedOrSilentPastTheLimit)
{
  InForceTracker tracker({});
  tracker.OnAccepted(5, kStart);
  tracker.Update({ { "a", 5, kStart }, { "b", 4, kStart + 1s } }, kStart + 1s);
  BOOST_TEST(!tracker.Status(5)->mInForce);
  BOOST_TEST(tracker.Status(5)->mBlockingVms.size() == 1u);
  // The VM was seen again with the old version, so the change still waits for
  // it, until it has been silent for longer than the limit.
  tracker.Update({ { "a", 5, kStart }, { "b", 4, kStart + 2s } }, kStart + 4s);
  BOOST_TEST(!tracker.Status(5)->mInForce);
  tracker.Update({ { "a", 5, kStart }, { "b", 4, kStart + 2s } },
                 kStart + 4s + 1ms);
  BOOST_TEST(tracker.Status(5)->mInForce);
  BOOST_TEST(!tracker.Status(6).has_value());
}
