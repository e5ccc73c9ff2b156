#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UpstreamLoadTracker.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// Number of consecutive failures that double the time of avoidance.
constexpr std::uint32_t kMaxDoublings = 4;

} // namespace

void
UpstreamLoadTracker::OnSent(const std::string& aUpstream, std::uint64_t aTokens)
{
  mOwn[aUpstream] += { 1, aTokens };
  mRevision += aTokens > 0 ? 1 : 0;
}

void
UpstreamLoadTracker::OnMemoryGrown(const std::string& aUpstream,
                                   std::uint64_t aTokens)
{
  const auto it = mOwn.find(aUpstream);
  PH_ASSERT(it != mOwn.end());
  it->second.mTokens += aTokens; // Reported with the next regular message.
}

WaitingRequests
UpstreamLoadTracker::PeersWaiting() const
{
  WaitingRequests waiting;
  for (const auto& [peer, byService] : mPeersWaiting) {
    for (const auto& [service, counts] : byService) {
      waiting += counts;
    }
  }
  return waiting;
}

WaitingRequests
UpstreamLoadTracker::PeersWaiting(const std::string& aService) const
{
  WaitingRequests waiting;
  for (const auto& [peer, byService] : mPeersWaiting) {
    for (const std::string& service : { aService, std::string() }) {
      const auto it = byService.find(service);
      waiting += it == byService.end() ? WaitingRequests() : it->second;
    }
  }
  return waiting;
}

void
AddPoolWork(WorkByPool& aTo, const WorkByPool& aFrom)
{
  for (const auto& [pool, work] : aFrom) {
    aTo[pool] += work;
  }
}

WorkByPool
UpstreamLoadTracker::PoolWork() const
{
  WorkByPool sum;
  for (const auto& [peer, work] : mPeersPoolWork) {
    AddPoolWork(sum, work);
  }
  return sum;
}

void
AddWaiting(PriorityWaitingByService& aTo, const PriorityWaitingByService& aFrom)
{
  for (const auto& [service, byPriority] : aFrom) {
    for (const auto& [priority, counts] : byPriority) {
      aTo[service][priority] += counts;
    }
  }
}

WaitingByPriority
UpstreamLoadTracker::PeersWaitingByPriority(
  const std::string& aService,
  std::uint32_t aDefaultPriority) const
{
  WaitingByPriority waiting;
  for (const auto& [peer, byService] : mPeersWaiting) {
    const auto known = mPeerPriorities.find(peer);
    if (known != mPeerPriorities.end()) {
      const auto it = known->second.find(aService);
      if (it != known->second.end()) {
        for (const auto& [priority, counts] : it->second) {
          waiting[priority] += counts;
        }
        continue;
      }
    }
    for (const std::string& service : { aService, std::string() }) {
      const auto it = byService.find(service);
      if (it != byService.end()) {
        waiting[aDefaultPriority] += it->second;
      }
    }
  }
  return waiting;
}

void
UpstreamLoadTracker::OnDone(const std::string& aUpstream, std::uint64_t aTokens)
{
  const auto it = mOwn.find(aUpstream);
  PH_ASSERT(it != mOwn.end());
  PH_ASSERT(it->second.mRequests > 0 && it->second.mTokens >= aTokens);
  --it->second.mRequests;
  it->second.mTokens -= aTokens;
  mRevision += aTokens > 0 ? 1 : 0;
  if (it->second.mRequests == 0) {
    mOwn.erase(it);
  }
}

void
UpstreamLoadTracker::OnLoadStated(const std::string& aUpstream,
                                  const StatedLoad& aLoad,
                                  TimePoint aNow)
{
  mStated[aUpstream] = { aLoad, aNow };
}

void
UpstreamLoadTracker::OnPeerWork(const std::string& aPeer, WorkByUpstream aWork)
{
  WorkByUpstream& known = mPeers[aPeer];
  for (const auto& [id, work] : known) {
    const auto sum = mPeerTotals.find(id);
    PH_ASSERT(sum != mPeerTotals.end());
    sum->second -= work;
    if (sum->second.mRequests == 0 && sum->second.mTokens == 0) {
      mPeerTotals.erase(sum);
    }
  }
  for (const auto& [id, work] : aWork) {
    mPeerTotals[id] += work;
  }
  known = std::move(aWork);
}

