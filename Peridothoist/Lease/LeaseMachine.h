/// One process's part in the lease of one upstream group, over a table row.
///
/// Safety, without any agreement of clocks:
///   - The holder counts its lease from *before* it sent the write that took
///     or renewed it, and stops mStopMargin before the end.
///   - Another takes over only when it saw the row unchanged for the lease's
///     whole length and mDriftMargin on its own clock, counted from when the
///     row's content was first *received*; the write is on condition of the
///     row's version, so a renewal in between makes it fail.
///   - Each take-over raises the fencing number. An upstream that checks it
///     refuses an older holder's late order.
///   - For an upstream that doesn't check, the new holder besides waits
///     mMaxOrderDelay, then reads the upstream's state back, then orders.
///   - A write whose answer was lost extends nothing. The row is read again;
///     what is found there decides, and a renewal of ours that is found there
///     is written once more before it counts.
///   - MayOrder() is asked with the clock read last, directly before the
///     order's bytes leave: an earlier check proves nothing about the time
///     after anything that can block.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// The content of a lease's row.
struct LeaseRow
{
  std::string mHolder;      ///< Control instance; empty: released.
  std::uint64_t mFence = 0; ///< Only goes up.
  Duration mLasts{ 0 };     ///< From before the write was sent.

  bool operator==(const LeaseRow& aOther) const
  {
    return mHolder == aOther.mHolder && mFence == aOther.mFence &&
           mLasts == aOther.mLasts;
  }
};

/// The row as read: its content and the table's version of it.
struct LeaseRowRead
{
  LeaseRow mRow;
  std::uint64_t mRowVersion = 0; ///< 0: the row is absent.
};

/// What the shell has to do next.
enum class LeaseActionKind
{
  None,
  Read, ///< Read the row; answer with OnRead() or OnReadFailed().
  Write ///< Write on the condition; answer with OnWrite().
};

/// One step for the shell.
struct LeaseAction
{
  LeaseActionKind mKind = LeaseActionKind::None;
  LeaseRow mRow;                   ///< To write.
  std::uint64_t mIfRowVersion = 0; ///< Condition of the write.
};

/// How a write ended.
enum class LeaseWriteResult
{
  Committed,
  Conflict, ///< The row has another version.
  NotSent,  ///< Nothing left: it can't take effect.
  InDoubt   ///< The answer was lost: it may have, or may yet.
};

/// How an upstream treats fencing numbers.
enum class FenceCheck
{
  Unchecked, ///< Obeys whoever orders; the default.
  Checked    ///< Refuses an older number than it saw.
};

/// Lengths of a lease. All holders of a row should have the same.
struct LeaseMachineSettings
{
  Duration mLength = std::chrono::seconds(10);
  Duration mRenewEvery = std::chrono::seconds(3);
  Duration mReadEvery = std::chrono::seconds(2);
  Duration mStopMargin = std::chrono::milliseconds(500);
  Duration mDriftMargin = std::chrono::milliseconds(500);
  /// Longest time from MayOrder() to the order's effect at the upstream.
  Duration mMaxOrderDelay = std::chrono::seconds(5);
};

/// Decides what one process does about one lease.
class LeaseMachine
{
public:
  using Settings = LeaseMachineSettings;

  LeaseMachine(const Settings& aSettings, std::string aSelfInstance);

  /// The next step, which the shell starts at once; aNow is taken as the time
  /// before it was sent. None while one is under way or none is due.
  LeaseAction Next(TimePoint aNow);

  // Answers to the step under way.
  void OnRead(const LeaseRowRead& aRead, TimePoint aNow);
  void OnReadFailed(TimePoint aNow);
  void OnWrite(LeaseWriteResult aResult,
               std::uint64_t aNewRowVersion,
               TimePoint aNow);

  /// Gives the lease up. Call it when no order is under way any more.
  void Release();

  /// Whether the lease is held at aNow.
  bool IsHeld(TimePoint aNow) const;

  /// Whether an order to such an upstream may leave at aNow. aStateReadBack:
  /// its state was read after CanReadBack() was first true.
  bool MayOrder(FenceCheck aCheck, bool aStateReadBack, TimePoint aNow) const;

  /// Whether orders of earlier holders have certainly arrived, so that the
  /// state of unchecked upstreams may be read back.
  bool CanReadBack(TimePoint aNow) const;

  /// The fencing number to send while held.
  std::uint64_t Fence() const { return mSeen.mRow.mFence; }

private:
  struct Pending
  {
    LeaseActionKind mKind = LeaseActionKind::None;
    LeaseRow mRow;       ///< Being written.
    TimePoint mSentAt{}; ///< Not after the request left.
  };

  bool IsOwn() const { return mSeen.mRow.mHolder == mSelf; }
  bool MayTakeOver(TimePoint aNow) const;
  LeaseAction StartWrite(const LeaseRow& aRow, TimePoint aNow);
  LeaseAction StartRead(TimePoint aNow);
  void OnCommitted(std::uint64_t aNewRowVersion, TimePoint aNow);

  Settings mSettings;
  std::string mSelf;
  bool mIsReleasing = false;
  bool mIsReadRequired = true; ///< What is seen may be outdated.
  Pending mPending;

  // The row as last seen, and since when it is unchanged.
  LeaseRowRead mSeen;
  std::optional<TimePoint> mSeenSince; ///< Received at; empty: never read.
  std::optional<TimePoint> mLastReadAt;

  // Own holding.
  std::optional<TimePoint> mHeldUntil; ///< Sent-at of the write + mLength.
  std::optional<TimePoint> mRenewAt;
  std::uint64_t mHeldFence = 0; ///< Fence that mReadBackFrom belongs to.
  std::optional<TimePoint> mReadBackFrom; ///< See CanReadBack().
};

} // namespace peridothoist
