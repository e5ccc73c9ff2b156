/// Serves calls of the system's other processes over gRPC. gRPC's threads only
/// receive calls and send responses; handlers run on the reactor's thread.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>
#include <Peridothoist/Peers/PeerCredentials.h>
#include <Peridothoist/Shell/Reactor.h>

#include <peer.pb.h>

namespace peridothoist {

/// Sends the reply to one call. Must be called at most once, on the reactor's
/// thread, within the handler or later. Destroying it without a reply fails the
/// call as unavailable. A reply to a call that has ended meanwhile (deadline,
/// broken connection) is dropped.
template<typename Reply>
using PeerResponder = std::function<void(Reply)>;

/// Handles the calls that a control process receives.
class ControlPeerHandler
{
public:
  virtual ~ControlPeerHandler() = default;

  /// Called when another control process exchanges views.
  virtual void OnExchange(const peer::ExchangeRequest& aRequest,
                          PeerResponder<peer::ExchangeReply> aResponder) = 0;

  /// Called when an entry process requests view updates.
  virtual void OnFollow(const peer::FollowRequest& aRequest,
                        PeerResponder<peer::ViewUpdate> aResponder) = 0;
};

/// Handles the calls that an entry process receives.
class EntryPeerHandler
{
public:
  virtual ~EntryPeerHandler() = default;

  /// Called when another entry requests a fraction of this entry's share.
  virtual void OnBorrow(const peer::BorrowRequest& aRequest,
                        PeerResponder<peer::BorrowReply> aResponder) = 0;

  /// Called when another entry transfers a fraction of its share.
  virtual void OnTransfer(const peer::ShareTransfer& aRequest,
                          PeerResponder<peer::TransferReply> aResponder) = 0;

  /// Called when another entry reports requests that may have crashed an
  /// upstream.
  virtual void OnWarn(const peer::Warning& aRequest,
                      PeerResponder<peer::WarningReply> aResponder) = 0;
};

/// Limits and address of a peer server.
struct PeerServerSettings
{
  std::string mAddress = "127.0.0.1:0"; ///< "ip:port"; port 0: any free port.
  PeerCredentials mCredentials;
  std::size_t mMaxMemoryBytes = 32 * 1024 * 1024; ///< Limit of gRPC's buffers.
  int mMaxThreads = 4;                            ///< Limit of gRPC's threads.
  Duration mShutdownTimeout = 1s; ///< Open calls are cancelled then.
};

/// gRPC server of one process of the system.
class PeerServer
{
public:
  using Settings = PeerServerSettings;

  /// Starts a server with the services whose handler is not null; the handlers
  /// must outlive the server. Returns null and sets aReason if the credentials
  /// are missing or the server can't listen on the address.
  static std::unique_ptr<PeerServer> Create(Reactor& aReactor,
                                            const Settings& aSettings,
                                            ControlPeerHandler* aControl,
                                            EntryPeerHandler* aEntry,
                                            Reason* aReason);

  /// Stops the server and waits for gRPC's threads, for little longer than
  /// mShutdownTimeout. Must be called on the reactor's thread. Handlers are not
  /// called afterwards, and later replies are dropped.
  ~PeerServer();

  /// Returns the port that the server listens on.
  std::uint16_t Port() const;

private:
  struct Impl;
  explicit PeerServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace peridothoist
