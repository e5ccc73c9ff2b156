#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/CallOutcomeTracker.h>

#include <algorithm>
#include <cmath>

namespace peridothoist {

namespace {

/// Sums below this are what rounding leaves of counts that were taken back.
constexpr double kRoundingError = 0.005;

} // namespace

void
CallOutcomeTracker::OnOutcome(const std::string& aUpstream,
                              bool aFailed,
                              TimePoint aNow)
{
  Own& own = mOwn[aUpstream];
  own = { DecayedCounts(own, aNow), aNow };
  (aFailed ? own.mCounts.mFailed : own.mCounts.mSucceeded) += 1;
}

CallCounts
CallOutcomeTracker::DecayedCounts(const Own& aOwn, TimePoint aNow) const
{
  using Seconds = std::chrono::duration<double>;
  const double halfLives =
    Seconds(aNow - aOwn.mAt) / Seconds(mSettings.mHalfLife);
  const double factor = std::exp2(-halfLives);
  return { aOwn.mCounts.mFailed * factor, aOwn.mCounts.mSucceeded * factor };
}

void
CallOutcomeTracker::OnPeerCounts(const std::string& aPeer,
                                 CountsByUpstream aCounts)
{
  const auto old = mPeers.find(aPeer);
  if (old != mPeers.end()) {
    for (const auto& [id, counts] : old->second) {
      CallCounts& sum = mPeerTotals[id];
      sum.mFailed -= counts.mFailed;
      sum.mSucceeded -= counts.mSucceeded;
      if (std::max(sum.mFailed, sum.mSucceeded) < kRoundingError) {
        mPeerTotals.erase(id);
      }
    }
    mPeers.erase(old);
  }
  if (aCounts.empty()) {
    return;
  }
  for (const auto& [id, counts] : aCounts) {
    CallCounts& sum = mPeerTotals[id];
    sum.mFailed += counts.mFailed;
    sum.mSucceeded += counts.mSucceeded;
  }
  mPeers[aPeer] = std::move(aCounts);
}

bool
CallOutcomeTracker::IsReportedByPeers(const std::string& aUpstream) const
{
  const auto it = mPeerTotals.find(aUpstream);
  return it != mPeerTotals.end() &&
         it->second.mFailed >= mSettings.mMinReportedFailures;
}

CountsByUpstream
CallOutcomeTracker::FailingUpstreams(TimePoint aNow) const
{
  std::vector<std::pair<double, std::string>> worst;
  std::vector<std::pair<double, std::string>> reportedByPeers;
  std::size_t called = 0;
  for (const auto& [id, own] : mOwn) {
    const CallCounts counts = DecayedCounts(own, aNow);
    called +=
      counts.mFailed + counts.mSucceeded >= mSettings.mMinReportedFailures ? 1
                                                                           : 0;
    if (counts.mFailed >= mSettings.mMinReportedFailures) {
      worst.emplace_back(-counts.mFailed, id);
    } else if (IsReportedByPeers(id)) {
      reportedByPeers.emplace_back(-counts.mSucceeded, id);
    }
  }
  const auto maxFailing =
    mSettings.mMaxFailingFraction * static_cast<double>(called);
  if (called >= mSettings.mMinCalledUpstreams &&
      static_cast<double>(worst.size()) > maxFailing) {
    return {};
  }
  std::sort(worst.begin(), worst.end());
  std::sort(reportedByPeers.begin(), reportedByPeers.end());
  worst.insert(worst.end(), reportedByPeers.begin(), reportedByPeers.end());
  worst.resize(std::min(worst.size(), mSettings.mMaxReportedUpstreams));
  CountsByUpstream failing;
  for (const auto& [failed, id] : worst) {
    failing[id] = DecayedCounts(mOwn.at(id), aNow);
  }
  return failing;
}

double
CallOutcomeTracker::FailureRate(const std::string& aUpstream,
                                TimePoint aNow) const
{
  CallCounts all;
  const auto own = mOwn.find(aUpstream);
  if (own != mOwn.end()) {
    all = DecayedCounts(own->second, aNow);
  }
  const auto peers = mPeerTotals.find(aUpstream);
  if (peers != mPeerTotals.end()) {
    all.mFailed += peers->second.mFailed;
    all.mSucceeded += peers->second.mSucceeded;
  }
  return all.mFailed /
         (all.mFailed + all.mSucceeded + mSettings.mPriorSuccesses);
}

} // namespace peridothoist
