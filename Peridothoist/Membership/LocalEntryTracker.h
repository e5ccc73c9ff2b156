/// Tracks which entry process runs on a control process's own VM.
///
/// A follow request of a dead instance may have waited in a buffer and be read
/// after one of its successor. A new instance is therefore accepted only if it
/// still sends follow requests after mSettleAfter and the old one has sent none
/// in between.
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
  void OnFollow(const std::string& aInstance, bool aIsLeaving, TimePoint aNow);

  /// Returns the entry instance that sends follow requests, or an empty string
  /// when none does.
  std::string Instance(TimePoint aNow) const;

  /// Returns whether that instance has reported that it leaves.
  bool IsLeaving() const { return mIsLeaving; }

private:
  Settings mSettings;
  std::string mInstance; ///< The accepted instance; empty at first.
  std::optional<TimePoint> mLastFollowAt; ///< Time of its last follow request.
  bool mIsLeaving = false; ///< Never goes back to false for one instance.

  // Another instance that sends follow requests but isn't accepted yet.
  std::string mCandidate;
  TimePoint mCandidateSince{};
};

} // namespace peridothoist
