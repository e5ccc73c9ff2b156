/// Exchanges the origins of streams between VMs, so that every VM can find out
/// at which service and software version a stream began, also after the loss of
/// the VM that began it. A VM sends each origin to a few VMs that depend on the
/// key only, and asks these VMs for origins that it does not know.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/StreamOriginReplicas.h>
#include <Peridothoist/Node/OriginCatchUp.h>
#include <Peridothoist/Node/PeerSender.h>
#include <Peridothoist/Node/StreamOriginCodec.h>
#include <Peridothoist/Relay/StreamOriginTable.h>
#include <Peridothoist/Shell/Reactor.h>

#include <deque>
#include <set>
#include <unordered_map>

namespace peridothoist {

/// Receives the results of lookups.
class StreamOriginListener
{
public:
  virtual ~StreamOriginListener() = default;

  /// Called once for each lookup that Find() has started, possibly within
  /// Find(). aOrigin: nullopt if no VM that was asked knows it.
  virtual void OnOriginFound(const std::string& aKey,
                             std::optional<StreamOrigin> aOrigin) = 0;
};

/// Settings of StreamOriginExchange.
struct StreamOriginExchangeSettings
{
  StreamOriginReplicasSettings mReplicas;
  /// Notices to the same VM within this time go out in one datagram; 0: each
  /// goes out immediately.
  Duration mBatchDelay = 10ms;
  Duration mRetryInterval = 60ms;  ///< Between queries to the same VM.
  Duration mLookupTimeout = 250ms; ///< From Find() to the result "unknown".
  std::size_t mMaxLookups = 10000; ///< Open ones; others find nothing.
  /// VMs that become replicas of a key receive its origin from the VM that
  /// announced it, up to this time after the announcement.
  Duration mReannouncePeriod = 30s;
  StreamOriginTableSettings mTable;
  OriginCatchUpSettings mCatchUp;
};

/// Counts of the exchange since its start.
struct StreamOriginCounts
{
  std::uint64_t mAnnounced = 0;       ///< Origins of streams begun here.
  std::uint64_t mNoticesSent = 0;     ///< Datagrams.
  std::uint64_t mOriginsReceived = 0; ///< In notices from other VMs.
  std::uint64_t mQueriesSent = 0;     ///< Datagrams, repeats included.
  std::uint64_t mQueriesReceived = 0;
  std::uint64_t mFoundHere = 0;    ///< Lookups answered from the own table.
  std::uint64_t mFoundAtPeers = 0; ///< Lookups answered by another VM.
  std::uint64_t mUnknown = 0;      ///< Lookups that ended without an origin.
  std::uint64_t mRefused = 0;      ///< Lookups beyond the limit.
};

/// Announces, keeps and looks up the origins of streams for one VM.
class StreamOriginExchange : private OriginKeeper
{
public:
  using Settings = StreamOriginExchangeSettings;

  /// aSelf: this VM's registration. The pointers are not owned.
  StreamOriginExchange(const Settings& aSettings,
                       const VmRecord& aSelf,
                       Reactor* aReactor,
                       PeerSender* aSender,
                       StreamOriginListener* aListener);
  ~StreamOriginExchange() override;
  StreamOriginExchange(const StreamOriginExchange&) = delete;
  StreamOriginExchange& operator=(const StreamOriginExchange&) = delete;

  /// Replaces the registered VMs. Sends recent origins of this VM to those that
  /// are to keep them now.
  void SetVms(const VmRecords& aVms);

  /// Keeps the origin of a stream that began here, and sends it to the VMs that
  /// are to keep it.
  void Announce(const std::string& aKey, const StreamOrigin& aOrigin);

  /// Looks an origin up. Does nothing if a lookup of the key is open.
  void Find(const std::string& aKey);

  /// Handles a datagram. Returns false if it is not a message of the exchange.
  bool OnMessage(std::string_view aBytes);

  const StreamOriginCounts& Counts() const { return mCounts; }
  std::size_t OpenLookups() const { return mLookups.size(); }

  const OriginCatchUpCounts& CatchUpCounts() const { return mCatchUp.Counts(); }

private:
  /// An open lookup.
  struct Lookup
  {
    TimePoint mStartedAt;
    std::size_t mAsked = 0; ///< VMs.
    /// Addresses of the VMs that have not responded, by the id of the query.
    std::map<std::uint64_t, std::string> mUnanswered;
    Reactor::TimerId mTimer = 0;
  };

  /// An origin that this VM has announced.
  struct Announcement
  {
    TimePoint mAt;
    KeyedStreamOrigin mOrigin;
    std::set<std::string> mSentTo; ///< Addresses.
  };

  void SendToReplicas(Announcement& aAnnouncement);
  void RemoveOldAnnouncements();
  // See: OriginKeeper
  void SendKeptTo(const VmRecord& aVm) override;
  void AddToBatch(const std::string& aAddress,
                  const KeyedStreamOrigin& aOrigin);
  void SendBatches();
  void SendNotice(const std::string& aAddress, const OriginNotice& aNotice);
  void StartLookup(const std::string& aKey);
  void Ask(const std::string& aKey, Lookup& aLookup);
  void OnLookupTimer(const std::string& aKey);
  void EndLookup(const std::string& aKey, std::optional<StreamOrigin> aOrigin);
  void Learn(const std::string& aKey, const StreamOrigin& aOrigin);
  void OnQuery(const OriginQuery& aQuery);
  void OnResponse(const OriginResponse& aResponse);

  Settings mSettings;
  std::string mOwnAddress;
  Reactor* mReactor;
  PeerSender* mSender;
  StreamOriginListener* mListener;
  VmRecords mVms; ///< That mReplicas was last set to.
  StreamOriginReplicas mReplicas;
  StreamOriginTable mTable;
  std::deque<Announcement> mAnnouncements;      ///< Oldest first.
  std::map<std::string, OriginNotice> mBatches; ///< By address.
  Reactor::TimerId mBatchTimer = 0;
  std::unordered_map<std::string, Lookup> mLookups; ///< By key.
  std::uint64_t mLastQueryId;
  OriginCatchUp mCatchUp;
  StreamOriginCounts mCounts;
};

} // namespace peridothoist
