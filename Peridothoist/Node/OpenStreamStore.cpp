#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/OpenStreamStore.h>

#include <Peridothoist/Shell/Log.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace peridothoist {

namespace {

using nlohmann::json;

// Fields of a row.
constexpr const char* kWrittenAt = "at";    ///< By the store's clock, in ms.
constexpr const char* kEra = "era";         ///< Of that clock.
constexpr const char* kStreams = "streams"; ///< Keys by service and version.

/// Streams that begin together are written together.
constexpr Duration kWriteDelay = 5ms;

/// Between removals of old origins while streams begin.
constexpr Duration kRemovalInterval = 1s;

/// Bytes of a key in a row beside its own.
constexpr std::size_t kBytesAroundKey = 3;

struct StoredOrigin
{
  std::string mKey;
  StreamOrigin mOrigin;
};

struct StoredStreams
{
  std::uint64_t mWrittenAtMs = 0;
  std::uint64_t mEra = 0;
  std::vector<StoredOrigin> mOrigins;
};

/// Returns nullopt if the row can't be read.
std::optional<StoredStreams>
DecodeRow(const std::string& aValue)
{
  try {
    const json body = json::parse(aValue);
    StoredStreams streams;
    streams.mWrittenAtMs = body.at(kWrittenAt).get<std::uint64_t>();
    streams.mEra = body.at(kEra).get<std::uint64_t>();
    for (const auto& [service, versions] : body.at(kStreams).items()) {
      for (const auto& [version, keys] : versions.items()) {
        for (const json& key : keys) {
          streams.mOrigins.push_back(
            { key.get<std::string>(), { service, version } });
        }
      }
    }
    return streams;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace

OpenStreamStore::OpenStreamStore(const Settings& aSettings,
                                 const std::string& aVm,
                                 Reactor* aReactor,
                                 RowStore* aStore)
  : mSettings(aSettings)
  , mVm(aVm)
  , mReactor(aReactor)
  , mStore(aStore)
{
}

OpenStreamStore::~OpenStreamStore()
{
  *mAlive = false;
  mReactor->CancelTimer(mWriteTimer);
}

bool
OpenStreamStore::IsNeeded(const Open& aOpen) const
{
  return mServices.count(aOpen.mOrigin.mService) > 0;
}

void
OpenStreamStore::SetServices(std::set<std::string> aServices)
{
  if (aServices == mServices) {
    return;
  }
  mServices = std::move(aServices);
  RemoveOld();
  const bool hasNeeded =
    std::any_of(mOpen.begin(), mOpen.end(), [this](const auto& aEntry) {
      return IsNeeded(aEntry.second);
    });
  if (hasNeeded || mOwnVersion.IsSet()) {
    mIsDirty = true;
    ScheduleWrite(kWriteDelay);
  }
}

void
OpenStreamStore::OnOpened(const std::string& aKey, const StreamOrigin& aOrigin)
{
  if (mReactor->Now() >= mRemovedOldAt + kRemovalInterval) {
    RemoveOld();
  }
  const Open open{ aOrigin, mReactor->Now() };
  mOpen[aKey] = open;
  if (IsNeeded(open)) {
    mIsDirty = true;
    ScheduleWrite(kWriteDelay);
  }
}

void
OpenStreamStore::RemoveOld()
{
  mRemovedOldAt = mReactor->Now();
  const TimePoint oldest = mRemovedOldAt - mSettings.mRetention;
  for (auto it = mOpen.begin(); it != mOpen.end();) {
    it = it->second.mOpenedAt < oldest ? mOpen.erase(it) : std::next(it);
  }
}

/// The row has lost what was written since the copy.
void
OpenStreamStore::OnStoreRestored()
{
  mKnowsOwnRow = false;
  if (mOwnVersion.IsSet() || mIsDirty) {
    mIsDirty = true;
    ScheduleWrite(kWriteDelay);
  }
}

Duration
OpenStreamStore::WriteInterval() const
{
  return std::max(mSettings.mMinWriteInterval,
                  mSettings.mWriteIntervalPerVm *
                    static_cast<Duration::rep>(mVmCount));
}

/// Schedules a write after aDelay, but no sooner than the interval allows.
void
OpenStreamStore::ScheduleWrite(Duration aDelay)
{
  if (mWriteTimer != 0 || mIsWriting) {
    return;
  }
  const Duration rest = mWrittenAt + WriteInterval() - mReactor->Now();
  mWriteTimer = mReactor->Schedule(std::max(aDelay, rest), [this] {
    mWriteTimer = 0;
    Write();
  });
}

/// Writes the own row. What a former process has left in it is read first.
void
OpenStreamStore::Write()
{
  if (!mIsDirty || mIsWriting) {
    return;
  }
  if (!mKnowsOwnRow) {
    Read([this] {
      ScheduleWrite(mKnowsOwnRow ? Duration(0) : mSettings.mRetryInterval);
    });
    return;
  }
  RemoveOld();
  mIsDirty = false;
  mIsWriting = true;
  mWrittenAt = mReactor->Now();
  ++mCounts.mWrites;
  RowChange change{ mSettings.mTable, mVm, std::nullopt, mOwnVersion };
  if (!mServices.empty()) {
    change.mValue = EncodeRow();
  }
  mStore->Change(change,
                 [this, alive = mAlive, isRemoval = !change.mValue](
                   const Reason& aReason, const StoreVersion& aVersion) {
                   if (*alive) {
                     OnWritten(aReason, isRemoval ? StoreVersion() : aVersion);
                   }
                 });
}

void
OpenStreamStore::OnWritten(const Reason& aReason, const StoreVersion& aVersion)
{
  mIsWriting = false;
  if (aReason.mCode == ReasonCode::None) {
    mOwnVersion = aVersion;
    if (mIsDirty) {
      ScheduleWrite(kWriteDelay);
    }
    return;
  }
  ++mCounts.mFailures;
  Log::Info("open_streams_not_written")
    .Field("code", ToName(aReason.mCode))
    .Field("reason", aReason.mText);
  mKnowsOwnRow = false;
  mIsDirty = true;
  ScheduleWrite(mSettings.mRetryInterval);
}

/// Returns the row's value: the newest origins first, as many as fit.
std::string
OpenStreamStore::EncodeRow()
{
  std::vector<std::pair<TimePoint, const std::string*>> newest;
  for (const auto& [key, open] : mOpen) {
    if (IsNeeded(open)) {
      newest.emplace_back(open.mOpenedAt, &key);
    }
  }
  std::sort(newest.rbegin(), newest.rend());
  const auto clock = mStore->Clock();
  json streams = json::object();
  std::size_t bytes = 0;
  for (const auto& [openedAt, key] : newest) {
    bytes += key->size() + kBytesAroundKey;
    if (bytes > mSettings.mMaxRowBytes) {
      Log::Warning("open_streams_exceed_row").Field("open", newest.size());
      break;
    }
    const StreamOrigin& origin = mOpen.at(*key).mOrigin;
    streams[origin.mService][origin.mSoftwareVersion].push_back(*key);
  }
  const json body = { { kWrittenAt, clock ? clock->mNowMs : 0 },
                      { kEra, clock ? clock->mEra : 0 },
                      { kStreams, std::move(streams) } };
  // Callers and upstreams state ids and versions as any bytes.
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

void
OpenStreamStore::Read(std::function<void()> aCallback)
{
  if (mIsReading) {
    mWaitingForNext.push_back(std::move(aCallback));
    return;
  }
  mWaiting.push_back(std::move(aCallback));
  StartRead();
}

void
OpenStreamStore::WhenRead(std::function<void()> aCallback)
{
  if (!mIsReading) {
    aCallback();
    return;
  }
  (mWaitingForNext.empty() ? mWaiting : mWaitingForNext)
    .push_back(std::move(aCallback));
}

void
OpenStreamStore::StartRead()
{
  mIsReading = true;
  ++mCounts.mReads;
  mStore->ReadTable(
    mSettings.mTable,
    [this, alive = mAlive](const std::optional<std::vector<StoredRow>>& aRows,
                           const Reason& aReason) {
      if (!*alive) {
        return;
      }
      if (aRows) {
        OnRows(*aRows);
      } else {
        ++mCounts.mFailures;
        Log::Info("open_streams_not_read").Field("reason", aReason.mText);
      }
      FinishRead();
    });
}

void
OpenStreamStore::OnRows(const std::vector<StoredRow>& aRows)
{
  mStored.clear();
  bool hasOwnRow = false;
  for (const StoredRow& row : aRows) {
    const auto streams = DecodeRow(row.mValue);
    if (!streams) {
      Log::Warning("open_streams_unreadable").Field("vm", row.mKey);
    } else {
      for (const StoredOrigin& it : streams->mOrigins) {
        mStored.emplace(it.mKey, it.mOrigin);
      }
    }
    if (row.mKey == mVm) {
      hasOwnRow = true;
      AdoptOwnRow(row);
    } else {
      RemoveStaleRow(row);
    }
  }
  if (!hasOwnRow && !mIsWriting) {
    mOwnVersion = StoreVersion();
    mKnowsOwnRow = true;
  }
}

/// Keeps what a former process at this VM has written.
void
OpenStreamStore::AdoptOwnRow(const StoredRow& aRow)
{
  if (mKnowsOwnRow || mIsWriting) {
    return;
  }
  mKnowsOwnRow = true;
  mOwnVersion = aRow.mVersion;
  const auto streams = DecodeRow(aRow.mValue);
  if (!streams) {
    return;
  }
  for (const StoredOrigin& it : streams->mOrigins) {
    mOpen.emplace(it.mKey, Open{ it.mOrigin, mReactor->Now() });
  }
}

void
OpenStreamStore::RemoveStaleRow(const StoredRow& aRow)
{
  const auto streams = DecodeRow(aRow.mValue);
  const auto clock = mStore->Clock();
  const auto retentionMs = static_cast<std::uint64_t>(
    std::chrono::floor<std::chrono::milliseconds>(mSettings.mRowRetention)
      .count());
  const bool isStale = clock && streams && streams->mEra == clock->mEra &&
                       clock->mNowMs >= streams->mWrittenAtMs + retentionMs;
  if (isStale) {
    mStore->Change({ mSettings.mTable, aRow.mKey, std::nullopt, aRow.mVersion },
                   [](const Reason&, const StoreVersion&) {});
  }
}

void
OpenStreamStore::FinishRead()
{
  mIsReading = false;
  const auto waiting = std::exchange(mWaiting, std::move(mWaitingForNext));
  mWaitingForNext.clear();
  if (!mWaiting.empty()) {
    StartRead();
  }
  for (const auto& callback : waiting) {
    callback();
  }
}

std::optional<StreamOrigin>
OpenStreamStore::Find(const std::string& aKey)
{
  const auto it = mStored.find(aKey);
  if (it == mStored.end()) {
    return std::nullopt;
  }
  ++mCounts.mOriginsFound;
  return it->second;
}

} // namespace peridothoist
