/// Keeps the records of the services' software versions in the row store, one
/// row for each service, and tells this VM what they state. VMs that read the
/// store for others write a record when the set of listed versions changes; the
/// others read the table when they list a version that is not recorded, and
/// write only if nobody else has for mTakeOverDelay.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/RowStore.h>
#include <Peridothoist/Relay/SoftwareVersions.h>
#include <Peridothoist/Relay/UpstreamList.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Receives what is read.
class ServiceVersionListener
{
public:
  virtual ~ServiceVersionListener() = default;

  /// Called after each successful read. See SoftwareVersions::OnRead().
  virtual void OnServiceVersionsRead(VersionsByService aRecords,
                                     std::optional<std::uint64_t> aNowMs,
                                     TimePoint aStartedAt) = 0;

  /// Called when no record can be kept: the store has not answered since this
  /// VM's start for mMaxUnknownTime, states no clock or refuses the record.
  /// Streams that can be resumed may begin at any version.
  virtual void OnServiceVersionsUnavailable() = 0;
};

/// Settings of ServiceVersionStore.
struct ServiceVersionStoreSettings
{
  std::string mTable = "service_versions";
  Duration mRetryInterval = 200ms; ///< Between reads while a record is missing.
  Duration mTakeOverDelay = 600ms; ///< Until a VM writes that is no reader.
  /// A version stays recorded as listed for this long after its last upstream,
  /// so that an entry that expires and returns causes no writes.
  Duration mRemovalDelay = 5s;
  /// Without an answer of the store for this long after the start, streams
  /// begin at any version: otherwise callers would be refused for as long as
  /// the store is out. The record misses a version then only until the store
  /// answers, and only the loss of all VMs before that makes it matter.
  Duration mMaxUnknownTime = 2s;
  /// Between reads after that.
  Duration mLateRetryInterval = 1s;
};

/// Counts since the start.
struct ServiceVersionCounts
{
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  std::uint64_t mConflicts = 0; ///< Writes that another VM came before.
};

/// The records in the store, for one VM.
class ServiceVersionStore
{
public:
  using Settings = ServiceVersionStoreSettings;

  /// The pointers are not owned.
  ServiceVersionStore(const Settings& aSettings,
                      Reactor* aReactor,
                      RowStore* aStore,
                      const UpstreamList* aUpstreams,
                      ServiceVersionListener* aListener);
  ~ServiceVersionStore();
  ServiceVersionStore(const ServiceVersionStore&) = delete;
  ServiceVersionStore& operator=(const ServiceVersionStore&) = delete;

  /// Called after each read or confirmation of the upstream list. aIsReader:
  /// this VM reads the store for others.
  void Update(bool aIsReader);

  /// Reads the records. A read that has started already is followed by another.
  void Refresh();

  /// Called when the store was restored from a copy: records may be missing or
  /// older than they were.
  void OnStoreRestored();

  /// Calls aCallback when the read that Refresh() asked for is over.
  void WhenRead(std::function<void()> aCallback);

  const ServiceVersionCounts& Counts() const { return mCounts; }

private:
  /// A record as it was read.
  struct Row
  {
    ServiceVersions mRecord;
    StoreVersion mVersion;
  };

  void StartRead();
  void OnRows(std::optional<std::vector<StoredRow>> aRows,
              const Reason& aReason,
              TimePoint aStartedAt);
  void OnWritten(const std::string& aService, const Reason& aReason);
  bool IsOfEra(const ServiceVersions& aRecord, std::uint64_t aEra) const;
  bool IsRunningFor(Duration aTime) const;
  void OnReadFailed(const Reason& aReason);
  void FinishRead();
  ListedVersions RecentlyListed();
  bool IsMissing(const ListedVersions& aListed) const;
  void WriteChanges(const ListedVersions& aListed, bool aMayRemove);
  void Write(const std::string& aService, const std::set<std::string>& aListed);
  void ScheduleRetry();

  Settings mSettings;
  Reactor* mReactor;
  RowStore* mStore;
  const UpstreamList* mUpstreams;
  ServiceVersionListener* mListener;
  std::map<std::string, Row> mRows; ///< By service.
  /// When each version was last listed, by service.
  std::map<std::string, std::map<std::string, TimePoint>> mListedAt;
  std::set<std::string> mWriting; ///< Services whose row is being written.
  TimePoint mStartedAt;
  std::optional<TimePoint> mMissingSince; ///< A listed version is not recorded.
  bool mIsReader = false;
  bool mWasRead = false;
  bool mWasRestored = false; ///< The store was, since this VM's start.
  bool mIsReading = false;
  bool mReadsAgain = false; ///< Another read follows the one in progress.
  /// Called after the read in progress, and after the one that follows.
  std::vector<std::function<void()>> mWaiting;
  std::vector<std::function<void()>> mWaitingForNext;
  bool mIsRefused = false; ///< The store refused to write a record.
  Reactor::TimerId mTimer = 0;
  ServiceVersionCounts mCounts;
  /// Set to false by the destructor; checked by pending callbacks.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace peridothoist
