/// A link of limited rate that carries one transfer after the other.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <algorithm>

namespace peridothoist::standin {

/// When a transfer starts and ends, from now.
struct TransferSlot
{
  Duration mStart{};
  Duration mEnd{};
};

/// Books transfers on a link.
class TransferLink
{
public:
  explicit TransferLink(double aBytesPerSecond)
    : mBytesPerSecond(aBytesPerSecond)
  {
  }

  /// Books a transfer behind those booked before; nothing when it would have
  /// to wait longer than aMaxWait.
  std::optional<TransferSlot> Book(TimePoint aNow,
                                   std::uint64_t aBytes,
                                   Duration aMaxWait)
  {
    const TimePoint start = std::max(aNow, mFreeFrom);
    if (start - aNow > aMaxWait) {
      return std::nullopt;
    }
    const std::chrono::duration<double> lasts(static_cast<double>(aBytes) /
                                              mBytesPerSecond);
    mFreeFrom = start + std::chrono::duration_cast<Duration>(lasts);
    return TransferSlot{ start - aNow, mFreeFrom - aNow };
  }

private:
  double mBytesPerSecond;
  TimePoint mFreeFrom{}; ///< When the last booked transfer ends.
};

} // namespace peridothoist::standin
