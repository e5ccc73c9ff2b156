#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UsageLedger.h>

#include <algorithm>

namespace peridothoist {

void
UsageLedger::SetWorkspaces(
  const std::map<std::string, RelayWorkspace>& aWorkspaces,
  TimePoint aNow)
{
  std::map<std::string, Bucket> buckets;
  for (const auto& [name, workspace] : aWorkspaces) {
    const auto known = mBuckets.find(name);
    Bucket bucket;
    bucket.mAt = aNow;
    if (known != mBuckets.end()) {
      bucket = known->second;
      Accrue(bucket, aNow);
    }
    bucket.mRate = workspace.mTokensPerSecond;
    bucket.mBurst = workspace.mBurstTokens;
    bucket.mLevel = std::min(bucket.mLevel, bucket.mBurst * mPart);
    buckets[name] = bucket;
  }
  mBuckets = std::move(buckets);
}

void
UsageLedger::SetHeardPart(double aPart, TimePoint aNow)
{
  if (aPart == mPart) {
    return;
  }
  for (auto& [name, bucket] : mBuckets) {
    Accrue(bucket, aNow);
  }
  mPart = aPart;
  for (auto& [name, bucket] : mBuckets) {
    bucket.mLevel = std::min(bucket.mLevel, bucket.mBurst * mPart);
  }
}

void
UsageLedger::Accrue(Bucket& aBucket, TimePoint aNow) const
{
  const double seconds =
    std::chrono::duration<double>(std::max(Duration(0), aNow - aBucket.mAt))
      .count();
  aBucket.mLevel = std::min(aBucket.mBurst * mPart,
                            aBucket.mLevel + aBucket.mRate * mPart * seconds);
  aBucket.mAt = aNow;
}

UsageLedger::Bucket*
UsageLedger::Limited(const std::string& aWorkspace)
{
  const auto it = mBuckets.find(aWorkspace);
  return it == mBuckets.end() || it->second.mRate <= 0 ? nullptr : &it->second;
}

std::optional<Duration>
UsageLedger::Spend(const std::string& aWorkspace,
                   double aTokens,
                   TimePoint aNow)
{
  Bucket* bucket = Limited(aWorkspace);
  if (bucket == nullptr) {
    return std::nullopt;
  }
  Accrue(*bucket, aNow);
  // A request above the whole burst is let in on a full bucket and leaves a
  // debt: else it could never run.
  const double needed = std::min(aTokens, bucket->mBurst * mPart);
  if (bucket->mLevel < needed) {
    const double seconds =
      (needed - bucket->mLevel) / std::max(1.0, bucket->mRate * mPart);
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
  }
  bucket->mLevel -= aTokens;
  mGranted[aWorkspace] += static_cast<std::int64_t>(aTokens);
  return std::nullopt;
}

void
UsageLedger::Refund(const std::string& aWorkspace,
                    double aTokens,
                    TimePoint aNow)
{
  Bucket* bucket = Limited(aWorkspace);
  if (bucket == nullptr) {
    return;
  }
  Accrue(*bucket, aNow);
  bucket->mLevel = std::min(bucket->mBurst * mPart, bucket->mLevel + aTokens);
  mGranted[aWorkspace] -= static_cast<std::int64_t>(aTokens);
}

void
UsageLedger::OnPeerGranted(const std::string& aInstance,
                           const GrantedTokens& aGranted,
                           TimePoint aNow)
{
  const auto known = mPeers.find(aInstance);
  if (known == mPeers.end()) {
    mPeers[aInstance] = aGranted;
    return;
  }
  for (const auto& [workspace, granted] : aGranted) {
    const auto before = known->second.find(workspace);
    const std::int64_t delta =
      granted - (before == known->second.end() ? 0 : before->second);
    Bucket* bucket = Limited(workspace);
    if (bucket != nullptr && delta != 0) {
      Accrue(*bucket, aNow);
      bucket->mLevel = std::min(bucket->mBurst * mPart,
                                bucket->mLevel - static_cast<double>(delta));
    }
  }
  known->second = aGranted;
}

} // namespace peridothoist
