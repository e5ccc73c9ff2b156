/// Calls other processes of the system over gRPC. Callbacks run on the
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
  /// Maximum open channels; the least recently used ones are closed.
  std::size_t mMaxChannels = 128;
  std::size_t mMaxMemoryBytes = 32 * 1024 * 1024; ///< Limit of gRPC's buffers.
  int mMaxThreads = 4;                            ///< Limit of gRPC's threads.
};

/// Makes calls to peers, each given as "ip:port".
class PeerClient
{
public:
  using Settings = PeerClientSettings;

  /// Receives the result of a call: the reply, or nullopt and the reason for
  /// the failure. Called exactly once on the reactor's thread, never from
  /// within the call itself; not called once the client is destroyed. The
  /// reason's code is
  ///   - Invalid if the address is not "ip:port"; nothing was sent,
  ///   - Full if the request exceeds the message size limit; nothing was sent,
  ///   - Unreachable if the peer could not be connected to; nothing was sent,
  ///   - Refused if the peer rejected the call, or
  ///   - InDoubt if the call may have taken effect, as after a timeout.
  template<typename Reply>
  using Callback = std::function<void(std::optional<Reply>, const Reason&)>;

  /// Creates a client. Returns null and sets aReason if the credentials are
  /// missing or incomplete.
  static std::unique_ptr<PeerClient> Create(Reactor& aReactor,
                                            const Settings& aSettings,
                                            Reason* aReason);

  /// Cancels open calls and waits until gRPC has released them.
  ~PeerClient();

  /// Exchanges views with another control process.
  void Exchange(const std::string& aAddress,
                peer::ExchangeRequest aRequest,
                Duration aTimeout,
                Callback<peer::ExchangeReply> aCallback);

  /// Fetches view updates for an entry process from a control process.
  void Follow(const std::string& aAddress,
              peer::FollowRequest aRequest,
              Duration aTimeout,
              Callback<peer::ViewUpdate> aCallback);

  /// Requests a fraction of another entry's share.
  void Borrow(const std::string& aAddress,
              peer::BorrowRequest aRequest,
              Duration aTimeout,
              Callback<peer::BorrowReply> aCallback);

  /// Transfers a fraction of a share to another entry.
  void Transfer(const std::string& aAddress,
                peer::ShareTransfer aRequest,
                Duration aTimeout,
                Callback<peer::TransferReply> aCallback);

  /// Notifies another entry of suspects and quarantined requests.
  void Warn(const std::string& aAddress,
            peer::Warning aRequest,
            Duration aTimeout,
            Callback<peer::WarningReply> aCallback);

private:
  struct Impl;
  explicit PeerClient(std::shared_ptr<Impl> aImpl);
  std::shared_ptr<Impl> mImpl;
};

} // namespace peridothoist
