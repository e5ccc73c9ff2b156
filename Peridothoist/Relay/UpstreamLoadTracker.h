/// Tracks the load of upstreams: the requests that this VM has there, those
/// that other VMs report, the load that the upstream itself stated last, and
/// the upstreams that failed recently.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/CallOutcomeTracker.h>

#include <tuple>

namespace peridothoist {

/// Open work at one upstream.
struct UpstreamWork
{
  std::uint32_t mRequests = 0;
  std::uint64_t mTokens = 0; ///< KV memory that the requests need, in tokens.

  UpstreamWork& operator+=(const UpstreamWork& aOther)
  {
    mRequests += aOther.mRequests;
    mTokens += aOther.mTokens;
    return *this;
  }
  UpstreamWork& operator-=(const UpstreamWork& aOther)
  {
    mRequests -= aOther.mRequests;
    mTokens -= aOther.mTokens;
    return *this;
  }
};

/// Work by upstream id, as VMs report it to each other. Upstreams without work
/// are left out.
using WorkByUpstream = std::map<std::string, UpstreamWork>;

/// The upstreams of one service, stage and availability zone.
struct UpstreamPool
{
  std::string mService;
  int mStage = 0; ///< A RelayStage.
  std::string mZone;

  bool operator<(const UpstreamPool& aOther) const
  {
    return std::tie(mService, mStage, mZone) <
           std::tie(aOther.mService, aOther.mStage, aOther.mZone);
  }
};

/// Work by pool. Cells tell each other the work at the upstreams of a zone one
/// by one only within that zone, and as one sum for each pool elsewhere.
using WorkByPool = std::map<UpstreamPool, UpstreamWork>;

/// Adds the work of aFrom to aTo.
void
AddPoolWork(WorkByPool& aTo, const WorkByPool& aFrom);

/// The load that an upstream states about itself.
struct StatedLoad
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0; ///< 0: not stated.
  /// How long work takes there now, in percent of what is usual.
  std::optional<std::uint32_t> mWorkTimePercent;
};

/// Requests that wait at a VM for upstream capacity.
struct WaitingRequests
{
  std::size_t mInTime = 0; ///< Can still meet their target latency.
  std::size_t mLate = 0;   ///< Can no longer meet it.

  std::size_t All() const { return mInTime + mLate; }

  WaitingRequests& operator+=(const WaitingRequests& aOther)
  {
    mInTime += aOther.mInTime;
    mLate += aOther.mLate;
    return *this;
  }
};

/// Waiting requests by service, as VMs report them to each other. The empty
/// name stands for any service, in reports of builds that do not tell which.
using WaitingByService = std::map<std::string, WaitingRequests>;

/// Waiting requests by priority, of the services whose requests differ in it.
using WaitingByPriority = std::map<std::uint32_t, WaitingRequests>;
using PriorityWaitingByService = std::map<std::string, WaitingByPriority>;

/// Adds the counts of aFrom to aTo.
void
AddWaiting(PriorityWaitingByService& aTo,
           const PriorityWaitingByService& aFrom);

/// Settings of UpstreamLoadTracker.
struct UpstreamLoadTrackerSettings
{
  Duration mStatedLoadLifetime = 600ms; ///< Older stated loads are ignored.
  Duration mMinAvoidance = 500ms; ///< After one failure; doubles with each.
  Duration mMaxAvoidance = 4s;
  /// After the upstream's process was found gone. The upstream mostly comes
  /// back under another id.
  Duration mGoneAvoidance = 3s;
  Duration mPeerGoneAvoidance = 1s; ///< After a peer found the upstream gone.
  /// An upstream that fails more than this fraction of its calls is avoided.
  double mMaxFailureRate = 0.35;
  CallOutcomeTrackerSettings mOutcomes;
};

/// Holds the load of all upstreams.
class UpstreamLoadTracker
{
public:
  using Settings = UpstreamLoadTrackerSettings;

  explicit UpstreamLoadTracker(const Settings& aSettings)
    : mSettings(aSettings)
    , mOutcomes(aSettings.mOutcomes)
  {
  }

  // This VM's requests.
  void OnSent(const std::string& aUpstream, std::uint64_t aTokens);
  /// Called when a request there uses aTokens more memory.
  void OnMemoryGrown(const std::string& aUpstream, std::uint64_t aTokens);
  /// Called when a request ended; aTokens is all the memory that it used.
  void OnDone(const std::string& aUpstream, std::uint64_t aTokens);

  /// Called when the upstream stated its load in a response.
  void OnLoadStated(const std::string& aUpstream,
                    const StatedLoad& aLoad,
                    TimePoint aNow);

