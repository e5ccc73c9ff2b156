#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/ViewPoller.h>

#include <Peridothoist/Core/DurationUnits.h>
#include <Peridothoist/Shell/Log.h>

#include <algorithm>

namespace peridothoist {

namespace {

constexpr std::uint32_t kMaxDoublings = 8;

/// Reads that take longer are logged with their parts.
constexpr Duration kSlowRead = 400ms;

} // namespace

ViewPoller::ViewPoller(const Settings& aSettings,
                       Reactor* aReactor,
                       RowStore* aStore,
                       const ViewDecoder* aDecoder,
                       ViewPollerListener* aListener)
  : mSettings(aSettings)
  , mReactor(aReactor)
  , mStore(aStore)
  , mDecoder(aDecoder)
  , mListener(aListener)
  , mConfigurationLoop{ "configuration",
                        aSettings.mConfigurationInterval,
                        &ViewPoller::ReadConfiguration }
  , mUpstreamLoop{ "upstreams",
                   aSettings.mUpstreamInterval,
                   &ViewPoller::ReadUpstreams }
  , mVmLoop{ "vms", aSettings.mVmInterval, &ViewPoller::ReadVms }
{
}

ViewPoller::~ViewPoller()
{
  *mAlive = false;
  for (const PollLoop* it : { &mConfigurationLoop, &mUpstreamLoop, &mVmLoop }) {
    mReactor->CancelTimer(it->mTimer);
  }
}

void
ViewPoller::Start()
{
  for (PollLoop* it : { &mConfigurationLoop, &mUpstreamLoop, &mVmLoop }) {
    StartReadUnlessFollowing(*it);
  }
}

void
ViewPoller::StartReadUnlessFollowing(PollLoop& aLoop)
{
  aLoop.mTimer = 0;
  const bool isFollowing = &aLoop == &mVmLoop ? mIsFollowingVms : mIsFollowing;
  if (isFollowing && aLoop.mFailures == 0) {
    return; // SetRole() or a peer's newer view starts the next read.
  }
  StartRead(aLoop);
}

void
ViewPoller::SetIntervals(Duration aConfiguration, Duration aUpstreams)
{
  mConfigurationLoop.mInterval = aConfiguration;
  mUpstreamLoop.mInterval = aUpstreams;
}

void
ViewPoller::RereadVms()
{
  mReactor->CancelTimer(mVmLoop.mTimer);
  mVmLoop.mTimer = mReactor->Schedule(mSettings.mVmRereadDelay,
                                      [this] { StartRead(mVmLoop); });
}

void
ViewPoller::ReadAllNow()
{
  for (PollLoop* it : { &mConfigurationLoop, &mUpstreamLoop, &mVmLoop }) {
    StartRead(*it);
  }
}

void
ViewPoller::StartRead(PollLoop& aLoop)
{
  if (aLoop.mIsReading) {
    return;
  }
  mReactor->CancelTimer(aLoop.mTimer);
  aLoop.mTimer = 0;
  aLoop.mIsReading = true;
  aLoop.mStartedAt = Reactor::ReadClock();
  (this->*aLoop.mReadMethod)();
}

/// Schedules the next read: one interval after the start of this one, or after
/// the retry delay if this one failed.
void
ViewPoller::FinishRead(PollLoop& aLoop, bool aSucceeded, const Reason& aReason)
{
  if (aSucceeded && aLoop.mFailures > 0) {
    Log::Info("store_regained")
      .Field("table", aLoop.mName)
      .Field("failures", aLoop.mFailures);
  } else if (!aSucceeded && aLoop.mFailures == 0) {
    Log::Warning("store_lost")
      .Field("table", aLoop.mName)
      .Field("code", ToName(aReason.mCode))
      .Field("reason", aReason.mText);
  }
  if (!aSucceeded && aLoop.mFailures > 0) {
    Log::Routine("store_read_failed")
      .Field("table", aLoop.mName)
      .Field("ms", ToMillis(mReactor->Now() - aLoop.mStartedAt))
      .Field("reason", aReason.mText);
  }
  aLoop.mFailures = aSucceeded ? 0 : aLoop.mFailures + 1;
  aLoop.mIsReading = false;
  const Duration elapsed = mReactor->Now() - aLoop.mStartedAt;
  const Duration wait = aSucceeded ? std::max(mSettings.mRetryInterval,
                                              PollInterval(aLoop) - elapsed)
                                   : RetryDelay(aLoop);
  aLoop.mTimer = mReactor->Schedule(
    wait, [this, &aLoop] { StartReadUnlessFollowing(aLoop); });
}

/// Logs how long a read took that has been decoded now, if it was long.
/// aReadAt: when all bytes had arrived.
void
ViewPoller::LogSlowRead(const PollLoop& aLoop, TimePoint aReadAt) const
{
  const TimePoint now = Reactor::ReadClock();
  if (now - aLoop.mStartedAt >= kSlowRead) {
    Log::Info("store_read_slow")
      .Field("table", aLoop.mName)
      .Field("read_ms", ToMillis(aReadAt - aLoop.mStartedAt))
      .Field("decode_ms", ToMillis(now - aReadAt));
  }
}

/// Returns the delay before the next read after failures. During an outage only
/// the VMs that read for all retry often; the others learn from them that the
/// store is available again.
Duration
ViewPoller::RetryDelay(const PollLoop& aLoop) const
{
  Duration maxDelay = mReadsForAll ? mSettings.mMaxRetryInterval
                                   : mSettings.mMaxFollowerRetryInterval;
  if (&aLoop == &mVmLoop) {
    maxDelay = mSettings.mMaxVmRetryInterval;
  }
  const std::uint32_t doublings = std::min(aLoop.mFailures, kMaxDoublings) - 1;
  return std::min(maxDelay, mSettings.mRetryInterval * (1 << doublings));
}

void
ViewPoller::SetRole(bool aReadsForAll, bool aFollowing, bool aFollowingVms)
{
  mReadsForAll = aReadsForAll;
  const bool stopsFollowingVms = mIsFollowingVms && !aFollowingVms;
  mIsFollowingVms = aFollowingVms;
  if (stopsFollowingVms) {
    StartRead(mVmLoop);
  }
  if (aFollowing == mIsFollowing) {
    return;
  }
  mIsFollowing = aFollowing;
  Log::Info(aFollowing ? "following_peers" : "reading_store");
  if (!aFollowing) {
    StartRead(mConfigurationLoop);
    StartRead(mUpstreamLoop);
  }
}

Duration
ViewPoller::PollInterval(const PollLoop& aLoop) const
{
  const bool usesFollowerInterval = mIsFollowing && &aLoop == &mVmLoop;
  return usesFollowerInterval ? mSettings.mFollowerVmInterval : aLoop.mInterval;
}

/// Returns the configuration that the rows hold. Rows that have not changed
/// since the last read are not decoded again.
std::shared_ptr<const RelayConfiguration>
ViewPoller::Decode(const std::vector<StoredRow>& aRows, Reason* aReason)
{
  const std::uint64_t digest = DigestOf(aRows);
  if (mConfiguration == nullptr || digest != mConfigurationDigest) {
    mConfiguration = mDecoder->DecodeConfiguration(aRows, aReason);
    mConfigurationDigest = digest;
  }
  return mConfiguration;
}

void
ViewPoller::ReadConfiguration()
{
  const auto alive = mAlive;
  mStore->ReadTable(
    mDecoder->ConfigurationTable(),
    [this, alive](std::optional<std::vector<StoredRow>> aRows,
                  const Reason& aReason) {
      if (!*alive) {
        return;
      }
      Reason reason = aReason;
      std::shared_ptr<const RelayConfiguration> configuration;
      if (aRows) {
        const TimePoint readAt = Reactor::ReadClock();
        configuration = Decode(*aRows, &reason);
        LogSlowRead(mConfigurationLoop, readAt);
      }
      if (configuration != nullptr) {
        mListener->OnConfigurationRead(
          configuration, std::move(*aRows), mConfigurationLoop.mStartedAt);
      }
      FinishRead(mConfigurationLoop, configuration != nullptr, reason);
    });
}

void
ViewPoller::ReadUpstreams()
{
  const auto alive = mAlive;
  mStore->ReadTable(
    mDecoder->UpstreamTable(),
    [this, alive](std::optional<std::vector<StoredRow>> aRows,
                  const Reason& aReason) {
      if (!*alive) {
        return;
      }
      if (!aRows) {
        mListener->OnUpstreamsUnreachable(mUpstreamLoop.mStartedAt);
        FinishRead(mUpstreamLoop, false, aReason);
        return;
      }
      std::vector<RelayUpstream> upstreams;
      for (const StoredRow& row : *aRows) {
        Reason reason;
        auto upstream = mDecoder->DecodeUpstream(row, &reason);
        if (upstream) {
          upstreams.push_back(std::move(*upstream));
        } else if (std::exchange(mSkippedRowVersions[row.mKey], row.mVersion) !=
                   row.mVersion) {
          Log::Warning("upstream_row_passed_over")
            .Field("key", row.mKey)
            .Field("version", row.mVersion.mNumber)
            .Field("reason", reason.mText);
        }
      }
      mListener->OnUpstreamsRead(std::move(upstreams),
                                 mUpstreamLoop.mStartedAt);
      FinishRead(mUpstreamLoop, true, aReason);
    });
}

void
ViewPoller::ReadVms()
{
  const auto alive = mAlive;
  mStore->ReadTable(mSettings.mVmTable,
                    [this, alive](std::optional<std::vector<StoredRow>> aRows,
                                  const Reason& aReason) {
                      if (!*alive) {
                        return;
                      }
                      const bool isRead = aRows.has_value();
                      if (isRead) {
                        mListener->OnVmsRead(std::move(*aRows));
                      }
                      FinishRead(mVmLoop, isRead, aReason);
                    });
}

} // namespace peridothoist
