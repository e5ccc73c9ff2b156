#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Membership/MemberList.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// Assigns a value unless it is empty.
void
AssignIfSet(std::string& aTarget, const std::string& aValue)
{
  if (!aValue.empty()) {
    aTarget = aValue;
  }
}

} // namespace

MemberList::MemberList(const Settings& aSettings,
                       const Member& aSelf,
                       TimePoint aNow)
  : mSettings(aSettings)
  , mSelfVm(aSelf.mVm)
{
  SetSelf(aSelf, aNow);
}

void
MemberList::SetSelf(const Member& aSelf, TimePoint aNow)
{
  PH_ASSERT(aSelf.mVm == mSelfVm);
  Member self = aSelf;
  self.mReportAge = Duration{ 0 };
  self.mKnownFor = Duration{ 0 };
  MergeReport(self, aNow, aNow);
}

void
MemberList::MergePlatformList(const std::vector<Member>& aListed,
                              TimePoint aSent,
                              TimePoint aNow)
{
  if (mListReadSentAt && aSent < *mListReadSentAt) {
    return;
  }
  mListReadSentAt = aSent;
  for (auto& [vm, record] : mRecords) {
    record.mIsListed = false;
    record.mIsListedAsLeaving = false;
  }
  for (const Member& listed : aListed) {
    Record& record = FindOrAddRecord(listed, aNow);
    record.mIsListed = true;
    record.mIsListedAsLeaving = listed.mState == MemberState::Leaving;
  }
}

void
MemberList::MergeReply(const Member& aSender,
                       const std::vector<Member>& aOthers,
                       TimePoint aSent,
                       TimePoint aNow)
{
  Member sender = aSender;
  sender.mReportAge = Duration{ 0 };
  MergeReport(sender, aSent, aNow);
  Record& record = mRecords[sender.mVm];
  record.mLastExchangeAt =
    std::max(record.mLastExchangeAt.value_or(aSent), aSent);
  for (const Member& other : aOthers) {
    if (other.mVm != sender.mVm && other.mVm != mSelfVm) {
      MergeReport(other, aSent, aNow);
    }
  }
}

void
MemberList::MergeRequest(const Member& aSender,
                         const std::vector<Member>& aOthers,
                         TimePoint aNow)
{
  const auto makeKnown = [&](const Member& aMember) {
    if (aMember.mVm == mSelfVm) {
      return;
    }
    Record& record = FindOrAddRecord(aMember, aNow);
    if (aMember.mState == MemberState::Leaving &&
        aMember.mEntryInstance == record.mMember.mEntryInstance) {
      record.mMember.mState = MemberState::Leaving;
    }
  };
  makeKnown(aSender);
  std::for_each(aOthers.begin(), aOthers.end(), makeKnown);
}

void
MemberList::RemoveExpired(TimePoint aNow)
{
  for (auto it = mRecords.begin(); it != mRecords.end();) {
    if (!IsExpired(it->second, aNow)) {
      ++it;
      continue;
    }
    RecordTerminated({ it->first, it->second.mEntryInstance });
    it = mRecords.erase(it);
  }
}

std::vector<Member>
MemberList::CurrentMembers(TimePoint aNow) const
{
  std::vector<Member> all;
  all.reserve(mRecords.size());
  all.push_back(WithCurrentAges(mRecords.at(mSelfVm), aNow));
  for (const auto& [vm, record] : mRecords) {
    if (vm != mSelfVm) {
      all.push_back(WithCurrentAges(record, aNow));
    }
  }
  return all;
}

