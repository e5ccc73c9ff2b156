#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/ViewUpdater.h>

#include <Peridothoist/Core/DurationUnits.h>
#include <Peridothoist/Node/VmRegistry.h>
#include <Peridothoist/Shell/Log.h>

#include <algorithm>

namespace peridothoist {

namespace {

// Parts of the time within which a change must be in force everywhere.
constexpr double kConfigurationIntervalPart = 0.325;
constexpr double kUpstreamIntervalPart = 0.4;
constexpr double kQueryIntervalPart = 0.1;
constexpr double kMaxAgePart = 0.65;
constexpr double kMaxIndirectAgePart = 0.85;

/// Peers other than the usual ones are asked too while the view is older than
/// this part of its limit.
constexpr double kFallbackPart = 0.7;

/// A peer's statement about the registered VMs is relied on for this long.
constexpr Duration kVmsConfirmedFor = 5s;

Duration
Part(Duration aWhole, double aPart)
{
  return std::chrono::duration_cast<Duration>(aWhole * aPart);
}

} // namespace

void
ViewUpdaterSettings::SetChangeLimit(Duration aLimit)
{
  mPoller.mConfigurationInterval = Part(aLimit, kConfigurationIntervalPart);
  mPoller.mUpstreamInterval = Part(aLimit, kUpstreamIntervalPart);
  mQueryInterval = Part(aLimit, kQueryIntervalPart);
  mMaxAge = Part(aLimit, kMaxAgePart);
  mMaxIndirectAge = Part(aLimit, kMaxIndirectAgePart);
}

ViewUpdater::ViewUpdater(const Settings& aSettings,
                         const VmRecord& aSelf,
                         Reactor* aReactor,
                         HttpClient* aClient,
                         RowStore* aStore,
                         const ViewDecoder* aDecoder,
                         ConfirmedView* aView,
                         UpstreamList* aUpstreamList,
                         ViewUpdaterListener* aListener)
  : mSettings(aSettings)
  , mSelf(aSelf)
  , mReactor(aReactor)
  , mDecoder(aDecoder)
  , mView(aView)
  , mUpstreamList(aUpstreamList)
  , mListener(aListener)
  , mExchange(aView, aUpstreamList)
  , mPoller(aSettings.mPoller, aReactor, aStore, aDecoder, this)
  , mPeers(aClient)
  , mStore(aStore)
{
}

ViewUpdater::~ViewUpdater()
{
  *mAlive = false;
  mReactor->CancelTimer(mTimer);
}

void
ViewUpdater::SetSettings(const Settings& aSettings)
{
  mSettings = aSettings;
  mPoller.SetIntervals(aSettings.mPoller.mConfigurationInterval,
                       aSettings.mPoller.mUpstreamInterval);
}

/// Returns the age of the older of the configuration and the upstreams.
Duration
ViewUpdater::Age() const
{
  const TimePoint now = Reactor::ReadClock();
  const auto listedAt = mUpstreamList->ListedAt();
  return listedAt ? std::max(now - *listedAt, mView->Age(now))
                  : Duration::max();
}

Duration
ViewUpdater::MaxAge(const ViewRole& aRole) const
{
  return aRole.mIsIndirect ? mSettings.mMaxIndirectAge : mSettings.mMaxAge;
}

/// Chooses between reading the store and following peers, and sends the next
/// query.
void
ViewUpdater::Update()
{
  const ViewRole role = mListener->RoleForView();
  const bool isFollowing = !role.mIsReader && Age() < MaxAge(role);
  const bool isFollowingVms =
    isFollowing && Reactor::ReadClock() - mVmsConfirmedAt < kVmsConfirmedFor;
  mPoller.SetRole(role.mIsReader, isFollowing, isFollowingVms);
  SendQuery(role);
  mTimer = mReactor->Schedule(mSettings.mQueryInterval, [this] { Update(); });
}

void
ViewUpdater::SendQuery(const ViewRole& aRole)
{
  std::vector<std::string> peers = aRole.mPeers;
  if (Age() > Part(MaxAge(aRole), kFallbackPart)) {
    peers.insert(
      peers.end(), aRole.mFallbackPeers.begin(), aRole.mFallbackPeers.end());
  }
  if (!peers.empty()) {
    mListener->SendViewQuery(peers[mQueriesSent++ % peers.size()]);
  }
}

std::optional<ViewResponse>
ViewUpdater::OnQuery(const ViewQuery& aQuery)
{
  auto response = mExchange.MakeResponse(aQuery, Reactor::ReadClock());
  if (response) {
    response->mVmDigest = mVmDigest;
    response->mViewAddress = mSelf.mPeerAddress;
    LearnEra(mStore->Era());
    response->mStoreEra = mEra;
  }
  return response;
}

/// Notes an era of the store. Returns whether it follows another one.
bool
ViewUpdater::LearnEra(std::uint64_t aEra)
{
  if (aEra <= mEra) {
    return false;
  }
  const bool isRestored = std::exchange(mEra, aEra) != 0;
  mWasRestored = mWasRestored || isRestored;
  return isRestored;
}

void
ViewUpdater::OnStoreRestored()
{
  LearnEra(mStore->Era());
  mWasRestored = true;
  mPoller.ReadAllNow();
}

void
ViewUpdater::OnResponse(const ViewResponse& aResponse)
{
  LearnEra(mStore->Era());
  const bool isOwnViewFormer = LearnEra(aResponse.mStoreEra);
  if (isOwnViewFormer && mListener->RoleForView().mIsReader) {
    mPoller.ReadAllNow();
  }
  // Builds of before state no era, and follow a restored store as if it
  // weren't.
  const bool isBehind =
    aResponse.mStoreEra == 0 ? mWasRestored : aResponse.mStoreEra < mEra;
  if (isBehind) {
    ++mFormerEraResponses;
    return;
  }
  const TimePoint now = Reactor::ReadClock();
  const ViewExchangeResult result = mExchange.OnPeerResponse(aResponse, now);
  OnPeerVersion(aResponse.mVersion, aResponse.mViewAddress);
  // A build that knows no evacuated zones confirms the rows of its
  // configuration by their version only, so its rows may state past zones.
  const bool canShareConfiguration =
    !aResponse.mViewAddress.empty() &&
    (aResponse.mEvacuationDigest != 0 || !mView->HasEvacuations());
  if (result.mShouldReadConfiguration && !canShareConfiguration) {
    mPoller.ReadConfigurationNow();
  }
  if (aResponse.mViewAddress.empty()) {
    // The peer's build shares no views.
    if (result.mShouldReadUpstreams) {
      mPoller.ReadUpstreamsNow();
    }
    return;
  }
  if (result.mShouldReadConfiguration && canShareConfiguration) {
    FetchConfiguration(aResponse.mViewAddress);
  }
  if (result.mShouldReadUpstreams) {
    FetchUpstreams(aResponse.mViewAddress);
  }
  if (aResponse.mVmDigest != 0 && aResponse.mVmDigest == mVmDigest) {
    ConfirmVms();
  } else if (aResponse.mVmDigest != 0) {
    FetchVms(aResponse.mViewAddress);
  }
}

/// Notes the version that a peer holds; logs the first statement of a newer
/// one.
void
ViewUpdater::OnPeerVersion(std::uint64_t aVersion, const std::string& aPeer)
{
  const TimePoint now = Reactor::ReadClock();
  if (mView->OnPeerVersion(aVersion, now)) {
    Log::Info("newer_configuration_heard")
      .Field("version", aVersion)
      .Field("held", mView->Version())
      .Field("view_age_ms", ToMillis(mView->Age(now)))
      .Field("peer", aPeer);
  }
}

/// Counts a read from a peer; logs it if it failed or was one of the
/// configuration, which is read only when it has changed.
void
ViewUpdater::CountPeerRead(const char* aPart,
                           const PeerViewClient::Report& aReport)
{
  PeerReadCounts& counts = mPeerReads[aPart];
  ++counts.mReads;
  counts.mFailures += aReport.mFailure.empty() ? 0 : 1;
  counts.mBytes += aReport.mBytes;
  LogLine line = aReport.mFailure.empty() ? Log::Routine("peer_view_read")
                                          : Log::Info("peer_view_read");
  line.Field("part", aPart)
    .Field("peer", aReport.mPeer)
    .Field("bytes", aReport.mBytes)
    .Field("ms", ToMillis(aReport.mDuration))
    .Field("failure", aReport.mFailure)
    .Field("held", mView->Version())
    .Field("heard", mView->NewestKnown());
}

/// Called when a peer has stated that the known registrations are current. A VM
/// that is missing in them goes on reading the store until it is registered.
void
ViewUpdater::ConfirmVms()
{
  if (mVms && mVms->count(mSelf.mName) > 0) {
    mVmsConfirmedAt = Reactor::ReadClock();
  }
}

/// Reads what has changed from a peer.
void
ViewUpdater::FetchConfiguration(const std::string& aPeer)
{
  if (std::exchange(mIsFetchingConfiguration, true)) {
    return;
  }
  const TimePoint sentAt = Reactor::ReadClock();
  mPeers.FetchConfigurationChange(
    aPeer,
    mHistory.NewestDigest(),
    [this, aPeer, sentAt, alive = mAlive](
      std::optional<ConfigurationChange> aChange,
      const PeerViewClient::Report& aReport) {
      if (!*alive) {
        return;
      }
      if (aReport.mIsUnknownPart) {
        FetchWholeConfiguration(aPeer, sentAt);
        return;
      }
      mIsFetchingConfiguration = false;
      CountPeerRead("configuration", aReport);
      auto rows = aChange ? mHistory.Apply(*aChange) : std::nullopt;
      if (rows) {
        OnPeerConfiguration({ aChange->mAge, std::move(*rows) }, sentAt);
      } else {
        mPoller.ReadConfigurationNow();
      }
    });
}

/// Reads the configuration from a peer whose build knows no changes.
void
ViewUpdater::FetchWholeConfiguration(const std::string& aPeer,
                                     TimePoint aSentAt)
{
  mPeers.FetchConfiguration(
    aPeer,
    [this, aSentAt, alive = mAlive](std::optional<SharedConfiguration> aPart,
                                    const PeerViewClient::Report& aReport) {
      if (!*alive) {
        return;
      }
      mIsFetchingConfiguration = false;
      CountPeerRead("configuration", aReport);
      if (aPart) {
        OnPeerConfiguration(*aPart, aSentAt);
      } else {
        mPoller.ReadConfigurationNow();
      }
    });
}

void
ViewUpdater::OnPeerConfiguration(const SharedConfiguration& aPart,
                                 TimePoint aSentAt)
{
  Reason reason;
  const auto configuration =
    mDecoder->DecodeConfiguration(aPart.mRows, &reason);
  if (configuration == nullptr || aPart.mAge < Duration(0)) {
    Log::Warning("peer_configuration_unreadable").Field("reason", reason.mText);
    mPoller.ReadConfigurationNow();
    return;
  }
  OnConfigurationRead(configuration, aPart.mRows, aSentAt - aPart.mAge);
}

void
ViewUpdater::FetchUpstreams(const std::string& aPeer)
{
  if (std::exchange(mIsFetchingUpstreams, true)) {
    return;
  }
  const TimePoint sentAt = Reactor::ReadClock();
  mPeers.FetchUpstreams(
    aPeer,
    [this, sentAt, alive = mAlive](std::optional<SharedUpstreams> aPart,
                                   const PeerViewClient::Report& aReport) {
      if (!*alive) {
        return;
      }
      mIsFetchingUpstreams = false;
      CountPeerRead("upstreams", aReport);
      if (!aPart || aPart->mAge < Duration(0)) {
        mPoller.ReadUpstreamsNow();
        return;
      }
      const TimePoint confirmedAt = sentAt - aPart->mAge;
      const auto listedAt = mUpstreamList->ListedAt();
      if (!listedAt || *listedAt < confirmedAt) {
        mListener->OnPeerUpstreams(std::move(aPart->mEntries), confirmedAt);
      }
    });
}

void
ViewUpdater::FetchVms(const std::string& aPeer)
{
  if (std::exchange(mIsFetchingVms, true)) {
    return;
  }
  mPeers.FetchVms(
    aPeer,
    [this, alive = mAlive](std::optional<VmRecords> aVms,
                           const PeerViewClient::Report& aReport) {
      if (!*alive) {
        return;
      }
      mIsFetchingVms = false;
      CountPeerRead("vms", aReport);
      if (aVms) {
        mVms = std::move(*aVms);
        mVmDigest = DigestOf(*mVms);
        ConfirmVms();
        mListener->OnVms(*mVms, false);
      }
    });
}

void
ViewUpdater::OnConfigurationRead(
  std::shared_ptr<const RelayConfiguration> aConfiguration,
  std::vector<StoredRow> aRows,
  TimePoint aStartedAt)
{
  const std::uint64_t before = mView->Version();
  mListener->OnConfiguration(aConfiguration, aStartedAt);
  const std::uint64_t newest = mView->NewestKnown();
  if (before < newest && newest <= mView->Version()) {
    Log::Info("configuration_caught_up")
      .Field("version", mView->Version())
      .Field("ms", ToMillis(Reactor::ReadClock() - mView->NewestKnownAt()));
  }
  const bool isHeld = mView->HasStateOf(*aConfiguration);
  if (isHeld && DigestOf(aRows) != DigestOf(mConfigurationRows)) {
    mHistory.Add(aRows);
    mConfigurationRows = std::move(aRows);
  }
}

void
ViewUpdater::OnUpstreamsRead(std::vector<RelayUpstream> aUpstreams,
                             TimePoint aStartedAt)
{
  mListener->OnUpstreams(std::move(aUpstreams), aStartedAt);
}

void
ViewUpdater::OnUpstreamsUnreachable(TimePoint aStartedAt)
{
  mListener->OnUpstreamsUnreachable(aStartedAt);
}

void
ViewUpdater::OnVmsRead(std::vector<StoredRow> aRows)
{
  mVms = VmRegistry::Decode(aRows);
  mVmDigest = DigestOf(*mVms);
  mListener->OnVms(*mVms, true);
}

std::optional<SharedConfiguration>
ViewUpdater::ShareConfiguration()
{
  if (mConfigurationRows.empty()) {
    return std::nullopt;
  }
  return SharedConfiguration{ mView->Age(Reactor::ReadClock()),
                              mConfigurationRows };
}

std::optional<ConfigurationChange>
ViewUpdater::ShareConfigurationChange(std::uint64_t aBaseDigest)
{
  return mHistory.ChangeSince(aBaseDigest, mView->Age(Reactor::ReadClock()));
}

std::optional<SharedUpstreams>
ViewUpdater::ShareUpstreams()
{
  const auto listedAt = mUpstreamList->ListedAt();
  if (!listedAt) {
    return std::nullopt;
  }
  SharedUpstreams part;
  part.mAge = Reactor::ReadClock() - *listedAt;
  for (const auto& [id, entry] : mUpstreamList->All()) {
    part.mEntries.push_back(entry);
  }
  return part;
}

std::optional<VmRecords>
ViewUpdater::ShareVms()
{
  return mVms;
}

} // namespace peridothoist
