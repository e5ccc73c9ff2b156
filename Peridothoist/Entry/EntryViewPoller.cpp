#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EntryViewPoller.h>

#include <Peridothoist/Shell/Log.h>

namespace peridothoist {

EntryViewPoller::EntryViewPoller(const Settings& aSettings,
                                 Reactor* aReactor,
                                 PeerClient* aClient,
                                 EntryView* aView,
                                 EntryViewPollerListener* aListener)
  : mSettings(aSettings)
  , mReactor(aReactor)
  , mClient(aClient)
  , mView(aView)
  , mListener(aListener)
{
  PH_ASSERT(!mSettings.mControls.empty());
}

EntryViewPoller::~EntryViewPoller()
{
  mReactor->CancelTimer(mTimer);
}

void
EntryViewPoller::Start()
{
  Poll();
}

void
EntryViewPoller::Poll()
{
  const TimePoint now = mReactor->Now();
  ChooseControl(now);
  peer::FollowRequest request;
  request.set_version(mView->Config().mVersion);
  request.set_plan_epoch(mView->Shares().Epoch());
  mListener->FillFollowRequest(request);
  mClient->Follow(
    mSettings.mControls[mControlIndex],
    std::move(request),
    mSettings.mResponseTimeout,
    [this, now](const std::optional<peer::ViewUpdate>& aUpdate,
                const Reason& aReason) { OnResponse(aUpdate, aReason, now); });
}

void
EntryViewPoller::ChooseControl(TimePoint aNow)
{
  if (mControlIndex != 0 &&
      aNow - mLeftLocalControlAt >= mSettings.mLocalControlRetryInterval) {
    mControlIndex = 0;
  }
}

void
EntryViewPoller::OnResponse(const std::optional<peer::ViewUpdate>& aUpdate,
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
    mListener->OnViewUpdate(*aUpdate);
    // When this control process can't confirm its own view, that of another
    // VM may be able to.
    const bool isStale = !mView->Freshness().IsFresh(now);
    if (!isStale) {
      mWasLastUseful = true;
    }
  }
  const bool isUseful = aUpdate && mView->Freshness().IsFresh(now);
  if (!isUseful) {
    if (mWasLastUseful) {
      Log::Warning("control_not_useful")
        .Field("control", mSettings.mControls[mControlIndex])
        .Field("reason", aUpdate ? "stale view" : aReason.mText);
      mWasLastUseful = false;
    }
    if (mControlIndex == 0) {
      mLeftLocalControlAt = now;
    }
    mControlIndex = (mControlIndex + 1) % mSettings.mControls.size();
    wait = mSettings.mInterval / 2;
  }
  mTimer = mReactor->Schedule(wait, [this] { Poll(); });
}

} // namespace peridothoist
