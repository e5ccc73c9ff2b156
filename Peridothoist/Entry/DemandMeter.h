/// Tokens a second that each workspace asked for lately, by exponential decay.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Measures demand per workspace.
class DemandMeter
{
public:
  /// aHalfLife: after this time without demand, half of the rate is left.
  explicit DemandMeter(Duration aHalfLife)
    : mHalfLife(aHalfLife)
  {
  }

  /// A request asked for aTokens.
  void Add(const std::string& aWorkspace, double aTokens, TimePoint aNow);

  /// The rate in tokens a second.
  double Rate(const std::string& aWorkspace, TimePoint aNow) const;

  /// Drops workspaces whose rate fell below one token a second.
  void Forget(TimePoint aNow);

private:
  struct Level
  {
    double mTokens = 0; ///< Decayed sum as of mAt.
    TimePoint mAt;
  };

  double Decayed(const Level& aLevel, TimePoint aNow) const;

  Duration mHalfLife;
  std::map<std::string, Level> mLevels;
};

} // namespace peridothoist