  /// Replaces what another VM reported of its work.
  void OnPeerWork(const std::string& aPeer, WorkByUpstream aWork);
  /// Replaces what another VM reported of work in pools.
  void OnPeerPoolWork(const std::string& aPeer, WorkByPool aWork)
  {
    mPeersPoolWork[aPeer] = std::move(aWork);
    mHasNewPoolWork = true;
  }
  /// Returns whether PoolWork() may have changed since the last call.
  bool TakeNewPoolWork() { return std::exchange(mHasNewPoolWork, false); }
  /// Returns the work in each pool that is not known upstream by upstream.
  WorkByPool PoolWork() const;
  /// Sets the part of the work in its pool that each upstream is assumed to
  /// have.
  void SetPoolShares(WorkByUpstream aShares)
  {
    mPoolShares = std::move(aShares);
  }
  /// Sets how old the load reports of other VMs may be.
  void SetPeerLoadAge(Duration aAge) { mPeerLoadAge = aAge; }
  double PeerLoadAgeSeconds() const
  {
    return std::chrono::duration<double>(mPeerLoadAge).count();
  }
  /// Replaces what another VM reported of its waiting requests.
  void OnPeerWaiting(const std::string& aPeer, const WaitingByService& aWaiting)
  {
    mPeersWaiting[aPeer] = aWaiting;
  }
  /// The same by priority, for services whose requests differ in it.
  void OnPeerPriorities(const std::string& aPeer,
                        const PriorityWaitingByService& aWaiting)
  {
    mPeerPriorities[aPeer] = aWaiting;
  }
  /// Returns all requests that wait at other VMs.
  WaitingRequests PeersWaiting() const;
  /// Returns the requests for a service that wait at other VMs.
  WaitingRequests PeersWaiting(const std::string& aService) const;
  /// Returns the same by priority. Requests at VMs that do not tell their
  /// priority count as of aDefaultPriority.
  WaitingByPriority PeersWaitingByPriority(
    const std::string& aService,
    std::uint32_t aDefaultPriority) const;
  void ForgetPeer(const std::string& aPeer);

  /// Called when a call to the upstream failed or was rejected.
  void OnFailure(const std::string& aUpstream, TimePoint aNow);
  /// Called when the upstream has no capacity at the moment.
  void OnFull(const std::string& aUpstream,
              Duration aAvoidance,
              TimePoint aNow);
  /// Called when nothing listens at its address, or another process does.
  void OnGone(const std::string& aUpstream, TimePoint aNow);
  /// Called with the upstreams that another VM found gone.
  void OnPeerFoundGone(const std::vector<std::string>& aUpstreams,
                       TimePoint aNow);
  /// Returns the upstreams that this VM found gone, to report to other VMs.
  std::vector<std::string> GoneUpstreams(TimePoint aNow) const;
  /// Called when the upstream responded.
  void OnSuccess(const std::string& aUpstream);
  /// Called when failures of calls turned out not to be the upstream's.
  void ForgetFailures(const std::string& aUpstream)
  {
    mFailures.erase(aUpstream);
  }
  /// Drops what is known of an upstream that is gone or was restarted.
  void Forget(const std::string& aUpstream);

  /// Returns how calls to the upstreams ended.
  CallOutcomeTracker& Outcomes() { return mOutcomes; }
  const CallOutcomeTracker& Outcomes() const { return mOutcomes; }

  /// Returns whether the upstream is to be avoided, after recent failures or
  /// for its failure rate.
  bool IsAvoided(const std::string& aUpstream, TimePoint aNow) const;

  /// Returns the work of all VMs at the upstream.
  UpstreamWork Work(const std::string& aUpstream) const;

  /// Returns how many more requests the upstream stated than all VMs reported.
  std::uint32_t UnaccountedRequests(const std::string& aUpstream,
                                    TimePoint aNow) const;

  /// Returns a counter that rises when other VMs should receive this VM's load
  /// soon: its work at engines changed, or it found an upstream gone.
  std::uint64_t Revision() const { return mRevision; }

  /// Returns this VM's work, to report to other VMs.
  const WorkByUpstream& OwnWork() const { return mOwn; }

private:
  struct Failures
  {
    std::uint32_t mConsecutive = 0;
    TimePoint mAvoidUntil;
    TimePoint mGoneUntil; ///< Reported as found gone until then.
  };
  struct Stated
  {
    StatedLoad mLoad;
    TimePoint mAt;
  };

  Settings mSettings;
  WorkByUpstream mOwn;
  std::uint64_t mRevision = 0;
  Duration mPeerLoadAge{ 0 };
  std::map<std::string, WorkByUpstream> mPeers;     ///< By peer.
  WorkByUpstream mPeerTotals;                       ///< Sum over mPeers.
  std::map<std::string, WorkByPool> mPeersPoolWork; ///< By peer.
  bool mHasNewPoolWork = false;
  WorkByUpstream mPoolShares; ///< Part of mPeersPoolWork, by upstream.
  std::map<std::string, WaitingByService> mPeersWaiting; ///< By peer.
  std::map<std::string, PriorityWaitingByService>
    mPeerPriorities;                         ///< The same.
  std::map<std::string, Stated> mStated;     ///< By upstream.
  std::map<std::string, Failures> mFailures; ///< By upstream.
  CallOutcomeTracker mOutcomes;
};

} // namespace peridothoist
