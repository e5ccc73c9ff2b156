#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Routing/SuspectTable.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// When it was alone at one of them.
constexpr std::uint32_t kCrashesToQuarantine = 2;
/// When it never was.
constexpr std::uint32_t kCrashesWithOthers = 3;

} // namespace

const SuspectTable::Entry*
SuspectTable::Find(const std::string& aDigest, TimePoint aNow) const
{
  const auto it = mEntries.find(aDigest);
  const bool live = it != mEntries.end() && aNow < it->second.mUntil;
  return live ? &it->second : nullptr;
}

SuspectTable::Entry&
SuspectTable::Touch(const std::string& aDigest,
                    TimePoint aUntil,
                    TimePoint aNow)
{
  if (mEntries.size() >= mSettings.mMaxEntries) {
    DropExpired(aNow);
  }
  if (mEntries.size() >= mSettings.mMaxEntries) {
    const auto soonest = std::min_element(
      mEntries.begin(), mEntries.end(), [](const auto& aOne, const auto& aTwo) {
        return aOne.second.mUntil < aTwo.second.mUntil;
      });
    mEntries.erase(soonest);
  }
  Entry& entry = mEntries[aDigest];
  if (entry.mUntil <= aNow) {
    entry = Entry();
  }
  entry.mUntil = std::max(entry.mUntil, aUntil);
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
  return entry->mUntil;
}

void
SuspectTable::OnBroken(const std::string& aDigest,
                       TimePoint aUntil,
                       TimePoint aNow)
{
  Entry& entry = Touch(aDigest, aNow + mSettings.mSuspicionLasts, aNow);
  entry.mOpenBreaks = aNow < entry.mBreaksUntil ? entry.mOpenBreaks + 1 : 1;
  entry.mBreaksUntil = aUntil;
}

void
SuspectTable::OnBreakDecided(const std::string& aDigest, bool aCrashed)
{
  const auto it = mEntries.find(aDigest);
  if (it == mEntries.end()) {
    return;
  }
  Entry& entry = it->second;
  entry.mOpenBreaks -= std::min<std::uint32_t>(1, entry.mOpenBreaks);
  const bool clear =
    entry.mOpenBreaks == 0 && entry.mCrashes == 0 && !entry.mQuarantined;
  if (clear && !aCrashed) {
    mEntries.erase(it);
  }
}

bool
SuspectTable::MustWait(const std::string& aDigest, TimePoint aNow) const
{
  const Entry* entry = Find(aDigest, aNow);
  return entry != nullptr && entry->mOpenBreaks > 0 &&
         aNow < entry->mBreaksUntil &&
         entry->mCrashes + entry->mOpenBreaks >= kCrashesToQuarantine;
}

std::vector<std::string>
SuspectTable::OnCrash(const std::vector<std::string>& aPresent, TimePoint aNow)
{
  std::vector<std::string> quarantined;
  const bool alone = aPresent.size() == 1;
  for (const std::string& digest : aPresent) {
    Entry& entry = Touch(digest, aNow + mSettings.mSuspicionLasts, aNow);
    ++entry.mCrashes;
    entry.mAlone = entry.mAlone || alone;
    const std::uint32_t limit =
      entry.mAlone ? kCrashesToQuarantine : kCrashesWithOthers;
    if (entry.mCrashes >= limit && !entry.mQuarantined) {
      entry.mQuarantined = true;
      entry.mUntil = aNow + mSettings.mQuarantineLasts;
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
SuspectTable::Suspect(const std::string& aDigest,
                      TimePoint aUntil,
                      TimePoint aNow,
                      std::uint32_t aCrashes)
{
  Entry& entry = Touch(aDigest, aUntil, aNow);
  entry.mCrashes = std::max(aCrashes, entry.mCrashes);
}

void
SuspectTable::Quarantine(const std::string& aDigest,
                         TimePoint aUntil,
                         TimePoint aNow)
{
  Touch(aDigest, aUntil, aNow).mQuarantined = true;
}

std::vector<ListedDigest>
SuspectTable::Quarantined(TimePoint aNow) const
{
  return List(true, aNow);
}

std::vector<ListedDigest>
SuspectTable::Suspects(TimePoint aNow) const
{
  return List(false, aNow);
}

std::vector<ListedDigest>
SuspectTable::List(bool aQuarantined, TimePoint aNow) const
{
  std::vector<ListedDigest> listed;
  for (const auto& [digest, entry] : mEntries) {
    const bool told = aQuarantined ? entry.mQuarantined
                                   : !entry.mQuarantined && entry.mCrashes > 0;
    if (told && aNow < entry.mUntil) {
      listed.push_back({ digest, entry.mUntil, entry.mCrashes });
    }
  }
  return listed;
}

void
SuspectTable::DropExpired(TimePoint aNow)
{
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    it = it->second.mUntil <= aNow ? mEntries.erase(it) : std::next(it);
  }
}

} // namespace peridothoist
