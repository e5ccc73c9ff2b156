/// Exchanges the origins of streams between VMs by the content of their
/// requests, for callers that resume a stream without naming the attempt that
/// began it. Beside StreamOriginExchange, which finds origins by attempt.
///
/// A content has an origin only if enough VMs that kept everything announced
/// during the last mCertainPeriod state it, and none of those that respond
/// states another one. Missing responses may hide a second origin, so all of
/// the VMs are waited for until the timeout.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/StreamOriginReplicas.h>
#include <Peridothoist/Node/OriginCatchUp.h>
#include <Peridothoist/Node/PeerSender.h>
#include <Peridothoist/Node/StreamOriginCodec.h>
#include <Peridothoist/Node/StreamOriginExchange.h>
#include <Peridothoist/Relay/ContentOriginTable.h>
#include <Peridothoist/Shell/Reactor.h>

#include <deque>
#include <set>
#include <unordered_map>

namespace peridothoist {

/// Settings of ContentOriginExchange.
struct ContentOriginExchangeSettings
{
  StreamOriginReplicasSettings mReplicas;
  Duration mRetryInterval = 60ms;  ///< Between queries to the same VM.
  Duration mLookupTimeout = 250ms; ///< From Find() to the result.
  std::size_t mMaxLookups = 10000; ///< Open ones; others find nothing.
  /// Announced again to VMs that become replicas up to this time after.
  Duration mReannouncePeriod = 30s;
  /// Longer than a stream and its announcement precede the attempt that resumes
  /// it.
  Duration mCertainPeriod = 30s;
  /// VMs that must agree, in fleets that have as many. One alone may have
  /// missed the announcement of a second origin.
  std::size_t mMinWitnesses = 2;
  StreamOriginTableSettings mTable;
  OriginCatchUpSettings mCatchUp;
};

/// Counts of the exchange since its start.
struct ContentOriginCounts
{
  std::uint64_t mAnnounced = 0;   ///< Origins of streams begun here.
  std::uint64_t mNoticesSent = 0; ///< Datagrams.
  std::uint64_t mQueriesSent = 0; ///< Datagrams, repeats included.
  std::uint64_t mFound = 0;       ///< Lookups that ended with an origin.
  std::uint64_t mAmbiguous = 0;   ///< Lookups that found several.
  std::uint64_t mUncertain = 0;   ///< Lookups with one, but too few witnesses.
  std::uint64_t mUnknown = 0;     ///< Lookups that found none.
};

/// Announces, keeps and looks up origins by content for one VM.
class ContentOriginExchange : private OriginKeeper
{
public:
  using Settings = ContentOriginExchangeSettings;

  /// aSelf: this VM's registration. The pointers are not owned.
  ContentOriginExchange(const Settings& aSettings,
                        const VmRecord& aSelf,
                        Reactor* aReactor,
                        PeerSender* aSender,
                        StreamOriginListener* aListener);
  ~ContentOriginExchange() override;
  ContentOriginExchange(const ContentOriginExchange&) = delete;
  ContentOriginExchange& operator=(const ContentOriginExchange&) = delete;

  /// Replaces the registered VMs. Sends recent origins of this VM to those that
  /// are to keep them now.
  void SetVms(const VmRecords& aVms);

  /// Called while some VM announces no origins by content.
  void OnUnannounced() { mTable.OnMissed(mReactor->Now()); }

  /// Keeps the origin of a stream that begins here, and sends it to the VMs
  /// that are to keep it before this returns: once the caller has an event, the
  /// loss of this VM must not leave another origin as the only one.
  void Announce(const std::string& aKey, const StreamOrigin& aOrigin);

  /// Looks an origin up. Does nothing if a lookup of the key is open.
  void Find(const std::string& aKey);

  /// Handles a datagram. Returns false if it is not a message of the exchange.
  bool OnMessage(std::string_view aBytes);

  const ContentOriginCounts& Counts() const { return mCounts; }

  const OriginCatchUpCounts& CatchUpCounts() const { return mCatchUp.Counts(); }

private:
  /// An open lookup.
  struct Lookup
  {
    TimePoint mStartedAt;
    /// Addresses of the VMs that have not responded, by the id of the query.
    std::map<std::uint64_t, std::string> mUnanswered;
    std::vector<StreamOrigin> mOrigins; ///< Stated so far, each once.
    std::size_t mWitnesses = 0;         ///< That stated one and are complete.
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
  void Ask(const std::string& aKey, Lookup& aLookup);
  void OnLookupTimer(const std::string& aKey);
  void AddStatement(Lookup& aLookup, const ContentOrigins& aKnown) const;
  void EndLookup(const std::string& aKey);
  std::optional<StreamOrigin> Decide(const Lookup& aLookup);
  void OnQuery(const OriginQuery& aQuery);
  void OnResponse(const ContentOriginResponse& aResponse);

  Settings mSettings;
  std::string mOwnAddress;
  Reactor* mReactor;
  PeerSender* mSender;
  StreamOriginListener* mListener;
  VmRecords mVms; ///< That mReplicas was last set to.
  StreamOriginReplicas mReplicas;
  ContentOriginTable mTable;
  std::deque<Announcement> mAnnouncements;          ///< Oldest first.
  std::unordered_map<std::string, Lookup> mLookups; ///< By key.
  std::uint64_t mLastQueryId;
  OriginCatchUp mCatchUp;
  ContentOriginCounts mCounts;
};

} // namespace peridothoist
