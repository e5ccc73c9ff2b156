/// What callers speak. The seam behind which a deployment's headers, pages and
/// encodings stand.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>
#include <Peridothoist/Relay/RelayCommand.h>
#include <Peridothoist/Relay/RelayIntake.h>
#include <Peridothoist/Shell/HttpServer.h>

namespace peridothoist {

/// What a node's pages are made from.
struct NodeStatus
{
  bool mReady = false; ///< New callers are welcome here.
  /// Where callers may connect, "ip:port"; the nearest first.
  std::vector<std::string> mCallerAddresses;
  Duration mAddressesHold{ 0 }; ///< How long callers may keep the addresses.
};

/// A page's answer.
struct PageAnswer
{
  int mStatus = 200;
  HttpHeaders mHeaders;
  std::string mBody;
};

/// Reads callers' requests and words the answers.
class CallerProtocol
{
public:
  virtual ~CallerProtocol() = default;

  /// What a request asks for; or nothing, with what can't be read.
  virtual std::optional<RelayQuestion> Read(const HttpRequest& aRequest,
                                            Reason* aReason) const = 0;

  /// Headers that tell a caller about a refusal.
  virtual HttpHeaders RefusalHeaders(const HttpRequest& aRequest,
                                     const Refusal& aRefusal) const = 0;

  /// The page that tells whether this node is ready.
  virtual std::optional<PageAnswer> ReadyPage(
    const HttpRequest& aRequest,
    const NodeStatus& aStatus) const = 0;

  /// The page that tells callers where to connect.
  virtual std::optional<PageAnswer> AddressPage(
    const HttpRequest& aRequest,
    const NodeStatus& aStatus) const = 0;
};

} // namespace peridothoist
