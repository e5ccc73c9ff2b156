/// Requests that wait for their workspace's allowance. Within one workspace
/// they are ordered by priority and then by the end of their wait. The queue is
/// bounded in count and bytes, for each workspace and in all.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <set>
#include <tuple>

namespace peridothoist {

/// Bounds of an AllowanceQueue. With the default bounds of VMs, all waiting
/// requests together take at most an eighth of the memory of the smallest VM
/// (88 MB).
struct AllowanceQueueSettings
{
  std::size_t mMaxRequestsPerWorkspace = 64;
  std::size_t mMaxBytesPerWorkspace = 4u << 20;
  std::size_t mMaxRequests = 512;    ///< Of all workspaces.
  std::size_t mMaxBytes = 10u << 20; ///< Of all workspaces.
};

/// A request that waits for its workspace's allowance.
struct AllowanceWaiter
{
  std::uint64_t mId = 0;
  std::string mWorkspace;
  std::uint32_t mPriority = 5; ///< 0 is the highest.
  TimePoint mArrivedAt;
  TimePoint mWaitUntil;   ///< It must be admitted by then, or is refused.
  double mCost = 0;       ///< Tokens.
  std::size_t mBytes = 0; ///< Memory that it holds.

  /// Orders the requests of one workspace, the most urgent first.
  bool operator<(const AllowanceWaiter& aOther) const
  {
    return std::tie(mPriority, mWaitUntil, mId) <
           std::tie(aOther.mPriority, aOther.mWaitUntil, aOther.mId);
  }
};

/// Holds the waiting requests of one VM.
class AllowanceQueue
{
public:
  using Settings = AllowanceQueueSettings;
  using WorkspaceQueue = std::set<AllowanceWaiter>;

  explicit AllowanceQueue(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Adds a request. Returns the requests that had to be removed to keep the
  /// bounds, which may include the added one: the least urgent of its own
  /// workspace, or of the workspace that holds the most.
  std::vector<AllowanceWaiter> Add(const AllowanceWaiter& aWaiter);

  /// Removes and returns a request; nullopt if it does not wait.
  std::optional<AllowanceWaiter> Remove(std::uint64_t aId);

  /// Returns the tokens of the requests that go before aWaiter; nullopt if
  /// there is none.
  std::optional<double> TokensAhead(const AllowanceWaiter& aWaiter) const;

  /// Returns the waiting requests of a workspace, the most urgent first; null
  /// if there is none.
  const WorkspaceQueue* Find(const std::string& aWorkspace) const;

  /// Returns the names of the workspaces that have waiting requests.
  std::vector<std::string> Workspaces() const;

  /// Sets when the first request of a workspace is to be tried next.
  void SetNextTry(const std::string& aWorkspace, TimePoint aAt);

  /// Returns the workspaces whose first request is to be tried at aNow.
  std::vector<std::string> DueWorkspaces(TimePoint aNow) const;

  /// Returns when a workspace is due next; nullopt if nothing waits.
  std::optional<TimePoint> NextTry() const;

  /// Returns whether the request waits.
  bool Contains(std::uint64_t aId) const
  {
    return mWorkspaceById.count(aId) > 0;
  }

  std::size_t Count() const { return mWorkspaceById.size(); }
  std::size_t Bytes() const { return mBytes; }

private:
  struct Group
  {
    WorkspaceQueue mWaiting; ///< Never empty.
    std::size_t mBytes = 0;
    TimePoint mNextTry;
  };

  bool IsOverBounds(const Group& aGroup) const;
  std::string LargestWorkspace() const;
  AllowanceWaiter RemoveLast(const std::string& aWorkspace);

  Settings mSettings;
  std::map<std::string, Group> mGroups; ///< By workspace.
  std::map<std::uint64_t, std::string> mWorkspaceById;
  std::size_t mBytes = 0; ///< Of all waiting requests.
};

} // namespace peridothoist
