/// Frees what entry instances that are gone left behind on engines, under the
/// lease of the engines' group.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/Control/UpstreamKeeper.h>
#include <Peridothoist/Lease/ReclaimPlanner.h>
#include <Peridothoist/Shell/Metrics.h>

#include <set>

namespace peridothoist {

/// Asks engines what they hold whenever instances are gone: often at first,
/// seldom later, since a late message may still start something.
class Reclaimer
{
public:
  Reclaimer(Reactor& aReactor,
            ControlState& aState,
            UpstreamKeeper& aUpstreams,
            Metrics& aMetrics);
  ~Reclaimer();
  Reclaimer(const Reclaimer&) = delete;
  Reclaimer& operator=(const Reclaimer&) = delete;

  /// Starts a round, if one is due.
  void OnTick();

private:
  bool IsDue(const std::vector<GoneInstance>& aGone);
  void Ask(const Upstream& aUpstream);
  void OnRequests(const Upstream& aUpstream, const UpstreamCallEnd& aEnd);
  void Cancel(const Upstream& aUpstream, const ReclaimOrder& aOrder);

  Reactor& mReactor;
  ControlState& mState;
  UpstreamKeeper& mUpstreams;
  Counter& mReclaimed;
  std::set<std::string> mKnownGone; ///< Instances seen to be gone.
  std::optional<TimePoint> mLastNew;
  std::optional<TimePoint> mLastRound;
  std::shared_ptr<bool> mAlive;
};

} // namespace peridothoist
