#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/View/ViewFreshness.h>

namespace peridothoist {

ViewFreshness::ViewFreshness(const Settings& aSettings)
  : mSettings(aSettings)
{
}

bool
ViewFreshness::AdvanceStamp(const ViewStamp& aStamp)
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
ViewFreshness::ConfirmByPlatform(const ViewStamp& aStamp, TimePoint aSent)
{
  Confirm({ aStamp, aSent });
}

void
ViewFreshness::ConfirmByPeer(const ViewStamp& aStamp,
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
ViewFreshness::ConfirmByAgreement(const ViewStamp& aStamp, TimePoint aAsOf)
{
  if (mConfirmedAt) {
    Confirm({ aStamp, aAsOf });
  }
}

std::optional<StaleViewRefusal>
ViewFreshness::CheckFreshness(TimePoint aNow) const
{
  if (IsFresh(aNow)) {
    return std::nullopt;
  }
  const char* text =
    mConfirmedAt ? "the configuration has not been confirmed recently"
                 : "the configuration has not been confirmed since the start";
  return StaleViewRefusal{ { ReasonCode::Stale, text }, mSettings.mRetryAfter };
}

bool
ViewFreshness::IsFresh(TimePoint aNow) const
{
  return mConfirmedAt && aNow < *mConfirmedAt + mSettings.mStalenessLimit;
}

std::optional<Duration>
ViewFreshness::Age(TimePoint aNow) const
{
  if (!mConfirmedAt) {
    return std::nullopt;
  }
  return std::max(aNow - *mConfirmedAt, Duration{ 0 });
}

std::optional<TimePoint>
ViewFreshness::FreshUntil() const
{
  if (!mConfirmedAt) {
    return std::nullopt;
  }
  return *mConfirmedAt + mSettings.mStalenessLimit;
}

void
ViewFreshness::Confirm(const Confirmation& aConfirmation)
{
  if (mStamp.Covers(aConfirmation.mStamp)) {
    if (!mConfirmedAt || aConfirmation.mAsOf > *mConfirmedAt) {
      mConfirmedAt = aConfirmation.mAsOf;
    }
    return;
  }
  // Keep the later of two pending confirmations: it covers more time.
  if (!mPending || aConfirmation.mAsOf > mPending->mAsOf) {
    mPending = aConfirmation;
  }
}

} // namespace peridothoist
