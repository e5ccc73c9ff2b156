/// Tests that VMs together keep to the limits that upstreams state, whatever
/// their number, their demand and what they hear of each other.
#define BOOST_TEST_MODULE UpstreamLimiter
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/CellMembership.h>
#include <Peridothoist/Core/DurationUnits.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Relay/UpstreamLimiter.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <deque>
#include <set>

using namespace peridothoist;

namespace {

constexpr TimePoint kStart{ 1h };
constexpr Duration kWindow = 4s;
constexpr Duration kStep = 10ms;
constexpr Duration kGossipInterval = 250ms;
const std::string kUpstream = "u1";
const std::string kService = "registry";

/// What the users allow in a window beyond the limit itself.
double
AllowedInWindow(double aLimit)
{
  return 1.5 * aLimit * ToSeconds(kWindow) + 5;
}

class Candidates : public LimitSharers
{
public:
  std::vector<std::string> CandidatesFor(const std::string&) const override
  {
    return mNames;
  }

  std::vector<std::string> mNames;
};

/// VMs that send to one upstream.
class Fleet
{
public:
  explicit Fleet(std::size_t aVms, std::uint64_t aSeed = 1)
    : mRandom(aSeed)
    , mVms(aVms, UpstreamLimiter(UpstreamLimiterSettings()))
    , mDemand(aVms, 0)
    , mPending(aVms, 0)
    , mGroup(aVms, 0)
    , mDeaf(aVms, false)
  {
    for (std::size_t n = 0; n < aVms; ++n) {
      mCandidates.mNames.push_back(NameOf(n));
    }
    for (std::size_t n = 0; n < aVms; ++n) {
      mVms[n].SetSharers(&mCandidates, NameOf(n));
    }
  }

  static std::string NameOf(std::size_t aVm)
  {
    return "vm" + std::to_string(aVm);
  }

  /// Lets all VMs hear the statement.
  void State(std::optional<double> aPerSecond)
  {
    for (UpstreamLimiter& vm : mVms) {
      vm.OnStated(kUpstream, kService, { aPerSecond }, mNow);
    }
  }

  /// Lets all VMs know that the upstream is cold from now on.
  void Cool(double aPerSecond, Duration aTime)
  {
    for (UpstreamLimiter& vm : mVms) {
      vm.OnCold(kUpstream,
                kService,
                { aPerSecond, mNow + aTime },
                ColdSource::Own,
                mNow);
    }
  }

  /// Lets VMs share nothing: each behaves as if it were alone.
  void ForgetSharers()
  {
    for (UpstreamLimiter& vm : mVms) {
      vm.SetSharers(nullptr, "alone");
    }
  }

  /// From now on these VMs hear nobody, while others hear them.
  void Deafen(std::vector<bool> aDeaf) { mDeaf = std::move(aDeaf); }

  /// Sets the requests a second that each VM receives. They are sent at once,
  /// or given up.
  void SetDemand(const std::vector<double>& aDemand) { mDemand = aDemand; }

  /// From now on VMs hear only those of their group.
  void Split(const std::vector<int>& aGroups) { mGroup = aGroups; }

  void Run(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    for (; mNow < end; mNow += kStep) {
      for (std::size_t n = 0; n < mVms.size(); ++n) {
        Receive(n);
      }
      if ((mNow - kStart) % kGossipInterval < kStep) {
        Exchange();
      }
    }
  }

  std::size_t SentSince(TimePoint aSince) const
  {
    return static_cast<std::size_t>(
      std::count_if(mSent.begin(), mSent.end(), [&](TimePoint aIt) {
        return aIt >= aSince;
      }));
  }

