/// Finds requests that crash the upstreams that run them.
///
/// Everything that ran on an upstream when it crashed is a suspect and is run
/// apart from everything else from then on. One that was present at two
/// crashes, and at one of them alone, is quarantined: no bystander can explain
/// that crash. One that finishes is cleared. So a crash-causing request takes
/// down two upstreams at most, and of the requests that shared the first with
/// it, none is blamed. Where requests aren't run apart, one that was present at
/// three crashes without finishing in between is quarantined all the same.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <unordered_map>

namespace peridothoist {

/// Limits of the table.
struct SuspectTableSettings
{
  Duration mSuspicionLasts = 10min;
  Duration mQuarantineLasts = 10min;
  std::size_t mMaxEntries = 16384; ///< The soonest to expire go first.
};

/// One digest as listed for peers.
struct ListedDigest
{
  std::string mDigest;
  TimePoint mUntil;
  std::uint32_t mCrashes = 0; ///< At which it was present.
};

/// Suspects and quarantined requests by digest of workspace, route and body.
class SuspectTable
{
public:
  using Settings = SuspectTableSettings;

  explicit SuspectTable(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  bool IsSuspect(const std::string& aDigest, TimePoint aNow) const;
  /// When the quarantine ends; nothing when it isn't quarantined.
  std::optional<TimePoint> QuarantinedUntil(const std::string& aDigest,
                                            TimePoint aNow) const;

  /// A call of it broke, and whether its upstream crashed isn't known yet. If
  /// nothing is heard of the upstream until aUntil, it did not.
  void OnBroken(const std::string& aDigest, TimePoint aUntil, TimePoint aNow);

  /// The upstream of such a call lives after all, or it crashed; OnCrash()
  /// follows in that case.
  void OnBreakDecided(const std::string& aDigest, bool aCrashed);

  /// Whether one more crash would be too many, if all breaks that are not
  /// decided yet turn out to be crashes. It is not run before they are.
  bool MustWait(const std::string& aDigest, TimePoint aNow) const;

  /// An upstream crashed with these on it. Returns what is quarantined now.
  std::vector<std::string> OnCrash(const std::vector<std::string>& aPresent,
                                   TimePoint aNow);

  /// It finished: it doesn't crash what runs it.
  void OnFinished(const std::string& aDigest);

  // From peers
  /// It was present at aCrashes crashes, as far as a peer knows.
  void Suspect(const std::string& aDigest,
               TimePoint aUntil,
               TimePoint aNow,
               std::uint32_t aCrashes = 1);
  void Quarantine(const std::string& aDigest, TimePoint aUntil, TimePoint aNow);

  // For peers
  std::vector<ListedDigest> Quarantined(TimePoint aNow) const;
  std::vector<ListedDigest> Suspects(TimePoint aNow) const;

  void DropExpired(TimePoint aNow);
  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    std::uint32_t mCrashes = 0;    ///< At which it was present.
    std::uint32_t mOpenBreaks = 0; ///< Not decided yet.
    TimePoint mBreaksUntil;        ///< After this they count no longer.
    bool mAlone = false;           ///< At one of them nothing else was present.
    bool mQuarantined = false;
    TimePoint mUntil; ///< When the entry is dropped.
  };

  const Entry* Find(const std::string& aDigest, TimePoint aNow) const;
  Entry& Touch(const std::string& aDigest, TimePoint aUntil, TimePoint aNow);
  std::vector<ListedDigest> List(bool aQuarantined, TimePoint aNow) const;

  Settings mSettings;
  std::unordered_map<std::string, Entry> mEntries;
};

} // namespace peridothoist
