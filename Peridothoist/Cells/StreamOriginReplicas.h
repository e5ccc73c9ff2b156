/// Decides which VMs keep copies of a stream's origin, so that it is known
/// after the loss of the VM that began the stream, and after the loss of an
/// availability zone.
///
/// The replicas of a key depend only on the key and the registered VMs, so VMs
/// that have read the same registrations agree on them without communication.
/// A VM that joins or leaves changes the replicas of those keys only that it
/// gains or loses.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/CellLayout.h>

namespace peridothoist {

/// Settings of StreamOriginReplicas.
struct StreamOriginReplicasSettings
{
  std::size_t mReplicas = 3; ///< VMs for each key.
};

/// Maps keys to VMs by rendezvous hashing, spread over availability zones.
class StreamOriginReplicas
{
public:
  using Settings = StreamOriginReplicasSettings;

  StreamOriginReplicas(const Settings& aSettings, std::string aOwnVm)
    : mSettings(aSettings)
    , mOwnVm(std::move(aOwnVm))
  {
  }

  /// Replaces the registered VMs. Those without a zone or a peer address are
  /// builds that keep no origins.
  void SetVms(const VmRecords& aVms);

  /// Returns the VMs that keep a key's origin, the own one included. Each is in
  /// another zone, as long as there are zones.
  std::vector<VmRecord> ReplicasOf(const std::string& aKey) const;

  /// Returns whether a VM keeps a key's origin.
  bool IsReplica(const std::string& aKey, const VmRecord& aVm) const;

  /// Returns the peer addresses of these VMs without the own one.
  std::vector<std::string> PeerAddressesOf(const std::string& aKey) const;

private:
  std::vector<const VmRecord*> ByScore(const std::string& aKey) const;

  Settings mSettings;
  std::string mOwnVm;
  std::vector<VmRecord> mVms;
};

} // namespace peridothoist
