/// Exact percentiles of collected values, and the key=value output of
/// benchmarks.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <algorithm>
#include <cstdarg>

namespace peridothoist::perf {

/// Collected values of one measurement.
class Percentiles
{
public:
  void Add(double aValue) { mValues.push_back(aValue); }

  std::size_t Count() const { return mValues.size(); }

  /// Returns the value that the given fraction (0 to 1) of values does not
  /// exceed, or 0 when there are no values.
  double AtFraction(double aFraction)
  {
    if (mValues.empty()) {
      return 0;
    }
    const auto last = static_cast<double>(mValues.size() - 1);
    const auto rank = static_cast<std::size_t>(aFraction * last + 0.5);
    std::nth_element(mValues.begin(), mValues.begin() + rank, mValues.end());
    return mValues[rank];
  }

private:
  std::vector<double> mValues;
};

/// Prints one key=value line of the results.
inline void
PrintValue(const std::string& aKey, double aValue)
{
  std::printf("%s=%.6g\n", aKey.c_str(), aValue);
  std::fflush(stdout);
}

} // namespace peridothoist::perf
