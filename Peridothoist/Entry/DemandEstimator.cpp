#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/DemandEstimator.h>

#include <cmath>

namespace peridothoist {

namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

double
DemandEstimator::Decayed(const DecayedSum& aSum, TimePoint aNow) const
{
  const double halfLives =
    Seconds(aNow - aSum.mUpdatedAt).count() / Seconds(mHalfLife).count();
  return aSum.mTokens * std::exp2(-halfLives);
}

void
DemandEstimator::Add(const std::string& aWorkspace,
                     double aTokens,
                     TimePoint aNow)
{
  DecayedSum& sum = mSums[aWorkspace];
  sum.mTokens = Decayed(sum, aNow) + aTokens;
  sum.mUpdatedAt = aNow;
}

double
DemandEstimator::TokensPerSecond(const std::string& aWorkspace,
                                 TimePoint aNow) const
{
  const auto it = mSums.find(aWorkspace);
  if (it == mSums.end()) {
    return 0;
  }
  // At a constant rate r the decayed sum converges to r * halfLife / ln 2.
  const double window = Seconds(mHalfLife).count() / std::log(2.0);
  return Decayed(it->second, aNow) / window;
}

void
DemandEstimator::RemoveIdle(TimePoint aNow)
{
  for (auto it = mSums.begin(); it != mSums.end();) {
    it =
      TokensPerSecond(it->first, aNow) < 1.0 ? mSums.erase(it) : std::next(it);
  }
}

} // namespace peridothoist
