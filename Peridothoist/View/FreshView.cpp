#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/View/FreshView.h>

namespace peridothoist {

FreshView::FreshView(const Settings& aSettings)
  : mSettings(aSettings)
{
}

bool
FreshView::Hold(const ViewStamp& aStamp)
{
  if (!aStamp.Covers(mStamp)) {
    return false;
  }
  mStamp = aStamp;
  if (mPending && mStamp.Covers(mPending->mStamp)) {
    const Confirmation caughtUp = *mPending;
    mPending.reset();
    Confirm(caughtUp);
  }
  return true;
}

void
FreshView::ConfirmByPlatform(const ViewStamp& aStamp, TimePoint aSent)
{
  Confirm({ aStamp, aSent });
}

void
FreshView::ConfirmByPeer(const ViewStamp& aStamp,
                         Duration aAge,
                         TimePoint aSent)
{
  PH_ASSERT(aAge >= Duration{ 0 });
  // A stale peer can't confirm anything, and a huge age must not make the
  // subtraction overflow.
  if (aAge < mSettings.mStalenessLimit) {
    Confirm({ aStamp, aSent - aAge });
  }
}

void
FreshView::ConfirmByAgreement(const ViewStamp& aStamp, TimePoint aAsOf)
{
  if (mConfirmed) {
    Confirm({ aStamp, aAsOf });
  }
}

std::optional<StaleViewRefusal>
FreshView::MayAct(TimePoint aNow) const
{
  if (IsFresh(aNow)) {
    return std::nullopt;
  }
  const char* text =
    mConfirmed ? "the configuration has not been confirmed recently"
               : "the configuration has not been confirmed since the start";
  return StaleViewRefusal{ { ReasonCode::Stale, text }, mSettings.mRetryAfter };
}

bool
FreshView::IsFresh(TimePoint aNow) const
{
  return mConfirmed && aNow < *mConfirmed + mSettings.mStalenessLimit;
}

std::optional<Duration>
FreshView::Age(TimePoint aNow) const
{
  if (!mConfirmed) {
    return std::nullopt;
  }
  return std::max(aNow - *mConfirmed, Duration{ 0 });
}

std::optional<TimePoint>
FreshView::FreshUntil() const
{
  if (!mConfirmed) {
    return std::nullopt;
  }
  return *mConfirmed + mSettings.mStalenessLimit;
}

void
FreshView::Confirm(const Confirmation& aConfirmation)
{
  if (mStamp.Covers(aConfirmation.mStamp)) {
    if (!mConfirmed || aConfirmation.mAsOf > *mConfirmed) {
      mConfirmed = aConfirmation.mAsOf;
    }
    return;
  }
  // Keep the later of two pending confirmations: it covers more time.
  if (!mPending || aConfirmation.mAsOf > mPending->mAsOf) {
    mPending = aConfirmation;
  }
}

} // namespace peridothoist
