#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EntryPeerService.h>

#include <Peridothoist/Peers/PeerCodec.h>

namespace peridothoist {

namespace {

constexpr Duration kBorrowTimeout = 200ms;
constexpr Duration kTransferTimeout = 500ms;

} // namespace

void
EntryPeerService::Borrow(const std::string& aInstance,
                         const ShareRequest& aRequest,
                         BorrowCallback aDone)
{
  const Member* member = mView->FindEntry(aInstance);
  if (member == nullptr) {
    mReactor->Post([done = std::move(aDone)] { done(std::nullopt); });
    return;
  }
  mClient->Borrow(
    member->mEntryPeer,
    ToMessage(aRequest),
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
EntryPeerService::Send(const ShareTransfer& aTransfer)
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
EntryPeerService::OnBorrow(const peer::BorrowRequest& aRequest,
                           PeerResponder<peer::BorrowReply> aSendReply)
{
  const ShareTransfer transfer =
    mView->Shares().Lend(FromMessage(aRequest), mReactor->Now());
  peer::BorrowReply reply;
  if (!transfer.IsEmpty()) {
    *reply.mutable_transfer() = ToMessage(transfer);
  }
  aSendReply(std::move(reply));
}

void
EntryPeerService::OnTransfer(const peer::ShareTransfer& aRequest,
                             PeerResponder<peer::TransferReply> aSendReply)
{
  peer::TransferReply reply;
  reply.set_accepted(
    mView->Shares().Receive(FromMessage(aRequest), mReactor->Now()));
  aSendReply(std::move(reply));
}

void
EntryPeerService::OnWarn(const peer::Warning& aRequest,
                         PeerResponder<peer::WarningReply> aSendReply)
{
  if (mWarningHandler) {
    mWarningHandler(aRequest);
  }
  aSendReply(peer::WarningReply());
}

void
EntryPeerService::BroadcastWarning(const peer::Warning& aWarning)
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
