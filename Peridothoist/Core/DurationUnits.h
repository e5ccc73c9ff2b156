/// Durations as floating-point numbers of a unit, for logs, metrics and rates.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

inline double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

inline double
ToMillis(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace peridothoist
