#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/LoadBoard.h>

#include <algorithm>
#include <cmath>

namespace peridothoist {

namespace {

constexpr std::uint32_t kMostDoublings = 4;

} // namespace

void
LoadBoard::OnSent(const std::string& aUpstream, std::uint64_t aTokens)
{
  mOwn[aUpstream] += { 1, aTokens };
  mRevision += aTokens > 0 ? 1 : 0;
}

void
LoadBoard::OnGrown(const std::string& aUpstream, std::uint64_t aTokens)
{
  const auto it = mOwn.find(aUpstream);
  PH_ASSERT(it != mOwn.end());
  it->second.mTokens += aTokens; // Told with the next regular message.
}

std::size_t
LoadBoard::PeersWaiting() const
{
  std::size_t waiting = 0;
  for (const auto& [peer, count] : mPeersWaiting) {
    waiting += count;
  }
  return waiting;
}

void
LoadBoard::OnDone(const std::string& aUpstream, std::uint64_t aTokens)
{
  const auto it = mOwn.find(aUpstream);
  PH_ASSERT(it != mOwn.end());
  PH_ASSERT(it->second.mRequests > 0 && it->second.mTokens >= aTokens);
  --it->second.mRequests;
  it->second.mTokens -= aTokens;
  mRevision += aTokens > 0 ? 1 : 0;
  if (it->second.mRequests == 0) {
    mOwn.erase(it);
  }
}

void
LoadBoard::OnStated(const std::string& aUpstream,
                    const StatedLoad& aLoad,
                    TimePoint aNow)
{
  mStated[aUpstream] = { aLoad, aNow };
}

void
LoadBoard::OnPeerWork(const std::string& aPeer, WorkByUpstream aWork)
{
  mPeers[aPeer] = std::move(aWork);
}

void
LoadBoard::OnFailure(const std::string& aUpstream, TimePoint aNow)
{
  Failures& failures = mFailures[aUpstream];
  const std::uint32_t doublings = std::min(failures.mInRow, kMostDoublings);
  const Duration avoidance = std::min(
    mSettings.mLongestAvoidance, mSettings.mFirstAvoidance * (1 << doublings));
  ++failures.mInRow;
  failures.mAvoidUntil = aNow + avoidance;
}

void
LoadBoard::OnFull(const std::string& aUpstream,
                  Duration aAvoidance,
                  TimePoint aNow)
{
  Failures& failures = mFailures[aUpstream];
  failures.mAvoidUntil = std::max(failures.mAvoidUntil, aNow + aAvoidance);
}

void
LoadBoard::OnGone(const std::string& aUpstream, TimePoint aNow)
{
  Failures& failures = mFailures[aUpstream];
  ++failures.mInRow;
  failures.mGoneUntil = aNow + mSettings.mGoneAvoidance;
  failures.mAvoidUntil = failures.mGoneUntil;
  ++mRevision; // Others are to hear of it soon.
}

void
LoadBoard::OnPeerFoundGone(const std::vector<std::string>& aUpstreams,
                           TimePoint aNow)
{
  for (const std::string& id : aUpstreams) {
    Failures& failures = mFailures[id];
    failures.mAvoidUntil =
      std::max(failures.mAvoidUntil, aNow + mSettings.mPeerAvoidance);
  }
}

std::vector<std::string>
LoadBoard::FoundGone(TimePoint aNow) const
{
  std::vector<std::string> gone;
  for (const auto& [id, failures] : mFailures) {
    if (aNow < failures.mGoneUntil) {
      gone.push_back(id);
    }
  }
  return gone;
}

void
LoadBoard::OnSuccess(const std::string& aUpstream)
{
  mFailures.erase(aUpstream);
}

void
LoadBoard::Forget(const std::string& aUpstream)
{
  mFailures.erase(aUpstream);
  mStated.erase(aUpstream);
  mOutcomes.erase(aUpstream);
}

void
LoadBoard::OnOutcome(const std::string& aUpstream, bool aFailed, TimePoint aNow)
{
  const double before = FailureRate(aUpstream, aNow);
  const double weight = mSettings.mOutcomeWeight;
  mOutcomes[aUpstream] = { before * (1 - weight) + (aFailed ? weight : 0),
                           aNow };
}

double
LoadBoard::FailureRate(const std::string& aUpstream, TimePoint aNow) const
{
  const auto it = mOutcomes.find(aUpstream);
  if (it == mOutcomes.end()) {
    return 0;
  }
  const double halves =
    std::chrono::duration<double>(aNow - it->second.mAt).count() /
    std::chrono::duration<double>(mSettings.mOutcomeHalfLife).count();
  return it->second.mRate * std::exp2(-halves);
}

bool
LoadBoard::IsAvoided(const std::string& aUpstream, TimePoint aNow) const
{
  const auto it = mFailures.find(aUpstream);
  return it != mFailures.end() && aNow < it->second.mAvoidUntil;
}

UpstreamWork
LoadBoard::Work(const std::string& aUpstream) const
{
  UpstreamWork work;
  const auto own = mOwn.find(aUpstream);
  if (own != mOwn.end()) {
    work += own->second;
  }
  for (const auto& [peer, byUpstream] : mPeers) {
    const auto it = byUpstream.find(aUpstream);
    if (it != byUpstream.end()) {
      work += it->second;
    }
  }
  return work;
}

std::uint32_t
LoadBoard::StatedBeyond(const std::string& aUpstream, TimePoint aNow) const
{
  const auto it = mStated.find(aUpstream);
  if (it == mStated.end() || aNow - it->second.mAt > mSettings.mStatedHolds) {
    return 0;
  }
  const std::uint32_t stated =
    it->second.mLoad.mRunning + it->second.mLoad.mWaiting;
  const std::uint32_t known = Work(aUpstream).mRequests;
  return stated > known ? stated - known : 0;
}

} // namespace peridothoist
