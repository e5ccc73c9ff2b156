#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/View/OutageAgreement.h>

#include <algorithm>
#include <array>

namespace peridothoist {

const char*
ToName(AgreementObstacle aObstacle)
{
  static constexpr std::array<const char*, 7> kNames = {
    "none",       "silent",      "platform_reachable", "in_doubt",
    "newer_view", "unconfirmed", "restarted"
  };
  return kNames[static_cast<std::size_t>(aObstacle)];
}

OutageAgreement::OutageAgreement(const Settings& aSettings)
  : mSettings(aSettings)
{
}

AgreementResult
OutageAgreement::Evaluate(const ViewStamp& aHeld,
                          std::optional<TimePoint> aConfirmed,
                          const std::vector<MemberWord>& aMembers,
                          TimePoint aNow) const
{
  AgreementResult result;
  result.mAsOf = aNow;
  if (!aConfirmed) {
    result.mObstacle = AgreementObstacle::Unconfirmed;
    return result;
  }
  for (const MemberWord& word : aMembers) {
    result.mObstacle = ObstacleOf(word, aHeld, *aConfirmed, aNow);
    if (result.mObstacle != AgreementObstacle::None) {
      result.mVm = word.mVm;
      return result;
    }
    result.mAsOf = std::min(result.mAsOf, *word.mAsOf);
  }
  return result;
}

AgreementObstacle
OutageAgreement::ObstacleOf(const MemberWord& aWord,
                            const ViewStamp& aHeld,
                            TimePoint aConfirmed,
                            TimePoint aNow) const
{
  if (!aWord.mAsOf || aNow - *aWord.mAsOf >= mSettings.mStalenessLimit) {
    return AgreementObstacle::Silent;
  }
  if (aWord.mStartedBy + mSettings.mCommitOnItsWayLimit > aConfirmed) {
    return AgreementObstacle::Restarted;
  }
  if (!aWord.mPlatformUnreachable) {
    return AgreementObstacle::PlatformReachable;
  }
  if (aWord.mCommitInDoubt) {
    return AgreementObstacle::InDoubt;
  }
  if (!aHeld.Covers(aWord.mStamp)) {
    return AgreementObstacle::NewerView;
  }
  return AgreementObstacle::None;
}

} // namespace peridothoist
