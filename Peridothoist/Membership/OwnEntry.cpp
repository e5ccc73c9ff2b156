#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Membership/OwnEntry.h>

namespace peridothoist {

OwnEntry::OwnEntry(const Settings& aSettings)
  : mSettings(aSettings)
{
}

void
OwnEntry::OnFollow(const std::string& aInstance, bool aLeaving, TimePoint aNow)
{
  if (aInstance == mInstance) {
    mLastFollowAt = aNow;
    mLeaving = mLeaving || aLeaving;
    mCandidate.clear();
    return;
  }
  if (aInstance != mCandidate) {
    mCandidate = aInstance;
    mCandidateSince = aNow;
  }
  if (mInstance.empty() || aNow - mCandidateSince >= mSettings.mSettleAfter) {
    mInstance = aInstance;
    mLastFollowAt = aNow;
    mLeaving = aLeaving;
    mCandidate.clear();
  }
}

std::string
OwnEntry::Instance(TimePoint aNow) const
{
  const bool isFollowing =
    mLastFollowAt && aNow - *mLastFollowAt < mSettings.mSilenceLimit;
  return isFollowing ? mInstance : std::string();
}

} // namespace peridothoist