std::vector<Member>
MemberList::PickPeers(std::size_t aCount, TimePoint aNow, Random& aRandom)
{
  struct Candidate
  {
    Record* mRecord;
    std::uint64_t mTieBreaker;
  };
  std::vector<Candidate> candidates;
  for (auto& [vm, record] : mRecords) {
    if (vm != mSelfVm && !record.mMember.mControlPeer.empty()) {
      candidates.push_back({ &record, aRandom.UniformBelow(1u << 30) });
    }
  }
  const auto isEarlier = [](const Candidate& aLeft, const Candidate& aRight) {
    return aLeft.mRecord->mLastPickedAt != aRight.mRecord->mLastPickedAt
             ? aLeft.mRecord->mLastPickedAt < aRight.mRecord->mLastPickedAt
             : aLeft.mTieBreaker < aRight.mTieBreaker;
  };
  std::sort(candidates.begin(), candidates.end(), isEarlier);

  std::vector<Member> peers;
  std::set<std::string> zones;
  while (peers.size() < aCount && !candidates.empty()) {
    const auto inNewZone = [&](const Candidate& aCandidate) {
      return zones.count(aCandidate.mRecord->mMember.mZone) == 0;
    };
    auto chosen = std::find_if(candidates.begin(), candidates.end(), inNewZone);
    if (chosen == candidates.end()) {
      zones.clear();
      chosen = candidates.begin();
    }
    Record& record = *chosen->mRecord;
    record.mLastPickedAt = aNow;
    zones.insert(record.mMember.mZone);
    peers.push_back(WithCurrentAges(record, aNow));
    candidates.erase(chosen);
  }
  return peers;
}

std::vector<MemberReport>
MemberList::MemberReports(TimePoint aNow) const
{
  std::vector<MemberReport> reports;
  for (const auto& [vm, record] : mRecords) {
    MemberReport report;
    report.mVm = vm;
    report.mStartedBy = record.mStartedBy;
    report.mAsOf = vm == mSelfVm ? aNow : record.mReportedFrom;
    report.mStamp = record.mMember.mStamp;
    report.mPlatformUnreachable = record.mMember.mPlatformUnreachable;
    report.mCommitInDoubt = record.mMember.mCommitInDoubt;
    reports.push_back(std::move(report));
  }
  return reports;
}

std::vector<ChangeGuardMember>
MemberList::ChangeGuardMembers(TimePoint aNow) const
{
  const auto since = [aNow](const std::optional<TimePoint>& aPoint) {
    return aPoint ? std::optional<Duration>(aNow - *aPoint) : std::nullopt;
  };
  std::vector<ChangeGuardMember> members;
  for (const auto& [vm, record] : mRecords) {
    ChangeGuardMember member;
    member.mVm = vm;
    member.mZone = record.mMember.mZone;
    member.mIsSelf = vm == mSelfVm;
    member.mIsListed = record.mIsListed || member.mIsSelf;
    member.mKnownFor = aNow - record.mFirstKnown;
    member.mLastExchangeAge = since(record.mLastExchangeAt);
    member.mLastSeenAge = since(record.mReportedFrom);
    members.push_back(std::move(member));
  }
  return members;
}

std::vector<InForceMember>
MemberList::InForceMembers() const
{
  std::vector<InForceMember> members;
  for (const auto& [vm, record] : mRecords) {
    const Member& member = record.mMember;
    // Without an entry process, the VM serves no requests by an older version.
    const bool hasEntry = !member.mEntryInstance.empty();
    const std::uint64_t version =
      hasEntry ? std::min(member.mStamp.mVersion, member.mEntryVersion)
               : member.mStamp.mVersion;
    members.push_back({ vm, version, record.mReportedUntil });
  }
  return members;
}

std::vector<TerminatedInstance>
MemberList::TerminatedInstances(TimePoint aNow) const
{
  std::vector<TerminatedInstance> terminated(mTerminated.begin(),
                                             mTerminated.end());
  for (const auto& [vm, record] : mRecords) {
    if (!record.mEntryInstance.empty() && IsExpired(record, aNow)) {
      terminated.push_back({ vm, record.mEntryInstance });
    }
  }
  return terminated;
}

MemberList::Record&
MemberList::FindOrAddRecord(const Member& aMember, TimePoint aNow)
{
  const TimePoint firstKnown = aNow - aMember.mKnownFor;
  const auto [it, isNew] = mRecords.try_emplace(aMember.mVm);
  Record& record = it->second;
  if (isNew) {
    record.mMember.mVm = aMember.mVm;
    record.mMember.mState = aMember.mState;
    record.mFirstKnown = firstKnown;
    record.mStartedBy = aNow;
  }
  record.mFirstKnown = std::min(record.mFirstKnown, firstKnown);
  if (!record.mReportedFrom) {
    AssignIfSet(record.mMember.mZone, aMember.mZone);
    AssignIfSet(record.mMember.mEntryAddress, aMember.mEntryAddress);
    AssignIfSet(record.mMember.mEntryPeer, aMember.mEntryPeer);
    AssignIfSet(record.mMember.mControlPeer, aMember.mControlPeer);
  }
  return record;
}

