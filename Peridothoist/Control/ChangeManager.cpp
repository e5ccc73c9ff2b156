/// Processes configuration changes that operators submit.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ChangeManager.h>

#include <Peridothoist/Shell/Log.h>
#include <Peridothoist/View/ChangeGuard.h>

namespace peridothoist {

namespace {

constexpr Duration kGuardPollInterval = std::chrono::milliseconds(20);
constexpr Duration kVersionPollInterval = std::chrono::milliseconds(20);
constexpr Duration kVersionWaitTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxRestarts = 5;
/// Peers contacted immediately before a change, to update their reports.
constexpr std::size_t kGuardPeerCount = 12;

} // namespace

/// A submitted change whose result is not known yet.
struct ChangeManager::PendingChange
{
  ChangeRequest mRequest;
  Done mDone; ///< Called exactly once.
  TimePoint mSubmittedAt;
  TimePoint mGuardDeadline;
  TimePoint mVersionDeadline;
  std::size_t mRestarts = 0; ///< Restarts after a conflict.

  void Finish(ReasonCode aCode, std::string aText, std::uint64_t aVersion)
  {
    ChangeResult result;
    result.mReason = { aCode, std::move(aText) };
    result.mVersion = aVersion;
    mDone(result);
  }
};

ChangeManager::ChangeManager(Reactor& aReactor,
                             ControlState& aState,
                             ControlGossip& aGossip,
                             ChangeCommitter& aCommitter,
                             ConfigPoller& aConfigPoller)
  : mReactor(aReactor)
  , mState(aState)
  , mGossip(aGossip)
  , mCommitter(aCommitter)
  , mConfigPoller(aConfigPoller)
  , mAlive(std::make_shared<bool>(true))
{
}

ChangeManager::~ChangeManager()
{
  *mAlive = false;
}

void
ChangeManager::ScheduleIfAlive(Duration aDelay, std::function<void()> aTask)
{
  mReactor.Schedule(aDelay, [alive = mAlive, aTask = std::move(aTask)] {
    if (*alive) {
      aTask();
    }
  });
}

void
ChangeManager::Submit(const ChangeRequest& aRequest, Done aDone)
{
  const auto change = std::make_shared<PendingChange>();
  change->mRequest = aRequest;
  change->mDone = std::move(aDone);
  if (aRequest.mAppliesToAnyVersion) {
    // The item that it edits may have been added by a version that this
    // process does not hold yet.
    change->mSubmittedAt = mReactor.Now();
    mConfigPoller.PollNow();
    WaitForLatestVersion(change);
    return;
  }
  Start(change);
}

void
ChangeManager::WaitForLatestVersion(const PendingChangePtr& aChange)
{
  const auto confirmed = mState.mView.Freshness().ConfirmedAt();
  if (confirmed && *confirmed >= aChange->mSubmittedAt) {
    Start(aChange);
    return;
  }
  if (mReactor.Now() - aChange->mSubmittedAt >= kVersionWaitTimeout) {
    aChange->Finish(
      ReasonCode::Unreachable,
      "could not read the latest configuration version from the platform",
      mState.mView.Version());
    return;
  }
  ScheduleIfAlive(kVersionPollInterval,
                  [this, aChange] { WaitForLatestVersion(aChange); });
}

void
ChangeManager::Start(const PendingChangePtr& aChange)
{
  const std::uint64_t heldVersion = mState.mView.Version();
  if (aChange->mRequest.mAppliesToAnyVersion) {
    aChange->mRequest.mBaseVersion = heldVersion;
  }
  if (aChange->mRequest.mBaseVersion > heldVersion) {
    WaitForVersion(aChange, aChange->mRequest.mBaseVersion);
    return;
  }
  if (aChange->mRequest.mBaseVersion < heldVersion) {
    FinishWithConflict(aChange);
    return;
  }
  Reason reason;
  if (!mState.mView.ConfigStore().Check(aChange->mRequest.mEdits, &reason)) {
    aChange->Finish(reason.mCode, reason.mText, heldVersion);
    return;
  }
  if (aChange->mRequest.mDryRun) {
    aChange->Finish(ReasonCode::None, {}, heldVersion);
    return;
  }
  if (!CheckCanCommit(*aChange)) {
    return;
  }
  aChange->mGuardDeadline = mReactor.Now() + mState.mSettings.mGuardTimeout;
  mGossip.ExchangeNow(kGuardPeerCount);
  WaitForGuard(aChange);
}

bool
ChangeManager::CheckCanCommit(const PendingChange& aChange) const
{
  ChangeResult result;
  result.mVersion = mState.mView.Version();
  if (mState.mIsPlatformUnreachable) {
    result.mReason = { ReasonCode::Unreachable,
                       "the platform does not respond" };
    aChange.mDone(result);
    return false;
  }
  if (!mState.mView.Freshness().IsFresh(mReactor.Now())) {
    result.mReason = { ReasonCode::Stale,
                       "the view of this process is not fresh" };
    aChange.mDone(result);
    return false;
  }
  return true;
}

void
ChangeManager::WaitForGuard(const PendingChangePtr& aChange)
{
  const TimePoint now = mReactor.Now();
  const ChangeGuard guard(mState.mSettings.mChangeGuard);
  const ChangeGuardResult guardResult = guard.Check(
    mState.mMembers.ChangeGuardMembers(now), aChange->mRequest.mOverrideReason);
  if (guardResult.mIsAllowed && !guardResult.mIsOverridden) {
    Commit(aChange);
    return;
  }
  if (now < aChange->mGuardDeadline) {
    ScheduleIfAlive(kGuardPollInterval,
                    [this, aChange] { WaitForGuard(aChange); });
    return;
  }
  if (guardResult.mIsAllowed) {
    Log::Warning("change_gate_overridden")
      .Field("operator", aChange->mRequest.mOperator)
      .Field("reason", aChange->mRequest.mOverrideReason);
    Commit(aChange);
    return;
  }
  ChangeResult result;
  result.mReason = { ReasonCode::Unreachable,
                     "change not accepted: some VMs do not respond" };
  result.mVersion = mState.mView.Version();
  result.mSilentZones = guardResult.mSilentZones;
  result.mSilentVms = guardResult.mSilentVms;
  aChange->mDone(result);
}

void
ChangeManager::Commit(const PendingChangePtr& aChange)
{
  if (aChange->mRequest.mBaseVersion != mState.mView.Version()) {
    OnCommitted(
      aChange,
      { { ReasonCode::Conflict, "another change was committed first" },
        mState.mView.Version() });
    return;
  }
  ChangeRecord record;
  record.mChange.mVersion = aChange->mRequest.mBaseVersion + 1;
  record.mChange.mOperationId =
    mState.mSettings.mInstance + "-" + std::to_string(mNextOperationNumber++);
  record.mChange.mEdits = aChange->mRequest.mEdits;
  record.mOperator = aChange->mRequest.mOperator;
  record.mOverrideReason = aChange->mRequest.mOverrideReason;
  mCommitter.Commit(
    std::move(record),
    [this, alive = mAlive, aChange](const CommitResult& aResult) {
      if (*alive) {
        OnCommitted(aChange, aResult);
      }
    });
}

void
ChangeManager::OnCommitted(const PendingChangePtr& aChange,
                           const CommitResult& aResult)
{
  if (aResult.mReason.mCode == ReasonCode::Conflict) {
    WaitForVersion(aChange, aResult.mVersion);
    return;
  }
  aChange->Finish(
    aResult.mReason.mCode, aResult.mReason.mText, aResult.mVersion);
}

void
ChangeManager::WaitForVersion(const PendingChangePtr& aChange,
                              std::uint64_t aVersion)
{
  const TimePoint now = mReactor.Now();
  if (aChange->mVersionDeadline == TimePoint()) {
    aChange->mVersionDeadline = now + kVersionWaitTimeout;
    mConfigPoller.PollNow();
  }
  const bool isHeld = mState.mView.Version() >= aVersion;
  if (!isHeld && now < aChange->mVersionDeadline) {
    ScheduleIfAlive(kVersionPollInterval, [this, aChange, aVersion] {
      WaitForVersion(aChange, aVersion);
    });
    return;
  }
  const std::uint64_t base = aChange->mRequest.mBaseVersion;
  const bool isBaseCurrent =
    aChange->mRequest.mAppliesToAnyVersion || base == mState.mView.Version();
  if (isHeld && isBaseCurrent && aChange->mRestarts < kMaxRestarts) {
    ++aChange->mRestarts;
    aChange->mVersionDeadline = TimePoint();
    Start(aChange);
    return;
  }
  if (base > mState.mView.Version()) {
    aChange->Finish(ReasonCode::Stale,
                    "this process does not hold the base version yet",
                    mState.mView.Version());
    return;
  }
  FinishWithConflict(aChange);
}

void
ChangeManager::FinishWithConflict(const PendingChangePtr& aChange) const
{
  ChangeResult result;
  result.mReason = { ReasonCode::Conflict,
                     "another change was committed first" };
  result.mVersion = mState.mView.Version();
  const ViewDelta delta =
    mState.mView.ChangeLog().ChangesSince(aChange->mRequest.mBaseVersion);
  for (const ConfigChange& change : delta.mChanges) {
    result.mConflictingEdits.insert(result.mConflictingEdits.end(),
                                    change.mEdits.begin(),
                                    change.mEdits.end());
  }
  aChange->mDone(result);
}

} // namespace peridothoist
