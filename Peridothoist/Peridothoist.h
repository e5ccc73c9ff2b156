/// Common header that every file of the project includes first. Provides the
/// assertion macro and the time types.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Aborts the process if an invariant of this code is violated, in every build.
/// Never used to check input.
#define PH_ASSERT(aCondition)                                                  \
  do {                                                                         \
    if (!(aCondition)) {                                                       \
      std::fprintf(stderr,                                                     \
                   "event=assert_failed file=%s line=%d condition=\"%s\"\n",   \
                   __FILE__,                                                   \
                   __LINE__,                                                   \
                   #aCondition);                                               \
      std::abort();                                                            \
    }                                                                          \
  } while (false)

namespace peridothoist {

/// A duration in microseconds.
using Duration = std::chrono::microseconds;

/// A point in time on one process's monotonic clock, which continues while the
/// VM is suspended (Reactor::ReadClock()). Never compared between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using namespace std::chrono_literals;

} // namespace peridothoist
