#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/View/ChangeGate.h>

#include <algorithm>
#include <set>

namespace peridothoist {

ChangeGate::ChangeGate(const Settings& aSettings)
  : mSettings(aSettings)
{
}

GateResult
ChangeGate::Check(const std::vector<ChangeGuardMember>& aMembers,
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

  GateResult result;
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
ChangeGate::HasResponded(const ChangeGuardMember& aMember) const
{
  return aMember.mIsSelf ||
         (aMember.mLastExchangeAge &&
          *aMember.mLastExchangeAge < mSettings.mExchangeLimit);
}

bool
ChangeGate::MayBeUnaware(const ChangeGuardMember& aMember,
                         Duration aLongestKnownFor) const
{
  if (HasResponded(aMember) || aMember.mLastExchangeAge) {
    return false;
  }
  if (!aMember.mLastSeenAge) {
    return aMember.mKnownFor > aLongestKnownFor;
  }
  return *aMember.mLastSeenAge >= mSettings.mExchangeLimit &&
         *aMember.mLastSeenAge + mSettings.mListLag >= aLongestKnownFor;
}

} // namespace peridothoist
