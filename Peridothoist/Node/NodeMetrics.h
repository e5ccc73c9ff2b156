/// Metrics of a node process.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/RelayExecutor.h>
#include <Peridothoist/Node/ContentOriginExchange.h>
#include <Peridothoist/Node/OpenStreamStore.h>
#include <Peridothoist/Node/ServiceVersionStore.h>
#include <Peridothoist/Node/StreamOriginExchange.h>
#include <Peridothoist/Node/ViewUpdater.h>
#include <Peridothoist/Shell/Log.h>
#include <Peridothoist/Shell/Metrics.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Values of a node's state that are exported as gauges.
struct NodeGauges
{
  Duration mViewAge{ 0 }; ///< Since the configuration was last confirmed.
  std::uint64_t mViewVersion = 0;        ///< Of the configuration.
  TurnStatistics mTurns;                 ///< Of the event loop.
  std::uint64_t mStoreEra = 0;           ///< 0: the store has stated none.
  std::uint64_t mFormerEraResponses = 0; ///< Ignored; of peers.
  Duration mUpstreamListAge{ 0 };
  std::map<std::string, std::size_t> mUpstreamsByState; ///< Counts.
  std::size_t mVmCount = 0;      ///< VMs registered or reachable.
  double mReachableFraction = 0; ///< Fraction of mVmCount.
  std::size_t mOpenRequests = 0;
  std::size_t mWaitingRequests = 0;
  std::size_t mWaitingForAllowance = 0;
  std::size_t mBufferedBytes = 0; ///< Unsent, of all callers' responses.
  // Of the memory that is held for requests, responses and peers, in bytes.
  std::size_t mMemoryUsed = 0;
  std::size_t mMemoryPeak = 0;
  std::size_t mMemoryLimit = 0;                             ///< 0: none.
  std::map<std::string, std::uint64_t> mMemoryRefusals;     ///< By use.
  std::map<std::string, std::uint64_t> mMalformedResponses; ///< By reason.
  std::size_t mLimitedUpstreams = 0; ///< That state a limit, or are cold.
  std::size_t mColdUpstreams = 0;
  SpeedRange mSpeeds;
  std::size_t mEvacuatedZones = 0;
  std::size_t mTunnels = 0;      ///< Open, from other VMs.
  bool mReachesUpstreams = true; ///< It can connect to upstreams itself.
  std::map<std::string, double> mRetryBudgetLeft; ///< By service.
  /// By workspace that has a limit.
  std::map<std::string, double> mAllowanceTokensLeft;
};

/// Collects the metrics of one node process.
class NodeMetrics
{
public:
  /// Records a finished request.
  void ObserveRequest(const RelayRequestSummary& aSummary, Duration aDuration);

  /// Records a request that was refused on arrival.
  void ObserveRefusal(RefusalKind aKind);

  /// Records the end of a wait for a workspace's allowance. aResult:
  /// "admitted", "refused" or "left".
  void ObserveAllowanceWait(const char* aResult, Duration aWaited);

  /// Records a finished call to an upstream.
  void ObserveCall(RelayCallKind aKind, bool aSucceeded, Duration aDuration);

  /// Records that the event loop ran late by aLag.
  void ObserveLoopLag(Duration aLag);

  /// Set the exported values from the current state; called before each
  /// scrape.
  void UpdateCounters(const RelayCounters& aCounters);
  void UpdateCrashEvidence(const CrashEvidence& aEvidence);
  void UpdateOriginCounts(const StreamOriginCounts& aCounts);
  void UpdateServiceVersionCounts(const ServiceVersionCounts& aCounts);
  void UpdateOpenStreamCounts(const OpenStreamCounts& aCounts);
  void UpdateCatchUpCounts(const char* aKind,
                           const OriginCatchUpCounts& aCounts);
  void UpdateContentOriginCounts(const ContentOriginCounts& aCounts);
  void UpdatePeerReads(const std::map<std::string, PeerReadCounts>& aReads);
  void UpdateGauges(const NodeGauges& aGauges);
  void UpdateLogLosses(const DroppedLogLines& aLosses);

  /// Returns the registry, for components that add metrics of their own.
  Metrics& Registry() { return mMetrics; }

  /// Returns all metrics in the Prometheus text format.
  std::string Render() const { return mMetrics.Render(); }

private:
  void SetCounter(const std::string& aName,
                  std::uint64_t aValue,
                  const MetricLabels& aLabels = {});

  Metrics mMetrics;
};

} // namespace peridothoist
