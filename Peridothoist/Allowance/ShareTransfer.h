/// Messages by which entries move parts of a workspace's allowance between
/// them.
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
  std::string mToInstance; ///< Only this instance may add it.
  std::uint64_t mEpoch = 0;
  std::string mWorkspace;
  double mTokens = 0;     ///< Balance that moves.
  double mBurstShare = 0; ///< Fraction of the total burst that moves, 0 to 1.
  double mRateShare = 0;  ///< Fraction of the total rate that moves, 0 to 1.

  bool IsEmpty() const { return mBurstShare <= 0 && mRateShare <= 0; }
};

/// Requests an amount of allowance from another entry.
struct ShareRequest
{
  std::string mTransferId; ///< Chosen by the borrower; a retry has the same id.
  std::string mInstance;   ///< The borrower.
  std::uint64_t mEpoch = 0;
  std::string mWorkspace;
  double mTokens = 0; ///< Tokens needed now.
  double mRate = 0;   ///< Rate needed from now on, tokens per second.
};

} // namespace peridothoist
