/// State that the components of a control process share.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlState.h>

#include <Peridothoist/Peers/PeerCodec.h>

namespace peridothoist {

namespace {

Member
IdentityOf(const ControlSettings& aSettings)
{
  Member local;
  local.mVm = aSettings.mVm;
  local.mZone = aSettings.mZone;
  local.mEntryAddress = aSettings.mEntryAddress;
  local.mEntryPeer = aSettings.mEntryPeer;
  local.mControlPeer = aSettings.mPeerAddress.empty() ? aSettings.mPeerListen
                                                      : aSettings.mPeerAddress;
  local.mControlInstance = aSettings.mInstance;
  return local;
}

} // namespace

ControlState::ControlState(const ControlSettings& aSettings,
                           ViewStoreListener& aListener,
                           TimePoint aNow)
  : mSettings(aSettings)
  , mView(aSettings.mFreshness, aListener)
  , mMembers(aSettings.mMembers, IdentityOf(aSettings), aNow)
  , mQuarantine(QuarantineTableSettings())
  , mLocalEntry(LocalEntryTrackerSettings())
  , mOutage(aSettings.mOutage)
  , mStartedAt(aNow)
{
}

Member
ControlState::MakeLocalMember(TimePoint aNow) const
{
  Member local = IdentityOf(mSettings);
  local.mEntryInstance = mLocalEntry.Instance(aNow);
  local.mEntryVersion = mLocalEntryVersion;
  const bool isEntryLeaving =
    !local.mEntryInstance.empty() && mLocalEntry.IsLeaving();
  local.mState =
    mIsLeaving || isEntryLeaving ? MemberState::Leaving : MemberState::Live;
  local.mStamp = mView.Freshness().Stamp();
  local.mPlatformUnreachable = mIsPlatformUnreachable;
  local.mCommitInDoubt = IsInDoubt();
  local.mRunningFor = aNow - mStartedAt;
  return local;
}

void
ControlState::UpdateLocalMember(TimePoint aNow)
{
  mMembers.SetSelf(MakeLocalMember(aNow), aNow);
}

void
ControlState::EvaluateOutage(TimePoint aNow)
{
  UpdateLocalMember(aNow);
  const ViewStamp& held = mView.Freshness().Stamp();
  mAgreement = mOutage.Evaluate(
    held, mView.Freshness().ConfirmedAt(), mMembers.MemberReports(aNow), aNow);
  if (mIsPlatformUnreachable &&
      mAgreement.mObstacle == AgreementObstacle::None) {
    mView.Freshness().ConfirmByAgreement(held, mAgreement.mAsOf);
  }
}

void
ControlState::OnPlatformRead(const ViewStamp& aStamp, TimePoint aSent)
{
  mIsPlatformUnreachable = false;
  mView.Freshness().ConfirmByPlatform(aStamp, aSent);
}

void
ControlState::OnPeerReply(const peer::ViewState& aState, TimePoint aSent)
{
  if (aState.never_confirmed()) {
    return;
  }
  const ViewStamp stamp = StampOf(aState);
  const Duration age = FromMicroseconds(aState.age_us());
  mView.Freshness().ConfirmByPeer(stamp, age, aSent);
}

peer::ViewState
ControlState::MakeState(TimePoint aNow) const
{
  peer::ViewState state = mView.MakeState(aNow);
  state.set_platform_unreachable(mIsPlatformUnreachable);
  state.set_commit_in_doubt(IsInDoubt());
  return state;
}

bool
ControlState::IsInDoubt() const
{
  return mIsChangeInDoubt || mIsPlanInDoubt;
}

} // namespace peridothoist
