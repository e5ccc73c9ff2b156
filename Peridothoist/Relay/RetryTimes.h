/// When refused callers are told to come back.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// The longest wait that a caller honours: a third of the time that it has
/// left, less a part for the way.
inline Duration
LongestRetryWait(Duration aTimeLeft)
{
  constexpr double kHonouredPart = 0.3;
  return std::chrono::duration_cast<Duration>(aTimeLeft * kHonouredPart);
}

} // namespace peridothoist
