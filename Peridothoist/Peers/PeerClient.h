/// Calls the system's other processes over gRPC. Answers come back on the
/// reactor's thread.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>
#include <Peridothoist/Peers/PeerCredentials.h>
#include <Peridothoist/Shell/Reactor.h>

#include <peer.pb.h>

namespace peridothoist {

/// Limits of a peer client.
struct PeerClientSettings
{
  PeerCredentials mCredentials;
  std::size_t mMaxChannels = 128; ///< Kept open; the least used goes first.
  std::size_t mMaxMemoryBytes = 32 * 1024 * 1024; ///< For gRPC's buffers.
  int mMaxThreads = 4;                            ///< gRPC's own.
};

/// Makes calls to peers, each given as "ip:port".
class PeerClient
{
public:
  using Settings = PeerClientSettings;

  /// Told how a call ended: its reply, or none and why. Called exactly once
  /// on the reactor's thread, never from within the call; not at all once the
  /// client is gone. The reason's code is Unreachable when nothing was sent
  /// for certain, Refused when the peer answered with an error, and InDoubt
  /// when the call may have taken effect, as past the deadline.
  template<typename Reply>
  using Done = std::function<void(std::optional<Reply>, const Reason&)>;

  /// Null with aReason when the credentials are missing.
  static std::unique_ptr<PeerClient> Create(Reactor& aReactor,
                                            const Settings& aSettings,
                                            Reason* aReason);

  /// Cancels what is open and waits for gRPC to let go of it.
  ~PeerClient();

  /// Exchanges views with another control process.
  void Exchange(const std::string& aAddress,
                peer::ExchangeRequest aRequest,
                Duration aDeadline,
                Done<peer::ExchangeReply> aDone);

  /// Follows a control process.
  void Follow(const std::string& aAddress,
              peer::FollowRequest aRequest,
              Duration aDeadline,
              Done<peer::ViewUpdate> aDone);

  /// Asks another entry for a part of its share.
  void Borrow(const std::string& aAddress,
              peer::BorrowRequest aRequest,
              Duration aDeadline,
              Done<peer::BorrowReply> aDone);

  /// Hands a part of a share to another entry.
  void Transfer(const std::string& aAddress,
                peer::ShareTransfer aRequest,
                Duration aDeadline,
                Done<peer::TransferReply> aDone);

  /// Warns another entry of suspects and quarantined requests.
  void Warn(const std::string& aAddress,
            peer::Warning aRequest,
            Duration aDeadline,
            Done<peer::WarningReply> aDone);

private:
  struct Impl;
  explicit PeerClient(std::shared_ptr<Impl> aImpl);
  std::shared_ptr<Impl> mImpl;
};

} // namespace peridothoist
