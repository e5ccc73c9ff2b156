/// Polls the configuration and the share plan in the platform.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/ConfigPoller.h>

#include <Peridothoist/Platform/ConfigRows.h>
#include <Peridothoist/Platform/SharePlanRow.h>
#include <Peridothoist/Shell/Log.h>

namespace peridothoist {

ConfigPoller::ConfigPoller(Reactor& aReactor,
                           Platform& aPlatform,
                           const Settings& aSettings,
                           ConfigPollerListener& aListener,
                           std::uint64_t aSeed)
  : mReactor(aReactor)
  , mPlatform(aPlatform)
  , mSettings(aSettings)
  , mListener(aListener)
  , mRandom(aSeed)
  , mIsAlive(std::make_shared<bool>(true))
{
}

ConfigPoller::~ConfigPoller()
{
  *mIsAlive = false;
  mReactor.CancelTimer(mPollTimer);
}

template<typename Result>
std::function<void(const Result&)>
ConfigPoller::Guard(void (ConfigPoller::*aMethod)(const Result&))
{
  return [this, isAlive = mIsAlive, aMethod](const Result& aResult) {
    if (*isAlive) {
      (this->*aMethod)(aResult);
    }
  };
}

void
ConfigPoller::Start()
{
  ScheduleNext(Duration::zero());
}

void
ConfigPoller::PollNow()
{
  if (mPoll) {
    mIsPollRequested = true;
    return;
  }
  ScheduleNext(Duration::zero());
}

void
ConfigPoller::StartPoll()
{
  mPollTimer = 0;
  mPoll = Poll{};
  mPoll->mSentAt = mReactor.Now();
  mPlatform.ReadRow(kConfigHeadKey, Guard(&ConfigPoller::OnHeadRead));
  mPlatform.ReadRow(kSharePlanKey, Guard(&ConfigPoller::OnPlanRead));
}

void
ConfigPoller::OnHeadRead(const ScanResult& aResult)
{
  mPoll->mHasFailed = mPoll->mHasFailed || !aResult.mIsSuccessful;
  mPoll->mHasResponse = mPoll->mHasResponse || aResult.mIsSuccessful;
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
ConfigPoller::OnPlanRead(const ScanResult& aResult)
{
  mPoll->mHasFailed = mPoll->mHasFailed || !aResult.mIsSuccessful;
  mPoll->mHasResponse = mPoll->mHasResponse || aResult.mIsSuccessful;
  if (aResult.mIsSuccessful) {
    SharePlan plan;
    std::uint64_t rowVersion = 0;
    if (!aResult.mRows.empty()) {
      plan = DecodeSharePlan(aResult.mRows.front().mValue).value_or(plan);
      rowVersion = aResult.mRows.front().mVersion;
    }
    mPoll->mStamp.mPlanEpoch = plan.mEpoch;
    mListener.OnPlatformSharePlan(plan, rowVersion);
  }
  OnReadCompleted();
}

void
ConfigPoller::OnReadCompleted()
{
  if (--mPoll->mOutstandingReads > 0) {
    return;
  }
  if (mPoll->mHasFailed) {
    if (!mPoll->mHasResponse) {
      mListener.OnPlatformUnreachable();
    }
    EndPoll();
    return;
  }
  FetchChanges();
}

void
ConfigPoller::FetchChanges()
{
  const std::uint64_t version = mListener.CurrentViewVersion();
  if (version >= mPoll->mStamp.mVersion) {
    mListener.OnPlatformRead(mPoll->mStamp, mPoll->mSentAt);
    EndPoll();
    return;
  }
  mPlatform.Scan(ConfigChangeKey(version + 1),
                 kConfigChangesEnd,
                 mSettings.mChangesPerRead,
                 Guard(&ConfigPoller::OnChangesRead));
}

void
ConfigPoller::OnChangesRead(const ScanResult& aResult)
{
  if (!aResult.mIsSuccessful) {
    EndPoll();
    return;
  }
  const std::uint64_t before = mListener.CurrentViewVersion();
  for (const TableRow& it : aResult.mRows) {
    const auto record = DecodeChange(it.mValue, nullptr);
    if (!record) {
      Log::Error("config_change_unreadable").Field("row", it.mKey);
      break;
    }
    if (record->mChange.mVersion == mListener.CurrentViewVersion() + 1) {
      mListener.OnPlatformChange(*record);
    }
  }
  if (mListener.CurrentViewVersion() > before) {
    FetchChanges();
    return;
  }
  FetchSnapshot();
}

void
ConfigPoller::FetchSnapshot()
{
  if (mPoll->mSnapshotVersion <= mListener.CurrentViewVersion()) {
    Log::Error("config_changes_missing")
      .Field("held", mListener.CurrentViewVersion())
      .Field("head", mPoll->mStamp.mVersion);
    EndPoll();
    return;
  }
  mPlatform.GetObject(ConfigSnapshotName(mPoll->mSnapshotVersion),
                      Guard(&ConfigPoller::OnSnapshotRead));
}

void
ConfigPoller::OnSnapshotRead(const ObjectResult& aResult)
{
  Reason reason;
  const auto configuration =
    aResult.mIsFound ? DecodeSnapshot(aResult.mBody, &reason) : std::nullopt;
  if (!configuration) {
    Log::Error("config_snapshot_unreadable")
      .Field("version", mPoll->mSnapshotVersion)
      .Field("reason", reason.mText);
    EndPoll();
    return;
  }
  const std::uint64_t before = mListener.CurrentViewVersion();
  if (configuration->mVersion > before) {
    mListener.OnPlatformSnapshot(*configuration);
  }
  if (mListener.CurrentViewVersion() > before) {
    FetchChanges();
    return;
  }
  EndPoll();
}

void
ConfigPoller::EndPoll()
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
ConfigPoller::ScheduleNext(Duration aDelay)
{
  mReactor.CancelTimer(mPollTimer);
  mPollTimer = mReactor.Schedule(aDelay, [this] { StartPoll(); });
}

} // namespace peridothoist
