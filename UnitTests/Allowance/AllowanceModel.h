/// Model of the AllowanceTables of several entries, the row of the share plan
/// and the messages between them, with lost, repeated and reordered messages,
/// pauses, network partitions, restarts and concurrent epochs.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/AllowanceTable.h>
#include <Peridothoist/Allowance/BorrowPlanner.h>

#include <algorithm>
#include <ostream>

namespace peridothoist::test {

/// Faulty implementations that the model must detect.
enum class NaiveAllowance
{
  None,
  FullRateEverywhere, ///< Each VM grants the total rate.
  DuplicatesCount,    ///< A transfer is added each time that it arrives.
  AnyInstance, ///< A restarted receiver adds its predecessor's transfers.
  AnyEpoch,    ///< A transfer is added in a later epoch, too.
  RaiseAtOnce, ///< Shares are raised without mRaiseDelay.
  NeverStale   ///< Entries act on a plan of any age.
};

/// One step of a run.
struct AllowanceStep
{
  unsigned mOp = 0;
  unsigned mEntry = 0;
  unsigned mOther = 0;
  unsigned mDetail = 0;
};

inline std::ostream&
operator<<(std::ostream& aOut, const AllowanceStep& aStep)
{
  return aOut << aStep.mOp << ':' << aStep.mEntry << ':' << aStep.mOther << ':'
              << aStep.mDetail;
}

/// Checks the bound over all windows at once: a token bucket with the total
/// rate and burst, whose level must never become negative. As long as some
/// entries may not have received a change of the total, the larger of old and
/// new counts. A larger burst may be spent from the change on.
class TotalBucket
{
public:
  TotalBucket(const TotalAllowance& aTotal, Duration aLimit, TimePoint aNow)
    : mLimit(aLimit)
    , mLevel(aTotal.mBurst)
    , mAt(aNow)
    , mTotals{ { aTotal, TimePoint::max() } }
  {
  }

  void Change(const TotalAllowance& aTotal, TimePoint aNow)
  {
    const double before = Largest().mBurst;
    mLevel += std::max(aTotal.mBurst - before, 0.0);
    mTotals.back().mEndsAt = aNow + mLimit;
    mTotals.push_back({ aTotal, TimePoint::max() });
  }

  void AdvanceTo(TimePoint aNow)
  {
    while (mAt < aNow) {
      TimePoint next = aNow;
      const TotalAllowance largest = Largest();
      for (const Period& it : mTotals) {
        next = std::min(next, it.mEndsAt);
      }
      const double seconds = std::chrono::duration<double>(next - mAt).count();
      mLevel = std::min(mLevel + largest.mRate * seconds, largest.mBurst);
      mAt = next;
      const auto isOver = [this](const Period& aPeriod) {
        return aPeriod.mEndsAt <= mAt;
      };
      mTotals.erase(std::remove_if(mTotals.begin(), mTotals.end(), isOver),
                    mTotals.end());
    }
  }

  void Take(double aTokens) { mLevel -= aTokens; }
  double Level() const { return mLevel; }

private:
  /// A total, and until when entries may act on it.
  struct Period
  {
    TotalAllowance mTotal;
    TimePoint mEndsAt;
  };

  TotalAllowance Largest() const
  {
    TotalAllowance largest;
    for (const Period& it : mTotals) {
      largest.mRate = std::max(largest.mRate, it.mTotal.mRate);
      largest.mBurst = std::max(largest.mBurst, it.mTotal.mBurst);
    }
    return largest;
  }

  Duration mLimit;
  double mLevel;
  TimePoint mAt;
  std::vector<Period> mTotals;
};

/// Runs steps and keeps the TotalBucket up to date with what is granted.
class AllowanceModel
{
public:
  static constexpr unsigned kOps = 20;
  static constexpr std::size_t kEntries = 5;
  static constexpr Duration kLimit = std::chrono::seconds(2);
  static constexpr Duration kMargin = std::chrono::milliseconds(500);

  AllowanceModel(NaiveAllowance aNaive, const std::string& aStrategy)
    : mNaive(aNaive)
    , mStrategy(aStrategy)
    , mNow(std::chrono::hours(1))
    , mBucket(mTotal, kLimit, mNow)
  {
    for (std::size_t i = 0; i < kEntries; ++i) {
      mEntries.emplace_back();
      Start(i);
    }
    NewEpoch(0);
    for (int i = 0; i < 30; ++i) {
      Advance(200ms);
      ConfirmAll();
    }
  }

