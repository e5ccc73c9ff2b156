/// Settings of the parts that lease upstream groups and give them orders.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Lease/LeaseMachine.h>

namespace peridothoist {

/// Intervals and limits.
struct UpstreamKeeperSettings
{
  LeaseMachineSettings mLease = { std::chrono::seconds(10),
                                  std::chrono::seconds(3),
                                  std::chrono::seconds(4) };
  std::size_t mCandidates = 2; ///< VMs that contend for one group's lease.
  Duration mOrderTimeout = std::chrono::seconds(4);
  Duration mReclaimInterval = std::chrono::seconds(2);
  /// How long upstreams are asked for requests of an instance after it was
  /// first known to be gone; later only every mReclaimSlowInterval.
  Duration mReclaimEager = std::chrono::minutes(2);
  Duration mReclaimSlowInterval = std::chrono::minutes(1);
};

} // namespace peridothoist
