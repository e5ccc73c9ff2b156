#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EntryProcess.h>

#include <Peridothoist/Shell/FlagsFromEnvironment.h>
#include <Peridothoist/Shell/Log.h>

#include <algorithm>
#include <random>

namespace peridothoist {

namespace {

constexpr Duration kDrainCheckInterval = 50ms;
/// Time for late callers after their cached /v1/entries response expired.
constexpr Duration kLateCallerMargin = 1s;
/// How long a leaving entry waits for the platform to store outcomes.
constexpr Duration kOutcomeWriteTimeout = 60s;
/// Time for the share transfers of a leaving entry to be sent.
constexpr Duration kShareTransferTime = 600ms;
/// Event loop delays from this duration on are logged.
constexpr Duration kMinLoggedLoopLag = 100ms;

std::uint64_t
RandomSeed()
{
  std::random_device device;
  return (std::uint64_t(device()) << 32) | device();
}

/// Returns the VM name with a random suffix, which differs at each start.
std::string
MakeInstanceId(const std::string& aVm, std::uint64_t aSeed)
{
  char buf[17];
  std::snprintf(buf,
                sizeof buf,
                "%012llx",
                static_cast<unsigned long long>(aSeed & 0xffffffffffffULL));
  return aVm + "-" + buf;
}

/// Reads the files named in the settings into aCredentials.
bool
ReadCredentials(const EntrySettings& aSettings,
                PeerCredentials& aCredentials,
                Reason* aReason)
{
  struct Row
  {
    const char* mSetting;
    const std::string& mPath;
    std::string& mText;
  };
  aCredentials.mSharedSecret = aSettings.mPeerSecret;
  const Row rows[] = {
    { "peer_certificate",
      aSettings.mPeerCertificate,
      aCredentials.mCertificatePem },
    { "peer_private_key",
      aSettings.mPeerPrivateKey,
      aCredentials.mPrivateKeyPem },
    { "peer_ca", aSettings.mPeerCa, aCredentials.mCaCertificatePem },
  };
  for (const Row& row : rows) {
    if (row.mPath.empty()) {
      continue;
    }
    std::string error;
    auto text = ReadFileSetting(row.mSetting, row.mPath, &error);
    if (!text) {
      Reason::Set(aReason, ReasonCode::Invalid, error);
      return false;
    }
    row.mText = std::move(*text);
  }
  return true;
}

} // namespace

std::unique_ptr<EntryProcess>
EntryProcess::Create(const Settings& aSettings,
                     Reactor* aReactor,
                     Reason* aReason)
{
  if (const auto error = aSettings.Check()) {
    Reason::Set(aReason, error->mCode, error->mText);
    return nullptr;
  }
  std::unique_ptr<EntryProcess> process(new EntryProcess(aSettings, aReactor));
  if (!process->StartClients(aReason)) {
    return nullptr;
  }
  process->CreateComponents();
  if (!process->StartServers(aReason)) {
    return nullptr;
  }
  process->mViewPoller->Start();
  process->mLoopMonitor = std::make_unique<LoopMonitor>(
    LoopMonitorSettings{}, aReactor, process.get());
  Log::Info("entry_started")
    .Field("instance", process->mInstance)
    .Field("zone", aSettings.mZone)
    .Field("listen", aSettings.mListen);
  return process;
}

EntryProcess::EntryProcess(const Settings& aSettings, Reactor* aReactor)
  : mSettings(aSettings)
  , mReactor(aReactor)
  , mInstance(MakeInstanceId(aSettings.mVm, RandomSeed()))
  , mRandom(RandomSeed())
  , mTracer({ aSettings.mTraceSampling }, RandomSeed())
{
}

EntryProcess::~EntryProcess()
{
  mReactor->CancelTimer(mLeaveTimer);
}

bool
EntryProcess::StartClients(Reason* aReason)
{
  mHttp = HttpClient::Create(*mReactor);
  if (mHttp == nullptr) {
    Reason::Set(aReason, ReasonCode::Refused, "can't create the HTTP client");
    return false;
  }
  PeerClientSettings peers;
  if (!ReadCredentials(mSettings, peers.mCredentials, aReason)) {
    return false;
  }
  mPeerClient = PeerClient::Create(*mReactor, peers, aReason);
  return mPeerClient != nullptr;
}

void
EntryProcess::CreateComponents()
{
  PlatformClientSettings platform;
  platform.mUrl = mSettings.mPlatform;
  mPlatform = std::make_unique<PlatformClient>(*mReactor, *mHttp, platform);

  mView = std::make_unique<EntryView>(EntryViewSettings{}, mInstance);
  mPeers = std::make_unique<EntryPeerService>(
    mReactor, mPeerClient.get(), mView.get());
  mAllowance = std::make_unique<AllowanceManager>(
    AllowanceManagerSettings{}, mReactor, &mView->Shares(), mPeers.get());

  OutcomeStoreSettings claims;
  claims.mEntryInstance = mInstance;
  mClaims =
    std::make_unique<OutcomeStore>(*mReactor, *mPlatform, claims, RandomSeed());

  EntryCoreSettings core;
  core.mZone = mSettings.mZone;
  mCore = EntryCore::Create(core, mView->SharedConfig(), mView.get(), &mRandom);
  PH_ASSERT(mCore != nullptr);
  mExecutor = std::make_unique<RequestExecutor>(UpstreamClientSettings{},
                                                mReactor,
                                                mHttp.get(),
                                                mCore.get(),
                                                mClaims.get(),
                                                mAllowance.get(),
                                                this,
                                                mInstance);

  RequestValidatorSettings validator;
  validator.mZone = mSettings.mZone;
  validator.mInstance = mInstance;
  mValidator = std::make_unique<RequestValidator>(validator,
                                                  mReactor,
                                                  mView.get(),
                                                  mAllowance.get(),
                                                  mExecutor.get(),
                                                  &mTracer);
  BuiltInEndpointsSettings endpoints;
  endpoints.mZone = mSettings.mZone;
  endpoints.mEntriesMaxAge = mSettings.mEntriesMaxAge;
  mEndpoints =
    std::make_unique<BuiltInEndpoints>(endpoints, mReactor, mView.get(), this);

  LoadPollerSettings loadPoller;
  loadPoller.mInterval = mSettings.mLoadPollInterval;
  mLoadPoller =
    std::make_unique<LoadPoller>(loadPoller, mReactor, mHttp.get(), this);

  EntryViewPollerSettings viewPoller;
  viewPoller.mControls = mSettings.mControls;
  viewPoller.mInterval = mSettings.mViewPollInterval;
  mViewPoller = std::make_unique<EntryViewPoller>(
    viewPoller, mReactor, mPeerClient.get(), mView.get(), this);
  mView->SetListener(this);
  mPeers->SetWarningHandler([this](const peer::Warning& aWarning) {
    ApplyQuarantine(aWarning.quarantine());
  });
}

bool
EntryProcess::StartServers(Reason* aReason)
{
  PeerServerSettings peers;
  peers.mAddress = mSettings.mPeerListen;
  if (!ReadCredentials(mSettings, peers.mCredentials, aReason)) {
    return false;
  }
  mPeerServer =
    PeerServer::Create(*mReactor, peers, nullptr, mPeers.get(), aReason);
  if (mPeerServer == nullptr) {
    return false;
  }
  const auto address = ParseSocketAddress(mSettings.mListen);
  PH_ASSERT(address.has_value());
  HttpServerSettings http;
  http.mAddress = address->mIp;
  http.mPort = address->mPort;
  http.mMaxHeaderBytes = mSettings.mMaxHeaderBytes;
  http.mMaxBodyBytes = mSettings.mMaxBodyBytes;
  http.mMaxConnections = mSettings.mMaxConnections;
  http.mMaxConnectionsPerAddress = mSettings.mMaxConnectionsPerAddress;
  http.mIdleTimeout = mSettings.mIdleTimeout;
  http.mRequestTimeout = mSettings.mRequestTimeout;
  std::string error;
  if (!mSettings.mCertificate.empty()) {
    auto certificate =
      ReadFileSetting("certificate", mSettings.mCertificate, &error);
    auto key = ReadFileSetting("private_key", mSettings.mPrivateKey, &error);
    if (!certificate || !key) {
      Reason::Set(aReason, ReasonCode::Invalid, error);
      return false;
    }
    http.mCertificatePem = std::move(*certificate);
    http.mPrivateKeyPem = std::move(*key);
  }
  mServer = HttpServer::Create(*mReactor, http, this, &error);
  if (mServer == nullptr) {
    Reason::Set(aReason, ReasonCode::Refused, "listen: " + error);
    return false;
  }
  return true;
}

void
EntryProcess::OnRequest(std::shared_ptr<HttpExchange> aExchange)
{
  if (!mEndpoints->TryHandle(*aExchange)) {
    mValidator->OnRequest(std::move(aExchange));
  }
}

void
EntryProcess::OnConfiguration(
  std::shared_ptr<const Configuration> aConfiguration)
{
  mLoadPoller->SetConfiguration(*aConfiguration);
  mExecutor->Deliver(
    [&](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
      aCore.SetConfiguration(aConfiguration, aNow, aOut);
    });
  Log::Info("configuration_in_force")
    .Field("version", aConfiguration->mVersion);
}

void
EntryProcess::FillFollowRequest(peer::FollowRequest& aRequest)
{
  aRequest.set_vm(mSettings.mVm);
  aRequest.set_zone(mSettings.mZone);
  aRequest.set_entry_address(mSettings.mListen);
  aRequest.set_entry_peer(mSettings.mPeerListen);
  aRequest.set_entry_instance(mInstance);
  aRequest.set_leaving(mIsLeaving);
  FillQuarantine(*aRequest.mutable_quarantine());
}

void
EntryProcess::OnViewUpdate(const peer::ViewUpdate& aUpdate)
{
  const auto& members = mView->Members();
  const auto liveEntries =
    std::count_if(members.begin(), members.end(), [](const Member& aMember) {
      return aMember.mState == MemberState::Live &&
             !aMember.mEntryInstance.empty();
    });
  mCore->SetEntryCount(
    static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(1, liveEntries)));
  ApplyQuarantine(aUpdate.quarantine());
}

