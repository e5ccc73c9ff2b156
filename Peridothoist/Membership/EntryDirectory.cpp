#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Membership/EntryDirectory.h>
#include <Peridothoist/Membership/Rendezvous.h>

#include <algorithm>

namespace peridothoist {

EntryDirectory::EntryDirectory(const Settings& aSettings)
  : mSettings(aSettings)
{
}

std::vector<std::string>
EntryDirectory::SelectEntries(std::string_view aWorkspace,
                              std::string_view aZone,
                              const std::vector<Member>& aMembers) const
{
  std::map<std::string, const Member*> byInstance;
  std::vector<std::string> instances;
  for (const Member& member : aMembers) {
    if (IsUsable(member)) {
      byInstance[member.mEntryInstance] = &member;
      instances.push_back(member.mEntryInstance);
    }
  }
  std::vector<std::string> homeEntries =
    TopRendezvousNodes(aWorkspace, instances, mSettings.mEntriesPerWorkspace);
  std::stable_partition(
    homeEntries.begin(), homeEntries.end(), [&](const std::string& aInstance) {
      return byInstance[aInstance]->mZone == aZone;
    });
  std::vector<std::string> addresses;
  addresses.reserve(homeEntries.size());
  for (const std::string& instance : homeEntries) {
    addresses.push_back(byInstance[instance]->mEntryAddress);
  }
  return addresses;
}

bool
EntryDirectory::IsUsable(const Member& aMember) const
{
  return aMember.mState == MemberState::Live &&
         !aMember.mEntryInstance.empty() && aMember.mReportAge &&
         *aMember.mReportAge < mSettings.mEntryTimeout;
}

} // namespace peridothoist
