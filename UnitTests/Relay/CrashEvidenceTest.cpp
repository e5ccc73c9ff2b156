/// Tests that the evidence of several VMs leads to the content that crashes
/// upstreams, and to no other.
#define BOOST_TEST_MODULE CrashEvidence
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/CrashEvidence.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <set>

using namespace peridothoist;

namespace {

constexpr TimePoint kStart{ 1h };
constexpr std::uint64_t kWorkspace = 1;
constexpr std::uint64_t kOtherWorkspace = 2;
constexpr std::size_t kMaxCrashes = CrashEvidenceSettings().mMaxCrashes;

/// One VM, which sees crashes and exchanges reports.
class Vm
{
public:
  void Crash(const std::vector<std::string>& aContents,
             std::uint64_t aCrash,
             TimePoint aAt,
             Duration aRunTime = 100ms,
             std::uint64_t aWorkspace = kWorkspace)
  {
    for (const std::string& it : aContents) {
      mEvidence.OnCrash(it, { aCrash, aWorkspace, aAt, aRunTime, false }, aAt);
    }
  }

  ContentVerdict Check(std::vector<std::string> aContents,
                       TimePoint aNow,
                       std::uint64_t aWorkspace = kWorkspace) const
  {
    return mEvidence.Check({ std::move(aContents), aWorkspace }, aNow);
  }

  /// Returns whether requests with these contents are sent without a trial.
  bool Allows(std::vector<std::string> aContents,
              TimePoint aNow,
              std::uint64_t aWorkspace = kWorkspace) const
  {
    return Check(std::move(aContents), aNow, aWorkspace) ==
           ContentVerdict::Allowed;
  }

  void Hear(const Vm& aPeer, TimePoint aNow, Duration aDelay = 0ms)
  {
    mEvidence.Apply(aPeer.mEvidence.Reports(aNow - aDelay), aNow);
  }

  CrashEvidence mEvidence{ CrashEvidenceSettings() };
};

/// Crashes some upstreams one after the other while requests with the contents
/// start, and returns the time after the last.
TimePoint
CrashInARow(Vm& aVm,
            const std::vector<std::string>& aContents,
            std::uint64_t aFirst,
            std::size_t aCount,
            TimePoint aAt,
            std::uint64_t aWorkspace = kWorkspace)
{
  for (std::size_t n = 0; n < aCount; ++n) {
    aAt += 500ms;
    aVm.Crash(aContents, aFirst + n, aAt, 100ms, aWorkspace);
  }
  return aAt;
}

} // namespace

// Guards against VMs that keep the largest count of crashes, so that several
// that saw one each never add them up.
BOOST_AUTO_TEST_CASE(CrashesSeenByDifferentVmsAddUp)
{
  std::vector<Vm> vms(kMaxCrashes);
  for (std::size_t n = 0; n < vms.size(); ++n) {
    vms[n].Crash({ "bad" }, n, kStart + n * 500ms);
    BOOST_TEST(vms[n].Allows({ "bad" }, kStart + 2s));
  }
  for (Vm& vm : vms) {
    for (const Vm& peer : vms) {
      vm.Hear(peer, kStart + 2s);
    }
    BOOST_TEST(!vm.Allows({ "bad" }, kStart + 2s));
  }
}

// Guards against one crash that counts several times because several VMs had
// requests there.
BOOST_AUTO_TEST_CASE(ACrashSeenByAllVmsCountsOnce)
{
  std::vector<Vm> vms(6);
  for (Vm& vm : vms) {
    vm.Crash({ "content" }, 7, kStart);
    vms[0].Hear(vm, kStart);
  }
  BOOST_TEST(vms[0].Allows({ "content" }, kStart));
}

