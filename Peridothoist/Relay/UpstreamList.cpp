#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UpstreamList.h>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <set>

namespace peridothoist {

const char*
ToName(RelayStage aStage)
{
  static constexpr std::array<const char*, 3> kNames = { "plain",
                                                         "prefill",
                                                         "decode" };
  return kNames[static_cast<std::size_t>(aStage)];
}

UpstreamPool
PoolOf(const RelayUpstream& aUpstream)
{
  return { aUpstream.mService,
           static_cast<int>(aUpstream.mStage),
           aUpstream.mZone };
}

namespace {

std::uint64_t
DigestOf(const std::map<std::string, UpstreamList::Entry>& aEntries)
{
  std::string text;
  for (const auto& [id, entry] : aEntries) {
    const RelayUpstream& upstream = entry.mUpstream;
    for (const std::string& part : { id,
                                     upstream.mService,
                                     upstream.mAddress,
                                     upstream.mZone,
                                     upstream.mSoftwareVersion }) {
      text += part + '\n';
    }
    text += std::to_string(static_cast<int>(upstream.mStage)) + ' ' +
            std::to_string(upstream.mSlots) + ' ' +
            std::to_string(entry.mIsListedAsLeaving ? 1 : 0) + ' ' +
            std::to_string(upstream.mIncarnationId) + '\n';
    // Equal lists without what follows have equal digests in builds that do not
    // count it.
    if (upstream.mColdRemaining > Duration(0)) {
      text += "cold\n";
    }
    if (entry.mIsMissing) {
      text += "missing\n";
    }
  }
  return XXH3_64bits(text.data(), text.size());
}

} // namespace

void
MergeProcesses(std::vector<UpstreamProcess>& aTo,
               const std::vector<UpstreamProcess>& aFrom)
{
  for (const UpstreamProcess& it : aFrom) {
    if (std::find(aTo.begin(), aTo.end(), it) == aTo.end()) {
      aTo.push_back(it);
    }
  }
}

std::vector<UpstreamLoss>
UpstreamList::OnListRead(std::vector<RelayUpstream> aUpstreams,
                         TimePoint aNow,
                         std::optional<TimePoint> aStartedAt)
{
  if (mUnreachableSince && !mIsTurnedAway) {
    mKeepMissingUntil = aNow + mSettings.mMissingGracePeriod;
  }
  mUnreachableSince.reset();
  mIsTurnedAway = false;
  const TimePoint startedAt = aStartedAt.value_or(aNow);
  if (mListedAt && startedAt < *mListedAt) {
    return {};
  }
  OnConfirmed(startedAt);
  std::map<std::string, Entry> entries;
  for (RelayUpstream& it : aUpstreams) {
    const std::string id = it.mId;
    const bool isKeptLeaving =
      aNow < mKeepLeavingUntil && IsListedAsLeaving(it);
    it.mIsLeaving = it.mIsLeaving || isKeptLeaving;
    const bool isLeaving = it.mIsLeaving;
    entries[id] = { std::move(it), false, isLeaving };
  }
  for (const auto& [id, entry] : mEntries) {
    if (entries.count(id) == 0 && aNow < mKeepMissingUntil) {
      entries[id] = { entry.mUpstream, true, entry.mIsListedAsLeaving };
    }
  }
  return Replace(std::move(entries), startedAt);
}

std::vector<UpstreamLoss>
UpstreamList::OnPeerList(std::vector<Entry> aEntries, TimePoint aConfirmedAt)
{
  const bool isFirst = !mListedAt;
  OnConfirmed(aConfirmedAt);
  OnPeerConfirmed(aConfirmedAt);
  std::map<std::string, Entry> entries;
  for (Entry& it : aEntries) {
    const std::string id = it.mUpstream.mId;
    if (!it.mIsMissing || isFirst || mEntries.count(id) > 0) {
      entries[id] = std::move(it);
    }
  }
  return Replace(std::move(entries), aConfirmedAt);
}

/// Replaces the entries. Returns the upstreams that are gone, or that were
/// restarted under the same id.
std::vector<UpstreamLoss>
UpstreamList::Replace(std::map<std::string, Entry> aEntries,
                      TimePoint aListedAt)
{
  std::vector<UpstreamLoss> lost;
  for (const auto& [id, entry] : mEntries) {
    const auto now = aEntries.find(id);
    const bool remains =
      now != aEntries.end() &&
      now->second.mUpstream.mIncarnationId == entry.mUpstream.mIncarnationId;
    if (!remains) {
      lost.push_back({ id, entry.mUpstream.mIsLeaving });
    }
  }
  RememberVersions();
  mEntries = std::move(aEntries);
  mDigest = DigestOf(mEntries);
  ApplyStatements(aListedAt);
  ApplyEvacuation();
  ApplyRecordedVersions();
  return lost;
}

void
UpstreamList::SetRecordedVersions(std::optional<ListedVersions> aVersions)
{
  mRecordedVersions = std::move(aVersions);
  ApplyRecordedVersions();
}

void
UpstreamList::ApplyRecordedVersions()
{
  for (auto& [id, entry] : mEntries) {
    RelayUpstream& upstream = entry.mUpstream;
    if (!mRecordedVersions) {
      upstream.mMayBeginStreams = true;
      continue;
    }
    const auto service = mRecordedVersions->find(upstream.mService);
    upstream.mMayBeginStreams =
      service != mRecordedVersions->end() &&
      service->second.count(upstream.mSoftwareVersion) > 0;
  }
}

ListedVersions
UpstreamList::Versions() const
{
  ListedVersions versions;
  for (const auto& [id, entry] : mEntries) {
    const RelayUpstream& upstream = entry.mUpstream;
    versions[upstream.mService].insert(upstream.mSoftwareVersion);
  }
  return versions;
}

std::vector<std::string>
UpstreamList::SetEvacuatedZones(std::set<std::string> aZones)
{
  mEvacuatedZones = std::move(aZones);
  std::vector<std::string> returned;
  for (const auto& [id, entry] : mEntries) {
    const RelayUpstream& upstream = entry.mUpstream;
    if (upstream.mIsEvacuated && mEvacuatedZones.count(upstream.mZone) == 0) {
      returned.push_back(id);
    }
  }
  ApplyEvacuation();
  return returned;
}

void
UpstreamList::ApplyEvacuation()
{
  for (auto& [id, entry] : mEntries) {
    entry.mUpstream.mIsEvacuated =
      mEvacuatedZones.count(entry.mUpstream.mZone) > 0;
  }
}

/// Marks the entries whose process stated that it leaves, and forgets the
/// statements of processes that have not been listed for long. A process
/// without an incarnation id can't be told from the next one with its id, so
/// its statement ends with its entry.
void
UpstreamList::ApplyStatements(TimePoint aListedAt)
{
  for (auto it = mStatedLeaving.begin(); it != mStatedLeaving.end();) {
    const UpstreamProcess& process = it->first;
    const auto entry = mEntries.find(process.mUpstream);
    const bool isListed =
      entry != mEntries.end() &&
      entry->second.mUpstream.mIncarnationId == process.mIncarnationId;
    const bool isKept =
      isListed ||
      (process.mIncarnationId != 0 &&
       aListedAt < it->second.mListedAt + mSettings.mStatementRetention);
    if (!isKept) {
      it = mStatedLeaving.erase(it);
      continue;
    }
    if (isListed) {
      entry->second.mUpstream.mIsLeaving = true;
      it->second.mListedAt = std::max(it->second.mListedAt, aListedAt);
    }
    ++it;
  }
}

bool
UpstreamList::OnLeavingStated(const UpstreamProcess& aProcess, TimePoint aNow)
{
  return RememberLeaving(aProcess, true, aNow);
}

std::vector<UpstreamProcess>
UpstreamList::OnPeerLeaving(const std::vector<UpstreamProcess>& aProcesses,
                            TimePoint aNow)
{
  std::vector<UpstreamProcess> added;
  for (const UpstreamProcess& it : aProcesses) {
    // An unlisted process without an incarnation id may be a past one.
    const bool isUsable =
      it.mIncarnationId != 0 || mEntries.count(it.mUpstream) > 0;
    if (isUsable && RememberLeaving(it, false, aNow)) {
      added.push_back(it);
    }
  }
  return added;
}

bool
UpstreamList::RememberLeaving(const UpstreamProcess& aProcess,
                              bool aIsOwn,
                              TimePoint aNow)
{
  const auto added = mStatedLeaving.emplace(aProcess, Statement{ aNow, aNow });
  Statement& statement = added.first->second;
  if (aIsOwn && !statement.mIsOwn) {
    statement.mIsOwn = true;
    statement.mStatedAt = aNow;
  }
  const auto entry = mEntries.find(aProcess.mUpstream);
  const bool isListed =
    entry != mEntries.end() &&
    entry->second.mUpstream.mIncarnationId == aProcess.mIncarnationId;
  if (isListed) {
    entry->second.mUpstream.mIsLeaving = true;
  }
  return added.second;
}

std::vector<UpstreamProcess>
UpstreamList::OwnLeaving(TimePoint aNow) const
{
  std::vector<UpstreamProcess> leaving;
  for (const auto& [process, statement] : mStatedLeaving) {
    const bool isRecent =
      aNow < statement.mStatedAt + mSettings.mStatementReportPeriod;
    if (statement.mIsOwn && isRecent) {
      leaving.push_back(process);
    }
  }
  return leaving;
}

void
UpstreamList::OnUnreachable(TimePoint aStartedAt, TimePoint aNow)
{
  if (!mUnreachableSince) {
    mUnreachableSince = aNow;
  }
  const bool wereOthersServed = mPeerConfirmedAt &&
                                *mPeerConfirmedAt >= *mUnreachableSince &&
                                *mPeerConfirmedAt <= aStartedAt;
  mIsTurnedAway = mIsTurnedAway || wereOthersServed;
}

void
UpstreamList::OnRestored(TimePoint aNow)
{
  mKeepMissingUntil = aNow + mSettings.mMissingGracePeriod;
  mKeepLeavingUntil = mKeepMissingUntil;
}

/// Returns whether the list has stated that this process leaves.
bool
UpstreamList::IsListedAsLeaving(const RelayUpstream& aUpstream) const
{
  const auto it = mEntries.find(aUpstream.mId);
  return it != mEntries.end() && it->second.mIsListedAsLeaving &&
         it->second.mUpstream.mIncarnationId == aUpstream.mIncarnationId;
}

/// Notes that another VM's read of the list, started at aAt, was served.
void
UpstreamList::OnPeerConfirmed(TimePoint aAt)
{
  mPeerConfirmedAt = std::max(mPeerConfirmedAt.value_or(aAt), aAt);
}

void
UpstreamList::OnConfirmed(TimePoint aAt)
{
  if (!mListedAt || aAt > *mListedAt + mSettings.mMaxConfirmationGap) {
    mKnownSince = aAt;
  }
  if (mListedAt && aAt > *mListedAt) {
    AgeColdTimes(aAt - *mListedAt);
  }
  mListedAt = std::max(mListedAt.value_or(aAt), aAt);
}

/// Shortens the times for which upstreams stay cold as their entries get older.
/// A time that has passed remains above 0: the entry states one, and the digest
/// of the list depends on that.
void
UpstreamList::AgeColdTimes(Duration aAge)
{
  for (auto& [id, entry] : mEntries) {
    Duration& remaining = entry.mUpstream.mColdRemaining;
    if (remaining > Duration(0)) {
      remaining = std::max(Duration(1), remaining - aAge);
    }
  }
}

/// Notes the software versions in the list that is about to be replaced.
void
UpstreamList::RememberVersions()
{
  for (const auto& [id, entry] : mEntries) {
    const RelayUpstream& upstream = entry.mUpstream;
    mVersionsBefore[upstream.mService][upstream.mSoftwareVersion] = *mListedAt;
  }
}

std::optional<std::string>
UpstreamList::SoleVersion(const std::string& aService,
                          TimePoint aSince,
                          TimePoint aUntil) const
{
  const bool isKnown =
    mListedAt && mKnownSince <= aSince && aUntil <= *mListedAt;
  if (!isKnown) {
    return std::nullopt;
  }
  std::set<std::string> versions;
  for (const auto& [id, entry] : mEntries) {
    if (entry.mUpstream.mService == aService) {
      versions.insert(entry.mUpstream.mSoftwareVersion);
    }
  }
  const auto before = mVersionsBefore.find(aService);
  if (before != mVersionsBefore.end()) {
    for (const auto& [version, listedAt] : before->second) {
      if (listedAt >= aSince) {
        versions.insert(version);
      }
    }
  }
  return versions.size() == 1 ? std::optional<std::string>(*versions.begin())
                              : std::nullopt;
}

const RelayUpstream*
UpstreamList::Find(const std::string& aId) const
{
  const auto it = mEntries.find(aId);
  return it == mEntries.end() ? nullptr : &it->second.mUpstream;
}

bool
UpstreamList::IsMissing(const std::string& aId) const
{
  const auto it = mEntries.find(aId);
  return it != mEntries.end() && it->second.mIsMissing;
}

} // namespace peridothoist
