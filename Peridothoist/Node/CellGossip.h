/// Exchanges summaries between the cells of a large fleet: sends them if this
/// VM leads its cell, and applies those that it receives. Does nothing in a
/// fleet with a single cell.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/CellMembership.h>
#include <Peridothoist/Node/PeerSocket.h>
#include <Peridothoist/Relay/RelayStateMachine.h>

namespace peridothoist {

/// Handles what VMs report, each for itself or summed up.
class PeerReportListener
{
public:
  virtual ~PeerReportListener() = default;

  /// Called when peers have reported their open work at upstreams. aSource: the
  /// VM's name, or the key of a summary.
  virtual void OnPeerWork(const std::string& aSource,
                          const WorkByUpstream& aWork) = 0;
};

/// Sends and receives the summaries of one VM.
class CellGossip
{
public:
  /// The pointers are not owned.
  CellGossip(const CellMembershipSettings& aSettings,
             const SummaryTableSettings& aSummarySettings,
             const VmRecord& aSelf,
             MembershipTable* aMembers,
             RelayStateMachine* aMachine,
             WorkspaceRateLimiter* aRateLimiter,
             PeerReportListener* aListener);

  CellMembership& Membership() { return mMembership; }
  const CellMembership& Membership() const { return mMembership; }
  const SummaryTable& Summaries() const { return mSummaries; }

  /// Records tokens that a VM of this cell has granted.
  void OnCellGranted(const GrantedTokens& aAdded)
  {
    AddGranted(mCellGranted, aAdded);
  }

  /// Applies a summary if this VM's role in its cell calls for it.
  void OnSummary(const GossipSummary& aSummary, TimePoint aNow);

  /// Updates this VM's role and drops old summaries, then sends summaries if it
  /// leads its cell. aOwn is this VM's own state.
  void Update(const GossipMessage& aOwn, PeerSocket& aSocket, TimePoint aNow);

private:
  void UpdateRole(bool aIsLeaving, TimePoint aNow);
  void Forget(const std::map<std::string, GossipSummary>& aDropped);
  void SendToOtherCells(const GossipMessage& aOwn,
                        PeerSocket& aSocket,
                        TimePoint aNow);
  void SendToOwnCell(const GossipMessage& aOwn, PeerSocket& aSocket);
  static std::string GrantSource(const std::string& aKey,
                                 const GossipSummary& aSummary);

  MembershipTable* mMembers;
  RelayStateMachine* mMachine;
  WorkspaceRateLimiter* mRateLimiter;
  PeerReportListener* mListener;
  SummaryTable mSummaries;
  CellMembership mMembership;
  bool mIsLeader = false;
  std::uint64_t mUpdates = 0;
  /// Tokens granted by the other VMs of this cell, and by those of other cells,
  /// while this process knew them.
  GrantedTokens mCellGranted;
  GrantedTokens mOtherCellsGranted;
};

} // namespace peridothoist
