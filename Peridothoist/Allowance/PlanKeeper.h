/// Decides when the share plan needs a new epoch and who is in it. The caller
/// writes it by compare-and-set on the plan's row, after ChangeGate agreed: a
/// plan is a change like an operator's, without an override.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Membership/Member.h>

namespace peridothoist {

/// The split of every workspace's allowance for one epoch.
struct SharePlan
{
  std::uint64_t mEpoch = 0;
  std::vector<std::string> mEntryInstances; ///< Sorted.
};

/// Limits of a PlanKeeper.
struct PlanKeeperSettings
{
  /// An entry silent for longer loses its share.
  Duration mEntryTimeout = std::chrono::seconds(5);
  /// Shortest time between epochs; longer than AllowanceBook's mRaiseWait, so
  /// that shares are raised before the next cut.
  Duration mMinGap = std::chrono::seconds(3);
  /// The first plan of a fleet waits this long for entries that are not yet
  /// heard of: each one that comes later costs an epoch.
  Duration mMaxFirstPlanDelay = std::chrono::seconds(2);
  /// It waits at least this long: other VMs may not even be listed yet.
  Duration mMinFirstPlanDelay = std::chrono::seconds(1);
  /// A plan is renewed after this time, which brings lost transfers back.
  Duration mRenewInterval = std::chrono::minutes(5);
};

/// The control side of the share plan.
class PlanKeeper
{
public:
  using Settings = PlanKeeperSettings;

  explicit PlanKeeper(const Settings& aSettings);

  /// The present row was read (or an epoch came with a view).
  void OnPlan(const SharePlan& aPlan, TimePoint aNow);

  /// The plan to write, or empty when the present one will do. aMembers are
  /// as MemberList::Export() gives them.
  std::optional<SharePlan> Propose(const std::vector<Member>& aMembers,
                                   TimePoint aNow);

  const SharePlan& Current() const { return mCurrent; }

private:
  std::vector<std::string> LiveEntries(const std::vector<Member>& aMembers) const;
  bool ShouldDelayFirstPlan(const std::vector<Member>& aMembers, TimePoint aNow);

  Settings mSettings;
  SharePlan mCurrent;                   ///< Its epoch never decreases.
  std::optional<TimePoint> mFirstProposedAt; ///< First Propose() without a plan.
  std::optional<TimePoint> mEpochSeenAt; ///< When mCurrent's epoch was first seen.
};

} // namespace peridothoist
