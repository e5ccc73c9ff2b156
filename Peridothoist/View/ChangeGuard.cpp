#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/View/ChangeGuard.h>

#include <algorithm>
#include <set>

namespace peridothoist {

ChangeGuard::ChangeGuard(const Settings& aSettings)
  : mSettings(aSettings)
{
}

ChangeGuardResult
ChangeGuard::Check(const std::vector<ChangeGuardMember>& aMembers,
                   std::string_view aOverrideReason) const
{
  std::set<std::string> listedZones;
  std::set<std::string> respondedZones;
  Duration longestKnownFor{ 0 };
  for (const ChangeGuardMember& member : aMembers) {
    if (member.mIsListed) {
      listedZones.insert(member.mZone);
    }
    if (HasResponded(member)) {
      respondedZones.insert(member.mZone);
      longestKnownFor = std::max(longestKnownFor, member.mKnownFor);
    }
  }

  ChangeGuardResult result;
  std::set_difference(listedZones.begin(),
                      listedZones.end(),
                      respondedZones.begin(),
                      respondedZones.end(),
                      std::back_inserter(result.mSilentZones));
  for (const ChangeGuardMember& member : aMembers) {
    if (MayBeUnaware(member, longestKnownFor)) {
      result.mSilentVms.push_back(member.mVm);
    }
  }
  const bool isAllowed =
    result.mSilentZones.empty() && result.mSilentVms.empty();
  result.mIsOverridden = !isAllowed && !aOverrideReason.empty();
  result.mIsAllowed = isAllowed || result.mIsOverridden;
  return result;
}

bool
ChangeGuard::HasResponded(const ChangeGuardMember& aMember) const
{
  return aMember.mIsSelf ||
         (aMember.mLastExchangeAge &&
          *aMember.mLastExchangeAge < mSettings.mExchangeTimeout);
}

bool
ChangeGuard::MayBeUnaware(const ChangeGuardMember& aMember,
                          Duration aLongestKnownFor) const
{
  if (HasResponded(aMember) || aMember.mLastExchangeAge) {
    return false;
  }
  if (!aMember.mLastSeenAge) {
    return aMember.mKnownFor > aLongestKnownFor;
  }
  return *aMember.mLastSeenAge >= mSettings.mExchangeTimeout &&
         *aMember.mLastSeenAge + mSettings.mListLag >= aLongestKnownFor;
}

} // namespace peridothoist
