/// Cancels that upstreams have not acknowledged. An attempt that ends leaves
/// its entry here, so that no engine memory stays held when a cancel or its
/// answer is lost.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/EntryCoreSettings.h>
#include <Peridothoist/Request/RequestCommand.h>
#include <Peridothoist/Routing/UpstreamState.h>

#include <set>

namespace peridothoist {

/// Sends cancels until they are acknowledged or the upstream is gone.
class CancelLedger
{
public:
  explicit CancelLedger(const EntryCoreSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Begins a cancel. aMayOvertake: a call of the attempt is still open and
  /// may reach the upstream after the cancel; it is sent again later.
  void Add(const std::string& aUpstream,
           const std::string& aAddress,
           const AttemptKey& aKey,
           bool aMayOvertake,
           TimePoint aNow,
           RequestCommands& aOut);

  /// Takes an answer. True when the upstream acknowledged.
  bool OnAnswer(const std::string& aUpstream,
                const AttemptKey& aKey,
                bool aOk,
                TimePoint aNow);

  /// The open call of an ended attempt was answered: the upstream may hold
  /// something again.
  void OnLateAnswer(const AttemptKey& aKey,
                    TimePoint aNow,
                    RequestCommands& aOut);

  /// Sends what is due.
  void OnTick(TimePoint aNow, RequestCommands& aOut);

  /// The upstream is gone for good.
  void Drop(const std::string& aUpstream);

  /// The upstream answers again: sends all its cancels at once.
  void Hurry(const std::string& aUpstream,
             TimePoint aNow,
             RequestCommands& aOut);

  /// Upstreams with open cancels.
  std::set<std::string> Upstreams() const;
  std::optional<TimePoint> Next() const;
  std::size_t Size() const { return mEntries.size(); }
  std::uint64_t Sent() const { return mSent; }

private:
  /// Ordered so that an upstream's entries stand together.
  struct Place
  {
    std::string mUpstream;
    AttemptKey mKey;

    bool operator<(const Place& aOther) const
    {
      return mUpstream != aOther.mUpstream ? mUpstream < aOther.mUpstream
                                           : mKey < aOther.mKey;
    }
  };

  struct Entry
  {
    std::string mAddress;
    bool mRepeat = false; ///< Once more after the acknowledgement.
    bool mAsked = false;  ///< Sent, and no answer came yet.
    Duration mDelay{ 0 }; ///< To the next try.
    TimePoint mDueAt;
  };

  /// When an entry is to be sent.
  struct Due
  {
    TimePoint mAt;
    Place mPlace;

    bool operator<(const Due& aOther) const
    {
      return mAt != aOther.mAt ? mAt < aOther.mAt : mPlace < aOther.mPlace;
    }
  };

  using Entries = std::map<Place, Entry>;

  void Send(const Place& aPlace,
            Entry& aEntry,
            TimePoint aNow,
            RequestCommands& aOut);
  void SetDue(const Place& aPlace, Entry& aEntry, TimePoint aAt);
  void Erase(Entries::iterator aIt);

  const EntryCoreSettings& mSettings;
  Entries mEntries;
  std::map<AttemptKey, std::set<std::string>> mUpstreams; ///< By attempt.
  std::set<Due> mDue; ///< One for each entry.
  std::uint64_t mSent = 0;
};

} // namespace peridothoist
