#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/ServiceVersionStore.h>

#include <Peridothoist/Shell/Log.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace peridothoist {

namespace {

using nlohmann::json;

// Fields of a record.
constexpr const char* kListed = "listed";
constexpr const char* kGone = "gone";
constexpr const char* kSince = "since";
constexpr const char* kEra =
  "era"; ///< Builds of before neither write nor read it.

std::string
EncodeRecord(const ServiceVersions& aRecord)
{
  json body = { { kListed, aRecord.mListed },
                { kGone, aRecord.mGoneAtMs },
                { kSince, aRecord.mSinceMs } };
  if (aRecord.mEra != 0) {
    body[kEra] = aRecord.mEra;
  }
  // Upstreams state versions as any bytes.
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Returns nullopt if the row cannot be read.
std::optional<ServiceVersions>
DecodeRecord(const std::string& aValue)
{
  try {
    const json body = json::parse(aValue);
    ServiceVersions record;
    record.mListed = body.at(kListed).get<std::set<std::string>>();
    record.mGoneAtMs =
      body.at(kGone).get<std::map<std::string, std::uint64_t>>();
    record.mSinceMs = body.at(kSince).get<std::uint64_t>();
    record.mEra = body.value(kEra, std::uint64_t(0));
    return record;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace

ServiceVersionStore::ServiceVersionStore(const Settings& aSettings,
                                         Reactor* aReactor,
                                         RowStore* aStore,
                                         const UpstreamList* aUpstreams,
                                         ServiceVersionListener* aListener)
  : mSettings(aSettings)
  , mReactor(aReactor)
  , mStore(aStore)
  , mUpstreams(aUpstreams)
  , mListener(aListener)
  , mStartedAt(Reactor::ReadClock())
{
}

ServiceVersionStore::~ServiceVersionStore()
{
  *mAlive = false;
  mReactor->CancelTimer(mTimer);
}

void
ServiceVersionStore::Update(bool aIsReader)
{
  mIsReader = aIsReader;
  const ListedVersions listed = RecentlyListed();
  if (!IsMissing(listed)) {
    mMissingSince.reset();
    if (mIsReader && mWasRead) {
      WriteChanges(listed, IsRunningFor(mSettings.mRemovalDelay));
    }
    return;
  }
  if (!mMissingSince) {
    mMissingSince = Reactor::ReadClock();
    Refresh();
  } else {
    ScheduleRetry();
  }
}

/// Returns the versions that are listed or were within mRemovalDelay, for
/// services that have upstreams.
ListedVersions
ServiceVersionStore::RecentlyListed()
{
  const TimePoint now = Reactor::ReadClock();
  for (const auto& [service, versions] : mUpstreams->Versions()) {
    for (const std::string& version : versions) {
      mListedAt[service][version] = now;
    }
  }
  ListedVersions listed;
  for (const auto& [service, versions] : mListedAt) {
    for (const auto& [version, listedAt] : versions) {
      if (now - listedAt < mSettings.mRemovalDelay) {
        listed[service].insert(version);
      }
    }
  }
  return listed;
}

/// Returns whether a listed version is not recorded.
bool
ServiceVersionStore::IsMissing(const ListedVersions& aListed) const
{
  for (const auto& [service, versions] : aListed) {
    const auto row = mRows.find(service);
    for (const std::string& version : versions) {
      const bool isRecorded =
        row != mRows.end() && row->second.mRecord.mListed.count(version) > 0;
      if (!isRecorded) {
        return true;
      }
    }
  }
  return false;
}

void
ServiceVersionStore::Refresh()
{
  if (mIsReading) {
    mReadsAgain = true;
  } else {
    StartRead();
  }
}

void
ServiceVersionStore::OnStoreRestored()
{
  mWasRestored = true;
  Refresh();
}

/// Returns whether the times in a record are those of the store's present era.
/// A record that states none was written by a build of before, and is taken for
/// one of this era unless the store was restored since this VM's start.
bool
ServiceVersionStore::IsOfEra(const ServiceVersions& aRecord,
                             std::uint64_t aEra) const
{
  return aRecord.mEra == aEra || (aRecord.mEra == 0 && !mWasRestored);
}

void
ServiceVersionStore::WhenRead(std::function<void()> aCallback)
{
  if (!mIsReading) {
    aCallback();
    return;
  }
  (mReadsAgain ? mWaitingForNext : mWaiting).push_back(std::move(aCallback));
}

void
ServiceVersionStore::StartRead()
{
  mIsReading = true;
  mReadsAgain = false;
  ++mCounts.mReads;
  const TimePoint startedAt = Reactor::ReadClock();
  mStore->ReadTable(
    mSettings.mTable,
    [this, alive = mAlive, startedAt](
      std::optional<std::vector<StoredRow>> aRows, const Reason& aReason) {
      if (*alive) {
        OnRows(std::move(aRows), aReason, startedAt);
      }
    });
}

void
ServiceVersionStore::OnRows(std::optional<std::vector<StoredRow>> aRows,
                            const Reason& aReason,
                            TimePoint aStartedAt)
{
  if (!aRows) {
    OnReadFailed(aReason);
    FinishRead();
    return;
  }
  mWasRead = true;
  mRows.clear();
  const auto clock = mStore->Clock();
  const std::uint64_t era = clock ? clock->mEra : 0;
  VersionsByService records;
  for (const StoredRow& row : *aRows) {
    auto record = DecodeRecord(row.mValue);
    if (!record) {
      Log::Warning("service_versions_unreadable").Field("service", row.mKey);
      // Overwritten as one that is new: nothing is known before.
      mRows[row.mKey] = { {}, row.mVersion };
      continue;
    }
    if (!IsOfEra(*record, era)) {
      record = WithoutTimes(*record);
    }
    records[row.mKey] = *record;
    mRows[row.mKey] = { std::move(*record), row.mVersion };
  }
  mListener->OnServiceVersionsRead(
    std::move(records),
    clock ? std::optional<std::uint64_t>(clock->mNowMs) : std::nullopt,
    aStartedAt);
  const ListedVersions listed = RecentlyListed();
  if (!clock || (mIsRefused && IsMissing(listed))) {
    mListener->OnServiceVersionsUnavailable();
  } else if (IsMissing(listed)) {
    const bool isLate =
      mMissingSince &&
      Reactor::ReadClock() - *mMissingSince >= mSettings.mTakeOverDelay;
    if (mIsReader || isLate) {
      WriteChanges(listed, false);
    }
    ScheduleRetry();
  } else {
    mMissingSince.reset();
  }
  FinishRead();
}

void
ServiceVersionStore::OnReadFailed(const Reason& aReason)
{
  Log::Info("service_versions_not_read").Field("reason", aReason.mText);
  if (!mWasRead && IsRunningFor(mSettings.mMaxUnknownTime)) {
    mListener->OnServiceVersionsUnavailable();
  }
  ScheduleRetry();
}

bool
ServiceVersionStore::IsRunningFor(Duration aTime) const
{
  return Reactor::ReadClock() - mStartedAt >= aTime;
}

void
ServiceVersionStore::FinishRead()
{
  mIsReading = false;
  const auto waiting = std::exchange(mWaiting, std::move(mWaitingForNext));
  mWaitingForNext.clear();
  if (mReadsAgain) {
    StartRead();
  }
  for (const auto& callback : waiting) {
    callback();
  }
}

void
ServiceVersionStore::ScheduleRetry()
{
  if (mTimer != 0) {
    return;
  }
  const bool isLate = IsRunningFor(mSettings.mMaxUnknownTime) && !mWasRead;
  const Duration delay =
    isLate ? mSettings.mLateRetryInterval : mSettings.mRetryInterval;
  mTimer = mReactor->Schedule(delay, [this] {
    mTimer = 0;
    const bool isNeeded = !mWasRead || IsMissing(RecentlyListed());
    if (isNeeded && !mIsReading) {
      StartRead();
    }
  });
}

/// Writes the records that differ from aListed or are of a former era;
/// aMayRemove: also those that list more.
void
ServiceVersionStore::WriteChanges(const ListedVersions& aListed,
                                  bool aMayRemove)
{
  const std::uint64_t era = mStore->Era();
  for (const auto& [service, versions] : aListed) {
    std::set<std::string> wanted = versions;
    const auto row = mRows.find(service);
    if (row != mRows.end()) {
      const std::set<std::string>& recorded = row->second.mRecord.mListed;
      if (!aMayRemove) {
        wanted.insert(recorded.begin(), recorded.end());
      }
      if (wanted == recorded && row->second.mRecord.mEra == era) {
        continue;
      }
    }
    Write(service, wanted);
  }
}

void
ServiceVersionStore::Write(const std::string& aService,
                           const std::set<std::string>& aListed)
{
  const auto clock = mStore->Clock();
  if (!clock || !mWriting.insert(aService).second) {
    return;
  }
  const auto elapsed = std::chrono::ceil<std::chrono::milliseconds>(
    Reactor::ReadClock() - clock->mReceivedAt);
  const std::uint64_t nowMs =
    clock->mNowMs + static_cast<std::uint64_t>(elapsed.count());
  const auto row = mRows.find(aService);
  const bool isKnown =
    row != mRows.end() && !row->second.mRecord.mListed.empty();
  const ServiceVersions record = NextRecord(
    isKnown ? &row->second.mRecord : nullptr, aListed, nowMs, clock->mEra);
  const StoreVersion expected =
    row == mRows.end() ? StoreVersion() : row->second.mVersion;
  ++mCounts.mWrites;
  Log::Info("service_versions_recorded")
    .Field("service", aService)
    .Field("listed", fmt::format("{}", fmt::join(aListed, ",")))
    .Field("gone", record.mGoneAtMs.size());
  mStore->Change(
    { mSettings.mTable, aService, EncodeRecord(record), expected },
    [this, alive = mAlive, aService](const Reason& aReason, StoreVersion) {
      if (*alive) {
        OnWritten(aService, aReason);
      }
    });
}

void
ServiceVersionStore::OnWritten(const std::string& aService,
                               const Reason& aReason)
{
  mWriting.erase(aService);
  mCounts.mConflicts += aReason.mCode == ReasonCode::Conflict ? 1 : 0;
  mIsRefused = aReason.mCode == ReasonCode::Refused;
  if (mIsRefused) {
    Log::Warning("service_versions_refused")
      .Field("service", aService)
      .Field("reason", aReason.mText);
  }
  Refresh();
}

} // namespace peridothoist
