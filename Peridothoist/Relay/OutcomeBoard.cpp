#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/OutcomeBoard.h>

#include <algorithm>
#include <cmath>

namespace peridothoist {

void
OutcomeBoard::OnOutcome(const std::string& aUpstream,
                        bool aFailed,
                        TimePoint aNow)
{
  Own& own = mOwn[aUpstream];
  own = { CountsAt(own, aNow), aNow };
  (aFailed ? own.mCounts.mFailed : own.mCounts.mGood) += 1;
}

CallCounts
OutcomeBoard::CountsAt(const Own& aOwn, TimePoint aNow) const
{
  using Seconds = std::chrono::duration<double>;
  const double halves = Seconds(aNow - aOwn.mAt) / Seconds(mSettings.mHalfLife);
  const double part = std::exp2(-halves);
  return { aOwn.mCounts.mFailed * part, aOwn.mCounts.mGood * part };
}

void
OutcomeBoard::OnPeer(const std::string& aPeer, CountsByUpstream aCounts)
{
  const auto old = mPeers.find(aPeer);
  if (old != mPeers.end()) {
    for (const auto& [id, counts] : old->second) {
      CallCounts& sum = mPeerSums[id];
      sum.mFailed -= counts.mFailed;
      sum.mGood -= counts.mGood;
      if (sum.mFailed <= mSettings.mLeastTold / 2) {
        mPeerSums.erase(id); // Only rounding is left.
      }
    }
    mPeers.erase(old);
  }
  if (aCounts.empty()) {
    return;
  }
  for (const auto& [id, counts] : aCounts) {
    CallCounts& sum = mPeerSums[id];
    sum.mFailed += counts.mFailed;
    sum.mGood += counts.mGood;
  }
  mPeers[aPeer] = std::move(aCounts);
}

CountsByUpstream
OutcomeBoard::Failing(TimePoint aNow) const
{
  std::vector<std::pair<double, std::string>> worst;
  std::size_t called = 0;
  for (const auto& [id, own] : mOwn) {
    const CallCounts counts = CountsAt(own, aNow);
    called += counts.mFailed + counts.mGood >= mSettings.mLeastTold ? 1 : 0;
    if (counts.mFailed >= mSettings.mLeastTold) {
      worst.emplace_back(-counts.mFailed, id);
    }
  }
  const auto most = mSettings.mMostFailing * static_cast<double>(called);
  if (called >= mSettings.mLeastCalled &&
      static_cast<double>(worst.size()) > most) {
    return {};
  }
  std::sort(worst.begin(), worst.end());
  worst.resize(std::min(worst.size(), mSettings.mMostTold));
  CountsByUpstream failing;
  for (const auto& [failed, id] : worst) {
    failing[id] = CountsAt(mOwn.at(id), aNow);
  }
  return failing;
}

double
OutcomeBoard::FailureRate(const std::string& aUpstream, TimePoint aNow) const
{
  CallCounts all;
  const auto own = mOwn.find(aUpstream);
  if (own != mOwn.end()) {
    all = CountsAt(own->second, aNow);
  }
  const auto peers = mPeerSums.find(aUpstream);
  if (peers != mPeerSums.end()) {
    all.mFailed += peers->second.mFailed;
    all.mGood += peers->second.mGood;
  }
  return all.mFailed / (all.mFailed + all.mGood + mSettings.mPrior);
}

} // namespace peridothoist
