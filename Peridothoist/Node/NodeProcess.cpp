#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/NodeProcess.h>

#include <Peridothoist/Core/DurationUnits.h>
#include <Peridothoist/Relay/ContentKey.h>
#include <Peridothoist/Relay/RetryTimes.h>
#include <Peridothoist/Shell/FlagsFromEnvironment.h>
#include <Peridothoist/Shell/Log.h>

#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace peridothoist {

namespace {

/// Interval between reports of lost log lines.
constexpr Duration kLogLossInterval = 1s;

/// Timeout of a caller that states none, for the retry delay of a refusal.
constexpr Duration kDefaultRefusalTimeout = 1s;

/// Callers that are refused for want of memory don't come back at once.
constexpr Duration kMinMemoryRetryAfter = 10ms;

/// Minimum lag of the event loop for which a warning is logged.
constexpr Duration kLoopLagWarningThreshold = 100ms;

std::uint64_t
RandomSeed()
{
  std::random_device device;
  return (std::uint64_t(device()) << 32) | device();
}

RelayStateMachineSettings
WithStartTime(RelayStateMachineSettings aSettings)
{
  aSettings.mStartedAt = Reactor::ReadClock();
  return aSettings;
}

} // namespace

std::unique_ptr<NodeProcess>
NodeProcess::Create(const Settings& aSettings,
                    const NodeProtocols& aProtocols,
                    Reactor* aReactor,
                    HttpClient* aClient,
                    Reason* aReason)
{
  if (const auto error = aSettings.Check()) {
    Reason::Set(aReason, error->mCode, error->mText);
    return nullptr;
  }
  std::unique_ptr<NodeProcess> process(
    new NodeProcess(aSettings, aProtocols, aReactor, aClient));
  return process->Start(aReason) ? std::move(process) : nullptr;
}

NodeProcess::NodeProcess(const Settings& aSettings,
                         const NodeProtocols& aProtocols,
                         Reactor* aReactor,
                         HttpClient* aClient)
  : mSettings(aSettings)
  , mProtocols(aProtocols)
  , mReactor(aReactor)
  , mClient(aClient)
  , mMemory(std::make_shared<MemoryBudget>(aSettings.MaxHeldBytes()))
  , mInstance(fmt::format("{}-{:012x}",
                          aSettings.mVm,
                          RandomSeed() & 0xffffffffffffULL))
  , mRandom(RandomSeed())
  , mView(aSettings.mView)
  , mRateLimiter(aSettings.mRateLimiter, Reactor::ReadClock())
  , mAdmission(&mView, &mRateLimiter, &mRandom)
  , mWaitingAdmission(aSettings.mAdmission, &mAdmission, &mRateLimiter)
  , mMachine(WithStartTime(aSettings.mMachine), &mAdmission, &mRandom)
  , mDirectory(aSettings.mDirectory, &mRandom)
  , mExecutor(aReactor,
              aClient,
              &mMachine,
              aProtocols.mCallers,
              aProtocols.mUpstreams,
              this)
  , mAdmissionExecutor(aReactor, &mWaitingAdmission, this)
  , mStore(aProtocols.mStore, aReactor, &mMetrics.Registry())
  , mViews(aSettings.mViews,
           aSettings.Record(),
           aReactor,
           aClient,
           &mStore,
           aProtocols.mDecoder,
           &mView,
           &mMachine.ListedUpstreams(),
           this)
  , mRegistry(aSettings.mViews.mPoller.mVmTable,
              aSettings.Record(),
              aReactor,
              &mStore,
              [this] { mViews.RereadVms(); })
  , mVersions(aSettings.mVersions,
              aReactor,
              &mStore,
              &mMachine.ListedUpstreams(),
              this)
  , mOpenStreams(aSettings.mOpenStreams, aSettings.mVm, aReactor, &mStore)
  , mStageOrders(aSettings.mStageOrders,
                 aSettings.mVm,
                 aReactor,
                 aClient,
                 &mStore,
                 aProtocols.mUpstreams,
                 &mMachine)
{
  mClient->SetMemory(mMemory);
  mStore.SetListener(this);
  mMachine.Crashes().SetListener(&mCrashLog);
  mMachine.ListedUpstreams().SetRecordedVersions(ListedVersions());
}

