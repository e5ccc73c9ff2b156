#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/ViewFollower.h>

#include <Peridothoist/Shell/Log.h>

namespace peridothoist {

ViewFollower::ViewFollower(const Settings& aSettings,
                           Reactor* aReactor,
                           PeerClient* aClient,
                           EntryView* aView,
                           ViewFollowerListener* aListener)
  : mSettings(aSettings)
  , mReactor(aReactor)
  , mClient(aClient)
  , mView(aView)
  , mListener(aListener)
{
  PH_ASSERT(!mSettings.mControls.empty());
}

ViewFollower::~ViewFollower()
{
  mReactor->CancelTimer(mTimer);
}

void
ViewFollower::Start()
{
  Ask();
}

void
ViewFollower::Ask()
{
  const TimePoint now = mReactor->Now();
  ChooseControl(now);
  peer::FollowRequest request;
  request.set_version(mView->Config().mVersion);
  request.set_plan_epoch(mView->Book().Epoch());
  mListener->FillQuestion(request);
  mClient->Follow(
    mSettings.mControls[mControl],
    std::move(request),
    mSettings.mDeadline,
    [this, now](const std::optional<peer::ViewUpdate>& aUpdate,
                const Reason& aReason) { OnAnswer(aUpdate, aReason, now); });
}

void
ViewFollower::ChooseControl(TimePoint aNow)
{
  if (mControl != 0 && aNow - mLeftOwnAt >= mSettings.mRetryOwn) {
    mControl = 0;
  }
}

void
ViewFollower::OnAnswer(const std::optional<peer::ViewUpdate>& aUpdate,
                       const Reason& aReason,
                       TimePoint aSent)
{
  const TimePoint now = mReactor->Now();
  Duration wait = mSettings.mInterval;
  if (aUpdate) {
    Reason reason;
    if (!mView->Apply(*aUpdate, aSent, now, &reason)) {
      Log::Error("view_update_refused").Field("reason", reason.mText);
    }
    mListener->OnFollowed(*aUpdate);
    // A view that the control process itself can't confirm may be confirmed
    // by another VM's.
    const bool stale = !mView->Freshness().IsFresh(now);
    if (!stale) {
      mLastAnswered = true;
    }
  }
  const bool useful = aUpdate && mView->Freshness().IsFresh(now);
  if (!useful) {
    if (mLastAnswered) {
      Log::Warning("control_not_useful")
        .Field("control", mSettings.mControls[mControl])
        .Field("reason", aUpdate ? "stale view" : aReason.mText);
      mLastAnswered = false;
    }
    if (mControl == 0) {
      mLeftOwnAt = now;
    }
    mControl = (mControl + 1) % mSettings.mControls.size();
    wait = mSettings.mInterval / 2;
  }
  mTimer = mReactor->Schedule(wait, [this] { Ask(); });
}

} // namespace peridothoist
