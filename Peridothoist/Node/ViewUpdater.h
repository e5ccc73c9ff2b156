/// Keeps this VM's view current: the configuration, the upstreams and the
/// registered VMs. Few VMs read the store; the others ask these whether their
/// own view is still current and read what has changed from them. A VM whose
/// view gets too old reads the store by itself.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/CellMembership.h>
#include <Peridothoist/Node/ConfigurationHistory.h>
#include <Peridothoist/Node/PeerViews.h>
#include <Peridothoist/Node/ViewPoller.h>
#include <Peridothoist/Relay/ViewExchange.h>

namespace peridothoist {

/// Receives changes of the view and answers for the VM's place in the fleet.
class ViewUpdaterListener
{
public:
  virtual ~ViewUpdaterListener() = default;

  /// Called when a configuration was read or confirmed. aConfirmedAt: it was
  /// current at that time or later.
  virtual void OnConfiguration(
    std::shared_ptr<const RelayConfiguration> aConfiguration,
    TimePoint aConfirmedAt) = 0;

  /// Called with the upstreams after each read of the store, which was started
  /// at aStartedAt.
  virtual void OnUpstreams(std::vector<RelayUpstream> aUpstreams,
                           TimePoint aStartedAt) = 0;

  /// Called with the upstreams that a peer holds.
  virtual void OnPeerUpstreams(std::vector<UpstreamList::Entry> aEntries,
                               TimePoint aConfirmedAt) = 0;

  /// Called when a read of the upstreams has failed that was started at
  /// aStartedAt.
  virtual void OnUpstreamsUnreachable(TimePoint aStartedAt) = 0;

  /// Called with the registered VMs. aFromStore: as the store has them now.
  virtual void OnVms(const VmRecords& aVms, bool aFromStore) = 0;

  /// Returns how this VM keeps its view current.
  virtual ViewRole RoleForView() = 0;

  /// Sends a view query to a peer, "ip:port".
  virtual void SendViewQuery(const std::string& aPeer) = 0;
};

/// Settings of ViewUpdater.
struct ViewUpdaterSettings
{
  ViewPollerSettings mPoller;
  Duration mQueryInterval = 350ms; ///< Between queries to peers.
  /// A VM that asks readers reads the store itself when its view is older than
  /// this. Must exceed the intervals of reads and queries together, and be well
  /// below the time within which changes must take effect.
  Duration mMaxAge = 1300ms;
  /// The same for a VM that asks another which asks a reader. Exceeds mMaxAge
  /// by more than a query interval: when the readers fail, the VM that is asked
  /// reads first, and the others need not.
  Duration mMaxIndirectAge = 1700ms;