NodeProcess::~NodeProcess()
{
  mReactor->CancelTimer(mLeaveTimer);
  mReactor->CancelTimer(mStageOrderTimer);
  mStore.SetListener(nullptr);
}

bool
NodeProcess::Start(Reason* aReason)
{
  mViews.Start();
  mVersions.Refresh();
  if (!StartCallerServer(aReason) || !StartEndpoints(aReason) ||
      !StartTunnels(aReason)) {
    return false;
  }
  mGossip = NodeGossip::Create(mSettings,
                               mInstance,
                               mReactor,
                               &mMachine,
                               &mRateLimiter,
                               &mRandom,
                               this,
                               aReason);
  if (mGossip == nullptr) {
    return false;
  }
  mViews.StartQueries();
  UpdateStageOrders();
  mLoopMonitor =
    std::make_unique<LoopMonitor>(LoopMonitorSettings{ 250ms }, mReactor, this);
  Log::Info("node_started")
    .Field("instance", mInstance)
    .Field("zone", mSettings.mZone)
    .Field("listen", mSettings.mListen);
  return true;
}

bool
NodeProcess::StartCallerServer(Reason* aReason)
{
  HttpServerSettings settings;
  settings.mMaxHeaderBytes = mSettings.mMaxHeaderBytes;
  settings.mMaxBodyBytes = mSettings.mMaxBodyBytes;
  settings.mMaxConnections = mSettings.mMaxConnections;
  settings.mMaxConnectionsPerAddress = mSettings.mMaxConnections;
  settings.mIdleTimeout = mSettings.mIdleTimeout;
  settings.mMaxBufferedBytes = mSettings.mMaxBufferedBytes;
  settings.mMemory = mMemory;
  mCallerServer =
    StartHttpServer(*mReactor, mSettings.mListen, settings, this, aReason);
  return mCallerServer != nullptr;
}

ServingState
NodeProcess::Serving() const
{
  return mIsLeaving ? ServingState::Nothing
                    : mAdmission.CurrentServingState(mReactor->Now());
}

void
NodeProcess::OnRequest(std::shared_ptr<HttpExchange> aExchange)
{
  Reason reason;
  auto request =
    mProtocols.mCallers->ParseRequest(aExchange->Request(), &reason);
  if (request) {
    mAdmissionExecutor.OnRequest(
      mExecutor.NextId(), std::move(*request), std::move(aExchange));
    return;
  }
  const Refusal refusal =
    Refusal::Make(RefusalKind::BadRequest, RunVerdictTracker(), Duration(0));
  RefuseOnArrival(*aExchange, request, refusal, reason);
}

void
NodeProcess::OnAdmitted(std::shared_ptr<HttpExchange> aExchange,
                        AdmittedRequest aAdmitted,
                        const IncomingRequest& aRequest,
                        Duration aWaited)
{
  if (aWaited > Duration(0)) {
    mMetrics.ObserveAllowanceWait("admitted", aWaited);
  }
  auto refusal = RefuseWhileLeaving(aAdmitted);
  if (!refusal) {
    refusal = RefuseForBuffers(aAdmitted);
  }
  if (refusal) {
    mAdmission.Refund(aAdmitted, mReactor->Now());
    RefuseOnArrival(*aExchange, aRequest, *refusal, Reason(), aWaited);
    return;
  }
  if (mIsLeaving) {
    Log::Info("admitted_while_leaving")
      .Field("id", aRequest.mName)
      .Field("request", aAdmitted.mId)
      .Field("since_ms", ToMillis(mReactor->Now() - mSchedule->StartedAt()))
      .Field("left_ms", ToMillis(aAdmitted.mDeadline - mReactor->Now()));
  }
  mExecutor.Admit(
    std::move(aExchange), std::move(aAdmitted), aRequest.mName, aWaited);
}