  void Run(const AllowanceStep& aStep)
  {
    const std::size_t i = aStep.mEntry % kEntries;
    Entry& entry = mEntries[i];
    switch (aStep.mOp % kOps) {
      case 0:
      case 1:
      case 2:
        Advance(std::chrono::milliseconds(1 + aStep.mDetail % 900));
        break;
      case 3:
      case 4:
      case 5:
        ConfirmAll();
        break;
      case 6:
      case 7:
        SendBorrowRequest(i, aStep.mDetail % 150);
        break;
      case 8:
      case 9:
        Deliver(aStep.mOther, aStep.mDetail % 2 == 0);
        break;
      case 10:
        aStep.mDetail % 8 == 0 ? Send(entry.mTable->ReleaseAllShares(mNow))
                               : Send(entry.mTable->ReturnUnusedShares(mNow));
        break;
      case 11:
        aStep.mDetail % 2 == 0 ? NewEpoch(aStep.mOther) : ChangeTotal(aStep);
        break;
      case 12:
        entry.mIsCutOff = aStep.mDetail % 4 == 0;
        break;
      case 13:
        entry.mIsPaused = aStep.mDetail % 4 == 0;
        break;
      case 14:
        if (aStep.mDetail % 2 == 0) {
          Start(i);
        }
        break;
      case 15:
        Drain();
        break;
      default:
        Request(i, 1 + aStep.mDetail % 100, aStep.mOther % 4 != 0);
        break;
    }
  }

  /// Runs a caller's request at an entry. If aBorrows, the entry borrows before
  /// it refuses. Returns whether the request was granted.
  bool Request(std::size_t aEntry, double aTokens, bool aBorrows)
  {
    Entry& entry = mEntries[aEntry];
    if (entry.mIsPaused) {
      return false;
    }
    SpendResult result = entry.mTable->Spend(kWorkspace, aTokens, mNow);
    if (aBorrows) {
      BorrowPlanner planner({},
                            entry.mTable->Self(),
                            entry.mTable->Epoch(),
                            kWorkspace,
                            entry.mTable->Lenders(kWorkspace),
                            entry.mDemandRate);
      while (result.mRefusal == SpendRefusal::InsufficientTokens) {
        const auto request = planner.NextRequest(result.mMissingTokens,
                                                 mTotal.mBurst,
                                                 NewId(),
                                                 HeldRate(*entry.mTable));
        if (!request) {
          break;
        }
        BorrowNow(planner.LastLender(), *request);
        result = entry.mTable->Spend(kWorkspace, aTokens, mNow);
      }
    }
    if (result.IsGranted()) {
      mBucket.Take(aTokens);
      ++mGranted;
      return true;
    }
    const bool isWithinBound = mBucket.Level() >= aTokens;
    mWronglyRefused += aBorrows && isWithinBound &&
                       result.mRefusal == SpendRefusal::InsufficientTokens;
    ++mRefused;
    return false;
  }

  /// Lets every entry spend as much as it can.
  void Drain()
  {
    for (std::size_t i = 0; i < kEntries; ++i) {
      for (double tokens : { 100.0, 30.0, 10.0, 3.0, 1.0 }) {
        while (Request(i, tokens, false)) {
        }
      }
    }
  }

  void Advance(Duration aSpan)
  {
    mNow += aSpan;
    mBucket.AdvanceTo(mNow);
  }

  void ConfirmAll()
  {
    for (Entry& entry : mEntries) {
      if (!entry.mIsPaused && !entry.mIsCutOff) {
        Confirm(entry);
      }
    }
  }

  void SendReturns()
  {
    for (Entry& entry : mEntries) {
      for (const ShareTransfer& it : entry.mTable->ReturnUnusedShares(mNow)) {
        ReceiveTransfer(it);
      }
    }
  }

  void SetDemandRate(std::size_t aEntry, double aRate)
  {
    mEntries[aEntry].mDemandRate = aRate;
  }

  bool IsWithinBound() const { return mBucket.Level() > -1e-6; }
  std::size_t Granted() const { return mGranted; }
  std::size_t Refused() const { return mRefused; }
  std::size_t WronglyRefused() const { return mWronglyRefused; }
  AllowanceTable& Table(std::size_t aEntry) { return *mEntries[aEntry].mTable; }
  TimePoint Now() const { return mNow; }
  static constexpr const char* kWorkspace = "workspace";

private:
  struct Entry
  {
    std::unique_ptr<AllowanceTable> mTable;
    bool mIsCutOff = false; ///< It receives no new view.
    bool mIsPaused = false;
    double mDemandRate = 50; ///< Passed to the BorrowPlanner.
  };

  /// A borrow request or a transfer in transit.
  struct Message
  {
    std::optional<ShareRequest> mRequest;
    std::string mLender;
    ShareTransfer mTransfer; ///< Used without mRequest.
  };

  void Start(std::size_t aEntry)
  {
    AllowanceTableSettings settings;
    settings.mRaiseDelay =
      mNaive == NaiveAllowance::RaiseAtOnce ? Duration{ 0 } : kLimit + kMargin;
    settings.mShareStrategy = mStrategy;
    const std::string instance =
      "vm" + std::to_string(aEntry) + "#" + std::to_string(++mStarts);
    Entry& entry = mEntries[aEntry];
    entry.mTable = std::make_unique<AllowanceTable>(settings, instance);
    entry.mIsPaused = false;
  }

