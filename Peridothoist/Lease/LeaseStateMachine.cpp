#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Lease/LeaseStateMachine.h>

namespace peridothoist {

LeaseStateMachine::LeaseStateMachine(const Settings& aSettings,
                                     std::string aSelfInstance)
  : mSettings(aSettings)
  , mSelfInstance(std::move(aSelfInstance))
{
  PH_ASSERT(mSettings.mRenewInterval + mSettings.mStopMargin <
            mSettings.mLength);
}

LeaseAction
LeaseStateMachine::NextAction(TimePoint aNow)
{
  if (mPending.mKind != LeaseActionKind::None) {
    return {};
  }
  if (mIsReadRequired) {
    return StartRead(aNow);
  }
  if (IsOwnRow()) {
    if (mIsReleasing) {
      return StartWrite({ "", mLastRow.mRow.mFence, mSettings.mLength }, aNow);
    }
    const bool isDue = !mRenewAt || aNow >= *mRenewAt;
    return isDue ? StartWrite(mLastRow.mRow, aNow) : LeaseAction{};
  }
  if (mIsReleasing) {
    return {};
  }
  if (CanTakeOver(aNow)) {
    return StartWrite(
      { mSelfInstance, mLastRow.mRow.mFence + 1, mSettings.mLength }, aNow);
  }
  const bool isReadDue =
    !mLastReadAt || aNow - *mLastReadAt >= mSettings.mReadInterval;
  return isReadDue ? StartRead(aNow) : LeaseAction{};
}

void
LeaseStateMachine::OnRead(const LeaseRowRead& aRead, TimePoint aNow)
{
  PH_ASSERT(mPending.mKind == LeaseActionKind::Read);
  mPending = {};
  mIsReadRequired = false;
  mLastReadAt = aNow;
  const bool isUnchanged =
    mUnchangedSince && mLastRow.mRowVersion == aRead.mRowVersion;
  if (isUnchanged) {
    return;
  }
  mLastRow = aRead;
  mUnchangedSince = aNow;
  if (!IsOwnRow()) {
    mHeldUntil.reset();
  }
  // The row may be from a write of this process whose response was lost. The
  // lease then counts from the send time of that write, which is no longer
  // known, so the row is written once more.
  mRenewAt.reset();
}

void
LeaseStateMachine::OnReadFailed(TimePoint aNow)
{
  PH_ASSERT(mPending.mKind == LeaseActionKind::Read);
  mPending = {};
  mLastReadAt = aNow;
}

void
LeaseStateMachine::OnWrite(LeaseWriteResult aResult,
                           std::uint64_t aNewRowVersion,
                           TimePoint aNow)
{
  PH_ASSERT(mPending.mKind == LeaseActionKind::Write);
  switch (aResult) {
    case LeaseWriteResult::Committed:
      OnCommitted(aNewRowVersion, aNow);
      break;
    case LeaseWriteResult::Conflict:
    case LeaseWriteResult::InDoubt:
      mIsReadRequired = true;
      break;
    case LeaseWriteResult::NotSent:
      break;
  }
  mPending = {};
}

void
LeaseStateMachine::Release()
{
  mIsReleasing = true;
  mHeldUntil.reset();
}

bool
LeaseStateMachine::IsHeld(TimePoint aNow) const
{
  return mHeldUntil && aNow < *mHeldUntil - mSettings.mStopMargin;
}

bool
LeaseStateMachine::MaySendOrder(FenceCheck aCheck,
                                bool aStateReadBack,
                                TimePoint aNow) const
{
  if (!IsHeld(aNow)) {
    return false;
  }
  return aCheck == FenceCheck::Checked || (CanReadBack(aNow) && aStateReadBack);
}

bool
LeaseStateMachine::CanReadBack(TimePoint aNow) const
{
  return IsHeld(aNow) && mReadBackFrom && aNow >= *mReadBackFrom;
}

bool
LeaseStateMachine::CanTakeOver(TimePoint aNow) const
{
  if (!mUnchangedSince) {
    return false;
  }
  if (mLastRow.mRowVersion == 0 || mLastRow.mRow.mHolder.empty()) {
    return true;
  }
  return aNow >=
         *mUnchangedSince + mLastRow.mRow.mDuration + mSettings.mDriftMargin;
}

LeaseAction
LeaseStateMachine::StartWrite(const LeaseRow& aRow, TimePoint aNow)
{
  mPending = { LeaseActionKind::Write, aRow, aNow };
  return { LeaseActionKind::Write, aRow, mLastRow.mRowVersion };
}

LeaseAction
LeaseStateMachine::StartRead(TimePoint aNow)
{
  mPending = { LeaseActionKind::Read, {}, aNow };
  return { LeaseActionKind::Read, {}, 0 };
}

void
LeaseStateMachine::OnCommitted(std::uint64_t aNewRowVersion, TimePoint aNow)
{
  mLastRow = { mPending.mRow, aNewRowVersion };
  mUnchangedSince = aNow;
  if (!IsOwnRow() || mIsReleasing) {
    mHeldUntil.reset();
    return;
  }
  mHeldUntil = mPending.mSentAt + mSettings.mLength;
  mRenewAt = mPending.mSentAt + mSettings.mRenewInterval;
  if (mHeldFence != mLastRow.mRow.mFence) {
    mHeldFence = mLastRow.mRow.mFence;
    mReadBackFrom = aNow + mSettings.mMaxOrderDelay;
  }
}

} // namespace peridothoist
