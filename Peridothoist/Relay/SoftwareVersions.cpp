#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/SoftwareVersions.h>

#include <algorithm>
#include <limits>

namespace peridothoist {

namespace {

/// Versions that are gone for longer are dropped from records.
constexpr std::uint64_t kGoneRetentionMs = 600 * 1000;

} // namespace

ServiceVersions
WithoutTimes(const ServiceVersions& aRecord)
{
  ServiceVersions record;
  record.mListed = aRecord.mListed;
  record.mSinceMs = std::numeric_limits<std::uint64_t>::max();
  record.mEra = aRecord.mEra;
  return record;
}

ServiceVersions
NextRecord(const ServiceVersions* aBefore,
           const std::set<std::string>& aListed,
           std::uint64_t aNowMs,
           std::uint64_t aEra)
{
  ServiceVersions next;
  next.mListed = aListed;
  next.mSinceMs = aNowMs;
  next.mEra = aEra;
  if (aBefore == nullptr) {
    return next;
  }
  // The clock of a store that was restarted may have gone back.
  next.mSinceMs = std::min(aBefore->mSinceMs, aNowMs);
  for (const auto& [version, goneAtMs] : aBefore->mGoneAtMs) {
    const std::uint64_t at = std::min(goneAtMs, aNowMs);
    if (aListed.count(version) == 0 && aNowMs - at < kGoneRetentionMs) {
      next.mGoneAtMs[version] = at;
    }
  }
  for (const std::string& version : aBefore->mListed) {
    if (aListed.count(version) == 0) {
      next.mGoneAtMs[version] = aNowMs;
    }
  }
  return next;
}

void
SoftwareVersions::OnRead(VersionsByService aRecords,
                         std::optional<std::uint64_t> aNowMs,
                         TimePoint aStartedAt)
{
  mRecords = std::move(aRecords);
  mNowMs = aNowMs;
  mReadAt = aStartedAt;
}

const ServiceVersions*
SoftwareVersions::Find(const std::string& aService) const
{
  const auto it = mRecords.find(aService);
  return it == mRecords.end() ? nullptr : &it->second;
}

std::optional<std::string>
SoftwareVersions::SoleVersion(const std::string& aService,
                              Duration aPeriod,
                              TimePoint aNotBefore) const
{
  const ServiceVersions* record = Find(aService);
  const bool isConfirmed = mReadAt && *mReadAt >= aNotBefore && mNowMs;
  if (record == nullptr || !isConfirmed) {
    return std::nullopt;
  }
  const auto periodMs = static_cast<std::uint64_t>(
    std::chrono::ceil<std::chrono::milliseconds>(aPeriod).count());
  const auto isPast = [&](std::uint64_t aAtMs) {
    return aAtMs <= *mNowMs && *mNowMs - aAtMs >= periodMs;
  };
  const bool isAnyRecent =
    std::any_of(record->mGoneAtMs.begin(),
                record->mGoneAtMs.end(),
                [&](const auto& aGone) { return !isPast(aGone.second); });
  const bool isSole = record->mListed.size() == 1 && !isAnyRecent;
  return isSole && isPast(record->mSinceMs)
           ? std::optional<std::string>(*record->mListed.begin())
           : std::nullopt;
}

std::set<std::string>
SoftwareVersions::ServicesWithSeveral(Duration aPeriod, TimePoint aNow) const
{
  using std::chrono::ceil;
  using std::chrono::milliseconds;
  std::set<std::string> services;
  if (!mReadAt) {
    return services;
  }
  const auto periodMs =
    static_cast<std::uint64_t>(ceil<milliseconds>(aPeriod).count());
  const Duration sinceRead = std::max(Duration(0), Duration(aNow - *mReadAt));
  const std::uint64_t nowMs =
    mNowMs.value_or(0) +
    static_cast<std::uint64_t>(ceil<milliseconds>(sinceRead).count());
  for (const auto& [service, record] : mRecords) {
    const bool isAnyRecent = std::any_of(
      record.mGoneAtMs.begin(), record.mGoneAtMs.end(), [&](const auto& aGone) {
        return nowMs < aGone.second + periodMs;
      });
    if (record.mListed.size() > 1 || isAnyRecent) {
      services.insert(service);
    }
  }
  return services;
}

ListedVersions
SoftwareVersions::Listed() const
{
  ListedVersions listed;
  for (const auto& [service, record] : mRecords) {
    listed[service] = record.mListed;
  }
  return listed;
}

} // namespace peridothoist
