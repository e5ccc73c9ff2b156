/// Suspect and quarantined requests: those that were running on an upstream
/// when it died, as reported by entries and propagated by peers. Each message
/// carries the age of an entry, so that it expires at about the same time
/// everywhere.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <peer.pb.h>

namespace peridothoist {

/// Limits of a QuarantineTable.
struct QuarantineTableSettings
{
  std::size_t mMaxEntries = 4096; ///< Further entries are dropped.
  Duration mMaxDuration = std::chrono::hours(1); ///< Longer ones are shortened.
};

/// Table of unexpired entries by request digest.
class QuarantineTable
{
public:
  using Settings = QuarantineTableSettings;
  using Messages = google::protobuf::RepeatedPtrField<peer::QuarantineEntry>;

  explicit QuarantineTable(const Settings& aSettings);

  /// Merges reported entries. Returns true if one of them was unknown, or is
  /// now quarantined instead of suspect.
  bool Merge(const Messages& aMessages, TimePoint aNow);

  /// Adds all unexpired entries to a message.
  void AppendTo(Messages& aMessages, TimePoint aNow) const;

  /// Removes expired entries.
  void Expire(TimePoint aNow);

  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    TimePoint mReportedAt; ///< Time of the original report, on any VM.
    TimePoint mExpiresAt;
    bool mIsSuspect = true; ///< Present at only one upstream death.
  };

  bool MergeEntry(const peer::QuarantineEntry& aMessage, TimePoint aNow);

  Settings mSettings;
  std::map<std::string, Entry> mEntries; ///< By digest.
};

} // namespace peridothoist
