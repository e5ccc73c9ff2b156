/// Random number generator with an explicit seed: a random one in a process, a
/// fixed one in tests that must be reproducible.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <random>

namespace peridothoist {

/// Generates random numbers from a seed.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  /// Returns a uniform number in [0, aBound). aBound must be positive.
  std::uint64_t UniformBelow(std::uint64_t aBound)
  {
    PH_ASSERT(aBound > 0);
    return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(mEngine);
  }

  /// Returns a uniform number in [0, 1).
  double UniformFraction()
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(mEngine);
  }

  /// Returns an exponentially distributed number with the given mean, such as
  /// the time between two arrivals.
  double Exponential(double aMean)
  {
    return std::exponential_distribution<double>(1.0 / aMean)(mEngine);
  }

private:
  std::mt19937_64 mEngine;
};

} // namespace peridothoist
