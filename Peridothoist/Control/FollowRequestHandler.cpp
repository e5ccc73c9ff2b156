/// Handles follow requests, with which entries poll this control process.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/FollowRequestHandler.h>

#include <Peridothoist/Peers/PeerCodec.h>

namespace peridothoist {

FollowRequestHandler::FollowRequestHandler(ControlState& aState)
  : mState(aState)
{
}

void
FollowRequestHandler::UpdateLocalEntry(const peer::FollowRequest& aRequest,
                                       TimePoint aNow)
{
  // Entries of other VMs also poll this process while their own control
  // process is down.
  if (aRequest.vm() != mState.mSettings.mVm) {
    return;
  }
  mState.mLocalEntryVersion = aRequest.version();
  mState.mLocalEntry.OnFollow(
    aRequest.entry_instance(), aRequest.leaving(), aNow);
}

peer::ViewUpdate
FollowRequestHandler::HandleRequest(const peer::FollowRequest& aRequest,
                                    TimePoint aNow,
                                    bool* aHasNewQuarantine)
{
  UpdateLocalEntry(aRequest, aNow);
  *aHasNewQuarantine = mState.mQuarantine.Merge(aRequest.quarantine(), aNow);
  mState.UpdateLocalMember(aNow);
  peer::ViewUpdate update;
  *update.mutable_view() = mState.MakeState(aNow);
  mState.mView.FillUpdate(aRequest.version(), update);
  for (const Member& it : mState.mMembers.CurrentMembers(aNow)) {
    *update.add_members() = ToMessage(it);
  }
  for (const KeySuspension& it :
       mState.mView.SuspendedKeys().Suspensions(aNow)) {
    *update.add_suspensions() = ToMessage(it);
  }
  mState.mQuarantine.AppendTo(*update.mutable_quarantine(), aNow);
  if (mState.mView.Plan().mEpoch > aRequest.plan_epoch()) {
    *update.add_plans() = ToMessage(mState.mView.Plan());
  }
  return update;
}

} // namespace peridothoist