void
EntryProcess::FillQuarantine(QuarantineEntries& aEntries) const
{
  const TimePoint now = mReactor->Now();
  const auto add = [&aEntries](const QuarantinedDigest& aDigest,
                               bool aIsSuspect) {
    peer::QuarantineEntry* entry = aEntries.Add();
    entry->set_digest(aDigest.mDigest);
    entry->set_lasts_us(static_cast<std::uint64_t>(aDigest.mRemaining.count()));
    entry->set_suspect(aIsSuspect);
  };
  for (const QuarantinedDigest& digest : mCore->Quarantined(now)) {
    add(digest, false);
  }
  for (const QuarantinedDigest& digest : mCore->Suspects(now)) {
    add(digest, true);
  }
}

void
EntryProcess::WarnPeersIfNew()
{
  const EntryCounters& counters = mCore->Counters();
  const std::uint64_t events = counters.mUpstreamDeaths + counters.mQuarantined;
  if (events == mWarnedEvents) {
    return;
  }
  mWarnedEvents = events;
  peer::Warning warning;
  FillQuarantine(*warning.mutable_quarantine());
  if (warning.quarantine_size() > 0) {
    mPeers->BroadcastWarning(warning);
  }
}

void
EntryProcess::ApplyQuarantine(const QuarantineEntries& aEntries)
{
  const TimePoint now = mReactor->Now();
  for (const peer::QuarantineEntry& entry : aEntries) {
    if (entry.lasts_us() <= entry.age_us()) {
      continue;
    }
    const Duration remaining(
      static_cast<Duration::rep>(entry.lasts_us() - entry.age_us()));
    if (entry.suspect()) {
      mCore->OnSuspect(entry.digest(), remaining, now);
      continue;
    }
    mExecutor->Deliver(
      [&](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
        aCore.OnQuarantine(entry.digest(), remaining, aNow, aOut);
      });
  }
}

