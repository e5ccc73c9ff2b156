#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/NodeProcess.h>

#include <Peridothoist/Relay/RetryTimes.h>
#include <Peridothoist/Shell/FlagsFromEnvironment.h>
#include <Peridothoist/Shell/Log.h>

#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace peridothoist {

namespace {

constexpr Duration kLeaveCheckInterval = 50ms;

/// Between lines on log lines that were lost.
constexpr Duration kLossesInterval = 1s;

/// A loop that runs this late is worth a line in the log.
constexpr Duration kLoopLagWarned = 100ms;

double
ToMillis(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

std::uint64_t
RandomSeed()
{
  std::random_device device;
  return (std::uint64_t(device()) << 32) | device();
}

RelayMachineSettings
StartedNow(RelayMachineSettings aSettings)
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
  if (const auto fault = aSettings.Check()) {
    Reason::Set(aReason, fault->mCode, fault->mText);
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
  , mInstance(fmt::format("{}-{:012x}",
                          aSettings.mVm,
                          RandomSeed() & 0xffffffffffffULL))
  , mRandom(RandomSeed())
  , mView(aSettings.mView)
  , mLedger(aSettings.mLedger, Reactor::ReadClock())
  , mIntake(&mView, &mLedger, &mRandom)
  , mMachine(StartedNow(aSettings.mMachine), &mIntake, &mRandom)
  , mShare(&mView, &mMachine.Roster())
  , mRunner(aReactor,
            aClient,
            &mMachine,
            aProtocols.mCallers,
            aProtocols.mUpstreams,
            this)
  , mStore(aProtocols.mStore, aReactor, &mMetrics.Page())
  , mReader(aSettings.mReader, aReactor, &mStore, aProtocols.mDecoder, this)
  , mRegistry(aSettings.mReader.mVmTable, aSettings.mVm, aReactor, &mStore)
  , mOrders(aSettings.mOrders,
            aSettings.mVm,
            aReactor,
            aClient,
            &mStore,
            aProtocols.mUpstreams,
            &mMachine)
{
}

NodeProcess::~NodeProcess()
{
  mReactor->CancelTimer(mLeaveTimer);
  mReactor->CancelTimer(mShareTimer);
  mReactor->CancelTimer(mOrderTimer);
}

bool
NodeProcess::Start(Reason* aReason)
{
  mReader.Start();
  if (!StartCallers(aReason) || !StartPages(aReason)) {
    return false;
  }
  mPeers = NodePeers::Create(mSettings,
                             mInstance,
                             mReactor,
                             &mMachine,
                             &mLedger,
                             &mRandom,
                             this,
                             aReason);
  if (mPeers == nullptr) {
    return false;
  }
  ShareReads();
  LookAtEngines();
  mLoopMonitor =
    std::make_unique<LoopMonitor>(LoopMonitorSettings{ 250ms }, mReactor, this);
  Log::Info("node_started")
    .Field("instance", mInstance)
    .Field("zone", mSettings.mZone)
    .Field("listen", mSettings.mListen);
  return true;
}

bool
NodeProcess::StartCallers(Reason* aReason)
{
  HttpServerSettings settings;
  settings.mMaxHeaderBytes = mSettings.mMaxHeaderBytes;
  settings.mMaxBodyBytes = mSettings.mMaxBodyBytes;
  settings.mMaxConnections = mSettings.mMaxConnections;
  settings.mMaxConnectionsPerAddress = mSettings.mMaxConnections;
  settings.mIdleTimeout = mSettings.mIdleTimeout;
  mCallerServer =
    ServeOn(*mReactor, mSettings.mListen, settings, this, aReason);
  return mCallerServer != nullptr;
}

ServingState
NodeProcess::Serving() const
{
  return mLeaving ? ServingState::Nothing : mIntake.Serving(mReactor->Now());
}

void
NodeProcess::OnRequest(std::shared_ptr<HttpExchange> aExchange)
{
  const TimePoint now = mReactor->Now();
  Reason reason;
  const auto question =
    mProtocols.mCallers->Read(aExchange->Request(), &reason);
  Refusal refusal;
  std::optional<RelayArrival> arrival;
  if (question) {
    arrival = mIntake.Admit(mRunner.NextId(), *question, now, &refusal);
  } else {
    refusal =
      Refusal::Make(RefusalKind::BadRequest, RunVerdictTracker(), Duration(0));
  }
  if (arrival) {
    const auto leaving = RefuseWhileLeaving(*arrival);
    if (leaving) {
      refusal = *leaving;
      mIntake.Refund(*arrival, now);
      arrival.reset();
    }
  }
  if (arrival) {
    mRunner.Admit(std::move(aExchange), std::move(*arrival), question->mName);
    return;
  }
  mMetrics.ObserveRefusal(refusal.mKind);
  LogRefusal(question, refusal, reason);
  mRunner.Refuse(*aExchange, refusal);
}

/// Refuses what would be cut when this process ends.
std::optional<Refusal>
NodeProcess::RefuseWhileLeaving(const RelayArrival& aArrival)
{
  const bool late =
    mLeaving && mReactor->Now() - mLeavingSince >= mSettings.mLastStreams;
  if (!late || aArrival.mRoute->mKind != RelayKind::Stream) {
    return std::nullopt;
  }
  const auto wait = std::chrono::duration_cast<Duration>(
    LongestRetryWait(aArrival.mPatience) * mRandom.Unit());
  return Refusal::Make(RefusalKind::Leaving, RunVerdictTracker(), wait);
}

/// Logs the limits of workspaces that changed.
void
NodeProcess::LogLimits(const RelayConfiguration* aOld,
                       const RelayConfiguration& aNew) const
{
  for (const auto& [name, workspace] : aNew.Workspaces()) {
    const bool known = aOld != nullptr && aOld->Workspaces().count(name) > 0;
    const bool same =
      known && aOld->Workspaces().at(name).HasLimitOf(workspace);
    if (!same) {
      Log::Info("workspace_limit")
        .Field("workspace", name)
        .Field("tokens_per_s", workspace.mTokensPerSecond)
        .Field("burst_tokens", workspace.mBurstTokens)
        .Field("plain_tokens", workspace.mPlainTokens)
        .Field("version", aNew.mVersion);
    }
  }
}

/// Logs a refusal at the door, with what it was decided from.
void
NodeProcess::LogRefusal(const std::optional<RelayQuestion>& aQuestion,
                        const Refusal& aRefusal,
                        const Reason& aReason)
{
  const TimePoint now = mReactor->Now();
  const auto& configuration = mView.Configuration();
  const RelayWorkspace* workspace =
    aQuestion && configuration != nullptr
      ? configuration->FindByKey(aQuestion->mKey)
      : nullptr;
  LogLine line = Log::Info("refused_on_arrival");
  line.Field("id", aQuestion ? aQuestion->mName : "")
    .Field("type", ToName(aRefusal.mKind))
    .Field("status", aRefusal.Status())
    .Field("version", mView.Version())
    .Field("view_age_ms", ToMillis(mView.Age(now)))
    .Field("retry_after_ms", ToMillis(aRefusal.mRetryAfter))
    .Field("reason", aReason.mText);
  if (workspace != nullptr) {
    line.Field("workspace", workspace->mName)
      .Field("cost", RelayIntake::CostOf(*workspace, *aQuestion))
      .Field("left", mLedger.Left(now)[workspace->mName])
      .Field("heard_part", mPeers->Members().HeardPart(now));
  }
}

void
NodeProcess::OnConfigurationRead(
  std::shared_ptr<const RelayConfiguration> aConfiguration,
  TimePoint aBegan)
{
  const std::uint64_t before = mView.Version();
  const auto old = mView.Configuration();
  if (mView.OnRead(aConfiguration, aBegan)) {
    LogLimits(old.get(), *aConfiguration);
    mMachine.SetConfiguration(aConfiguration);
    mLedger.SetWorkspaces(aConfiguration->Workspaces());
    Log::Info("configuration_in_force")
      .Field("version", aConfiguration->mVersion)
      .Field("before", before)
      .Field("routes", aConfiguration->Routes().size())
      .Field("workspaces", aConfiguration->Workspaces().size())
      .Field("read_ms", ToMillis(mReactor->Now() - aBegan));
  }
  OnMembersChanged();
}

void
NodeProcess::OnUpstreamsRead(std::vector<RelayUpstream> aUpstreams)
{
  const auto before = mMachine.Roster().All();
  mRunner.Deliver(
    [&](RelayMachine& aMachine, TimePoint aNow, RelayCommands& aOut) {
      aMachine.OnListed(std::move(aUpstreams), aNow, aOut);
    });
  const auto& after = mMachine.Roster().All();
  for (const auto& [id, entry] : after) {
    const auto known = before.find(id);
    const bool fresh = known == before.end();
    if (fresh || known->second.mUpstream.mLeaving != entry.mUpstream.mLeaving ||
        known->second.mLapsed != entry.mLapsed ||
        known->second.mUpstream.mStage != entry.mUpstream.mStage) {
      Log::Info("upstream_listed")
        .Field("upstream", id)
        .Field("service", entry.mUpstream.mService)
        .Field("address", entry.mUpstream.mAddress)
        .Field("zone", entry.mUpstream.mZone)
        .Field("stage", ToName(entry.mUpstream.mStage))
        .Field("leaving", entry.mUpstream.mLeaving)
        .Field("lapsed", entry.mLapsed);
    }
  }
  for (const auto& [id, entry] : before) {
    if (after.count(id) == 0) {
      Log::Info("upstream_gone")
        .Field("upstream", id)
        .Field("was_leaving", entry.mUpstream.mLeaving);
    }
  }
}

void
NodeProcess::OnUpstreamsUnreachable()
{
  mMachine.OnListUnreachable();
}

void
NodeProcess::OnVmsRead(std::set<std::string> aNames)
{
  const TimePoint now = mReactor->Now();
  mRegistry.OnRead(aNames);
  mPeers->Members().SetRegistered(aNames, now);
  mRegistry.Remove(mPeers->Members().Vanished(mSettings.mForgetPeers, now));
  OnMembersChanged();
}

void
NodeProcess::FillState(VmNews& aNews)
{
  aNews.mServing = Serving();
  aNews.mLeaving = mLeaving;
}

void
NodeProcess::OnMembersChanged()
{
  if (mPeers == nullptr) {
    return;
  }
  const TimePoint now = mReactor->Now();
  mMachine.SetVmCount(mPeers->Members().Count(now));
  mLedger.SetHeardPart(mPeers->Members().HeardPart(now));
  const ServingState serving = Serving();
  if (serving != mWasServing) {
    Log::Info("serving")
      .Field("what", ToName(serving))
      .Field("before", ToName(std::exchange(mWasServing, serving)))
      .Field("version", mView.Version())
      .Field("view_age_ms", ToMillis(mView.Age(now)))
      .Field("vms", mPeers->Members().Count(now))
      .Field("heard_part", mPeers->Members().HeardPart(now));
  }
}

void
NodeProcess::OnRelayOver(const RelayFacts& aFacts)
{
  const Duration took = mReactor->Now() - aFacts.mArrivedAt;
  mMetrics.ObserveRequest(aFacts, took);
  const bool good = aFacts.mStatus >= 200 && aFacts.mStatus < 300 &&
                    std::string_view(aFacts.mOutcome) == "answered";
  (good ? Log::Routine("request_done") : Log::Info("request_done"))
    .Field("id", aFacts.mName)
    .Field("request", aFacts.mId)
    .Field("route", aFacts.mRoute)
    .Field("workspace", aFacts.mWorkspace)
    .Field("kind", ToName(aFacts.mKind))
    .Field("outcome", aFacts.mOutcome)
    .Field("status", aFacts.mStatus)
    .Field("prompt", aFacts.mPromptTokens)
    .Field("tokens", aFacts.mTokens)
    .Field("events", aFacts.mEvents)
    .Field("calls", aFacts.mCalls)
    .Field("upstream", aFacts.mUpstream)
    .Field("version", mView.Version())
    .Field("gap_ms", ToMillis(aFacts.mLongestGap))
    .Field("first_ms", ToMillis(aFacts.mFirstByteAfter))
    .Field("ms", ToMillis(took));
}

void
NodeProcess::OnCallOver(RelayCallKind aKind, bool aGood, Duration aTook)
{
  mMetrics.ObserveCall(aKind, aGood, aTook);
}

void
NodeProcess::OnWorkChanged()
{
  if (mPeers != nullptr) {
    mPeers->TellSoon();
  }
}

void
NodeProcess::OnPeerWork(const std::string& aVm, const WorkByUpstream& aWork)
{
  mRunner.Deliver(
    [&](RelayMachine& aMachine, TimePoint aNow, RelayCommands& aOut) {
      aMachine.OnPeerWork(aVm, aWork, aNow, aOut);
    });
}

std::optional<ViewTell>
NodeProcess::OnViewAsk(const ViewAsk& aAsk)
{
  return mShare.Answer(aAsk, Reactor::ReadClock());
}

void
NodeProcess::OnViewTell(const ViewTell& aTell)
{
  const ViewShareOutcome outcome = mShare.OnTell(aTell, Reactor::ReadClock());
  if (outcome.mReadConfiguration) {
    mReader.ReadConfigurationNow();
  }
  if (outcome.mReadUpstreams) {
    mReader.ReadUpstreamsNow();
  }
}

/// The VMs that read the store for all: the first of those that are heard, this
/// one among them, by name.
std::vector<std::string>
NodeProcess::Readers() const
{
  const TimePoint now = mReactor->Now();
  std::vector<std::string> names = { mSettings.mVm };
  for (const auto& [name, member] : mPeers->Members().Members()) {
    if (mPeers->Members().IsHeard(name, now) && !member.mNews.mLeaving) {
      names.push_back(name);
    }
  }
  std::sort(names.begin(), names.end());
  const std::size_t readers =
    std::max(mSettings.mLeastReaders, names.size() / mSettings.mVmsPerReader);
  names.resize(std::min(names.size(), readers));
  return names;
}

/// Whether this VM is the one that gives orders: the first that is heard, by
/// name, while it hears most of those that are registered.
bool
NodeProcess::Leads() const
{
  const TimePoint now = mReactor->Now();
  return !mLeaving && Serving() == ServingState::Everything &&
         mPeers->Members().HeardPart(now) > mSettings.mLeastHeardToOrder &&
         Readers().front() == mSettings.mVm;
}

void
NodeProcess::LookAtEngines()
{
  mOrders.Look(Leads());
  mOrderTimer =
    mReactor->Schedule(mSettings.mOrderInterval, [this] { LookAtEngines(); });
}

/// Whether peers' answers keep this VM's view as young as own reads would.
bool
NodeProcess::IsViewYoung() const
{
  const TimePoint now = mReactor->Now();
  const auto listedAt = mMachine.Roster().ListedAt();
  return listedAt && now - *listedAt < mSettings.mOldestShared &&
         mView.Age(now) < mSettings.mOldestShared;
}

/// Follows the readers while their answers are good; else reads the store.
void
NodeProcess::ShareReads()
{
  const std::vector<std::string> readers = Readers();
  const bool reads =
    std::find(readers.begin(), readers.end(), mSettings.mVm) != readers.end();
  mReader.SetRole(reads, !reads && IsViewYoung());
  if (!reads) {
    mPeers->AskView(readers[mAsked++ % readers.size()]);
  }
  mShareTimer =
    mReactor->Schedule(mSettings.mShareInterval, [this] { ShareReads(); });
}

void
NodeProcess::OnLoopLag(Duration aLag)
{
  mMetrics.ObserveLoopLag(aLag);
  if (mReactor->Now() >= mLossesToldAt + kLossesInterval) {
    mLossesToldAt = mReactor->Now();
    Log::TellLosses();
  }
  if (aLag >= kLoopLagWarned) {
    Log::Warning("loop_lag").Field("ms", ToMillis(aLag));
  }
}

bool
NodeProcess::Reload(const Settings& aSettings, Reason* aReason)
{
  if (const auto fault = aSettings.Check()) {
    Reason::Set(aReason, fault->mCode, fault->mText);
    return false;
  }
  mSettings.mView = aSettings.mView;
  mSettings.mGrace = aSettings.mGrace;
  mView.SetSettings(aSettings.mView);
  mMachine.SetRepeatBudget(aSettings.mMachine.mBudget);
  mPeers->AddSeeds(aSettings.mSeeds);
  return true;
}

void
NodeProcess::StartLeaving()
{
  if (mLeaving) {
    Log::Info("already_leaving").Field("open", mRunner.Open());
    return;
  }
  mLeaving = true;
  mLeavingSince = mReactor->Now();
  Log::Info("leaving").Field("open", mRunner.Open());
  mCallerServer->CloseAfterAnswers();
  mPeers->TellAll();
  CheckLeft();
}

void
NodeProcess::CheckLeft()
{
  const Duration since = mReactor->Now() - mLeavingSince;
  if (since >= mSettings.mLateCallers && !mDraining) {
    mDraining = true;
    mCallerServer->StartDrain();
  }
  const bool done =
    mDraining && mRunner.Open() == 0 && mCallerServer->OpenExchanges() == 0;
  const bool late = since >= mSettings.mGrace - mSettings.mGraceMargin;
  if (done || late) {
    Log::Info("left")
      .Field("open", mRunner.Open())
      .Field("ms", ToMillis(since));
    mReactor->Stop();
    return;
  }
  mLeaveTimer =
    mReactor->Schedule(kLeaveCheckInterval, [this] { CheckLeft(); });
}

} // namespace peridothoist
