/// Holders of one lease, its row, and upstreams that take orders late: with
/// pauses, lost answers and late writes, on clocks that drift apart.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Lease/LeaseMachine.h>

#include <algorithm>
#include <ostream>

namespace peridothoist::test {

/// A way of doing it wrong, to show that the model finds it.
enum class NaiveLease
{
  None,
  NoOrderWait,     ///< Unchecked upstreams are ordered at once.
  CountFromAnswer, ///< The holder counts its lease from the write's answer.
  TakeOverBySight, ///< The row is old when it is first seen.
  CheckEarly       ///< MayOrder() is asked before a pause, not after it.
};

/// One step of a run.
struct LeaseStep
{
  unsigned mOp = 0;
  unsigned mHolder = 0;
  unsigned mDetail = 0;
};

inline std::ostream&
operator<<(std::ostream& aOut, const LeaseStep& aStep)
{
  return aOut << aStep.mOp << ':' << aStep.mHolder << ':' << aStep.mDetail;
}

/// Runs steps; says whether an old holder's order came after a new one's.
class LeaseModel
{
public:
  static constexpr unsigned kOps = 16;
  static constexpr std::size_t kHolders = 3;
  static constexpr Duration kOnItsWay = std::chrono::seconds(5);

  explicit LeaseModel(NaiveLease aNaive)
    : mNaive(aNaive)
    , mNow(std::chrono::hours(1))
  {
    LeaseMachineSettings settings;
    settings.mMaxOrderDelay =
      aNaive == NaiveLease::NoOrderWait ? Duration{ 0 } : kOnItsWay;
    for (std::size_t i = 0; i < kHolders; ++i) {
      Holder holder;
      holder.mName = "holder" + std::to_string(i);
      holder.mSettings = settings;
      if (aNaive == NaiveLease::CountFromAnswer) {
        // The same as an answer that came this much later.
        holder.mSettings.mStopMargin = -std::chrono::seconds(9);
      }
      if (aNaive == NaiveLease::TakeOverBySight) {
        holder.mSettings.mDriftMargin = -settings.mLength;
      }
      holder.mMachine =
        std::make_unique<LeaseMachine>(holder.mSettings, holder.mName);
      mHolders.push_back(std::move(holder));
    }
  }

  void Run(const LeaseStep& aStep)
  {
    Holder& holder = mHolders[aStep.mHolder % kHolders];
    switch (aStep.mOp % kOps) {
      case 0:
      case 1:
      case 2:
        Advance(std::chrono::milliseconds(20 + aStep.mDetail % 3000));
        break;
      case 3:
        holder.mPaused = !holder.mPaused;
        break;
      case 4:
        if (aStep.mDetail % 16 == 0) {
          holder.mMachine->Release();
        }
        break;
      case 5:
        Restart(holder, aStep);
        break;
      case 6:
      case 7:
        ArriveAtTable(aStep.mDetail);
        break;
      case 8:
      case 9:
        for (Holder& it : mHolders) {
          Order(it, aStep.mDetail);
        }
        break;
      case 10:
        ArriveAtUpstream(aStep.mDetail);
        break;
      case 11:
      case 12:
      case 13:
        RunCalmly(10 + aStep.mDetail % 40);
        break;
      default:
        Tick(holder, aStep.mDetail);
        break;
    }
  }

  /// An upstream that ignores fences acted on a fence lower than an earlier
  /// one's.
  bool UncheckedWentBack() const { return mUncheckedWentBack; }
  /// The same at an upstream that refuses lower fences.
  bool CheckedWentBack() const { return mCheckedWentBack; }
  std::size_t Orders() const { return mOrders; }
  std::uint64_t Fence() const { return mRow.mRow.mFence; }

private:
  struct Holder
  {
    std::string mName;
    LeaseMachineSettings mSettings;
    std::unique_ptr<LeaseMachine> mMachine;
    bool mPaused = false;
    unsigned mStarts = 0;
    bool mMayOrderBefore = false; ///< As found before the last pause.
    std::optional<TimePoint> mReadBackAt;
    std::uint64_t mReadBackFence = 0;
  };

  struct LateWrite
  {
    LeaseAction mAction;
    TimePoint mSentAt;
  };

  struct LateOrder
  {
    std::uint64_t mFence;
    TimePoint mArrivesBy;
  };

  /// Orders that are due arrive before the time passes on.
  void Advance(Duration aSpan)
  {
    mNow += aSpan;
    while (!mOrdersOnTheirWay.empty() &&
           mOrdersOnTheirWay.front().mArrivesBy <= mNow) {
      ArriveAtUpstream(0);
    }
  }

  /// Every running holder does its steps, and nothing fails.
  void RunCalmly(unsigned aRounds)
  {
    constexpr unsigned kNoFault = 4;
    for (unsigned i = 0; i < aRounds; ++i) {
      Advance(100ms);
      for (Holder& holder : mHolders) {
        Tick(holder, kNoFault);
      }
    }
  }

  void Restart(Holder& aHolder, const LeaseStep& aStep)
  {
    if (aStep.mDetail % 6 != 0) {
      return;
    }
    const std::string name =
      aHolder.mName + "#" + std::to_string(++aHolder.mStarts);
    aHolder.mMachine = std::make_unique<LeaseMachine>(aHolder.mSettings, name);
    aHolder.mPaused = false;
    aHolder.mMayOrderBefore = false;
    aHolder.mReadBackFence = 0;
  }

