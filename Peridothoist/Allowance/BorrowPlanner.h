/// Whom an entry asks for allowance, in which order and for how much, before
/// it refuses a request. One planner serves one request.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/ShareTransfer.h>

namespace peridothoist {

/// Limits of a BorrowPlanner.
struct BorrowPlannerSettings
{
  std::size_t mMaxLenders = 3; ///< Entries asked for one request.
  /// Asks for this many times what is missing, so that the next request needs
  /// no asking.
  double mBorrowFactor = 2.0;
  /// Asks for rate up to this many times the demand: at just the demand a
  /// balance runs dry now and then.
  double mRateHeadroom = 1.5;
};

/// Plans the asks for one request that an entry's own balance didn't cover.
class BorrowPlanner
{
public:
  using Settings = BorrowPlannerSettings;

  /// aLenders are as AllowanceBook::Lenders() gives them; aDemandRate is what
  /// this entry's callers asked of the workspace lately, tokens a second.
  BorrowPlanner(const Settings& aSettings,
                const std::string& aSelf,
                std::uint64_t aEpoch,
                std::string aWorkspace,
                const std::vector<std::string>& aLenders,
                double aDemandRate);

  /// The next ask; empty when nobody is left to ask: refuse. aMissing is what
  /// Spend() still lacks, aTotalBurst bounds what is asked for. aTransferId
  /// must be new. aHeldRate is the rate that this entry has already, tokens a
  /// second: only what its demand needs beyond that is asked for, as rate
  /// taken without need is missed elsewhere.
  std::optional<BorrowAsk> Next(double aMissing,
                                double aTotalBurst,
                                std::string aTransferId,
                                double aHeldRate);

  /// The entry that the last ask goes to.
  const std::string& LastAsked() const { return mLastAsked; }

private:
  Settings mSettings;
  std::string mSelf;
  std::uint64_t mEpoch;
  std::string mWorkspace;
  std::vector<std::string> mLendersLeft; ///< Not yet asked, the first last.
  double mDemandRate;
  std::size_t mLendersAsked = 0;
  std::string mLastAsked;
};

} // namespace peridothoist
