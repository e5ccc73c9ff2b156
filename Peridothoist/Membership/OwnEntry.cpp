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
    mNext.clear();
    return;
  }
  if (aInstance != mNext) {
    mNext = aInstance;
    mNextSince = aNow;
  }
  if (mInstance.empty() || aNow - mNextSince >= mSettings.mSettleAfter) {
    mInstance = aInstance;
    mLastFollowAt = aNow;
    mLeaving = aLeaving;
    mNext.clear();
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
