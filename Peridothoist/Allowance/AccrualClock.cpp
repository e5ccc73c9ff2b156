#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/AccrualClock.h>

#include <algorithm>

namespace peridothoist {

void
AccrualClock::AllowUntil(TimePoint aUntil, TimePoint aNow)
{
  mCounted = Read(aNow);
  mSince = std::max(aNow, mSince);
  mUntil = std::max({ aUntil, mUntil, mSince });
}

Duration
AccrualClock::Read(TimePoint aNow) const
{
  const TimePoint end = std::min(aNow, mUntil);
  return mCounted + std::max(end - mSince, Duration{ 0 });
}

bool
AccrualClock::IsRunning(TimePoint aNow) const
{
  return aNow < mUntil;
}

} // namespace peridothoist
