/// One node process: a VM's only process where callers' requests are relayed.
/// Makes its parts, ties them together, and leaves without cutting a request.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/CallerProtocol.h>
#include <Peridothoist/Node/MeteredStore.h>
#include <Peridothoist/Node/NodeMetrics.h>
#include <Peridothoist/Node/NodePeers.h>
#include <Peridothoist/Node/NodeSettings.h>
#include <Peridothoist/Node/PageServer.h>
#include <Peridothoist/Node/RelayRunner.h>
#include <Peridothoist/Node/UpstreamProtocol.h>
#include <Peridothoist/Node/ViewReader.h>
#include <Peridothoist/Node/VmRegistry.h>
#include <Peridothoist/Relay/RelayIntake.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/LoopMonitor.h>

namespace peridothoist {

/// A deployment's protocols, as a node uses them. Nothing is owned.
struct NodeProtocols
{
  const CallerProtocol* mCallers = nullptr;
  const UpstreamProtocol* mUpstreams = nullptr;
  const ViewDecoder* mDecoder = nullptr;
  RowStore* mStore = nullptr;
};

/// Runs one node.
class NodeProcess
  : public HttpRequestHandler
  , public ViewReaderListener
  , public NodePeersListener
  , public RelayRunnerListener
  , public LoopMonitorListener
{
public:
  using Settings = NodeSettings;

  /// Starts to serve; null with aReason when a setting is wrong or an address
  /// can't be had. The reactor, the client and what the protocols name outlive
  /// the process.
  static std::unique_ptr<NodeProcess> Create(const Settings& aSettings,
                                             const NodeProtocols& aProtocols,
                                             Reactor* aReactor,
                                             HttpClient* aClient,
                                             Reason* aReason);
  ~NodeProcess() override;

  /// Takes what may change while it runs: bounds, seeds and the time to leave.
  /// False with aReason, and nothing is changed, when a setting is wrong.
  bool Reload(const Settings& aSettings, Reason* aReason);

  /// Begins to leave; the reactor is stopped when that is done.
  void StartLeaving();

private:
  NodeProcess(const Settings& aSettings,
              const NodeProtocols& aProtocols,
              Reactor* aReactor,
              HttpClient* aClient);

  bool Start(Reason* aReason);
  bool StartCallers(Reason* aReason);
  bool StartPages(Reason* aReason);
  /// What new callers get here.
  ServingState Serving() const;
  NodeStatus Status() const;
  NodeGauges Gauges();
  std::string RenderMetrics();
  void CheckLeft();
  void LogLimits(const RelayConfiguration* aOld,
                 const RelayConfiguration& aNew) const;
  void LogRefusal(const std::optional<RelayQuestion>& aQuestion,
                  const Refusal& aRefusal,
                  const Reason& aReason);
  std::optional<Refusal> RefuseWhileLeaving(const RelayArrival& aArrival);
  void ShareReads();
  bool Leads() const;
  void LookAtEngines();
  bool IsViewYoung() const;
  std::vector<std::string> Readers() const;

  // See: HttpRequestHandler
  void OnRequest(std::shared_ptr<HttpExchange> aExchange) override;
  // See: ViewReaderListener
  void OnConfigurationRead(
    std::shared_ptr<const RelayConfiguration> aConfiguration,
    TimePoint aBegan) override;
  void OnUpstreamsRead(std::vector<RelayUpstream> aUpstreams) override;
  void OnUpstreamsUnreachable() override;
  void OnVmsRead(std::set<std::string> aNames) override;
  // See: NodePeersListener
  void FillState(VmNews& aNews) override;
  void OnMembersChanged() override;
  std::optional<ViewTell> OnViewAsk(const ViewAsk& aAsk) override;
  void OnViewTell(const ViewTell& aTell) override;
  void OnPeerWork(const std::string& aVm, const WorkByUpstream& aWork) override;
  // See: RelayRunnerListener
  void OnRelayOver(const RelayFacts& aFacts) override;
  void OnCallOver(RelayCallKind aKind, bool aGood, Duration aTook) override;
  void OnWorkChanged() override;
  // See: LoopMonitorListener
  void OnLoopLag(Duration aLag) override;

  Settings mSettings; ///< Addresses and names never change.
  NodeProtocols mProtocols;
  Reactor* mReactor;
  HttpClient* mClient;
  std::string mInstance;
  Random mRandom;
  ConfirmedView mView;
  UsageLedger mLedger;
  RelayIntake mIntake;
  RelayMachine mMachine;
  ViewShare mShare;
  NodeMetrics mMetrics;
  RelayRunner mRunner;
  MeteredStore mStore;
  ViewReader mReader;
  VmRegistry mRegistry;
  StageOrders mOrders;
  std::unique_ptr<NodePeers> mPeers;
  std::unique_ptr<HttpServer> mCallerServer;
  std::vector<std::unique_ptr<PageServer>> mPageServers;
  std::unique_ptr<LoopMonitor> mLoopMonitor;
  TimePoint mLossesToldAt;                          ///< Of log lines.
  ServingState mWasServing = ServingState::Nothing; ///< For the log.

  // Leaving
  bool mLeaving = false;
  bool mDraining = false; ///< No connection is accepted any more.
  TimePoint mLeavingSince;
  Reactor::TimerId mLeaveTimer = 0;

  Reactor::TimerId mOrderTimer = 0;

  // Sharing reads
  Reactor::TimerId mShareTimer = 0;
  std::size_t mAsked = 0; ///< Questions to readers so far.
};

} // namespace peridothoist
