/// Writes the share plan to its row in the table.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/SharePlanWriter.h>

#include <Peridothoist/Membership/Rendezvous.h>
#include <Peridothoist/Platform/ConfigRows.h>
#include <Peridothoist/Platform/SharePlanRow.h>
#include <Peridothoist/Shell/Log.h>
#include <Peridothoist/View/ChangeGuard.h>

namespace peridothoist {

SharePlanWriter::SharePlanWriter(Reactor& aReactor,
                                 Platform& aPlatform,
                                 ControlState& aState)
  : mReactor(aReactor)
  , mPlatform(aPlatform)
  , mState(aState)
  , mScheduler(aState.mSettings.mPlan)
  , mAlive(std::make_shared<bool>(true))
{
}

SharePlanWriter::~SharePlanWriter()
{
  *mAlive = false;
}

void
SharePlanWriter::OnRowRead(const SharePlan& aPlan, std::uint64_t aRowVersion)
{
  if (aRowVersion < mRowVersion.value_or(0)) {
    return;
  }
  mRowVersion = aRowVersion;
  if (mState.mIsPlanInDoubt && !mIsCallPending &&
      aRowVersion != mPendingRowVersion) {
    // The row has changed, so that the condition of our write fails from now
    // on unless the write has already taken effect.
    mState.mIsPlanInDoubt = false;
    mWasInDoubt = false;
    mPendingPlan.reset();
  }
  mScheduler.OnPlan(aPlan, mReactor.Now());
  mState.mView.ApplyPlan(aPlan);
}

bool
SharePlanWriter::IsDesignatedWriter(TimePoint aNow) const
{
  std::vector<std::string> candidates;
  for (const Member& it : mState.mMembers.CurrentMembers(aNow)) {
    const bool isRecentlySeen =
      it.mReportAge &&
      *it.mReportAge < 2 * mState.mSettings.mMembers.mSilenceLimit;
    if (isRecentlySeen && !it.mPlatformUnreachable) {
      candidates.push_back(it.mVm);
    }
  }
  const auto top = TopRendezvousNodes(kSharePlanKey, candidates, 1);
  return !top.empty() && top.front() == mState.mSettings.mVm;
}

bool
SharePlanWriter::IsWriteAllowed(TimePoint aNow) const
{
  const ChangeGuard guard(mState.mSettings.mChangeGuard);
  return guard.Check(mState.mMembers.ChangeGuardMembers(aNow), {}).mIsAllowed;
}

void
SharePlanWriter::OnTick()
{
  if (mIsCallPending || !mRowVersion) {
    return;
  }
  const TimePoint now = mReactor.Now();
  if (mPendingPlan) {
    // Retries the same write: because of its condition it takes effect at most
    // once.
    Write();
    return;
  }
  if (mState.mIsLeaving || mState.mIsPlatformUnreachable ||
      !mState.mView.Freshness().IsFresh(now) || !IsDesignatedWriter(now) ||
      !IsWriteAllowed(now)) {
    return;
  }
  mPendingPlan = mScheduler.Propose(mState.mMembers.CurrentMembers(now), now);
  if (mPendingPlan) {
    mPendingRowVersion = *mRowVersion;
    Write();
  }
}

void
SharePlanWriter::Write()
{
  mIsCallPending = true;
  mState.mIsPlanInDoubt = true;
  const TableTransaction transaction{ { { kSharePlanKey, mPendingRowVersion } },
                                      { { kSharePlanKey,
                                          EncodeSharePlan(*mPendingPlan) } } };
  mPlatform.Commit(transaction,
                   [this, alive = mAlive](const TransactionResult& aResult) {
                     if (*alive) {
                       OnWritten(aResult);
                     }
                   });
}

void
SharePlanWriter::OnWritten(const TransactionResult& aResult)
{
  mIsCallPending = false;
  mWasInDoubt = mWasInDoubt || aResult.mStatus == TransactionStatus::InDoubt;
  const bool isSettled =
    aResult.mStatus != TransactionStatus::InDoubt &&
    (aResult.mStatus != TransactionStatus::NotReached || !mWasInDoubt);
  if (!isSettled) {
    return;
  }
  mWasInDoubt = false;
  const SharePlan plan = *mPendingPlan;
  mPendingPlan.reset();
  if (aResult.mStatus == TransactionStatus::Committed) {
    Log::Info("share_plan_written")
      .Field("epoch", plan.mEpoch)
      .Field("entries", plan.mEntryInstances.size());
    OnRowRead(plan, aResult.mRevision);
  }
  // A conflict after a lost response may be caused by our own write. Therefore
  // the row is read before this process stops reporting the plan as in doubt.
  if (aResult.mStatus != TransactionStatus::Conflict) {
    mState.mIsPlanInDoubt = false;
    return;
  }
  mIsCallPending = true;
  mPlatform.ReadRow(
    kSharePlanKey, [this, alive = mAlive](const ScanResult& aRead) {
      if (!*alive) {
        return;
      }
      mIsCallPending = false;
      if (!aRead.mIsSuccessful || aRead.mRows.empty()) {
        return;
      }
      mState.mIsPlanInDoubt = false;
      const TableRow& row = aRead.mRows.front();
      OnRowRead(DecodeSharePlan(row.mValue).value_or(SharePlan()),
                row.mVersion);
    });
}

} // namespace peridothoist
