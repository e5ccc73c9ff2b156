/// One node process: the single process of a VM, which relays callers'
/// requests. Creates and connects the components, and shuts down without
/// cutting off open requests.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/HomeEngines.h>
#include <Peridothoist/Node/AdmissionExecutor.h>
#include <Peridothoist/Node/CallerProtocol.h>
#include <Peridothoist/Node/InstrumentedRowStore.h>
#include <Peridothoist/Node/NodeLog.h>
#include <Peridothoist/Node/NodeMetrics.h>
#include <Peridothoist/Node/NodeGossip.h>
#include <Peridothoist/Node/NodeSettings.h>
#include <Peridothoist/Node/EndpointServer.h>
#include <Peridothoist/Node/RelayExecutor.h>
#include <Peridothoist/Node/TunnelServer.h>
#include <Peridothoist/Node/UpstreamProtocol.h>
#include <Peridothoist/Node/ViewUpdater.h>
#include <Peridothoist/Node/VmRegistry.h>
#include <Peridothoist/Relay/BufferBudget.h>
#include <Peridothoist/Relay/RelayAdmission.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/LoopMonitor.h>

namespace peridothoist {

/// Protocol implementations of a deployment. The pointers are not owned.
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
  , public ViewUpdaterListener
  , public NodeGossipListener
  , public RelayExecutorListener
  , public AdmissionExecutorListener
  , public LoopMonitorListener
  , public TunnelServerListener
  , public ServiceVersionListener
  , public RowStoreListener
{
public:
  using Settings = NodeSettings;

  /// Starts serving. Returns nullptr and sets aReason if a setting is invalid
  /// or an address cannot be listened on. The reactor, the client and the
  /// protocols must outlive the process.
  static std::unique_ptr<NodeProcess> Create(const Settings& aSettings,
                                             const NodeProtocols& aProtocols,
                                             Reactor* aReactor,
                                             HttpClient* aClient,
                                             Reason* aReason);
  ~NodeProcess() override;

  /// Applies the settings that may change at run time: view limits, the retry
  /// budget, seeds and the grace period. Returns false, sets aReason and
  /// changes nothing if a setting is invalid.
  bool Reload(const Settings& aSettings, Reason* aReason);

  /// Starts a graceful shutdown; stops the reactor when it is complete.
  void StartLeaving();

private:
  NodeProcess(const Settings& aSettings,
              const NodeProtocols& aProtocols,
              Reactor* aReactor,
              HttpClient* aClient);

  bool Start(Reason* aReason);
  bool StartCallerServer(Reason* aReason);
  bool StartEndpoints(Reason* aReason);
  bool StartTunnels(Reason* aReason);
  bool OffersTunnels() const;
  /// Returns the upstream that is listed with the address; null if none is.
  const RelayUpstream* FindByAddress(const std::string& aAddress) const;
  /// Returns which routes this node serves to new callers.
  ServingState Serving() const;
  NodeStatus Status(const std::string& aCallerZone);
  NodeGauges Gauges();
  std::string RenderMetrics();
  void CheckLeaveProgress();
  void StopTakingRequests();
  void EndService();
  bool HasOpenWork() const;
  void RefuseOnArrival(HttpExchange& aExchange,
                       const std::optional<IncomingRequest>& aRequest,
                       const Refusal& aRefusal,
                       const Reason& aReason,
                       Duration aWaited = Duration(0));
  void LogRefusal(const std::optional<IncomingRequest>& aRequest,
                  const Refusal& aRefusal,
                  const Reason& aReason,
                  Duration aWaited);
  void ApplyEvacuations(const RelayConfiguration& aConfiguration,
                        TimePoint aConfirmedAt);
  std::optional<Refusal> RefuseWhileLeaving(const AdmittedRequest& aAdmitted);
  std::optional<Refusal> RefuseForBuffers(const AdmittedRequest& aAdmitted);
  Refusal MakeMemoryRefusal(Duration aCallerTimeout);
  bool IsOrderLeader() const;
  void UpdateStageOrders();
  void UpdateHomeEngines();
  void UpdateVersions();
  void UpdateOpenStreams();
  void FindStoredOrigin(const std::string& aKey);
  void DeliverOrigin(const std::string& aKey,
                     const std::optional<StreamOrigin>& aOrigin);
  void RemoveSilentVms();

  // See: HttpRequestHandler
  void OnRequest(std::shared_ptr<HttpExchange> aExchange) override;
  HttpResponse OnMemoryFull(const HttpRequest& aRequest) override;
  // See: ViewUpdaterListener
  void OnConfiguration(std::shared_ptr<const RelayConfiguration> aConfiguration,
                       TimePoint aConfirmedAt) override;
  void OnUpstreams(std::vector<RelayUpstream> aUpstreams,
                   TimePoint aStartedAt) override;
  void OnPeerUpstreams(std::vector<UpstreamList::Entry> aEntries,
                       TimePoint aConfirmedAt) override;
  void OnUpstreamsUnreachable(TimePoint aStartedAt) override;
  void OnVms(const VmRecords& aVms, bool aFromStore) override;
  ViewRole RoleForView() override;
  void SendViewQuery(const std::string& aPeer) override;
  // See: NodeGossipListener
  void FillServingState(GossipMessage& aMessage) override;
  void OnMembersChanged() override;
  std::optional<ViewResponse> OnViewQuery(const ViewQuery& aQuery) override;
  void OnViewResponse(const ViewResponse& aResponse) override;
  void OnPeerWork(const std::string& aVm, const WorkByUpstream& aWork) override;
  void OnOriginFound(const std::string& aKey,
                     std::optional<StreamOrigin> aOrigin) override;

  // See: ServiceVersionListener
  void OnServiceVersionsRead(VersionsByService aRecords,
                             std::optional<std::uint64_t> aNowMs,
                             TimePoint aStartedAt) override;
  void OnServiceVersionsUnavailable() override;
  // See: RowStoreListener
  void OnStoreRestored(std::uint64_t aEra) override;
  // See: RelayExecutorListener
  void OnRequestFinished(const RelayRequestSummary& aSummary) override;
  void OnCallFinished(RelayCallKind aKind,
                      bool aSucceeded,
                      Duration aDuration) override;
  void OnWorkChanged() override;
  void OnOriginDecided(const std::string& aKey,
                       const StreamOrigin& aOrigin) override;
  void OnOriginNeeded(const std::string& aKey) override;
  // See: AdmissionExecutorListener
  void OnAdmitted(std::shared_ptr<HttpExchange> aExchange,
                  AdmittedRequest aAdmitted,
                  const IncomingRequest& aRequest,
                  Duration aWaited) override;
  void OnRefused(HttpExchange& aExchange,
                 const IncomingRequest& aRequest,
                 const Refusal& aRefusal,
                 std::optional<Duration> aWaited) override;
  void OnCallerLeft(const IncomingRequest& aRequest, Duration aWaited) override;
  // See: TunnelServerListener
  TunnelVerdict CheckTarget(const std::string& aTarget) override;
  void OnTargetTried(const std::string& aTarget, bool aIsConnected) override;
  // See: LoopMonitorListener
  void OnLoopLag(Duration aLag) override;

  Settings mSettings; ///< Reload() never changes addresses and names.
  NodeProtocols mProtocols;
  Reactor* mReactor;
  HttpClient* mClient;
  /// What is held for callers, upstreams, peers and the store.
  std::shared_ptr<MemoryBudget> mMemory;
  std::string mInstance;
  Random mRandom;
  ConfirmedView mView;
  WorkspaceRateLimiter mRateLimiter;
  RelayAdmission mAdmission;
  WaitingAdmission mWaitingAdmission;
  CrashEvidenceLog mCrashLog;
  RelayStateMachine mMachine;
  CallerDirectory mDirectory;
  NodeMetrics mMetrics;
  RelayExecutor mExecutor;
  AdmissionExecutor mAdmissionExecutor;
  InstrumentedRowStore mStore;
  ViewUpdater mViews;
  VmRegistry mRegistry;
  ServiceVersionStore mVersions;
  OpenStreamStore mOpenStreams;
  StageOrderManager mStageOrders;
  std::unique_ptr<NodeGossip> mGossip;
  std::unique_ptr<HttpServer> mCallerServer;
  std::vector<std::unique_ptr<EndpointServer>> mEndpointServers;
  std::unique_ptr<TunnelServer> mTunnels; ///< Null: no address is set.
  std::unique_ptr<LoopMonitor> mLoopMonitor;
  TimePoint mLossesLoggedAt; ///< Last report of lost lines.
  ServingState mLoggedServing = ServingState::Nothing; ///< As last logged.

  // Graceful shutdown
  bool mIsLeaving = false;
  std::optional<LeavingSchedule> mSchedule; ///< Set while mIsLeaving.
  bool mIsDraining = false;     ///< Connections are no longer accepted.
  bool mIsServiceEnded = false; ///< Open requests have got their final answer.
  Reactor::TimerId mLeaveTimer = 0;

  Reactor::TimerId mStageOrderTimer = 0;
};

} // namespace peridothoist
