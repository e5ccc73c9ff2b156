/// Decides which new requests are refused while callers that read slowly occupy
/// this VM's memory with unsent responses.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <algorithm>

namespace peridothoist {

/// Bounds the unsent bytes of all callers' responses, the least urgent first.
class BufferBudget
{
public:
  /// aMaxBytes: bound for all callers; 0: no bound.
  explicit BufferBudget(std::size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  /// Returns whether a new request of aPriority (0: the most urgent) may start
  /// while aBufferedBytes are unsent.
  bool MayStart(std::uint32_t aPriority, std::size_t aBufferedBytes) const
  {
    return mMaxBytes == 0 ||
           static_cast<double>(aBufferedBytes) < ThresholdFor(aPriority);
  }

private:
  /// Requests of kLowestPriority are refused from half of the bound on, those
  /// of priority 0 at the bound.
  double ThresholdFor(std::uint32_t aPriority) const
  {
    constexpr std::uint32_t kLowestPriority = 9;
    constexpr double kReservedForUrgent = 0.5;
    const double rank =
      static_cast<double>(std::min(aPriority, kLowestPriority)) /
      kLowestPriority;
    return static_cast<double>(mMaxBytes) * (1 - kReservedForUrgent * rank);
  }

  std::size_t mMaxBytes;
};

} // namespace peridothoist