void
NodeProcess::OnRefused(HttpExchange& aExchange,
                       const IncomingRequest& aRequest,
                       const Refusal& aRefusal,
                       std::optional<Duration> aWaited)
{
  if (aWaited) {
    mMetrics.ObserveAllowanceWait("refused", *aWaited);
  }
  RefuseOnArrival(
    aExchange, aRequest, aRefusal, Reason(), aWaited.value_or(Duration(0)));
}

void
NodeProcess::OnCallerLeft(const IncomingRequest& aRequest, Duration aWaited)
{
  mMetrics.ObserveAllowanceWait("left", aWaited);
  Log::Info("left_waiting_for_allowance")
    .Field("id", aRequest.mName)
    .Field("allowance_wait_ms", ToMillis(aWaited))
    .Field("ms", ToMillis(aWaited));
}

/// Refuses a request that is not passed to the state machine. aWaited: for its
/// allowance.
void
NodeProcess::RefuseOnArrival(HttpExchange& aExchange,
                             const std::optional<IncomingRequest>& aRequest,
                             const Refusal& aRefusal,
                             const Reason& aReason,
                             Duration aWaited)
{
  mMetrics.ObserveRefusal(aRefusal.mKind);
  LogRefusal(aRequest, aRefusal, aReason, aWaited);
  mExecutor.Refuse(aExchange, aRefusal);
}

/// Returns a refusal if callers that read slowly, or all that is held together,
/// occupy the memory that a request of this priority may use. Another VM is
/// likely to have room.
std::optional<Refusal>
NodeProcess::RefuseForBuffers(const AdmittedRequest& aAdmitted)
{
  const BufferBudget unsent(mSettings.mMaxBufferedBytes);
  const BufferBudget held(mMemory->MaxBytes());
  const std::uint32_t priority = aAdmitted.mConfiguredPriority;
  if (unsent.MayStart(priority, mCallerServer->BufferedBytes()) &&
      held.MayStart(priority, mMemory->UsedBytes())) {
    return std::nullopt;
  }
  return MakeMemoryRefusal(aAdmitted.mCallerTimeout);
}

Refusal
NodeProcess::MakeMemoryRefusal(Duration aCallerTimeout)
{
  const auto wait = std::chrono::duration_cast<Duration>(
    MaxRetryWait(aCallerTimeout) * mRandom.UniformFraction());
  return Refusal::Make(RefusalKind::BuffersFull,
                       RunVerdictTracker(),
                       std::max(wait, kMinMemoryRetryAfter));
}

/// Refuses a request whose body there is no memory for, before it is read.
HttpResponse
NodeProcess::OnMemoryFull(const HttpRequest& aRequest)
{
  Reason reason;
  const auto request = mProtocols.mCallers->ParseRequest(aRequest, &reason);
  const Duration timeout = request && request->mCallerTimeout
                             ? *request->mCallerTimeout
                             : kDefaultRefusalTimeout;
  const Refusal refusal = MakeMemoryRefusal(timeout);
  mMetrics.ObserveRefusal(refusal.mKind);
  LogRefusal(request, refusal, reason, Duration(0));
  return mExecutor.MakeRefusal(aRequest, refusal);
}

/// Logs a refusal on arrival together with the inputs of the decision.
void
NodeProcess::LogRefusal(const std::optional<IncomingRequest>& aRequest,
                        const Refusal& aRefusal,
                        const Reason& aReason,
                        Duration aWaited)
{
  const TimePoint now = mReactor->Now();
  const auto& configuration = mView.Configuration();
  const RelayWorkspace* workspace =
    aRequest && configuration != nullptr
      ? configuration->FindWorkspaceByKey(aRequest->mKey)
      : nullptr;
  LogLine line = Log::Info("refused_on_arrival");
  line.Field("id", aRequest ? aRequest->mName : "")
    .Field("type", ToName(aRefusal.mKind))
    .Field("status", aRefusal.Status())
    .Field("version", mView.Version())
    .Field("view_age_ms", ToMillis(mView.Age(now)))
    .Field("retry_after_ms", ToMillis(aRefusal.mRetryAfter))
    .Field("reason", aReason.mText)
    .Field("allowance_wait_ms", ToMillis(aWaited))
    .Field("allowance_waiting", mWaitingAdmission.Queue().Count())
    .Field("buffered_bytes", mCallerServer->BufferedBytes())
    .Field("memory_bytes", mMemory->UsedBytes())
    .Field("ms", ToMillis(aWaited));
  if (workspace != nullptr) {
    line.Field("workspace", workspace->mName)
      .Field("cost", RelayAdmission::CostOf(*workspace, *aRequest))
      .Field("left", mRateLimiter.AvailableTokens(now)[workspace->mName])
      .Field("heard_part", mGossip->Members().ReachableFraction(now));
  }
}

