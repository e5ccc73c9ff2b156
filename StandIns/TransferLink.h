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
  TransferLink(double aBytesPerSecond, Duration aMaxWait)
    : mBytesPerSecond(aBytesPerSecond)
    , mMaxWait(aMaxWait)
  {
  }

  /// Books a transfer behind those booked before; nothing when it would have
  /// to wait too long.
  std::optional<TransferSlot> Book(TimePoint aNow, std::uint64_t aBytes)
  {
    const TimePoint start = std::max(aNow, mFreeFrom);
    if (start - aNow > mMaxWait) {
      return std::nullopt;
    }
    const std::chrono::duration<double> lasts(static_cast<double>(aBytes) /
                                              mBytesPerSecond);
    mFreeFrom = start + std::chrono::duration_cast<Duration>(lasts);
    return TransferSlot{ start - aNow, mFreeFrom - aNow };
  }

private:
  double mBytesPerSecond;
  Duration mMaxWait;
  TimePoint mFreeFrom{}; ///< When the last booked transfer ends.
};

} // namespace peridothoist::standin
