/// One entry's shares of all workspaces' allowances.
///
/// Invariant over all entries: the burst shares and the rate shares of one
/// workspace, including those in transfers that are in transit, each add up to
/// at most 1 among the entries that may act. A balance is at most burst share
/// x burst and grows by rate share x rate, so that over any window all entries
/// together grant at most rate x window + burst. The invariant holds because
///   - shares are fractions of the total, not tokens. A change of rate or burst
///     scales them as soon as an entry receives it, without a delay. During the
///     change each entry is bounded by the larger of old and new, and after
///     the staleness limit no entry acts on the old value;
///   - a transfer is subtracted before it is sent, and is added once, by the
///     one instance that it names, in the epoch in which it was sent;
///   - a new epoch cuts a share at once to the smaller of the held and the new
///     one, and raises it only mRaiseDelay later. By then every entry has
///     received the epoch and cut its share, or may no longer act. mRaiseDelay
///     therefore is the staleness limit plus a margin. An entry that missed an
///     epoch starts from 0, as a new entry does, because its old share has
///     been given to others;
///   - balances accrue by a clock that stops while the entry may not act
///     (AccrualClock).
/// A lost transfer loses allowance until the next epoch; it never creates any.
///
/// Accounts are created at the first use of a workspace and brought up to date
/// on access, by replaying the plans received since. So there is no timer, and
/// a new plan needs no loop over all workspaces.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/AccrualClock.h>
#include <Peridothoist/Allowance/ShareAccount.h>
#include <Peridothoist/Allowance/ShareTransfer.h>
#include <Peridothoist/Config/Configuration.h>

#include <deque>
#include <set>

namespace peridothoist {

/// Why tokens were not granted.
enum class SpendRefusal
{
  None,
  UnknownWorkspace,   ///< The workspace is not in the view.
  NotFresh,           ///< The view is too old to act on.
  InsufficientTokens, ///< This entry has too few tokens now; others may have
                      ///< some.
  NeverAffordable     ///< The request exceeds the workspace's total burst.
};

const char*
ToName(SpendRefusal aRefusal);

/// The result of Spend().
struct SpendResult
{
  SpendRefusal mRefusal = SpendRefusal::None;
  /// Number of tokens that are missing when refused as InsufficientTokens.
  double mMissingTokens = 0;
  /// Time until this entry alone can grant the tokens if nothing changes;
  /// empty when it can't.
  std::optional<Duration> mAffordableIn;

  bool IsGranted() const { return mRefusal == SpendRefusal::None; }
};

/// Settings of an AllowanceTable.
struct AllowanceTableSettings
{
  /// Number of entries that share a workspace's allowance by plan.
  std::size_t mHomeEntriesPerWorkspace = 3;
  /// Delay from receiving an epoch to raising shares: the staleness limit plus
  /// a margin.
  Duration mRaiseDelay = std::chrono::milliseconds(2500);
  std::size_t mMaxPlans = 8; ///< Number of plans that are kept for replay.
  /// "demand": shares move to the entries that need them. "equal": they don't
  /// move.
  std::string mShareStrategy = "demand";
};

/// Holds the shares of one entry instance.
class AllowanceTable
{
public:
  using Settings = AllowanceTableSettings;

  AllowanceTable(const Settings& aSettings, std::string aSelfInstance);

  // Inputs from the view.

  /// Lets this entry act until aUntil, which is ViewFreshness::FreshUntil().
  /// Otherwise nothing accrues and nothing is granted.
  void SetFreshUntil(TimePoint aUntil, TimePoint aNow);

  /// Sets the workspaces of the view, with their rates and bursts.
  void SetWorkspaces(const std::map<std::string, Workspace>& aWorkspaces,
                     TimePoint aNow);

  /// Sets the strategy, see AllowanceTableSettings::mShareStrategy.
  void SetShareStrategy(std::string aStrategy)
  {
    mSettings.mShareStrategy = std::move(aStrategy);
  }

