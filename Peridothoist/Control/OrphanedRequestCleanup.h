/// Cancels requests on engines whose entry instance has terminated, under the
/// lease of the upstream group.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/Control/UpstreamLeaseManager.h>
#include <Peridothoist/Lease/ReclaimPlanner.h>
#include <Peridothoist/Shell/Metrics.h>

#include <set>

namespace peridothoist {

/// While terminated entry instances are known, fetches the lists of requests
/// that engines hold and cancels the requests of those instances. Repeats this
/// at a short interval at first and at a longer one later, because a delayed
/// message may still start a request.
class OrphanedRequestCleanup
{
public:
  OrphanedRequestCleanup(Reactor& aReactor,
                         ControlState& aState,
                         UpstreamLeaseManager& aLeaseManager,
                         Metrics& aMetrics);
  ~OrphanedRequestCleanup();
  OrphanedRequestCleanup(const OrphanedRequestCleanup&) = delete;
  OrphanedRequestCleanup& operator=(const OrphanedRequestCleanup&) = delete;

  /// Starts a round over all engines, if one is due.
  void OnTick();

private:
  /// Updates the known terminated instances. Returns whether a round is due.
  bool CheckRoundDue(const std::vector<TerminatedInstance>& aTerminated);
  void FetchRequests(const Upstream& aUpstream);
  void OnRequests(const Upstream& aUpstream, const UpstreamCallResult& aResult);
  void Cancel(const Upstream& aUpstream, const ReclaimOrder& aOrder);

  Reactor& mReactor;
  ControlState& mState;
  UpstreamLeaseManager& mLeaseManager;
  Counter& mReclaimedInstances;
  std::set<std::string> mKnownTerminated; ///< Terminated instances.
  /// Time when a terminated instance was last newly seen.
  std::optional<TimePoint> mLastTerminationTime;
  std::optional<TimePoint> mLastRoundTime;
  std::shared_ptr<bool> mAlive; ///< Set to false by the destructor.
};

} // namespace peridothoist