// Guards against verdicts that depend on the way of the reports, and against
// times that move on each time a report comes back to its sender.
RC_BOOST_PROP(OrderAndRepetitionOfReportsDoNotMatter, ())
{
  std::vector<Vm> vms(3);
  const std::size_t crashes = *rc::gen::inRange<std::size_t>(1, 6);
  for (std::size_t n = 0; n < crashes; ++n) {
    vms[n % 3].Crash({ "bad" }, n, kStart + n * 500ms);
  }
  const TimePoint now = kStart + 5s;
  const auto pairs = *rc::gen::container<std::vector<std::pair<int, int>>>(
    rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 3)));
  const Duration delay = 20ms;
  for (const auto& [to, from] : pairs) {
    vms[to].Hear(vms[from], now, delay);
  }
  for (int round = 0; round < 2; ++round) {
    for (Vm& vm : vms) {
      for (const Vm& peer : vms) {
        vm.Hear(peer, now, delay);
      }
    }
  }
  for (Vm& vm : vms) {
    RC_ASSERT(vm.Allows({ "bad" }, now) == (crashes < kMaxCrashes));
    for (const CrashReport& report : vm.mEvidence.Reports(now)) {
      RC_ASSERT(report.mSightings.size() == crashes);
      for (const ReportedSighting& it : report.mSightings) {
        const Duration age = now - (kStart + it.mCrash * 500ms);
        RC_ASSERT(it.mAge <= age);
        RC_ASSERT(it.mAge >= age - delay);
      }
    }
  }
}

// Guards against sound requests that are refused for a part which they share
// with requests that crash upstreams.
BOOST_AUTO_TEST_CASE(ASharedPartThatRanSoundlyIsNotBlamed)
{
  Vm vm;
  TimePoint now = kStart;
  for (std::uint64_t n = 0; n < 2 * kMaxCrashes; ++n) {
    now = CrashInARow(vm, { "common", "bad" }, n, 1, now);
    vm.mEvidence.OnSoundRun("common", now);
  }
  BOOST_TEST(vm.Allows({ "common", "sound" }, now));
  BOOST_TEST(!vm.Allows({ "common", "bad" }, now));
}

// Guards against the same where no sound request runs in between: the crashes
// do not tell which part is to blame, so only requests with all of them are
// refused.
BOOST_AUTO_TEST_CASE(OfPartsPresentAtTheSameCrashesOnlyAllTogetherAreRefused)
{
  Vm vm;
  TimePoint now = CrashInARow(vm, { "common", "bad" }, 0, kMaxCrashes, kStart);
  BOOST_TEST(!vm.Allows({ "common", "bad" }, now));
  BOOST_TEST(vm.Allows({ "common", "sound" }, now));
  BOOST_TEST(vm.Allows({ "bad", "other" }, now));
  // A crash without the common part shows which one it is.
  now = CrashInARow(vm, { "bad", "other" }, 10, 1, now);
  BOOST_TEST(!vm.Allows({ "bad", "third" }, now));
  BOOST_TEST(vm.Allows({ "common", "sound" }, now));
}

// Guards against contents that are quarantined because many upstreams crash at
// the same time for another reason.
BOOST_AUTO_TEST_CASE(UpstreamsThatCrashTogetherCountOnce)
{
  Vm vm;
  for (std::uint64_t n = 0; n < 12; ++n) {
    vm.Crash({ "sound" }, n, kStart + n * 5ms, 400ms);
  }
  BOOST_TEST(vm.Allows({ "sound" }, kStart + 1s));
}

// Guards against a sound run at one VM that leaves the content quarantined at
// the others.
BOOST_AUTO_TEST_CASE(ASoundRunExcusesTheContentAtAllVms)
{
  Vm one;
  Vm two;
  const TimePoint now = CrashInARow(one, { "content" }, 0, kMaxCrashes, kStart);
  two.Hear(one, now);
  BOOST_TEST(!two.Allows({ "content" }, now));
  one.mEvidence.OnSoundRun("content", now);
  two.Hear(one, now);
  one.Hear(two, now);
  BOOST_TEST(one.Allows({ "content" }, now));
  BOOST_TEST(two.Allows({ "content" }, now));
}

// Guards against a workspace that has another one's requests refused by
// crashing upstreams with a part that the other one uses.
BOOST_AUTO_TEST_CASE(CrashesOfOneWorkspaceDoNotRefuseAnothersRequests)
{
  Vm vm;
  TimePoint now =
    CrashInARow(vm, { "part" }, 0, kMaxCrashes, kStart, kOtherWorkspace);
  BOOST_TEST(!vm.Allows({ "part" }, now, kOtherWorkspace));
  BOOST_TEST(vm.Allows({ "part" }, now, kWorkspace));
  // Its own request crashes one as well.
  now = CrashInARow(vm, { "part" }, 10, 1, now, kWorkspace);
  BOOST_TEST(!vm.Allows({ "part" }, now, kWorkspace));
}

