/// Decides, for one VM of a fleet, which others it exchanges its state with,
/// who leads its cell, and what the leader tells the other cells. In a small
/// fleet there is one cell and nothing is summed up.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/CellLayout.h>
#include <Peridothoist/Cells/GossipSummary.h>
#include <Peridothoist/Cells/SummaryTable.h>
#include <Peridothoist/Relay/UpstreamList.h>

#include <set>

namespace peridothoist {

/// Settings of CellMembership.
struct CellMembershipSettings
{
  CellLayoutSettings mLayout;
  /// Maximum number of summaries that a leader sends to other cells at a time;
  /// with more cells it sends them in turns.
  std::size_t mSummaryFanOut = 32;
  std::size_t mMinReaders = 2; ///< VMs of a single cell that read the store.
};

/// How a VM keeps its view of the store current.
struct ViewRole
{
  bool mIsReader = false; ///< It reads the store, for others too.
  /// It asks a VM that asks a reader, so its view is older than the others'.
  bool mIsIndirect = false;
  /// Peers that it asks in turn, "ip:port".
  std::vector<std::string> mPeers;
  /// Peers that it asks too while its view is old: its own reads or those of
  /// mPeers may be failing.
  std::vector<std::string> mFallbackPeers;
};

/// Where a summary of this VM's cell is to be sent.
struct SummaryTarget
{
  CellId mCell;
  std::string mAddress; ///< "ip:port".
};

/// The place of this VM in the fleet.
class CellMembership : public LimitSharers
{
public:
  using Settings = CellMembershipSettings;

  /// aMembers and aSummaries are not owned.
  CellMembership(const Settings& aSettings,
                 const VmRecord& aSelf,
                 const MembershipTable* aMembers,
                 const SummaryTable* aSummaries);

  /// Replaces the registered VMs.
  void SetVms(const VmRecords& aVms);

  const CellLayout& Layout() const { return mLayout; }
  const CellId& OwnCell() const { return mOwnCell; }
  bool IsSingleCell() const { return mLayout.IsSingleCell(); }

  /// Returns whether this VM exchanges its full state with the sender: it is of
  /// the same cell, or of a build that knows no cells.
  bool IsPeer(const GossipMessage& aMessage) const;

  /// Returns the addresses of the registered VMs of aVm's cell.
  std::vector<std::string> AddressesOfCell(const std::string& aVm,
                                           const std::string& aZone) const;

  /// Returns the addresses of the VMs of this cell, without this VM.
  std::set<std::string> CellPeerAddresses() const;

  /// Returns the addresses of VMs of builds that know no cells.
  std::set<std::string> OtherBuildAddresses() const;

  /// Returns the leader of this VM's cell: the first reachable VM by name that
  /// is not leaving.
  std::string Leader(bool aIsLeaving, TimePoint aNow) const;
  bool IsLeader(bool aIsLeaving, TimePoint aNow) const
  {
    return Leader(aIsLeaving, aNow) == mSelf.mName;
  }

  /// Returns whether this VM leads the fleet: it leads its cell, and no leader
  /// of another cell comes before it by name.
  bool IsFleetLeader(bool aIsLeaving, TimePoint aNow) const;

  /// Returns how this VM keeps its view current. In a single cell, the first
  /// VMs read the store and the others ask them. Otherwise the first leader in
  /// each zone reads, the other leaders ask it, and all others ask their
  /// leader.
  ViewRole RoleForView(bool aIsLeaving, TimePoint aNow) const;

  /// Returns where to send this cell's summary now. The leader of a cell that
  /// has sent no summary is not known: its first VM by name is tried, which is
  /// the leader unless it is down, and one other in turn.
  std::vector<SummaryTarget> NextSummaryTargets();

  /// Returns the summary of this cell for VMs of aZone. aOwn describes this VM;
  /// aGranted are the tokens granted by the other VMs of the cell.
  GossipSummary SummarizeCell(const GossipMessage& aOwn,
                              const GrantedTokens& aGranted,
                              const UpstreamList& aUpstreams,
                              const std::string& aZone,
                              TimePoint aNow) const;

  // See: LimitSharers. In a fleet with cells, the VMs of one cell.
  std::vector<std::string> CandidatesFor(
    const std::string& aUpstream) const override;

private:
  ViewRole RoleInSingleCell(bool aIsLeaving, TimePoint aNow) const;
  ViewRole RoleOfLeader() const;
  void AddVm(GossipSummary& aSummary,
             const GossipMessage& aMessage,
             const UpstreamList& aUpstreams,
             const std::string& aZone) const;

  Settings mSettings;
  VmRecord mSelf;
  const MembershipTable* mMembers;
  const SummaryTable* mSummaries;
  CellLayout mLayout;
  CellId mOwnCell;
  std::size_t mRound = 0;    ///< Counts calls of NextSummaryTargets().
  std::size_t mNextCell = 0; ///< First cell of the next turn.
};

} // namespace peridothoist
