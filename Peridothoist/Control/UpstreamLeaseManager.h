/// Acquires and renews the leases of upstream groups (one group for each pool).
/// Only a few VMs are candidates for the lease of a group, which limits the
/// load on the platform and distributes the leases over the VMs.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/Control/LeaseExecutor.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/Reactor.h>

#include <nlohmann/json_fwd.hpp>

namespace peridothoist {

/// Result of a call to an upstream.
struct UpstreamCallResult
{
  HttpCallResult mCall;
  std::string mBody;

  /// Returns whether a complete response with this HTTP status was received.
  bool HasStatus(int aStatus) const
  {
    return mCall.mFailure == CallFailure::None && mCall.mStatus == aStatus;
  }
};

/// Manages leases and makes calls that require them.
class UpstreamLeaseManager
{
public:
  using CallDone = std::function<void(const UpstreamCallResult&)>;

  UpstreamLeaseManager(Reactor& aReactor,
                       HttpClient& aHttp,
                       Platform& aPlatform,
                       ControlState& aState);

  /// Updates the groups for which this VM is a candidate and runs their leases.
  void OnTick();

  /// Releases all leases.
  void ReleaseAll();

  /// Returns the lease of a group, or null if this VM is not a candidate for it
  /// and no longer holds it.
  const LeaseExecutor* FindLease(const std::string& aGroup) const;

  /// Returns whether the state of the upstreams of the group may be read back
  /// now, see LeaseStateMachine::CanReadBack().
  bool CanReadBack(const std::string& aGroup) const;

  /// Calls an upstream under the lease of its group. The lease is checked again
  /// when the connection is established, directly before the request is sent.
  /// aHasReadBack: whether the state of the upstream was read after
  /// CanReadBack() became true.
  void CallUnderLease(const Upstream& aUpstream,
                      HttpCall aCall,
                      bool aHasReadBack,
                      CallDone aDone);

  /// Sends a GET request to an upstream; needs no lease.
  void Read(const Upstream& aUpstream,
            const std::string& aPath,
            CallDone aDone);

  /// Returns the VM whose control process holds the lease of a group, or an
  /// empty string if it is unknown.
  std::string HolderVm(const std::string& aGroup) const;

  /// Returns groups, holders and fencing numbers as JSON for operators.
  nlohmann::json Status() const;

private:
  /// Returns whether this VM is a candidate for the lease of a group.
  bool IsCandidate(const std::string& aGroup) const;
  /// Returns the VMs in state Live whose last report is recent.
  std::vector<std::string> LiveVms() const;

  Reactor& mReactor;
  HttpClient& mHttp;
  Platform& mPlatform;
  ControlState& mState;
  std::map<std::string, std::shared_ptr<LeaseExecutor>> mLeases;
  std::vector<std::string> mLiveVms; ///< Updated on each tick.
};

/// Returns whether an upstream checks fencing numbers.
FenceCheck
FenceCheckOf(const Upstream& aUpstream);

} // namespace peridothoist
