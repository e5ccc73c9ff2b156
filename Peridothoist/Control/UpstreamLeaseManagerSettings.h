/// Settings of the leases of upstream groups, of orders to upstreams and of the
/// reclamation of requests.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Lease/LeaseStateMachine.h>

namespace peridothoist {

/// Intervals, timeouts and limits.
struct UpstreamLeaseManagerSettings
{
  LeaseStateMachineSettings mLease = { std::chrono::seconds(10),
                                       std::chrono::seconds(3),
                                       std::chrono::seconds(4) };
  std::size_t mCandidateCount = 2; ///< Candidate VMs for the lease of a group.
  Duration mOrderTimeout = std::chrono::seconds(4);
  /// Interval of reclaim rounds during the first mFastReclaimDuration after an
  /// instance was found to have terminated; later mSlowReclaimInterval applies.
  Duration mFastReclaimInterval = std::chrono::seconds(2);
  Duration mFastReclaimDuration = std::chrono::minutes(2);
  Duration mSlowReclaimInterval = std::chrono::minutes(1);
};

} // namespace peridothoist
