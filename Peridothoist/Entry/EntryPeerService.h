/// Transfers shares of allowances between entry processes and sends warnings
/// to them, over gRPC.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/AllowanceManager.h>
#include <Peridothoist/Entry/EntryView.h>
#include <Peridothoist/Peers/PeerClient.h>
#include <Peridothoist/Peers/PeerServer.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Sends borrow requests, share transfers and warnings to other entry
/// processes, and handles those that they send.
class EntryPeerService
  : public AllowancePeerClient
  , public EntryPeerHandler
{
public:
  /// The pointers are not owned.
  EntryPeerService(Reactor* aReactor, PeerClient* aClient, EntryView* aView)
    : mReactor(aReactor)
    , mClient(aClient)
    , mView(aView)
  {
  }

  // See: AllowancePeerClient
  void Borrow(const std::string& aInstance,
              const ShareRequest& aRequest,
              BorrowCallback aDone) override;
  void Send(const ShareTransfer& aTransfer) override;

  // See: EntryPeerHandler
  void OnBorrow(const peer::BorrowRequest& aRequest,
                PeerResponder<peer::BorrowReply> aSendReply) override;
  void OnTransfer(const peer::ShareTransfer& aRequest,
                  PeerResponder<peer::TransferReply> aSendReply) override;

  void OnWarn(const peer::Warning& aRequest,
              PeerResponder<peer::WarningReply> aSendReply) override;

  /// Sets the function that handles received warnings.
  void SetWarningHandler(std::function<void(const peer::Warning&)> aHandler)
  {
    mWarningHandler = std::move(aHandler);
  }

  /// Sends aWarning to other entries, to at most kMaxWarningRecipients of
  /// them. The others receive it through their control processes.
  void BroadcastWarning(const peer::Warning& aWarning);

  static constexpr std::size_t kMaxWarningRecipients = 16;

  /// Returns the number of sent transfers without a reply so far.
  std::size_t PendingTransfers() const { return mPendingTransfers; }

private:
  Reactor* mReactor;
  PeerClient* mClient;
  EntryView* mView;
  std::function<void(const peer::Warning&)> mWarningHandler;
  std::size_t mPendingTransfers = 0;
};

} // namespace peridothoist
