#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/TunnelledCall.h>

namespace peridothoist {

namespace {

/// Covers the connection to the VM and from there to the upstream.
constexpr Duration kTunnelConnectTimeout = 400ms;

// Statuses with which a VM refuses a tunnel; see TunnelServer.
constexpr int kTargetNotReached = 502;
constexpr int kTargetNotAllowed = 403;

} // namespace

HttpCall
ThroughTunnel(HttpCall aCall, const std::string& aTunnel)
{
  if (!aTunnel.empty()) {
    aCall.mTunnel = aTunnel;
    aCall.mConnectTimeout = kTunnelConnectTimeout;
  }
  return aCall;
}

NotReachedCause
NotReachedCauseOf(const HttpCallResult& aResult, const std::string& aTunnel)
{
  if (aTunnel.empty() || aResult.mTunnelStatus == kTargetNotReached) {
    return NotReachedCause::Upstream;
  }
  return aResult.mTunnelStatus == kTargetNotAllowed ? NotReachedCause::Refused
                                                    : NotReachedCause::Tunnel;
}

} // namespace peridothoist
