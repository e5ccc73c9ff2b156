/// Turns the core's types into the messages of peer.proto and back. A message
/// that is missing a field gives that field's default; nothing here trusts a
/// peer's text beyond its type.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/PlanKeeper.h>
#include <Peridothoist/Allowance/ShareTransfer.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Keys/KeyRing.h>
#include <Peridothoist/Membership/Member.h>
#include <Peridothoist/View/ViewStamp.h>

#include <peer.pb.h>

namespace peridothoist {

/// Ages travel in microseconds.
inline std::uint64_t
ToMicroseconds(Duration aDuration)
{
  return aDuration.count() > 0 ? static_cast<std::uint64_t>(aDuration.count())
                               : 0;
}

/// Reads an age; one beyond a year is cut to a year, so that adding to it
/// can't overflow.
Duration
FromMicroseconds(std::uint64_t aMicroseconds);

peer::Change
ToMessage(const ConfigChange& aChange);
/// Empty when an item's kind is unknown.
std::optional<ConfigChange>
FromMessage(const peer::Change& aMessage);

peer::Snapshot
ToSnapshotMessage(std::uint64_t aVersion, const std::vector<ItemEdit>& aItems);
/// The items of a snapshot; empty when an item's kind is unknown.
std::optional<std::vector<ItemEdit>>
ItemsFromMessage(const peer::Snapshot& aMessage);

peer::Member
ToMessage(const Member& aMember);
Member
FromMessage(const peer::Member& aMessage);

/// All members of a message's list.
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
ToMessage(const BorrowAsk& aAsk);
BorrowAsk
FromMessage(const peer::BorrowRequest& aMessage);

/// The stamp in a view state.
ViewStamp
StampOf(const peer::ViewState& aMessage);

} // namespace peridothoist
