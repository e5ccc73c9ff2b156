#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Queueing/FairQueue.h>

#include <algorithm>

namespace peridothoist {

void
FairQueue::Push(QueueItem aItem)
{
  aItem.mSequence = mNextSequence++;
  Insert(std::move(aItem));
}

void
FairQueue::Insert(QueueItem aItem)
{
  PH_ASSERT(aItem.mCost > 0);
  PH_ASSERT(mLocations.count(aItem.mId) == 0);
  const std::string workspace = aItem.mWorkspace;
  Flow& flow = mFlows[workspace];
  if (flow.mItems.empty()) {
    mIdle.erase(FlowOrder{ flow.mVirtualStart, workspace });
    flow.mVirtualStart = std::max(flow.mVirtualStart, mVirtualTime);
    mActive.insert(FlowOrder{ flow.mVirtualStart, workspace });
  }
  const ItemOrder order{ aItem.mClass, aItem.mSequence };
  AddQueuedCost(flow, aItem.mClass, aItem.mCost);
  mLocations.emplace(aItem.mId, ItemLocation{ workspace, order });
  const bool added = flow.mItems.emplace(order, std::move(aItem)).second;
  PH_ASSERT(added);
}

const QueueItem*
FairQueue::Front() const
{
  if (mActive.empty()) {
    return nullptr;
  }
  const auto it = mFlows.find(mActive.begin()->mWorkspace);
  return &it->second.mItems.begin()->second;
}

QueueItem
FairQueue::Pop()
{
  PH_ASSERT(!mActive.empty());
  const std::string workspace = mActive.begin()->mWorkspace;
  Flow& flow = mFlows[workspace];
  QueueItem item = std::move(flow.mItems.begin()->second);
  flow.mItems.erase(flow.mItems.begin());
  mLocations.erase(item.mId);
  AddQueuedCost(flow, item.mClass, -item.mCost);
  item.mVirtualStart = flow.mVirtualStart;
  mVirtualTime = std::max(mVirtualTime, flow.mVirtualStart);
  SetVirtualStart(workspace, flow, flow.mVirtualStart + item.mCost);
  MarkIdleIfEmpty(workspace, flow);
  DropPassedIdleFlows();
  return item;
}

void
FairQueue::PutBack(QueueItem aItem)
{
  const std::string workspace = aItem.mWorkspace;
  const double cost = aItem.mCost;
  const double virtualStart = aItem.mVirtualStart;
  Insert(std::move(aItem));
  Flow& flow = mFlows[workspace];
  SetVirtualStart(
    workspace, flow, std::max(virtualStart, flow.mVirtualStart - cost));
}

bool
FairQueue::Remove(std::uint64_t aId)
{
  const auto location = mLocations.find(aId);
  if (location == mLocations.end()) {
    return false;
  }
  const std::string workspace = location->second.mWorkspace;
  Flow& flow = mFlows[workspace];
  const auto it = flow.mItems.find(location->second.mItemOrder);
  AddQueuedCost(flow, it->second.mClass, -it->second.mCost);
  flow.mItems.erase(it);
  mLocations.erase(location);
  MarkIdleIfEmpty(workspace, flow);
  return true;
}

Backlog
FairQueue::BacklogAhead(const std::string& aWorkspace,
                        RequestClass aClass,
                        double aCost) const
{
  const auto it = mFlows.find(aWorkspace);
  double ownCost = 0;
  std::size_t otherFlows = mActive.size();
  if (it != mFlows.end()) {
    for (std::size_t n = 0; n <= static_cast<std::size_t>(aClass); ++n) {
      ownCost += it->second.mCost[n];
    }
    otherFlows -= it->second.mItems.empty() ? 0 : 1;
  }
  // While the workspace's own cost and the item are served, each other
  // workspace gets at most the same amount of service, and all of them together
  // at most what they have queued.
  const double othersCost = (ownCost + aCost) * static_cast<double>(otherFlows);
  return Backlog{ ownCost +
                  std::min(othersCost, std::max(0.0, mTotalCost - ownCost)) };
}

std::size_t
FairQueue::Length(const std::string& aWorkspace) const
{
  const auto it = mFlows.find(aWorkspace);
  return it == mFlows.end() ? 0 : it->second.mItems.size();
}

std::vector<QueueItem>
FairQueue::Items() const
{
  std::vector<QueueItem> items;
  items.reserve(mLocations.size());
  for (const auto& [workspace, flow] : mFlows) {
    for (const auto& [order, item] : flow.mItems) {
      items.push_back(item);
    }
  }
  return items;
}

void
FairQueue::AddQueuedCost(Flow& aFlow, RequestClass aClass, double aCost)
{
  double& cost = aFlow.mCost[static_cast<std::size_t>(aClass)];
  cost = std::max(0.0, cost + aCost);
  mTotalCost = std::max(0.0, mTotalCost + aCost);
}

void
FairQueue::SetVirtualStart(const std::string& aWorkspace,
                           Flow& aFlow,
                           double aVirtualStart)
{
  mActive.erase(FlowOrder{ aFlow.mVirtualStart, aWorkspace });
  aFlow.mVirtualStart = aVirtualStart;
  mActive.insert(FlowOrder{ aFlow.mVirtualStart, aWorkspace });
}

void
FairQueue::MarkIdleIfEmpty(const std::string& aWorkspace, Flow& aFlow)
{
  if (!aFlow.mItems.empty()) {
    return;
  }
  mActive.erase(FlowOrder{ aFlow.mVirtualStart, aWorkspace });
  mIdle.insert(FlowOrder{ aFlow.mVirtualStart, aWorkspace });
}

void
FairQueue::DropPassedIdleFlows()
{
  while (!mIdle.empty() && mIdle.begin()->mVirtualStart <= mVirtualTime) {
    mFlows.erase(mIdle.begin()->mWorkspace);
    mIdle.erase(mIdle.begin());
  }
}

} // namespace peridothoist