// Guards against quarantines without an end, and against trials that crash
// upstreams at short intervals.
BOOST_AUTO_TEST_CASE(QuarantineEndsInTrialsAndGrowsWithEachCrash)
{
  const CrashEvidenceSettings settings;
  Vm vm;
  TimePoint now = CrashInARow(vm, { "bad" }, 0, kMaxCrashes, kStart);
  BOOST_TEST((vm.Check({ "bad" }, now + settings.mMinQuarantine - 1ms) ==
              ContentVerdict::Quarantined));
  now += settings.mMinQuarantine;
  BOOST_TEST((vm.Check({ "bad" }, now) == ContentVerdict::OnTrial));
  vm.Crash({ "bad" }, 20, now);
  const Duration longer = settings.mMinQuarantine * settings.mQuarantineFactor;
  BOOST_TEST(
    (vm.Check({ "bad" }, now + longer - 1ms) == ContentVerdict::Quarantined));
  BOOST_TEST((vm.Check({ "bad" }, now + longer) == ContentVerdict::OnTrial));
  vm.mEvidence.OnSoundRun("bad", now);
  BOOST_TEST(vm.Allows({ "bad" }, now));
}

// Guards against memory that grows with each request's own parts, and against
// evidence that is lost among them.
BOOST_AUTO_TEST_CASE(ManyContentsAreBoundedAndTheWorstAreKept)
{
  const CrashEvidenceSettings settings;
  Vm vm;
  TimePoint now = CrashInARow(vm, { "bad" }, 0, kMaxCrashes, kStart);
  for (std::size_t n = 0; n < settings.mMaxContents + 100; ++n) {
    now += 1ms;
    vm.Crash({ "own" + std::to_string(n) }, 100 + n, now);
  }
  BOOST_TEST(vm.mEvidence.Size() == settings.mMaxContents);
  BOOST_TEST(!vm.Allows({ "bad" }, now));
  vm.mEvidence.DropExpired(now + settings.mEvidenceLifetime);
  BOOST_TEST(vm.mEvidence.IsEmpty());
}

// Guards against a shared part that is reported too late, behind the many
// requests that were cut at the same crashes, and against messages that grow
// with these.
BOOST_AUTO_TEST_CASE(LimitedReportsSpreadSharedPartsFirst)
{
  constexpr std::size_t kVms = 24;
  constexpr std::size_t kReports = 8;
  const std::string bad = PromptPartKey("engines", "bad");
  std::vector<Vm> vms(kVms);
  for (std::size_t n = 0; n < kVms; ++n) {
    const TimePoint at = kStart + n * 300ms;
    vms[n].Crash({ bad }, n, at);
    for (int own = 0; own < 64; ++own) {
      const std::string name = std::to_string(n) + "/" + std::to_string(own);
      vms[n].Crash({ name }, n, at);
    }
    const auto reports =
      SelectCrashReports(vms[n].mEvidence.Reports(at), kReports, n);
    BOOST_TEST(reports.size() == kReports);
    for (Vm& to : vms) {
      to.mEvidence.Apply(reports, at);
    }
  }
  for (const Vm& vm : vms) {
    BOOST_TEST(!vm.Allows({ bad }, kStart + kVms * 300ms));
  }
}

// Guards against messages that carry old evidence for as long as it is kept.
BOOST_AUTO_TEST_CASE(OnlyNewEvidenceAndQuarantinesAreReported)
{
  const CrashEvidenceSettings settings;
  Vm vm;
  TimePoint now = CrashInARow(vm, { "bad" }, 0, kMaxCrashes, kStart);
  vm.Crash({ "cut" }, 20, now);
  BOOST_TEST(vm.mEvidence.Reports(now).size() == 2U);
  now += settings.mReportPeriod;
  const auto reports = vm.mEvidence.Reports(now);
  BOOST_REQUIRE(reports.size() == 1U);
  BOOST_TEST(reports[0].mContent == "bad");
  // A VM that starts now learns of the quarantine from them.
  Vm started;
  started.Hear(vm, now);
  BOOST_TEST(!started.Allows({ "bad" }, now));
}
