/// Writes the share plan to its row in the table: proposes a new epoch when
/// entries joined or left, and writes it by compare-and-set if the change guard
/// allows it.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Writes the plan if this VM ranks highest by rendezvous hashing among the
/// live VMs that reach the platform. If two VMs consider themselves the writer
/// at the same time, the write of one of them fails with a conflict.
class SharePlanWriter
{
public:
  SharePlanWriter(Reactor& aReactor, Platform& aPlatform, ControlState& aState);
  ~SharePlanWriter();
  SharePlanWriter(const SharePlanWriter&) = delete;
  SharePlanWriter& operator=(const SharePlanWriter&) = delete;

  /// Called with the content of the row each time it was read or written.
  void OnRowRead(const SharePlan& aPlan, std::uint64_t aRowVersion);

  /// Writes a new plan if one is due, or retries a write whose result is
  /// unknown.
  void OnTick();

private:
  /// Returns whether this VM should write the plan.
  bool IsDesignatedWriter(TimePoint aNow) const;
  /// Returns whether the change guard allows a write.
  bool IsWriteAllowed(TimePoint aNow) const;
  void Write();
  void OnWritten(const TransactionResult& aResult);

  Reactor& mReactor;
  Platform& mPlatform;
  ControlState& mState;
  SharePlanScheduler mScheduler;
  std::optional<std::uint64_t> mRowVersion; ///< Empty if never read.
  /// Plan that is being written, until the result is known.
  std::optional<SharePlan> mPendingPlan;
  std::uint64_t mPendingRowVersion = 0; ///< Row version that its write expects.
  bool mIsCallPending = false;          ///< A platform call is pending.
  /// A write of mPendingPlan may have taken effect although its response was
  /// lost.
  bool mWasInDoubt = false;
  std::shared_ptr<bool> mAlive; ///< Set to false by the destructor.
};

} // namespace peridothoist
