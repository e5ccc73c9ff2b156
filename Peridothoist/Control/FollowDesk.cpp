/// Answers entries that follow this control process.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/FollowDesk.h>

#include <Peridothoist/Peers/PeerCodec.h>

namespace peridothoist {

FollowDesk::FollowDesk(ControlState& aState)
  : mState(aState)
{
}

void
FollowDesk::TakeEntry(const peer::FollowRequest& aRequest, TimePoint aNow)
{
  // Entries of other VMs may follow too, while their own control is down.
  if (aRequest.vm() != mState.mSettings.mVm) {
    return;
  }
  mState.mEntryVersion = aRequest.version();
  mState.mEntry.OnFollow(aRequest.entry_instance(), aRequest.leaving(), aNow);
}

peer::ViewUpdate
FollowDesk::Answer(const peer::FollowRequest& aRequest,
                   TimePoint aNow,
                   bool* aNews)
{
  TakeEntry(aRequest, aNow);
  *aNews = mState.mQuarantine.Merge(aRequest.quarantine(), aNow);
  mState.UpdateSelf(aNow);
  peer::ViewUpdate update;
  *update.mutable_view() = mState.MakeState(aNow);
  mState.mView.FillUpdate(aRequest.version(), update);
  for (const Member& it : mState.mMembers.Export(aNow)) {
    *update.add_members() = ToMessage(it);
  }
  for (const KeySuspension& it : mState.mView.Suspensions().Suspensions(aNow)) {
    *update.add_suspensions() = ToMessage(it);
  }
  mState.mQuarantine.Fill(*update.mutable_quarantine(), aNow);
  if (mState.mView.Plan().mEpoch > aRequest.plan_epoch()) {
    *update.add_plans() = ToMessage(mState.mView.Plan());
  }
  return update;
}

} // namespace peridothoist
