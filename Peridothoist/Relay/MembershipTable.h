/// Tracks the VMs of the system: which are registered, and the last gossip
/// message received from each.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/CrashReports.h>
#include <Peridothoist/Relay/UpstreamLimiter.h>
#include <Peridothoist/Relay/UpstreamList.h>
#include <Peridothoist/Relay/UpstreamLoadTracker.h>
#include <Peridothoist/Relay/WorkspaceRateLimiter.h>
#include <Peridothoist/Routing/UpstreamSpeeds.h>

#include <set>

namespace peridothoist {

/// What a VM can serve to new callers.
enum class ServingState
{
  Nothing,    ///< It is starting or leaving, or has no configuration.
  OpenRoutes, ///< Only routes that need no key: its view is too old.
  Everything
};

const char*
ToName(ServingState aState);

/// Where a VM accepts callers, and what it serves them.
struct CallerAddress
{
  std::string mZone;    ///< Of the VM; empty: not known.
  std::string mAddress; ///< "ip:port".
  ServingState mServing = ServingState::Nothing;
  std::string mTunnelAddress; ///< See GossipMessage.
};

/// The gossip message in which a VM describes itself to the others.
struct GossipMessage
{
  std::string mVm;             ///< Its name.
  std::string mZone;           ///< Empty: sent by a build without cells.
  std::string mInstance;       ///< New with each start of its process.
  std::uint64_t mSequence = 0; ///< Goes up with each message of an instance.
  std::string mCallerAddress;  ///< Where it accepts callers, "ip:port".
  std::string mPeerAddress;    ///< Where it receives gossip, "ip:port".
  /// Where it offers tunnels to upstreams, "ip:port"; empty: it offers none,
  /// since it does not reach upstreams, is leaving, or its build has none.
  std::string mTunnelAddress;
  ServingState mServing = ServingState::Nothing;
  bool mIsLeaving = false;                 ///< It will stop soon.
  GrantedTokens mGranted;                  ///< Since the instance started.
  WaitingByService mWaiting;               ///< They wait for upstream capacity.
  PriorityWaitingByService mPriorities;    ///< The same by priority.
  WorkByUpstream mWork;                    ///< Its open requests.
  std::vector<std::string> mGoneUpstreams; ///< Upstreams that it found gone.
  CountsByUpstream mFailingUpstreams;      ///< Upstreams that fail its calls.
  /// Processes of upstreams that stated to it that they leave.
  std::vector<UpstreamProcess> mLeavingUpstreams;
  std::vector<CrashReport> mCrashReports;
  LimitsByUpstream mLimits; ///< As upstreams stated them to this VM.
  ColdTimes mCold;          ///< Cold upstreams that it learnt of.
  SpeedsByUpstream mSpeeds; ///< Of some upstreams, as it learnt them.
  /// It announces the origins of streams by content; older builds don't.
  bool mAnnouncesContents = false;
  DemandByService mDemand;         ///< For services with limited upstreams.
  std::vector<std::string> mPeers; ///< Peer addresses that it knows.
  /// It answers a VM of another cell with the addresses of that VM's cell.
  bool mIsRedirect = false;
};

/// Settings of MembershipTable.
struct MembershipTableSettings
{
  Duration mSilenceTimeout = 1200ms; ///< A VM silent for longer is unreachable.
};

/// Tracks registered and reachable VMs.
class MembershipTable
{
public:
  using Settings = MembershipTableSettings;

  MembershipTable(const Settings& aSettings, std::string aSelf);

  /// Sets the silence after which a VM counts as unreachable.
  void SetSilenceTimeout(Duration aTimeout)
  {
    mSettings.mSilenceTimeout = aTimeout;
  }

  /// Records a message. Returns false when it is outdated or this VM's own.
  bool OnGossipMessage(GossipMessage aMessage, TimePoint aNow);

  /// Replaces the names of the registered VMs.
  void SetRegistered(const std::set<std::string>& aNames, TimePoint aNow);

  /// Counts the silence of all registered VMs from aNow on. Called when this VM
  /// starts to hear others than before, which it can't expect to have heard.
  void RestartSilence(TimePoint aNow);

  /// Called at each gossip interval. After a pause of this process, the silence
  /// of all others is counted anew: it is this VM that did not hear them.
  void OnRunning(TimePoint aNow);

  /// Returns whether a message of the VM arrived within the silence timeout.
  bool IsReachable(const std::string& aVm, TimePoint aNow) const;

  /// Returns the number of VMs that share limits: those that are registered or
  /// reachable, and this one.
  std::size_t Count(TimePoint aNow) const;

  /// Returns the fraction of all VMs that are reachable, this one included.
  double ReachableFraction(TimePoint aNow) const;

  /// Sets the number of reachable VMs of which only others receive messages.
  void SetReachableElsewhere(std::size_t aCount)
  {
    mReachableElsewhere = aCount;
  }

  /// Returns where the reachable VMs accept callers.
  std::vector<CallerAddress> Callers(TimePoint aNow) const;

  /// Returns the VMs that have been registered and silent for longer than
  /// aSilentFor.
  std::vector<std::string> RegisteredButSilent(Duration aSilentFor,
                                               TimePoint aNow) const;

  /// Returns the addresses to send this VM's gossip to.
  std::set<std::string> PeerAddresses() const;

  /// A VM from which a message was received.
  struct Member
  {
    GossipMessage mLastMessage; ///< The last message.
    TimePoint mLastSeen;        ///< When it was received.
    /// Speeds that it told last, which most messages don't tell.
    SpeedsByUpstream mSpeeds;
    std::uint64_t mSpeedsSequence = 0; ///< Of the message that told them.
  };
  const std::map<std::string, Member>& Members() const { return mMembers; }

  /// Drops a VM.
  void Remove(const std::string& aVm) { mMembers.erase(aVm); }

  /// Drops the VMs that were silent for longer than aSilentFor; returns their
  /// instances.
  std::vector<std::string> DropSilent(Duration aSilentFor, TimePoint aNow);

private:
  bool HasPaused(TimePoint aNow) const;

  Settings mSettings;
  std::optional<TimePoint> mLastRunning; ///< Last call of OnRunning().
  std::string mSelf;
  std::map<std::string, Member> mMembers; ///< By name, without this VM.
  std::map<std::string, TimePoint> mRegisteredSince; ///< By name.
  std::size_t mReachableElsewhere = 0;
};

} // namespace peridothoist
