/// What a VM does, and until when, between the signal to leave and the end of
/// its process.
///
/// Four moments follow each other: the end of new streams, the end of new
/// requests, the moment at which everything that is still open gets its final
/// answer, and the end of the process. All follow from the grace period.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayConfiguration.h>

namespace peridothoist {

/// Settings of LeavingSchedule.
struct LeavingScheduleSettings
{
  Duration mGracePeriod = 8s; ///< From the signal to the forced termination.
  /// Requests are taken for at most this long after the signal, for callers
  /// that have cached this VM's address.
  Duration mMaxAcceptPeriod = 3500ms;
  /// The same for streams, of which most last longer.
  Duration mMaxStreamPeriod = 2500ms;
  /// The process ends at most this long before the end of the grace period.
  Duration mMaxExitMargin = 500ms;
  /// Time for writing the final answers.
  Duration mMaxAnswerPeriod = 300ms;
};

/// The schedule of one shutdown.
class LeavingSchedule
{
public:
  using Settings = LeavingScheduleSettings;

  /// aStartedAt: arrival of the signal.
  LeavingSchedule(const Settings& aSettings, TimePoint aStartedAt);

  TimePoint StartedAt() const { return mStartedAt; }

  /// New requests are refused from then on.
  TimePoint AcceptsUntil() const { return mAcceptsUntil; }

  /// Open requests get their final answer then.
  TimePoint AnswersAt() const { return mAnswersAt; }

  /// The process ends then, whatever is open.
  TimePoint EndsAt() const { return mEndsAt; }

  /// Returns whether a request that has just arrived is served here. It is if
  /// it ends before AnswersAt() at its deadline, or if calls of its service
  /// take much less than the time that is left. Any other one is better served
  /// by another VM. aTypicalCall: time of a call; 0: not known.
  bool Takes(RouteKind aKind,
             TimePoint aDeadline,
             Duration aTypicalCall,
             TimePoint aNow) const;

private:
  TimePoint mStartedAt;
  TimePoint mStreamsUntil;
  TimePoint mAcceptsUntil;
  TimePoint mAnswersAt;
  TimePoint mEndsAt;
};

} // namespace peridothoist
