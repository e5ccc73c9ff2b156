/// Several entries' books, the plan's row and the messages between them, with
/// losses, repeats, reordering, pauses, cuts, restarts and raced epochs.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/AllowanceBook.h>
#include <Peridothoist/Allowance/BorrowPlanner.h>

#include <algorithm>
#include <ostream>

namespace peridothoist::test {

/// A way of doing it wrong, to show that the model finds it.
enum class NaiveAllowance
{
  No,
  FullRateEverywhere, ///< A counter at each VM, with the whole rate.
  RepeatsCount,       ///< A transfer is added each time that it arrives.
  AnyInstance,        ///< A restarted receiver takes its predecessor's.
  AnyEpoch,           ///< A transfer is added in a later epoch, too.
  RaiseAtOnce,        ///< A new epoch's share is taken without the wait.
  NeverStale          ///< Entries act on any plan, however old.
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

/// The bound over all windows at once: a bucket of the whole rate and burst
/// that never runs empty. While a change of the whole may not be heard
/// everywhere, the larger of old and new counts; a larger burst may be spent
/// from the change on.
class WholeBucket
{
public:
  WholeBucket(const TotalAllowance& aTotal, Duration aLimit, TimePoint aNow)
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
      for (const Epoch& it : mTotals) {
        next = std::min(next, it.mEndsAt);
      }
      const double seconds = std::chrono::duration<double>(next - mAt).count();
      mLevel = std::min(mLevel + largest.mRate * seconds, largest.mBurst);
      mAt = next;
      const auto isOver = [this](const Epoch& aEpoch) {
        return aEpoch.mEndsAt <= mAt;
      };
      mTotals.erase(std::remove_if(mTotals.begin(), mTotals.end(), isOver),
                    mTotals.end());
    }
  }

  void Take(double aTokens) { mLevel -= aTokens; }
  double Level() const { return mLevel; }

private:
  struct Epoch
  {
    TotalAllowance mTotal;
    TimePoint mEndsAt;
  };

  TotalAllowance Largest() const
  {
    TotalAllowance largest;
    for (const Epoch& it : mTotals) {
      largest.mRate = std::max(largest.mRate, it.mTotal.mRate);
      largest.mBurst = std::max(largest.mBurst, it.mTotal.mBurst);
    }
    return largest;
  }

  Duration mLimit;
  double mLevel;
  TimePoint mAt;
  std::vector<Epoch> mTotals;
};

/// Runs steps and keeps the whole bucket beside.
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
        Ask(i, aStep.mDetail % 150);
        break;
      case 8:
      case 9:
        Deliver(aStep.mOther, aStep.mDetail % 2 == 0);
        break;
      case 10:
        aStep.mDetail % 8 == 0 ? Send(entry.mBook->TakeAll(mNow))
                               : Send(entry.mBook->TakeReturns(mNow));
        break;
      case 11:
        aStep.mDetail % 2 == 0 ? NewEpoch(aStep.mOther) : ChangeWhole(aStep);
        break;
      case 12:
        entry.mCutOff = aStep.mDetail % 4 == 0;
        break;
      case 13:
        entry.mPaused = aStep.mDetail % 4 == 0;
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

  /// A request that borrows before it is refused.
  bool Request(std::size_t aEntry, double aTokens, bool aBorrows)
  {
    Entry& entry = mEntries[aEntry];
    if (entry.mPaused) {
      return false;
    }
    SpendResult result = entry.mBook->Spend(kWorkspace, aTokens, mNow);
    if (aBorrows) {
      BorrowPlanner planner({},
                            entry.mBook->Self(),
                            entry.mBook->Epoch(),
                            kWorkspace,
                            entry.mBook->Lenders(kWorkspace),
                            entry.mAsked);
      while (result.mRefusal == SpendRefusal::Short) {
        const auto ask = planner.Next(
          result.mMissingTokens, mTotal.mBurst, NewId(), HeldRate(*entry.mBook));
        if (!ask) {
          break;
        }
        Lend(planner.LastAsked(), *ask);
        result = entry.mBook->Spend(kWorkspace, aTokens, mNow);
      }
    }
    if (result.IsGranted()) {
      mBucket.Take(aTokens);
      ++mGranted;
      return true;
    }
    const bool isRightful = mBucket.Level() >= aTokens;
    mWronglyRefused +=
      aBorrows && isRightful && result.mRefusal == SpendRefusal::Short;
    ++mRefused;
    return false;
  }

  /// Every entry spends what it can.
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
      if (!entry.mPaused && !entry.mCutOff) {
        Confirm(entry);
      }
    }
  }

  void SendReturns()
  {
    for (Entry& entry : mEntries) {
      for (const ShareTransfer& it : entry.mBook->TakeReturns(mNow)) {
        Hand(it);
      }
    }
  }

  void SetAsked(std::size_t aEntry, double aRate)
  {
    mEntries[aEntry].mAsked = aRate;
  }

  bool IsWithinBound() const { return mBucket.Level() > -1e-6; }
  std::size_t Granted() const { return mGranted; }
  std::size_t Refused() const { return mRefused; }
  std::size_t WronglyRefused() const { return mWronglyRefused; }
  AllowanceBook& Book(std::size_t aEntry) { return *mEntries[aEntry].mBook; }
  TimePoint Now() const { return mNow; }
  static constexpr const char* kWorkspace = "workspace";

