/// The message that sums up many VMs. The leader of each cell sends one about
/// its cell to the leaders of the other cells, and one about all other cells to
/// the VMs of its own.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/CellLayout.h>
#include <Peridothoist/Relay/CallOutcomeTracker.h>
#include <Peridothoist/Relay/MembershipTable.h>
#include <Peridothoist/Relay/UpstreamLoadTracker.h>
#include <Peridothoist/Relay/WorkspaceRateLimiter.h>
#include <Peridothoist/Routing/UpstreamSpeeds.h>

namespace peridothoist {

/// The state of many VMs, summed up by one.
struct GossipSummary
{
  std::string mVm;             ///< Name of the sender, the leader of its cell.
  std::string mInstance;       ///< New with each start of the sender's process.
  std::uint64_t mSequence = 0; ///< Goes up with each message of an instance.
  std::string mPeerAddress;    ///< Where the sender receives gossip.
  /// The cell that is summed up, the sender's own; nullopt: all others.
  std::optional<CellId> mCell;
  std::size_t mReachableVms = 0; ///< VMs that are summed up and reachable.
  /// Tokens granted by these VMs while the sender's instance knew them.
  GrantedTokens mGranted;
  WaitingByService mWaiting;            ///< They wait for upstream capacity.
  PriorityWaitingByService mPriorities; ///< The same by priority.
  /// Work at the upstreams of the recipients' zone.
  WorkByUpstream mWork;
  WorkByPool mPoolWork; ///< Work at the upstreams of other zones.
  std::vector<std::string> mGoneUpstreams;
  CountsByUpstream mFailingUpstreams;
  /// Processes of upstreams that stated to these VMs that they leave.
  std::vector<UpstreamProcess> mLeavingUpstreams;
  std::vector<CrashReport> mCrashReports;
  LimitsByUpstream mLimits; ///< As upstreams stated them to these VMs.
  ColdTimes mCold;          ///< Cold upstreams that these VMs learnt of.
  SpeedsByUpstream mSpeeds; ///< Of some upstreams, as these VMs learnt them.
  std::vector<CallerAddress> mCallers;
  bool mAnnounceContents = false; ///< All these VMs; see GossipMessage.
};

/// Numbers of upstreams whose speeds one message and one summary tell. Every
/// summary tells some, but only one message of several does.
constexpr std::size_t kSpeedsPerMessage = 16;
constexpr std::size_t kSpeedsPerSummary = 8;

/// Adds the granted tokens of aFrom to aTo.
void
AddGranted(GrantedTokens& aTo, const GrantedTokens& aFrom);

/// Keeps the aCount upstreams with the most failures.
CountsByUpstream
WorstFailing(CountsByUpstream aCounts, std::size_t aCount);

} // namespace peridothoist