void
EntryProcess::OnLoadReport(const std::string& aUpstream,
                           const LoadReport& aReport)
{
  mExecutor->Deliver(
    [&](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
      aCore.OnLoadReport(aUpstream, aReport, aNow, aOut);
    });
}

void
EntryProcess::OnCacheEvent(const std::string& aUpstream,
                           std::uint64_t aPrefix,
                           bool aStored)
{
  mCore->OnCacheEvent(aUpstream, aPrefix, aStored, mReactor->Now());
}

void
EntryProcess::OnUpstreamDead(const std::string& aUpstream, DeathKind aKind)
{
  Log::Warning("upstream_dead")
    .Field("upstream", aUpstream)
    .Field("kind", ToName(aKind));
  mExecutor->Deliver(
    [&](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
      aCore.OnUpstreamDead(aUpstream, aKind, aNow, aOut);
    });
  WarnPeersIfNew();
}

void
EntryProcess::OnUpstreamAlive(const std::string& aUpstream)
{
  Log::Info("upstream_alive").Field("upstream", aUpstream);
  mExecutor->Deliver(
    [&](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
      aCore.OnUpstreamAlive(aUpstream, aNow, aOut);
    });
}

std::string
EntryProcess::RenderMetrics()
{
  mMetrics.UpdateFromCore(*mCore);
  mMetrics.UpdateFromValidator(mValidator->Counters());
  mMetrics.UpdateFromAllowance(mAllowance->Counters());
  mMetrics.UpdateFromView(*mView, mReactor->Now());
  return mMetrics.Render();
}

