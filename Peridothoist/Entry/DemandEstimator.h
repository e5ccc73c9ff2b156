/// Estimates the token rate that each workspace requests, with exponential
/// decay.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Estimates the recent demand of each workspace.
class DemandEstimator
{
public:
  /// aHalfLife is the time without demand after which the estimated rate has
  /// fallen to one half.
  explicit DemandEstimator(Duration aHalfLife)
    : mHalfLife(aHalfLife)
  {
  }

  /// Adds a request for aTokens.
  void Add(const std::string& aWorkspace, double aTokens, TimePoint aNow);

  /// Returns the estimated rate in tokens per second.
  double TokensPerSecond(const std::string& aWorkspace, TimePoint aNow) const;

  /// Removes workspaces whose rate is below one token per second.
  void RemoveIdle(TimePoint aNow);

private:
  struct DecayedSum
  {
    double mTokens = 0; ///< Sum of tokens, decayed up to mUpdatedAt.
    TimePoint mUpdatedAt;
  };

  double Decayed(const DecayedSum& aSum, TimePoint aNow) const;

  Duration mHalfLife;
  std::map<std::string, DecayedSum> mSums;
};

} // namespace peridothoist
