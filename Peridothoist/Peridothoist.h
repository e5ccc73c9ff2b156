/// Central header: included first by every file of the project. Gives the
/// assertion macro and the time types that all parts share.
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

/// Checks an invariant of our own code, in every build. Never used on input.
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

/// A span of time, in microseconds.
using Duration = std::chrono::microseconds;

/// A point on one process's monotonic clock, which goes on while the VM is
/// suspended (Reactor::ReadClock()). Never compared between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using namespace std::chrono_literals;

} // namespace peridothoist