  /// Called when a share plan is received. Ignores epochs that are not newer
  /// than the current one.
  void SetPlan(std::uint64_t aEpoch,
               std::vector<std::string> aEntryInstances,
               TimePoint aNow);

  /// Returns whether a plan has given shares to this entry. False for a short
  /// time after its start, when it can only borrow.
  bool HasShares(TimePoint aNow) const;

  // Requests.

  /// Takes all of aTokens or nothing.
  SpendResult Spend(const std::string& aWorkspace,
                    double aTokens,
                    TimePoint aNow);

  /// Called when a request used fewer tokens than it took.
  void Refund(const std::string& aWorkspace, double aTokens, TimePoint aNow);

  /// Called when a request used more tokens than it took. Takes them from the
  /// balance and the rest as debt, which later accrual pays first. Returns the
  /// new debt, which exceeds the bound above: to have none, Spend() the
  /// largest possible cost first.
  double Charge(const std::string& aWorkspace, double aTokens, TimePoint aNow);

  // Transfers.

  /// Lends what this entry can spare of the requested amount. Returns an empty
  /// transfer when that is nothing. A retry of the same request returns
  /// the same transfer.
  ShareTransfer Lend(const ShareRequest& aRequest, TimePoint aNow);

  /// Adds a transfer. Returns false when it was added before, is for another
  /// instance or belongs to another epoch.
  bool Receive(const ShareTransfer& aTransfer, TimePoint aNow);

  /// Subtracts unused borrowed shares and returns them as transfers to their
  /// lenders. Retry a transfer with the same id until it is acknowledged or
  /// the epoch ends: a lost transfer is lost until the next epoch.
  std::vector<ShareTransfer> ReturnUnusedShares(TimePoint aNow);

  /// Subtracts everything that can still be spent here and returns it as
  /// transfers to other home entries. Used by an entry that leaves.
  std::vector<ShareTransfer> ReleaseAllShares(TimePoint aNow);

  /// Returns the home entries of a workspace by the current plan, highest
  /// rendezvous score first.
  std::vector<std::string> HomeEntries(const std::string& aWorkspace) const;

  /// Returns the entries to borrow a workspace's allowance from, in order: its
  /// home entries, then those that this entry lent to.
  std::vector<std::string> Lenders(const std::string& aWorkspace) const;

  /// Returns the current state of an account.
  ShareStatus AccountStatus(const std::string& aWorkspace, TimePoint aNow);

  std::uint64_t Epoch() const;
  const std::string& Self() const { return mSelf; }

private:
  struct Plan
  {
    std::uint64_t mEpoch = 0;
    std::vector<std::string> mEntries;
    Duration mReceivedAt{ 0 }; ///< Time of mClock.
  };

  /// Returns the account, updated to aNow, and creates it if need be. Returns
  /// null when the workspace isn't known.
  ShareAccount* FindUpToDate(const std::string& aWorkspace, TimePoint aNow);
  double HomeShare(const std::string& aWorkspace, const Plan& aPlan) const;
  std::string OtherHome(const std::string& aWorkspace) const;
  ShareTransfer Subtract(const std::string& aWorkspace,
                         ShareAccount& aAccount,
                         const ShareAmount& aAmount,
                         const std::string& aTo);

  Settings mSettings;
  std::string mSelf;
  AccrualClock mClock;
  std::map<std::string, TotalAllowance> mTotals; ///< Workspaces of the view.
  std::map<std::string, ShareAccount> mAccounts; ///< Workspaces used here.
  std::deque<Plan> mPlans; ///< By increasing epoch; at most mMaxPlans.

  // Transfers of the current epoch; cleared when it ends.
  std::map<std::string, ShareTransfer> mSentTransfers; ///< By transfer id.
  std::set<std::string> mReceivedTransferIds;
  std::uint64_t mNextTransfer = 1;
};

} // namespace peridothoist