void
NodeProcess::OnConfiguration(
  std::shared_ptr<const RelayConfiguration> aConfiguration,
  TimePoint aConfirmedAt)
{
  const std::uint64_t before = mView.Version();
  const auto old = mView.Configuration();
  if (mView.OnRead(aConfiguration, aConfirmedAt)) {
    LogChangedLimits(old.get(), *aConfiguration);
    mMachine.SetConfiguration(aConfiguration);
    mRateLimiter.SetWorkspaces(aConfiguration->Workspaces());
    if (before != aConfiguration->mVersion) {
      mAdmissionExecutor.OnConfigurationChanged();
    }
    if (before != aConfiguration->mVersion) {
      Log::Info("configuration_in_force")
        .Field("version", aConfiguration->mVersion)
        .Field("before", before)
        .Field("routes", aConfiguration->Routes().size())
        .Field("workspaces", aConfiguration->Workspaces().size())
        .Field("age_ms", ToMillis(mReactor->Now() - aConfirmedAt));
    }
    ApplyEvacuations(*aConfiguration, aConfirmedAt);
  }
  OnMembersChanged();
}

/// Stops sending to the upstreams of evacuated zones, and sends to those of
/// zones that no longer are.
void
NodeProcess::ApplyEvacuations(const RelayConfiguration& aConfiguration,
                              TimePoint aConfirmedAt)
{
  const std::set<std::string> before =
    mMachine.ListedUpstreams().EvacuatedZones();
  const std::set<std::string>& zones = aConfiguration.mEvacuatedZones;
  mExecutor.Deliver(
    [&](RelayStateMachine& aMachine, TimePoint aNow, RelayCommands& aOut) {
      aMachine.OnZonesEvacuated(zones, aNow, aOut);
    });
  LogEvacuations(before,
                 mMachine.ListedUpstreams(),
                 mReactor->Now() - aConfirmedAt,
                 mMachine.WaitingRequestCount());
}

void
NodeProcess::OnUpstreams(std::vector<RelayUpstream> aUpstreams,
                         TimePoint aStartedAt)
{
  const auto before = mMachine.ListedUpstreams().All();
  mExecutor.Deliver(
    [&](RelayStateMachine& aMachine, TimePoint aNow, RelayCommands& aOut) {
      aMachine.OnListRead(std::move(aUpstreams), aNow, aOut, aStartedAt);
    });
  LogListChanges(before, mMachine.ListedUpstreams().All());
  UpdateHomeEngines();
  UpdateVersions();
}

void
NodeProcess::OnPeerUpstreams(std::vector<UpstreamList::Entry> aEntries,
                             TimePoint aConfirmedAt)
{
  const auto before = mMachine.ListedUpstreams().All();
  mExecutor.Deliver(
    [&](RelayStateMachine& aMachine, TimePoint aNow, RelayCommands& aOut) {
      aMachine.OnPeerList(std::move(aEntries), aConfirmedAt, aNow, aOut);
    });
  LogListChanges(before, mMachine.ListedUpstreams().All());
  UpdateHomeEngines();
  UpdateVersions();
}

/// Lets the versions of the listed upstreams be recorded.
void
NodeProcess::UpdateVersions()
{
  mVersions.Update(mGossip == nullptr || RoleForView().mIsReader);
  UpdateOpenStreams();
}

