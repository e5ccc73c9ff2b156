/// Answers the system's other processes over gRPC. gRPC's threads only take
/// calls in and send answers out; every handler runs on the reactor's thread.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>
#include <Peridothoist/Peers/PeerCredentials.h>
#include <Peridothoist/Shell/Reactor.h>

#include <peer.pb.h>

namespace peridothoist {

/// Sends the answer to one call, once, on the reactor's thread, now or later.
/// Dropping it unanswered fails the call as unavailable; an answer to a call
/// that ended meanwhile (deadline, cut connection) goes nowhere.
template<typename Reply>
using PeerAnswer = std::function<void(Reply)>;

/// Answers what control processes are asked.
class ControlPeerHandler
{
public:
  virtual ~ControlPeerHandler() = default;

  /// Another control process exchanges views.
  virtual void OnExchange(const peer::ExchangeRequest& aRequest,
                          PeerAnswer<peer::ExchangeReply> aAnswer) = 0;

  /// An entry process follows.
  virtual void OnFollow(const peer::FollowRequest& aRequest,
                        PeerAnswer<peer::ViewUpdate> aAnswer) = 0;
};

/// Answers what entry processes are asked.
class EntryPeerHandler
{
public:
  virtual ~EntryPeerHandler() = default;

  /// Another entry wants a part of this one's share.
  virtual void OnBorrow(const peer::BorrowRequest& aRequest,
                        PeerAnswer<peer::BorrowReply> aAnswer) = 0;

  /// Another entry hands over a part of its share.
  virtual void OnTransfer(const peer::ShareTransfer& aRequest,
                          PeerAnswer<peer::TransferReply> aAnswer) = 0;

  /// Another entry saw requests that may have crashed an upstream.
  virtual void OnWarn(const peer::Warning& aRequest,
                      PeerAnswer<peer::WarningReply> aAnswer) = 0;
};

/// Limits and address of a peer server.
struct PeerServerSettings
{
  std::string mAddress = "127.0.0.1:0"; ///< "ip:port"; port 0: any free one.
  PeerCredentials mCredentials;
  std::size_t mMaxMemoryBytes = 32 * 1024 * 1024; ///< For gRPC's buffers.
  int mMaxThreads = 4;                            ///< gRPC's own.
  Duration mStopGrace = 1s; ///< Calls still open then are cut.
};

/// A gRPC server for one process of the system.
class PeerServer
{
public:
  using Settings = PeerServerSettings;

  /// Starts to serve those services whose handler is given; the handlers must
  /// outlive the server. Null with aReason when the credentials are missing
  /// or the address can't be had.
  static std::unique_ptr<PeerServer> Create(Reactor& aReactor,
                                            const Settings& aSettings,
                                            ControlPeerHandler* aControl,
                                            EntryPeerHandler* aEntry,
                                            Reason* aReason);

  /// Stops; waits for gRPC's threads, at most mStopGrace and a little. Must
  /// be called on the reactor's thread. Handlers hear nothing afterwards, and
  /// answers given later go nowhere.
  ~PeerServer();

  /// The port that it listens on.
  std::uint16_t Port() const;

private:
  struct Impl;
  explicit PeerServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace peridothoist
