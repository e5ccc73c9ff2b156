/// Tracks the cancels that upstreams have not acknowledged yet. When an attempt
/// ends, its cancels are resent from here until they are acknowledged, so that
/// no engine memory stays reserved when a cancel or its response is lost.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/EntryCoreSettings.h>
#include <Peridothoist/Request/RequestCommand.h>
#include <Peridothoist/Routing/UpstreamState.h>

#include <set>

namespace peridothoist {

/// Sends cancels until they are acknowledged or the upstream is removed.
class CancelTracker
{
public:
  explicit CancelTracker(const EntryCoreSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Sends a cancel and tracks it. aMayOvertake: a call of the attempt is still
  /// open and may reach the upstream after the cancel, which is therefore sent
  /// a second time later.
  void Add(const std::string& aUpstream,
           const std::string& aAddress,
           const AttemptKey& aKey,
           bool aMayOvertake,
           TimePoint aNow,
           RequestCommands& aOut);

  /// Handles the result of a cancel. Returns true if the upstream acknowledged
  /// it.
  bool OnResult(const std::string& aUpstream,
                const AttemptKey& aKey,
                bool aOk,
                TimePoint aNow);

  /// Called when the open call of an ended attempt succeeded late: the upstream
  /// may hold resources again, so the cancels are sent again.
  void OnLateResult(const AttemptKey& aKey,
                    TimePoint aNow,
                    RequestCommands& aOut);

  /// Sends the cancels that are due.
  void OnTick(TimePoint aNow, RequestCommands& aOut);

  /// Drops the cancels of an upstream that has been removed.
  void RemoveUpstream(const std::string& aUpstream);

  /// Sends all cancels of an upstream immediately. Called when it responds
  /// again.
  void ResendAll(const std::string& aUpstream,
                 TimePoint aNow,
                 RequestCommands& aOut);

  /// Returns the upstreams with open cancels.
  std::set<std::string> Upstreams() const;

  /// Returns when OnTick() is next due; nullopt if no cancel is open.
  std::optional<TimePoint> NextDueTime() const;
  std::size_t OpenCount() const { return mEntries.size(); }
  std::uint64_t SentCount() const { return mSentCount; }

private:
  /// Key of an entry. Ordered so that the entries of an upstream are adjacent.
  struct EntryKey
  {
    std::string mUpstream;
    AttemptKey mKey;

    bool operator<(const EntryKey& aOther) const
    {
      return mUpstream != aOther.mUpstream ? mUpstream < aOther.mUpstream
                                           : mKey < aOther.mKey;
    }
  };

  /// An open cancel.
  struct Entry
  {
    std::string mAddress;
    bool mSendAgain = false;      ///< Is sent again after the acknowledgement.
    bool mAwaitsResponse = false; ///< Sent, and no result received yet.
    Duration mRetryDelay{ 0 };    ///< Delay of the next resend.
    TimePoint mDueAt;             ///< Time of the next resend.
  };

  /// When an entry is to be sent next.
  struct Due
  {
    TimePoint mAt;
    EntryKey mEntryKey;

    bool operator<(const Due& aOther) const
    {
      return mAt != aOther.mAt ? mAt < aOther.mAt
                               : mEntryKey < aOther.mEntryKey;
    }
  };

  using Entries = std::map<EntryKey, Entry>;

  void Send(const EntryKey& aEntryKey,
            Entry& aEntry,
            TimePoint aNow,
            RequestCommands& aOut);
  void SetDue(const EntryKey& aEntryKey, Entry& aEntry, TimePoint aAt);
  void Erase(Entries::iterator aIt);

  const EntryCoreSettings& mSettings;
  Entries mEntries;
  /// Upstreams with open cancels, by attempt.
  std::map<AttemptKey, std::set<std::string>> mUpstreams;
  std::set<Due> mDue;           ///< One element for each entry.
  std::uint64_t mSentCount = 0; ///< All cancels sent, including resent ones.
};

} // namespace peridothoist
