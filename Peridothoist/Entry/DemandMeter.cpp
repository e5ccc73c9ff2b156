#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/DemandMeter.h>

#include <cmath>

namespace peridothoist {

namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

double
DemandMeter::Decayed(const Level& aLevel, TimePoint aNow) const
{
  const double halfLives =
    Seconds(aNow - aLevel.mAt).count() / Seconds(mHalfLife).count();
  return aLevel.mTokens * std::exp2(-halfLives);
}

void
DemandMeter::Add(const std::string& aWorkspace, double aTokens, TimePoint aNow)
{
  Level& level = mLevels[aWorkspace];
  level.mTokens = Decayed(level, aNow) + aTokens;
  level.mAt = aNow;
}

double
DemandMeter::Rate(const std::string& aWorkspace, TimePoint aNow) const
{
  const auto it = mLevels.find(aWorkspace);
  if (it == mLevels.end()) {
    return 0;
  }
  // A constant rate r builds up a decayed sum of r * half life / ln 2.
  const double window = Seconds(mHalfLife).count() / std::log(2.0);
  return Decayed(it->second, aNow) / window;
}

void
DemandMeter::Forget(TimePoint aNow)
{
  for (auto it = mLevels.begin(); it != mLevels.end();) {
    it = Rate(it->first, aNow) < 1.0 ? mLevels.erase(it) : std::next(it);
  }
}

} // namespace peridothoist
