#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/PlanKeeper.h>

#include <algorithm>

namespace peridothoist {

PlanKeeper::PlanKeeper(const Settings& aSettings)
  : mSettings(aSettings)
{
}

void
PlanKeeper::OnPlan(const SharePlan& aPlan, TimePoint aNow)
{
  if (aPlan.mEpoch > mCurrent.mEpoch) {
    mCurrent = aPlan;
    mChanged = aNow;
  }
}

std::optional<SharePlan>
PlanKeeper::Propose(const std::vector<Member>& aMembers, TimePoint aNow)
{
  if (mCurrent.mEpoch == 0 && AwaitsFirst(aMembers, aNow)) {
    return std::nullopt;
  }
  if (mChanged && aNow - *mChanged < mSettings.mMinGap) {
    return std::nullopt;
  }
  std::vector<std::string> wanted = Wanted(aMembers);
  const bool isRenewalDue =
    mChanged && aNow - *mChanged >= mSettings.mRenewAfter;
  const bool isDue = wanted != mCurrent.mEntryInstances || isRenewalDue;
  if (wanted.empty() || !isDue) {
    return std::nullopt;
  }
  return SharePlan{ mCurrent.mEpoch + 1, std::move(wanted) };
}

bool
PlanKeeper::AwaitsFirst(const std::vector<Member>& aMembers, TimePoint aNow)
{
  if (!mFirstAsked) {
    mFirstAsked = aNow;
  }
  const bool allHeard =
    std::all_of(aMembers.begin(), aMembers.end(), [](const Member& aMember) {
      return !aMember.mEntryInstance.empty() ||
             aMember.mState == MemberState::Leaving;
    });
  const Duration waited = aNow - *mFirstAsked;
  return waited < (allHeard ? mSettings.mFirstLeastWait : mSettings.mFirstWait);
}

std::vector<std::string>
PlanKeeper::Wanted(const std::vector<Member>& aMembers) const
{
  std::vector<std::string> wanted;
  for (const Member& member : aMembers) {
    const bool isAlive = member.mAge && *member.mAge < mSettings.mGoneAfter &&
                         member.mState == MemberState::Live &&
                         !member.mEntryInstance.empty();
    if (isAlive) {
      wanted.push_back(member.mEntryInstance);
    }
  }
  std::sort(wanted.begin(), wanted.end());
  wanted.erase(std::unique(wanted.begin(), wanted.end()), wanted.end());
  return wanted;
}

} // namespace peridothoist
