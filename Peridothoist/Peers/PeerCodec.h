/// Converts the core's types to the messages of peer.proto and back. A field
/// that a message lacks gets its default value. Texts from peers are not
/// validated here and must be treated as untrusted.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/SharePlanScheduler.h>
#include <Peridothoist/Allowance/ShareTransfer.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Keys/KeyAuthenticator.h>
#include <Peridothoist/Membership/Member.h>
#include <Peridothoist/View/ViewStamp.h>

#include <peer.pb.h>

namespace peridothoist {

/// Converts an age to the microseconds of messages; negative ages become 0.
inline std::uint64_t
ToMicroseconds(Duration aDuration)
{
  return aDuration.count() > 0 ? static_cast<std::uint64_t>(aDuration.count())
                               : 0;
}

/// Converts an age from a message. Limits it to one year, so that additions
/// can't overflow.
Duration
FromMicroseconds(std::uint64_t aMicroseconds);

peer::Change
ToMessage(const ConfigChange& aChange);
/// Returns nullopt if the kind of an item is unknown.
std::optional<ConfigChange>
FromMessage(const peer::Change& aMessage);

peer::Snapshot
ToSnapshotMessage(std::uint64_t aVersion, const std::vector<ItemEdit>& aItems);
/// Returns the items of a snapshot, or nullopt if the kind of an item is
/// unknown.
std::optional<std::vector<ItemEdit>>
ItemsFromMessage(const peer::Snapshot& aMessage);

peer::Member
ToMessage(const Member& aMember);
Member
FromMessage(const peer::Member& aMessage);

/// Converts a message's list of members.
template<typename Messages>
std::vector<Member>
MembersFromMessages(const Messages& aMessages)
{
  std::vector<Member> members;
  members.reserve(static_cast<std::size_t>(aMessages.size()));
  for (const peer::Member& message : aMessages) {
    members.push_back(FromMessage(message));
  }
  return members;
}

peer::Suspension
ToMessage(const KeySuspension& aSuspension);
KeySuspension
FromMessage(const peer::Suspension& aMessage);

peer::SharePlan
ToMessage(const SharePlan& aPlan);
SharePlan
FromMessage(const peer::SharePlan& aMessage);

peer::ShareTransfer
ToMessage(const ShareTransfer& aTransfer);
ShareTransfer
FromMessage(const peer::ShareTransfer& aMessage);

peer::BorrowRequest
ToMessage(const ShareRequest& aRequest);
ShareRequest
FromMessage(const peer::BorrowRequest& aMessage);

/// Returns the stamp of a view state.
ViewStamp
StampOf(const peer::ViewState& aMessage);

} // namespace peridothoist
