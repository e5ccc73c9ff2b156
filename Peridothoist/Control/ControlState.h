/// What the parts of a control process share: its view, the members it knows,
/// quarantined requests, and what it says of itself.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlSettings.h>
#include <Peridothoist/Control/QuarantineBook.h>
#include <Peridothoist/Control/ViewKeeper.h>
#include <Peridothoist/Membership/OwnEntry.h>
#include <Peridothoist/View/OutageAgreement.h>

namespace peridothoist {

/// One process's state; the clock is passed in.
class ControlState
{
public:
  ControlState(const ControlSettings& aSettings,
               ViewKeeperListener& aListener,
               TimePoint aNow);

  /// Renews what this VM says of itself. Call it before it is sent or judged.
  void UpdateSelf(TimePoint aNow);

  /// Judges rule (c) of the freshness rule and confirms the view by it.
  void JudgeOutage(TimePoint aNow);

  /// The platform was read, or a peer's reply came.
  void OnPlatformRead(const ViewStamp& aStamp, TimePoint aSent);
  void OnPeerReply(const peer::ViewState& aState, TimePoint aSent);

  /// The view's state as peers and entries are told.
  peer::ViewState MakeState(TimePoint aNow) const;

  /// Whether a commit of any kind may have taken effect without our knowing.
  bool IsInDoubt() const;

  const ControlSettings& mSettings;
  ViewKeeper mView;
  MemberList mMembers;
  QuarantineBook mQuarantine;
  OwnEntry mEntry;
  std::uint64_t mEntryVersion = 0; ///< Of the view that mEntry last named.
  bool mPlatformSilent = false;
  bool mChangeInDoubt = false; ///< From before it is sent until it is known.
  bool mPlanInDoubt = false;   ///< The same for the share plan.
  bool mLeaving = false;
  AgreementResult mAgreement; ///< Of the last JudgeOutage().

private:
  Member MakeSelf(TimePoint aNow) const;

  OutageAgreement mOutage;
  TimePoint mStartedAt; ///< Of this process.
};

} // namespace peridothoist
