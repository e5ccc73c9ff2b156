/// Finds requests that crash the upstreams that run them.
///
/// Everything that ran on an upstream when it crashed is a suspect and is run
/// apart from everything else from then on. A suspect that was the only one
/// on a second upstream that crashed is quarantined: no bystander can explain
/// that crash. One that finishes is cleared. So a crash-causing request takes
/// down two upstreams at most, and of the requests that shared the first with
/// it, none is blamed.
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

  /// A call of it broke, and its upstream's fate isn't known yet.
  void OnBroken(const std::string& aDigest, TimePoint aNow);

  /// The upstream of that call lives after all.
  void OnUpstreamLived(const std::string& aDigest);

  /// An upstream crashed with these on it. Returns what is quarantined now.
  std::vector<std::string> OnCrash(const std::vector<std::string>& aPresent,
                                   TimePoint aNow);

  /// It finished: it doesn't crash what runs it.
  void OnFinished(const std::string& aDigest);

  // From peers
  void Suspect(const std::string& aDigest, TimePoint aUntil, TimePoint aNow);
  void Quarantine(const std::string& aDigest, TimePoint aUntil, TimePoint aNow);

  // For peers
  std::vector<ListedDigest> Quarantined(TimePoint aNow) const;
  std::vector<ListedDigest> Suspects(TimePoint aNow) const;

  void DropExpired(TimePoint aNow);
  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    std::uint32_t mCrashes = 0; ///< At which it was present.
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