  /// Returns the largest number of requests in a window that begins at aSince
  /// or later.
  std::size_t MostInWindow(TimePoint aSince, Duration aWindow = kWindow) const
  {
    std::size_t most = 0;
    std::deque<TimePoint> window;
    for (const TimePoint it : mSent) {
      if (it < aSince) {
        continue;
      }
      window.push_back(it);
      while (window.front() <= it - aWindow) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    return most;
  }

  TimePoint mNow = kStart;
  Random mRandom;
  std::vector<UpstreamLimiter> mVms;
  double mLossRate = 0; ///< Of messages between VMs.
  std::vector<std::size_t> mSentByVm = std::vector<std::size_t>(1024, 0);

private:
  void Receive(std::size_t aVm)
  {
    mPending[aVm] += mDemand[aVm] * ToSeconds(kStep);
    while (mPending[aVm] >= 1) {
      mPending[aVm] -= 1;
      mVms[aVm].OnRequest(kService, mNow);
      const auto available = mVms[aVm].Available(kUpstream, mNow);
      if (!available || *available >= 1) {
        mVms[aVm].OnSent(kUpstream, mNow);
        mSent.push_back(mNow);
        ++mSentByVm[aVm];
      }
    }
  }

  void Exchange()
  {
    for (std::size_t from = 0; from < mVms.size(); ++from) {
      const DemandByService demand = mVms[from].ReportDemand(mNow);
      for (std::size_t to = 0; to < mVms.size(); ++to) {
        const bool isHeard = to != from && !mDeaf[to] &&
                             mGroup[to] == mGroup[from] &&
                             mRandom.UniformFraction() >= mLossRate;
        if (isHeard) {
          mVms[to].OnPeerDemand(NameOf(from), demand);
        }
      }
    }
  }

  Candidates mCandidates;
  std::vector<double> mDemand;
  std::vector<double> mPending;
  std::vector<int> mGroup;
  std::vector<bool> mDeaf;
  std::vector<TimePoint> mSent;
};

std::vector<double>
Same(std::size_t aVms, double aPerSecond)
{
  return std::vector<double>(aVms, aPerSecond);
}

} // namespace

// Guards against an upstream that gets more than it stated, from any number of
// VMs (LIMIT), and against one that gets much less.
BOOST_AUTO_TEST_CASE(VmsOfAnyNumberKeepToTheLimitAndUseIt)
{
  for (const std::size_t vms : { 1U, 2U, 6U, 24U, 300U }) {
    for (const double limit : { 0.0, 0.3, 1.0, 4.4, 25.0, 120.0 }) {
      Fleet fleet(vms);
      fleet.State(limit);
      // Each few VMs alone could use the limit: in a large fleet few share it.
      const double fewVms = std::min(static_cast<double>(vms), 6.0);
      fleet.SetDemand(Same(vms, 2 * (limit + 30) / fewVms));
      fleet.Run(20s);
      BOOST_TEST_CONTEXT(vms << " VMs, limit " << limit)
      {
        BOOST_TEST(static_cast<double>(fleet.MostInWindow(kStart)) <=
                   AllowedInWindow(limit));
        const double used =
          static_cast<double>(fleet.SentSince(kStart + 10s)) / 10;
        BOOST_TEST(used >= limit * 0.6);
      }
    }
  }
}

// Guards against a burst that grows with the fleet: after an idle time each VM
// that shares the limit may send at once.
BOOST_AUTO_TEST_CASE(ABurstAfterAnIdleTimeKeepsToTheLimit)
{
  constexpr std::size_t kVms = 60;
  for (const double limit : { 0.0, 1.0, 4.4 }) {
    Fleet fleet(kVms);
    fleet.State(limit);
    fleet.Run(20s);
    fleet.SetDemand(Same(kVms, 200));
    fleet.Run(5s);
    BOOST_TEST(static_cast<double>(fleet.MostInWindow(kStart)) <=
               AllowedInWindow(limit));
  }
}

// Guards against the same with uneven and changing demand, changing limits and
// lost messages, at windows of any offset.
RC_BOOST_PROP(TheLimitHoldsWithAnyDemandAndLostMessages, ())
{
  const auto vms = *rc::gen::inRange<std::size_t>(1, 25);
  Fleet fleet(vms, *rc::gen::inRange<std::uint64_t>(1, 1000));
  fleet.mLossRate = *rc::gen::inRange(0, 60) / 100.0;
  const double limit = *rc::gen::inRange(0, 400) / 10.0;
  double highest = 0;
  for (int phase = 0; phase < 4; ++phase) {
    const double now = limit * *rc::gen::inRange(50, 101) / 100.0;
    highest = std::max(highest, now);
    fleet.State(now);
    std::vector<double> demand;
    for (std::size_t n = 0; n < vms; ++n) {
      demand.push_back(*rc::gen::inRange(0, 60));
    }
    fleet.SetDemand(demand);
    fleet.Run(std::chrono::milliseconds(*rc::gen::inRange(500, 4000)));
  }
  RC_ASSERT(static_cast<double>(fleet.MostInWindow(kStart)) <=
            AllowedInWindow(highest));
}

// Guards against VMs that each take all of a limit when they don't hear each
// other.
BOOST_AUTO_TEST_CASE(HalvesThatAreCutOffKeepToTheLimitTogether)
{
  Fleet fleet(6);
  fleet.State(6.0);
  fleet.SetDemand(Same(6, 20));
  fleet.Run(5s);
  fleet.Split({ 0, 0, 0, 1, 1, 1 });
  fleet.SetDemand({ 60, 60, 60, 60, 60, 60 });
  fleet.Run(15s);
  BOOST_TEST(static_cast<double>(fleet.MostInWindow(kStart)) <=
             AllowedInWindow(6.0));
}

// Guards against a part of a limit that stays with VMs that don't need it.
BOOST_AUTO_TEST_CASE(TheShareFollowsTheDemand)
{
  Fleet fleet(6);
  fleet.State(6.0);
  fleet.SetDemand({ 60, 0, 0, 0, 0, 0 });
  fleet.Run(5s);
  BOOST_TEST(fleet.mVms[0].Share(kUpstream, fleet.mNow) > 5.0);
  fleet.SetDemand({ 0, 0, 0, 0, 0, 60 });
  fleet.Run(10s);
  const TimePoint since = fleet.mNow;
  fleet.Run(5s);
  BOOST_TEST(fleet.mVms[5].Share(kUpstream, fleet.mNow) > 5.0);
  BOOST_TEST(fleet.SentSince(since) >= 20U);
}

// Guards against limits that outlive their statement, and against an end that
// only the VM that heard it knows.
BOOST_AUTO_TEST_CASE(ALimitEndsWhenItIsNotStatedAnyMore)
{
  UpstreamLimiter one{ UpstreamLimiterSettings() };
  UpstreamLimiter two{ UpstreamLimiterSettings() };
  const auto serviceOf = [](const std::string&) { return kService; };
  BOOST_TEST(one.OnStated(kUpstream, kService, { 2.0 }, kStart));
  BOOST_TEST(!one.OnStated(kUpstream, kService, { 2.0 }, kStart + 1s));
  two.OnPeerLimits(one.OwnLimits(kStart + 1s), serviceOf, kStart + 1s);
  BOOST_TEST(two.IsLimited(kUpstream, kStart + 1s));
  BOOST_TEST(two.OwnLimits(kStart + 1s).empty()); // It was not told itself.
  BOOST_TEST(one.OnStated(kUpstream, kService, {}, kStart + 2s));
  BOOST_TEST(!one.IsLimited(kUpstream, kStart + 2s));
  two.OnPeerLimits(one.OwnLimits(kStart + 3s), serviceOf, kStart + 3s);
  BOOST_TEST(!two.IsLimited(kUpstream, kStart + 3s));
  // Without any statement it ends as well.
  two.OnStated(kUpstream, kService, { 2.0 }, kStart + 4s);
  const Duration lifetime = UpstreamLimiterSettings().mStatementLifetime;
  BOOST_TEST(two.IsLimited(kUpstream, kStart + 4s + lifetime - 1ms));
  BOOST_TEST(!two.IsLimited(kUpstream, kStart + 4s + lifetime));
  // And with the process that stated it.
  two.OnStated(kUpstream, kService, { 2.0 }, kStart + 60s);
  two.Forget(kUpstream);
  BOOST_TEST(!two.IsLimited(kUpstream, kStart + 60s));
}

// Guards against an older statement that replaces a newer one.
BOOST_AUTO_TEST_CASE(OfTwoStatementsTheNewerOneHolds)
{
  UpstreamLimiter limiter{ UpstreamLimiterSettings() };
  const auto serviceOf = [](const std::string&) { return kService; };
  limiter.OnStated(kUpstream, kService, { 3.0 }, kStart + 10s);
  limiter.OnPeerLimits(
    { { kUpstream, { std::nullopt, 1s } } }, serviceOf, kStart + 10s);
  BOOST_TEST(limiter.IsLimited(kUpstream, kStart + 10s));
  LimitsByUpstream merged = { { kUpstream, { 3.0, 2s } } };
  MergeLimits(merged, { { kUpstream, { 5.0, 1s } } });
  MergeLimits(merged, { { kUpstream, { 7.0, 3s } } });
  BOOST_TEST(*merged[kUpstream].mPerSecond == 5.0);
}

// Guards against VMs of a large fleet that don't agree on who shares a limit,
// or that share it without hearing each other.
BOOST_AUTO_TEST_CASE(InALargeFleetTheVmsOfOneCellShareALimit)
{
  VmRecords vms;
  for (int n = 0; n < 295; ++n) {
    const std::string name = "vm" + std::to_string(n);
    vms[name] = { name, "zone" + std::to_string(n % 3), "10.0.0.1:1" };
  }
  std::set<std::vector<std::string>> found;
  for (const char* self : { "vm0", "vm1", "vm200" }) {
    MembershipTable members({ 1s }, self);
    SummaryTable summaries{ SummaryTableSettings() };
    CellMembership cells(
      CellMembershipSettings(), vms[self], &members, &summaries);
    cells.SetVms(vms);
    const auto candidates = cells.CandidatesFor(kUpstream);
    found.insert(candidates);
    std::set<CellId> homes;
    for (const std::string& it : candidates) {
      homes.insert(cells.Layout().CellOf(it, vms[it].mZone));
    }
    BOOST_TEST(homes.size() == 1U);
  }
  BOOST_TEST(found.size() == 1U);
}

namespace {

constexpr Duration kColdTime = 20s;

/// Returns whether no second had more requests than a cold upstream bears.
bool
IsBorne(const Fleet& aFleet, double aPerSecond)
{
  const double allowed = 1.5 * aPerSecond + 5;
  return static_cast<double>(aFleet.MostInWindow(kStart, 1s)) <= allowed;
}

/// Runs a fleet of which one VM has nearly all demand and hears all others,
/// which hear nobody.
void
RunWithOneThatHears(Fleet& aFleet, std::size_t aVms)
{
  std::vector<bool> deaf(aVms, true);
  const auto one = static_cast<std::size_t>(
    std::max_element(aFleet.mSentByVm.begin(), aFleet.mSentByVm.end()) -
    aFleet.mSentByVm.begin());
  deaf[one] = false;
  aFleet.Deafen(deaf);
  std::vector<double> demand = Same(aVms, 2);
  demand[one] = 200;
  aFleet.SetDemand(demand);
  aFleet.Run(4s);
  aFleet.SetDemand(Same(aVms, 200));
  aFleet.Run(3s);
}

} // namespace

// Guards against a cold upstream that crashes: in any second all VMs together
// send no more than rate x 1.5 + 5, whatever their number and demand and
// whoever can't hear the others.
RC_BOOST_PROP(AColdUpstreamGetsNoMoreInAnySecondThanItBears, ())
{
  const auto vms = *rc::gen::element<std::size_t>(6, 16, 77);
  Fleet fleet(vms, *rc::gen::inRange<std::uint64_t>(1, 1000));
  fleet.mLossRate = *rc::gen::inRange(0, 60) / 100.0;
  const double rate = *rc::gen::inRange(5, 600) / 10.0;
  const bool hasLimit = *rc::gen::arbitrary<bool>();
  if (hasLimit) {
    fleet.State(rate * *rc::gen::inRange(2, 30) / 10.0);
  }
  fleet.Cool(rate, kColdTime);
  for (int phase = 0; phase < 4; ++phase) {
    std::vector<double> demand;
    std::vector<bool> deaf;
    std::vector<int> groups;
    for (std::size_t n = 0; n < vms; ++n) {
      demand.push_back(*rc::gen::element(0, 1, 20, 150));
      deaf.push_back(*rc::gen::inRange(0, 3) == 0);
      groups.push_back(*rc::gen::inRange(0, 2));
    }
    fleet.SetDemand(demand);
    fleet.Deafen(deaf);
    fleet.Split(groups);
    fleet.Run(std::chrono::milliseconds(*rc::gen::inRange(500, 3000)));
  }
  RC_ASSERT(IsBorne(fleet, rate));
}

// Guards against a check that finds nothing. Naive VMs must fail it: those that
// each keep to the rate alone, and those that treat a cold upstream like one
// that states its rate as a limit.
BOOST_AUTO_TEST_CASE(NaiveVmsOverrunAColdUpstream)
{
  constexpr double kRate = 30;
  for (const std::size_t vms : { 6U, 16U, 77U }) {
    Fleet alone(vms);
    alone.ForgetSharers();
    alone.Cool(kRate, kColdTime);
    alone.SetDemand(Same(vms, 150));
    alone.Run(3s);
    BOOST_TEST(!IsBorne(alone, kRate), vms << " VMs alone");

    const auto run = [&](Fleet& aFleet) {
      aFleet.SetDemand(Same(vms, 150));
      aFleet.Run(1s);
      RunWithOneThatHears(aFleet, vms);
    };
    Fleet stated(vms);
    stated.State(kRate);
    run(stated);
    BOOST_TEST(!IsBorne(stated, kRate), vms << " VMs, stated");
    Fleet cold(vms);
    cold.Cool(kRate, kColdTime);
    run(cold);
    BOOST_TEST(IsBorne(cold, kRate), vms << " VMs, cold");
  }
}

// Guards against a cold upstream that is left idle while requests wait.
BOOST_AUTO_TEST_CASE(AColdUpstreamIsUsed)
{
  for (const std::size_t vms : { 1U, 6U, 16U, 77U }) {
    for (const double rate : { 1.0, 4.0, 30.0 }) {
      Fleet fleet(vms);
      fleet.Cool(rate, kColdTime);
      fleet.SetDemand(Same(vms, 100));
      fleet.Run(10s);
      const double used = static_cast<double>(fleet.SentSince(kStart + 2s)) / 8;
      BOOST_TEST(used >= rate * 0.8, vms << " VMs, rate " << rate);
    }
  }
}

// Guards against a stated limit that is lost when a cold one begins or ends,
// and against a cold one that is in force after its end.
BOOST_AUTO_TEST_CASE(AStatedLimitAndAColdOneHoldTogether)
{
  UpstreamLimiter one{ UpstreamLimiterSettings() };
  one.OnStated(kUpstream, kService, { 6.0 }, kStart);
  one.OnCold(
    kUpstream, kService, { 2.0, kStart + 5s }, ColdSource::Own, kStart);
  BOOST_TEST(one.Share(kUpstream, kStart) == 2.0);
  BOOST_TEST(one.Share(kUpstream, kStart + 5s) == 6.0);
  one.OnCold(
    kUpstream, kService, { 9.0, kStart + 9s }, ColdSource::Own, kStart + 6s);
  BOOST_TEST(one.Share(kUpstream, kStart + 6s) == 6.0);
  one.OnWarm(kUpstream, kStart + 7s);
  BOOST_TEST(one.Share(kUpstream, kStart + 7s) == 6.0);
  BOOST_TEST(one.OnStated(kUpstream, kService, {}, kStart + 8s));
  BOOST_TEST(!one.IsLimited(kUpstream, kStart + 8s));
  // One that ends by itself leaves no limit, and no tokens are owed later.
  one.OnCold(
    kUpstream, kService, { 1.0, kStart + 9s }, ColdSource::Own, kStart + 8s);
  for (int n = 0; n < 10; ++n) {
    one.OnSent(kUpstream, kStart + 8s);
  }
  BOOST_TEST(!one.Available(kUpstream, kStart + 9s).has_value());
  BOOST_TEST(one.LimitedCount(kStart + 9s) == 0U);
}

// Guards against cold times that never end, as VMs tell each other what they
// heard and each message arrives a little later.
BOOST_AUTO_TEST_CASE(ColdTimesThatVmsTellEachOtherEnd)
{
  constexpr Duration kDelay = 750ms;
  std::vector<UpstreamLimiter> vms(3,
                                   UpstreamLimiter(UpstreamLimiterSettings()));
  const auto cool = [&](UpstreamLimiter& aVm, Duration aTime, TimePoint aNow) {
    aVm.OnCold(kUpstream, kService, { 4, aNow + aTime }, ColdSource::Own, aNow);
  };
  cool(vms[0], 10s, kStart);
  cool(vms[1], 9s, kStart);
  TimePoint now = kStart;
  for (; now < kStart + 14s; now += kDelay) {
    std::vector<ColdTimes> reports;
    reports.reserve(vms.size());
    for (const UpstreamLimiter& vm : vms) {
      reports.push_back(vm.OwnColdTimes(now));
    }
    BOOST_TEST(reports[2].empty()); // It only heard of it.
    for (UpstreamLimiter& vm : vms) {
      for (const ColdTimes& report : reports) {
        for (const auto& [upstream, time] : report) {
          vm.OnCold(upstream,
                    kService,
                    { 4, now + kDelay + time },
                    ColdSource::Heard,
                    now + kDelay);
        }
      }
    }
    if (now < kStart + 5s) {
      BOOST_TEST(vms[2].IsCold(kUpstream, now + kDelay));
    }
  }
  for (const UpstreamLimiter& vm : vms) {
    BOOST_TEST(!vm.IsCold(kUpstream, kStart + 11s));
  }
}
