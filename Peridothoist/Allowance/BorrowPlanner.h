/// Plans from which entries, in which order and how much allowance an entry
/// borrows before it refuses a request. One planner serves one request.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/ShareTransfer.h>

namespace peridothoist {

/// Limits of a BorrowPlanner.
struct BorrowPlannerSettings
{
  std::size_t mMaxLenders = 3; ///< Entries to borrow from for one request.
  /// Borrows this multiple of the missing tokens, so that the next request
  /// doesn't have to borrow again.
  double mBorrowFactor = 2.0;
  /// Borrows rate up to this multiple of the demand: with a rate equal to the
  /// demand, a balance still becomes empty now and then.
  double mRateHeadroom = 1.5;
};

/// Plans the borrow requests for one request that the entry's own balance
/// doesn't cover.
class BorrowPlanner
{
public:
  using Settings = BorrowPlannerSettings;

  /// aLenders is the result of AllowanceTable::Lenders(). aDemandRate is the
  /// recent demand of this entry's callers for the workspace, tokens per
  /// second.
  BorrowPlanner(const Settings& aSettings,
                const std::string& aSelf,
                std::uint64_t aEpoch,
                std::string aWorkspace,
                const std::vector<std::string>& aLenders,
                double aDemandRate);

  /// Returns the next borrow request, or nullopt when no lender is left and
  /// the caller's request has to be refused. aMissing is the number of tokens
  /// that Spend() still lacks, aTotalBurst limits the requested tokens.
  /// aTransferId must be new. aHeldRate is the rate that this entry has
  /// already, tokens per second. Only what the demand needs beyond it is
  /// requested, because rate that is borrowed without need is missing
  /// elsewhere.
  std::optional<ShareRequest> NextRequest(double aMissing,
                                          double aTotalBurst,
                                          std::string aTransferId,
                                          double aHeldRate);

  /// Returns the entry that the last borrow request goes to.
  const std::string& LastLender() const { return mLastLender; }

private:
  Settings mSettings;
  std::string mSelf;
  std::uint64_t mEpoch;
  std::string mWorkspace;
  std::vector<std::string> mLendersLeft; ///< In reverse order.
  double mDemandRate;
  std::size_t mLendersTried = 0;
  std::string mLastLender;
};

} // namespace peridothoist
