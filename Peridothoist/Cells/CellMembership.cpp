#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/CellMembership.h>

#include <Peridothoist/Membership/Rendezvous.h>

#include <algorithm>

namespace peridothoist {

CellMembership::CellMembership(const Settings& aSettings,
                               const VmRecord& aSelf,
                               const MembershipTable* aMembers,
                               const SummaryTable* aSummaries)
  : mSettings(aSettings)
  , mSelf(aSelf)
  , mMembers(aMembers)
  , mSummaries(aSummaries)
  , mLayout(aSettings.mLayout)
{
}

void
CellMembership::SetVms(const VmRecords& aVms)
{
  mLayout.SetVms(aVms);
  mOwnCell = mLayout.CellOf(mSelf.mName, mSelf.mZone);
}

bool
CellMembership::IsPeer(const GossipMessage& aMessage) const
{
  return aMessage.mZone.empty() ||
         mLayout.CellOf(aMessage.mVm, aMessage.mZone) == mOwnCell;
}

std::vector<std::string>
CellMembership::AddressesOfCell(const std::string& aVm,
                                const std::string& aZone) const
{
  std::vector<std::string> addresses;
  for (const VmRecord& vm : mLayout.VmsOf(mLayout.CellOf(aVm, aZone))) {
    addresses.push_back(vm.mPeerAddress);
  }
  return addresses;
}

std::set<std::string>
CellMembership::CellPeerAddresses() const
{
  std::set<std::string> addresses;
  for (const VmRecord& vm : mLayout.VmsOf(mOwnCell)) {
    addresses.insert(vm.mPeerAddress);
  }
  for (const auto& [name, member] : mMembers->Members()) {
    if (!member.mLastMessage.mZone.empty()) {
      addresses.insert(member.mLastMessage.mPeerAddress);
    }
  }
  addresses.erase(mSelf.mPeerAddress);
  return addresses;
}

std::set<std::string>
CellMembership::OtherBuildAddresses() const
{
  std::set<std::string> addresses;
  for (const auto& [name, member] : mMembers->Members()) {
    if (member.mLastMessage.mZone.empty()) {
      addresses.insert(member.mLastMessage.mPeerAddress);
    }
  }
  return addresses;
}

std::string
CellMembership::Leader(bool aIsLeaving, TimePoint aNow) const
{
  for (const auto& [name, member] : mMembers->Members()) {
    const GossipMessage& message = member.mLastMessage;
    const bool isCandidate = !message.mZone.empty() && !message.mIsLeaving &&
                             mMembers->IsReachable(name, aNow);
    if (isCandidate && (aIsLeaving || name < mSelf.mName)) {
      return name;
    }
  }
  return mSelf.mName;
}

bool
CellMembership::IsFleetLeader(bool aIsLeaving, TimePoint aNow) const
{
  if (!IsLeader(aIsLeaving, aNow)) {
    return false;
  }
  const auto leaders = mSummaries->Leaders();
  return std::none_of(leaders.begin(), leaders.end(), [this](const auto* aIt) {
    return aIt->mVm < mSelf.mName;
  });
}

ViewRole
CellMembership::RoleInSingleCell(bool aIsLeaving, TimePoint aNow) const
{
  std::map<std::string, std::string> addresses; // By name.
  if (!aIsLeaving) {
    addresses[mSelf.mName] = mSelf.mPeerAddress;
  }
  for (const auto& [name, member] : mMembers->Members()) {
    if (mMembers->IsReachable(name, aNow) && !member.mLastMessage.mIsLeaving) {
      addresses[name] = member.mLastMessage.mPeerAddress;
    }
  }
  ViewRole role;
  std::vector<std::string> others; // VMs that read only when they have to.
  std::size_t count = 0;
  for (const auto& [name, address] : addresses) {
    const bool isReader = ++count <= mSettings.mMinReaders;
    if (name == mSelf.mName) {
      role.mIsReader = isReader;
    } else {
      (isReader ? role.mPeers : others).push_back(address);
    }
  }
  if (role.mIsReader) {
    // If the store turns all readers away, the others read it themselves.
    std::swap(role.mPeers, role.mFallbackPeers);
    role.mFallbackPeers.insert(
      role.mFallbackPeers.end(), others.begin(), others.end());
  }
  role.mIsReader = role.mIsReader || role.mPeers.empty();
  return role;
}

/// Returns the role of the leader of a cell.
ViewRole
CellMembership::RoleOfLeader() const
{
  // The first leader of each zone by name reads.
  std::map<std::string, std::pair<std::string, std::string>> readers;
  readers[mSelf.mZone] = { mSelf.mName, mSelf.mPeerAddress };
  for (const GossipSummary* it : mSummaries->Leaders()) {
    const auto known = readers.find(it->mCell->mZone);
    if (known == readers.end() || it->mVm < known->second.first) {
      readers[it->mCell->mZone] = { it->mVm, it->mPeerAddress };
    }
  }
  ViewRole role;
  for (const auto& [zone, reader] : readers) {
    if (reader.first == mSelf.mName) {
      role.mIsReader = true;
    } else if (zone == mSelf.mZone) {
      role.mPeers.push_back(reader.second);
    } else {
      role.mFallbackPeers.push_back(reader.second);
    }
  }
  return role;
}

ViewRole
CellMembership::RoleForView(bool aIsLeaving, TimePoint aNow) const
{
  if (IsSingleCell()) {
    return RoleInSingleCell(aIsLeaving, aNow);
  }
  const std::string leader = Leader(aIsLeaving, aNow);
  if (leader == mSelf.mName) {
    return RoleOfLeader();
  }
  ViewRole role;
  role.mIsIndirect = true;
  role.mPeers.push_back(
    mMembers->Members().at(leader).mLastMessage.mPeerAddress);
  return role;
}

std::vector<SummaryTarget>
CellMembership::NextSummaryTargets()
{
  std::vector<SummaryTarget> targets;
  const std::vector<CellId> cells = mLayout.Cells();
  ++mRound;
  const std::size_t count = std::min(cells.size(), mSettings.mSummaryFanOut);
  for (std::size_t n = 0; n < count; ++n) {
    const CellId& cell = cells[(mNextCell + n) % cells.size()];
    if (cell == mOwnCell) {
      continue;
    }
    if (const GossipSummary* known = mSummaries->Find(cell)) {
      targets.push_back({ cell, known->mPeerAddress });
      continue;
    }
    const std::vector<VmRecord>& vms = mLayout.VmsOf(cell);
    if (!vms.empty()) {
      targets.push_back({ cell, vms.front().mPeerAddress });
    }
    if (vms.size() > 1) {
      const std::size_t other = 1 + mRound % (vms.size() - 1);
      targets.push_back({ cell, vms[other].mPeerAddress });
    }
  }
  mNextCell = (mNextCell + count) % cells.size();
  return targets;
}

/// Adds the state of one VM of the cell.
void
CellMembership::AddVm(GossipSummary& aSummary,
                      const GossipMessage& aMessage,
                      const UpstreamList& aUpstreams,
                      const std::string& aZone) const
{
  ++aSummary.mReachableVms;
  aSummary.mAnnounceContents =
    aSummary.mAnnounceContents && aMessage.mAnnouncesContents;
  for (const auto& [service, waiting] : aMessage.mWaiting) {
    aSummary.mWaiting[service] += waiting;
  }
  AddWaiting(aSummary.mPriorities, aMessage.mPriorities);
  for (const auto& [id, work] : aMessage.mWork) {
    const RelayUpstream* upstream = aUpstreams.Find(id);
    if (upstream == nullptr) {
      continue;
    }
    if (upstream->mZone == aZone) {
      aSummary.mWork[id] += work;
    } else if (upstream->mStage != RelayStage::Plain) {
      // Plain calls end before a summary has arrived.
      aSummary.mPoolWork[PoolOf(*upstream)] += work;
    }
  }
  for (const auto& [id, counts] : aMessage.mFailingUpstreams) {
    aSummary.mFailingUpstreams[id].mFailed += counts.mFailed;
    aSummary.mFailingUpstreams[id].mSucceeded += counts.mSucceeded;
  }
  aSummary.mGoneUpstreams.insert(aSummary.mGoneUpstreams.end(),
                                 aMessage.mGoneUpstreams.begin(),
                                 aMessage.mGoneUpstreams.end());
  MergeProcesses(aSummary.mLeavingUpstreams, aMessage.mLeavingUpstreams);
  MergeLimits(aSummary.mLimits, aMessage.mLimits);
  MergeColdTimes(aSummary.mCold, aMessage.mCold);
  const SummaryTableSettings& limits = mSummaries->GetSettings();
  const bool isFull = aZone != mSelf.mZone &&
                      aSummary.mCallers.size() >= limits.mCallersForOtherZones;
  if (aMessage.mServing != ServingState::Nothing && !isFull) {
    aSummary.mCallers.push_back({ mSelf.mZone,
                                  aMessage.mCallerAddress,
                                  aMessage.mServing,
                                  aMessage.mTunnelAddress });
  }
}

GossipSummary
CellMembership::SummarizeCell(const GossipMessage& aOwn,
                              const GrantedTokens& aGranted,
                              const UpstreamList& aUpstreams,
                              const std::string& aZone,
                              TimePoint aNow) const
{
  GossipSummary summary;
  summary.mVm = aOwn.mVm;
  summary.mInstance = aOwn.mInstance;
  summary.mSequence = aOwn.mSequence;
  summary.mPeerAddress = aOwn.mPeerAddress;
  summary.mCell = mOwnCell;
  summary.mAnnounceContents = true;
  summary.mGranted = aOwn.mGranted;
  AddGranted(summary.mGranted, aGranted);
  summary.mCrashReports = aOwn.mCrashReports;
  AddVm(summary, aOwn, aUpstreams, aZone);
  summary.mSpeeds = aOwn.mSpeeds;
  for (const auto& [name, member] : mMembers->Members()) {
    const bool counts =
      !member.mLastMessage.mZone.empty() && mMembers->IsReachable(name, aNow);
    if (counts) {
      AddVm(summary, member.mLastMessage, aUpstreams, aZone);
      MergeSpeeds(summary.mSpeeds, member.mSpeeds);
    }
  }
  std::sort(summary.mGoneUpstreams.begin(), summary.mGoneUpstreams.end());
  summary.mGoneUpstreams.erase(
    std::unique(summary.mGoneUpstreams.begin(), summary.mGoneUpstreams.end()),
    summary.mGoneUpstreams.end());
  summary.mFailingUpstreams =
    WorstFailing(std::move(summary.mFailingUpstreams),
                 mSummaries->GetSettings().mMaxFailingUpstreams);
  summary.mSpeeds = SelectSpeeds(
    summary.mSpeeds, kSpeedsPerSummary, SpreadTurn(aOwn.mSequence));
  return summary;
}

std::vector<std::string>
CellMembership::CandidatesFor(const std::string& aUpstream) const
{
  std::set<std::string> names;
  if (IsSingleCell()) {
    names.insert(mSelf.mName);
    for (const auto& [name, vm] : mLayout.Vms()) {
      names.insert(name);
    }
    for (const auto& [name, member] : mMembers->Members()) {
      names.insert(name);
    }
    return { names.begin(), names.end() };
  }
  std::map<std::string, CellId> cells;
  std::vector<std::string> keys;
  for (const CellId& cell : mLayout.Cells()) {
    keys.push_back(cell.mZone + '/' + std::to_string(cell.mNumber));
    cells[keys.back()] = cell;
  }
  const auto home = TopRendezvousNodes(aUpstream, keys, 1);
  for (const VmRecord& vm : mLayout.VmsOf(cells[home.front()])) {
    names.insert(vm.mName);
  }
  return { names.begin(), names.end() };
}

} // namespace peridothoist
