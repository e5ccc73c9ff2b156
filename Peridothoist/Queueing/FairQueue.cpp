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
  PH_ASSERT(mPlaces.count(aItem.mId) == 0);
  const std::string workspace = aItem.mWorkspace;
  Flow& flow = mFlows[workspace];
  if (flow.mItems.empty()) {
    mIdle.erase(Turn{ flow.mStart, workspace });
    flow.mStart = std::max(flow.mStart, mVirtual);
    mActive.insert(Turn{ flow.mStart, workspace });
  }
  const Place place{ aItem.mClass, aItem.mSequence };
  Account(flow, aItem.mClass, aItem.mCost);
  mPlaces.emplace(aItem.mId, Location{ workspace, place });
  const bool added = flow.mItems.emplace(place, std::move(aItem)).second;
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
  mPlaces.erase(item.mId);
  Account(flow, item.mClass, -item.mCost);
  item.mStart = flow.mStart;
  mVirtual = std::max(mVirtual, flow.mStart);
  SetStart(workspace, flow, flow.mStart + item.mCost);
  Park(workspace, flow);
  DropIdle();
  return item;
}

void
FairQueue::Return(QueueItem aItem)
{
  const std::string workspace = aItem.mWorkspace;
  const double cost = aItem.mCost;
  const double start = aItem.mStart;
  Insert(std::move(aItem));
  Flow& flow = mFlows[workspace];
  SetStart(workspace, flow, std::max(start, flow.mStart - cost));
}

bool
FairQueue::Remove(std::uint64_t aId)
{
  const auto location = mPlaces.find(aId);
  if (location == mPlaces.end()) {
    return false;
  }
  const std::string workspace = location->second.mWorkspace;
  Flow& flow = mFlows[workspace];
  const auto it = flow.mItems.find(location->second.mPlace);
  Account(flow, it->second.mClass, -it->second.mCost);
  flow.mItems.erase(it);
  mPlaces.erase(location);
  Park(workspace, flow);
  return true;
}

Backlog
FairQueue::Ahead(const std::string& aWorkspace,
                 RequestClass aClass,
                 double aCost) const
{
  const auto it = mFlows.find(aWorkspace);
  double own = 0;
  std::size_t others = mActive.size();
  if (it != mFlows.end()) {
    for (std::size_t n = 0; n <= static_cast<std::size_t>(aClass); ++n) {
      own += it->second.mCost[n];
    }
    others -= it->second.mItems.empty() ? 0 : 1;
  }
  // While own cost and the item are served, each other workspace gets as much
  // at the most, and never more than it has queued.
  const double share = (own + aCost) * static_cast<double>(others);
  return Backlog{ own + std::min(share, std::max(0.0, mTotalCost - own)) };
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
  items.reserve(mPlaces.size());
  for (const auto& [workspace, flow] : mFlows) {
    for (const auto& [place, item] : flow.mItems) {
      items.push_back(item);
    }
  }
  return items;
}

void
FairQueue::Account(Flow& aFlow, RequestClass aClass, double aCost)
{
  double& cost = aFlow.mCost[static_cast<std::size_t>(aClass)];
  cost = std::max(0.0, cost + aCost);
  mTotalCost = std::max(0.0, mTotalCost + aCost);
}

void
FairQueue::SetStart(const std::string& aWorkspace, Flow& aFlow, double aStart)
{
  mActive.erase(Turn{ aFlow.mStart, aWorkspace });
  aFlow.mStart = aStart;
  mActive.insert(Turn{ aFlow.mStart, aWorkspace });
}

void
FairQueue::Park(const std::string& aWorkspace, Flow& aFlow)
{
  if (!aFlow.mItems.empty()) {
    return;
  }
  mActive.erase(Turn{ aFlow.mStart, aWorkspace });
  mIdle.insert(Turn{ aFlow.mStart, aWorkspace });
}

void
FairQueue::DropIdle()
{
  while (!mIdle.empty() && mIdle.begin()->mStart <= mVirtual) {
    mFlows.erase(mIdle.begin()->mWorkspace);
    mIdle.erase(mIdle.begin());
  }
}

} // namespace peridothoist
