#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EntryPeers.h>

#include <Peridothoist/Peers/PeerCodec.h>

namespace peridothoist {

namespace {

constexpr Duration kBorrowTimeout = 200ms;
constexpr Duration kTransferTimeout = 500ms;

} // namespace

void
EntryPeers::Borrow(const std::string& aInstance,
                   const BorrowAsk& aAsk,
                   BorrowCallback aDone)
{
  const Member* member = mView->FindEntry(aInstance);
  if (member == nullptr) {
    mReactor->Post([done = std::move(aDone)] { done(std::nullopt); });
    return;
  }
  mClient->Borrow(
    member->mEntryPeer,
    ToMessage(aAsk),
    kBorrowTimeout,
    [done = std::move(aDone)](const std::optional<peer::BorrowReply>& aReply,
                              const Reason&) {
      if (!aReply || !aReply->has_transfer()) {
        done(std::nullopt);
        return;
      }
      done(FromMessage(aReply->transfer()));
    });
}

void
EntryPeers::Send(const ShareTransfer& aTransfer)
{
  const Member* member = mView->FindEntry(aTransfer.mToInstance);
  if (member == nullptr) {
    return;
  }
  ++mPendingTransfers;
  mClient->Transfer(member->mEntryPeer,
                    ToMessage(aTransfer),
                    kTransferTimeout,
                    [this](const std::optional<peer::TransferReply>&,
                           const Reason&) { --mPendingTransfers; });
}

void
EntryPeers::OnBorrow(const peer::BorrowRequest& aRequest,
                     PeerAnswer<peer::BorrowReply> aSendReply)
{
  const ShareTransfer transfer =
    mView->Shares().Give(FromMessage(aRequest), mReactor->Now());
  peer::BorrowReply reply;
  if (!transfer.IsEmpty()) {
    *reply.mutable_transfer() = ToMessage(transfer);
  }
  aSendReply(std::move(reply));
}

void
EntryPeers::OnTransfer(const peer::ShareTransfer& aRequest,
                       PeerAnswer<peer::TransferReply> aSendReply)
{
  peer::TransferReply reply;
  reply.set_accepted(
    mView->Shares().Receive(FromMessage(aRequest), mReactor->Now()));
  aSendReply(std::move(reply));
}

void
EntryPeers::OnWarn(const peer::Warning& aRequest,
                   PeerAnswer<peer::WarningReply> aSendReply)
{
  if (mWarningHandler) {
    mWarningHandler(aRequest);
  }
  aSendReply(peer::WarningReply());
}

void
EntryPeers::BroadcastWarning(const peer::Warning& aWarning)
{
  std::size_t recipients = 0;
  for (const Member& member : mView->Members()) {
    const bool isOtherEntry = !member.mEntryInstance.empty() &&
                              member.mEntryInstance != mView->Shares().Self();
    if (!isOtherEntry || recipients == kMaxWarningRecipients) {
      continue;
    }
    ++recipients;
    mClient->Warn(
      member.mEntryPeer,
      aWarning,
      kTransferTimeout,
      [](const std::optional<peer::WarningReply>&, const Reason&) {});
  }
}

} // namespace peridothoist
