/// Keeps the row of the share plan.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/SharePlanner.h>

#include <Peridothoist/Membership/Rendezvous.h>
#include <Peridothoist/Platform/ConfigRows.h>
#include <Peridothoist/Platform/SharePlanRow.h>
#include <Peridothoist/Shell/Log.h>
#include <Peridothoist/View/ChangeGate.h>

namespace peridothoist {

SharePlanner::SharePlanner(Reactor& aReactor,
                           Platform& aPlatform,
                           ControlState& aState)
  : mReactor(aReactor)
  , mPlatform(aPlatform)
  , mState(aState)
  , mKeeper(aState.mSettings.mPlan)
  , mAlive(std::make_shared<bool>(true))
{
}

SharePlanner::~SharePlanner()
{
  *mAlive = false;
}

void
SharePlanner::OnRow(const SharePlan& aPlan, std::uint64_t aRowVersion)
{
  if (aRowVersion < mRowVersion.value_or(0)) {
    return;
  }
  mRowVersion = aRowVersion;
  if (mState.mPlanInDoubt && !mOpen && aRowVersion != mWritingOver) {
    // Our write's condition fails from now on, if it didn't take effect.
    mState.mPlanInDoubt = false;
    mEverInDoubt = false;
    mWriting.reset();
  }
  mKeeper.OnPlan(aPlan, mReactor.Now());
  mState.mView.TakePlan(aPlan);
}

bool
SharePlanner::IsTurn(TimePoint aNow) const
{
  std::vector<std::string> candidates;
  for (const Member& it : mState.mMembers.Export(aNow)) {
    const bool isHeard =
      it.mAge && *it.mAge < 2 * mState.mSettings.mMembers.mSilenceLimit;
    if (isHeard && !it.mPlatformUnreachable) {
      candidates.push_back(it.mVm);
    }
  }
  const auto top = RendezvousTop(kSharePlanRow, candidates, 1);
  return !top.empty() && top.front() == mState.mSettings.mVm;
}

bool
SharePlanner::IsGateOpen(TimePoint aNow) const
{
  const ChangeGate gate(mState.mSettings.mGate);
  return gate.Check(mState.mMembers.GateMembers(aNow), {}).mOpen;
}

void
SharePlanner::OnTick()
{
  if (mOpen || !mRowVersion) {
    return;
  }
  const TimePoint now = mReactor.Now();
  if (mWriting) {
    // The same write again: it takes effect once, or finds the row changed.
    Write();
    return;
  }
  if (mState.mLeaving || mState.mPlatformSilent ||
      !mState.mView.Fresh().IsFresh(now) || !IsTurn(now) || !IsGateOpen(now)) {
    return;
  }
  mWriting = mKeeper.Propose(mState.mMembers.Export(now), now);
  if (mWriting) {
    mWritingOver = *mRowVersion;
    Write();
  }
}

void
SharePlanner::Write()
{
  mOpen = true;
  mState.mPlanInDoubt = true;
  const TableTransaction transaction{ { { kSharePlanRow, mWritingOver } },
                                      { { kSharePlanRow,
                                          EncodeSharePlan(*mWriting) } } };
  mPlatform.Commit(transaction,
                   [this, alive = mAlive](const TransactionResult& aResult) {
                     if (*alive) {
                       OnWritten(aResult);
                     }
                   });
}

void
SharePlanner::OnWritten(const TransactionResult& aResult)
{
  mOpen = false;
  mEverInDoubt = mEverInDoubt || aResult.mEnd == TransactionEnd::InDoubt;
  const bool isKnown =
    aResult.mEnd != TransactionEnd::InDoubt &&
    (aResult.mEnd != TransactionEnd::NotReached || !mEverInDoubt);
  if (!isKnown) {
    return;
  }
  mEverInDoubt = false;
  const SharePlan plan = *mWriting;
  mWriting.reset();
  if (aResult.mEnd == TransactionEnd::Committed) {
    Log::Info("share_plan_written")
      .Field("epoch", plan.mEpoch)
      .Field("entries", plan.mEntryInstances.size());
    OnRow(plan, aResult.mRevision);
  }
  // A conflict after a lost answer may be our own write: whatever stands is
  // read before this process says that it has nothing in doubt.
  if (aResult.mEnd != TransactionEnd::Conflict) {
    mState.mPlanInDoubt = false;
    return;
  }
  mOpen = true;
  mPlatform.ReadRow(
    kSharePlanRow, [this, alive = mAlive](const ScanResult& aRead) {
      if (!*alive) {
        return;
      }
      mOpen = false;
      if (!aRead.mReached || aRead.mRows.empty()) {
        return;
      }
      mState.mPlanInDoubt = false;
      const TableRow& row = aRead.mRows.front();
      OnRow(DecodeSharePlan(row.mValue).value_or(SharePlan()), row.mVersion);
    });
}

} // namespace peridothoist
