#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UpstreamReach.h>

#include <algorithm>

namespace peridothoist {

bool
UpstreamReach::OnConnected()
{
  mUnreached.clear();
  mAvoidedPeers.clear();
  return std::exchange(mIsCutOff, false);
}

bool
UpstreamReach::OnNotConnected(const std::string& aUpstream,
                              std::size_t aListed,
                              TimePoint aNow)
{
  if (mUnreached.empty()) {
    mNextCheck = aNow + mSettings.mFirstCheckDelay;
  }
  mUnreached.insert(aUpstream);
  const std::size_t needed =
    std::max<std::size_t>(1, std::min(mSettings.mMinUnreached, aListed));
  const bool isCutOff = mUnreached.size() >= needed;
  return isCutOff && !std::exchange(mIsCutOff, true);
}

void
UpstreamReach::Forget(const std::string& aUpstream)
{
  const bool wasLast = mUnreached.erase(aUpstream) > 0 && mUnreached.empty();
  if (wasLast) {
    mIsCutOff = false;
  }
}

void
UpstreamReach::OnPeerFailed(const std::string& aAddress, TimePoint aNow)
{
  mAvoidedPeers[aAddress] = aNow + mSettings.mPeerAvoidance;
}

std::string
UpstreamReach::ChooseTunnel(const std::string& aZone,
                            TimePoint aNow,
                            Random* aRandom) const
{
  std::vector<std::string> own;
  std::vector<std::string> others;
  const auto peers =
    mPeers == nullptr ? std::vector<TunnelPeer>() : mPeers->FindTunnelPeers();
  for (const TunnelPeer& it : peers) {
    const auto avoided = mAvoidedPeers.find(it.mAddress);
    if (avoided == mAvoidedPeers.end() || avoided->second <= aNow) {
      (it.mZone == aZone ? own : others).push_back(it.mAddress);
    }
  }
  const auto& candidates = own.empty() ? others : own;
  return candidates.empty()
           ? std::string()
           : candidates[aRandom->UniformBelow(candidates.size())];
}

std::optional<TimePoint>
UpstreamReach::NextCheck() const
{
  return IsInDoubt() ? std::optional(mNextCheck) : std::nullopt;
}

void
UpstreamReach::OnCheckStarted(TimePoint aNow)
{
  mNextCheck = aNow + mSettings.mCheckInterval;
}

} // namespace peridothoist
