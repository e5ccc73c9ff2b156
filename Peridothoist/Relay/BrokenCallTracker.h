/// Remembers the requests whose calls broke recently, by upstream, so that they
/// become suspects when the upstream turns out to have crashed.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

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

  /// Called when a call of this request broke at the upstream.
  void OnCallBroken(const std::string& aUpstream,
                    const std::string& aDigest,
                    TimePoint aNow);

  /// Called when the upstream is gone. Returns the digests of the requests that
  /// were present at the crash, and forgets its broken calls.
  std::vector<std::string> OnLost(const std::string& aUpstream, TimePoint aNow);

private:
  struct Break
  {
    std::string mDigest;
    TimePoint mAt;
  };

  Duration mWindow;
  std::map<std::string, std::vector<Break>> mBreaks; ///< By upstream.
};

} // namespace peridothoist
