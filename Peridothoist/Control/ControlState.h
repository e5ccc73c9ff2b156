/// State that the components of a control process share: its view, the known
/// members, quarantined requests, and the member entry of this VM.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlSettings.h>
#include <Peridothoist/Control/QuarantineTable.h>
#include <Peridothoist/Control/ViewStore.h>
#include <Peridothoist/Membership/LocalEntryTracker.h>
#include <Peridothoist/View/OutageAgreement.h>

namespace peridothoist {

/// State of one process. The current time is passed in.
class ControlState
{
public:
  ControlState(const ControlSettings& aSettings,
               ViewStoreListener& aListener,
               TimePoint aNow);

  /// Updates the member entry of this VM. Call it before the entry is sent or
  /// evaluated.
  void UpdateLocalMember(TimePoint aNow);

  /// Evaluates rule (c) of the freshness rule (agreement of all VMs during a
  /// platform outage) and confirms the view if it holds.
  void EvaluateOutage(TimePoint aNow);

  /// Called when the platform was read with a request sent at aSent.
  void OnPlatformRead(const ViewStamp& aStamp, TimePoint aSent);
  /// Called when a peer replied to a request sent at aSent.
  void OnPeerReply(const peer::ViewState& aState, TimePoint aSent);

  /// Returns the state of the view as sent to peers and entries.
  peer::ViewState MakeState(TimePoint aNow) const;

  /// Returns whether a commit of this process is pending or in doubt: it may
  /// have taken effect although this process does not know it.
  bool IsInDoubt() const;

  const ControlSettings& mSettings;
  ViewStore mView;
  MemberList mMembers;
  QuarantineTable mQuarantine;
  LocalEntryTracker mLocalEntry;
  /// Version of the view that the local entry last reported.
  std::uint64_t mLocalEntryVersion = 0;
  bool mIsPlatformUnreachable = false;
  /// True from before a change is sent until its result is known.
  bool mIsChangeInDoubt = false;
  bool mIsPlanInDoubt = false; ///< The same for the share plan.
  bool mIsLeaving = false;
  AgreementResult mAgreement; ///< Result of the last EvaluateOutage().

private:
  Member MakeLocalMember(TimePoint aNow) const;

  OutageAgreement mOutage;
  TimePoint mStartedAt; ///< Start time of this process.
};

} // namespace peridothoist
