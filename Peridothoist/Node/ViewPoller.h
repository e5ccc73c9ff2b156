/// Polls the row store for the configuration, the upstreams and the registered
/// VMs, and reports the results and their age.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/RowStore.h>
#include <Peridothoist/Node/ViewDecoder.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Receives the results of reads.
class ViewPollerListener
{
public:
  virtual ~ViewPollerListener() = default;

  /// Called after each successful read of the configuration. aRows: as read.
  /// aStartedAt: start of the read.
  virtual void OnConfigurationRead(
    std::shared_ptr<const RelayConfiguration> aConfiguration,
    std::vector<StoredRow> aRows,
    TimePoint aStartedAt) = 0;

  /// Called after each successful read of the upstreams, with the complete
  /// list. aStartedAt: start of the read.
  virtual void OnUpstreamsRead(std::vector<RelayUpstream> aUpstreams,
                               TimePoint aStartedAt) = 0;

  /// Called when a read of the upstreams has failed that was started at
  /// aStartedAt.
  virtual void OnUpstreamsUnreachable(TimePoint aStartedAt) = 0;

  /// Called after each successful read of the registered VMs, one row each.
  virtual void OnVmsRead(std::vector<StoredRow> aRows) = 0;
};

/// Settings of a ViewPoller.
struct ViewPollerSettings
{
  /// Must be well below the time within which a change of the configuration
  /// must be in force.
  Duration mConfigurationInterval = 650ms;
  /// Must be well below the time within which a leaving upstream must be
  /// avoided.
  Duration mUpstreamInterval = 800ms;
  Duration mVmInterval = 5s;
  Duration mFollowerVmInterval = 20s; ///< While peers confirm the view.
  /// Between this VM's registration and the next read of the registered VMs.
  /// In a fleet that starts, most others register within this time.
  Duration mVmRereadDelay = 1200ms;
  /// Delay of the first retry after a failed read. It doubles with each further
  /// failure up to one of the following limits.
  Duration mRetryInterval = 100ms;
  Duration mMaxRetryInterval = 200ms;          ///< If peers rely on its reads.
  Duration mMaxFollowerRetryInterval = 1600ms; ///< Otherwise.
  Duration mMaxVmRetryInterval = 5s;           ///< Registered VMs; less urgent.
  std::string mVmTable = "vms"; ///< One row for each registered VM.
};

/// Polls the tables from Start() until its destruction.
class ViewPoller
{
public:
  using Settings = ViewPollerSettings;

  /// The pointers are not owned.
  ViewPoller(const Settings& aSettings,
             Reactor* aReactor,
             RowStore* aStore,
             const ViewDecoder* aDecoder,
             ViewPollerListener* aListener);
  ~ViewPoller();

  void Start();

  /// Sets the role of this VM. aReadsForAll: whether peers rely on its reads.
  /// aFollowing: whether peers confirm its configuration and upstreams, so that
  /// it does not poll these. aFollowingVms: the same for the registered VMs.
  void SetRole(bool aReadsForAll, bool aFollowing, bool aFollowingVms);

  /// Sets the intervals between reads.
  void SetIntervals(Duration aConfiguration, Duration aUpstreams);

  /// Schedules a read of the registered VMs after mVmRereadDelay.
  void RereadVms();

  /// Starts reads of all tables immediately; called when the store was restored
  /// from a copy.
  void ReadAllNow();

  /// Start a read immediately; called when a peer has a newer view.
  void ReadConfigurationNow() { StartRead(mConfigurationLoop); }
  void ReadUpstreamsNow() { StartRead(mUpstreamLoop); }

private:
  using ReadMethod = void (ViewPoller::*)();

  /// State of the polling of one table.
  struct PollLoop
  {
    const char* mName;
    Duration mInterval;
    ReadMethod mReadMethod;
    Reactor::TimerId mTimer = 0;
    TimePoint mStartedAt = {};   ///< Of the current or last read.
    bool mIsReading = false;     ///< A read is in progress.
    std::uint32_t mFailures = 0; ///< Consecutive failed reads.
  };

  void ReadConfiguration();
  void ReadUpstreams();
  void ReadVms();
  void FinishRead(PollLoop& aLoop, bool aSucceeded, const Reason& aReason);
  std::shared_ptr<const RelayConfiguration> Decode(
    const std::vector<StoredRow>& aRows,
    Reason* aReason);
  void LogSlowRead(const PollLoop& aLoop, TimePoint aReadAt) const;
  void StartReadUnlessFollowing(PollLoop& aLoop);
  void StartRead(PollLoop& aLoop);
  Duration PollInterval(const PollLoop& aLoop) const;
  Duration RetryDelay(const PollLoop& aLoop) const;

  Settings mSettings;
  Reactor* mReactor;
  RowStore* mStore;
  const ViewDecoder* mDecoder;
  ViewPollerListener* mListener;
  PollLoop mConfigurationLoop;
  PollLoop mUpstreamLoop;
  PollLoop mVmLoop;
  /// Versions of invalid rows by key, to log each version once only.
  std::map<std::string, StoreVersion> mSkippedRowVersions;
  /// The last configuration read; null: the last rows were not valid.
  std::shared_ptr<const RelayConfiguration> mConfiguration;
  std::uint64_t mConfigurationDigest = 0; ///< Of its rows; 0: none were read.
  bool mReadsForAll = true;
  bool mIsFollowing = false;
  bool mIsFollowingVms = false;
  /// Set to false by the destructor; checked by pending callbacks.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace peridothoist
