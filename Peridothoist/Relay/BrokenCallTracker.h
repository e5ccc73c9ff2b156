/// Remembers the calls that broke recently, by upstream, so that the contents
/// of their requests become suspects when the upstream turns out to have
/// crashed.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// A call that broke before its response was complete.
struct BrokenCall
{
  std::uint64_t mProcess = 0;         ///< Identifies the upstream's process.
  std::vector<std::string> mContents; ///< That may have caused a crash.
  std::uint64_t mWorkspace = 0;       ///< Digest of the workspace's name.
  TimePoint mStartedAt;
  TimePoint mBrokenAt;
};

/// Recently broken calls, by upstream.
class BrokenCallTracker
{
public:
  /// A call that broke up to aWindow before its upstream was found gone counts
  /// as present at the crash.
  explicit BrokenCallTracker(Duration aWindow)
    : mWindow(aWindow)
  {
  }

  /// Called when a call broke at the upstream. Returns whether it is the first
  /// one within aInterval, so that the upstream is worth a check.
  bool OnCallBroken(const std::string& aUpstream,
                    BrokenCall aCall,
                    Duration aInterval);

  /// Returns whether calls broke at the upstream within the window.
  bool HasBroken(const std::string& aUpstream, TimePoint aNow) const;

  /// Called when the upstream is gone. Returns the calls that broke at the
  /// crash, and forgets them.
  std::vector<BrokenCall> OnLost(const std::string& aUpstream, TimePoint aNow);

private:
  Duration mWindow;
  std::map<std::string, std::vector<BrokenCall>> mCalls; ///< By upstream.
};

} // namespace peridothoist
