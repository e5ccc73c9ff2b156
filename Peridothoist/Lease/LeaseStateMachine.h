/// State machine by which one process acquires, renews and releases the lease
/// of one upstream group. The lease is stored in a table row.
///
/// Safety doesn't depend on synchronized clocks:
///   - The holder counts its lease from *before* it sent the write that
///     acquired or renewed it, and stops mStopMargin before the end.
///   - Another process takes over only when the row was unchanged for the
///     lease's full length plus mDriftMargin on its own clock, counted from
///     when the row's content was first *received*. The write is conditional on
///     the row's version, so that it fails after a renewal.
///   - Each take-over raises the fencing number. An upstream that checks it
///     refuses a late order of an older holder.
///   - For an upstream that doesn't check it, the new holder also waits
///     mMaxOrderDelay and then reads the upstream's state back before it sends
///     orders.
///   - A write whose response was lost doesn't extend the lease. The row is
///     read again, and its content decides. If it shows that this process's
///     write took effect, the row is written once more before the lease counts.
///   - MaySendOrder() must be called directly before the order is sent, with
///     the time of that moment. An earlier result proves nothing once anything
///     that can block has run in between.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Content of a lease's row.
struct LeaseRow
{
  std::string mHolder;      ///< Control instance; empty when released.
  std::uint64_t mFence = 0; ///< Fencing number, which never decreases.
  Duration mDuration{ 0 };  ///< Lease length, from before the write was sent.

  bool operator==(const LeaseRow& aOther) const
  {
    return mHolder == aOther.mHolder && mFence == aOther.mFence &&
           mDuration == aOther.mDuration;
  }
};

/// Result of reading the row: its content and its version in the table.
struct LeaseRowRead
{
  LeaseRow mRow;
  std::uint64_t mRowVersion = 0; ///< 0: the row is absent.
};

/// Kinds of action that LeaseStateMachine::NextAction() requests.
enum class LeaseActionKind
{
  None,
  Read, ///< Read the row, then call OnRead() or OnReadFailed().
  Write ///< Write the row conditionally, then call OnWrite().
};

/// One action that LeaseStateMachine::NextAction() requests of its caller.
struct LeaseAction
{
  LeaseActionKind mKind = LeaseActionKind::None;
  LeaseRow mRow;                   ///< The row to write.
  std::uint64_t mIfRowVersion = 0; ///< Row version that the write requires.
};

/// The result of a write.
enum class LeaseWriteResult
{
  Committed,
  Conflict, ///< The row has another version.
  NotSent,  ///< Nothing was sent, so the write can't take effect.
  InDoubt   ///< The response was lost: the write may take effect at any time.
};

/// Whether an upstream checks fencing numbers.
enum class FenceCheck
{
  Unchecked, ///< Executes orders of any holder; the default.
  Checked    ///< Refuses a number that is older than the last one it received.
};

/// Durations of a lease. All processes that compete for a row should have the
/// same.
struct LeaseStateMachineSettings
{
  Duration mLength = std::chrono::seconds(10); ///< Length of the lease.
  Duration mRenewInterval = std::chrono::seconds(3);
  Duration mReadInterval = std::chrono::seconds(2);
  /// The holder stops sending orders this long before the end of the lease.
  Duration mStopMargin = std::chrono::milliseconds(500);
  /// Margin for clocks that run at different speeds: the time that another
  /// process waits after the end of the lease before it takes over.
  Duration mDriftMargin = std::chrono::milliseconds(500);
  /// Longest time from MaySendOrder() to the order's effect at the upstream.
  Duration mMaxOrderDelay = std::chrono::seconds(5);
};

/// Decides the next action of one process for one lease.
class LeaseStateMachine
{
public:
  using Settings = LeaseStateMachineSettings;

  LeaseStateMachine(const Settings& aSettings, std::string aSelfInstance);

  /// Returns the next action, which the caller must start at once: aNow counts
  /// as the time before it is sent. The kind is None while an action is under
  /// way or none is due.
  LeaseAction NextAction(TimePoint aNow);

  // Results of the action under way.

  void OnRead(const LeaseRowRead& aRead, TimePoint aNow);
  void OnReadFailed(TimePoint aNow);
  void OnWrite(LeaseWriteResult aResult,
               std::uint64_t aNewRowVersion,
               TimePoint aNow);

  /// Releases the lease. Call it when no order is under way any more.
  void Release();

  /// Returns whether the lease is held at aNow.
  bool IsHeld(TimePoint aNow) const;

  /// Returns whether an order to an upstream with aCheck may be sent at aNow.
  /// aStateReadBack says whether the upstream's state was read after
  /// CanReadBack() first returned true.
  bool MaySendOrder(FenceCheck aCheck,
                    bool aStateReadBack,
                    TimePoint aNow) const;

  /// Returns whether all orders of earlier holders have certainly arrived, so
  /// that the state of unchecked upstreams can be read back.
  bool CanReadBack(TimePoint aNow) const;

  /// Returns the fencing number to send with orders while the lease is held.
  std::uint64_t Fence() const { return mLastRow.mRow.mFence; }

private:
  struct Pending
  {
    LeaseActionKind mKind = LeaseActionKind::None;
    LeaseRow mRow;       ///< The row that is being written.
    TimePoint mSentAt{}; ///< No later than the actual send time.
  };

  bool IsOwnRow() const { return mLastRow.mRow.mHolder == mSelfInstance; }
  bool CanTakeOver(TimePoint aNow) const;
  LeaseAction StartWrite(const LeaseRow& aRow, TimePoint aNow);
  LeaseAction StartRead(TimePoint aNow);
  void OnCommitted(std::uint64_t aNewRowVersion, TimePoint aNow);

  Settings mSettings;
  std::string mSelfInstance;
  bool mIsReleasing = false;
  bool mIsReadRequired = true; ///< mLastRow may be outdated.
  Pending mPending;

  // The row as last read or written, and since when it is unchanged.
  LeaseRowRead mLastRow;
  /// When mLastRow was first received; empty before the first read.
  std::optional<TimePoint> mUnchangedSince;
  std::optional<TimePoint> mLastReadAt;

  // State while this process holds the lease.
  std::optional<TimePoint> mHeldUntil; ///< Send time of the write + mLength.
  std::optional<TimePoint> mRenewAt;
  std::uint64_t mHeldFence = 0; ///< Fencing number that mReadBackFrom is for.
  std::optional<TimePoint> mReadBackFrom; ///< See CanReadBack().
};

} // namespace peridothoist
