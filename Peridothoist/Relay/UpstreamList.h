/// Holds the upstreams that may be sent requests, as of the last read of the
/// platform's list. Entries that expired during an outage of the list are kept
/// for a time after it.
///
/// Invariant: an upstream whose process stated that it leaves counts as leaving
/// for as long as that process is listed, whatever the list says, and again if
/// the list drops and restores it. Upstreams of an evacuated zone count as
/// evacuated in every list.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/StoreVersion.h>
#include <Peridothoist/Relay/UpstreamLoadTracker.h>
#include <Peridothoist/Relay/SoftwareVersions.h>

#include <algorithm>
#include <set>
#include <tuple>

namespace peridothoist {

/// The part of a request that an upstream serves.
enum class RelayStage
{
  Plain,   ///< Serves whole requests.
  Prefill, ///< Reads prompts for decode engines.
  Decode   ///< Generates output; can read prompts too.
};

const char*
ToName(RelayStage aStage);

/// Longer times for which an upstream stays cold are not told apart.
constexpr Duration kMaxColdTime = 1h;

/// Returns the time for which an upstream stays cold, as it is stated in
/// milliseconds.
inline Duration
ColdTimeFromMillis(std::uint64_t aMillis)
{
  using std::chrono::milliseconds;
  const std::uint64_t max = milliseconds(kMaxColdTime / 1ms).count();
  return milliseconds(std::min(aMillis, max));
}

/// An entry of the upstream list.
struct RelayUpstream
{
  std::string mId;
  std::string mService;
  std::string mAddress; ///< "ip:port".
  std::string mZone;
  RelayStage mStage = RelayStage::Plain;
  std::uint32_t mSlots = 1;         ///< Requests that it runs concurrently.
  bool mIsLeaving = false;          ///< Gets no new requests: listed or stated.
  std::uint64_t mIncarnationId = 0; ///< New with each start; 0: unknown.
  std::string mSoftwareVersion;     ///< Empty: not stated.
  /// Time for which it stays cold, as of the confirmation of the list.
  Duration mColdRemaining{ 0 };
  bool mIsEvacuated = false; ///< Its availability zone gets nothing.
  /// Increases with each write of the entry; not set: not read by this VM
  /// itself.
  StoreVersion mEntryVersion;
  /// Its version is recorded, so streams that can be resumed may begin at it.
  bool mMayBeginStreams = true;

  /// Returns whether it may be sent requests.
  bool AcceptsRequests() const { return !mIsLeaving && !mIsEvacuated; }
};

/// Returns the pool that the upstream belongs to.
UpstreamPool
PoolOf(const RelayUpstream& aUpstream);

/// Identifies one process of an upstream.
struct UpstreamProcess
{
  std::string mUpstream;            ///< Id.
  std::uint64_t mIncarnationId = 0; ///< See RelayUpstream.

  bool operator<(const UpstreamProcess& aOther) const
  {
    return std::tie(mUpstream, mIncarnationId) <
           std::tie(aOther.mUpstream, aOther.mIncarnationId);
  }
  bool operator==(const UpstreamProcess& aOther) const
  {
    return std::tie(mUpstream, mIncarnationId) ==
           std::tie(aOther.mUpstream, aOther.mIncarnationId);
  }
};

/// Adds the processes of aFrom that aTo lacks.
void
MergeProcesses(std::vector<UpstreamProcess>& aTo,
               const std::vector<UpstreamProcess>& aFrom);

/// An upstream that is gone or was restarted.
struct UpstreamLoss
{
  std::string mId;
  bool mWasLeaving = false; ///< It had announced that it leaves.
};

/// Settings of UpstreamList.
struct UpstreamListSettings
{
  /// Entries that expired during an outage of the list are written again within
  /// this time after its end; upstreams still missing then are gone.
  Duration mMissingGracePeriod = 2s;
  /// After a longer time without confirmation of the list, upstreams may have
  /// served that were never in it.
  Duration mMaxConfirmationGap = 5s;
  /// What a process stated is kept for this long after it was last listed;
  /// longer than a list is out of date.
  Duration mStatementRetention = 10min;
  /// Statements are reported to other VMs for this long.
  Duration mStatementReportPeriod = 10s;
};

/// Holds the upstream list.
class UpstreamList
{
public:
  using Settings = UpstreamListSettings;

