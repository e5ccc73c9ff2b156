/// Calls that are made through another VM's tunnel.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayCommand.h>
#include <Peridothoist/Shell/HttpClient.h>

namespace peridothoist {

/// Returns the call as made through the tunnel at aTunnel, "ip:port"; unchanged
/// if that is empty.
HttpCall
ThroughTunnel(HttpCall aCall, const std::string& aTunnel);

/// Returns what it shows that a call through the tunnel did not connect.
/// aTunnel: empty if it was made directly.
NotReachedCause
NotReachedCauseOf(const HttpCallResult& aResult, const std::string& aTunnel);

} // namespace peridothoist
