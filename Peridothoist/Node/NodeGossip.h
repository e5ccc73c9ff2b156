/// Gossip between VMs: sends this VM's state to the others at intervals and
/// applies the states received from them.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/CellGossip.h>
#include <Peridothoist/Node/NodeSettings.h>
#include <Peridothoist/Node/PeerSocket.h>
#include <Peridothoist/Node/ContentOriginExchange.h>
#include <Peridothoist/Node/StreamOriginExchange.h>
#include <Peridothoist/Relay/MembershipTable.h>
#include <Peridothoist/Relay/RelayStateMachine.h>
#include <Peridothoist/Relay/WorkspaceRateLimiter.h>
#include <Peridothoist/Relay/ViewExchange.h>

namespace peridothoist {

/// Supplies state of the node process and handles gossip events.
class NodeGossipListener
  : public PeerReportListener
  , public StreamOriginListener
{
public:
  /// Sets what this VM serves and whether it is leaving.
  virtual void FillServingState(GossipMessage& aMessage) = 0;

  /// Called when the set of members, or which of them are reachable, may have
  /// changed.
  virtual void OnMembersChanged() = 0;

  /// Called for a peer's request for this VM's view. Returns the response to
  /// send, or nullopt if this VM holds no complete view.
  virtual std::optional<ViewResponse> OnViewQuery(const ViewQuery& aQuery) = 0;

  /// Called for a peer's response to a view query.
  virtual void OnViewResponse(const ViewResponse& aResponse) = 0;
};

/// Sends and receives the gossip of one VM.
class NodeGossip
  : public PeerSocketListener
  , public TunnelPeers
{
public:
  /// Returns nullptr and sets aReason if it cannot listen on the peer address.
  /// The pointers are not owned.
  static std::unique_ptr<NodeGossip> Create(const NodeSettings& aSettings,
                                            const std::string& aInstance,
                                            Reactor* aReactor,
                                            RelayStateMachine* aMachine,
                                            WorkspaceRateLimiter* aRateLimiter,
                                            Random* aRandom,
                                            NodeGossipListener* aListener,
                                            Reason* aReason);
  ~NodeGossip() override;

  MembershipTable& Members() { return mMembers; }
  const MembershipTable& Members() const { return mMembers; }
  const CellMembership& Cells() const { return mCells.Membership(); }

  /// Returns the exchange of stream origins, which uses the socket for gossip.
  StreamOriginExchange& Origins() { return *mOrigins; }
  const StreamOriginExchange& Origins() const { return *mOrigins; }

  /// The same by content.
  ContentOriginExchange& ContentOrigins() { return *mContentOrigins; }
  const ContentOriginExchange& ContentOrigins() const
  {
    return *mContentOrigins;
  }

  /// Replaces the registered VMs, which decide the layout of cells and which
  /// VMs keep the origins of streams.
  void SetVms(const VmRecords& aVms);

  /// Returns where all reachable VMs known here accept callers.
  std::vector<CallerAddress> Callers() const;

  /// Adds VMs to send gossip to, each given by one of its addresses; ports are
  /// ignored.
  void AddSeeds(const std::vector<std::string>& aSeeds);

  /// Sends a gossip message to all peers immediately.
  void PublishToAll();

  /// Sends a request for its view to a peer, "ip:port".
  void SendViewQuery(const std::string& aPeer);

  /// Schedules a message ahead of the regular one because this VM's work has
  /// changed.
  void SchedulePublish();

  // See: TunnelPeers
  std::vector<TunnelPeer> FindTunnelPeers() const override;

  // See: PeerSocketListener
  void OnMessage(std::string_view aBytes) override;

private:
  NodeGossip(const NodeSettings& aSettings,
             const std::string& aInstance,
             Reactor* aReactor,
             RelayStateMachine* aMachine,
             WorkspaceRateLimiter* aRateLimiter,
             Random* aRandom,
             NodeGossipListener* aListener);

  void Tick();
  void Publish(std::size_t aMaxPeers);
  void SendInTurns(const std::vector<std::string>& aAddresses,
                   std::size_t aCount,
                   const std::string& aBytes);
  GossipMessage MakeMessage();
  std::vector<std::string> AddressesInTurns() const;
  void UpdateOriginReplicas();
  bool AllAnnounceContents() const;
  void LearnAddresses(const GossipMessage& aMessage);
  void ApplyMessage(GossipMessage aMessage);
  void Redirect(const GossipMessage& aMessage);
  bool IsLargeFleet() const;
  void UpdateMaxGossipAge();
  void RemoveSilentPeers();
  void RemoveOtherCells();

  const NodeSettings& mSettings;
  std::string mInstance;
  Reactor* mReactor;
  RelayStateMachine* mMachine;
  WorkspaceRateLimiter* mRateLimiter;
  Random* mRandom;
  NodeGossipListener* mListener;
  MembershipTable mMembers;
  CellGossip mCells;
  std::unique_ptr<PeerSocket> mSocket;
  std::unique_ptr<StreamOriginExchange> mOrigins;         ///< Uses mSocket.
  std::unique_ptr<ContentOriginExchange> mContentOrigins; ///< Uses mSocket.
  std::set<std::string> mKnownAddresses; ///< From seeds and gossip.
  std::uint64_t mSequence = 0;
  Reactor::TimerId mPublishTimer = 0;
  Reactor::TimerId mEarlyPublishTimer = 0;
  TimePoint mPublishedAt;     ///< Time of the last message.
  std::string mLastRecipient; ///< Address of the last one sent to in turns.
};

} // namespace peridothoist
