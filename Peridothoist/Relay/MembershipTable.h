/// Tracks the VMs of the system: which are registered, and the last gossip
/// message received from each.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UpstreamLoadTracker.h>
#include <Peridothoist/Relay/WorkspaceRateLimiter.h>

#include <set>

namespace peridothoist {

/// Reports that a request, named by its digest, was present at upstream
/// crashes.
struct CrashReport
{
  std::string mDigest;
  std::uint32_t mCrashes = 0; ///< Crashes at which it was present.
  bool mIsQuarantined = false;
  Duration mRemaining{ 0 }; ///< Remaining lifetime of the report.
};

/// Returns at most aMaxReports reports for one message: half of them those with
/// the most crashes, the others in rotation, so that each is sent within a few
/// messages. aMessageNumber goes up by one with each message.
std::vector<CrashReport>
SelectCrashReports(std::vector<CrashReport> aAll,
                   std::size_t aMaxReports,
                   std::uint64_t aMessageNumber);

/// What a VM can serve to new callers.
enum class ServingState
{
  Nothing,    ///< It is starting or leaving, or has no configuration.
  OpenRoutes, ///< Only routes that need no key: its view is too old.
  Everything
};

const char*
ToName(ServingState aState);

/// The gossip message in which a VM describes itself to the others.
struct GossipMessage
{
  std::string mVm;             ///< Its name.
  std::string mInstance;       ///< New with each start of its process.
  std::uint64_t mSequence = 0; ///< Goes up with each message of an instance.
  std::string mCallerAddress;  ///< Where it accepts callers, "ip:port".
  std::string mPeerAddress;    ///< Where it receives gossip, "ip:port".
  ServingState mServing = ServingState::Nothing;
  bool mIsLeaving = false;                 ///< It will stop soon.
  GrantedTokens mGranted;                  ///< Since the instance started.
  WaitingRequests mWaiting;                ///< They wait for upstream capacity.
  WorkByUpstream mWork;                    ///< Its open requests.
  std::vector<std::string> mGoneUpstreams; ///< Upstreams that it found gone.
  CountsByUpstream mFailingUpstreams;      ///< Upstreams that fail its calls.
  std::vector<CrashReport> mCrashReports;
  std::vector<std::string> mPeers; ///< Peer addresses that it knows.
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

  /// Returns whether a message of the VM arrived within the silence timeout.
  bool IsReachable(const std::string& aVm, TimePoint aNow) const;

  /// Returns the number of VMs that share limits: those that are registered or
  /// reachable, and this one.
  std::size_t Count(TimePoint aNow) const;

  /// Returns the fraction of all VMs that are reachable, this one included.
  double ReachableFraction(TimePoint aNow) const;

  /// Returns the addresses to which callers are directed: those of the
  /// reachable VMs that serve everything or, if there are none, of those that
  /// serve open routes. This VM's own address is included if it serves as much.
  /// A single address that serves only open routes is not returned while other
  /// VMs exist: this VM may be cut off from them, and they may serve
  /// everything.
  std::vector<std::string> CallerAddresses(ServingState aOwnState,
                                           const std::string& aOwnAddress,
                                           TimePoint aNow) const;

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
  };
  const std::map<std::string, Member>& Members() const { return mMembers; }

  /// Drops the VMs that were silent for longer than aSilentFor; returns their
  /// instances.
  std::vector<std::string> DropSilent(Duration aSilentFor, TimePoint aNow);

private:
  Settings mSettings;
  std::string mSelf;
  std::map<std::string, Member> mMembers; ///< By name, without this VM.
  std::map<std::string, TimePoint> mRegisteredSince; ///< By name.
};

} // namespace peridothoist
