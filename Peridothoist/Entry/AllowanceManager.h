/// Charges requests to the allowances of their workspaces. When the local
/// share of an allowance is too small, it borrows from other entry processes
/// before it refuses a request.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/AllowanceTable.h>
#include <Peridothoist/Allowance/BorrowPlanner.h>
#include <Peridothoist/Entry/DemandEstimator.h>
#include <Peridothoist/Shell/Reactor.h>

#include <deque>

namespace peridothoist {

/// Sends share transfers and borrow requests to other entry processes.
/// Callbacks run on the reactor's thread and never from within the call.
class AllowancePeerClient
{
public:
  virtual ~AllowancePeerClient() = default;

  using BorrowCallback =
    std::function<void(std::optional<ShareTransfer> aTransfer)>;

  /// Requests a share from the entry process aInstance. aDone gets nullopt
  /// when the process can't be reached or lends nothing.
  virtual void Borrow(const std::string& aInstance,
                      const ShareRequest& aRequest,
                      BorrowCallback aDone) = 0;

  /// Sends a transfer once, without retries: the next epoch restores the
  /// shares of a lost transfer.
  virtual void Send(const ShareTransfer& aTransfer) = 0;
};

/// Result of AllowanceManager::Spend().
struct AllowanceResult
{
  SpendRefusal mRefusal = SpendRefusal::None;
  Duration mRetryAfter{ 0 }; ///< For a refusal: delay before the next try.
};

/// Counters that are exported as metrics.
struct AllowanceManagerCounters
{
  std::uint64_t mGranted = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mBorrowRequests = 0;    ///< Borrow requests sent.
  std::uint64_t mSuccessfulBorrows = 0; ///< Borrow requests that got a share.
};

/// Settings of an AllowanceManager.
struct AllowanceManagerSettings
{
  Duration mReturnInterval = 1s;   ///< Interval of returning unused shares.
  Duration mBorrowBackoff = 100ms; ///< Pause after no peer lent a share.
  std::size_t mMaxWaiting = 1024;  ///< Queued requests of one workspace.
  Duration mMinRetryAfter = 100ms; ///< Lower bound of a refusal's delay.
  /// Shares can't be transferred until all entries have received a new share
  /// plan. During this time after a plan change, a request waits and borrowing
  /// is retried every mBorrowRetryInterval.
  Duration mPlanPropagationTime = 1500ms;
  Duration mBorrowRetryInterval = 100ms;
  BorrowPlannerSettings mPlanner;
};

/// Charges the requests of one entry process to its shares of the allowances.
class AllowanceManager
{
public:
  using Settings = AllowanceManagerSettings;
  using SpendCallback = std::function<void(const AllowanceResult& aResult)>;

  /// The pointers are not owned.
  AllowanceManager(const Settings& aSettings,
                   Reactor* aReactor,
                   AllowanceTable* aShares,
                   AllowancePeerClient* aPeers);
  ~AllowanceManager();

  /// Takes aTokens from the allowance, borrowing when the local balance is too
  /// low. Calls aDone exactly once, possibly before returning.
  void Spend(const Workspace& aWorkspace, double aTokens, SpendCallback aDone);

  /// Corrects the balance for a request that took aReservedTokens from it and
  /// used aUsedTokens: refunds the rest or charges the excess.
  void Settle(const std::string& aWorkspace,
              double aReservedTokens,
              double aUsedTokens);

  /// Transfers all shares to other entries. Called when this entry leaves.
  void TransferAllShares();

  /// Recent demand of each workspace, in tokens per second.
  const DemandEstimator& Demand() const { return mDemand; }

  const AllowanceManagerCounters& Counters() const { return mCounters; }

private:
  /// A request that waits for a borrowed share.
  struct WaitingRequest
  {
    double mTokens = 0;
    TimePoint mEnqueuedAt;
    SpendCallback mDone;
  };

  /// State of borrowing for one workspace. At most one borrow request is in
  /// flight.
  struct BorrowState
  {
    /// Never empty while a borrow request is in flight.
    std::deque<WaitingRequest> mQueue;
    std::unique_ptr<BorrowPlanner> mPlanner;
    double mBurstTokens = 0;     ///< Burst of the whole allowance, in tokens.
    double mTokensPerSecond = 0; ///< Rate of the whole allowance.
  };

  void Enqueue(const Workspace& aWorkspace, WaitingRequest aRequest);
  void BorrowFromNextLender(const std::string& aWorkspace);
  void OnBorrowed(const std::string& aWorkspace,
                  std::optional<ShareTransfer> aTransfer);
  void ServeWaiting(const std::string& aWorkspace);
  void OnLendersExhausted(const std::string& aWorkspace);
  bool ShouldKeepWaiting(const std::string& aWorkspace) const;
  void StartBorrowRound(const std::string& aWorkspace);
  void TrackPlanEpoch(TimePoint aNow);
  void Complete(const WaitingRequest& aRequest, const SpendResult& aResult);
  void ReturnUnused();
  bool IsInBorrowBackoff(const std::string& aWorkspace, TimePoint aNow) const;

  Settings mSettings;
  Reactor* mReactor;
  AllowanceTable* mShares;
  AllowancePeerClient* mPeers;
  DemandEstimator mDemand;
  std::map<std::string, BorrowState> mBorrowStates;     ///< By workspace.
  std::map<std::string, TimePoint> mBorrowBackoffUntil; ///< By workspace.
  std::uint64_t mNextTransferNumber = 1;
  std::uint64_t mEpoch = 0; ///< Epoch of the share plan last seen.
  std::optional<TimePoint> mEpochChangedAt; ///< When mEpoch changed.
  Reactor::TimerId mReturnTimer = 0;
  AllowanceManagerCounters mCounters;
};

} // namespace peridothoist
