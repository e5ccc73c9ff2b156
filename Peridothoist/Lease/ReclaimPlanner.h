/// Finds what upstreams still hold for entries that are gone, so that no
/// engine memory stays held. Only the holder of the upstream group's lease
/// acts on it, and only after LeaseMachine::MayOrder().
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Membership/MemberList.h>

namespace peridothoist {

/// One request that an engine reported to hold.
struct HeldRequest
{
  std::string mUpstream;
  std::string mRequestId; ///< `INSTANCE/SEQUENCE/ATTEMPT`.
};

/// Cancels everything that one upstream holds for one instance.
struct ReclaimOrder
{
  std::string mUpstream;
  std::string mEntryInstance;
  std::size_t mRequests = 0; ///< How many were seen, for the log.
};

/// The instance in a request id; empty when it has another form.
std::string_view
InstanceOfRequest(std::string_view aRequestId);

/// The cancels that are due: for requests of instances in aGone. An instance
/// that isn't known at all is left alone: it may have just started.
std::vector<ReclaimOrder>
PlanReclaim(const std::vector<HeldRequest>& aHeld,
            const std::vector<GoneInstance>& aGone);

} // namespace peridothoist
