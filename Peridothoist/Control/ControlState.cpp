/// What the parts of a control process share.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlState.h>

#include <Peridothoist/Peers/PeerCodec.h>

namespace peridothoist {

namespace {

Member
IdentityOf(const ControlSettings& aSettings)
{
  Member self;
  self.mVm = aSettings.mVm;
  self.mZone = aSettings.mZone;
  self.mEntryAddress = aSettings.mEntryAddress;
  self.mEntryPeer = aSettings.mEntryPeer;
  self.mControlPeer = aSettings.mPeerAddress.empty() ? aSettings.mPeerListen
                                                     : aSettings.mPeerAddress;
  self.mControlInstance = aSettings.mInstance;
  return self;
}

} // namespace

ControlState::ControlState(const ControlSettings& aSettings,
                           ViewKeeperListener& aListener,
                           TimePoint aNow)
  : mSettings(aSettings)
  , mView(aSettings.mFresh, aListener)
  , mMembers(aSettings.mMembers, IdentityOf(aSettings), aNow)
  , mQuarantine(QuarantineBookSettings())
  , mEntry(OwnEntrySettings())
  , mOutage(aSettings.mOutage)
  , mStartedAt(aNow)
{
}

Member
ControlState::MakeSelf(TimePoint aNow) const
{
  Member self = IdentityOf(mSettings);
  self.mEntryInstance = mEntry.Instance(aNow);
  self.mEntryVersion = mEntryVersion;
  const bool entryLeaves = !self.mEntryInstance.empty() && mEntry.IsLeaving();
  self.mState =
    mLeaving || entryLeaves ? MemberState::Leaving : MemberState::Live;
  self.mStamp = mView.Fresh().Stamp();
  self.mPlatformUnreachable = mPlatformSilent;
  self.mCommitInDoubt = IsInDoubt();
  self.mRunningFor = aNow - mStartedAt;
  return self;
}

void
ControlState::UpdateSelf(TimePoint aNow)
{
  mMembers.SetSelf(MakeSelf(aNow), aNow);
}

void
ControlState::JudgeOutage(TimePoint aNow)
{
  UpdateSelf(aNow);
  const ViewStamp& held = mView.Fresh().Stamp();
  mAgreement = mOutage.Evaluate(
    held, mView.Fresh().ConfirmedAt(), mMembers.Words(aNow), aNow);
  if (mPlatformSilent && mAgreement.mObstacle == AgreementObstacle::None) {
    mView.Fresh().ConfirmByAgreement(held, mAgreement.mAsOf);
  }
}

void
ControlState::OnPlatformRead(const ViewStamp& aStamp, TimePoint aSent)
{
  mPlatformSilent = false;
  mView.Fresh().ConfirmByPlatform(aStamp, aSent);
}

void
ControlState::OnPeerReply(const peer::ViewState& aState, TimePoint aSent)
{
  if (aState.never_confirmed()) {
    return;
  }
  const ViewStamp stamp = StampOf(aState);
  const Duration age = FromMicroseconds(aState.age_us());
  mView.Fresh().ConfirmByPeer(stamp, age, aSent);
}

peer::ViewState
ControlState::MakeState(TimePoint aNow) const
{
  peer::ViewState state = mView.MakeState(aNow);
  state.set_platform_unreachable(mPlatformSilent);
  state.set_commit_in_doubt(IsInDoubt());
  return state;
}

bool
ControlState::IsInDoubt() const
{
  return mChangeInDoubt || mPlanInDoubt;
}

} // namespace peridothoist
