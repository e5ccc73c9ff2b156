/// Splits each engine's decode memory among the entry processes, so that they
/// don't all send to the same engine on the same outdated load report. The
/// split is optimistic: the engine itself refuses a reservation that does not
/// fit.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Routing/UpstreamState.h>

#include <algorithm>

namespace peridothoist {

/// Decides whether this entry may try to reserve memory at an engine.
class ReservationPolicy
{
public:
  void SetEntryCount(std::uint32_t aCount)
  {
    mEntryCount = std::max<std::uint32_t>(1, aCount);
  }

  /// Returns this entry's fraction of an engine's pieces, rounded up.
  std::uint32_t PiecesPerEntry(std::uint32_t aTotalPieces) const
  {
    return (aTotalPieces + mEntryCount - 1) / mEntryCount;
  }

  /// Returns whether this entry may try to reserve aPieces. Within its own
  /// fraction the load report is ignored, as it may be outdated. Beyond it,
  /// pieces that the report shows as free may be used, except for a margin
  /// that is left to the other entries.
  bool MayReserve(const UpstreamState& aUpstream, std::uint32_t aPieces) const
  {
    const std::uint32_t total = aUpstream.TotalPieces();
    const std::uint32_t held = aUpstream.PiecesHeld();
    if (aPieces > total || held > total - aPieces) {
      return false;
    }
    if (held + aPieces <= PiecesPerEntry(total)) {
      return true;
    }
    const std::uint32_t margin =
      mEntryCount == 1 ? 0 : std::min(total / kMarginDivisor, total - aPieces);
    return aUpstream.FreePieces() >= aPieces + margin;
  }

private:
  /// A quarter of the total is left free.
  static constexpr std::uint32_t kMarginDivisor = 4;

  std::uint32_t mEntryCount = 1;
};

} // namespace peridothoist
