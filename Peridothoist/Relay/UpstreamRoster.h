/// The upstreams that may get work, as the last reads of their list say, and
/// what becomes of entries that are missing from it.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// What an upstream does for relayed requests.
enum class RelayStage
{
  Plain,   ///< Answers whole.
  Prefill, ///< Reads prompts for decode engines.
  Decode   ///< Generates, and reads prompts itself when it must.
};

const char*
ToName(RelayStage aStage);

/// One upstream as it is listed.
struct RelayUpstream
{
  std::string mId;
  std::string mService;
  std::string mAddress; ///< "ip:port".
  std::string mZone;
  RelayStage mStage = RelayStage::Plain;
  std::uint32_t mSlots = 1; ///< Requests that it runs at once.
  bool mLeaving = false;    ///< Gets no new work.
  std::uint64_t mBorn = 0; ///< Its start, for telling starts apart; 0: unknown.
};

/// An upstream that is gone or was started anew.
struct UpstreamLoss
{
  std::string mId;
  bool mExpected = false; ///< It had said that it leaves.
};

/// Settings of an UpstreamRoster.
struct UpstreamRosterSettings
{
  /// Entries that lapsed during an outage of the list are written again within
  /// this time after its end; what is still missing then is gone.
  Duration mReturnTime = 2s;
};

/// Holds the list.
class UpstreamRoster
{
public:
  using Settings = UpstreamRosterSettings;

  explicit UpstreamRoster(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// A read gave the whole list. Returns what was lost.
  std::vector<UpstreamLoss> OnListed(std::vector<RelayUpstream> aUpstreams,
                                     TimePoint aNow);

  /// A read of the list failed: the last one holds.
  void OnUnreachable() { mUnreachable = true; }

  /// Null when it isn't listed.
  const RelayUpstream* Find(const std::string& aId) const;

  /// Whether new work may go to it.
  bool TakesWork(const std::string& aId) const
  {
    const RelayUpstream* upstream = Find(aId);
    return upstream != nullptr && !upstream->mLeaving;
  }

  /// Whether its entry is missing since an outage and may come back.
  bool IsLapsed(const std::string& aId) const;

  /// All that are listed, by id.
  struct Entry
  {
    RelayUpstream mUpstream;
    bool mLapsed = false;
  };
  const std::map<std::string, Entry>& All() const { return mEntries; }

  /// A peer confirmed this list as of aAt.
  void Confirm(TimePoint aAt)
  {
    if (mListedAt) {
      mListedAt = std::max(*mListedAt, aAt);
    }
  }

  /// Of all that matters in the list; equal lists have equal ones.
  std::uint64_t Digest() const { return mDigest; }

  /// As of when the list is known; nothing before the first read.
  std::optional<TimePoint> ListedAt() const { return mListedAt; }

private:
  Settings mSettings;
  std::map<std::string, Entry> mEntries;
  std::optional<TimePoint> mListedAt;
  std::uint64_t mDigest = 0;
  bool mUnreachable = false;   ///< The last read failed.
  TimePoint mKeepMissingUntil; ///< End of mReturnTime after an outage.
};

} // namespace peridothoist