void
EntryProcess::OnUpstreamConnectionFailed(const std::string& aUpstream)
{
  mLoadPoller->ProbeNow(aUpstream);
}

void
EntryProcess::OnLoopLag(Duration aLag)
{
  mMetrics.ObserveLoopLag(aLag);
  if (aLag >= kMinLoggedLoopLag) {
    Log::Warning("loop_lag")
      .Field("ms", std::chrono::duration<double, std::milli>(aLag).count());
  }
}

void
EntryProcess::OnRequestFinished(const CallerRequestMetadata& aMetadata,
                                int aStatus,
                                std::uint32_t aTokens)
{
  const Duration duration = mReactor->Now() - aMetadata.mArrivedAt;
  mMetrics.ObserveRequest(aMetadata.mRoute, aStatus, duration);
  Log::Info("request_done")
    .Field("id", aMetadata.mId)
    .Field("route", aMetadata.mRoute)
    .Field("workspace", aMetadata.mWorkspace)
    .Field("status", aStatus)
    .Field("tokens", aTokens)
    .Field("ms", std::chrono::duration<double, std::milli>(duration).count());
}

void
EntryProcess::StartLeaving()
{
  if (mIsLeaving) {
    Log::Info("already_leaving")
      .Field("open_requests", mExecutor->OpenRequests());
    return;
  }
  mIsLeaving = true;
  mCore->StartDrain();
  Log::Info("leaving").Field("open_requests", mExecutor->OpenRequests());
  // Callers may use a cached response of GET /v1/entries until it expires, so
  // new requests are still accepted until then.
  mLeaveTimer =
    mReactor->Schedule(mSettings.mEntriesMaxAge + kLateCallerMargin, [this] {
      mServer->StartDrain();
      mRequestsDoneAt = mReactor->Now();
      CheckDrained();
    });
}

void
EntryProcess::CheckDrained()
{
  const TimePoint now = mReactor->Now();
  const bool areRequestsDone =
    mServer->BusyConnectionCount() == 0 && mExecutor->OpenRequests() == 0;
  if (!areRequestsDone) {
    mRequestsDoneAt = now;
  }
  const bool areOutcomesWritten =
    mCore->IsIdle() && mClaims->PendingOutcomes() == 0;
  const bool hasTimedOut = now - mRequestsDoneAt >= kOutcomeWriteTimeout;
  if (areRequestsDone && (areOutcomesWritten || hasTimedOut)) {
    if (!areOutcomesWritten) {
      Log::Error("left_with_unwritten_outcomes")
        .Field("outcomes", mClaims->PendingOutcomes());
    }
    FinishLeaving();
    return;
  }
  mLeaveTimer =
    mReactor->Schedule(kDrainCheckInterval, [this] { CheckDrained(); });
}

void
EntryProcess::FinishLeaving()
{
  mAllowance->TransferAllShares();
  mLeaveTimer = mReactor->Schedule(kShareTransferTime, [this] {
    Log::Info("left");
    mReactor->Stop();
  });
}

} // namespace peridothoist
