/// Follows the configuration and the share plan in the platform.
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
  , mAlive(std::make_shared<bool>(true))
{
}

ConfigFollower::~ConfigFollower()
{
  *mAlive = false;
  mReactor.CancelTimer(mTimer);
}

template<typename Result>
std::function<void(const Result&)>
ConfigFollower::Guard(void (ConfigFollower::*aMethod)(const Result&))
{
  return [this, alive = mAlive, aMethod](const Result& aResult) {
    if (*alive) {
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
    mPollAgain = true;
    return;
  }
  ScheduleNext(Duration::zero());
}

void
ConfigFollower::StartPoll()
{
  mTimer = 0;
  mPoll = Poll{};
  mPoll->mSent = mReactor.Now();
  mPlatform.ReadRow(kConfigHeadRow, Guard(&ConfigFollower::OnHead));
  mPlatform.ReadRow(kSharePlanRow, Guard(&ConfigFollower::OnPlan));
}

void
ConfigFollower::OnHead(const ScanResult& aResult)
{
  mPoll->mFailed = mPoll->mFailed || !aResult.mReached;
  mPoll->mAnyReached = mPoll->mAnyReached || aResult.mReached;
  if (!aResult.mRows.empty()) {
    const auto head = DecodeHead(aResult.mRows.front().mValue, nullptr);
    if (!head) {
      Log::Error("config_head_unreadable");
    }
    mPoll->mFailed = mPoll->mFailed || !head;
    mPoll->mStamp.mVersion = head.value_or(ConfigHead()).mVersion;
    mPoll->mSnapshot = head.value_or(ConfigHead()).mSnapshot;
  }
  OnAnswer();
}

void
ConfigFollower::OnPlan(const ScanResult& aResult)
{
  mPoll->mFailed = mPoll->mFailed || !aResult.mReached;
  mPoll->mAnyReached = mPoll->mAnyReached || aResult.mReached;
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
  OnAnswer();
}

void
ConfigFollower::OnAnswer()
{
  if (--mPoll->mOpen > 0) {
    return;
  }
  if (mPoll->mFailed) {
    if (!mPoll->mAnyReached) {
      mListener.OnPlatformSilent();
    }
    EndPoll();
    return;
  }
  Fetch();
}

void
ConfigFollower::Fetch()
{
  const std::uint64_t held = mListener.HeldVersion();
  if (held >= mPoll->mStamp.mVersion) {
    mListener.OnPlatformRead(mPoll->mStamp, mPoll->mSent);
    EndPoll();
    return;
  }
  mPlatform.Scan(ConfigChangeRow(held + 1),
                 kConfigChangesTo,
                 mSettings.mPageRows,
                 Guard(&ConfigFollower::OnChanges));
}

void
ConfigFollower::OnChanges(const ScanResult& aResult)
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
    Fetch();
    return;
  }
  FetchSnapshot();
}

void
ConfigFollower::FetchSnapshot()
{
  if (mPoll->mSnapshot <= mListener.HeldVersion()) {
    Log::Error("config_changes_missing")
      .Field("held", mListener.HeldVersion())
      .Field("head", mPoll->mStamp.mVersion);
    EndPoll();
    return;
  }
  mPlatform.GetObject(ConfigSnapshotObject(mPoll->mSnapshot),
                      Guard(&ConfigFollower::OnSnapshot));
}

void
ConfigFollower::OnSnapshot(const ObjectResult& aResult)
{
  Reason reason;
  const auto configuration =
    aResult.mFound ? DecodeSnapshot(aResult.mBody, &reason) : std::nullopt;
  if (!configuration) {
    Log::Error("config_snapshot_unreadable")
      .Field("version", mPoll->mSnapshot)
      .Field("reason", reason.mText);
    EndPoll();
    return;
  }
  const std::uint64_t before = mListener.HeldVersion();
  if (configuration->mVersion > before) {
    mListener.OnPlatformSnapshot(*configuration);
  }
  if (mListener.HeldVersion() > before) {
    Fetch();
    return;
  }
  EndPoll();
}

void
ConfigFollower::EndPoll()
{
  mPoll.reset();
  const bool again = std::exchange(mPollAgain, false);
  // Jitter keeps processes that started together from reading together.
  const double share = 0.9 + 0.2 * mRandom.Unit();
  const Duration interval(static_cast<Duration::rep>(
    share * static_cast<double>(mSettings.mInterval.count())));
  ScheduleNext(again ? Duration::zero() : interval);
}

void
ConfigFollower::ScheduleNext(Duration aDelay)
{
  mReactor.CancelTimer(mTimer);
  mTimer = mReactor.Schedule(aDelay, [this] { StartPoll(); });
}

} // namespace peridothoist
