/// Model of processes that compete for one lease, its row, and upstreams that
/// receive orders late, with pauses, lost responses and late writes.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Lease/LeaseStateMachine.h>

#include <algorithm>
#include <ostream>

namespace peridothoist::test {

/// Faulty implementations that the model must detect.
enum class NaiveLease
{
  None,
  NoOrderDelay,        ///< A new holder sends orders at once, without waiting
                       ///< mMaxOrderDelay.
  CountFromResponse,   ///< The lease counts from the response to the write.
  TakeOverAtFirstRead, ///< The lease counts as expired when the row is first
                       ///< read.
  CheckBeforePause ///< MaySendOrder() is called before a pause, not after it.
};

/// One step of a run.
struct LeaseStep
{
  unsigned mOp = 0;
  unsigned mHolder = 0;
  unsigned mDetail = 0; ///< Selects delays and faults of the operation.
};

inline std::ostream&
operator<<(std::ostream& aOut, const LeaseStep& aStep)
{
  return aOut << aStep.mOp << ':' << aStep.mHolder << ':' << aStep.mDetail;
}

/// Runs steps, and detects orders of an old holder that arrive after those of
/// a newer one.
class LeaseModel
{
public:
  static constexpr unsigned kOps = 16;
  static constexpr std::size_t kHolders = 3;
  static constexpr Duration kMaxOrderDelay = std::chrono::seconds(5);

  explicit LeaseModel(NaiveLease aNaive)
    : mNaive(aNaive)
    , mNow(std::chrono::hours(1))
  {
    LeaseStateMachineSettings settings;
    settings.mMaxOrderDelay =
      aNaive == NaiveLease::NoOrderDelay ? Duration{ 0 } : kMaxOrderDelay;
    for (std::size_t i = 0; i < kHolders; ++i) {
      Holder holder;
      holder.mName = "holder" + std::to_string(i);
      holder.mSettings = settings;
      if (aNaive == NaiveLease::CountFromResponse) {
        // The effect is that of a response that arrived this much later.
        holder.mSettings.mStopMargin = -std::chrono::seconds(9);
      }
      if (aNaive == NaiveLease::TakeOverAtFirstRead) {
        holder.mSettings.mDriftMargin = -settings.mLength;
      }
      holder.mMachine =
        std::make_unique<LeaseStateMachine>(holder.mSettings, holder.mName);
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
        holder.mIsPaused = !holder.mIsPaused;
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
        DeliverWrite(aStep.mDetail);
        break;
      case 8:
      case 9:
        for (Holder& it : mHolders) {
          SendOrder(it, aStep.mDetail);
        }
        break;
      case 10:
        DeliverOrder(aStep.mDetail);
        break;
      case 11:
      case 12:
      case 13:
        RunWithoutFaults(10 + aStep.mDetail % 40);
        break;
      default:
        RunNextAction(holder, aStep.mDetail);
        break;
    }
  }

  /// Returns whether an upstream that doesn't check fencing numbers executed
  /// an order with a lower number than an earlier order's.
  bool HasUncheckedOldOrder() const { return mHasUncheckedOldOrder; }
  /// Returns the same for an upstream that refuses lower numbers.
  bool HasCheckedOldOrder() const { return mHasCheckedOldOrder; }
  std::size_t Orders() const { return mOrders; }
  std::uint64_t Fence() const { return mRow.mRow.mFence; }

private:
  struct Holder
  {
    std::string mName;
    LeaseStateMachineSettings mSettings;
    std::unique_ptr<LeaseStateMachine> mMachine;
    bool mIsPaused = false;
    unsigned mStarts = 0;
    bool mMaySendBeforePause = false; ///< MaySendOrder() before the last pause.
    std::optional<TimePoint> mReadBackAt;
    std::uint64_t mReadBackFence = 0;
  };

  struct DelayedWrite
  {
    LeaseAction mAction;
    TimePoint mSentAt;
  };

  struct DelayedOrder
  {
    std::uint64_t mFence;
    TimePoint mArrivesAt;
  };

  /// Advances the time and delivers the orders that are due by then.
  void Advance(Duration aSpan)
  {
    mNow += aSpan;
    while (!mOrdersUnderWay.empty() &&
           mOrdersUnderWay.front().mArrivesAt <= mNow) {
      DeliverOrder(0);
    }
  }

