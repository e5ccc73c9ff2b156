/// Reads the configuration, the upstreams and the registered VMs from the row
/// store at intervals, and tells what was learned and how old it is.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/RowStore.h>
#include <Peridothoist/Node/ViewDecoder.h>
#include <Peridothoist/Shell/Reactor.h>

#include <set>

namespace peridothoist {

/// Told what reads gave.
class ViewReaderListener
{
public:
  virtual ~ViewReaderListener() = default;

  /// A read that began at aBegan gave a configuration.
  virtual void OnConfigurationRead(
    std::shared_ptr<const RelayConfiguration> aConfiguration,
    TimePoint aBegan) = 0;

  /// A read gave the whole list of upstreams.
  virtual void OnUpstreamsRead(std::vector<RelayUpstream> aUpstreams) = 0;

  /// A read of the list failed.
  virtual void OnUpstreamsUnreachable() = 0;

  /// A read gave the names of all registered VMs.
  virtual void OnVmsRead(std::set<std::string> aNames) = 0;
};

/// Settings of a ViewReader.
struct ViewReaderSettings
{
  Duration mConfigurationInterval = 650ms; ///< Well under the bound in which a
                                           ///< change must be in force.
  Duration mUpstreamInterval = 800ms;      ///< As above, for leaving upstreams.
  Duration mVmInterval = 5s;
  Duration mFollowerVmInterval = 20s;
  /// After a failed read. Doubles with each further one up to the longest: of
  /// the VMs that read for others, of those that are told by them, and of the
  /// names of registered VMs, which are in no hurry.
  Duration mRetryInterval = 100ms;
  Duration mLongestRetry = 200ms;
  Duration mLongestFollowerRetry = 1600ms;
  Duration mLongestVmRetry = 5s;
  std::string mVmTable = "vms"; ///< One row for each registered VM.
};

/// Reads on, until it goes.
class ViewReader
{
public:
  using Settings = ViewReaderSettings;

  /// Nothing is owned.
  ViewReader(const Settings& aSettings,
             Reactor* aReactor,
             RowStore* aStore,
             const ViewDecoder* aDecoder,
             ViewReaderListener* aListener);
  ~ViewReader();

  void Start();

  /// aReadsForAll: peers rely on this VM's reads. Else it follows while
  /// aFollowing: peers confirm the view, and only the registered VMs are read
  /// at intervals.
  void SetRole(bool aReadsForAll, bool aFollowing);

  /// Reads now: a peer has something newer.
  void ReadConfigurationNow() { BeginNow(mConfigurationLoop); }
  void ReadUpstreamsNow() { BeginNow(mUpstreamLoop); }

private:
  using Reader = void (ViewReader::*)();

  /// One table that is read again and again.
  struct Loop
  {
    const char* mName;
    Duration mInterval;
    Reader mRead;
    Reactor::TimerId mTimer = 0;
    TimePoint mBegan = {};       ///< Of the read in hand or the last one.
    bool mInHand = false;        ///< A read has no answer yet.
    std::uint32_t mFailures = 0; ///< Failed reads since the last good one.
  };

  void ReadConfiguration();
  void ReadUpstreams();
  void ReadVms();
  void Next(Loop& aLoop, bool aOk, const Reason& aReason);
  void Begin(Loop& aLoop);
  void BeginNow(Loop& aLoop);
  Duration IntervalOf(const Loop& aLoop) const;
  Duration RetryOf(const Loop& aLoop) const;

  Settings mSettings;
  Reactor* mReactor;
  RowStore* mStore;
  const ViewDecoder* mDecoder;
  ViewReaderListener* mListener;
  Loop mConfigurationLoop;
  Loop mUpstreamLoop;
  Loop mVmLoop;
  /// Versions of rows that couldn't be read, so that each is logged once.
  std::map<std::string, std::uint64_t> mPassedOver;
  bool mReadsForAll = true;
  bool mFollowing = false;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace peridothoist
