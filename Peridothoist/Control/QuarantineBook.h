/// Requests that were present at upstream deaths, as entries told of them and
/// as peers spread them. Ages add up on the way; an entry ends when its time
/// is over.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <peer.pb.h>

namespace peridothoist {

/// Limits of a QuarantineBook.
struct QuarantineBookSettings
{
  std::size_t mMaxEntries = 4096;             ///< Beyond: new ones are dropped.
  Duration mMaxLasts = std::chrono::hours(1); ///< Longer is cut to this.
};

/// Keeps the digests that are in force.
class QuarantineBook
{
public:
  using Settings = QuarantineBookSettings;
  using Messages = google::protobuf::RepeatedPtrField<peer::QuarantineEntry>;

  explicit QuarantineBook(const Settings& aSettings);

  /// Takes what was told; true when anything was new.
  bool Merge(const Messages& aMessages, TimePoint aNow);

  /// Adds all that is in force to a message.
  void Fill(Messages& aMessages, TimePoint aNow) const;

  /// Drops what is over.
  void Expire(TimePoint aNow);

  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    TimePoint mSince; ///< When it was first told, anywhere.
    TimePoint mEnds;
    bool mSuspect = true; ///< Present at one death only.
  };

  bool MergeOne(const peer::QuarantineEntry& aMessage, TimePoint aNow);

  Settings mSettings;
  std::map<std::string, Entry> mEntries; ///< By digest.
};

} // namespace peridothoist
