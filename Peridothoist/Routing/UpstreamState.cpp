#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Routing/UpstreamState.h>

#include <algorithm>

namespace peridothoist {

void
UpstreamState::AddAttempt(const AttemptKey& aKey, AttemptUsage aUsage)
{
  PH_ASSERT(mAttempts.count(aKey) == 0);
  mLinksUsed += aUsage.mHoldsLink ? 1 : 0;
  mPieces += aUsage.mPieces;
  mPromptTokens += aUsage.mPromptTokens;
  mIsolatedCount += aUsage.mIsolated ? 1 : 0;
  mAttempts.emplace(aKey, std::move(aUsage));
}

void
UpstreamState::RemoveAttempt(const AttemptKey& aKey)
{
  const auto it = mAttempts.find(aKey);
  if (it == mAttempts.end()) {
    return;
  }
  const AttemptUsage& usage = it->second;
  mLinksUsed -= usage.mHoldsLink ? 1 : 0;
  mPieces -= usage.mPieces;
  mPromptTokens -= usage.mPromptTokens;
  mIsolatedCount -= usage.mIsolated ? 1 : 0;
  mAttempts.erase(it);
}

AttemptUsage*
UpstreamState::FindAttempt(const AttemptKey& aKey)
{
  const auto it = mAttempts.find(aKey);
  return it == mAttempts.end() ? nullptr : &it->second;
}

void
UpstreamState::ReleaseLink(const AttemptKey& aKey)
{
  AttemptUsage* usage = FindAttempt(aKey);
  if (usage != nullptr && usage->mHoldsLink) {
    usage->mHoldsLink = false;
    --mLinksUsed;
  }
}

void
UpstreamState::ClearAttempts()
{
  mAttempts.clear();
  mLinksUsed = 0;
  mPieces = 0;
  mPromptTokens = 0;
  mIsolatedCount = 0;
}

void
UpstreamState::OnReport(const LoadReport& aReport, TimePoint aNow)
{
  const TimePoint measured = aNow - aReport.mMeasuredAgo;
  if (mHasReport && measured < mMeasuredAt) {
    return;
  }
  mHasReport = true;
  mReport = aReport;
  mMeasuredAt = measured;
}

void
UpstreamState::OnFull(std::optional<std::uint32_t> aFreePieces,
                      Duration aBackoff,
                      TimePoint aNow)
{
  mBackoffUntil = std::max(mBackoffUntil, aNow + aBackoff);
  if (aFreePieces) {
    mHasReport = true;
    mReport.mFreePieces = *aFreePieces;
    mMeasuredAt = std::max(mMeasuredAt, aNow);
  }
}

void
UpstreamState::OnConnectFailed(Duration aBackoff, TimePoint aNow)
{
  mBackoffUntil = std::max(mBackoffUntil, aNow + aBackoff);
}

std::uint32_t
UpstreamState::TotalPieces() const
{
  const bool isReported = mHasReport && mReport.mTotalPieces > 0;
  return isReported ? mReport.mTotalPieces : mConfig.mMemoryPieces;
}

std::uint32_t
UpstreamState::FreePieces() const
{
  const std::uint32_t total = TotalPieces();
  const std::uint32_t unheld = total - std::min(total, mPieces);
  if (!mHasReport) {
    return unheld;
  }
  std::uint32_t reservedSince = 0;
  for (const auto& [key, usage] : mAttempts) {
    reservedSince += usage.mAt > mMeasuredAt ? usage.mPieces : 0;
  }
  const std::uint32_t reported = mReport.mFreePieces;
  return std::min(unheld, reported - std::min(reported, reservedSince));
}

} // namespace peridothoist
