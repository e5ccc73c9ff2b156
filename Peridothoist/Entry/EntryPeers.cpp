#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EntryPeers.h>

#include <Peridothoist/Peers/PeerCodec.h>

namespace peridothoist {

namespace {

constexpr Duration kBorrowDeadline = 200ms;
constexpr Duration kTransferDeadline = 500ms;

} // namespace

void
EntryPeers::Borrow(const std::string& aInstance,
                   const BorrowAsk& aAsk,
                   Borrowed aDone)
{
  const Member* member = mView->FindEntry(aInstance);
  if (member == nullptr) {
    mReactor->Post([done = std::move(aDone)] { done(std::nullopt); });
    return;
  }
  mClient->Borrow(
    member->mEntryPeer,
    ToMessage(aAsk),
    kBorrowDeadline,
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
  ++mOpenTransfers;
  mClient->Transfer(member->mEntryPeer,
                    ToMessage(aTransfer),
                    kTransferDeadline,
                    [this](const std::optional<peer::TransferReply>&,
                           const Reason&) { --mOpenTransfers; });
}

void
EntryPeers::OnBorrow(const peer::BorrowRequest& aRequest,
                     PeerAnswer<peer::BorrowReply> aAnswer)
{
  const ShareTransfer transfer =
    mView->Book().Give(FromMessage(aRequest), mReactor->Now());
  peer::BorrowReply reply;
  if (!transfer.IsEmpty()) {
    *reply.mutable_transfer() = ToMessage(transfer);
  }
  aAnswer(std::move(reply));
}

void
EntryPeers::OnTransfer(const peer::ShareTransfer& aRequest,
                       PeerAnswer<peer::TransferReply> aAnswer)
{
  peer::TransferReply reply;
  reply.set_accepted(
    mView->Book().Receive(FromMessage(aRequest), mReactor->Now()));
  aAnswer(std::move(reply));
}

void
EntryPeers::OnWarn(const peer::Warning& aRequest,
                   PeerAnswer<peer::WarningReply> aAnswer)
{
  if (mOnWarning) {
    mOnWarning(aRequest);
  }
  aAnswer(peer::WarningReply());
}

void
EntryPeers::WarnOthers(const peer::Warning& aWarning)
{
  std::size_t warned = 0;
  for (const Member& member : mView->Members()) {
    const bool other = !member.mEntryInstance.empty() &&
                       member.mEntryInstance != mView->Book().Self();
    if (!other || warned == kMaxWarned) {
      continue;
    }
    ++warned;
    mClient->Warn(
      member.mEntryPeer,
      aWarning,
      kTransferDeadline,
      [](const std::optional<peer::WarningReply>&, const Reason&) {});
  }
}

} // namespace peridothoist
