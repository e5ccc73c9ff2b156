/// Converts the core's types to the messages of peer.proto and back.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Peers/PeerCodec.h>

#include <algorithm>
#include <cmath>

namespace peridothoist {

namespace {

constexpr std::uint64_t kMaxAgeMicroseconds =
  std::uint64_t(365) * 24 * 3600 * 1000 * 1000;

/// Returns an amount from a message, or 0 if it is negative or not finite.
double
ToAmount(double aValue)
{
  return std::isfinite(aValue) && aValue > 0 ? aValue : 0;
}

void
WriteItem(const ItemEdit& aItem, peer::ItemEdit& aMessage)
{
  aMessage.set_kind(ToName(aItem.mKind));
  aMessage.set_name(aItem.mName);
  aMessage.set_json(aItem.mJson);
}

template<typename Messages>
std::optional<std::vector<ItemEdit>>
ReadItems(const Messages& aMessages)
{
  std::vector<ItemEdit> items;
  items.reserve(static_cast<std::size_t>(aMessages.size()));
  for (const peer::ItemEdit& message : aMessages) {
    const auto kind = ItemKindFromName(message.kind());
    if (!kind) {
      return std::nullopt;
    }
    items.push_back({ *kind, message.name(), message.json() });
  }
  return items;
}

} // namespace

Duration
FromMicroseconds(std::uint64_t aMicroseconds)
{
  const std::uint64_t age = std::min(aMicroseconds, kMaxAgeMicroseconds);
  return Duration(static_cast<Duration::rep>(age));
}

peer::Change
ToMessage(const ConfigChange& aChange)
{
  peer::Change message;
  message.set_version(aChange.mVersion);
  message.set_operation_id(aChange.mOperationId);
  for (const ItemEdit& edit : aChange.mEdits) {
    WriteItem(edit, *message.add_edits());
  }
  return message;
}

std::optional<ConfigChange>
FromMessage(const peer::Change& aMessage)
{
  auto edits = ReadItems(aMessage.edits());
  if (!edits) {
    return std::nullopt;
  }
  ConfigChange change;
  change.mVersion = aMessage.version();
  change.mOperationId = aMessage.operation_id();
  change.mEdits = std::move(*edits);
  return change;
}

peer::Snapshot
ToSnapshotMessage(std::uint64_t aVersion, const std::vector<ItemEdit>& aItems)
{
  peer::Snapshot message;
  message.set_version(aVersion);
  for (const ItemEdit& item : aItems) {
    WriteItem(item, *message.add_items());
  }
  return message;
}

std::optional<std::vector<ItemEdit>>
ItemsFromMessage(const peer::Snapshot& aMessage)
{
  return ReadItems(aMessage.items());
}

peer::Member
ToMessage(const Member& aMember)
{
  peer::Member message;
  message.set_vm(aMember.mVm);
  message.set_zone(aMember.mZone);
  message.set_entry_address(aMember.mEntryAddress);
  message.set_entry_peer(aMember.mEntryPeer);
  message.set_control_peer(aMember.mControlPeer);
  message.set_state(aMember.mState == MemberState::Leaving ? peer::LEAVING
                                                           : peer::LIVE);
  message.set_entry_instance(aMember.mEntryInstance);
  message.set_control_instance(aMember.mControlInstance);
  message.set_never_heard(!aMember.mReportAge.has_value());
  message.set_age_us(
    ToMicroseconds(aMember.mReportAge.value_or(Duration::zero())));
  message.set_known_us(ToMicroseconds(aMember.mKnownFor));
  message.set_entry_version(aMember.mEntryVersion);
  message.set_running_us(ToMicroseconds(aMember.mRunningFor));
  message.set_view_version(aMember.mStamp.mVersion);
  message.set_plan_epoch(aMember.mStamp.mPlanEpoch);
  message.set_platform_unreachable(aMember.mPlatformUnreachable);
  message.set_commit_in_doubt(aMember.mCommitInDoubt);
  return message;
}

Member
FromMessage(const peer::Member& aMessage)
{
  Member member;
  member.mVm = aMessage.vm();
  member.mZone = aMessage.zone();
  member.mEntryAddress = aMessage.entry_address();
  member.mEntryPeer = aMessage.entry_peer();
  member.mControlPeer = aMessage.control_peer();
  member.mState = aMessage.state() == peer::LEAVING ? MemberState::Leaving
                                                    : MemberState::Live;
  member.mEntryInstance = aMessage.entry_instance();
  member.mControlInstance = aMessage.control_instance();
  if (!aMessage.never_heard()) {
    member.mReportAge = FromMicroseconds(aMessage.age_us());
  }
  member.mKnownFor = FromMicroseconds(aMessage.known_us());
  member.mEntryVersion = aMessage.entry_version();
  member.mRunningFor = FromMicroseconds(aMessage.running_us());
  member.mStamp.mVersion = aMessage.view_version();
  member.mStamp.mPlanEpoch = aMessage.plan_epoch();
  member.mPlatformUnreachable = aMessage.platform_unreachable();
  member.mCommitInDoubt = aMessage.commit_in_doubt();
  return member;
}

peer::Suspension
ToMessage(const KeySuspension& aSuspension)
{
  peer::Suspension message;
  message.set_operation_id(aSuspension.mOperationId);
  message.set_version(aSuspension.mVersion);
  message.set_age_us(ToMicroseconds(aSuspension.mAge));
  for (const std::string& key : aSuspension.mKeyNames) {
    message.add_keys(key);
  }
  return message;
}

KeySuspension
FromMessage(const peer::Suspension& aMessage)
{
  KeySuspension suspension;
  suspension.mOperationId = aMessage.operation_id();
  suspension.mVersion = aMessage.version();
  suspension.mAge = FromMicroseconds(aMessage.age_us());
  suspension.mKeyNames.assign(aMessage.keys().begin(), aMessage.keys().end());
  return suspension;
}

peer::SharePlan
ToMessage(const SharePlan& aPlan)
{
  peer::SharePlan message;
  message.set_epoch(aPlan.mEpoch);
  for (const std::string& instance : aPlan.mEntryInstances) {
    message.add_entries(instance);
  }
  return message;
}

SharePlan
FromMessage(const peer::SharePlan& aMessage)
{
  SharePlan plan;
  plan.mEpoch = aMessage.epoch();
  plan.mEntryInstances.assign(aMessage.entries().begin(),
                              aMessage.entries().end());
  return plan;
}

peer::ShareTransfer
ToMessage(const ShareTransfer& aTransfer)
{
  peer::ShareTransfer message;
  message.set_transfer_id(aTransfer.mTransferId);
  message.set_from_instance(aTransfer.mFromInstance);
  message.set_to_instance(aTransfer.mToInstance);
  message.set_epoch(aTransfer.mEpoch);
  message.set_workspace(aTransfer.mWorkspace);
  message.set_tokens(aTransfer.mTokens);
  message.set_burst_share(aTransfer.mBurstShare);
  message.set_rate_share(aTransfer.mRateShare);
  return message;
}

ShareTransfer
FromMessage(const peer::ShareTransfer& aMessage)
{
  ShareTransfer transfer;
  transfer.mTransferId = aMessage.transfer_id();
  transfer.mFromInstance = aMessage.from_instance();
  transfer.mToInstance = aMessage.to_instance();
  transfer.mEpoch = aMessage.epoch();
  transfer.mWorkspace = aMessage.workspace();
  transfer.mTokens = ToAmount(aMessage.tokens());
  transfer.mBurstShare = ToAmount(aMessage.burst_share());
  transfer.mRateShare = ToAmount(aMessage.rate_share());
  return transfer;
}

peer::BorrowRequest
ToMessage(const ShareRequest& aRequest)
{
  peer::BorrowRequest message;
  message.set_transfer_id(aRequest.mTransferId);
  message.set_instance(aRequest.mInstance);
  message.set_epoch(aRequest.mEpoch);
  message.set_workspace(aRequest.mWorkspace);
  message.set_tokens(aRequest.mTokens);
  message.set_rate(aRequest.mRate);
  return message;
}

ShareRequest
FromMessage(const peer::BorrowRequest& aMessage)
{
  ShareRequest request;
  request.mTransferId = aMessage.transfer_id();
  request.mInstance = aMessage.instance();
  request.mEpoch = aMessage.epoch();
  request.mWorkspace = aMessage.workspace();
  request.mTokens = ToAmount(aMessage.tokens());
  request.mRate = ToAmount(aMessage.rate());
  return request;
}

ViewStamp
StampOf(const peer::ViewState& aMessage)
{
  ViewStamp stamp;
  stamp.mVersion = aMessage.version();
  stamp.mPlanEpoch = aMessage.plan_epoch();
  return stamp;
}

} // namespace peridothoist
