#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Lease/ReclaimPlanner.h>

#include <algorithm>

namespace peridothoist {

std::string_view
InstanceOfRequest(std::string_view aRequestId)
{
  const std::size_t attempt = aRequestId.rfind('/');
  if (attempt == std::string_view::npos || attempt == 0) {
    return {};
  }
  const std::size_t sequence = aRequestId.rfind('/', attempt - 1);
  if (sequence == std::string_view::npos) {
    return {};
  }
  return aRequestId.substr(0, sequence);
}

std::vector<ReclaimOrder>
PlanReclaim(const std::vector<HeldRequest>& aHeld,
            const std::vector<TerminatedInstance>& aTerminated)
{
  std::set<std::string, std::less<>> terminatedInstances;
  for (const TerminatedInstance& it : aTerminated) {
    terminatedInstances.insert(it.mEntryInstance);
  }
  std::vector<ReclaimOrder> orders;
  for (const HeldRequest& held : aHeld) {
    const std::string_view instance = InstanceOfRequest(held.mRequestId);
    if (instance.empty() || terminatedInstances.count(instance) == 0) {
      continue;
    }
    const auto isSameOrder = [&](const ReclaimOrder& aOrder) {
      return aOrder.mUpstream == held.mUpstream &&
             aOrder.mEntryInstance == instance;
    };
    auto order = std::find_if(orders.begin(), orders.end(), isSameOrder);
    if (order == orders.end()) {
      orders.push_back({ held.mUpstream, std::string(instance), 0 });
      order = std::prev(orders.end());
    }
    ++order->mRequests;
  }
  return orders;
}

} // namespace peridothoist
