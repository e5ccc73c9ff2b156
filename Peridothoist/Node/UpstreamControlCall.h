/// A call to an upstream that carries no caller's request, such as a check, an
/// order or a release. What the upstream states about itself with its response
/// is reported like that of any other call.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/UpstreamProtocol.h>

namespace peridothoist {

/// Receives the head of the response; not called without one.
using UpstreamHeadCallback =
  std::function<void(const UpstreamResponseHead& aHead)>;
using UpstreamEndCallback = std::function<void(const HttpCallResult& aResult)>;

/// Starts the call. The response body is dropped.
void
StartControlCall(HttpClient& aClient,
                 const UpstreamProtocol& aProtocol,
                 HttpCall aCall,
                 UpstreamHeadCallback aOnHead,
                 UpstreamEndCallback aOnEnd);

} // namespace peridothoist