  explicit UpstreamList(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Replaces the list by the result of a read that was started at aStartedAt;
  /// nullopt: now. The list counts as confirmed then: what was registered later
  /// may be missing. A read that was started before the list was confirmed is
  /// dropped. Returns the lost upstreams.
  std::vector<UpstreamLoss> OnListRead(
    std::vector<RelayUpstream> aUpstreams,
    TimePoint aNow,
    std::optional<TimePoint> aStartedAt = std::nullopt);

  /// An upstream that is listed or kept after an outage.
  struct Entry
  {
    RelayUpstream mUpstream;
    bool mIsMissing = false; ///< Missing from the last list.
    bool mIsListedAsLeaving = false;
  };

  /// Replaces the list by that of a peer, which was confirmed at aConfirmedAt.
  /// Entries that the peer only keeps are not taken back. Returns the lost
  /// upstreams.
  std::vector<UpstreamLoss> OnPeerList(std::vector<Entry> aEntries,
                                       TimePoint aConfirmedAt);

  /// Called when a process of an upstream stated in a response that it leaves.
  /// Returns whether that was not known.
  bool OnLeavingStated(const UpstreamProcess& aProcess, TimePoint aNow);

  /// Called with what other VMs were told. Returns the processes of which that
  /// was not known.
  std::vector<UpstreamProcess> OnPeerLeaving(
    const std::vector<UpstreamProcess>& aProcesses,
    TimePoint aNow);

  /// Returns the processes that stated recently to this VM that they leave.
  std::vector<UpstreamProcess> OwnLeaving(TimePoint aNow) const;

  /// Called when a read of the list failed that was started at aStartedAt; the
  /// last list stays in use.
  void OnUnreachable(TimePoint aStartedAt, TimePoint aNow);

  /// Called when the list's store was restored from an older copy of it. What
  /// upstreams have written since is written again within mMissingGracePeriod:
  /// until then entries may be missing, and those of leaving processes may be
  /// back as they were before.
  void OnRestored(TimePoint aNow);

  /// Returns null when the upstream is not listed.
  const RelayUpstream* Find(const std::string& aId) const;

  /// Returns whether the upstream may be sent new requests.
  bool AcceptsRequests(const std::string& aId) const
  {
    const RelayUpstream* upstream = Find(aId);
    return upstream != nullptr && upstream->AcceptsRequests();
  }

  /// Sets the availability zones that are evacuated. Returns the upstreams in
  /// zones that no longer are.
  std::vector<std::string> SetEvacuatedZones(std::set<std::string> aZones);
  const std::set<std::string>& EvacuatedZones() const
  {
    return mEvacuatedZones;
  }

  /// Lets streams that can be resumed begin only at upstreams of these
  /// versions; nullopt: of any.
  void SetRecordedVersions(std::optional<ListedVersions> aVersions);

  /// Returns the versions of the listed upstreams by service.
  ListedVersions Versions() const;

  /// Returns whether the list was confirmed within mMaxConfirmationGap.
  bool IsCurrent(TimePoint aNow) const
  {
    return mListedAt && aNow <= *mListedAt + mSettings.mMaxConfirmationGap;
  }

  /// Returns whether the entry is missing from the list since an outage and
  /// still kept.
  bool IsMissing(const std::string& aId) const;

  /// Returns all entries by id.
  const std::map<std::string, Entry>& All() const { return mEntries; }

  /// Called when a peer confirmed this list as of aAt.
  void Confirm(TimePoint aAt)
  {
    if (mListedAt) {
      OnConfirmed(aAt);
      OnPeerConfirmed(aAt);
    }
  }

  /// Returns the software version of the service's upstreams if all that were
  /// listed from aSince to aUntil state the same one; nullopt if they don't, or
  /// if it is not known what was listed for all of that time. A list that was
  /// last confirmed before aUntil doesn't tell what has been listed since.
  std::optional<std::string> SoleVersion(const std::string& aService,
                                         TimePoint aSince,
                                         TimePoint aUntil) const;

  /// Returns a digest of the list; equal lists have equal digests. What
  /// upstreams stated does not count.
  std::uint64_t Digest() const { return mDigest; }

  /// Returns when the list was last confirmed; nullopt before the first read.
  std::optional<TimePoint> ListedAt() const { return mListedAt; }

private:
  struct Statement
  {
    TimePoint mStatedAt;
    TimePoint mListedAt; ///< When the process was last listed, or stated it.
    bool mIsOwn = false; ///< It was stated to this VM.
  };

  std::vector<UpstreamLoss> Replace(std::map<std::string, Entry> aEntries,
                                    TimePoint aListedAt);
  bool RememberLeaving(const UpstreamProcess& aProcess,
                       bool aIsOwn,
                       TimePoint aNow);
  void ApplyStatements(TimePoint aListedAt);
  bool IsListedAsLeaving(const RelayUpstream& aUpstream) const;
  void ApplyEvacuation();
  void ApplyRecordedVersions();
  void OnConfirmed(TimePoint aAt);
  void OnPeerConfirmed(TimePoint aAt);
  void AgeColdTimes(Duration aAge);
  void RememberVersions();

  Settings mSettings;
  /// Entries with mIsMissing are kept for lack of knowledge: they may have
  /// expired while the list was away for all. Such an entry was in this VM's
  /// list, or in the first one that it got; a VM that knows that an entry is
  /// gone never takes it back from one that keeps it. Lists that differ in what
  /// is only kept have different digests, so a list in which an entry is kept
  /// never confirms one in which it is listed.
  std::map<std::string, Entry> mEntries;
  std::set<std::string> mEvacuatedZones;
  std::optional<ListedVersions> mRecordedVersions;
  std::map<UpstreamProcess, Statement> mStatedLeaving;
  std::optional<TimePoint> mListedAt;
  TimePoint mKnownSince; ///< No longer gap between confirmations since then.
  /// When each software version of a service was last listed, among the lists
  /// that were replaced.
  std::map<std::string, std::map<std::string, TimePoint>> mVersionsBefore;
  std::uint64_t mDigest = 0;
  /// When reads began to fail that have not succeeded since.
  std::optional<TimePoint> mUnreachableSince;
  std::optional<TimePoint> mPeerConfirmedAt; ///< Latest, by another VM.
  /// Reads have failed here after others were served: nothing has expired.
  bool mIsTurnedAway = false;
  TimePoint mKeepMissingUntil; ///< mMissingGracePeriod after the last outage.
  TimePoint mKeepLeavingUntil; ///< The same after the last restoration.
};

} // namespace peridothoist
