/// Decides when the share plan needs a new epoch and which entries are in it.
/// The caller writes the plan by compare-and-set on its row, after ChangeGuard
/// has allowed it: a plan is a change like an operator's, but can't override
/// the check.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Membership/Member.h>

namespace peridothoist {

/// The entries that share the workspaces' allowances during one epoch.
struct SharePlan
{
  std::uint64_t mEpoch = 0;
  std::vector<std::string> mEntryInstances; ///< Sorted.
};

/// Limits of a SharePlanScheduler.
struct SharePlanSchedulerSettings
{
  /// An entry that was last seen longer ago loses its share.
  Duration mEntryTimeout = std::chrono::seconds(5);
  /// Shortest time between epochs. Longer than AllowanceTable's mRaiseDelay, so
  /// that shares are raised before the next cut.
  Duration mMinEpochInterval = std::chrono::seconds(3);
  /// The first plan waits up to this time for listed VMs whose entries have
  /// not been seen yet: each entry that joins later costs an epoch.
  Duration mMaxFirstPlanDelay = std::chrono::seconds(2);
  /// The first plan waits at least this time, because some VMs may not even be
  /// listed yet.
  Duration mMinFirstPlanDelay = std::chrono::seconds(1);
  /// A plan is renewed after this time, which restores shares that were lost
  /// with transfers.
  Duration mRenewInterval = std::chrono::minutes(5);
};

/// Schedules the epochs of the share plan in a control process.
class SharePlanScheduler
{
public:
  using Settings = SharePlanSchedulerSettings;

  explicit SharePlanScheduler(const Settings& aSettings);

  /// Called when the plan's row was read or a plan was received with a view.
  void OnPlan(const SharePlan& aPlan, TimePoint aNow);

  /// Returns the plan to write, or nullopt when the current one is still
  /// right. aMembers is the result of MemberList::Export().
  std::optional<SharePlan> Propose(const std::vector<Member>& aMembers,
                                   TimePoint aNow);

  const SharePlan& CurrentPlan() const { return mCurrent; }

private:
  std::vector<std::string> LiveEntries(
    const std::vector<Member>& aMembers) const;
  bool ShouldDelayFirstPlan(const std::vector<Member>& aMembers,
                            TimePoint aNow);

  Settings mSettings;
  SharePlan mCurrent; ///< Its epoch never decreases.
  /// Time of the first Propose() without a plan.
  std::optional<TimePoint> mFirstProposedAt;
  std::optional<TimePoint> mEpochSeenAt; ///< When the epoch was first seen.
};

} // namespace peridothoist
