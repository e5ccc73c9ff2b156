#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/LeavingSchedule.h>

#include <algorithm>

namespace peridothoist {

namespace {

// Parts of the grace period, for those that are shorter than usual.
constexpr double kStreamPart = 0.32;
constexpr double kAcceptPart = 0.45;
constexpr double kExitPart = 0.0625;
constexpr double kAnswerPart = 0.0375;

/// Calls that take longer than this many times their typical time are rare.
constexpr int kSlowCallFactor = 2;

Duration
Part(Duration aWhole, double aPart, Duration aMax)
{
  return std::min(aMax, std::chrono::duration_cast<Duration>(aWhole * aPart));
}

} // namespace

LeavingSchedule::LeavingSchedule(const Settings& aSettings,
                                 TimePoint aStartedAt)
  : mStartedAt(aStartedAt)
{
  const Duration grace = aSettings.mGracePeriod;
  mStreamsUntil =
    aStartedAt + Part(grace, kStreamPart, aSettings.mMaxStreamPeriod);
  mAcceptsUntil =
    aStartedAt + Part(grace, kAcceptPart, aSettings.mMaxAcceptPeriod);
  mEndsAt =
    aStartedAt + grace - Part(grace, kExitPart, aSettings.mMaxExitMargin);
  mAnswersAt = mEndsAt - Part(grace, kAnswerPart, aSettings.mMaxAnswerPeriod);
}

bool
LeavingSchedule::Takes(RouteKind aKind,
                       TimePoint aDeadline,
                       Duration aTypicalCall,
                       TimePoint aNow) const
{
  if (aNow >= mAcceptsUntil) {
    return false;
  }
  if (aKind == RouteKind::Stream && aNow >= mStreamsUntil) {
    return false;
  }
  return aDeadline <= mAnswersAt ||
         aNow + kSlowCallFactor * aTypicalCall <= mAnswersAt;
}

} // namespace peridothoist
