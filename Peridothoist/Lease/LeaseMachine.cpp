#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Lease/LeaseMachine.h>

namespace peridothoist {

LeaseMachine::LeaseMachine(const Settings& aSettings, std::string aSelfInstance)
  : mSettings(aSettings)
  , mSelf(std::move(aSelfInstance))
{
  PH_ASSERT(mSettings.mRenewEvery + mSettings.mStopMargin < mSettings.mLength);
}

LeaseAction
LeaseMachine::Next(TimePoint aNow)
{
  if (mPending.mKind != LeaseActionKind::None) {
    return {};
  }
  if (mIsReadRequired) {
    return StartRead(aNow);
  }
  if (IsOwn()) {
    if (mIsReleasing) {
      return StartWrite({ "", mSeen.mRow.mFence, mSettings.mLength }, aNow);
    }
    const bool isDue = !mRenewAt || aNow >= *mRenewAt;
    return isDue ? StartWrite(mSeen.mRow, aNow) : LeaseAction{};
  }
  if (mIsReleasing) {
    return {};
  }
  if (MayTakeOver(aNow)) {
    return StartWrite({ mSelf, mSeen.mRow.mFence + 1, mSettings.mLength },
                      aNow);
  }
  const bool isReadDue =
    !mLastReadAt || aNow - *mLastReadAt >= mSettings.mReadEvery;
  return isReadDue ? StartRead(aNow) : LeaseAction{};
}

void
LeaseMachine::OnRead(const LeaseRowRead& aRead, TimePoint aNow)
{
  PH_ASSERT(mPending.mKind == LeaseActionKind::Read);
  mPending = {};
  mIsReadRequired = false;
  mLastReadAt = aNow;
  const bool isUnchanged = mSeenSince && mSeen.mRowVersion == aRead.mRowVersion;
  if (isUnchanged) {
    return;
  }
  mSeen = aRead;
  mSeenSince = aNow;
  if (!IsOwn()) {
    mHeldUntil.reset();
  }
  // If this is a write of this process whose response was lost, the lease
  // counts from when that write was sent, which isn't known any more. So the
  // row is written once more.
  mRenewAt.reset();
}

void
LeaseMachine::OnReadFailed(TimePoint aNow)
{
  PH_ASSERT(mPending.mKind == LeaseActionKind::Read);
  mPending = {};
  mLastReadAt = aNow;
}

void
LeaseMachine::OnWrite(LeaseWriteResult aResult,
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
LeaseMachine::Release()
{
  mIsReleasing = true;
  mHeldUntil.reset();
}

bool
LeaseMachine::IsHeld(TimePoint aNow) const
{
  return mHeldUntil && aNow < *mHeldUntil - mSettings.mStopMargin;
}

bool
LeaseMachine::MayOrder(FenceCheck aCheck,
                       bool aStateReadBack,
                       TimePoint aNow) const
{
  if (!IsHeld(aNow)) {
    return false;
  }
  return aCheck == FenceCheck::Checked || (CanReadBack(aNow) && aStateReadBack);
}

bool
LeaseMachine::CanReadBack(TimePoint aNow) const
{
  return IsHeld(aNow) && mReadBackFrom && aNow >= *mReadBackFrom;
}

bool
LeaseMachine::MayTakeOver(TimePoint aNow) const
{
  if (!mSeenSince) {
    return false;
  }
  if (mSeen.mRowVersion == 0 || mSeen.mRow.mHolder.empty()) {
    return true;
  }
  return aNow >= *mSeenSince + mSeen.mRow.mLasts + mSettings.mDriftMargin;
}

LeaseAction
LeaseMachine::StartWrite(const LeaseRow& aRow, TimePoint aNow)
{
  mPending = { LeaseActionKind::Write, aRow, aNow };
  return { LeaseActionKind::Write, aRow, mSeen.mRowVersion };
}

LeaseAction
LeaseMachine::StartRead(TimePoint aNow)
{
  mPending = { LeaseActionKind::Read, {}, aNow };
  return { LeaseActionKind::Read, {}, 0 };
}

void
LeaseMachine::OnCommitted(std::uint64_t aNewRowVersion, TimePoint aNow)
{
  mSeen = { mPending.mRow, aNewRowVersion };
  mSeenSince = aNow;
  if (!IsOwn() || mIsReleasing) {
    mHeldUntil.reset();
    return;
  }
  mHeldUntil = mPending.mSentAt + mSettings.mLength;
  mRenewAt = mPending.mSentAt + mSettings.mRenewEvery;
  if (mHeldFence != mSeen.mRow.mFence) {
    mHeldFence = mSeen.mRow.mFence;
    mReadBackFrom = aNow + mSettings.mMaxOrderDelay;
  }
}

} // namespace peridothoist
