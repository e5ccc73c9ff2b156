/// One entry process: makes its parts, ties them together, and leaves without
/// cutting a request.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EntryMetrics.h>
#include <Peridothoist/Entry/EntryPages.h>
#include <Peridothoist/Entry/EntryPeers.h>
#include <Peridothoist/Entry/EntrySettings.h>
#include <Peridothoist/Entry/EntryView.h>
#include <Peridothoist/Entry/LoadPoller.h>
#include <Peridothoist/Entry/RequestIntake.h>
#include <Peridothoist/Entry/RequestRunner.h>
#include <Peridothoist/Entry/ViewFollower.h>
#include <Peridothoist/Peers/PeerClient.h>
#include <Peridothoist/Peers/PeerServer.h>
#include <Peridothoist/Platform/OutcomeStore.h>
#include <Peridothoist/Platform/PlatformClient.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/LoopMonitor.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// The entry daemon as an object.
class EntryProcess
  : public HttpRequestHandler
  , public EntryViewListener
  , public ViewFollowerListener
  , public LoadPollerListener
  , public EntryPagesListener
  , public RequestRunnerListener
  , public LoopMonitorListener
{
public:
  using Settings = EntrySettings;

  /// Starts all parts; null with aReason when one can't be had. aReactor is
  /// not owned.
  static std::unique_ptr<EntryProcess> Create(const Settings& aSettings,
                                              Reactor* aReactor,
                                              Reason* aReason);
  ~EntryProcess() override;

  /// Begins to leave: serves what it has and late callers, hands its shares
  /// on, and stops the reactor. Further calls do nothing.
  void StartLeaving();

private:
  EntryProcess(const Settings& aSettings, Reactor* aReactor);

  bool StartClients(Reason* aReason);
  void BuildParts();
  bool StartServers(Reason* aReason);

  // See: HttpRequestHandler
  void OnRequest(std::shared_ptr<HttpExchange> aExchange) override;

  // See: EntryViewListener
  void OnConfiguration(
    std::shared_ptr<const Configuration> aConfiguration) override;

  // See: ViewFollowerListener
  void FillQuestion(peer::FollowRequest& aRequest) override;
  void OnFollowed(const peer::ViewUpdate& aUpdate) override;

  // See: LoadPollerListener
  void OnLoadReport(const std::string& aUpstream,
                    const LoadReport& aReport) override;
  void OnCacheEvent(const std::string& aUpstream,
                    std::uint64_t aPrefix,
                    bool aStored) override;
  void OnUpstreamDead(const std::string& aUpstream, DeathKind aKind) override;
  void OnUpstreamAlive(const std::string& aUpstream) override;

  // See: EntryPagesListener
  bool IsLeaving() const override { return mLeaving; }
  std::string RenderMetrics() override;

  // See: RequestRunnerListener
  void OnUpstreamTrouble(const std::string& aUpstream) override;
  void OnRequestOver(const CallerRequestFacts& aFacts,
                     int aStatus,
                     std::uint32_t aTokens) override;

  // See: LoopMonitorListener
  void OnLoopLag(Duration aLag) override;

  using QuarantineEntries =
    google::protobuf::RepeatedPtrField<peer::QuarantineEntry>;
  void FillQuarantine(QuarantineEntries& aEntries) const;
  void TakeQuarantine(const QuarantineEntries& aEntries);
  void WarnIfNew();
  void CheckDrained();
  void FinishLeaving();

  Settings mSettings;
  Reactor* mReactor;
  std::string mInstance; ///< New with each start.
  Random mRandom;
  Tracer mTracer;
  EntryMetrics mMetrics;

  // Made in this order, ended in the reverse one.
  std::unique_ptr<HttpClient> mHttp;
  std::unique_ptr<PeerClient> mPeerClient;
  std::unique_ptr<PlatformClient> mPlatform;
  std::unique_ptr<EntryView> mView;
  std::unique_ptr<EntryPeers> mPeers;
  std::unique_ptr<AllowanceDesk> mAllowance;
  std::unique_ptr<OutcomeStore> mClaims;
  std::unique_ptr<EntryCore> mCore;
  std::unique_ptr<RequestRunner> mRunner;
  std::unique_ptr<RequestIntake> mIntake;
  std::unique_ptr<EntryPages> mPages;
  std::unique_ptr<LoadPoller> mPoller;
  std::unique_ptr<ViewFollower> mFollower;
  std::unique_ptr<PeerServer> mPeerServer;
  std::unique_ptr<HttpServer> mServer;
  std::unique_ptr<LoopMonitor> mLoopMonitor;

  std::uint64_t mWarnedOf = 0; ///< Deaths and quarantines told to peers.

  // Leaving
  bool mLeaving = false;
  TimePoint mRequestsDoneAt; ///< When no request was open any more.
  Reactor::TimerId mLeaveTimer = 0;
};

} // namespace peridothoist
