#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/CellGossip.h>

#include <Peridothoist/Node/GossipCodec.h>
#include <Peridothoist/Node/NodeLog.h>
#include <Peridothoist/Shell/Log.h>

namespace peridothoist {

namespace {

/// Summaries go to other zones in one of this many updates only, since bytes
/// between zones cost more and fewer decisions depend on them.
constexpr std::uint64_t kUpdatesPerFarSummary = 2;

} // namespace

CellGossip::CellGossip(const CellMembershipSettings& aSettings,
                       const SummaryTableSettings& aSummarySettings,
                       const VmRecord& aSelf,
                       MembershipTable* aMembers,
                       RelayStateMachine* aMachine,
                       WorkspaceRateLimiter* aRateLimiter,
                       PeerReportListener* aListener)
  : mMembers(aMembers)
  , mMachine(aMachine)
  , mRateLimiter(aRateLimiter)
  , mListener(aListener)
  , mSummaries(aSummarySettings)
  , mMembership(aSettings, aSelf, aMembers, &mSummaries)
{
}

/// Returns the name under which the rate limiter knows a summary's grants. A
/// new leader counts from another start.
std::string
CellGossip::GrantSource(const std::string& aKey, const GossipSummary& aSummary)
{
  return aKey + '/' + aSummary.mInstance;
}

void
CellGossip::OnSummary(const GossipSummary& aSummary, TimePoint aNow)
{
  const std::string key = SummaryTable::KeyOf(aSummary);
  // A leader hears the other cells' leaders, all others hear their own.
  const bool isExpected = !mMembership.IsSingleCell() &&
                          aSummary.mCell.has_value() == mIsLeader &&
                          !(aSummary.mCell == mMembership.OwnCell());
  const bool isFromLeader =
    mIsLeader || aSummary.mVm == mMembership.Leader(false, aNow);
  if (!isExpected || !isFromLeader || !mSummaries.OnSummary(aSummary, aNow)) {
    return;
  }
  AddGranted(mOtherCellsGranted,
             mRateLimiter->OnPeerGranted(
               GrantSource(key, aSummary), aSummary.mGranted, aNow));
  UpstreamLoadTracker& loads = mMachine->Loads();
  loads.OnPeerFoundGone(aSummary.mGoneUpstreams, aNow);
  loads.Outcomes().OnPeerCounts(key, aSummary.mFailingUpstreams);
  loads.OnPeerWaiting(key, aSummary.mWaiting);
  loads.OnPeerPriorities(key, aSummary.mPriorities);
  mMachine->Crashes().Apply(aSummary.mCrashReports, aNow);
  for (const UpstreamProcess& it :
       mMachine->OnPeerLeaving(aSummary.mLeavingUpstreams, aNow)) {
    LogStatedLeaving(it, key);
  }
  mMachine->OnPeerLimits(aSummary.mLimits, aNow);
  mMachine->OnPeerCold(aSummary.mCold, aNow);
  mMachine->OnPeerSpeeds(aSummary.mSpeeds, aNow);
  mMembers->SetReachableElsewhere(mSummaries.ReachableVms());
  loads.OnPeerPoolWork(key, aSummary.mPoolWork);
  mListener->OnPeerWork(key, aSummary.mWork);
}

/// Forgets what summaries said that are too old or no longer come.
void
CellGossip::Forget(const std::map<std::string, GossipSummary>& aDropped)
{
  for (const auto& [key, summary] : aDropped) {
    mMachine->Loads().ForgetPeer(key);
    mRateLimiter->ForgetPeer(GrantSource(key, summary));
  }
  mMembers->SetReachableElsewhere(mSummaries.ReachableVms());
}

void
CellGossip::UpdateRole(bool aIsLeaving, TimePoint aNow)
{
  const bool isLeader =
    !mMembership.IsSingleCell() && mMembership.IsLeader(aIsLeaving, aNow);
  if (isLeader != mIsLeader) {
    mIsLeader = isLeader;
    Forget(mSummaries.DropAll());
    Log::Info(isLeader ? "leading_cell" : "following_cell")
      .Field("cell", mMembership.OwnCell().mNumber)
      .Field("leader", mMembership.Leader(aIsLeaving, aNow));
  }
}

void
CellGossip::Update(const GossipMessage& aOwn,
                   PeerSocket& aSocket,
                   TimePoint aNow)
{
  UpdateRole(aOwn.mIsLeaving, aNow);
  Forget(mSummaries.DropSilent(aNow));
  if (mIsLeader) {
    SendToOtherCells(aOwn, aSocket, aNow);
    SendToOwnCell(aOwn, aSocket);
  }
}

void
CellGossip::SendToOtherCells(const GossipMessage& aOwn,
                             PeerSocket& aSocket,
                             TimePoint aNow)
{
  const bool isFarTurn = ++mUpdates % kUpdatesPerFarSummary == 0;
  std::map<std::string, std::string> bytesByZone;
  for (const SummaryTarget& it : mMembership.NextSummaryTargets()) {
    const std::string& zone = it.mCell.mZone;
    if (zone != mMembership.OwnCell().mZone && !isFarTurn) {
      continue;
    }
    std::string& bytes = bytesByZone[zone];
    if (bytes.empty()) {
      bytes = EncodeGossipSummary(mMembership.SummarizeCell(
        aOwn, mCellGranted, mMachine->ListedUpstreams(), zone, aNow));
    }
    aSocket.Send(it.mAddress, bytes);
  }
}

/// Sends the sum over the other cells to the VMs of this cell.
void
CellGossip::SendToOwnCell(const GossipMessage& aOwn, PeerSocket& aSocket)
{
  GossipSummary sum;
  sum.mVm = aOwn.mVm;
  sum.mInstance = aOwn.mInstance;
  sum.mSequence = aOwn.mSequence;
  sum.mPeerAddress = aOwn.mPeerAddress;
  sum.mGranted = mOtherCellsGranted;
  sum.mCrashReports = aOwn.mCrashReports;
  mSummaries.AddUp(sum);
  // Not those of the last summaries: each tells only some.
  sum.mSpeeds = SelectSpeeds(mMachine->Speeds().KnownSpeeds(),
                             kSpeedsPerSummary,
                             SpreadTurn(aOwn.mSequence));
  const std::string bytes = EncodeGossipSummary(sum);
  for (const std::string& address : mMembership.CellPeerAddresses()) {
    aSocket.Send(address, bytes);
  }
}

} // namespace peridothoist
