#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/BrokenCallTracker.h>

#include <algorithm>

namespace peridothoist {

void
BrokenCallTracker::OnCallBroken(const std::string& aUpstream,
                                const std::string& aDigest,
                                TimePoint aNow)
{
  std::vector<Break>& breaks = mBreaks[aUpstream];
  const auto isExpired = [&](const Break& aBreak) {
    return aNow - aBreak.mAt > mWindow;
  };
  breaks.erase(std::remove_if(breaks.begin(), breaks.end(), isExpired),
               breaks.end());
  breaks.push_back({ aDigest, aNow });
}

std::vector<std::string>
BrokenCallTracker::OnLost(const std::string& aUpstream, TimePoint aNow)
{
  std::vector<std::string> present;
  const auto it = mBreaks.find(aUpstream);
  if (it == mBreaks.end()) {
    return present;
  }
  for (const Break& each : it->second) {
    if (aNow - each.mAt <= mWindow) {
      present.push_back(each.mDigest);
    }
  }
  mBreaks.erase(it);
  return present;
}

} // namespace peridothoist
