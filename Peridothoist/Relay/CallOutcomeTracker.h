/// Tracks how recent calls to upstreams ended, at this VM and at the others.
/// In a large fleet one VM calls an upstream only every few seconds, but the
/// combined outcomes of all VMs show within a second which upstreams fail.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Counts of ended calls to one upstream, decaying with age.
struct CallCounts
{
  double mFailed = 0;
  double mSucceeded = 0;
};

/// Counts by upstream id, as VMs report them to each other.
using CountsByUpstream = std::map<std::string, CallCounts>;

/// Settings of CallOutcomeTracker.
struct CallOutcomeTrackerSettings
{
  Duration mHalfLife = 3s; ///< Half-life of the counts.
  /// Successful calls assumed before the first, so that one failure does not
  /// give a failure rate of 1.
  double mPriorSuccesses = 2;
  /// Minimum failure count for an upstream to be reported to other VMs.
  double mMinReportedFailures = 0.3;
  std::size_t mMaxReportedUpstreams = 8; ///< Per message, the worst first.
  /// A VM that sees failures at more than this fraction of the upstreams that
  /// it calls has a fault of its own, and reports none.
  double mMaxFailingFraction = 0.5;
  /// Minimum number of called upstreams for this check; with fewer, the
  /// fraction is not meaningful.
  std::size_t mMinCalledUpstreams = 4;
};

/// Counts the outcomes of calls.
class CallOutcomeTracker
{
public:
  using Settings = CallOutcomeTrackerSettings;

  explicit CallOutcomeTracker(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Called when a call of this VM ended. aFailed states whether it ended
  /// without a response or with an error.
  void OnOutcome(const std::string& aUpstream, bool aFailed, TimePoint aNow);

  /// Drops this VM's counts of an upstream that is gone or was restarted.
  void Forget(const std::string& aUpstream) { mOwn.erase(aUpstream); }

  /// Replaces the counts that another VM reported before.
  void OnPeerCounts(const std::string& aPeer, CountsByUpstream aCounts);
  void ForgetPeer(const std::string& aPeer) { OnPeerCounts(aPeer, {}); }

  /// Returns the counts to report to other VMs: those of the upstreams that
  /// fail this VM's calls, and of those that others report to fail. Without the
  /// latter, the sum over all VMs would lack the successes of the VMs that saw
  /// no failure.
  CountsByUpstream FailingUpstreams(TimePoint aNow) const;

  /// Returns the fraction of all VMs' recent calls that failed, 0 to 1.
  double FailureRate(const std::string& aUpstream, TimePoint aNow) const;

private:
  struct Own
  {
    CallCounts mCounts;
    TimePoint mAt; ///< Time at which mCounts was computed.
  };

  CallCounts DecayedCounts(const Own& aOwn, TimePoint aNow) const;
  bool IsReportedByPeers(const std::string& aUpstream) const;

  Settings mSettings;
  std::map<std::string, Own> mOwn;                ///< By upstream.
  std::map<std::string, CountsByUpstream> mPeers; ///< By peer.
  CountsByUpstream mPeerTotals;                   ///< Sum over mPeers.
};

} // namespace peridothoist
