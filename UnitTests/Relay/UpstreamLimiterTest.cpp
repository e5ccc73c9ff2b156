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
  std::size_t MostInWindow(TimePoint aSince) const
  {
    std::size_t most = 0;
    std::deque<TimePoint> window;
    for (const TimePoint it : mSent) {
      if (it < aSince) {
        continue;
      }
      window.push_back(it);
      while (window.front() <= it - kWindow) {
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
        const bool isHeard = to != from && mGroup[to] == mGroup[from] &&
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
