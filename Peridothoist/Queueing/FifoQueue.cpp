#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Queueing/FifoQueue.h>

#include <algorithm>

namespace peridothoist {

void
FifoQueue::Push(QueueItem aItem)
{
  aItem.mSequence = mNextSequence++;
  Insert(std::move(aItem));
}

void
FifoQueue::Insert(QueueItem aItem)
{
  PH_ASSERT(mSequences.count(aItem.mId) == 0);
  mSequences.emplace(aItem.mId, aItem.mSequence);
  mTotalCost += aItem.mCost;
  ++mLengths[aItem.mWorkspace];
  const std::uint64_t sequence = aItem.mSequence;
  const bool added = mItems.emplace(sequence, std::move(aItem)).second;
  PH_ASSERT(added);
}

const QueueItem*
FifoQueue::Front() const
{
  return mItems.empty() ? nullptr : &mItems.begin()->second;
}

QueueItem
FifoQueue::Pop()
{
  PH_ASSERT(!mItems.empty());
  QueueItem item = std::move(mItems.begin()->second);
  mItems.erase(mItems.begin());
  OnRemoved(item);
  return item;
}

void
FifoQueue::PutBack(QueueItem aItem)
{
  Insert(std::move(aItem));
}

bool
FifoQueue::Remove(std::uint64_t aId)
{
  const auto it = mSequences.find(aId);
  if (it == mSequences.end()) {
    return false;
  }
  const auto item = mItems.find(it->second);
  const QueueItem removed = std::move(item->second);
  mItems.erase(item);
  OnRemoved(removed);
  return true;
}

void
FifoQueue::OnRemoved(const QueueItem& aItem)
{
  mSequences.erase(aItem.mId);
  mTotalCost = std::max(0.0, mTotalCost - aItem.mCost);
  const auto it = mLengths.find(aItem.mWorkspace);
  if (--it->second == 0) {
    mLengths.erase(it);
  }
}

Backlog
FifoQueue::BacklogAhead(const std::string& /*aWorkspace*/,
                        RequestClass /*aClass*/,
                        double /*aCost*/) const
{
  return Backlog{ mTotalCost };
}

std::size_t
FifoQueue::Length(const std::string& aWorkspace) const
{
  const auto it = mLengths.find(aWorkspace);
  return it == mLengths.end() ? 0 : it->second;
}

std::vector<QueueItem>
FifoQueue::Items() const
{
  std::vector<QueueItem> items;
  items.reserve(mItems.size());
  for (const auto& [sequence, item] : mItems) {
    items.push_back(item);
  }
  return items;
}

} // namespace peridothoist
