/// Remembers which requests' calls broke at which upstream, so that they can be
/// named when the upstream is found to have crashed.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Breaks of the last moments, by upstream.
class CrashWatch
{
public:
  /// A call that broke up to aWindow before its upstream was found gone was
  /// present at the crash.
  explicit CrashWatch(Duration aWindow)
    : mWindow(aWindow)
  {
  }

  /// A call of this request broke there.
  void OnBroken(const std::string& aUpstream,
                const std::string& aDigest,
                TimePoint aNow);

  /// The upstream is gone: the requests that were present, which are forgotten
  /// here.
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
