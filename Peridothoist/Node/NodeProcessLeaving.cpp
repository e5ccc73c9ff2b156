/// The shutdown of the node process: which requests it still takes, and when it
/// answers all that is open and ends.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/NodeProcess.h>

#include <Peridothoist/Core/DurationUnits.h>
#include <Peridothoist/Shell/Log.h>

namespace peridothoist {

namespace {

constexpr Duration kLeaveCheckInterval = 50ms;

/// Retry delay of requests that a leaving VM refuses. Another VM can serve them
/// at once.
constexpr Duration kLeavingRetryAfter = 10ms;

} // namespace

/// Returns a refusal if the request is better served by another VM, since this
/// process ends.
std::optional<Refusal>
NodeProcess::RefuseWhileLeaving(const AdmittedRequest& aAdmitted)
{
  const bool isTaken =
    !mIsLeaving ||
    mSchedule->Takes(aAdmitted.mRoute->mKind,
                     aAdmitted.mDeadline,
                     mMachine.TypicalCallTime(aAdmitted.mService),
                     mReactor->Now());
  if (isTaken) {
    return std::nullopt;
  }
  return Refusal::Make(
    RefusalKind::Leaving, RunVerdictTracker(), kLeavingRetryAfter);
}

void
NodeProcess::StartLeaving()
{
  if (mIsLeaving) {
    Log::Info("already_leaving").Field("open", mExecutor.OpenRequestCount());
    return;
  }
  mIsLeaving = true;
  mSchedule.emplace(mSettings.mLeaving, mReactor->Now());
  Log::Info("leaving").Field("open", mExecutor.OpenRequestCount());
  mCallerServer->CloseAfterResponses();
  mGossip->PublishToAll();
  CheckLeaveProgress();
}

/// Takes the next steps of the shutdown that are due.
void
NodeProcess::CheckLeaveProgress()
{
  const TimePoint now = mReactor->Now();
  if (now >= mSchedule->AcceptsUntil() && !mIsDraining) {
    StopTakingRequests();
  }
  if (now >= mSchedule->AnswersAt() && !mIsServiceEnded) {
    EndService();
  }
  const bool isDone = mIsDraining && !HasOpenWork();
  if (isDone || now >= mSchedule->EndsAt()) {
    mExecutor.LogOpenRequests();
    Log::Info("left")
      .Field("open", mExecutor.OpenRequestCount())
      .Field("unwritten", mCallerServer->OpenExchangeCount())
      .Field("busy_connections", mCallerServer->BusyConnectionCount())
      .Field("ms", ToMillis(now - mSchedule->StartedAt()));
    mReactor->Stop();
    return;
  }
  mLeaveTimer =
    mReactor->Schedule(kLeaveCheckInterval, [this] { CheckLeaveProgress(); });
}

/// Stops accepting connections. Requests that are still coming in on open ones
/// are refused when they are complete.
void
NodeProcess::StopTakingRequests()
{
  mIsDraining = true;
  mAdmissionExecutor.StopWaiting(Refusal::Make(
    RefusalKind::Leaving, RunVerdictTracker(), kLeavingRetryAfter));
  mCallerServer->StartDrain();
}

/// Answers all that is open, while there is time to write the answers.
void
NodeProcess::EndService()
{
  mIsServiceEnded = true;
  Log::Info("service_ended").Field("open", mExecutor.OpenRequestCount());
  mExecutor.Deliver(
    [](RelayStateMachine& aMachine, TimePoint aNow, RelayCommands& aOut) {
      aMachine.EndService(aNow, aOut);
    });
}

/// Returns whether a request is open or coming in, an answer is not written, or
/// its caller may still be reading it, here or through a tunnel.
bool
NodeProcess::HasOpenWork() const
{
  return mExecutor.OpenRequestCount() > 0 ||
         mCallerServer->BusyConnectionCount() > 0 ||
         (mTunnels != nullptr && mTunnels->OpenCount() > 0);
}

} // namespace peridothoist
