#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Routing/UpstreamState.h>

#include <algorithm>

namespace peridothoist {

void
UpstreamState::Join(const AttemptKey& aKey, Presence aPresence)
{
  PH_ASSERT(mPresent.count(aKey) == 0);
  mLinks += aPresence.mLink ? 1 : 0;
  mPieces += aPresence.mPieces;
  mPromptTokens += aPresence.mPromptTokens;
  mIsolatedCount += aPresence.mIsolated ? 1 : 0;
  mPresent.emplace(aKey, std::move(aPresence));
}

void
UpstreamState::Leave(const AttemptKey& aKey)
{
  const auto it = mPresent.find(aKey);
  if (it == mPresent.end()) {
    return;
  }
  const Presence& presence = it->second;
  mLinks -= presence.mLink ? 1 : 0;
  mPieces -= presence.mPieces;
  mPromptTokens -= presence.mPromptTokens;
  mIsolatedCount -= presence.mIsolated ? 1 : 0;
  mPresent.erase(it);
}

Presence*
UpstreamState::Find(const AttemptKey& aKey)
{
  const auto it = mPresent.find(aKey);
  return it == mPresent.end() ? nullptr : &it->second;
}

void
UpstreamState::ReleaseLink(const AttemptKey& aKey)
{
  Presence* presence = Find(aKey);
  if (presence != nullptr && presence->mLink) {
    presence->mLink = false;
    --mLinks;
  }
}

void
UpstreamState::Clear()
{
  mPresent.clear();
  mLinks = 0;
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
  const bool stated = mHasReport && mReport.mTotalPieces > 0;
  return stated ? mReport.mTotalPieces : mConfig.mMemoryPieces;
}

std::uint32_t
UpstreamState::FreePieces() const
{
  const std::uint32_t total = TotalPieces();
  const std::uint32_t known = total - std::min(total, mPieces);
  if (!mHasReport) {
    return known;
  }
  std::uint32_t since = 0;
  for (const auto& [key, presence] : mPresent) {
    since += presence.mAt > mMeasuredAt ? presence.mPieces : 0;
  }
  const std::uint32_t reported = mReport.mFreePieces;
  return std::min(known, reported - std::min(reported, since));
}

} // namespace peridothoist
