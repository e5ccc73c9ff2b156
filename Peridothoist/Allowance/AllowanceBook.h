/// One entry's shares of all workspaces' allowances.
///
/// Invariant over all entries: the burst shares and the rate shares of one
/// workspace, those in transfers on their way included, each add up to 1 at
/// most among the entries that may act. A balance is at most burst share x
/// burst and grows by rate share x rate, so that over any window all entries
/// together grant at most rate x window + burst. It holds because
///   - shares are parts of the total, not tokens: a change of rate or burst
///     scales them where it is heard, at once and without waiting. During the
///     change each entry is bounded by the larger of old and new, and after
///     the staleness limit none acts on the old;
///   - a transfer is subtracted before it is sent and added once, by the one
///     instance that it names, in the epoch in which it was given;
///   - a new epoch cuts a share at once to the smaller of held and new, and
///     raises it only mRaiseWait later. By then every entry heard of the
///     epoch and cut, or stopped acting. mRaiseWait therefore is the staleness
///     limit and a margin. An entry that skipped an epoch starts from nothing,
///     as a new one does: its old share was given away meanwhile;
///   - balances accrue by a clock that stands still while the entry may not
///     act (AccrualClock).
/// Lost transfers lose allowance until the next epoch and never create any.
///
/// Accounts are made at the first use of a workspace and brought up to date
/// when touched, by replaying the plans heard since: no timer and no walk over
/// all workspaces when a plan changes.
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
  UnknownWorkspace, ///< Not in the view.
  NotFresh,         ///< The view may not be acted on.
  Short,            ///< Not now, at this entry; others may have some.
  NeverAffordable   ///< More than the workspace's total burst.
};

const char*
ToName(SpendRefusal aRefusal);

/// The outcome of Spend().
struct SpendResult
{
  SpendRefusal mRefusal = SpendRefusal::None;
  double mMissingTokens = 0; ///< Tokens short, when Short.
  /// When this entry alone could grant it, should nothing change; empty: it
  /// couldn't.
  std::optional<Duration> mAffordableIn;

  bool IsGranted() const { return mRefusal == SpendRefusal::None; }
};

/// Settings of an AllowanceBook.
struct AllowanceBookSettings
{
  std::size_t mHomeEntriesPerWorkspace = 3; ///< Entries that a workspace lives on.
  /// From hearing of an epoch to raising shares: staleness limit and margin.
  Duration mRaiseWait = std::chrono::milliseconds(2500);
  std::size_t mMaxPlans = 8; ///< Plans kept for replay.
  /// "demand": shares move to where they are asked for. "equal": they stay.
  std::string mShareStrategy = "demand";
};

/// Holds one entry instance's shares.
class AllowanceBook
{
public:
  using Settings = AllowanceBookSettings;

  AllowanceBook(const Settings& aSettings, std::string aSelfInstance);

  // Inputs from the view.

  /// Acting is allowed until aUntil (FreshView::FreshUntil()). Without this
  /// nothing accrues and nothing is granted.
  void AllowUntil(TimePoint aUntil, TimePoint aNow);

  /// The workspaces of the view, with their rates and bursts.
  void SetWorkspaces(const std::map<std::string, Workspace>& aWorkspaces,
                     TimePoint aNow);

  /// Whether shares move to demand ("demand") or stay ("equal").
  void SetShareStrategy(std::string aStrategy)
  {
    mSettings.mShareStrategy = std::move(aStrategy);
  }

  /// A share plan was heard of. Older or equal epochs are ignored.
  void SetPlan(std::uint64_t aEpoch,
               std::vector<std::string> aEntryInstances,
               TimePoint aNow);

  /// Whether this entry got shares by a plan: false for a moment after its
  /// start, when it can only borrow.
  bool HasShares(TimePoint aNow) const;

  // Requests.

  /// Takes aTokens at once or not at all.
  SpendResult Spend(const std::string& aWorkspace,
                    double aTokens,
                    TimePoint aNow);

  /// A request used fewer tokens than it took.
  void Refund(const std::string& aWorkspace, double aTokens, TimePoint aNow);

  /// A request used more than it took: paid from the balance, then by debt
  /// that later accrual pays first. ComputeReturns the debt made, which is beyond
  /// the bound: take the largest possible cost first to have none.
  double Charge(const std::string& aWorkspace, double aTokens, TimePoint aNow);

  // Transfers.

  /// Gives what it can spare of what is asked; an empty transfer when that is
  /// nothing. A repeat of the same ask gives the same transfer again.
  ShareTransfer Give(const BorrowAsk& aAsk, TimePoint aNow);

  /// Adds a transfer. False when it was added before, is for another instance
  /// or of another epoch.
  bool Receive(const ShareTransfer& aTransfer, TimePoint aNow);

  /// Borrowed shares that lie unused, already subtracted, to be sent to whom
  /// they came from. Send one again with the same id until it is answered or
  /// the epoch ends: a lost one is lost until the next epoch.
  std::vector<ShareTransfer> TakeReturns(TimePoint aNow);

  /// Everything that can still be spent here of workspaces used here, already
  /// subtracted, for other home entries: a leaving entry's last transfers.
  std::vector<ShareTransfer> TakeAll(TimePoint aNow);

  /// The home entries of a workspace in the present plan, strongest first.
  std::vector<std::string> HomeEntries(const std::string& aWorkspace) const;

  /// Whom to ask for a workspace's allowance, in order: its home entries, then
  /// those that this entry lent to.
  std::vector<std::string> Lenders(const std::string& aWorkspace) const;

  /// An account as of now.
  ShareStatus Account(const std::string& aWorkspace, TimePoint aNow);

  std::uint64_t Epoch() const;
  const std::string& Self() const { return mSelf; }

private:
  struct Plan
  {
    std::uint64_t mEpoch = 0;
    std::vector<std::string> mEntries;
    Duration mReceivedAt{ 0 }; ///< On mClock.
  };

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
  std::map<std::string, TotalAllowance> mTotals; ///< Of the view.
  std::map<std::string, ShareAccount> mAccounts; ///< Of workspaces used here.
  std::deque<Plan> mPlans; ///< Epochs go up; at most mMaxPlans.

  // Transfers of the present epoch only; cleared when it ends.
  std::map<std::string, ShareTransfer> mSentTransfers; ///< By transfer id.
  std::set<std::string> mReceivedTransferIds;             ///< Transfer ids.
  std::uint64_t mNextTransfer = 1;
};

} // namespace peridothoist
