#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Routing/SuspectTable.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// Number of crashes that leads to quarantine for a request that was alone at
/// one of them.
constexpr std::uint32_t kCrashLimitOnceAlone = 2;
/// The same for a request that was never alone.
constexpr std::uint32_t kCrashLimitNeverAlone = 3;

} // namespace

const SuspectTable::Entry*
SuspectTable::Find(const std::string& aDigest, TimePoint aNow) const
{
  const auto it = mEntries.find(aDigest);
  const bool isLive = it != mEntries.end() && aNow < it->second.mExpiresAt;
  return isLive ? &it->second : nullptr;
}

SuspectTable::Entry&
SuspectTable::FindOrCreate(const std::string& aDigest,
                           TimePoint aUntil,
                           TimePoint aNow)
{
  if (mEntries.size() >= mSettings.mMaxEntries) {
    DropExpired(aNow);
  }
  if (mEntries.size() >= mSettings.mMaxEntries) {
    const auto soonestToExpire = std::min_element(
      mEntries.begin(), mEntries.end(), [](const auto& aOne, const auto& aTwo) {
        return aOne.second.mExpiresAt < aTwo.second.mExpiresAt;
      });
    mEntries.erase(soonestToExpire);
  }
  Entry& entry = mEntries[aDigest];
  if (entry.mExpiresAt <= aNow) {
    entry = Entry();
  }
  entry.mExpiresAt = std::max(entry.mExpiresAt, aUntil);
  return entry;
}

bool
SuspectTable::IsSuspect(const std::string& aDigest, TimePoint aNow) const
{
  return Find(aDigest, aNow) != nullptr;
}

std::optional<TimePoint>
SuspectTable::QuarantinedUntil(const std::string& aDigest, TimePoint aNow) const
{
  const Entry* entry = Find(aDigest, aNow);
  if (entry == nullptr || !entry->mQuarantined) {
    return std::nullopt;
  }
  return entry->mExpiresAt;
}

void
SuspectTable::OnCallBroken(const std::string& aDigest,
                           TimePoint aUntil,
                           TimePoint aNow)
{
  Entry& entry =
    FindOrCreate(aDigest, aNow + mSettings.mSuspicionDuration, aNow);
  entry.mUndecidedBreaks =
    aNow < entry.mUndecidedUntil ? entry.mUndecidedBreaks + 1 : 1;
  entry.mUndecidedUntil = aUntil;
}

void
SuspectTable::OnBreakResolved(const std::string& aDigest, bool aCrashed)
{
  const auto it = mEntries.find(aDigest);
  if (it == mEntries.end()) {
    return;
  }
  Entry& entry = it->second;
  entry.mUndecidedBreaks -= std::min<std::uint32_t>(1, entry.mUndecidedBreaks);
  const bool isClear =
    entry.mUndecidedBreaks == 0 && entry.mCrashes == 0 && !entry.mQuarantined;
  if (isClear && !aCrashed) {
    mEntries.erase(it);
  }
}

bool
SuspectTable::MustDefer(const std::string& aDigest, TimePoint aNow) const
{
  const Entry* entry = Find(aDigest, aNow);
  return entry != nullptr && entry->mUndecidedBreaks > 0 &&
         aNow < entry->mUndecidedUntil &&
         entry->mCrashes + entry->mUndecidedBreaks >= kCrashLimitOnceAlone;
}

std::vector<std::string>
SuspectTable::OnCrash(const std::vector<std::string>& aPresent, TimePoint aNow)
{
  std::vector<std::string> quarantined;
  const bool isAlone = aPresent.size() == 1;
  for (const std::string& digest : aPresent) {
    Entry& entry =
      FindOrCreate(digest, aNow + mSettings.mSuspicionDuration, aNow);
    ++entry.mCrashes;
    entry.mCrashedAlone = entry.mCrashedAlone || isAlone;
    const std::uint32_t limit =
      entry.mCrashedAlone ? kCrashLimitOnceAlone : kCrashLimitNeverAlone;
    if (entry.mCrashes >= limit && !entry.mQuarantined) {
      entry.mQuarantined = true;
      entry.mExpiresAt = aNow + mSettings.mQuarantineDuration;
      quarantined.push_back(digest);
    }
  }
  return quarantined;
}

void
SuspectTable::OnFinished(const std::string& aDigest)
{
  const auto it = mEntries.find(aDigest);
  if (it != mEntries.end() && !it->second.mQuarantined) {
    mEntries.erase(it);
  }
}

void
SuspectTable::AddSuspect(const std::string& aDigest,
                         TimePoint aUntil,
                         TimePoint aNow,
                         std::uint32_t aCrashes)
{
  Entry& entry = FindOrCreate(aDigest, aUntil, aNow);
  entry.mCrashes = std::max(aCrashes, entry.mCrashes);
}

void
SuspectTable::AddQuarantine(const std::string& aDigest,
                            TimePoint aUntil,
                            TimePoint aNow)
{
  FindOrCreate(aDigest, aUntil, aNow).mQuarantined = true;
}

std::vector<SuspectSummary>
SuspectTable::ListQuarantined(TimePoint aNow) const
{
  return List(true, aNow);
}

std::vector<SuspectSummary>
SuspectTable::ListSuspects(TimePoint aNow) const
{
  return List(false, aNow);
}

std::vector<SuspectSummary>
SuspectTable::List(bool aQuarantined, TimePoint aNow) const
{
  std::vector<SuspectSummary> listed;
  for (const auto& [digest, entry] : mEntries) {
    const bool isIncluded = aQuarantined
                              ? entry.mQuarantined
                              : !entry.mQuarantined && entry.mCrashes > 0;
    if (isIncluded && aNow < entry.mExpiresAt) {
      listed.push_back({ digest, entry.mExpiresAt, entry.mCrashes });
    }
  }
  return listed;
}

void
SuspectTable::DropExpired(TimePoint aNow)
{
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    it = it->second.mExpiresAt <= aNow ? mEntries.erase(it) : std::next(it);
  }
}

} // namespace peridothoist
