/// A part of a workspace's allowance on its way from one entry to another.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Moves a part of a share. The giver subtracted it before it sent this; the
/// receiver adds it once per transfer id, and only in the same epoch.
struct ShareTransfer
{
  std::string mTransferId; ///< Unique over all instances.
  std::string mFromInstance;
  std::string mToInstance; ///< Only this instance may add it.
  std::uint64_t mEpoch = 0;
  std::string mWorkspace;
  double mTokens = 0;     ///< Balance that moves.
  double mBurstShare = 0; ///< Part of the whole burst that moves, 0 to 1.
  double mRateShare = 0;  ///< Part of the whole rate that moves, 0 to 1.

  bool IsEmpty() const { return mBurstShare <= 0 && mRateShare <= 0; }
};

/// Asks an entry for a part of its share.
struct BorrowAsk
{
  std::string mTransferId; ///< Chosen by the borrower; a repeat gets the same.
  std::string mInstance;   ///< Who asks.
  std::uint64_t mEpoch = 0;
  std::string mWorkspace;
  double mTokens = 0; ///< LiveEntries now.
  double mRate = 0;   ///< LiveEntries from now on, tokens a second.
};

} // namespace peridothoist
