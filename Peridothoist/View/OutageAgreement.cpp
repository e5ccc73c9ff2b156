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
                          const std::vector<MemberReport>& aMembers,
                          TimePoint aNow) const
{
  AgreementResult result;
  result.mAsOf = aNow;
  if (!aConfirmed) {
    result.mObstacle = AgreementObstacle::Unconfirmed;
    return result;
  }
  for (const MemberReport& report : aMembers) {
    result.mObstacle = FindObstacle(report, aHeld, *aConfirmed, aNow);
    if (result.mObstacle != AgreementObstacle::None) {
      result.mVm = report.mVm;
      return result;
    }
    result.mAsOf = std::min(result.mAsOf, *report.mAsOf);
  }
  return result;
}

AgreementObstacle
OutageAgreement::FindObstacle(const MemberReport& aReport,
                              const ViewStamp& aHeld,
                              TimePoint aConfirmed,
                              TimePoint aNow) const
{
  if (!aReport.mAsOf || aNow - *aReport.mAsOf >= mSettings.mStalenessLimit) {
    return AgreementObstacle::Silent;
  }
  if (aReport.mStartedBy + mSettings.mMaxCommitDelay > aConfirmed) {
    return AgreementObstacle::Restarted;
  }
  if (!aReport.mPlatformUnreachable) {
    return AgreementObstacle::PlatformReachable;
  }
  if (aReport.mCommitInDoubt) {
    return AgreementObstacle::InDoubt;
  }
  if (!aHeld.Covers(aReport.mStamp)) {
    return AgreementObstacle::NewerView;
  }
  return AgreementObstacle::None;
}

} // namespace peridothoist
