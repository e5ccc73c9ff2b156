#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/StreamOriginReplicas.h>

#include <Peridothoist/Membership/Rendezvous.h>

#include <algorithm>
#include <set>

namespace peridothoist {

void
StreamOriginReplicas::SetVms(const VmRecords& aVms)
{
  mVms.clear();
  for (const auto& [name, vm] : aVms) {
    if (!vm.mZone.empty() && !vm.mPeerAddress.empty()) {
      mVms.push_back(vm);
    }
  }
}

/// Returns all VMs, the one with the highest score for the key first.
std::vector<const VmRecord*>
StreamOriginReplicas::ByScore(const std::string& aKey) const
{
  std::vector<std::pair<std::uint64_t, const VmRecord*>> scored;
  scored.reserve(mVms.size());
  for (const VmRecord& vm : mVms) {
    scored.emplace_back(RendezvousScore(aKey, vm.mName), &vm);
  }
  std::sort(
    scored.begin(), scored.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first != aRight.first
               ? aLeft.first > aRight.first
               : aLeft.second->mName < aRight.second->mName;
    });
  std::vector<const VmRecord*> vms;
  vms.reserve(scored.size());
  for (const auto& [score, vm] : scored) {
    vms.push_back(vm);
  }
  return vms;
}

std::vector<VmRecord>
StreamOriginReplicas::ReplicasOf(const std::string& aKey) const
{
  std::vector<VmRecord> replicas;
  std::vector<const VmRecord*> others; // In zones that have a replica.
  std::set<std::string> zones;
  for (const VmRecord* vm : ByScore(aKey)) {
    if (replicas.size() == mSettings.mReplicas) {
      return replicas;
    }
    if (zones.insert(vm->mZone).second) {
      replicas.push_back(*vm);
    } else {
      others.push_back(vm);
    }
  }
  for (const VmRecord* vm : others) {
    if (replicas.size() == mSettings.mReplicas) {
      break;
    }
    replicas.push_back(*vm);
  }
  return replicas;
}

bool
StreamOriginReplicas::IsReplica(const std::string& aKey,
                                const VmRecord& aVm) const
{
  // Most VMs are ruled out by those of their own zone that come before them.
  const std::uint64_t score = RendezvousScore(aKey, aVm.mName);
  std::size_t before = 0;
  for (const VmRecord& it : mVms) {
    const bool isBefore = it.mZone == aVm.mZone && it.mName != aVm.mName &&
                          RendezvousScore(aKey, it.mName) > score;
    before += isBefore ? 1 : 0;
    if (before == mSettings.mReplicas) {
      return false;
    }
  }
  const std::vector<VmRecord> replicas = ReplicasOf(aKey);
  return std::any_of(
    replicas.begin(), replicas.end(), [&](const VmRecord& aReplica) {
      return aReplica.mName == aVm.mName;
    });
}

std::vector<std::string>
StreamOriginReplicas::PeerAddressesOf(const std::string& aKey) const
{
  std::vector<std::string> addresses;
  for (const VmRecord& vm : ReplicasOf(aKey)) {
    if (vm.mName != mOwnVm) {
      addresses.push_back(vm.mPeerAddress);
    }
  }
  return addresses;
}

} // namespace peridothoist
