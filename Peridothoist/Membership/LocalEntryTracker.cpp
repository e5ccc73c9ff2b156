#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Membership/LocalEntryTracker.h>

namespace peridothoist {

LocalEntryTracker::LocalEntryTracker(const Settings& aSettings)
  : mSettings(aSettings)
{
}

void
LocalEntryTracker::OnFollow(const std::string& aInstance,
                            bool aIsLeaving,
                            TimePoint aNow)
{
  if (aInstance == mInstance) {
    mLastFollowAt = aNow;
    mIsLeaving = mIsLeaving || aIsLeaving;
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
    mIsLeaving = aIsLeaving;
    mCandidate.clear();
  }
}

std::string
LocalEntryTracker::Instance(TimePoint aNow) const
{
  const bool isFollowing =
    mLastFollowAt && aNow - *mLastFollowAt < mSettings.mSilenceLimit;
  return isFollowing ? mInstance : std::string();
}

} // namespace peridothoist