private:
  struct Entry
  {
    std::unique_ptr<AllowanceBook> mBook;
    bool mCutOff = false;
    bool mPaused = false;
    double mAsked = 50;
  };

  /// An ask or a transfer on its way.
  struct InFlight
  {
    std::optional<BorrowAsk> mAsk;
    std::string mAskTo;
    ShareTransfer mTransfer;
  };

  void Start(std::size_t aEntry)
  {
    AllowanceBookSettings settings;
    settings.mRaiseWait =
      mNaive == NaiveAllowance::RaiseAtOnce ? Duration{ 0 } : kLimit + kMargin;
    settings.mShareStrategy = mStrategy;
    const std::string instance =
      "vm" + std::to_string(aEntry) + "#" + std::to_string(++mStarts);
    Entry& entry = mEntries[aEntry];
    entry.mBook = std::make_unique<AllowanceBook>(settings, instance);
    entry.mPaused = false;
  }

  void Confirm(Entry& aEntry)
  {
    Workspace workspace;
    workspace.mName = kWorkspace;
    workspace.mTokensPerSecond = mTotal.mRate;
    workspace.mBurstTokens = mTotal.mBurst;
    AllowanceBook& book = *aEntry.mBook;
    book.SetWorkspaces({ { kWorkspace, workspace } }, mNow);
    const bool isAlone = mNaive == NaiveAllowance::FullRateEverywhere;
    book.SetPlan(
      mEpoch, isAlone ? std::vector<std::string>{ book.Self() } : mPlan, mNow);
    const bool forEver = mNaive == NaiveAllowance::NeverStale;
    book.AllowUntil(mNow + (forEver ? std::chrono::hours(1) : kLimit), mNow);
  }

  /// A new plan of some of the running instances.
  void NewEpoch(unsigned aLeftOut)
  {
    ++mEpoch;
    mPlan.clear();
    for (std::size_t i = 0; i < kEntries; ++i) {
      if (aLeftOut % 7 != i + 1) {
        mPlan.push_back(mEntries[i].mBook->Self());
      }
    }
  }

  void ChangeWhole(const AllowanceStep& aStep)
  {
    mTotal.mRate = 20.0 * (1 + aStep.mOther % 10);
    mTotal.mBurst = 40.0 * (1 + aStep.mEntry % 10);
    mBucket.Change(mTotal, mNow);
  }

  double HeldRate(AllowanceBook& aBook)
  {
    return aBook.Account(kWorkspace, mNow).mRateShare * mTotal.mRate;
  }

  std::string NewId() { return "ask-" + std::to_string(++mIds); }

  Entry* Find(const std::string& aInstance)
  {
    for (Entry& entry : mEntries) {
      if (entry.mBook->Self() == aInstance) {
        return &entry;
      }
    }
    return nullptr;
  }

  void Ask(std::size_t aEntry, double aTokens)
  {
    AllowanceBook& book = *mEntries[aEntry].mBook;
    BorrowPlanner planner({},
                          book.Self(),
                          book.Epoch(),
                          kWorkspace,
                          book.Lenders(kWorkspace),
                          mEntries[aEntry].mAsked);
    const auto ask =
      planner.Next(aTokens, mTotal.mBurst, NewId(), HeldRate(book));
    if (ask) {
      mFlying.push_back({ ask, planner.LastAsked(), {} });
    }
  }

  void Send(const std::vector<ShareTransfer>& aTransfers)
  {
    for (const ShareTransfer& it : aTransfers) {
      mFlying.push_back({ std::nullopt, {}, it });
    }
  }

  /// Any message may arrive next, and may arrive again later.
  void Deliver(unsigned aWhich, bool aAgainLater)
  {
    if (mFlying.empty()) {
      return;
    }
    const std::size_t i = aWhich % mFlying.size();
    const InFlight message = mFlying[i];
    if (!aAgainLater) {
      mFlying.erase(mFlying.begin() + static_cast<std::ptrdiff_t>(i));
    }
    if (!message.mAsk) {
      Hand(message.mTransfer);
      return;
    }
    Entry* lender = Find(message.mAskTo);
    if (lender != nullptr && !lender->mPaused) {
      Send({ lender->mBook->Give(*message.mAsk, mNow) });
    }
  }

  void Lend(const std::string& aLender, const BorrowAsk& aAsk)
  {
    Entry* lender = Find(aLender);
    if (lender != nullptr && !lender->mPaused && !lender->mCutOff) {
      Hand(lender->mBook->Give(aAsk, mNow));
    }
  }

  void Hand(ShareTransfer aTransfer)
  {
    Entry* receiver = Find(aTransfer.mToInstance);
    if (receiver == nullptr && mNaive == NaiveAllowance::AnyInstance) {
      const std::string vm =
        aTransfer.mToInstance.substr(0, aTransfer.mToInstance.find('#'));
      for (Entry& entry : mEntries) {
        if (entry.mBook->Self().rfind(vm + "#", 0) == 0) {
          receiver = &entry;
          aTransfer.mToInstance = entry.mBook->Self();
        }
      }
    }
    if (receiver == nullptr || receiver->mPaused) {
      return;
    }
    if (mNaive == NaiveAllowance::RepeatsCount) {
      aTransfer.mTransferId = NewId();
    }
    if (mNaive == NaiveAllowance::AnyEpoch) {
      aTransfer.mEpoch = receiver->mBook->Epoch();
    }
    receiver->mBook->Receive(aTransfer, mNow);
  }

  NaiveAllowance mNaive;
  std::string mStrategy;
  TimePoint mNow;
  TotalAllowance mTotal{ 100, 200 };
  WholeBucket mBucket;
  std::vector<Entry> mEntries;
  std::uint64_t mEpoch = 0;
  std::vector<std::string> mPlan;
  std::vector<InFlight> mFlying;
  unsigned mStarts = 0;
  unsigned mIds = 0;
  std::size_t mGranted = 0;
  std::size_t mRefused = 0;
  std::size_t mWronglyRefused = 0;
};

} // namespace peridothoist::test
