/// The random generator that the core is given. Seeded by the shell, or by a
/// test that wants the same run again.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <random>

namespace peridothoist {

/// A seeded source of random choices.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  /// A uniform number in [0, aBound). aBound must be positive.
  std::uint64_t Below(std::uint64_t aBound)
  {
    PH_ASSERT(aBound > 0);
    return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(mEngine);
  }

  /// A uniform number in [0, 1).
  double Unit()
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(mEngine);
  }

  /// Exponential gap with the given mean, for arrivals.
  double Exponential(double aMean)
  {
    return std::exponential_distribution<double>(1.0 / aMean)(mEngine);
  }

private:
  std::mt19937_64 mEngine;
};

} // namespace peridothoist
