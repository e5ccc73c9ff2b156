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
  std::set<std::string> answeredZones;
  Duration longestKnownFor{ 0 };
  for (const ChangeGuardMember& member : aMembers) {
    if (member.mListed) {
      listedZones.insert(member.mZone);
    }
    if (HasAnswered(member)) {
      answeredZones.insert(member.mZone);
      longestKnownFor = std::max(longestKnownFor, member.mKnownFor);
    }
  }

  GateResult result;
  std::set_difference(listedZones.begin(),
                      listedZones.end(),
                      answeredZones.begin(),
                      answeredZones.end(),
                      std::back_inserter(result.mSilentZones));
  for (const ChangeGuardMember& member : aMembers) {
    if (IsUnreached(member, longestKnownFor)) {
      result.mSilentVms.push_back(member.mVm);
    }
  }
  const bool isClear = result.mSilentZones.empty() && result.mSilentVms.empty();
  result.mOverridden = !isClear && !aOverrideReason.empty();
  result.mOpen = isClear || result.mOverridden;
  return result;
}

bool
ChangeGate::HasAnswered(const ChangeGuardMember& aMember) const
{
  return aMember.mSelf || (aMember.mLastExchangeAge &&
                           *aMember.mLastExchangeAge < mSettings.mExchangeLimit);
}

bool
ChangeGate::IsUnreached(const ChangeGuardMember& aMember, Duration aLongestKnownFor) const
{
  if (HasAnswered(aMember) || aMember.mLastExchangeAge) {
    return false;
  }
  if (!aMember.mLastSeenAge) {
    return aMember.mKnownFor > aLongestKnownFor;
  }
  return *aMember.mLastSeenAge >= mSettings.mExchangeLimit &&
         *aMember.mLastSeenAge + mSettings.mListLag >= aLongestKnownFor;
}

} // namespace peridothoist
