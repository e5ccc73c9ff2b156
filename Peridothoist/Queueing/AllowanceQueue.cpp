#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Queueing/AllowanceQueue.h>

#include <algorithm>

namespace peridothoist {

std::vector<AllowanceWaiter>
AllowanceQueue::Add(const AllowanceWaiter& aWaiter)
{
  Group& group = mGroups[aWaiter.mWorkspace];
  group.mWaiting.insert(aWaiter);
  group.mBytes += aWaiter.mBytes;
  mBytes += aWaiter.mBytes;
  mWorkspaceById[aWaiter.mId] = aWaiter.mWorkspace;

  std::vector<AllowanceWaiter> removed;
  const auto isOver = [&] {
    const auto it = mGroups.find(aWaiter.mWorkspace);
    return it != mGroups.end() && IsOverBounds(it->second);
  };
  while (isOver()) {
    removed.push_back(RemoveLast(aWaiter.mWorkspace));
  }
  while (Count() > mSettings.mMaxRequests || mBytes > mSettings.mMaxBytes) {
    removed.push_back(RemoveLast(LargestWorkspace()));
  }
  return removed;
}

bool
AllowanceQueue::IsOverBounds(const Group& aGroup) const
{
  return aGroup.mWaiting.size() > mSettings.mMaxRequestsPerWorkspace ||
         aGroup.mBytes > mSettings.mMaxBytesPerWorkspace;
}

/// Returns the workspace that takes the largest part of the bound that is
/// exceeded.
std::string
AllowanceQueue::LargestWorkspace() const
{
  const bool isBytes = mBytes > mSettings.mMaxBytes;
  const auto sizeOf = [isBytes](const Group& aGroup) {
    return isBytes ? aGroup.mBytes : aGroup.mWaiting.size();
  };
  const auto largest = std::max_element(
    mGroups.begin(), mGroups.end(), [&](const auto& aOne, const auto& aTwo) {
      return sizeOf(aOne.second) < sizeOf(aTwo.second);
    });
  PH_ASSERT(largest != mGroups.end());
  return largest->first;
}

AllowanceWaiter
AllowanceQueue::RemoveLast(const std::string& aWorkspace)
{
  const std::uint64_t last = mGroups.at(aWorkspace).mWaiting.rbegin()->mId;
  return *Remove(last);
}

std::optional<AllowanceWaiter>
AllowanceQueue::Remove(std::uint64_t aId)
{
  const auto known = mWorkspaceById.find(aId);
  if (known == mWorkspaceById.end()) {
    return std::nullopt;
  }
  const auto group = mGroups.find(known->second);
  WorkspaceQueue& waiting = group->second.mWaiting;
  const auto it =
    std::find_if(waiting.begin(), waiting.end(), [aId](const auto& aWaiter) {
      return aWaiter.mId == aId;
    });
  AllowanceWaiter waiter = *it;
  waiting.erase(it);
  group->second.mBytes -= waiter.mBytes;
  mBytes -= waiter.mBytes;
  if (waiting.empty()) {
    mGroups.erase(group);
  }
  mWorkspaceById.erase(known);
  return waiter;
}

std::optional<double>
AllowanceQueue::TokensAhead(const AllowanceWaiter& aWaiter) const
{
  const WorkspaceQueue* waiting = Find(aWaiter.mWorkspace);
  if (waiting == nullptr || !(*waiting->begin() < aWaiter)) {
    return std::nullopt;
  }
  double tokens = 0;
  for (const AllowanceWaiter& it : *waiting) {
    if (!(it < aWaiter)) {
      break;
    }
    tokens += it.mCost;
  }
  return tokens;
}

const AllowanceQueue::WorkspaceQueue*
AllowanceQueue::Find(const std::string& aWorkspace) const
{
  const auto it = mGroups.find(aWorkspace);
  return it == mGroups.end() ? nullptr : &it->second.mWaiting;
}

std::vector<std::string>
AllowanceQueue::Workspaces() const
{
  std::vector<std::string> names;
  for (const auto& [name, group] : mGroups) {
    names.push_back(name);
  }
  return names;
}

void
AllowanceQueue::SetNextTry(const std::string& aWorkspace, TimePoint aAt)
{
  const auto it = mGroups.find(aWorkspace);
  if (it != mGroups.end()) {
    it->second.mNextTry = aAt;
  }
}

std::vector<std::string>
AllowanceQueue::DueWorkspaces(TimePoint aNow) const
{
  std::vector<std::string> due;
  for (const auto& [name, group] : mGroups) {
    if (group.mNextTry <= aNow) {
      due.push_back(name);
    }
  }
  return due;
}

std::optional<TimePoint>
AllowanceQueue::NextTry() const
{
  std::optional<TimePoint> next;
  for (const auto& [name, group] : mGroups) {
    next = std::min(next.value_or(group.mNextTry), group.mNextTry);
  }
  return next;
}

} // namespace peridothoist