void
MemberList::MergeReport(const Member& aMember, TimePoint aSent, TimePoint aNow)
{
  Record& record = FindOrAddRecord(aMember, aNow);
  if (!aMember.mReportAge) {
    return;
  }
  const TimePoint from = aSent - *aMember.mReportAge;
  const bool isNewer = !record.mReportedFrom || from >= *record.mReportedFrom;
  if (!isNewer) {
    return;
  }
  const Member before = record.mMember;
  record.mMember = aMember;
  record.mReportedFrom = from;
  record.mReportedUntil = aNow;
  MergeStartTime(record, before, aNow);
  // An instance that reported that it leaves never becomes live again.
  if (before.mState == MemberState::Leaving &&
      before.mEntryInstance == aMember.mEntryInstance &&
      aMember.mVm != mSelfVm) {
    record.mMember.mState = MemberState::Leaving;
  }
  MergeEntryInstance(record, aMember, from, aNow);
}

void
MemberList::MergeStartTime(Record& aRecord,
                           const Member& aBefore,
                           TimePoint aUntil)
{
  const Member& member = aRecord.mMember;
  const TimePoint startedBy = aUntil - member.mRunningFor;
  const bool isSame = !member.mControlInstance.empty() &&
                      member.mControlInstance == aBefore.mControlInstance;
  aRecord.mStartedBy =
    isSame ? std::min(aRecord.mStartedBy, startedBy) : startedBy;
}

void
MemberList::MergeEntryInstance(Record& aRecord,
                               const Member& aMember,
                               TimePoint aFrom,
                               TimePoint aUntil)
{
  const std::string& instance = aMember.mEntryInstance;
  if (instance.empty()) {
    return;
  }
  if (mTerminatedInstances.count(instance) > 0) {
    aRecord.mMember.mEntryInstance = aRecord.mEntryInstance;
    return;
  }
  if (instance != aRecord.mEntryInstance) {
    if (!aRecord.mEntryInstance.empty() && aRecord.mEntryUntil &&
        aFrom > *aRecord.mEntryUntil) {
      RecordTerminated({ aMember.mVm, aRecord.mEntryInstance });
    }
    aRecord.mEntryInstance = instance;
  }
  aRecord.mEntryUntil = aUntil;
}

bool
MemberList::IsExpired(const Record& aRecord, TimePoint aNow) const
{
  const bool isListFresh =
    mListReadSentAt && aNow - *mListReadSentAt < mSettings.mMaxListAge;
  if (aRecord.mMember.mVm == mSelfVm || aRecord.mIsListed || !isListFresh) {
    return false;
  }
  const TimePoint silentSince =
    aRecord.mReportedUntil.value_or(aRecord.mFirstKnown);
  return aNow - silentSince > mSettings.mForgetAfter;
}

void
MemberList::RecordTerminated(const TerminatedInstance& aInstance)
{
  if (aInstance.mEntryInstance.empty() ||
      !mTerminatedInstances.insert(aInstance.mEntryInstance).second) {
    return;
  }
  mTerminated.push_back(aInstance);
  if (mTerminated.size() > mSettings.mMaxTerminated) {
    mTerminatedInstances.erase(mTerminated.front().mEntryInstance);
    mTerminated.pop_front();
  }
}

Member
MemberList::WithCurrentAges(const Record& aRecord, TimePoint aNow) const
{
  Member member = aRecord.mMember;
  member.mKnownFor = std::max(aNow - aRecord.mFirstKnown, Duration{ 0 });
  member.mRunningFor = std::max(aNow - aRecord.mStartedBy, Duration{ 0 });
  if (aRecord.mIsListedAsLeaving) {
    member.mState = MemberState::Leaving;
  }
  member.mReportAge.reset();
  if (aRecord.mMember.mVm == mSelfVm) {
    member.mReportAge = Duration{ 0 };
  } else if (aRecord.mReportedFrom) {
    member.mReportAge = std::max(aNow - *aRecord.mReportedFrom, Duration{ 0 });
  }
  return member;
}

} // namespace peridothoist