/// Lets the origins of open streams be kept in the store where the records
/// don't tell them. A VM whose peers confirm its list gets no other, so this is
/// called at intervals too.
void
NodeProcess::UpdateOpenStreams()
{
  mOpenStreams.SetServices(
    mMachine.ServicesWithSeveralVersions(mReactor->Now()));
}

void
NodeProcess::UpdateHomeEngines()
{
  if (mGossip != nullptr) {
    const CellMembership& cells = mGossip->Cells();
    mMachine.SetHomeEngines(
      HomeEngines(cells.Layout(), cells.OwnCell(), mMachine.ListedUpstreams()));
  }
}

void
NodeProcess::OnUpstreamsUnreachable(TimePoint aStartedAt)
{
  mMachine.OnListUnreachable(aStartedAt, mReactor->Now());
}

void
NodeProcess::OnVms(const VmRecords& aVms, bool aFromStore)
{
  if (mGossip == nullptr) {
    return; // The peer address could not be listened on.
  }
  mGossip->SetVms(aVms);
  mOpenStreams.SetVmCount(aVms.size());
  UpdateHomeEngines();
  if (aFromStore) {
    mRegistry.OnVmsRead(aVms);
    RemoveSilentVms();
  } else {
    mRegistry.OnVmsHeard(aVms);
  }
  OnMembersChanged();
}

/// Removes the registrations of VMs that are gone. In a large fleet the leader
/// of each cell does this for its cell, whose VMs it hears.
void
NodeProcess::RemoveSilentVms()
{
  const TimePoint now = mReactor->Now();
  const CellMembership& cells = mGossip->Cells();
  if (!cells.IsSingleCell() && !cells.IsLeader(mIsLeaving, now)) {
    return;
  }
  std::vector<std::string> gone;
  for (const std::string& name :
       mGossip->Members().RegisteredButSilent(mSettings.mPeerRetention, now)) {
    const auto it = cells.Layout().Vms().find(name);
    const bool isOurs =
      it == cells.Layout().Vms().end() || it->second.mZone.empty() ||
      cells.Layout().CellOf(name, it->second.mZone) == cells.OwnCell();
    if (isOurs) {
      gone.push_back(name);
    }
  }
  mRegistry.Remove(gone);
}

ViewRole
NodeProcess::RoleForView()
{
  return mGossip->Cells().RoleForView(mIsLeaving, mReactor->Now());
}

void
NodeProcess::SendViewQuery(const std::string& aPeer)
{
  mGossip->SendViewQuery(aPeer);
}

void
NodeProcess::FillServingState(GossipMessage& aMessage)
{
  aMessage.mServing = Serving();
  aMessage.mTunnelAddress = OffersTunnels() ? mSettings.mTunnelListen : "";
  aMessage.mIsLeaving = mIsLeaving;
}

void
NodeProcess::OnMembersChanged()
{
  if (mGossip == nullptr) {
    return;
  }
  const TimePoint now = mReactor->Now();
  mMachine.SetVmCount(mGossip->Members().Count(now));
  mRateLimiter.SetReachableFraction(mGossip->Members().ReachableFraction(now));
  const ServingState serving = Serving();
  if (serving != mLoggedServing) {
    Log::Info("serving")
      .Field("what", ToName(serving))
      .Field("before", ToName(std::exchange(mLoggedServing, serving)))
      .Field("version", mView.Version())
      .Field("view_age_ms", ToMillis(mView.Age(now)))
      .Field("vms", mGossip->Members().Count(now))
      .Field("heard_part", mGossip->Members().ReachableFraction(now));
  }
}

