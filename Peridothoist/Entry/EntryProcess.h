/// The entry process: creates and connects its components, and shuts down
/// without aborting requests.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EntryMetrics.h>
#include <Peridothoist/Entry/BuiltInEndpoints.h>
#include <Peridothoist/Entry/EntryPeerService.h>
#include <Peridothoist/Entry/EntrySettings.h>
#include <Peridothoist/Entry/EntryView.h>
#include <Peridothoist/Entry/LoadPoller.h>
#include <Peridothoist/Entry/RequestValidator.h>
#include <Peridothoist/Entry/RequestExecutor.h>
#include <Peridothoist/Entry/EntryViewPoller.h>
#include <Peridothoist/Peers/PeerClient.h>
#include <Peridothoist/Peers/PeerServer.h>
#include <Peridothoist/Platform/OutcomeStore.h>
#include <Peridothoist/Platform/PlatformClient.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/LoopMonitor.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Owns all components of one entry process and handles their events.
class EntryProcess
  : public HttpRequestHandler
  , public EntryViewListener
  , public EntryViewPollerListener
  , public LoadPollerListener
  , public EntryStatusProvider
  , public RequestExecutorListener
  , public LoopMonitorListener
{
public:
  using Settings = EntrySettings;

  /// Creates and starts all components. Returns null and sets aReason if one
  /// of them can't be started. aReactor is not owned.
  static std::unique_ptr<EntryProcess> Create(const Settings& aSettings,
                                              Reactor* aReactor,
                                              Reason* aReason);
  ~EntryProcess() override;

  /// Starts a graceful shutdown: serves the open requests and late callers,
  /// transfers the allowance shares to other entries and stops the reactor.
  /// Further calls do nothing.
  void StartLeaving();

private:
  EntryProcess(const Settings& aSettings, Reactor* aReactor);

  bool StartClients(Reason* aReason);
  void CreateComponents();
  bool StartServers(Reason* aReason);

  // See: HttpRequestHandler
  void OnRequest(std::shared_ptr<HttpExchange> aExchange) override;

  // See: EntryViewListener
  void OnConfiguration(
    std::shared_ptr<const Configuration> aConfiguration) override;

  // See: EntryViewPollerListener
  void FillFollowRequest(peer::FollowRequest& aRequest) override;
  void OnViewUpdate(const peer::ViewUpdate& aUpdate) override;

  // See: LoadPollerListener
  void OnLoadReport(const std::string& aUpstream,
                    const LoadReport& aReport) override;
  void OnCacheEvent(const std::string& aUpstream,
                    std::uint64_t aPrefix,
                    bool aStored) override;
  void OnUpstreamDead(const std::string& aUpstream, DeathKind aKind) override;
  void OnUpstreamAlive(const std::string& aUpstream) override;

  // See: EntryStatusProvider
  bool IsLeaving() const override { return mIsLeaving; }
  std::string RenderMetrics() override;

  // See: RequestExecutorListener
  void OnUpstreamConnectionFailed(const std::string& aUpstream) override;
  void OnRequestFinished(const CallerRequestMetadata& aMetadata,
                         int aStatus,
                         std::uint32_t aTokens) override;

  // See: LoopMonitorListener
  void OnLoopLag(Duration aLag) override;

  using QuarantineEntries =
    google::protobuf::RepeatedPtrField<peer::QuarantineEntry>;
  void FillQuarantine(QuarantineEntries& aEntries) const;
  void ApplyQuarantine(const QuarantineEntries& aEntries);
  void WarnPeersIfNew();
  void CheckDrained();
  void FinishLeaving();

  Settings mSettings;
  Reactor* mReactor;
  std::string mInstance; ///< Instance id, new at each start.
  Random mRandom;
  Tracer mTracer;
  EntryMetrics mMetrics;

  // Created in this order and destroyed in reverse order.
  std::unique_ptr<HttpClient> mHttp;
  std::unique_ptr<PeerClient> mPeerClient;
  std::unique_ptr<PlatformClient> mPlatform;
  std::unique_ptr<EntryView> mView;
  std::unique_ptr<EntryPeerService> mPeers;
  std::unique_ptr<AllowanceManager> mAllowance;
  std::unique_ptr<OutcomeStore> mClaims;
  std::unique_ptr<EntryCore> mCore;
  std::unique_ptr<RequestExecutor> mExecutor;
  std::unique_ptr<RequestValidator> mValidator;
  std::unique_ptr<BuiltInEndpoints> mEndpoints;
  std::unique_ptr<LoadPoller> mLoadPoller;
  std::unique_ptr<EntryViewPoller> mViewPoller;
  std::unique_ptr<PeerServer> mPeerServer;
  std::unique_ptr<HttpServer> mServer;
  std::unique_ptr<LoopMonitor> mLoopMonitor;

  /// Count of upstream deaths and quarantines at the last warning to peers.
  std::uint64_t mWarnedEvents = 0;

  // Shutdown
  bool mIsLeaving = false;
  TimePoint mRequestsDoneAt; ///< Time since when no request is open.
  Reactor::TimerId mLeaveTimer = 0;
};

} // namespace peridothoist
