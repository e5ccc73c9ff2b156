/// Rule (c) of the freshness rule: whether, in an outage of the platform, all
/// VMs together prove that no change was accepted.
///
/// Claim. Let every member m that this VM knows of (including itself) have
/// said at some time >= t_m: "my stamp is s_m, I can't reach the platform, I
/// hold no commit in doubt". Let T be the smallest t_m and let the view held
/// here cover every s_m. Then every change accepted before T by a member that
/// counts is covered by the view, and T is a confirmation.
///
/// Argument. A change is accepted by one control process, which takes it into
/// its own view in the same step as it learns that the commit took effect. If
/// m accepted it before T, then before t_m, so s_m covers it, and so does the
/// view. A commit that took effect without its author knowing isn't accepted
/// yet, but others may have read it, and a share plan is acted on where it is
/// read. Its author therefore says "in doubt" from before it sends a commit,
/// and there is no agreement; ChangeGate makes sure that its word counts.
///
/// Hazards, and what meets them:
///   - A VM joined after the cut and alone reaches the platform; it isn't on
///     the list here. It accepts no change before it exchanged members with
///     VMs that the cut-off ones count on (ChangeGate), at a time e before
///     the acceptance. A word of such a VM with t_m > e came with the new
///     member, which then counts here and has to speak for itself; without
///     such a word T <= e, and the confirmation covers no time after the
///     acceptance.
///   - An old word: each has its own t_m, a lower bound on this process's
///     clock (request sent, less the age carried). The oldest decides T, so a
///     word is never good for longer than the staleness limit.
///   - Someone holds a higher stamp: no agreement until it is held here.
///   - A paused VM doesn't answer: no agreement, its last word grows old. When
///     *this* VM was paused, its clock went on, and T is old when it wakes.
///   - A member restarted: what its old instance accepted may be in nobody's
///     word. A member's word counts only if its control process had started
///     mCommitOnItsWayLimit before the view's present confirmation: what any
///     older instance accepted, or had sent to the platform, is covered by
///     that confirmation. So a control process that starts within an outage
///     ends the agreement until (a) or (b) confirms again.
///   - A member says that it reaches the platform: no agreement; its view is
///     to be had by (b).
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/View/ViewStamp.h>

namespace peridothoist {

/// What one member last said of itself.
struct MemberReport
{
  std::string mVm;
  std::optional<TimePoint> mAsOf; ///< Not before; empty: never heard.
  TimePoint mStartedBy{};         ///< Its control process ran by then.
  ViewStamp mStamp;
  bool mPlatformUnreachable = false;
  /// A commit was sent whose answer isn't known, from *before* it is sent
  /// until it is settled.
  bool mCommitInDoubt = false;
};

/// Why there is no agreement.
enum class AgreementObstacle
{
  None,
  Silent,            ///< A member's word is missing or too old.
  PlatformReachable, ///< A member reaches the platform.
  InDoubt,           ///< A member holds a commit in doubt.
  NewerView,         ///< A member holds what this VM doesn't.
  Unconfirmed,       ///< The view was never confirmed by (a) or (b).
  Restarted          ///< A member started after the view was confirmed.
};

const char*
ToName(AgreementObstacle aObstacle);

/// The outcome of an evaluation.
struct AgreementResult
{
  AgreementObstacle mObstacle = AgreementObstacle::None;
  std::string mVm;   ///< The member in the way, for logs.
  TimePoint mAsOf{}; ///< Without obstacle: the oldest word's time.
};

/// Limits of an OutageAgreement.
struct OutageAgreementSettings
{
  Duration mStalenessLimit = std::chrono::seconds(2); ///< Older is silence.
  /// Longest time from sending a commit to its effect at the platform. Longer
  /// than the time after which a call to the platform is given up.
  Duration mCommitOnItsWayLimit = std::chrono::seconds(2);
};

/// Evaluates rule (c).
class OutageAgreement
{
public:
  using Settings = OutageAgreementSettings;

  explicit OutageAgreement(const Settings& aSettings);

  /// Whether the members, this VM among them, agree that aHeld is the truth.
  /// aConfirmed is FreshView::ConfirmedAt().
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