void
NodeProcess::OnRequestFinished(const RelayRequestSummary& aSummary)
{
  const Duration duration = mReactor->Now() - aSummary.mArrivedAt;
  mMetrics.ObserveRequest(aSummary, duration);
  const bool succeeded = aSummary.mStatus >= 200 && aSummary.mStatus < 300 &&
                         std::string_view(aSummary.mOutcome) == "answered";
  const std::vector<std::string>& parts = aSummary.mSharedPromptParts;
  if (succeeded && aSummary.mKind == RouteKind::Stream) {
    mOpenStreams.OnEnded(
      OriginKeyOf(aSummary.mWorkspace, aSummary.mCallerRequestId));
  }
  const bool isRoutine = succeeded && !mIsLeaving;
  (isRoutine ? Log::Routine("request_done") : Log::Info("request_done"))
    .Field("id", aSummary.mCallerRequestId)
    .Field("request", aSummary.mId)
    .Field("route", aSummary.mRoute)
    .Field("workspace", aSummary.mWorkspace)
    .Field("kind", ToName(aSummary.mKind))
    .Field("priority", aSummary.mPriority)
    .Field("outcome", aSummary.mOutcome)
    .Field("status", aSummary.mStatus)
    .Field("prompt", aSummary.mPromptTokens)
    .Field("tokens", aSummary.mMaxTokens)
    .Field("parts", fmt::format("{}", fmt::join(parts, ",")))
    .Field("events", aSummary.mEventCount)
    .Field("calls", aSummary.mCallCount)
    .Field("upstream", aSummary.mUpstream)
    .Field("software", aSummary.mSoftwareVersion)
    .Field("version", mView.Version())
    .Field("allowance_wait_ms", ToMillis(aSummary.mAllowanceWait))
    .Field("paused_ms", ToMillis(aSummary.mPausedTime))
    .Field("gap_ms", ToMillis(aSummary.mMaxEventGap))
    .Field("first_call_ms", ToMillis(aSummary.mTimeToFirstCall))
    .Field("first_ms", ToMillis(aSummary.mTimeToFirstEvent))
    .Field("ms", ToMillis(duration));
}

void
NodeProcess::OnCallFinished(RelayCallKind aKind,
                            bool aSucceeded,
                            Duration aDuration)
{
  mMetrics.ObserveCall(aKind, aSucceeded, aDuration);
}

void
NodeProcess::OnWorkChanged()
{
  if (mGossip != nullptr) {
    mGossip->SchedulePublish();
  }
}

void
NodeProcess::OnOriginDecided(const std::string& aKey,
                             const StreamOrigin& aOrigin)
{
  if (IsContentKey(aKey)) {
    mGossip->ContentOrigins().Announce(aKey, aOrigin);
  } else {
    mGossip->Origins().Announce(aKey, aOrigin);
    mOpenStreams.OnOpened(aKey, aOrigin);
  }
}

void
NodeProcess::OnOriginNeeded(const std::string& aKey)
{
  mVersions.Refresh(); // Decides if no VM knows the origin.
  if (IsContentKey(aKey)) {
    mGossip->ContentOrigins().Find(aKey);
  } else {
    mGossip->Origins().Find(aKey);
    FindStoredOrigin(aKey);
  }
}

/// Looks an origin up in the store, beside the lookup at other VMs.
void
NodeProcess::FindStoredOrigin(const std::string& aKey)
{
  mOpenStreams.Read([this, aKey] {
    if (const auto origin = mOpenStreams.Find(aKey)) {
      DeliverOrigin(aKey, origin);
    }
  });
}

void
NodeProcess::OnPeerWork(const std::string& aVm, const WorkByUpstream& aWork)
{
  mExecutor.Deliver(
    [&](RelayStateMachine& aMachine, TimePoint aNow, RelayCommands& aOut) {
      aMachine.OnPeerWork(aVm, aWork, aNow, aOut);
    });
}

std::optional<ViewResponse>
NodeProcess::OnViewQuery(const ViewQuery& aQuery)
{
  return mViews.OnQuery(aQuery);
}

void
NodeProcess::OnViewResponse(const ViewResponse& aResponse)
{
  mViews.OnResponse(aResponse);
}

void
NodeProcess::DeliverOrigin(const std::string& aKey,
                           const std::optional<StreamOrigin>& aOrigin)
{
  if (aOrigin && !IsContentKey(aKey)) {
    mOpenStreams.OnOpened(aKey, *aOrigin); // It goes on at this VM.
  }
  mExecutor.Deliver(
    [&](RelayStateMachine& aMachine, TimePoint aNow, RelayCommands& aOut) {
      aMachine.OnOriginFound(aKey, aOrigin, aNow, aOut);
    });
}

