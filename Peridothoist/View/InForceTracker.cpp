#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/View/InForceTracker.h>

namespace peridothoist {

InForceTracker::InForceTracker(const Settings& aSettings)
  : mSettings(aSettings)
{
}

void
InForceTracker::OnAccepted(std::uint64_t aVersion, TimePoint aNow)
{
  mTracked.emplace(aVersion, Tracked{ aNow, {} });
  while (mTracked.size() > mSettings.mMaxTracked) {
    mTracked.erase(mTracked.begin());
  }
}

void
InForceTracker::Update(const std::vector<InForceMember>& aMembers,
                       TimePoint aNow)
{
  for (auto& [version, tracked] : mTracked) {
    InForceStatus& status = tracked.mStatus;
    if (status.mInForce) {
      continue;
    }
    status.mBlockingVms.clear();
    for (const InForceMember& member : aMembers) {
      if (IsBlocking(member, version, tracked, aNow)) {
        status.mBlockingVms.push_back(member.mVm);
      }
    }
    if (status.mBlockingVms.empty()) {
      status.mInForce = true;
      status.mTimeToInForce = aNow - tracked.mAcceptedAt;
    }
  }
}

std::optional<InForceStatus>
InForceTracker::Status(std::uint64_t aVersion) const
{
  const auto found = mTracked.find(aVersion);
  if (found == mTracked.end()) {
    return std::nullopt;
  }
  return found->second.mStatus;
}

bool
InForceTracker::IsBlocking(const InForceMember& aMember,
                           std::uint64_t aVersion,
                           const Tracked& aTracked,
                           TimePoint aNow) const
{
  if (aMember.mVersion >= aVersion) {
    return false;
  }
  // An older view can only be confirmed for times before the acceptance, so no
  // VM acts on it later than the staleness limit after the acceptance. If a
  // VM was seen later with the older version, the limit counts from then.
  const TimePoint lastSeen = aMember.mLastSeenAt.value_or(aTracked.mAcceptedAt);
  const TimePoint silentSince = std::max(lastSeen, aTracked.mAcceptedAt);
  return aNow <= silentSince + mSettings.mStalenessLimit;
}

} // namespace peridothoist
