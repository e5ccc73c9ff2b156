/// The parts of a view on their own: confirmations, the log of changes, the
/// gate before a change and the report that it is in force.
#define BOOST_TEST_MODULE View
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/View/ChangeGate.h>
#include <Peridothoist/View/FreshView.h>
#include <Peridothoist/View/InForceTracker.h>
#include <Peridothoist/View/ViewLog.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

ConfigChange
ChangeTo(std::uint64_t aVersion)
{
  ConfigChange change;
  change.mVersion = aVersion;
  change.mOperationId = "operation-" + std::to_string(aVersion);
  change.mEdits.push_back({ ItemKind::Key, "key", std::string(100, 'x') });
  return change;
}

} // namespace

BOOST_AUTO_TEST_CASE(StartedViewServesNobody)
{
  FreshView view({});
  view.Hold({ 7, 1 });
  BOOST_TEST(view.MayAct(kStart).has_value());
  view.ConfirmByAgreement({ 7, 1 }, kStart);
  BOOST_TEST(view.MayAct(kStart).has_value());
  view.ConfirmByPlatform({ 7, 1 }, kStart);
  BOOST_TEST(!view.MayAct(kStart).has_value());
  BOOST_TEST(!view.MayAct(kStart + 1999ms).has_value());
  const auto refusal = view.MayAct(kStart + 2s);
  BOOST_TEST((refusal && refusal->mReason.mCode == ReasonCode::Stale));
  BOOST_TEST((refusal && refusal->mRetryAfter > Duration{ 0 }));
}

BOOST_AUTO_TEST_CASE(AgesAddUpAlongAPath)
{
  FreshView first({});
  FreshView second({});
  FreshView third({});
  first.ConfirmByPlatform({}, kStart);
  second.ConfirmByPeer({}, *first.Age(kStart + 700ms), kStart + 700ms);
  third.ConfirmByPeer({}, *second.Age(kStart + 1400ms), kStart + 1400ms);
  BOOST_TEST(third.IsFresh(kStart + 1999ms));
  BOOST_TEST(!third.IsFresh(kStart + 2000ms));
}

BOOST_AUTO_TEST_CASE(ConfirmationOfANewerViewCountsOnceThatIsHeld)
{
  FreshView view({});
  view.Hold({ 1, 1 });
  view.ConfirmByPlatform({ 2, 1 }, kStart);
  BOOST_TEST(!view.IsFresh(kStart));
  BOOST_TEST(!view.Hold({ 2, 0 }));
  BOOST_TEST(view.Hold({ 2, 1 }));
  BOOST_TEST(view.IsFresh(kStart));
}

RC_BOOST_PROP(ConfirmationsNeverMoveBack,
              (const std::vector<std::uint16_t>& aMilliseconds))
{
  FreshView view({});
  std::optional<TimePoint> latest;
  for (std::uint16_t ms : aMilliseconds) {
    const TimePoint sent = kStart + std::chrono::milliseconds(ms);
    view.ConfirmByPlatform({}, sent);
    latest = std::max(latest.value_or(sent), sent);
    RC_ASSERT(view.ConfirmedAt() == latest);
  }
}

/// Changes in any order, with repeats: what is applied is 1, 2, 3, ...; and
/// what a log sends another one brings it up to date.
RC_BOOST_PROP(LogAppliesStrictlyInOrder,
              (const std::vector<std::uint8_t>& aVersions))
{
  ViewLogSettings settings;
  settings.mMaxChanges = 5;
  ViewLog log(settings);
  ViewLog follower(settings);
  for (std::uint8_t raw : aVersions) {
    const std::uint64_t version = raw % 16;
    const std::uint64_t before = log.Version();
    const ApplyResult result = log.Apply(ChangeTo(version));
    RC_ASSERT((result == ApplyResult::Applied) == (version == before + 1));
    RC_ASSERT((result == ApplyResult::Gap) == (version > before + 1));
    RC_ASSERT(log.Version() >= before);

    const ViewDelta delta = log.ChangesSince(follower.Version());
    RC_ASSERT(!delta.mNeedsSnapshot);
    for (const ConfigChange& change : delta.mChanges) {
      RC_ASSERT(follower.Apply(change) == ApplyResult::Applied);
    }
    RC_ASSERT(follower.Version() == log.Version());
  }
}

