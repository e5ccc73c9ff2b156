/// Interface to a deployment's protocol towards callers: its headers, HTTP
/// endpoints and encodings.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>
#include <Peridothoist/Relay/RelayCommand.h>
#include <Peridothoist/Relay/RelayAdmission.h>
#include <Peridothoist/Shell/HttpServer.h>

namespace peridothoist {

/// Node state that the readiness and address endpoints report.
struct NodeStatus
{
  bool mIsReady = false; ///< Whether new callers should connect to this node.
  /// Addresses that callers may connect to, "ip:port"; the nearest first.
  std::vector<std::string> mCallerAddresses;
  Duration mAddressTtl{ 0 }; ///< How long callers may cache addresses.
};

/// Response of an HTTP endpoint.
using EndpointResponse = HttpResponse;

/// Parses callers' requests and builds the protocol's own responses.
class CallerProtocol
{
public:
  virtual ~CallerProtocol() = default;

  /// Parses a request. Returns nullopt and sets aReason if it is malformed.
  virtual std::optional<IncomingRequest> ParseRequest(
    const HttpRequest& aRequest,
    Reason* aReason) const = 0;

  /// Returns the response headers for a refusal.
  virtual HttpHeaders MakeRefusalHeaders(const HttpRequest& aRequest,
                                         const Refusal& aRefusal) const = 0;

  /// Handles a readiness probe. Returns nullopt if the path is another one.
  virtual std::optional<EndpointResponse> HandleReadiness(
    const HttpRequest& aRequest,
    const NodeStatus& aStatus) const = 0;

  /// Returns the availability zone of the caller that looks up node addresses,
  /// or nullopt if it states none.
  virtual std::optional<std::string> CallerZone(
    const HttpRequest& aRequest) const = 0;

  /// Handles a lookup of node addresses by a caller. Returns nullopt if the
  /// path is another one.
  virtual std::optional<EndpointResponse> HandleAddressLookup(
    const HttpRequest& aRequest,
    const NodeStatus& aStatus) const = 0;
};

} // namespace peridothoist