void
UpstreamLoadTracker::ForgetPeer(const std::string& aPeer)
{
  OnPeerWork(aPeer, {});
  mPeers.erase(aPeer);
  mPeersWaiting.erase(aPeer);
  mPeerPriorities.erase(aPeer);
  mHasNewPoolWork = mPeersPoolWork.erase(aPeer) > 0 || mHasNewPoolWork;
  mOutcomes.ForgetPeer(aPeer);
}

void
UpstreamLoadTracker::OnFailure(const std::string& aUpstream, TimePoint aNow)
{
  Failures& failures = mFailures[aUpstream];
  const std::uint32_t doublings =
    std::min(failures.mConsecutive, kMaxDoublings);
  const Duration avoidance = std::min(
    mSettings.mMaxAvoidance, mSettings.mMinAvoidance * (1 << doublings));
  ++failures.mConsecutive;
  failures.mAvoidUntil = aNow + avoidance;
}

void
UpstreamLoadTracker::OnFull(const std::string& aUpstream,
                            Duration aAvoidance,
                            TimePoint aNow)
{
  Failures& failures = mFailures[aUpstream];
  failures.mAvoidUntil = std::max(failures.mAvoidUntil, aNow + aAvoidance);
}

void
UpstreamLoadTracker::OnGone(const std::string& aUpstream, TimePoint aNow)
{
  Failures& failures = mFailures[aUpstream];
  ++failures.mConsecutive;
  failures.mGoneUntil = aNow + mSettings.mGoneAvoidance;
  failures.mAvoidUntil = failures.mGoneUntil;
  ++mRevision; // Other VMs should receive this soon.
}

void
UpstreamLoadTracker::OnPeerFoundGone(const std::vector<std::string>& aUpstreams,
                                     TimePoint aNow)
{
  for (const std::string& id : aUpstreams) {
    Failures& failures = mFailures[id];
    failures.mAvoidUntil =
      std::max(failures.mAvoidUntil, aNow + mSettings.mPeerGoneAvoidance);
  }
}

std::vector<std::string>
UpstreamLoadTracker::GoneUpstreams(TimePoint aNow) const
{
  std::vector<std::string> gone;
  for (const auto& [id, failures] : mFailures) {
    if (aNow < failures.mGoneUntil) {
      gone.push_back(id);
    }
  }
  return gone;
}

void
UpstreamLoadTracker::OnSuccess(const std::string& aUpstream)
{
  mFailures.erase(aUpstream);
}

void
UpstreamLoadTracker::Forget(const std::string& aUpstream)
{
  mFailures.erase(aUpstream);
  mStated.erase(aUpstream);
  mOutcomes.Forget(aUpstream);
}

bool
UpstreamLoadTracker::IsAvoided(const std::string& aUpstream,
                               TimePoint aNow) const
{
  const auto it = mFailures.find(aUpstream);
  const bool failed = it != mFailures.end() && aNow < it->second.mAvoidUntil;
  return failed ||
         mOutcomes.FailureRate(aUpstream, aNow) > mSettings.mMaxFailureRate;
}

UpstreamWork
UpstreamLoadTracker::Work(const std::string& aUpstream) const
{
  UpstreamWork work;
  const auto own = mOwn.find(aUpstream);
  if (own != mOwn.end()) {
    work += own->second;
  }
  for (const WorkByUpstream* it : { &mPeerTotals, &mPoolShares }) {
    const auto others = it->find(aUpstream);
    if (others != it->end()) {
      work += others->second;
    }
  }
  return work;
}

std::uint32_t
UpstreamLoadTracker::UnaccountedRequests(const std::string& aUpstream,
                                         TimePoint aNow) const
{
  const auto it = mStated.find(aUpstream);
  if (it == mStated.end() ||
      aNow - it->second.mAt > mSettings.mStatedLoadLifetime) {
    return 0;
  }
  const std::uint32_t stated =
    it->second.mLoad.mRunning + it->second.mLoad.mWaiting;
  const std::uint32_t known = Work(aUpstream).mRequests;
  return stated > known ? stated - known : 0;
}

} // namespace peridothoist
