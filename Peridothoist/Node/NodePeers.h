/// Keeps the VMs informed about each other: sends this VM's news at intervals
/// and puts what others say where it belongs.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/NodeSettings.h>
#include <Peridothoist/Node/PeerMessenger.h>
#include <Peridothoist/Relay/MemberBook.h>
#include <Peridothoist/Relay/RelayMachine.h>
#include <Peridothoist/Relay/UsageLedger.h>
#include <Peridothoist/Relay/ViewShare.h>

namespace peridothoist {

/// Says what this VM's news don't hold.
class NodePeersListener
{
public:
  virtual ~NodePeersListener() = default;

  /// Fills in whether this VM is serving and leaving.
  virtual void FillState(VmNews& aNews) = 0;

  /// The members or who of them is heard may have changed.
  virtual void OnMembersChanged() = 0;

  /// A peer's question for this VM's view, and a peer's answer.
  virtual std::optional<ViewTell> OnViewAsk(const ViewAsk& aAsk) = 0;
  virtual void OnViewTell(const ViewTell& aTell) = 0;

  /// Another VM told its work at upstreams.
  virtual void OnPeerWork(const std::string& aVm,
                          const WorkByUpstream& aWork) = 0;
};

/// The exchange of one VM.
class NodePeers : public PeerMessengerListener
{
public:
  /// Null with aReason when the address can't be had. Nothing is owned.
  static std::unique_ptr<NodePeers> Create(const NodeSettings& aSettings,
                                           const std::string& aInstance,
                                           Reactor* aReactor,
                                           RelayMachine* aMachine,
                                           UsageLedger* aLedger,
                                           Random* aRandom,
                                           NodePeersListener* aListener,
                                           Reason* aReason);
  ~NodePeers() override;

  MemberBook& Members() { return mMembers; }

  /// Tells these VMs as well, each given by an address of it; ports ignored.
  void AddSeeds(const std::vector<std::string>& aSeeds);

  /// Tells all peers now, not at the next interval.
  void TellAll();

  /// Asks a VM for its view.
  void AskView(const std::string& aVm);

  /// Tells peers soon: this VM's work has changed.
  void TellSoon();

  // See: PeerMessengerListener
  void OnMessage(std::string_view aBytes) override;

private:
  NodePeers(const NodeSettings& aSettings,
            const std::string& aInstance,
            Reactor* aReactor,
            RelayMachine* aMachine,
            UsageLedger* aLedger,
            Random* aRandom,
            NodePeersListener* aListener);

  void Tick();
  void Tell(std::size_t aMost);
  VmNews MakeNews();
  std::vector<CrashNews> MakeCrashNews(TimePoint aNow) const;
  std::vector<std::string> Addresses() const;
  void TakeNews(VmNews aNews);
  bool IsLarge() const;
  void NoteFleetSize();
  void TakeCrashes(const std::vector<CrashNews>& aCrashes);
  void DropSilent();

  const NodeSettings& mSettings;
  std::string mInstance;
  Reactor* mReactor;
  RelayMachine* mMachine;
  UsageLedger* mLedger;
  Random* mRandom;
  NodePeersListener* mListener;
  MemberBook mMembers;
  std::unique_ptr<PeerMessenger> mMessenger;
  std::set<std::string> mKnown; ///< Peer addresses heard of, and seeds'.
  std::uint64_t mSequence = 0;
  Reactor::TimerId mTimer = 0;
  Reactor::TimerId mSoonTimer = 0;
  TimePoint mToldAt;
  std::string mLastTold; ///< Peers are told in turn, by address.
};

} // namespace peridothoist
