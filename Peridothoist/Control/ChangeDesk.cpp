/// Takes operators' changes.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ChangeDesk.h>

#include <Peridothoist/Shell/Log.h>
#include <Peridothoist/View/ChangeGate.h>

namespace peridothoist {

namespace {

constexpr Duration kGatePoll = std::chrono::milliseconds(20);
constexpr Duration kWinnerPoll = std::chrono::milliseconds(20);
constexpr Duration kWinnerWait = std::chrono::seconds(1);
constexpr std::size_t kMaxTries = 5;
constexpr std::size_t kGatePeers = 12; ///< Asked at once before a change.

} // namespace

/// One change under way.
struct ChangeDesk::Work
{
  ChangeRequest mRequest;
  Done mDone; ///< Called once.
  TimePoint mSubmitted;
  TimePoint mGateUntil;
  TimePoint mWinnerUntil;
  std::size_t mTries = 0; ///< Starts after another change came first.

  void Answer(ReasonCode aCode, std::string aText, std::uint64_t aVersion)
  {
    ChangeAnswer answer;
    answer.mReason = { aCode, std::move(aText) };
    answer.mVersion = aVersion;
    mDone(answer);
  }
};

ChangeDesk::ChangeDesk(Reactor& aReactor,
                       ControlState& aState,
                       PeerExchanger& aExchanger,
                       ChangeCommitter& aCommitter,
                       ConfigFollower& aFollower)
  : mReactor(aReactor)
  , mState(aState)
  , mExchanger(aExchanger)
  , mCommitter(aCommitter)
  , mFollower(aFollower)
  , mAlive(std::make_shared<bool>(true))
{
}

ChangeDesk::~ChangeDesk()
{
  *mAlive = false;
}

void
ChangeDesk::Later(Duration aDelay, std::function<void()> aTask)
{
  mReactor.Schedule(aDelay, [alive = mAlive, aTask = std::move(aTask)] {
    if (*alive) {
      aTask();
    }
  });
}

void
ChangeDesk::Submit(const ChangeRequest& aRequest, Done aDone)
{
  const auto work = std::make_shared<Work>();
  work->mRequest = aRequest;
  work->mDone = std::move(aDone);
  if (aRequest.mAnyBase) {
    // What it edits may have come with a version that isn't held yet.
    work->mSubmitted = mReactor.Now();
    mFollower.PollSoon();
    WaitForNewest(work);
    return;
  }
  Start(work);
}

void
ChangeDesk::WaitForNewest(const WorkPtr& aWork)
{
  const auto confirmed = mState.mView.Fresh().ConfirmedAt();
  if (confirmed && *confirmed >= aWork->mSubmitted) {
    Start(aWork);
    return;
  }
  if (mReactor.Now() - aWork->mSubmitted >= kWinnerWait) {
    aWork->Answer(ReasonCode::Unreachable,
                  "the newest version can't be read",
                  mState.mView.Version());
    return;
  }
  Later(kWinnerPoll, [this, aWork] { WaitForNewest(aWork); });
}

void
ChangeDesk::Start(const WorkPtr& aWork)
{
  const std::uint64_t held = mState.mView.Version();
  if (aWork->mRequest.mAnyBase) {
    aWork->mRequest.mBaseVersion = held;
  }
  if (aWork->mRequest.mBaseVersion > held) {
    WaitForWinner(aWork, aWork->mRequest.mBaseVersion);
    return;
  }
  if (aWork->mRequest.mBaseVersion < held) {
    AnswerConflict(aWork);
    return;
  }
  Reason reason;
  if (!mState.mView.Store().Check(aWork->mRequest.mEdits, &reason)) {
    aWork->Answer(reason.mCode, reason.mText, held);
    return;
  }
  if (aWork->mRequest.mDryRun) {
    aWork->Answer(ReasonCode::None, {}, held);
    return;
  }
  if (!CheckRequest(*aWork)) {
    return;
  }
  aWork->mGateUntil = mReactor.Now() + mState.mSettings.mGateWait;
  mExchanger.AskNow(kGatePeers);
  WaitForGate(aWork);
}

bool
ChangeDesk::CheckRequest(const Work& aWork) const
{
  ChangeAnswer answer;
  answer.mVersion = mState.mView.Version();
  if (mState.mPlatformSilent) {
    answer.mReason = { ReasonCode::Unreachable, "the platform is silent" };
    aWork.mDone(answer);
    return false;
  }
  if (!mState.mView.Fresh().IsFresh(mReactor.Now())) {
    answer.mReason = { ReasonCode::Stale,
                       "this process's view is not fresh yet" };
    aWork.mDone(answer);
    return false;
  }
  return true;
}

void
ChangeDesk::WaitForGate(const WorkPtr& aWork)
{
  const TimePoint now = mReactor.Now();
  const ChangeGate gate(mState.mSettings.mGate);
  const GateResult result = gate.Check(mState.mMembers.GateMembers(now),
                                       aWork->mRequest.mOverrideReason);
  if (result.mOpen && !result.mOverridden) {
    Commit(aWork);
    return;
  }
  if (now < aWork->mGateUntil) {
    Later(kGatePoll, [this, aWork] { WaitForGate(aWork); });
    return;
  }
  if (result.mOpen) {
    Log::Warning("change_gate_overridden")
      .Field("operator", aWork->mRequest.mOperator)
      .Field("reason", aWork->mRequest.mOverrideReason);
    Commit(aWork);
    return;
  }
  ChangeAnswer answer;
  answer.mReason = { ReasonCode::Unreachable, "not accepted: VMs are silent" };
  answer.mVersion = mState.mView.Version();
  answer.mSilentZones = result.mSilentZones;
  answer.mSilentVms = result.mSilentVms;
  aWork->mDone(answer);
}

void
ChangeDesk::Commit(const WorkPtr& aWork)
{
  if (aWork->mRequest.mBaseVersion != mState.mView.Version()) {
    OnCommitted(aWork,
                { { ReasonCode::Conflict, "another change came first" },
                  mState.mView.Version() });
    return;
  }
  ChangeRecord record;
  record.mChange.mVersion = aWork->mRequest.mBaseVersion + 1;
  record.mChange.mOperationId =
    mState.mSettings.mInstance + "-" + std::to_string(mNextOperation++);
  record.mChange.mEdits = aWork->mRequest.mEdits;
  record.mOperator = aWork->mRequest.mOperator;
  record.mOverrideReason = aWork->mRequest.mOverrideReason;
  mCommitter.Commit(std::move(record),
                    [this, alive = mAlive, aWork](const CommitResult& aResult) {
                      if (*alive) {
                        OnCommitted(aWork, aResult);
                      }
                    });
}

void
ChangeDesk::OnCommitted(const WorkPtr& aWork, const CommitResult& aResult)
{
  if (aResult.mReason.mCode == ReasonCode::Conflict) {
    WaitForWinner(aWork, aResult.mVersion);
    return;
  }
  aWork->Answer(aResult.mReason.mCode, aResult.mReason.mText, aResult.mVersion);
}

void
ChangeDesk::WaitForWinner(const WorkPtr& aWork, std::uint64_t aVersion)
{
  const TimePoint now = mReactor.Now();
  if (aWork->mWinnerUntil == TimePoint()) {
    aWork->mWinnerUntil = now + kWinnerWait;
    mFollower.PollSoon();
  }
  const bool known = mState.mView.Version() >= aVersion;
  if (!known && now < aWork->mWinnerUntil) {
    Later(kWinnerPoll,
          [this, aWork, aVersion] { WaitForWinner(aWork, aVersion); });
    return;
  }
  const std::uint64_t base = aWork->mRequest.mBaseVersion;
  const bool fits = aWork->mRequest.mAnyBase || base == mState.mView.Version();
  if (known && fits && aWork->mTries < kMaxTries) {
    ++aWork->mTries;
    aWork->mWinnerUntil = TimePoint();
    Start(aWork);
    return;
  }
  if (base > mState.mView.Version()) {
    aWork->Answer(ReasonCode::Stale,
                  "this process doesn't hold the base version yet",
                  mState.mView.Version());
    return;
  }
  AnswerConflict(aWork);
}

void
ChangeDesk::AnswerConflict(const WorkPtr& aWork) const
{
  ChangeAnswer answer;
  answer.mReason = { ReasonCode::Conflict, "another change came first" };
  answer.mVersion = mState.mView.Version();
  const ViewDelta delta =
    mState.mView.Changes().ChangesSince(aWork->mRequest.mBaseVersion);
  for (const ConfigChange& change : delta.mChanges) {
    answer.mWinners.insert(
      answer.mWinners.end(), change.mEdits.begin(), change.mEdits.end());
  }
  aWork->mDone(answer);
}

} // namespace peridothoist
