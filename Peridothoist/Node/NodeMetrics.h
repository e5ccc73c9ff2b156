/// The node's metrics page.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/RelayRunner.h>
#include <Peridothoist/Shell/Log.h>
#include <Peridothoist/Shell/Metrics.h>

namespace peridothoist {

/// What of a node's state goes onto the page.
struct NodeGauges
{
  Duration mViewAge{ 0 };
  std::uint64_t mVersion = 0;
  Duration mListAge{ 0 };
  std::map<std::string, std::size_t> mUpstreams; ///< By state.
  std::size_t mVms = 0;
  double mHeardPart = 0;
  std::size_t mOpen = 0;
  std::size_t mWaiting = 0;
  std::map<std::string, double> mRepeatsLeft; ///< By service.
  std::map<std::string, double> mTokensLeft;  ///< By workspace with a limit.
};

/// Gathers one node process's metrics.
class NodeMetrics
{
public:
  /// A request is over.
  void ObserveRequest(const RelayFacts& aFacts, Duration aTook);

  /// A request was refused at its arrival.
  void ObserveRefusal(RefusalKind aKind);

  /// A call to an upstream ended.
  void ObserveCall(RelayCallKind aKind, bool aGood, Duration aTook);

  /// The event loop ran late by aLag.
  void ObserveLoopLag(Duration aLag);

  void TakeCounters(const RelayCounters& aCounters);
  void TakeGauges(const NodeGauges& aGauges);
  void TakeLosses(const LogLosses& aLosses);

  /// For others that count on the same page.
  Metrics& Page() { return mMetrics; }

  /// The page in the Prometheus text format.
  std::string Render() const { return mMetrics.Render(); }

private:
  void SetCounter(const std::string& aName,
                  std::uint64_t aValue,
                  const MetricLabels& aLabels = {});

  Metrics mMetrics;
};

} // namespace peridothoist
