/// Detects requests that crash the upstreams that run them.
///
/// Every request that runs on an upstream when it crashes becomes a suspect
/// and is run in isolation from then on. A suspect that was present at two
/// crashes, and was the only request at one of them, is quarantined: no other
/// request can have caused that crash. A suspect that finishes is cleared. A
/// request that causes crashes therefore crashes at most two upstreams, and
/// the requests that shared the first one with it are not quarantined. Where
/// requests can't be isolated, one that was present at three crashes without
/// finishing in between is quarantined as well.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <unordered_map>

namespace peridothoist {

/// Limits of SuspectTable.
struct SuspectTableSettings
{
  Duration mSuspicionDuration = 10min;
  Duration mQuarantineDuration = 10min;
  /// With more entries, the one that expires soonest is evicted.
  std::size_t mMaxEntries = 16384;
};

/// One suspect or quarantined request, as sent to peers.
struct SuspectSummary
{
  std::string mDigest;
  TimePoint mExpiresAt;       ///< End of the suspicion or quarantine.
  std::uint32_t mCrashes = 0; ///< Crashes at which it was present.
};

/// Holds the suspects and the quarantined requests, by the digest of
/// workspace, route and body.
class SuspectTable
{
public:
  using Settings = SuspectTableSettings;

  explicit SuspectTable(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  bool IsSuspect(const std::string& aDigest, TimePoint aNow) const;
  /// Returns the end of the quarantine, or nullopt if the request isn't
  /// quarantined.
  std::optional<TimePoint> QuarantinedUntil(const std::string& aDigest,
                                            TimePoint aNow) const;

  /// Called when a call of the request breaks and it isn't known yet whether
  /// the upstream crashed. If OnBreakResolved() isn't called by aUntil, the
  /// break doesn't count as a crash.
  void OnCallBroken(const std::string& aDigest,
                    TimePoint aUntil,
                    TimePoint aNow);

  /// Called when it is known whether the upstream of such a call crashed. If
  /// it did, OnCrash() must be called, too.
  void OnBreakResolved(const std::string& aDigest, bool aCrashed);

  /// Returns whether the request would reach the quarantine limit if all its
  /// undecided breaks turned out to be crashes. Such a request must not be run
  /// before they are decided.
  bool MustDefer(const std::string& aDigest, TimePoint aNow) const;

  /// Called when an upstream crashed while the requests aPresent ran on it.
  /// Returns those that are quarantined by this crash.
  std::vector<std::string> OnCrash(const std::vector<std::string>& aPresent,
                                   TimePoint aNow);

  /// Called when the request finished, which clears the suspicion.
  void OnFinished(const std::string& aDigest);

  // Updates from peers.

  /// Adds or extends a suspicion. aCrashes is the number of crashes at which
  /// the request was present, as far as the peer knows.
  void AddSuspect(const std::string& aDigest,
                  TimePoint aUntil,
                  TimePoint aNow,
                  std::uint32_t aCrashes = 1);
  /// Adds or extends a quarantine.
  void AddQuarantine(const std::string& aDigest,
                     TimePoint aUntil,
                     TimePoint aNow);

  // Lists to send to peers.

  std::vector<SuspectSummary> ListQuarantined(TimePoint aNow) const;
  /// Returns the suspects that were present at a crash and aren't quarantined.
  std::vector<SuspectSummary> ListSuspects(TimePoint aNow) const;

  void DropExpired(TimePoint aNow);
  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    std::uint32_t mCrashes = 0;         ///< Crashes at which it was present.
    std::uint32_t mUndecidedBreaks = 0; ///< Breaks that may be crashes.
    TimePoint mUndecidedUntil;  ///< After this, undecided breaks don't count.
    bool mCrashedAlone = false; ///< It was the only request at some crash.
    bool mQuarantined = false;
    TimePoint mExpiresAt; ///< When the entry is removed.
  };

  const Entry* Find(const std::string& aDigest, TimePoint aNow) const;
  /// Returns the entry, which is valid until aUntil at least. Evicts another
  /// one when the table is full.
  Entry& FindOrCreate(const std::string& aDigest,
                      TimePoint aUntil,
                      TimePoint aNow);
  std::vector<SuspectSummary> List(bool aQuarantined, TimePoint aNow) const;

  Settings mSettings;
  std::unordered_map<std::string, Entry> mEntries;
};

} // namespace peridothoist
