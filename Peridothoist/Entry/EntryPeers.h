/// Moves shares of allowances between entries over gRPC.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/AllowanceDesk.h>
#include <Peridothoist/Entry/EntryView.h>
#include <Peridothoist/Peers/PeerClient.h>
#include <Peridothoist/Peers/PeerServer.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Both directions of one entry's share transfers.
class EntryPeers
  : public AllowancePeers
  , public EntryPeerHandler
{
public:
  /// Nothing is owned.
  EntryPeers(Reactor* aReactor, PeerClient* aClient, EntryView* aView)
    : mReactor(aReactor)
    , mClient(aClient)
    , mView(aView)
  {
  }

  // See: AllowancePeers
  void Borrow(const std::string& aInstance,
              const BorrowAsk& aAsk,
              Borrowed aDone) override;
  void Send(const ShareTransfer& aTransfer) override;

  // See: EntryPeerHandler
  void OnBorrow(const peer::BorrowRequest& aRequest,
                PeerAnswer<peer::BorrowReply> aAnswer) override;
  void OnTransfer(const peer::ShareTransfer& aRequest,
                  PeerAnswer<peer::TransferReply> aAnswer) override;

  void OnWarn(const peer::Warning& aRequest,
              PeerAnswer<peer::WarningReply> aAnswer) override;

  /// Sets who takes warnings; not owned.
  void SetWarningListener(std::function<void(const peer::Warning&)> aListener)
  {
    mOnWarning = std::move(aListener);
  }

  /// Warns other live entries, at most kMaxWarned of them; the rest hear of
  /// it through their control processes.
  void WarnOthers(const peer::Warning& aWarning);

  static constexpr std::size_t kMaxWarned = 16;

  /// Transfers on their way.
  std::size_t OpenTransfers() const { return mOpenTransfers; }

private:
  Reactor* mReactor;
  PeerClient* mClient;
  EntryView* mView;
  std::function<void(const peer::Warning&)> mOnWarning;
  std::size_t mOpenTransfers = 0;
};

} // namespace peridothoist
