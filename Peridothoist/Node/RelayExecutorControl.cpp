/// The part of RelayExecutor that applies what upstreams state about
/// themselves, and makes the calls that carry no caller's request.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/RelayExecutor.h>

#include <Peridothoist/Core/DurationUnits.h>
#include <Peridothoist/Node/NodeLog.h>
#include <Peridothoist/Node/TunnelledCall.h>
#include <Peridothoist/Shell/Log.h>

namespace peridothoist {

/// Logs whether this VM reaches upstreams, when that has changed.
void
RelayExecutor::LogReach()
{
  const UpstreamReach& reach = mMachine->Reach();
  if (std::exchange(mLoggedCutOff, reach.IsCutOff()) == reach.IsCutOff()) {
    return;
  }
  Log::Warning(reach.IsCutOff() ? "upstreams_not_reached" : "upstreams_reached")
    .Field("not_connected", reach.Unreached().size())
    .Field("upstreams", mMachine->ListedUpstreams().All().size())
    .Field("open", mMachine->OpenRequestCount());
}

void
RelayExecutor::OnLimitStated(const std::string& aUpstream,
                             const StatedLimit& aLimit)
{
  const TimePoint now = mReactor->Now();
  if (!mMachine->OnLimitStated(aUpstream, aLimit, now)) {
    return;
  }
  Log::Info("upstream_limit")
    .Field("upstream", aUpstream)
    .Field("limited", aLimit.mPerSecond.has_value())
    .Field("per_s", aLimit.mPerSecond.value_or(0))
    .Field("share_per_s", mMachine->Limits().Share(aUpstream, now));
}

/// Applies what an upstream's response states about it. aSource: the kind of
/// call.
void
RelayExecutor::OnHead(const UpstreamProcess& aProcess,
                      const UpstreamResponseHead& aHead,
                      const char* aSource)
{
  if (aHead.mLimit) {
    OnLimitStated(aProcess.mUpstream, *aHead.mLimit);
  }
  const bool isFromUpstream =
    !aHead.mIsWrongProcess && !aHead.mIsForOtherRequest;
  if (isFromUpstream && aHead.mLoad && aHead.mLoad->mWorkTimePercent) {
    mMachine->OnWorkTimeStated(
      aProcess, *aHead.mLoad->mWorkTimePercent, mReactor->Now());
  }
  const bool isColdChanged =
    aHead.mColdRemaining && mMachine->OnColdStated(aProcess.mUpstream,
                                                   *aHead.mColdRemaining,
                                                   mReactor->Now());
  if (isColdChanged) {
    Log::Info("upstream_cold")
      .Field("upstream", aProcess.mUpstream)
      .Field("cold_ms", ToMillis(*aHead.mColdRemaining))
      .Field("heard_by", aSource);
  }
  const bool isNewlyLeaving =
    aHead.mStatesLeaving &&
    mMachine->OnLeavingStated(aProcess, mReactor->Now());
  if (isNewlyLeaving) {
    LogStatedLeaving(aProcess, aSource);
    ArmTick();
  }
}

/// Returns the listed incarnation of an upstream; 0 if it is not listed.
std::uint64_t
RelayExecutor::IncarnationOf(const std::string& aUpstream) const
{
  const RelayUpstream* upstream = mMachine->ListedUpstreams().Find(aUpstream);
  return upstream == nullptr ? 0 : upstream->mIncarnationId;
}

void
RelayExecutor::Release(RelayCommand& aCommand, Request& /*aRequest*/)
{
  const bool isHandle = aCommand.mKind == RelayCommandKind::ReleaseHandle;
  const std::string address =
    isHandle ? aCommand.mHandleAddress : aCommand.mAddress;
  StartControl(
    ThroughTunnel(mUpstreams->MakeRelease(aCommand), aCommand.mTunnel),
    aCommand.mUpstream,
    "release",
    [address, isHandle](const HttpCallResult& aResult) {
      Log::Info(isHandle ? "handle_released" : "reservation_released")
        .Field("address", address)
        .Field("end", ToName(aResult.mFailure))
        .Field("status", aResult.mStatus);
    });
}

/// Starts a call that carries no caller's request.
void
RelayExecutor::StartControl(HttpCall aCall,
                            const std::string& aUpstream,
                            const char* aKind,
                            UpstreamEndCallback aOnEnd)
{
  const UpstreamProcess process{ aUpstream, IncarnationOf(aUpstream) };
  StartControlCall(
    *mClient,
    *mUpstreams,
    std::move(aCall),
    [this, process, aKind](const UpstreamResponseHead& aHead) {
      OnHead(process, aHead, aKind);
    },
    std::move(aOnEnd));
}

/// Asks the upstream for its state. A process that has crashed refuses the
/// connection, and another one at its address says so.
void
RelayExecutor::CheckUpstream(const RelayCommand& aCommand)
{
  const std::string upstream = aCommand.mUpstream;
  const std::string tunnel = aCommand.mTunnel;
  StartControl(
    ThroughTunnel(mUpstreams->MakeCheck(aCommand), tunnel),
    upstream,
    "check",
    [this, upstream, tunnel](const HttpCallResult& aResult) {
      const UpstreamCheck check = CheckOf(aResult, tunnel);
      Log::Info("upstream_checked")
        .Field("upstream", upstream)
        .Field("via", tunnel)
        .Field("found", ToName(check))
        .Field("end", ToName(aResult.mFailure))
        .Field("status", aResult.mStatus)
        .Field("reason", aResult.mReason);
      Deliver(
        [&](RelayStateMachine& aMachine, TimePoint aNow, RelayCommands& aOut) {
          aMachine.OnUpstreamChecked(upstream, tunnel, check, aNow, aOut);
        });
    });
}

UpstreamCheck
RelayExecutor::CheckOf(const HttpCallResult& aResult,
                       const std::string& aTunnel) const
{
  if (mUpstreams->IsWrongProcess(aResult.mStatus)) {
    return UpstreamCheck::Gone;
  }
  if (aResult.mFailure != CallFailure::NotConnected) {
    return UpstreamCheck::Alive;
  }
  if (aTunnel.empty()) {
    return UpstreamCheck::NotReached;
  }
  return NotReachedCauseOf(aResult, aTunnel) == NotReachedCause::Upstream
           ? UpstreamCheck::Gone
           : UpstreamCheck::Unknown;
}

} // namespace peridothoist
