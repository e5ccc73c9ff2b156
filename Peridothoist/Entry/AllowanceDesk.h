/// Spends a workspace's allowance for requests, and borrows from other entries
/// before it refuses.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/AllowanceBook.h>
#include <Peridothoist/Allowance/BorrowPlanner.h>
#include <Peridothoist/Entry/DemandMeter.h>
#include <Peridothoist/Shell/Reactor.h>

#include <deque>

namespace peridothoist {

/// Carries transfers between entries. Answers come on the reactor's thread and
/// never from within the call.
class AllowancePeers
{
public:
  virtual ~AllowancePeers() = default;

  using Borrowed = std::function<void(std::optional<ShareTransfer> aTransfer)>;

  /// Asks the entry instance for a share; empty when it can't be reached.
  virtual void Borrow(const std::string& aInstance,
                      const BorrowAsk& aAsk,
                      Borrowed aDone) = 0;

  /// Sends a transfer, once: a lost one is made good by the next epoch.
  virtual void Send(const ShareTransfer& aTransfer) = 0;
};

/// The outcome of a request for allowance.
struct AllowanceAnswer
{
  SpendRefusal mRefusal = SpendRefusal::None;
  Duration mRetryAfter{ 0 }; ///< With a refusal: when to come back.
};

/// Counters for metrics.
struct AllowanceDeskCounters
{
  std::uint64_t mGranted = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mBorrows = 0;       ///< Asks sent.
  std::uint64_t mBorrowsUseful = 0; ///< Asks that brought something.
};

/// Settings of an AllowanceDesk.
struct AllowanceDeskSettings
{
  Duration mReturnInterval = 1s;     ///< Between looks for unused shares.
  Duration mDryFor = 100ms;          ///< After peers had nothing to lend.
  std::size_t mMaxWaiting = 1024;    ///< Requests that wait for one borrow.
  Duration mLeastRetryAfter = 100ms; ///< Told with a refusal.
  /// While entries hear of a new plan one after the other, shares can't move:
  /// a request may wait this long for that, and asks again each mAskAgain.
  Duration mPlanSettles = 1500ms;
  Duration mAskAgain = 100ms;
  BorrowPlannerSettings mPlanner;
};

/// One entry's spending.
class AllowanceDesk
{
public:
  using Settings = AllowanceDeskSettings;
  using Done = std::function<void(const AllowanceAnswer& aAnswer)>;

  /// Nothing is owned.
  AllowanceDesk(const Settings& aSettings,
                Reactor* aReactor,
                AllowanceBook* aBook,
                AllowancePeers* aPeers);
  ~AllowanceDesk();

  /// Takes aTokens, borrowing when they are short. aDone is called once,
  /// possibly at once.
  void Spend(const Workspace& aWorkspace, double aTokens, Done aDone);

  /// Settles a request that took aTaken tokens and used aUsed.
  void Settle(const std::string& aWorkspace, double aTaken, double aUsed);

  /// Hands everything on: this entry leaves.
  void HandOver();

  /// Asked tokens a second of each workspace lately, for control.
  const DemandMeter& Demand() const { return mDemand; }

  const AllowanceDeskCounters& Counters() const { return mCounters; }

private:
  /// A request that waits for a borrow.
  struct Waiting
  {
    double mTokens = 0;
    TimePoint mSince;
    Done mDone;
  };

  /// One workspace's borrowing: at most one ask is on its way.
  struct Borrowing
  {
    std::deque<Waiting> mQueue; ///< Never empty while an ask is on its way.
    std::unique_ptr<BorrowPlanner> mPlanner;
    double mWholeBurst = 0; ///< Of the workspace, in tokens.
    double mWholeRate = 0;  ///< Tokens a second.
  };

  void Wait(const Workspace& aWorkspace, Waiting aWaiting);
  void AskNext(const std::string& aWorkspace);
  void OnBorrowed(const std::string& aWorkspace,
                  std::optional<ShareTransfer> aTransfer);
  void ServeWaiting(const std::string& aWorkspace);
  void RefuseWaiting(const std::string& aWorkspace);
  bool MayWaitOn(const std::string& aWorkspace) const;
  void StartRound(const std::string& aWorkspace);
  void NotePlan(TimePoint aNow);
  void Answer(const Waiting& aWaiting, const SpendResult& aResult);
  void ReturnUnused();
  bool IsDry(const std::string& aWorkspace, TimePoint aNow) const;

  Settings mSettings;
  Reactor* mReactor;
  AllowanceBook* mBook;
  AllowancePeers* mPeers;
  DemandMeter mDemand;
  std::map<std::string, Borrowing> mBorrowing; ///< By workspace.
  std::map<std::string, TimePoint> mDryUntil;  ///< By workspace.
  std::uint64_t mNextAsk = 1;
  std::uint64_t mEpoch = 0;            ///< Of the plan as last seen.
  std::optional<TimePoint> mEpochSeen; ///< When mEpoch changed.
  Reactor::TimerId mReturnTimer = 0;
  AllowanceDeskCounters mCounters;
};

} // namespace peridothoist