  /// Runs the actions of all holders that aren't paused, without faults.
  void RunWithoutFaults(unsigned aRounds)
  {
    constexpr unsigned kNoFault = 4;
    for (unsigned i = 0; i < aRounds; ++i) {
      Advance(100ms);
      for (Holder& holder : mHolders) {
        RunNextAction(holder, kNoFault);
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
    aHolder.mMachine =
      std::make_unique<LeaseStateMachine>(aHolder.mSettings, name);
    aHolder.mIsPaused = false;
    aHolder.mMaySendBeforePause = false;
    aHolder.mReadBackFence = 0;
  }

  void RunNextAction(Holder& aHolder, unsigned aDetail)
  {
    if (aHolder.mIsPaused) {
      return;
    }
    LeaseStateMachine& machine = *aHolder.mMachine;
    aHolder.mMaySendBeforePause = MaySendOrder(aHolder);
    const TimePoint sent = mNow;
    const LeaseAction action = machine.NextAction(mNow);
    if (action.mKind == LeaseActionKind::None) {
      ReadBack(aHolder);
      return;
    }
    // The round trip takes time.
    Advance(std::chrono::milliseconds(aDetail % 40));
    if (action.mKind == LeaseActionKind::Read) {
      aDetail % 5 == 0 ? machine.OnReadFailed(mNow)
                       : machine.OnRead(mRow, mNow);
    } else {
      Write(machine, action, aDetail, sent);
    }
  }

  void Write(LeaseStateMachine& aMachine,
             const LeaseAction& aAction,
             unsigned aDetail,
             TimePoint aSent)
  {
    if (aDetail % 5 == 1) {
      aMachine.OnWrite(LeaseWriteResult::NotSent, 0, mNow);
      return;
    }
    if (aDetail % 5 == 2) {
      // The write arrives later, if at all.
      mDelayedWrites.push_back({ aAction, aSent });
      aMachine.OnWrite(LeaseWriteResult::InDoubt, 0, mNow);
      return;
    }
    const bool isCommitted = Commit(aAction);
    if (aDetail % 5 == 3) {
      aMachine.OnWrite(LeaseWriteResult::InDoubt, 0, mNow);
      return;
    }
    // The response may be late, or the process may be paused before it.
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

  void DeliverWrite(unsigned aWhich)
  {
    if (mDelayedWrites.empty()) {
      return;
    }
    const auto it = mDelayedWrites.begin() +
                    static_cast<std::ptrdiff_t>(aWhich % mDelayedWrites.size());
    Commit(it->mAction);
    mDelayedWrites.erase(it);
  }

  // Orders.

  bool MaySendOrder(const Holder& aHolder) const
  {
    const LeaseStateMachine& machine = *aHolder.mMachine;
    const bool isReadBack = aHolder.mReadBackFence == machine.Fence();
    return machine.MaySendOrder(FenceCheck::Unchecked, isReadBack, mNow);
  }

  void ReadBack(Holder& aHolder)
  {
    if (aHolder.mMachine->CanReadBack(mNow)) {
      aHolder.mReadBackFence = aHolder.mMachine->Fence();
    }
  }

  void SendOrder(Holder& aHolder, unsigned aDetail)
  {
    if (aHolder.mIsPaused) {
      return;
    }
    const bool isCheckedEarly = mNaive == NaiveLease::CheckBeforePause;
    const bool isAllowed =
      isCheckedEarly ? aHolder.mMaySendBeforePause : MaySendOrder(aHolder);
    const std::uint64_t fence = aHolder.mMachine->Fence();
    if (isAllowed) {
      const Duration delay =
        std::chrono::milliseconds(aDetail % kMaxOrderDelay.count()) %
        kMaxOrderDelay;
      mOrdersUnderWay.push_back({ fence, mNow + delay });
      const auto isEarlier = [](const DelayedOrder& aLeft,
                                const DelayedOrder& aRight) {
        return aLeft.mArrivesAt < aRight.mArrivesAt;
      };
      std::stable_sort(
        mOrdersUnderWay.begin(), mOrdersUnderWay.end(), isEarlier);
    }
    if (aHolder.mMachine->MaySendOrder(FenceCheck::Checked, false, mNow)) {
      ReceiveAtCheckedUpstream(fence);
    }
  }

  void DeliverOrder(unsigned aWhich)
  {
    if (mOrdersUnderWay.empty()) {
      return;
    }
    const auto it =
      mOrdersUnderWay.begin() +
      static_cast<std::ptrdiff_t>(aWhich % mOrdersUnderWay.size());
    mHasUncheckedOldOrder =
      mHasUncheckedOldOrder || it->mFence < mUncheckedFence;
    mUncheckedFence = std::max(mUncheckedFence, it->mFence);
    ++mOrders;
    mOrdersUnderWay.erase(it);
  }

  void ReceiveAtCheckedUpstream(std::uint64_t aFence)
  {
    if (aFence >= mCheckedFence) {
      mCheckedFence = aFence;
    }
    mHasCheckedOldOrder =
      mHasCheckedOldOrder || mCheckedFence > mRow.mRow.mFence;
  }

  NaiveLease mNaive;
  TimePoint mNow;
  std::vector<Holder> mHolders;
  LeaseRowRead mRow;
  std::uint64_t mTableRevision = 0;
  std::vector<DelayedWrite> mDelayedWrites;
  std::vector<DelayedOrder> mOrdersUnderWay; ///< In order of arrival.
  /// Highest fencing number that each upstream has executed.
  std::uint64_t mUncheckedFence = 0;
  std::uint64_t mCheckedFence = 0;
  bool mHasUncheckedOldOrder = false;
  bool mHasCheckedOldOrder = false;
  std::size_t mOrders = 0;
};

} // namespace peridothoist::test