  /// Derives the intervals from the time within which a change must be in force
  /// everywhere.
  void SetChangeLimit(Duration aLimit);
};

/// Reads of one part of a view from peers, for metrics.
struct PeerReadCounts
{
  std::uint64_t mReads = 0;
  std::uint64_t mFailures = 0;
  std::uint64_t mBytes = 0; ///< Received, also by reads that failed.
};

/// Keeps the view of one VM current.
class ViewUpdater
  : public ViewPollerListener
  , public PeerViewSource
{
public:
  using Settings = ViewUpdaterSettings;

  /// aSelf: this VM, whose peer address is also where peers read its view. None
  /// of the pointers is owned.
  ViewUpdater(const Settings& aSettings,
              const VmRecord& aSelf,
              Reactor* aReactor,
              HttpClient* aClient,
              RowStore* aStore,
              const ViewDecoder* aDecoder,
              ConfirmedView* aView,
              UpstreamList* aUpstreamList,
              ViewUpdaterListener* aListener);
  ~ViewUpdater() override;

  /// Starts reading the store.
  void Start() { mPoller.Start(); }

  /// Starts querying peers. Called when the VM's role is known.
  void StartQueries() { Update(); }

  /// Changes the intervals and the limit of the age.
  void SetSettings(const Settings& aSettings);

  /// Schedules a read of the registered VMs.
  void RereadVms() { mPoller.RereadVms(); }

  /// Returns the response to a peer's query, or nullopt while the view is
  /// incomplete.
  std::optional<ViewResponse> OnQuery(const ViewQuery& aQuery);

  /// Handles a peer's response. One that follows a former era of the store
  /// confirms nothing: the peer may not see what was written since.
  void OnResponse(const ViewResponse& aResponse);

  /// Called when this VM's own calls show that the store was restored.
  void OnStoreRestored();

  /// Returns the reads from peers by the part that was read.
  const std::map<std::string, PeerReadCounts>& PeerReads() const
  {
    return mPeerReads;
  }

  /// Returns how many responses were ignored since they follow a former era.
  std::uint64_t FormerEraResponses() const { return mFormerEraResponses; }

  /// Returns the newest era of the store that is known here; 0: none.
  std::uint64_t StoreEra() const { return mEra; }

  // See: ViewPollerListener
  void OnConfigurationRead(
    std::shared_ptr<const RelayConfiguration> aConfiguration,
    std::vector<StoredRow> aRows,
    TimePoint aStartedAt) override;
  void OnUpstreamsRead(std::vector<RelayUpstream> aUpstreams,
                       TimePoint aStartedAt) override;
  void OnUpstreamsUnreachable(TimePoint aStartedAt) override;
  void OnVmsRead(std::vector<StoredRow> aRows) override;

  // See: PeerViewSource
  std::optional<SharedConfiguration> ShareConfiguration() override;
  std::optional<ConfigurationChange> ShareConfigurationChange(
    std::uint64_t aBaseDigest) override;
  std::optional<SharedUpstreams> ShareUpstreams() override;
  std::optional<VmRecords> ShareVms() override;

private:
  void Update();
  bool LearnEra(std::uint64_t aEra);
  void ConfirmVms();
  Duration Age() const;
  Duration MaxAge(const ViewRole& aRole) const;
  void SendQuery(const ViewRole& aRole);
  void FetchConfiguration(const std::string& aPeer);
  void FetchWholeConfiguration(const std::string& aPeer, TimePoint aSentAt);
  void FetchUpstreams(const std::string& aPeer);
  void FetchVms(const std::string& aPeer);
  void OnPeerConfiguration(const SharedConfiguration& aPart, TimePoint aSentAt);
  void OnPeerVersion(std::uint64_t aVersion, const std::string& aPeer);
  void CountPeerRead(const char* aPart, const PeerViewClient::Report& aReport);

  Settings mSettings;
  VmRecord mSelf;
  Reactor* mReactor;
  const ViewDecoder* mDecoder;
  ConfirmedView* mView;
  UpstreamList* mUpstreamList;
  ViewUpdaterListener* mListener;
  ViewExchange mExchange;
  ViewPoller mPoller;
  PeerViewClient mPeers;
  std::vector<StoredRow> mConfigurationRows; ///< Of the version in mView.
  ConfigurationHistory mHistory;             ///< Its newest are these rows.
  std::optional<VmRecords> mVms;
  std::uint64_t mVmDigest = 0;
  TimePoint mVmsConfirmedAt; ///< When a peer last stated mVmDigest.
  RowStore* mStore;
  std::uint64_t mEra = 0;    ///< Newest of the store that is known here.
  bool mWasRestored = false; ///< The store was, since this VM learned an era.
  std::uint64_t mFormerEraResponses = 0; ///< Of peers that know a former one.
  bool mIsFetchingConfiguration = false;
  bool mIsFetchingUpstreams = false;
  bool mIsFetchingVms = false;
  std::size_t mQueriesSent = 0;                     ///< Selects the next peer.
  std::map<std::string, PeerReadCounts> mPeerReads; ///< By part.
  Reactor::TimerId mTimer = 0;
  /// Set to false by the destructor; checked by pending callbacks.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace peridothoist
