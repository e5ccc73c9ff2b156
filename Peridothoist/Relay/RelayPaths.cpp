/// The part of RelayStateMachine that chooses between the direct path to
/// upstreams and tunnels through other VMs, and tells a broken path from
/// upstreams that are gone.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayStateMachine.h>

#include <algorithm>

namespace peridothoist {

/// Returns the address of the tunnel through which the next call of the request
/// is to be made; "" if directly. While it is not known whether the path is
/// broken, only a request that could not be sent directly takes a tunnel.
std::string
RelayStateMachine::ChooseTunnel(const State& aState) const
{
  const bool isNeeded =
    mReach.IsCutOff() || (aState.mUnsent > 0 && mReach.IsInDoubt());
  return isNeeded ? mReach.ChooseTunnel(mSettings.mZone, mNow, mRandom)
                  : std::string();
}

/// Records that this VM could not connect to an upstream. When that shows that
/// it is cut off, nothing is known of the upstreams that it failed to reach.
void
RelayStateMachine::OnNotConnected(const std::string& aUpstream)
{
  const bool isCutOffNow =
    mReach.OnNotConnected(aUpstream, mUpstreamList.All().size(), mNow);
  if (isCutOffNow) {
    for (const std::string& id : mReach.Unreached()) {
      mLoads.ForgetFailures(id);
    }
  }
}

/// Handles a direct connection that could not be made.
void
RelayStateMachine::OnPathFailed(State& aState, const Call& aCall)
{
  OnNotConnected(aCall.mUpstream);
  if (mReach.IsCutOff()) {
    for (const std::string& id : mReach.Unreached()) {
      aState.mExcludedUpstreams.erase(id);
    }
    return;
  }
  mLoads.OnGone(aCall.mUpstream, mNow);
  const bool isConfirming = ConfirmByTunnel(aCall.mUpstream, aCall.mAddress);
  if (!isConfirming) {
    OnUpstreamLost(aCall.mUpstream);
  }
  // With a tunnel, the request may still be sent there, if it is the only one.
  if (mReach.ChooseTunnel(mSettings.mZone, mNow, mRandom).empty()) {
    aState.mExcludedUpstreams.insert(aCall.mUpstream);
  }
}

/// Handles a tunnel that was not opened for another reason than its target.
void
RelayStateMachine::OnTunnelFailed(State& aState,
                                  const Call& aCall,
                                  NotReachedCause aCause)
{
  if (aCause == NotReachedCause::Refused) {
    aState.mExcludedUpstreams.insert(aCall.mUpstream);
  } else {
    mReach.OnPeerFailed(aCall.mTunnel, mNow);
  }
}

/// Lets another VM find out whether an upstream is gone whose calls broke, as
/// these count as present at a crash then. Returns false if no calls broke
/// there, or no VM can be asked.
bool
RelayStateMachine::ConfirmByTunnel(const std::string& aUpstream,
                                   const std::string& aAddress)
{
  const std::string tunnel =
    mReach.ChooseTunnel(mSettings.mZone, mNow, mRandom);
  if (tunnel.empty() || !mBrokenCalls.HasBroken(aUpstream, mNow)) {
    return false;
  }
  StartCheck(aUpstream, aAddress, tunnel);
  return true;
}

void
RelayStateMachine::StartCheck(const std::string& aUpstream,
                              const std::string& aAddress,
                              const std::string& aTunnel)
{
  if (IsEvacuated(aUpstream)) {
    return;
  }
  RelayCommand command;
  command.mKind = RelayCommandKind::CheckUpstream;
  command.mUpstream = aUpstream;
  command.mAddress = aAddress;
  command.mTunnel = aTunnel;
  mOut->push_back(std::move(command));
  ++mCounters.mUpstreamChecks;
  mLimiter.OnSent(aUpstream, mNow);
}

/// Checks the direct path, if that is due, at a random upstream; at one that
/// was not tried before, if there is one.
void
RelayStateMachine::CheckPath()
{
  const auto due = mReach.NextCheck();
  if (!due || *due > mNow) {
    return;
  }
  mReach.OnCheckStarted(mNow);
  std::vector<const RelayUpstream*> untried;
  std::vector<const RelayUpstream*> tried;
  for (const auto& [id, entry] : mUpstreamList.All()) {
    if (entry.mUpstream.mIsEvacuated) {
      continue;
    }
    const bool wasTried = mReach.Unreached().count(id) > 0;
    (wasTried ? tried : untried).push_back(&entry.mUpstream);
  }
  const auto& candidates = untried.empty() ? tried : untried;
  if (!candidates.empty()) {
    const RelayUpstream& upstream =
      *candidates[mRandom->UniformBelow(candidates.size())];
    StartCheck(upstream.mId, upstream.mAddress, "");
  }
}

void
RelayStateMachine::OnUpstreamChecked(const std::string& aUpstream,
                                     const std::string& aTunnel,
                                     UpstreamCheck aCheck,
                                     TimePoint aNow,
                                     RelayCommands& aOut)
{
  mNow = aNow;
  mOut = &aOut;
  bool isGone = aCheck == UpstreamCheck::Gone;
  if (aCheck == UpstreamCheck::Alive && aTunnel.empty()) {
    mReach.OnConnected();
  }
  if (aCheck == UpstreamCheck::NotReached) {
    OnNotConnected(aUpstream);
    const RelayUpstream* upstream = mUpstreamList.Find(aUpstream);
    const bool isConfirming =
      upstream != nullptr && ConfirmByTunnel(aUpstream, upstream->mAddress);
    isGone = !isConfirming && !mReach.IsCutOff();
  }
  if (isGone) {
    mLoads.OnGone(aUpstream, mNow);
    OnUpstreamLost(aUpstream);
  }
  DispatchWaiting();
}

void
RelayStateMachine::OnTunnelTargetTried(const std::string& aUpstream,
                                       bool aIsConnected,
                                       TimePoint aNow)
{
  mNow = std::max(mNow, aNow);
  if (aIsConnected) {
    mReach.OnConnected();
  } else {
    OnNotConnected(aUpstream);
  }
}

std::optional<TimePoint>
RelayStateMachine::NextTick() const
{
  std::optional<TimePoint> next;
  for (const auto& at :
       { mTimers.NextDueTime(), mReach.NextCheck(), mLimitCheckAt }) {
    next = next && at ? std::min(next, at) : (next ? next : at);
  }
  return next;
}

} // namespace peridothoist
