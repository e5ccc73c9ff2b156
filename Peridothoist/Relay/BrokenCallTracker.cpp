#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/BrokenCallTracker.h>

#include <algorithm>

namespace peridothoist {

bool
BrokenCallTracker::OnCallBroken(const std::string& aUpstream,
                                BrokenCall aCall,
                                Duration aInterval)
{
  const TimePoint now = aCall.mBrokenAt;
  std::vector<BrokenCall>& calls = mCalls[aUpstream];
  const auto isExpired = [&](const BrokenCall& aIt) {
    return now - aIt.mBrokenAt > mWindow;
  };
  calls.erase(std::remove_if(calls.begin(), calls.end(), isExpired),
              calls.end());
  const bool isFirst =
    calls.empty() || now - calls.back().mBrokenAt >= aInterval;
  calls.push_back(std::move(aCall));
  return isFirst;
}

bool
BrokenCallTracker::HasBroken(const std::string& aUpstream, TimePoint aNow) const
{
  const auto it = mCalls.find(aUpstream);
  return it != mCalls.end() && !it->second.empty() &&
         aNow - it->second.back().mBrokenAt <= mWindow;
}

std::vector<BrokenCall>
BrokenCallTracker::OnLost(const std::string& aUpstream, TimePoint aNow)
{
  std::vector<BrokenCall> present;
  const auto it = mCalls.find(aUpstream);
  if (it == mCalls.end()) {
    return present;
  }
  for (BrokenCall& each : it->second) {
    if (aNow - each.mBrokenAt <= mWindow) {
      present.push_back(std::move(each));
    }
  }
  mCalls.erase(it);
  return present;
}

} // namespace peridothoist
