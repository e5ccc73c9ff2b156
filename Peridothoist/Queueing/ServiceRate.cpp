#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Queueing/ServiceRate.h>

#include <algorithm>
#include <cmath>

namespace peridothoist {

namespace {

constexpr double kFirstByteWeight = 0.1; ///< Of each new observation.

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void
ServiceRate::Advance(TimePoint aNow)
{
  const double passed = std::max(0.0, Seconds(aNow - mLast));
  mLast = std::max(mLast, aNow);
  if (!mBusy) {
    return;
  }
  const double fade = std::exp(-passed / Seconds(mSettings.mWindow));
  mCost *= fade;
  mBusySeconds = mBusySeconds * fade + passed;
}

void
ServiceRate::SetBusy(bool aBusy, TimePoint aNow)
{
  Advance(aNow);
  mBusy = aBusy;
}

void
ServiceRate::OnTaken(double aCost, TimePoint aNow)
{
  Advance(aNow);
  if (mBusy) {
    mCost += aCost;
  }
}

std::optional<double>
ServiceRate::Get() const
{
  if (mBusySeconds < Seconds(mSettings.mLeastBusy) || mCost <= 0) {
    return std::nullopt;
  }
  return mCost / mBusySeconds;
}

void
ServiceRate::OnFirstByte(Duration aTook)
{
  const double took = static_cast<double>(aTook.count());
  const double weight = mFirstByte == 0 ? 1.0 : kFirstByteWeight;
  mFirstByte += (took - mFirstByte) * weight;
}

} // namespace peridothoist
