/// Finds requests that engines still hold for entries that have terminated, so
/// that the engine memory of these requests can be freed. Only the holder of
/// the upstream group's lease may send the resulting orders, and only after
/// LeaseStateMachine::MaySendOrder().
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Membership/MemberList.h>

namespace peridothoist {

/// One request that an engine reports to hold.
struct HeldRequest
{
  std::string mUpstream;
  std::string mRequestId; ///< `INSTANCE/SEQUENCE/ATTEMPT`.
};

/// An order to cancel everything that one upstream holds for one instance.
struct ReclaimOrder
{
  std::string mUpstream;
  std::string mEntryInstance;
  std::size_t mRequests = 0; ///< Number of requests found, for the log.
};

/// Returns the instance in a request id, or an empty string when the id has
/// another form.
std::string_view
InstanceOfRequest(std::string_view aRequestId);

/// Returns the orders for the requests of the instances in aTerminated.
/// Ignores requests of instances that aren't known at all, because these may
/// have just started.
std::vector<ReclaimOrder>
PlanReclaim(const std::vector<HeldRequest>& aHeld,
            const std::vector<TerminatedInstance>& aTerminated);

} // namespace peridothoist
