#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Queueing/ServiceRateEstimator.h>

#include <Peridothoist/Core/DurationUnits.h>

#include <algorithm>
#include <cmath>

namespace peridothoist {

namespace {

constexpr double kFirstByteWeight = 0.1; ///< Weight of a new value.

} // namespace

void
ServiceRateEstimator::Advance(TimePoint aNow)
{
  const double passed = std::max(0.0, ToSeconds(aNow - mLastUpdate));
  mLastUpdate = std::max(mLastUpdate, aNow);
  if (!mHasBacklog) {
    return;
  }
  const double decay = std::exp(-passed / ToSeconds(mSettings.mWindow));
  mDecayedCost *= decay;
  mDecayedBusySeconds = mDecayedBusySeconds * decay + passed;
}

void
ServiceRateEstimator::SetHasBacklog(bool aHasBacklog, TimePoint aNow)
{
  Advance(aNow);
  mHasBacklog = aHasBacklog;
}

void
ServiceRateEstimator::OnCostTaken(double aCost, TimePoint aNow)
{
  Advance(aNow);
  if (mHasBacklog) {
    mDecayedCost += aCost;
  }
}

std::optional<double>
ServiceRateEstimator::CostPerSecond() const
{
  if (mDecayedBusySeconds < ToSeconds(mSettings.mMinBusyTime) ||
      mDecayedCost <= 0) {
    return std::nullopt;
  }
  return mDecayedCost / mDecayedBusySeconds;
}

void
ServiceRateEstimator::OnFirstByte(Duration aDuration)
{
  const double microseconds = static_cast<double>(aDuration.count());
  const double weight = mFirstByteMicroseconds == 0 ? 1.0 : kFirstByteWeight;
  mFirstByteMicroseconds += (microseconds - mFirstByteMicroseconds) * weight;
}

} // namespace peridothoist