  void Confirm(Entry& aEntry)
  {
    Workspace workspace;
    workspace.mName = kWorkspace;
    workspace.mTokensPerSecond = mTotal.mRate;
    workspace.mBurstTokens = mTotal.mBurst;
    AllowanceTable& table = *aEntry.mTable;
    table.SetWorkspaces({ { kWorkspace, workspace } }, mNow);
    const bool isAlone = mNaive == NaiveAllowance::FullRateEverywhere;
    table.SetPlan(mEpoch,
                  isAlone ? std::vector<std::string>{ table.Self() }
                          : mPlanInstances,
                  mNow);
    const bool isUnlimited = mNaive == NaiveAllowance::NeverStale;
    table.SetFreshUntil(mNow + (isUnlimited ? std::chrono::hours(1) : kLimit),
                        mNow);
  }

  /// Starts an epoch with all running instances, or all but one.
  void NewEpoch(unsigned aLeftOut)
  {
    ++mEpoch;
    mPlanInstances.clear();
    for (std::size_t i = 0; i < kEntries; ++i) {
      if (aLeftOut % 7 != i + 1) {
        mPlanInstances.push_back(mEntries[i].mTable->Self());
      }
    }
  }

  void ChangeTotal(const AllowanceStep& aStep)
  {
    mTotal.mRate = 20.0 * (1 + aStep.mOther % 10);
    mTotal.mBurst = 40.0 * (1 + aStep.mEntry % 10);
    mBucket.Change(mTotal, mNow);
  }

  double HeldRate(AllowanceTable& aTable)
  {
    return aTable.AccountStatus(kWorkspace, mNow).mRateShare * mTotal.mRate;
  }

  std::string NewId() { return "transfer-" + std::to_string(++mIds); }

  Entry* Find(const std::string& aInstance)
  {
    for (Entry& entry : mEntries) {
      if (entry.mTable->Self() == aInstance) {
        return &entry;
      }
    }
    return nullptr;
  }

  void SendBorrowRequest(std::size_t aEntry, double aTokens)
  {
    AllowanceTable& table = *mEntries[aEntry].mTable;
    BorrowPlanner planner({},
                          table.Self(),
                          table.Epoch(),
                          kWorkspace,
                          table.Lenders(kWorkspace),
                          mEntries[aEntry].mDemandRate);
    const auto request =
      planner.NextRequest(aTokens, mTotal.mBurst, NewId(), HeldRate(table));
    if (request) {
      mMessagesInTransit.push_back({ request, planner.LastLender(), {} });
    }
  }

  void Send(const std::vector<ShareTransfer>& aTransfers)
  {
    for (const ShareTransfer& it : aTransfers) {
      mMessagesInTransit.push_back({ std::nullopt, {}, it });
    }
  }

  /// Delivers one of the messages in transit, which may be delivered again
  /// later.
  void Deliver(unsigned aWhich, bool aAgainLater)
  {
    if (mMessagesInTransit.empty()) {
      return;
    }
    const std::size_t i = aWhich % mMessagesInTransit.size();
    const Message message = mMessagesInTransit[i];
    if (!aAgainLater) {
      mMessagesInTransit.erase(mMessagesInTransit.begin() +
                               static_cast<std::ptrdiff_t>(i));
    }
    if (!message.mRequest) {
      ReceiveTransfer(message.mTransfer);
      return;
    }
    Entry* lender = Find(message.mLender);
    if (lender != nullptr && !lender->mIsPaused) {
      Send({ lender->mTable->Lend(*message.mRequest, mNow) });
    }
  }

  /// Borrows without a delay.
  void BorrowNow(const std::string& aLender, const ShareRequest& aRequest)
  {
    Entry* lender = Find(aLender);
    if (lender != nullptr && !lender->mIsPaused && !lender->mIsCutOff) {
      ReceiveTransfer(lender->mTable->Lend(aRequest, mNow));
    }
  }

  void ReceiveTransfer(ShareTransfer aTransfer)
  {
    Entry* receiver = Find(aTransfer.mToInstance);
    if (receiver == nullptr && mNaive == NaiveAllowance::AnyInstance) {
      const std::string vm =
        aTransfer.mToInstance.substr(0, aTransfer.mToInstance.find('#'));
      for (Entry& entry : mEntries) {
        if (entry.mTable->Self().rfind(vm + "#", 0) == 0) {
          receiver = &entry;
          aTransfer.mToInstance = entry.mTable->Self();
        }
      }
    }
    if (receiver == nullptr || receiver->mIsPaused) {
      return;
    }
    if (mNaive == NaiveAllowance::DuplicatesCount) {
      aTransfer.mTransferId = NewId();
    }
    if (mNaive == NaiveAllowance::AnyEpoch) {
      aTransfer.mEpoch = receiver->mTable->Epoch();
    }
    receiver->mTable->Receive(aTransfer, mNow);
  }

  NaiveAllowance mNaive;
  std::string mStrategy;
  TimePoint mNow;
  TotalAllowance mTotal{ 100, 200 };
  TotalBucket mBucket;
  std::vector<Entry> mEntries;
  std::uint64_t mEpoch = 0;
  std::vector<std::string> mPlanInstances;
  std::vector<Message> mMessagesInTransit;
  unsigned mStarts = 0;
  unsigned mIds = 0;
  std::size_t mGranted = 0;
  std::size_t mRefused = 0;
  std::size_t mWronglyRefused = 0;
};

} // namespace peridothoist::test
