#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/ViewReader.h>

#include <Peridothoist/Shell/Log.h>

#include <algorithm>

namespace peridothoist {

namespace {

constexpr std::uint32_t kMostDoublings = 8;

} // namespace

ViewReader::ViewReader(const Settings& aSettings,
                       Reactor* aReactor,
                       RowStore* aStore,
                       const ViewDecoder* aDecoder,
                       ViewReaderListener* aListener)
  : mSettings(aSettings)
  , mReactor(aReactor)
  , mStore(aStore)
  , mDecoder(aDecoder)
  , mListener(aListener)
  , mConfigurationLoop{ "configuration",
                        aSettings.mConfigurationInterval,
                        &ViewReader::ReadConfiguration }
  , mUpstreamLoop{ "upstreams",
                   aSettings.mUpstreamInterval,
                   &ViewReader::ReadUpstreams }
  , mVmLoop{ "vms", aSettings.mVmInterval, &ViewReader::ReadVms }
{
}

ViewReader::~ViewReader()
{
  *mAlive = false;
  for (const Loop* it : { &mConfigurationLoop, &mUpstreamLoop, &mVmLoop }) {
    mReactor->CancelTimer(it->mTimer);
  }
}

void
ViewReader::Start()
{
  for (Loop* it : { &mConfigurationLoop, &mUpstreamLoop, &mVmLoop }) {
    Begin(*it);
  }
}

void
ViewReader::Begin(Loop& aLoop)
{
  aLoop.mTimer = 0;
  if (mFollowing && aLoop.mFailures == 0 && &aLoop != &mVmLoop) {
    return; // SetFollowing(false) or a peer's word begins the next one.
  }
  BeginNow(aLoop);
}

void
ViewReader::BeginNow(Loop& aLoop)
{
  if (aLoop.mInHand) {
    return;
  }
  mReactor->CancelTimer(aLoop.mTimer);
  aLoop.mTimer = 0;
  aLoop.mInHand = true;
  aLoop.mBegan = Reactor::ReadClock();
  (this->*aLoop.mRead)();
}

/// Schedules the next read: an interval after the beginning of this one, or
/// soon when it failed.
void
ViewReader::Next(Loop& aLoop, bool aOk, const Reason& aReason)
{
  if (aOk && aLoop.mFailures > 0) {
    Log::Info("store_regained")
      .Field("table", aLoop.mName)
      .Field("failures", aLoop.mFailures);
  } else if (!aOk && aLoop.mFailures == 0) {
    Log::Warning("store_lost")
      .Field("table", aLoop.mName)
      .Field("code", ToName(aReason.mCode))
      .Field("reason", aReason.mText);
  }
  aLoop.mFailures = aOk ? 0 : aLoop.mFailures + 1;
  aLoop.mInHand = false;
  const Duration passed = mReactor->Now() - aLoop.mBegan;
  const Duration wait =
    aOk ? std::max(mSettings.mRetryInterval, IntervalOf(aLoop) - passed)
        : RetryOf(aLoop);
  aLoop.mTimer = mReactor->Schedule(wait, [this, &aLoop] { Begin(aLoop); });
}

/// While the store is away, few VMs ask for it often: the others hear from
/// them that it is back.
Duration
ViewReader::RetryOf(const Loop& aLoop) const
{
  Duration longest =
    mReadsForAll ? mSettings.mLongestRetry : mSettings.mLongestFollowerRetry;
  if (&aLoop == &mVmLoop) {
    longest = mSettings.mLongestVmRetry;
  }
  const std::uint32_t doublings = std::min(aLoop.mFailures, kMostDoublings) - 1;
  return std::min(longest, mSettings.mRetryInterval * (1 << doublings));
}

void
ViewReader::SetRole(bool aReadsForAll, bool aFollowing)
{
  mReadsForAll = aReadsForAll;
  if (aFollowing == mFollowing) {
    return;
  }
  mFollowing = aFollowing;
  Log::Info(aFollowing ? "following_peers" : "reading_store");
  if (!aFollowing) {
    BeginNow(mConfigurationLoop);
    BeginNow(mUpstreamLoop);
  }
}

Duration
ViewReader::IntervalOf(const Loop& aLoop) const
{
  const bool rare = mFollowing && &aLoop == &mVmLoop;
  return rare ? mSettings.mFollowerVmInterval : aLoop.mInterval;
}

void
ViewReader::ReadConfiguration()
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
        configuration = mDecoder->DecodeConfiguration(*aRows, &reason);
      }
      if (configuration != nullptr) {
        mListener->OnConfigurationRead(configuration,
                                       mConfigurationLoop.mBegan);
      }
      Next(mConfigurationLoop, configuration != nullptr, reason);
    });
}

void
ViewReader::ReadUpstreams()
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
        mListener->OnUpstreamsUnreachable();
        Next(mUpstreamLoop, false, aReason);
        return;
      }
      std::vector<RelayUpstream> upstreams;
      for (const StoredRow& row : *aRows) {
        Reason reason;
        auto upstream = mDecoder->DecodeUpstream(row, &reason);
        if (upstream) {
          upstreams.push_back(std::move(*upstream));
        } else if (std::exchange(mPassedOver[row.mKey], row.mVersion) !=
                   row.mVersion) {
          Log::Warning("upstream_row_passed_over")
            .Field("key", row.mKey)
            .Field("version", row.mVersion)
            .Field("reason", reason.mText);
        }
      }
      mListener->OnUpstreamsRead(std::move(upstreams));
      Next(mUpstreamLoop, true, aReason);
    });
}

void
ViewReader::ReadVms()
{
  const auto alive = mAlive;
  mStore->ReadTable(mSettings.mVmTable,
                    [this, alive](std::optional<std::vector<StoredRow>> aRows,
                                  const Reason& aReason) {
                      if (!*alive) {
                        return;
                      }
                      if (aRows) {
                        std::set<std::string> names;
                        for (const StoredRow& row : *aRows) {
                          names.insert(row.mKey);
                        }
                        mListener->OnVmsRead(std::move(names));
                      }
                      Next(mVmLoop, aRows.has_value(), aReason);
                    });
}

} // namespace peridothoist
