#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/View/OutageAgreement.h>

#include <algorithm>
#include <array>

namespace peridothoist {

const char*
ToName(AgreementObstacle aObstacle)
{
  static constexpr std::array<const char*, 6> kNames = {
    "none",     "silent",     "platform_reachable",
    "in_doubt", "newer_view", "restarted"
  };
  return kNames[static_cast<std::size_t>(aObstacle)];
}

OutageAgreement::OutageAgreement(Duration aLimit)
  : mLimit(aLimit)
{
}

void
OutageAgreement::Observe(const std::vector<MemberWord>& aMembers,
                         TimePoint aNow)
{
  std::map<std::string, std::string> instances;
  for (const MemberWord& word : aMembers) {
    const auto known = mInstances.find(word.mVm);
    const std::string& before =
      known == mInstances.end() ? word.mControlInstance : known->second;
    const std::string& after =
      word.mControlInstance.empty() ? before : word.mControlInstance;
    if (!before.empty() && before != after) {
      mRestartSeenAt = aNow;
      mRestartedVm = word.mVm;
    }
    instances[word.mVm] = after;
  }
  mInstances = std::move(instances);
}

void
OutageAgreement::OnConfirmed(TimePoint aAsOf)
{
  if (mRestartSeenAt && aAsOf >= *mRestartSeenAt) {
    mRestartSeenAt.reset();
    mRestartedVm.clear();
  }
}

AgreementResult
OutageAgreement::Evaluate(const ViewStamp& aHeld,
                          const std::vector<MemberWord>& aMembers,
                          TimePoint aNow) const
{
  AgreementResult result;
  result.mAsOf = aNow;
  if (mRestartSeenAt) {
    result.mObstacle = AgreementObstacle::Restarted;
    result.mVm = mRestartedVm;
    return result;
  }
  for (const MemberWord& word : aMembers) {
    result.mObstacle = ObstacleOf(word, aHeld, aNow);
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
                            TimePoint aNow) const
{
  if (!aWord.mAsOf || aNow - *aWord.mAsOf >= mLimit) {
    return AgreementObstacle::Silent;
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
