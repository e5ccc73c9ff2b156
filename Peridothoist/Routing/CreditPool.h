/// Splits decode memory over the VMs' entries, so that they don't herd on one
/// lagging load report. Optimistic: the engine's own refusal corrects it.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Routing/UpstreamState.h>

#include <algorithm>

namespace peridothoist {

/// Decides whether this entry may try to reserve at an engine.
class CreditPool
{
public:
  void SetEntryCount(std::uint32_t aCount)
  {
    mEntryCount = std::max<std::uint32_t>(1, aCount);
  }

  /// This entry's part of an engine's pieces, rounded up.
  std::uint32_t Credit(std::uint32_t aTotalPieces) const
  {
    return (aTotalPieces + mEntryCount - 1) / mEntryCount;
  }

  /// Within the credit a lagging report is not heeded. Beyond it, pieces that
  /// the report shows free may be used, but for a margin that is left to the
  /// other entries.
  bool MayReserve(const UpstreamState& aUpstream, std::uint32_t aPieces) const
  {
    const std::uint32_t total = aUpstream.TotalPieces();
    const std::uint32_t held = aUpstream.PiecesHeld();
    if (aPieces > total || held > total - aPieces) {
      return false;
    }
    if (held + aPieces <= Credit(total)) {
      return true;
    }
    const std::uint32_t margin =
      mEntryCount == 1 ? 0 : std::min(total / kMarginPart, total - aPieces);
    return aUpstream.FreePieces() >= aPieces + margin;
  }

private:
  static constexpr std::uint32_t kMarginPart = 4; ///< A quarter is left free.

  std::uint32_t mEntryCount = 1;
};

} // namespace peridothoist