BOOST_AUTO_TEST_CASE(LogIsBoundedAndAsksForASnapshot)
{
  ViewLogSettings settings;
  settings.mMaxBytes = 2000;
  ViewLog log(settings);
  for (std::uint64_t version = 1; version <= 100; ++version) {
    BOOST_TEST((log.Apply(ChangeTo(version)) == ApplyResult::Applied));
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
Gated(const char* aVm,
      const char* aZone,
      Duration aKnownFor,
      std::optional<Duration> aExchanged,
      std::optional<Duration> aHeard)
{
  ChangeGuardMember member;
  member.mVm = aVm;
  member.mZone = aZone;
  member.mKnownFor = aKnownFor;
  member.mLastExchangeAge = aExchanged;
  member.mLastSeenAge = aHeard;
  return member;
}

} // namespace

BOOST_AUTO_TEST_CASE(GateNamesSilentZonesAndTakesAReason)
{
  ChangeGuardMember self = Gated("a", "uno", 10min, std::nullopt, 0s);
  self.mSelf = true;
  const std::vector<ChangeGuardMember> members = {
    self,
    Gated("b", "dos", 10min, 100ms, 100ms),
    Gated("c", "tres", 10min, 3s, 3s),
  };
  const ChangeGate gate({});
  const GateResult closed = gate.Check(members, "");
  BOOST_TEST(!closed.mOpen);
  BOOST_TEST((closed.mSilentZones == std::vector<std::string>{ "tres" }));
  const GateResult forced = gate.Check(members, "zone tres burnt down");
  BOOST_TEST(forced.mOpen);
  BOOST_TEST(forced.mOverridden);
}

/// Newcomers in every zone can't vouch for each other while an older VM that
/// none of them ever met may act by rule (c).
BOOST_AUTO_TEST_CASE(GateMindsOlderVmsThatKnowNobodyHere)
{
  ChangeGuardMember self = Gated("new-a", "uno", 1min, std::nullopt, 0s);
  self.mSelf = true;
  std::vector<ChangeGuardMember> members = {
    self,
    Gated("new-b", "dos", 1min, 100ms, 100ms),
    Gated("old-a", "uno", 60min, std::nullopt, 5min),
    Gated("old-b", "dos", 60min, std::nullopt, 5min),
  };
  const ChangeGate gate({});
  BOOST_TEST(!gate.Check(members, "").mOpen);
  BOOST_TEST(gate.Check(members, "").mSilentVms.size() == 2u);
  // One of the old ones answers: it knows the other, which counts on it.
  members[2].mLastExchangeAge = 100ms;
  members[2].mLastSeenAge = 100ms;
  BOOST_TEST(gate.Check(members, "").mOpen);
}

BOOST_AUTO_TEST_CASE(ChangeIsInForceWhenConfirmedOrSilentPastTheLimit)
{
  InForceTracker tracker({});
  tracker.OnAccepted(5, kStart);
  tracker.Update({ { "a", 5, kStart }, { "b", 4, kStart + 1s } }, kStart + 1s);
  BOOST_TEST(!tracker.Status(5)->mInForce);
  BOOST_TEST(tracker.Status(5)->mWaiting.size() == 1u);
  // Heard again with the old view: still waiting; then silent.
  tracker.Update({ { "a", 5, kStart }, { "b", 4, kStart + 2s } }, kStart + 4s);
  BOOST_TEST(!tracker.Status(5)->mInForce);
  tracker.Update({ { "a", 5, kStart }, { "b", 4, kStart + 2s } },
                 kStart + 4s + 1ms);
  BOOST_TEST(tracker.Status(5)->mInForce);
  BOOST_TEST(!tracker.Status(6).has_value());
}
