#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/SharePlanScheduler.h>

#include <algorithm>

namespace peridothoist {

SharePlanScheduler::SharePlanScheduler(const Settings& aSettings)
  : mSettings(aSettings)
{
}

void
SharePlanScheduler::OnPlan(const SharePlan& aPlan, TimePoint aNow)
{
  if (aPlan.mEpoch > mCurrent.mEpoch) {
    mCurrent = aPlan;
    mEpochSeenAt = aNow;
  }
}

std::optional<SharePlan>
SharePlanScheduler::Propose(const std::vector<Member>& aMembers, TimePoint aNow)
{
  if (mCurrent.mEpoch == 0 && ShouldDelayFirstPlan(aMembers, aNow)) {
    return std::nullopt;
  }
  if (mEpochSeenAt && aNow - *mEpochSeenAt < mSettings.mMinEpochInterval) {
    return std::nullopt;
  }
  std::vector<std::string> entries = LiveEntries(aMembers);
  const bool isRenewalDue =
    mEpochSeenAt && aNow - *mEpochSeenAt >= mSettings.mRenewInterval;
  const bool isDue = entries != mCurrent.mEntryInstances || isRenewalDue;
  if (entries.empty() || !isDue) {
    return std::nullopt;
  }
  return SharePlan{ mCurrent.mEpoch + 1, std::move(entries) };
}

bool
SharePlanScheduler::ShouldDelayFirstPlan(const std::vector<Member>& aMembers,
                                         TimePoint aNow)
{
  if (!mFirstProposedAt) {
    mFirstProposedAt = aNow;
  }
  const bool areAllSeen =
    std::all_of(aMembers.begin(), aMembers.end(), [](const Member& aMember) {
      return !aMember.mEntryInstance.empty() ||
             aMember.mState == MemberState::Leaving;
    });
  const Duration waited = aNow - *mFirstProposedAt;
  return waited < (areAllSeen ? mSettings.mMinFirstPlanDelay
                              : mSettings.mMaxFirstPlanDelay);
}

std::vector<std::string>
SharePlanScheduler::LiveEntries(const std::vector<Member>& aMembers) const
{
  std::vector<std::string> entries;
  for (const Member& member : aMembers) {
    const bool isAlive =
      member.mReportAge && *member.mReportAge < mSettings.mEntryTimeout &&
      member.mState == MemberState::Live && !member.mEntryInstance.empty();
    if (isAlive) {
      entries.push_back(member.mEntryInstance);
    }
  }
  std::sort(entries.begin(), entries.end());
  entries.erase(std::unique(entries.begin(), entries.end()), entries.end());
  return entries;
}

} // namespace peridothoist
