/// Takes part in the leases of upstream groups (one group for each pool).
/// Only a few VMs contend for a group, so that leases cost the platform
/// little and spread over the VMs.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/Control/LeaseRunner.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/Reactor.h>

#include <nlohmann/json_fwd.hpp>

namespace peridothoist {

/// How a guarded call to an upstream ended.
struct UpstreamCallEnd
{
  HttpCallOutcome mCall;
  std::string mBody;

  /// The whole answer with this status came.
  bool Is(int aStatus) const
  {
    return mCall.mFailure == CallFailure::None && mCall.mStatus == aStatus;
  }
};

/// Holds leases and makes calls that need them.
class UpstreamKeeper
{
public:
  using CallDone = std::function<void(const UpstreamCallEnd&)>;

  UpstreamKeeper(Reactor& aReactor,
                 HttpClient& aHttp,
                 Platform& aPlatform,
                 ControlState& aState);

  /// Takes steps that are due.
  void OnTick();

  /// Gives all leases up.
  void ReleaseAll();

  /// The runner of a group; null when this VM doesn't contend for it.
  const LeaseRunner* Find(const std::string& aGroup) const;

  /// Whether the state of the group's upstreams may be read back now.
  bool CanReadBack(const std::string& aGroup) const;

  /// Calls an upstream under its group's lease, which is checked again when
  /// the connection stands, directly before the bytes leave. aReadBack: its
  /// state was read after CanReadBack() held.
  void CallUnderLease(const Upstream& aUpstream,
                      HttpCall aCall,
                      bool aReadBack,
                      CallDone aDone);

  /// Calls an upstream to read something, without a lease.
  void Read(const Upstream& aUpstream,
            const std::string& aPath,
            CallDone aDone);

  /// The VM whose control process holds a group's lease; empty: not known.
  std::string HolderVm(const std::string& aGroup) const;

  /// Groups, holders and fencing numbers, for operators.
  nlohmann::json Status() const;

private:
  bool IsCandidate(const std::string& aGroup) const;
  std::vector<std::string> AliveVms() const;

  Reactor& mReactor;
  HttpClient& mHttp;
  Platform& mPlatform;
  ControlState& mState;
  std::map<std::string, std::shared_ptr<LeaseRunner>> mRunners;
  std::vector<std::string> mAlive; ///< As of this tick.
};

/// How an upstream treats fencing numbers.
FenceCheck
FenceCheckOf(const Upstream& aUpstream);

} // namespace peridothoist
