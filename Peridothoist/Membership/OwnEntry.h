/// Which entry process runs on a control process's own VM.
///
/// A follow request of a dead instance may have waited in a buffer and be read
/// after one of its successor. So a change of instance counts only when the
/// new one still follows, and the old one doesn't, mSettleAfter later.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Limits of an OwnEntry.
struct OwnEntrySettings
{
  Duration mSettleAfter = std::chrono::seconds(1);
  Duration mSilenceLimit = std::chrono::seconds(3); ///< Then there is none.
};

/// Follows the entry process of this VM by its follow requests.
class OwnEntry
{
public:
  using Settings = OwnEntrySettings;

  explicit OwnEntry(const Settings& aSettings);

  /// The entry process of this VM asked to follow.
  void OnFollow(const std::string& aInstance, bool aLeaving, TimePoint aNow);

  /// The instance that follows; empty: none does.
  std::string Instance(TimePoint aNow) const;

  /// Whether that instance said that it leaves.
  bool IsLeaving() const { return mLeaving; }

private:
  Settings mSettings;
  std::string mInstance;              ///< Settled; empty at first.
  std::optional<TimePoint> mLastFollowAt; ///< Its latest request.
  bool mLeaving = false;              ///< Never goes back for one instance.

  // Another instance that follows but hasn't settled yet.
  std::string mNext;
  TimePoint mNextSince{};
};

} // namespace peridothoist
