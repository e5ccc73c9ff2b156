/// Keeps the origins of this VM's open streams in the row store, one row a VM,
/// so that they outlive all VMs. Origins are written only for services whose
/// record doesn't tell them, as while several software versions serve.
///
/// Origins are kept by attempt, whose id names one stream, so an origin that is
/// found is certain whatever the age of its row.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/RowStore.h>
#include <Peridothoist/Relay/StreamOriginTable.h>
#include <Peridothoist/Shell/Reactor.h>

#include <set>

namespace peridothoist {

/// Settings of OpenStreamStore.
struct OpenStreamStoreSettings
{
  std::string mTable = "open_streams"; ///< Keyed by VM.
  /// Streams that begin within this time go into one write. The loss of all VMs
  /// loses the origins of this time.
  Duration mMinWriteInterval = 50ms;
  /// The interval is at least this for each registered VM, which bounds the
  /// writes of all VMs together.
  Duration mWriteIntervalPerVm = 10ms;
  /// An origin is kept for this long after its stream began or went on; longer
  /// than a stream lasts.
  Duration mRetention = 30s;
  std::size_t mMaxRowBytes = 48 * 1024; ///< The newest origins that fit.
  Duration mRetryInterval = 500ms;      ///< After a failed call.
  /// Rows of VMs that have not written for this long are removed when a VM
  /// reads them.
  Duration mRowRetention = 10min;
};

/// Counts since the start.
struct OpenStreamCounts
{
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  std::uint64_t mFailures = 0;     ///< Of reads and writes.
  std::uint64_t mOriginsFound = 0; ///< Of lookups.
};

/// The origins of open streams, of this VM and in the store.
class OpenStreamStore
{
public:
  using Settings = OpenStreamStoreSettings;

  /// aVm: name of this VM. The pointers are not owned.
  OpenStreamStore(const Settings& aSettings,
                  const std::string& aVm,
                  Reactor* aReactor,
                  RowStore* aStore);
  ~OpenStreamStore();
  OpenStreamStore(const OpenStreamStore&) = delete;
  OpenStreamStore& operator=(const OpenStreamStore&) = delete;

  /// Sets the services whose streams' origins are to outlive all VMs.
  void SetServices(std::set<std::string> aServices);

  /// Sets the number of registered VMs.
  void SetVmCount(std::size_t aCount) { mVmCount = aCount; }

  /// Called when a stream has begun or goes on at this VM. aKey: of the attempt
  /// that began it.
  void OnOpened(const std::string& aKey, const StreamOrigin& aOrigin);

  /// Called when a stream has been sent to its end.
  void OnEnded(const std::string& aKey) { mOpen.erase(aKey); }

  /// Called when the store was restored from a copy.
  void OnStoreRestored();

  /// Reads the rows of all VMs, and calls aCallback after that. A read that has
  /// started already is followed by another.
  void Read(std::function<void()> aCallback);

  /// Calls aCallback when no read is in progress or asked for any more.
  void WhenRead(std::function<void()> aCallback);

  /// Returns the origin of a stream by the rows as they were last read.
  std::optional<StreamOrigin> Find(const std::string& aKey);

  const OpenStreamCounts& Counts() const { return mCounts; }
  std::size_t OpenCount() const { return mOpen.size(); }

private:
  struct Open
  {
    StreamOrigin mOrigin;
    TimePoint mOpenedAt; ///< Or went on, or was read from a former process.
  };

  bool IsNeeded(const Open& aOpen) const;
  void RemoveOld();
  Duration WriteInterval() const;
  void ScheduleWrite(Duration aDelay);
  void Write();
  void OnWritten(const Reason& aReason, const StoreVersion& aVersion);
  std::string EncodeRow();
  void StartRead();
  void OnRows(const std::vector<StoredRow>& aRows);
  void AdoptOwnRow(const StoredRow& aRow);
  void RemoveStaleRow(const StoredRow& aRow);
  void FinishRead();

  Settings mSettings;
  std::string mVm;
  Reactor* mReactor;
  RowStore* mStore;
  std::set<std::string> mServices;
  std::size_t mVmCount = 1;
  std::map<std::string, Open> mOpen; ///< By key.
  TimePoint mRemovedOldAt;           ///< When old ones were removed last.

  // The rows
  std::map<std::string, StreamOrigin> mStored; ///< By key, as last read.
  StoreVersion mOwnVersion; ///< Of the own row; not set: there is none.
  /// The own row is known, with what a former process has left in it.
  bool mKnowsOwnRow = false;
  bool mIsDirty = false; ///< Origins are missing in the own row.
  bool mIsWriting = false;
  TimePoint mWrittenAt; ///< Start of the last write.
  Reactor::TimerId mWriteTimer = 0;
  bool mIsReading = false;
  /// Called after the read in progress, and after the one that follows.
  std::vector<std::function<void()>> mWaiting;
  std::vector<std::function<void()>> mWaitingForNext;
  OpenStreamCounts mCounts;
  /// Set to false by the destructor; checked by pending callbacks.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace peridothoist
