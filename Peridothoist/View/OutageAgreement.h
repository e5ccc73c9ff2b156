/// Rule (c) of the freshness rule (see ViewFreshness): decides whether, while
/// the platform is unreachable, all VMs together prove that no change was
/// accepted.
///
/// Claim. Let every member m that this VM knows of (including itself) have
/// reported at some time >= t_m: "my stamp is s_m, I can't reach the platform,
/// I have no commit in doubt". Let T be the smallest t_m, and let the view held
/// here cover every s_m. Then every change that a member accepted before T is
/// covered by the view, and T is a confirmation.
///
/// Proof. A change is accepted by one control process, which applies it to its
/// own view in the same step in which it learns that the commit took effect.
/// If m accepted it before T, then it did so before t_m; so s_m covers the
/// change, and the view does, too. A commit that took effect without its
/// author knowing isn't accepted yet, but others may have read it, and a share
/// plan is acted on where it is read. Its author therefore reports "in doubt"
/// from before it sends a commit, which prevents an agreement. ChangeGuard
/// ensures that the author's report is required.
///
/// Hazards and how they are handled:
///   - A VM that joined after the partition, and alone reaches the platform, is
///     not on the list here. It accepts no change before it has exchanged
///     members with VMs whose reports the cut-off ones require (ChangeGuard),
///     at a time e before the acceptance. A report of such a VM with t_m > e
///     contains the new member, whose own report is then required.
///     Without such a report T <= e, and the confirmation covers no time after
///     the acceptance.
///   - An old report: each has its own t_m, a lower bound on this process's
///     clock (time of the request, less the age carried). The oldest report
///     determines T, so no report is valid for longer than the staleness
///     limit.
///   - A member holds a higher stamp: there is no agreement until this VM
///     holds it, too.
///   - A paused VM doesn't respond: there is no agreement, as its last report
///     grows old. While *this* VM is paused, its clock continues, so that T is
///     old when it resumes.
///   - A member restarted: changes accepted by its old instance may be missing
///     from all reports. A member's report counts only if its control process
///     had started mMaxCommitDelay before the view's latest confirmation:
///     that confirmation covers whatever an older instance accepted or had
///     sent to the platform. A control process that starts during an outage
///     thus ends the agreement until (a) or (b) confirms again.
///   - A member reports that it reaches the platform: there is no agreement;
///     its view can be fetched by (b).
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/View/ViewStamp.h>

namespace peridothoist {

/// The last report of one member about itself.
struct MemberReport
{
  std::string mVm;
  /// Lower bound of the time of the report; empty: no report was received.
  std::optional<TimePoint> mAsOf;
  TimePoint mStartedBy{}; ///< Its control process had started by then.
  ViewStamp mStamp;
  bool mPlatformUnreachable = false;
  /// A commit was sent whose result isn't known. True from *before* it is sent
  /// until its result is known.
  bool mCommitInDoubt = false;
};

/// Why there is no agreement.
enum class AgreementObstacle
{
  None,
  Silent,            ///< A member's report is missing or too old.
  PlatformReachable, ///< A member reaches the platform.
  InDoubt,           ///< A member has a commit in doubt.
  NewerView,         ///< A member's view isn't covered by this VM's.
  Unconfirmed,       ///< The view was never confirmed by (a) or (b).
  Restarted          ///< A member started after the view was confirmed.
};

const char*
ToName(AgreementObstacle aObstacle);

/// The result of an evaluation.
struct AgreementResult
{
  AgreementObstacle mObstacle = AgreementObstacle::None;
  std::string mVm;   ///< The member that prevents the agreement, for logs.
  TimePoint mAsOf{}; ///< Without an obstacle: time of the oldest report.
};

/// Limits of an OutageAgreement.
struct OutageAgreementSettings
{
  /// A report that is older counts as missing.
  Duration mStalenessLimit = std::chrono::seconds(2);
  /// Longest time from sending a commit to its effect at the platform. Longer
  /// than the timeout of a call to the platform.
  Duration mMaxCommitDelay = std::chrono::seconds(2);
};

/// Evaluates rule (c).
class OutageAgreement
{
public:
  using Settings = OutageAgreementSettings;

  explicit OutageAgreement(const Settings& aSettings);

  /// Evaluates whether the members, including this VM, agree that no change
  /// beyond aHeld was accepted. aConfirmed is ViewFreshness::ConfirmedAt().
  AgreementResult Evaluate(const ViewStamp& aHeld,
                           std::optional<TimePoint> aConfirmed,
                           const std::vector<MemberReport>& aMembers,
                           TimePoint aNow) const;

private:
  AgreementObstacle FindObstacle(const MemberReport& aReport,
                                 const ViewStamp& aHeld,
                                 TimePoint aConfirmed,
                                 TimePoint aNow) const;

  Settings mSettings;
};

} // namespace peridothoist