void
NodeProcess::OnOriginFound(const std::string& aKey,
                           std::optional<StreamOrigin> aOrigin)
{
  if (aOrigin) {
    DeliverOrigin(aKey, aOrigin);
    return;
  }
  // No VM knows it. The reads of the store that began with the lookup decide.
  const auto deliver = [this, aKey] {
    DeliverOrigin(aKey, mOpenStreams.Find(aKey));
  };
  mVersions.WhenRead([this, deliver] { mOpenStreams.WhenRead(deliver); });
}

void
NodeProcess::OnServiceVersionsRead(VersionsByService aRecords,
                                   std::optional<std::uint64_t> aNowMs,
                                   TimePoint aStartedAt)
{
  mExecutor.Deliver(
    [&](RelayStateMachine& aMachine, TimePoint aNow, RelayCommands& aOut) {
      aMachine.OnVersionsRead(
        std::move(aRecords), aNowMs, aStartedAt, aNow, aOut);
    });
  UpdateOpenStreams();
}

void
NodeProcess::OnServiceVersionsUnavailable()
{
  mExecutor.Deliver(
    [&](RelayStateMachine& aMachine, TimePoint aNow, RelayCommands& aOut) {
      aMachine.OnBeginnersChanged(std::nullopt, aNow, aOut);
    });
}

/// Reads everything again, and writes again what this VM keeps in the store.
void
NodeProcess::OnStoreRestored(std::uint64_t aEra)
{
  Log::Warning("store_restored")
    .Field("era", aEra)
    .Field("version", mView.Version())
    .Field("view_age_ms", ToMillis(mView.Age(mReactor->Now())));
  mMetrics.Registry().GetCounter("peridothoist_store_restorations_total").Add();
  mMachine.ListedUpstreams().OnRestored(mReactor->Now());
  mViews.OnStoreRestored();
  mRegistry.Register();
  mVersions.OnStoreRestored();
  mOpenStreams.OnStoreRestored();
  mStageOrders.OnStoreRestored();
}

/// Returns whether this VM is the one that sends stage orders: the first
/// reachable VM by name, provided that it serves all routes and reaches enough
/// of the registered VMs.
bool
NodeProcess::IsOrderLeader() const
{
  const TimePoint now = mReactor->Now();
  return !mIsLeaving && Serving() == ServingState::Everything &&
         mGossip->Members().ReachableFraction(now) >
           mSettings.mMinReachableFractionToOrder &&
         mGossip->Cells().IsFleetLeader(mIsLeaving, now);
}

void
NodeProcess::UpdateStageOrders()
{
  mStageOrders.Update(IsOrderLeader());
  UpdateOpenStreams();
  mStageOrderTimer = mReactor->Schedule(mSettings.mStageOrderInterval,
                                        [this] { UpdateStageOrders(); });
}

void
NodeProcess::OnLoopLag(Duration aLag)
{
  mMetrics.ObserveLoopLag(aLag);
  if (mReactor->Now() >= mLossesLoggedAt + kLogLossInterval) {
    mLossesLoggedAt = mReactor->Now();
    Log::ReportDroppedLines();
  }
  if (aLag >= kLoopLagWarningThreshold) {
    Log::Warning("loop_lag").Field("ms", ToMillis(aLag));
  }
}

bool
NodeProcess::Reload(const Settings& aSettings, Reason* aReason)
{
  if (const auto error = aSettings.Check()) {
    Reason::Set(aReason, error->mCode, error->mText);
    return false;
  }
  mSettings.mView = aSettings.mView;
  mSettings.mLeaving = aSettings.mLeaving;
  mView.SetSettings(aSettings.mView);
  mViews.SetSettings(aSettings.mViews);
  mMachine.SetRetryBudget(aSettings.mMachine.mRetryBudget);
  mGossip->AddSeeds(aSettings.mSeeds);
  return true;
}

} // namespace peridothoist
