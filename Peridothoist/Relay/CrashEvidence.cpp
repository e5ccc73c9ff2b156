#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/CrashEvidence.h>

#include <algorithm>
#include <set>

namespace peridothoist {

namespace {

/// Returns the crashes from which the content is not excused.
std::set<std::uint64_t>
OpenCrashes(const std::vector<CrashSighting>& aSightings)
{
  std::set<std::uint64_t> crashes;
  for (const CrashSighting& it : aSightings) {
    if (!it.mIsExcused) {
      crashes.insert(it.mCrash);
    }
  }
  return crashes;
}

/// Returns the number of open crashes in a row: of runs that each began after
/// the crash before.
std::size_t
CrashesInARow(std::vector<CrashSighting> aSightings)
{
  std::sort(aSightings.begin(),
            aSightings.end(),
            [](const CrashSighting& aOne, const CrashSighting& aTwo) {
              return aOne.mAt < aTwo.mAt;
            });
  std::size_t count = 0;
  std::optional<TimePoint> previous;
  std::set<std::uint64_t> counted;
  for (const CrashSighting& it : aSightings) {
    const bool isLater = !previous || it.mAt - it.mRunTime >= *previous;
    if (!it.mIsExcused && isLater && counted.insert(it.mCrash).second) {
      ++count;
      previous = it.mAt;
    }
  }
  return count;
}

TimePoint
LastCrash(const std::vector<CrashSighting>& aSightings)
{
  TimePoint last;
  for (const CrashSighting& it : aSightings) {
    last = std::max(last, it.mAt);
  }
  return last;
}

/// Returns whether requests of the workspace are concerned: it had a request
/// with the content at some crash, or several workspaces had.
bool
ConcernsWorkspace(const std::vector<CrashSighting>& aSightings,
                  std::uint64_t aWorkspace)
{
  std::set<std::uint64_t> workspaces;
  for (const CrashSighting& it : aSightings) {
    if (!it.mIsExcused) {
      workspaces.insert(it.mWorkspace);
    }
  }
  return workspaces.size() > 1 || workspaces.count(aWorkspace) > 0;
}

} // namespace

void
CrashEvidence::OnCrash(const std::string& aContent,
                       const CrashSighting& aSighting,
                       TimePoint aNow)
{
  Merge(aContent, aSighting, aNow);
}

/// Adds a sighting to the set. Of two reports of the same one, the smaller
/// times are kept: each hop adds to them.
void
CrashEvidence::Merge(const std::string& aContent,
                     const CrashSighting& aSighting,
                     TimePoint aNow)
{
  if (mEntries.count(aContent) == 0) {
    MakeRoom(aNow);
  }
  Entry& entry = mEntries[aContent];
  Sightings& sightings = entry.mSightings;
  const std::size_t before = CrashesInARow(sightings);
  const auto known = std::find_if(
    sightings.begin(), sightings.end(), [&](const CrashSighting& aIt) {
      return aIt.mCrash == aSighting.mCrash &&
             aIt.mWorkspace == aSighting.mWorkspace;
    });
  if (known != sightings.end()) {
    known->mAt = std::min(known->mAt, aSighting.mAt);
    known->mRunTime = std::min(known->mRunTime, aSighting.mRunTime);
    const bool isNews = aSighting.mIsExcused && !known->mIsExcused;
    known->mIsExcused = known->mIsExcused || aSighting.mIsExcused;
    entry.mChangedAt = isNews ? aNow : entry.mChangedAt;
  } else {
    sightings.push_back(aSighting);
    entry.mChangedAt = aNow;
  }
  if (sightings.size() > mSettings.mMaxSightings) {
    sightings.erase(std::min_element(
      sightings.begin(),
      sightings.end(),
      [](const CrashSighting& aOne, const CrashSighting& aTwo) {
        return aOne.mAt < aTwo.mAt;
      }));
  }
  const std::size_t after = CrashesInARow(sightings);
  const auto until = QuarantinedUntil(sightings);
  if (!until || after <= before) {
    return;
  }
  ++mQuarantineCount;
  if (mListener != nullptr) {
    mListener->OnContentQuarantined(aContent, after, *until - aNow);
  }
}

void
CrashEvidence::OnSoundRun(const std::string& aContent, TimePoint aNow)
{
  const auto it = mEntries.find(aContent);
  if (it == mEntries.end()) {
    return;
  }
  Entry& entry = it->second;
  const bool wasQuarantined = QuarantinedUntil(entry.mSightings).has_value();
  for (CrashSighting& sighting : entry.mSightings) {
    const bool wasExcused = std::exchange(sighting.mIsExcused, true);
    entry.mChangedAt = wasExcused ? entry.mChangedAt : aNow;
  }
  if (wasQuarantined && mListener != nullptr) {
    mListener->OnContentExcused(aContent);
  }
}

void
CrashEvidence::Apply(const std::vector<CrashReport>& aReports, TimePoint aNow)
{
  for (const CrashReport& report : aReports) {
    for (const ReportedSighting& it : report.mSightings) {
      const CrashSighting sighting{
        it.mCrash, it.mWorkspace, aNow - it.mAge, it.mRunTime, it.mIsExcused
      };
      const bool isExpired =
        it.mAge >= (it.mIsExcused ? mSettings.mExcusedLifetime
                                  : mSettings.mEvidenceLifetime);
      if (!isExpired) {
        Merge(report.mContent, sighting, aNow);
      }
    }
  }
}

std::vector<CrashReport>
CrashEvidence::Reports(TimePoint aNow) const
{
  std::vector<CrashReport> reports;
  for (const auto& [content, entry] : mEntries) {
    const Sightings& sightings = entry.mSightings;
    const bool isNeeded = aNow < entry.mChangedAt + mSettings.mReportPeriod ||
                          QuarantinedUntil(sightings).has_value();
    if (!isNeeded || IsExpired(sightings, aNow)) {
      continue;
    }
    CrashReport report{ content, {} };
    for (const CrashSighting& it : sightings) {
      report.mSightings.push_back({ it.mCrash,
                                    it.mWorkspace,
                                    aNow - it.mAt,
                                    it.mRunTime,
                                    it.mIsExcused });
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

ContentVerdict
CrashEvidence::Check(const RequestContents& aContents, TimePoint aNow) const
{
  ContentVerdict verdict = ContentVerdict::Allowed;
  if (mEntries.empty()) {
    return verdict;
  }
  for (const std::string& key : aContents.mKeys) {
    verdict = std::max(verdict, CheckOne(key, aContents, aNow));
  }
  return verdict;
}

ContentVerdict
CrashEvidence::CheckOne(const std::string& aKey,
                        const RequestContents& aContents,
                        TimePoint aNow) const
{
  const auto it = mEntries.find(aKey);
  if (it == mEntries.end() || IsExpired(it->second.mSightings, aNow)) {
    return ContentVerdict::Allowed;
  }
  const Sightings& sightings = it->second.mSightings;
  const auto until = QuarantinedUntil(sightings);
  if (!until || !ConcernsWorkspace(sightings, aContents.mWorkspace) ||
      IsExplainedByOther(sightings, aContents)) {
    return ContentVerdict::Allowed;
  }
  return aNow < *until ? ContentVerdict::Quarantined : ContentVerdict::OnTrial;
}

/// Returns whether a content that the request lacks was present at all of these
/// crashes, so that they don't show that the request would crash an upstream.
bool
CrashEvidence::IsExplainedByOther(const Sightings& aSightings,
                                  const RequestContents& aContents) const
{
  const std::set<std::uint64_t> crashes = OpenCrashes(aSightings);
  return std::any_of(mEntries.begin(), mEntries.end(), [&](const auto& aEntry) {
    const auto& [content, entry] = aEntry;
    const Sightings& sightings = entry.mSightings;
    const auto& keys = aContents.mKeys;
    if (sightings.size() < crashes.size() ||
        std::find(keys.begin(), keys.end(), content) != keys.end()) {
      return false;
    }
    const std::set<std::uint64_t> others = OpenCrashes(sightings);
    return std::includes(
      others.begin(), others.end(), crashes.begin(), crashes.end());
  });
}

/// Returns the end of the quarantine, or nullopt if there is too little
/// evidence for one.
std::optional<TimePoint>
CrashEvidence::QuarantinedUntil(const Sightings& aSightings) const
{
  const std::size_t crashes = CrashesInARow(aSightings);
  if (crashes < mSettings.mMaxCrashes) {
    return std::nullopt;
  }
  Duration quarantine = mSettings.mMinQuarantine;
  for (std::size_t n = mSettings.mMaxCrashes; n < crashes; ++n) {
    quarantine = std::min(mSettings.mMaxQuarantine,
                          quarantine * mSettings.mQuarantineFactor);
  }
  return LastCrash(aSightings) + quarantine;
}

bool
CrashEvidence::IsExpired(const Sightings& aSightings, TimePoint aNow) const
{
  const Duration lifetime = OpenCrashes(aSightings).empty()
                              ? mSettings.mExcusedLifetime
                              : mSettings.mEvidenceLifetime;
  return aNow >= LastCrash(aSightings) + lifetime;
}

void
CrashEvidence::DropExpired(TimePoint aNow)
{
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    it = IsExpired(it->second.mSightings, aNow) ? mEntries.erase(it)
                                                : std::next(it);
  }
}

/// Makes room for a content: drops the one with the least evidence, the oldest
/// of these, when the table is full.
void
CrashEvidence::MakeRoom(TimePoint aNow)
{
  if (mEntries.size() < mSettings.mMaxContents) {
    return;
  }
  DropExpired(aNow);
  if (mEntries.size() < mSettings.mMaxContents) {
    return;
  }
  const auto weightOf = [](const Entry& aEntry) {
    return std::make_pair(OpenCrashes(aEntry.mSightings).size(),
                          LastCrash(aEntry.mSightings));
  };
  mEntries.erase(std::min_element(
    mEntries.begin(), mEntries.end(), [&](const auto& aOne, const auto& aTwo) {
      return weightOf(aOne.second) < weightOf(aTwo.second);
    }));
}

} // namespace peridothoist
