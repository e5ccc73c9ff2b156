/// Connects the components of a control process.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlProcess.h>

#include <Peridothoist/Control/AdminChangeEndpoints.h>
#include <Peridothoist/Control/AdminOrderEndpoints.h>
#include <Peridothoist/Control/AdminOutcomeEndpoints.h>
#include <Peridothoist/Control/AdminServer.h>
#include <Peridothoist/Control/AdminStatusEndpoints.h>
#include <Peridothoist/Control/ChangeManager.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/Control/FollowRequestHandler.h>
#include <Peridothoist/Control/ControlGossip.h>
#include <Peridothoist/Control/OrphanedRequestCleanup.h>
#include <Peridothoist/Control/SharePlanWriter.h>
#include <Peridothoist/Control/UpstreamLeaseManager.h>
#include <Peridothoist/Peers/PeerClient.h>
#include <Peridothoist/Peers/PeerServer.h>
#include <Peridothoist/Platform/ChangeCommitter.h>
#include <Peridothoist/Platform/ConfigPoller.h>
#include <Peridothoist/Platform/ConfigCompactor.h>
#include <Peridothoist/Shell/Log.h>
#include <Peridothoist/Shell/Metrics.h>

#include <random>

namespace peridothoist {

namespace {

/// Interval between VM listings while no other VM is known.
constexpr Duration kInitialVmListInterval = 250ms;

std::uint64_t
MakeSeed()
{
  std::random_device device;
  return (std::uint64_t(device()) << 32) | device();
}

} // namespace

/// Owns all components and forwards events between them.
struct ControlProcess::Impl
  : ViewStoreListener
  , ChangeCommitterListener
  , ConfigPollerListener
  , ControlPeerHandler
{
  Impl(Reactor& aReactor,
       HttpClient& aHttp,
       Platform& aPlatform,
       const Settings& aSettings)
    : mReactor(aReactor)
    , mPlatform(aPlatform)
    , mSettings(aSettings)
    , mState(mSettings, *this, aReactor.Now())
    , mInForce(mSettings.mInForce)
    , mFollowHandler(mState)
    , mConfigPoller(aReactor,
                    aPlatform,
                    mSettings.mConfigPoller,
                    *this,
                    MakeSeed())
    , mCommitter(aReactor, aPlatform, mSettings.mCommitter, *this, MakeSeed())
    , mCompactor(aPlatform, mSettings.mCompactor)
    , mPlanWriter(aReactor, aPlatform, mState)
    , mLeaseManager(aReactor, aHttp, aPlatform, mState)
    , mReclaimer(aReactor, mState, mLeaseManager, mMetrics)
    , mAlive(std::make_shared<bool>(true))
  {
  }
  ~Impl() override
  {
    *mAlive = false;
    mReactor.CancelTimer(mTickTimer);
    mReactor.CancelTimer(mListTimer);
  }

  bool Start(Reason* aReason);
  bool StartPeers(Reason* aReason);
  bool StartAdmin(Reason* aReason);
  void OnTick();
  void ListVms();
  bool IsUrgent() const;
  void SettleOverdueSuspensions();

  // See: ViewStoreListener
  void OnViewChanged(const ViewStamp& aStamp) override;

  // See: ChangeCommitterListener
  void OnCommitPending(bool aIsPending) override
  {
    mState.mIsChangeInDoubt = aIsPending;
  }
  void OnChangeAccepted(const ChangeRecord& aRecord) override;
  void OnCommitInDoubt(const KeySuspension& aSuspension) override;
  void OnCommitResolved(const std::string& aOperationId) override;

  // See: ConfigPollerListener
  std::uint64_t CurrentViewVersion() const override
  {
    return mState.mView.Version();
  }
  void OnPlatformRead(const ViewStamp& aStamp, TimePoint aSent) override;
  void OnPlatformUnreachable() override;
  void OnPlatformChange(const ChangeRecord& aRecord) override;
  void OnPlatformSnapshot(const Configuration& aConfiguration) override;
  void OnPlatformSharePlan(const SharePlan& aPlan,
                           std::uint64_t aRowVersion) override;

  // See: ControlPeerHandler
  void OnExchange(const peer::ExchangeRequest& aRequest,
                  PeerResponder<peer::ExchangeReply> aRespond) override;
  void OnFollow(const peer::FollowRequest& aRequest,
                PeerResponder<peer::ViewUpdate> aRespond) override;

  Reactor& mReactor;
  Platform& mPlatform;
  const Settings mSettings;
  Metrics mMetrics;
  ControlState mState;
  InForceTracker mInForce;
  FollowRequestHandler mFollowHandler;
  ConfigPoller mConfigPoller;
  ChangeCommitter mCommitter;
  ConfigCompactor mCompactor;
  SharePlanWriter mPlanWriter;
  UpstreamLeaseManager mLeaseManager;
  OrphanedRequestCleanup mReclaimer;
  std::uint64_t mLastPushedVersion = 0; ///< Last version pushed to peers.
  bool mIsPushScheduled = false;        ///< A push is posted to the reactor.

  std::unique_ptr<PeerClient> mPeers;
  std::unique_ptr<ControlGossip> mGossip;
  std::unique_ptr<ChangeManager> mChangeManager;
  std::unique_ptr<PeerServer> mPeerServer;
  std::unique_ptr<AdminServer> mAdmin;
  std::unique_ptr<AdminStatusEndpoints> mStatusEndpoints;
  std::unique_ptr<AdminChangeEndpoints> mChangeEndpoints;
  std::unique_ptr<AdminOutcomeEndpoints> mOutcomeEndpoints;
  std::unique_ptr<AdminOrderEndpoints> mOrderEndpoints;
  std::unique_ptr<HttpServer> mHttpServer;

  Reactor::TimerId mTickTimer = 0;
  Reactor::TimerId mListTimer = 0;
  std::shared_ptr<bool> mAlive; ///< Set to false by the destructor.
};

bool
ControlProcess::Impl::Start(Reason* aReason)
{
  if (!StartPeers(aReason) || !StartAdmin(aReason)) {
    return false;
  }
  mConfigPoller.Start();
  ListVms();
  OnTick();
  Log::Info("control_started")
    .Field("vm", mSettings.mVm)
    .Field("zone", mSettings.mZone)
    .Field("instance", mSettings.mInstance)
    .Field("admin_port", mHttpServer->Port())
    .Field("peer_port", mPeerServer->Port());
  return true;
}

bool
ControlProcess::Impl::StartPeers(Reason* aReason)
{
  PeerClientSettings client;
  client.mCredentials = mSettings.mPeerCredentials;
  mPeers = PeerClient::Create(mReactor, client, aReason);
  if (!mPeers) {
    return false;
  }
  mGossip =
    std::make_unique<ControlGossip>(mReactor, *mPeers, mState, MakeSeed());
  mChangeManager = std::make_unique<ChangeManager>(
    mReactor, mState, *mGossip, mCommitter, mConfigPoller);
  PeerServerSettings server;
  server.mAddress = mSettings.mPeerListen;
  server.mCredentials = mSettings.mPeerCredentials;
  mPeerServer = PeerServer::Create(mReactor, server, this, nullptr, aReason);
  return mPeerServer != nullptr;
}

bool
ControlProcess::Impl::StartAdmin(Reason* aReason)
{
  mAdmin = std::make_unique<AdminServer>(mSettings.mOperators);
  mStatusEndpoints = std::make_unique<AdminStatusEndpoints>(
    mReactor, mState, mLeaseManager, mMetrics);
  mChangeEndpoints =
    std::make_unique<AdminChangeEndpoints>(mState, *mChangeManager, mInForce);
  mOutcomeEndpoints =
    std::make_unique<AdminOutcomeEndpoints>(mReactor, mState, mPlatform);
  mOrderEndpoints =
    std::make_unique<AdminOrderEndpoints>(mReactor, mState, mLeaseManager);
  mStatusEndpoints->Register(*mAdmin);
  mChangeEndpoints->Register(*mAdmin);
  mOutcomeEndpoints->Register(*mAdmin);
  mOrderEndpoints->Register(*mAdmin);
  std::string reason;
  mHttpServer =
    HttpServer::Create(mReactor, mSettings.mAdmin, mAdmin.get(), &reason);
  if (!mHttpServer) {
    Reason::Set(aReason, ReasonCode::Refused, "admin_listen: " + reason);
  }
  return mHttpServer != nullptr;
}

void
ControlProcess::Impl::OnTick()
{
  const TimePoint now = mReactor.Now();
  mState.mMembers.RemoveExpired(now);
  mState.mQuarantine.Expire(now);
  mState.EvaluateOutage(now);
  mInForce.Update(mState.mMembers.InForceMembers(), now);
  mGossip->OnTick(IsUrgent());
  mPlanWriter.OnTick();
  mLeaseManager.OnTick();
  mReclaimer.OnTick();
  SettleOverdueSuspensions();
  mTickTimer = mReactor.Schedule(mSettings.mTickInterval, [this] { OnTick(); });
}

void
ControlProcess::Impl::ListVms()
{
  const TimePoint sent = mReactor.Now();
  mPlatform.ListVms([this, alive = mAlive, sent](const VmListResult& aResult) {
    if (!*alive) {
      return;
    }
    if (aResult.mIsSuccessful) {
      mState.mMembers.MergePlatformList(aResult.mVms, sent, mReactor.Now());
    }
    // Retries soon while no other VM is known.
    const bool isAlone = mState.mMembers.Size() <= 1;
    mListTimer = mReactor.Schedule(isAlone ? kInitialVmListInterval
                                           : mSettings.mVmListInterval,
                                   [this] { ListVms(); });
  });
}

bool
ControlProcess::Impl::IsUrgent() const
{
  const auto status = mInForce.Status(mState.mView.Version());
  const bool isPropagating = status && !status->mInForce;
  return mState.mIsPlatformUnreachable || mState.IsInDoubt() || isPropagating ||
         !mState.mView.Freshness().IsFresh(mReactor.Now());
}

void
ControlProcess::Impl::SettleOverdueSuspensions()
{
  const TimePoint now = mReactor.Now();
  if (mState.mIsPlatformUnreachable) {
    return;
  }
  for (const KeySuspension& it : mState.mView.SuspendedKeys().Overdue(now)) {
    mCommitter.ResolveOtherCommit(it.mOperationId);
  }
}

void
ControlProcess::Impl::OnViewChanged(const ViewStamp& aStamp)
{
  const TimePoint now = mReactor.Now();
  if (aStamp.mVersion > mLastPushedVersion) {
    mInForce.OnAccepted(aStamp.mVersion, now);
    mLastPushedVersion = aStamp.mVersion;
  }
  if (mIsPushScheduled || !mGossip) {
    return;
  }
  // Posted, so that consecutive changes are pushed together.
  mIsPushScheduled = true;
  mReactor.Post([this, alive = mAlive] {
    if (*alive) {
      mIsPushScheduled = false;
      mGossip->ExchangeNow(mSettings.mExchange.mPushPeerCount);
    }
  });
}

void
ControlProcess::Impl::OnChangeAccepted(const ChangeRecord& aRecord)
{
  Log::Info("change_accepted")
    .Field("version", aRecord.mChange.mVersion)
    .Field("operation", aRecord.mChange.mOperationId)
    .Field("operator", aRecord.mOperator);
  mState.mView.ApplyChange(aRecord.mChange);
  mCompactor.OnCommitted(mState.mView.Config());
}

void
ControlProcess::Impl::OnCommitInDoubt(const KeySuspension& aSuspension)
{
  Log::Warning("change_in_doubt")
    .Field("operation", aSuspension.mOperationId)
    .Field("version", aSuspension.mVersion);
  mState.mView.SuspendedKeys().Suspend(aSuspension, mReactor.Now());
  mGossip->ExchangeNow(mSettings.mExchange.mPushPeerCount);
}

void
ControlProcess::Impl::OnCommitResolved(const std::string& aOperationId)
{
  Log::Info("change_settled").Field("operation", aOperationId);
  mState.mView.SuspendedKeys().Settle(aOperationId);
}

void
ControlProcess::Impl::OnPlatformRead(const ViewStamp& aStamp, TimePoint aSent)
{
  if (mState.mIsPlatformUnreachable) {
    Log::Info("platform_back");
  }
  mState.OnPlatformRead(aStamp, aSent);
}

void
ControlProcess::Impl::OnPlatformUnreachable()
{
  if (!mState.mIsPlatformUnreachable) {
    Log::Warning("platform_silent");
  }
  mState.mIsPlatformUnreachable = true;
}

void
ControlProcess::Impl::OnPlatformChange(const ChangeRecord& aRecord)
{
  mState.mView.ApplyChange(aRecord.mChange);
}

void
ControlProcess::Impl::OnPlatformSnapshot(const Configuration& aConfiguration)
{
  mState.mView.ApplyConfiguration(aConfiguration);
}

void
ControlProcess::Impl::OnPlatformSharePlan(const SharePlan& aPlan,
                                          std::uint64_t aRowVersion)
{
  mPlanWriter.OnRowRead(aPlan, aRowVersion);
}

void
ControlProcess::Impl::OnExchange(const peer::ExchangeRequest& aRequest,
                                 PeerResponder<peer::ExchangeReply> aRespond)
{
  aRespond(mGossip->HandleRequest(aRequest));
}

void
ControlProcess::Impl::OnFollow(const peer::FollowRequest& aRequest,
                               PeerResponder<peer::ViewUpdate> aRespond)
{
  bool hasNewQuarantine = false;
  aRespond(
    mFollowHandler.HandleRequest(aRequest, mReactor.Now(), &hasNewQuarantine));
  if (hasNewQuarantine) {
    mGossip->ExchangeNow(mSettings.mExchange.mPushPeerCount);
  }
}

std::unique_ptr<ControlProcess>
ControlProcess::Create(Reactor& aReactor,
                       HttpClient& aHttp,
                       Platform& aPlatform,
                       const Settings& aSettings,
                       Reason* aReason)
{
  auto impl = std::make_unique<Impl>(aReactor, aHttp, aPlatform, aSettings);
  if (!impl->Start(aReason)) {
    return nullptr;
  }
  return std::unique_ptr<ControlProcess>(new ControlProcess(std::move(impl)));
}

ControlProcess::ControlProcess(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

ControlProcess::~ControlProcess() = default;

std::uint16_t
ControlProcess::AdminPort() const
{
  return mImpl->mHttpServer->Port();
}

std::uint16_t
ControlProcess::PeerPort() const
{
  return mImpl->mPeerServer->Port();
}

void
ControlProcess::Leave(std::function<void()> aDone)
{
  Log::Info("control_leaving");
  mImpl->mState.mIsLeaving = true;
  mImpl->mLeaseManager.ReleaseAll();
  mImpl->mHttpServer->StartDrain();
  mImpl->mGossip->ExchangeNow(mImpl->mSettings.mExchange.mPushPeerCount);
  mImpl->mReactor.Schedule(mImpl->mSettings.mLeaveDelay, std::move(aDone));
}

} // namespace peridothoist
