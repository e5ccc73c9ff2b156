#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/AccrualClock.h>

#include <algorithm>

namespace peridothoist {

void
AccrualClock::SetFreshUntil(TimePoint aUntil, TimePoint aNow)
{
  mCountedTime = CountedTime(aNow);
  mRunningSince = std::max(aNow, mRunningSince);
  mRunsUntil = std::max({ aUntil, mRunsUntil, mRunningSince });
}

Duration
AccrualClock::CountedTime(TimePoint aNow) const
{
  const TimePoint end = std::min(aNow, mRunsUntil);
  return mCountedTime + std::max(end - mRunningSince, Duration{ 0 });
}

bool
AccrualClock::IsRunning(TimePoint aNow) const
{
  return aNow < mRunsUntil;
}

} // namespace peridothoist