  void Tick(Holder& aHolder, unsigned aDetail)
  {
    if (aHolder.mPaused) {
      return;
    }
    LeaseMachine& machine = *aHolder.mMachine;
    aHolder.mMayOrderBefore = MayOrder(aHolder);
    const TimePoint sent = mNow;
    const LeaseAction action = machine.Next(mNow);
    if (action.mKind == LeaseActionKind::None) {
      ReadBack(aHolder);
      return;
    }
    // The way there and back takes time.
    Advance(std::chrono::milliseconds(aDetail % 40));
    if (action.mKind == LeaseActionKind::Read) {
      aDetail % 5 == 0 ? machine.OnReadFailed(mNow)
                       : machine.OnRead(mRow, mNow);
    } else {
      Write(machine, action, aDetail, sent);
    }
  }

  void Write(LeaseMachine& aMachine,
             const LeaseAction& aAction,
             unsigned aDetail,
             TimePoint aSent)
  {
    if (aDetail % 5 == 1) {
      aMachine.OnWrite(LeaseWriteResult::NotSent, 0, mNow);
      return;
    }
    if (aDetail % 5 == 2) {
      // Arrives later, if at all.
      mLateWrites.push_back({ aAction, aSent });
      aMachine.OnWrite(LeaseWriteResult::InDoubt, 0, mNow);
      return;
    }
    const bool isCommitted = Commit(aAction);
    if (aDetail % 5 == 3) {
      aMachine.OnWrite(LeaseWriteResult::InDoubt, 0, mNow);
      return;
    }
    // The answer may take long, or the process stand still before it.
    Advance(std::chrono::milliseconds((aDetail / 5) % 4000));
    aMachine.OnWrite(isCommitted ? LeaseWriteResult::Committed
                                 : LeaseWriteResult::Conflict,
                     mRow.mRowVersion,
                     mNow);
  }

  bool Commit(const LeaseAction& aAction)
  {
    if (aAction.mIfRowVersion != mRow.mRowVersion) {
      return false;
    }
    mRow = { aAction.mRow, ++mTableRevision };
    return true;
  }

  void ArriveAtTable(unsigned aWhich)
  {
    if (mLateWrites.empty()) {
      return;
    }
    const auto it = mLateWrites.begin() +
                    static_cast<std::ptrdiff_t>(aWhich % mLateWrites.size());
    Commit(it->mAction);
    mLateWrites.erase(it);
  }

  // Orders.

  bool MayOrder(const Holder& aHolder) const
  {
    const LeaseMachine& machine = *aHolder.mMachine;
    const bool isReadBack = aHolder.mReadBackFence == machine.Fence();
    return machine.MayOrder(FenceCheck::Unchecked, isReadBack, mNow);
  }

  void ReadBack(Holder& aHolder)
  {
    if (aHolder.mMachine->CanReadBack(mNow)) {
      aHolder.mReadBackFence = aHolder.mMachine->Fence();
    }
  }

  void Order(Holder& aHolder, unsigned aDetail)
  {
    if (aHolder.mPaused) {
      return;
    }
    const bool isEarly = mNaive == NaiveLease::CheckEarly;
    const bool isAllowed =
      isEarly ? aHolder.mMayOrderBefore : MayOrder(aHolder);
    const std::uint64_t fence = aHolder.mMachine->Fence();
    if (isAllowed) {
      const Duration way =
        std::chrono::milliseconds(aDetail % kOnItsWay.count()) % kOnItsWay;
      mOrdersOnTheirWay.push_back({ fence, mNow + way });
      const auto isEarlier = [](const LateOrder& aLeft,
                                const LateOrder& aRight) {
        return aLeft.mArrivesBy < aRight.mArrivesBy;
      };
      std::stable_sort(
        mOrdersOnTheirWay.begin(), mOrdersOnTheirWay.end(), isEarlier);
    }
    if (aHolder.mMachine->MayOrder(FenceCheck::Checked, false, mNow)) {
      TakeAtChecked(fence);
    }
  }

  void ArriveAtUpstream(unsigned aWhich)
  {
    if (mOrdersOnTheirWay.empty()) {
      return;
    }
    const auto it =
      mOrdersOnTheirWay.begin() +
      static_cast<std::ptrdiff_t>(aWhich % mOrdersOnTheirWay.size());
    mUncheckedWentBack = mUncheckedWentBack || it->mFence < mUncheckedFence;
    mUncheckedFence = std::max(mUncheckedFence, it->mFence);
    ++mOrders;
    mOrdersOnTheirWay.erase(it);
  }

  void TakeAtChecked(std::uint64_t aFence)
  {
    if (aFence >= mCheckedFence) {
      mCheckedFence = aFence;
    }
    mCheckedWentBack = mCheckedWentBack || mCheckedFence > mRow.mRow.mFence;
  }

  NaiveLease mNaive;
  TimePoint mNow;
  std::vector<Holder> mHolders;
  LeaseRowRead mRow;
  std::uint64_t mTableRevision = 0;
  std::vector<LateWrite> mLateWrites;
  std::vector<LateOrder> mOrdersOnTheirWay; ///< By arrival.
  std::uint64_t mUncheckedFence = 0;
  std::uint64_t mCheckedFence = 0;
  bool mUncheckedWentBack = false;
  bool mCheckedWentBack = false;
  std::size_t mOrders = 0;
};

} // namespace peridothoist::test
