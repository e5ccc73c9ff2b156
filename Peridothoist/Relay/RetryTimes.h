/// Bounds the delay after which refused callers are asked to retry.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Returns the longest retry delay that a caller honours: a third of the time
/// that it has left, less an allowance for network delay.
inline Duration
MaxRetryWait(Duration aTimeLeft)
{
  constexpr double kHonouredFraction = 0.3;
  return std::chrono::duration_cast<Duration>(aTimeLeft * kHonouredFraction);
}

} // namespace peridothoist
