/// Tracks which entry process runs on a control process's own VM.
///
/// A follow request of a dead instance may have waited in a buffer and be read
/// after one of its successor. A change of instance therefore counts only
/// when, mSettleAfter later, the new instance still sends follow requests and
/// the old one doesn't.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Time limits of LocalEntryTracker.
struct LocalEntryTrackerSettings
{
  Duration mSettleAfter = std::chrono::seconds(1); ///< See above.
  /// Time after the last follow request from which no entry counts as running.
  Duration mSilenceLimit = std::chrono::seconds(3);
};

/// Tracks the entry process of this VM by its follow requests.
class LocalEntryTracker
{
public:
  using Settings = LocalEntryTrackerSettings;

  explicit LocalEntryTracker(const Settings& aSettings);

  /// Called when an entry process of this VM sends a follow request.
  void OnFollow(const std::string& aInstance, bool aLeaving, TimePoint aNow);

  /// Returns the instance that follows, or an empty string when none does.
  std::string Instance(TimePoint aNow) const;

  /// Returns whether that instance has reported that it leaves.
  bool IsLeaving() const { return mLeaving; }

private:
  Settings mSettings;
  std::string mInstance; ///< The settled instance; empty at first.
  std::optional<TimePoint> mLastFollowAt; ///< Time of its last request.
  bool mLeaving = false; ///< Never goes back to false for one instance.

  // Another instance that follows but hasn't settled yet.
  std::string mCandidate;
  TimePoint mCandidateSince{};
};

} // namespace peridothoist
