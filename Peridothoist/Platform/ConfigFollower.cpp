/// Polls the configuration and the share plan in the platform.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/ConfigFollower.h>

#include <Peridothoist/Platform/ConfigRows.h>
#include <Peridothoist/Platform/SharePlanRow.h>
#include <Peridothoist/Shell/Log.h>

namespace peridothoist {

ConfigFollower::ConfigFollower(Reactor& aReactor,
                               Platform& aPlatform,
                               const Settings& aSettings,
                               ConfigFollowerListener& aListener,
                               std::uint64_t aSeed)
  : mReactor(aReactor)
  , mPlatform(aPlatform)
  , mSettings(aSettings)
  , mListener(aListener)
  , mRandom(aSeed)
  , mIsAlive(std::make_shared<bool>(true))
{
}

ConfigFollower::~ConfigFollower()
{
  *mIsAlive = false;
  mReactor.CancelTimer(mPollTimer);
}

template<typename Result>
std::function<void(const Result&)>
ConfigFollower::Guard(void (ConfigFollower::*aMethod)(const Result&))
{
  return [this, isAlive = mIsAlive, aMethod](const Result& aResult) {
    if (*isAlive) {
      (this->*aMethod)(aResult);
    }
  };
}

void
ConfigFollower::Start()
{
  ScheduleNext(Duration::zero());
}

void
ConfigFollower::PollSoon()
{
  if (mPoll) {
    mIsPollRequested = true;
    return;
  }
  ScheduleNext(Duration::zero());
}

void
ConfigFollower::StartPoll()
{
  mPollTimer = 0;
  mPoll = Poll{};
  mPoll->mSentAt = mReactor.Now();
  mPlatform.ReadRow(kConfigHeadKey, Guard(&ConfigFollower::OnHeadRead));
  mPlatform.ReadRow(kSharePlanRow, Guard(&ConfigFollower::OnPlanRead));
}

void
ConfigFollower::OnHeadRead(const ScanResult& aResult)
{
  mPoll->mHasFailed = mPoll->mHasFailed || !aResult.mReached;
  mPoll->mHasResponse = mPoll->mHasResponse || aResult.mReached;
  if (!aResult.mRows.empty()) {
    const auto head = DecodeHead(aResult.mRows.front().mValue, nullptr);
    if (!head) {
      Log::Error("config_head_unreadable");
    }
    mPoll->mHasFailed = mPoll->mHasFailed || !head;
    mPoll->mStamp.mVersion = head.value_or(ConfigHead()).mVersion;
    mPoll->mSnapshotVersion = head.value_or(ConfigHead()).mSnapshot;
  }
  OnReadCompleted();
}

void
ConfigFollower::OnPlanRead(const ScanResult& aResult)
{
  mPoll->mHasFailed = mPoll->mHasFailed || !aResult.mReached;
  mPoll->mHasResponse = mPoll->mHasResponse || aResult.mReached;
  if (aResult.mReached) {
    SharePlan plan;
    std::uint64_t rowVersion = 0;
    if (!aResult.mRows.empty()) {
      plan = DecodeSharePlan(aResult.mRows.front().mValue).value_or(plan);
      rowVersion = aResult.mRows.front().mVersion;
    }
    mPoll->mStamp.mPlanEpoch = plan.mEpoch;
    mListener.OnPlatformPlan(plan, rowVersion);
  }
  OnReadCompleted();
}

void
ConfigFollower::OnReadCompleted()
{
  if (--mPoll->mOutstandingReads > 0) {
    return;
  }
  if (mPoll->mHasFailed) {
    if (!mPoll->mHasResponse) {
      mListener.OnPlatformSilent();
    }
    EndPoll();
    return;
  }
  FetchChanges();
}

void
ConfigFollower::FetchChanges()
{
  const std::uint64_t version = mListener.HeldVersion();
  if (version >= mPoll->mStamp.mVersion) {
    mListener.OnPlatformRead(mPoll->mStamp, mPoll->mSentAt);
    EndPoll();
    return;
  }
  mPlatform.Scan(ConfigChangeKey(version + 1),
                 kConfigChangesEnd,
                 mSettings.mChangesPerRead,
                 Guard(&ConfigFollower::OnChangesRead));
}

void
ConfigFollower::OnChangesRead(const ScanResult& aResult)
{
  if (!aResult.mReached) {
    EndPoll();
    return;
  }
  const std::uint64_t before = mListener.HeldVersion();
  for (const TableRow& it : aResult.mRows) {
    const auto record = DecodeChange(it.mValue, nullptr);
    if (!record) {
      Log::Error("config_change_unreadable").Field("row", it.mKey);
      break;
    }
    if (record->mChange.mVersion == mListener.HeldVersion() + 1) {
      mListener.OnPlatformChange(*record);
    }
  }
  if (mListener.HeldVersion() > before) {
    FetchChanges();
    return;
  }
  FetchSnapshot();
}

void
ConfigFollower::FetchSnapshot()
{
  if (mPoll->mSnapshotVersion <= mListener.HeldVersion()) {
    Log::Error("config_changes_missing")
      .Field("held", mListener.HeldVersion())
      .Field("head", mPoll->mStamp.mVersion);
    EndPoll();
    return;
  }
  mPlatform.GetObject(ConfigSnapshotName(mPoll->mSnapshotVersion),
                      Guard(&ConfigFollower::OnSnapshotRead));
}

void
ConfigFollower::OnSnapshotRead(const ObjectResult& aResult)
{
  Reason reason;
  const auto configuration =
    aResult.mFound ? DecodeSnapshot(aResult.mBody, &reason) : std::nullopt;
  if (!configuration) {
    Log::Error("config_snapshot_unreadable")
      .Field("version", mPoll->mSnapshotVersion)
      .Field("reason", reason.mText);
    EndPoll();
    return;
  }
  const std::uint64_t before = mListener.HeldVersion();
  if (configuration->mVersion > before) {
    mListener.OnPlatformSnapshot(*configuration);
  }
  if (mListener.HeldVersion() > before) {
    FetchChanges();
    return;
  }
  EndPoll();
}

void
ConfigFollower::EndPoll()
{
  mPoll.reset();
  const bool pollNow = std::exchange(mIsPollRequested, false);
  // Jitter prevents processes that started together from polling in step.
  const double jitter = 0.9 + 0.2 * mRandom.UniformFraction();
  const Duration interval(static_cast<Duration::rep>(
    jitter * static_cast<double>(mSettings.mPollInterval.count())));
  ScheduleNext(pollNow ? Duration::zero() : interval);
}

void
ConfigFollower::ScheduleNext(Duration aDelay)
{
  mReactor.CancelTimer(mPollTimer);
  mPollTimer = mReactor.Schedule(aDelay, [this] { StartPoll(); });
}

} // namespace peridothoist
