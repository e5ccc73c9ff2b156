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
ChangeGate::Check(const std::vector<GateMember>& aMembers,
                  std::string_view aOverrideReason) const
{
  std::set<std::string> listedZones;
  std::set<std::string> answeredZones;
  Duration longestKnown{ 0 };
  for (const GateMember& member : aMembers) {
    if (member.mListed) {
      listedZones.insert(member.mZone);
    }
    if (HasAnswered(member)) {
      answeredZones.insert(member.mZone);
      longestKnown = std::max(longestKnown, member.mKnownFor);
    }
  }

  GateResult result;
  std::set_difference(listedZones.begin(),
                      listedZones.end(),
                      answeredZones.begin(),
                      answeredZones.end(),
                      std::back_inserter(result.mSilentZones));
  for (const GateMember& member : aMembers) {
    if (IsUnvouched(member, longestKnown)) {
      result.mSilentVms.push_back(member.mVm);
    }
  }
  const bool clear = result.mSilentZones.empty() && result.mSilentVms.empty();
  result.mOverridden = !clear && !aOverrideReason.empty();
  result.mOpen = clear || result.mOverridden;
  return result;
}

bool
ChangeGate::HasAnswered(const GateMember& aMember) const
{
  return aMember.mSelf || (aMember.mExchangedAgo &&
                           *aMember.mExchangedAgo < mSettings.mExchangeLimit);
}

bool
ChangeGate::IsUnvouched(const GateMember& aMember, Duration aLongestKnown) const
{
  if (HasAnswered(aMember) || aMember.mExchangedAgo) {
    return false;
  }
  if (!aMember.mHeardAgo) {
    return aMember.mKnownFor > aLongestKnown;
  }
  return *aMember.mHeardAgo >= mSettings.mExchangeLimit &&
         *aMember.mHeardAgo + mSettings.mListLag >= aLongestKnown;
}

} // namespace peridothoist
