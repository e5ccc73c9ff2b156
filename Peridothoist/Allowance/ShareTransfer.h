/// Messages with which entries transfer shares of a workspace's allowance to
/// each other.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Moves an amount of a workspace's allowance. The sender subtracts it before
/// it sends the transfer. The receiver adds it once per transfer id, and only
/// in the same epoch.
struct ShareTransfer
{
  std::string mTransferId; ///< Unique among all instances.
  std::string mFromInstance;
  std::string mToInstance;  ///< Only this instance may add it.
  std::uint64_t mEpoch = 0; ///< Epoch of the share plan when it was sent.
  std::string mWorkspace;
  double mTokens = 0;     ///< Balance that moves.
  double mBurstShare = 0; ///< Fraction of the total burst that moves, 0 to 1.
  double mRateShare = 0;  ///< Fraction of the total rate that moves, 0 to 1.

  /// Returns whether nothing moves. Tokens never move without a burst share,
  /// because no balance exceeds its share of the burst.
  bool IsEmpty() const { return mBurstShare <= 0 && mRateShare <= 0; }
};

/// Asks another entry to lend an amount of its share.
struct ShareRequest
{
  std::string mTransferId; ///< Chosen by the borrower; a retry has the same id.
  std::string mInstance;   ///< The borrower.
  std::uint64_t mEpoch = 0; ///< The borrower's epoch; must be the lender's.
  std::string mWorkspace;
  double mTokens = 0; ///< Requested tokens.
  double mRate = 0;   ///< Requested additional rate, tokens per second.
};

} // namespace peridothoist
