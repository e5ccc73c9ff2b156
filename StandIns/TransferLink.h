/// A network link of limited bandwidth that carries one transfer at a time.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <algorithm>

namespace peridothoist::standin {

/// Start and end of a transfer, relative to the time of scheduling.
struct TransferWindow
{
  Duration mStart{};
  Duration mEnd{};
};

/// Schedules transfers on a link in the order of the calls.
class TransferLink
{
public:
  explicit TransferLink(double aBytesPerSecond)
    : mBytesPerSecond(aBytesPerSecond)
  {
  }

  /// Schedules a transfer after all earlier ones. Returns nullopt, and
  /// schedules nothing, if it would have to wait longer than aMaxWait.
  std::optional<TransferWindow> Schedule(TimePoint aNow,
                                         std::uint64_t aBytes,
                                         Duration aMaxWait)
  {
    const TimePoint start = std::max(aNow, mAvailableAt);
    if (start - aNow > aMaxWait) {
      return std::nullopt;
    }
    const std::chrono::duration<double> duration(static_cast<double>(aBytes) /
                                                 mBytesPerSecond);
    mAvailableAt = start + std::chrono::duration_cast<Duration>(duration);
    return TransferWindow{ start - aNow, mAvailableAt - aNow };
  }

private:
  double mBytesPerSecond;
  TimePoint mAvailableAt{}; ///< End of the last scheduled transfer.
};

} // namespace peridothoist::standin
