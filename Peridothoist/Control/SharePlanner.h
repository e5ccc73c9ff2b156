/// Keeps the row of the share plan: proposes a new epoch when entries came or
/// went, and writes it by compare-and-set after the change gate agreed.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// One process's part in keeping the plan. The VM that draws the plan most
/// among those that live and reach the platform writes it; if two do at the
/// same time, one of them finds the row changed.
class SharePlanner
{
public:
  SharePlanner(Reactor& aReactor, Platform& aPlatform, ControlState& aState);
  ~SharePlanner();
  SharePlanner(const SharePlanner&) = delete;
  SharePlanner& operator=(const SharePlanner&) = delete;

  /// The row as read.
  void OnRow(const SharePlan& aPlan, std::uint64_t aRowVersion);

  /// Writes a plan if one is due.
  void OnTick();

private:
  bool IsTurn(TimePoint aNow) const;
  bool IsGateOpen(TimePoint aNow) const;
  void Write();
  void OnWritten(const TransactionResult& aResult);

  Reactor& mReactor;
  Platform& mPlatform;
  ControlState& mState;
  PlanKeeper mKeeper;
  std::optional<std::uint64_t> mRowVersion; ///< Empty: never read.
  std::optional<SharePlan> mWriting;        ///< Its answer is missing.
  std::uint64_t mWritingOver = 0;           ///< Row version of its condition.
  bool mOpen = false;                       ///< A call is under way.
  bool mEverInDoubt = false;                ///< An answer to mWriting was lost.
  std::shared_ptr<bool> mAlive;
};

} // namespace peridothoist
