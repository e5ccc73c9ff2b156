#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/NodeGossip.h>

#include <Peridothoist/Node/GossipCodec.h>
#include <Peridothoist/Node/NodeLog.h>
#include <Peridothoist/Shell/FlagsFromEnvironment.h>
#include <Peridothoist/Shell/Log.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// A peer counts as silent if none of its messages has arrived for this many
/// gossip rounds. In one round, a VM sends its messages to all peers.
constexpr int kSilentRounds = 2;

/// Maximum number of known addresses up to which further ones are learned from
/// gossip.
constexpr std::size_t kMaxKnownAddresses = 256;

/// Gossip intervals until a change in one cell is known in all others: to the
/// cell's leader, to the other leaders, and to the VMs of their cells.
constexpr int kIntervalsAcrossCells = 3;

/// Messages with speeds of upstreams: one in this many. An odd number, because
/// summaries for other zones are made from the messages of every other round.
constexpr std::uint64_t kMessagesPerSpeedReport = 7;

} // namespace

std::unique_ptr<NodeGossip>
NodeGossip::Create(const NodeSettings& aSettings,
                   const std::string& aInstance,
                   Reactor* aReactor,
                   RelayStateMachine* aMachine,
                   WorkspaceRateLimiter* aRateLimiter,
                   Random* aRandom,
                   NodeGossipListener* aListener,
                   Reason* aReason)
{
  std::unique_ptr<NodeGossip> gossip(new NodeGossip(aSettings,
                                                    aInstance,
                                                    aReactor,
                                                    aMachine,
                                                    aRateLimiter,
                                                    aRandom,
                                                    aListener));
  gossip->mSocket =
    PeerSocket::Create(aSettings.mPeerListen, aReactor, gossip.get());
  if (gossip->mSocket == nullptr) {
    Reason::Set(aReason,
                ReasonCode::Refused,
                "peer_listen: cannot listen on " + aSettings.mPeerListen);
    return nullptr;
  }
  gossip->mOrigins =
    std::make_unique<StreamOriginExchange>(aSettings.mOrigins,
                                           aSettings.Record(),
                                           aReactor,
                                           gossip->mSocket.get(),
                                           aListener);
  gossip->mContentOrigins =
    std::make_unique<ContentOriginExchange>(aSettings.mContentOrigins,
                                            aSettings.Record(),
                                            aReactor,
                                            gossip->mSocket.get(),
                                            aListener);
  gossip->Tick();
  return gossip;
}

NodeGossip::NodeGossip(const NodeSettings& aSettings,
                       const std::string& aInstance,
                       Reactor* aReactor,
                       RelayStateMachine* aMachine,
                       WorkspaceRateLimiter* aRateLimiter,
                       Random* aRandom,
                       NodeGossipListener* aListener)
  : mSettings(aSettings)
  , mInstance(aInstance)
  , mReactor(aReactor)
  , mMachine(aMachine)
  , mRateLimiter(aRateLimiter)
  , mRandom(aRandom)
  , mListener(aListener)
  , mMembers(aSettings.mMembers, aSettings.mVm)
  , mCells(aSettings.mCells,
           aSettings.mSummaries,
           aSettings.Record(),
           &mMembers,
           aMachine,
           aRateLimiter,
           aListener)
{
  mMachine->Limits().SetSharers(&mCells.Membership(), mSettings.mVm);
  mMachine->SetTunnelPeers(this);
  AddSeeds(aSettings.mSeeds);
}

void
NodeGossip::AddSeeds(const std::vector<std::string>& aSeeds)
{
  // All VMs listen for gossip on the same port. Seeds are given with another
  // port, which is ignored.
  const auto own = ParseSocketAddress(mSettings.mPeerListen);
  PH_ASSERT(own.has_value());
  for (const std::string& seed : aSeeds) {
    const auto address = ParseSocketAddress(seed);
    PH_ASSERT(address.has_value());
    mKnownAddresses.insert(address->mIp + ":" + std::to_string(own->mPort));
  }
}

NodeGossip::~NodeGossip()
{
  mMachine->Limits().SetSharers(nullptr, mSettings.mVm);
  mMachine->SetTunnelPeers(nullptr);
  mReactor->CancelTimer(mPublishTimer);
  mReactor->CancelTimer(mEarlyPublishTimer);
}

void
NodeGossip::Tick()
{
  if (!AllAnnounceContents()) {
    mContentOrigins->OnUnannounced();
  }
  mMembers.OnRunning(mReactor->Now());
  RemoveSilentPeers();
  mMachine->Crashes().DropExpired(mReactor->Now());
  LogSpeeds(mMachine->Speeds().Update(mReactor->Now()));
  Publish(mSettings.mGossipFanOut);
  UpdateMaxGossipAge();
  mListener->OnMembersChanged();
  mPublishTimer =
    mReactor->Schedule(mSettings.mGossipInterval, [this] { Tick(); });
}

void
NodeGossip::PublishToAll()
{
  Publish(mKnownAddresses.size() + mMembers.Members().size());
}

void
NodeGossip::SetVms(const VmRecords& aVms)
{
  std::set<std::string> names;
  for (const auto& [name, vm] : aVms) {
    names.insert(name);
  }
  mMembers.SetRegistered(names, mReactor->Now());
  const CellId before = Cells().OwnCell();
  const std::size_t cellsBefore = Cells().Layout().Cells().size();
  mCells.Membership().SetVms(aVms);
  UpdateOriginReplicas();
  if (cellsBefore != Cells().Layout().Cells().size()) {
    mMembers.RestartSilence(mReactor->Now());
  }
  if (!(before == Cells().OwnCell())) {
    Log::Info("cell_changed")
      .Field("zone", Cells().OwnCell().mZone)
      .Field("cell", Cells().OwnCell().mNumber)
      .Field("cells", Cells().Layout().Cells().size())
      .Field("vms", aVms.size());
    RemoveOtherCells();
  }
}

/// Returns whether all VMs that are heard announce origins by content.
bool
NodeGossip::AllAnnounceContents() const
{
  const auto& members = mMembers.Members();
  return mCells.Summaries().AnnounceContents() &&
         std::all_of(members.begin(), members.end(), [](const auto& aEntry) {
           return aEntry.second.mLastMessage.mAnnouncesContents;
         });
}

/// Lets origins of streams be kept by the registered VMs and by peers whose
/// registration has not been read yet.
void
NodeGossip::UpdateOriginReplicas()
{
  VmRecords vms = Cells().Layout().Vms();
  for (const auto& [name, member] : mMembers.Members()) {
    const GossipMessage& message = member.mLastMessage;
    vms.emplace(name, VmRecord{ name, message.mZone, message.mPeerAddress });
  }
  mOrigins->SetVms(vms);
  mContentOrigins->SetVms(vms);
}

std::vector<CallerAddress>
NodeGossip::Callers() const
{
  std::vector<CallerAddress> callers = mMembers.Callers(mReactor->Now());
  const std::vector<CallerAddress> others = mCells.Summaries().Callers();
  callers.insert(callers.end(), others.begin(), others.end());
  return callers;
}

std::vector<TunnelPeer>
NodeGossip::FindTunnelPeers() const
{
  std::vector<TunnelPeer> peers;
  for (const CallerAddress& it : Callers()) {
    if (!it.mTunnelAddress.empty()) {
      peers.push_back({ it.mZone, it.mTunnelAddress });
    }
  }
  return peers;
}

/// Returns whether the fleet is so large that a change of work is not sent to
/// all VMs at once.
bool
NodeGossip::IsLargeFleet() const
{
  return !Cells().IsSingleCell() ||
         AddressesInTurns().size() > mSettings.mWorkFanOut;
}

/// Derives the silence timeout and the age of peers' reports from the number of
/// VMs that are sent to in turns, and from whether there are cells.
void
NodeGossip::UpdateMaxGossipAge()
{
  const std::size_t peers = AddressesInTurns().size();
  const auto rounds = static_cast<Duration::rep>(
    (peers + mSettings.mGossipFanOut - 1) / mSettings.mGossipFanOut);
  const Duration round = mSettings.mGossipInterval * rounds;
  mMembers.SetSilenceTimeout(
    std::max(mSettings.mMembers.mSilenceTimeout, round * kSilentRounds));
  Duration age = IsLargeFleet() ? round : Duration(0);
  if (!Cells().IsSingleCell()) {
    age = std::max(age, mSettings.mGossipInterval * kIntervalsAcrossCells);
  }
  mMachine->Loads().SetPeerLoadAge(age);
}

void
NodeGossip::SchedulePublish()
{
  if (mEarlyPublishTimer != 0 || !Cells().IsSingleCell()) {
    return; // A cell's VMs all get the next regular message.
  }
  const Duration interval =
    IsLargeFleet() ? mSettings.mGossipInterval : mSettings.mMinGossipInterval;
  const Duration wait =
    std::max(Duration(0), mPublishedAt + interval - mReactor->Now());
  mEarlyPublishTimer = mReactor->Schedule(wait, [this] {
    mEarlyPublishTimer = 0;
    Publish(mSettings.mWorkFanOut);
  });
}

/// Returns the addresses of the VMs that are sent to in turns: in a single cell
/// all that are known, otherwise those of builds that know no cells.
std::vector<std::string>
NodeGossip::AddressesInTurns() const
{
  std::set<std::string> addresses;
  if (Cells().IsSingleCell()) {
    addresses = mMembers.PeerAddresses();
    addresses.insert(mKnownAddresses.begin(), mKnownAddresses.end());
    const std::set<std::string> registered = Cells().CellPeerAddresses();
    addresses.insert(registered.begin(), registered.end());
  } else {
    addresses = Cells().OtherBuildAddresses();
  }
  addresses.erase(mSettings.mPeerListen);
  return { addresses.begin(), addresses.end() };
}

/// Sends a gossip message to all VMs of this cell if there are several cells,
/// and to at most aMaxPeers of those that are sent to in turns.
void
NodeGossip::Publish(std::size_t aMaxPeers)
{
  mPublishedAt = mReactor->Now();
  const GossipMessage message = MakeMessage();
  const std::string bytes = EncodeGossipMessage(message);
  if (!Cells().IsSingleCell()) {
    for (const std::string& address : Cells().CellPeerAddresses()) {
      mSocket->Send(address, bytes);
    }
  }
  SendInTurns(AddressesInTurns(), aMaxPeers, bytes);
  mCells.Update(message, *mSocket, mPublishedAt);
}

/// Sends to at most aCount of the addresses in round-robin order, which bounds
/// the time between two messages to the same VM.
void
NodeGossip::SendInTurns(const std::vector<std::string>& aAddresses,
                        std::size_t aCount,
                        const std::string& aBytes)
{
  auto next =
    std::upper_bound(aAddresses.begin(), aAddresses.end(), mLastRecipient);
  for (std::size_t n = 0; n < std::min(aCount, aAddresses.size()); ++n) {
    if (next == aAddresses.end()) {
      next = aAddresses.begin();
    }
    mSocket->Send(*next, aBytes);
    mLastRecipient = *next;
    ++next;
  }
}

void
NodeGossip::SendViewQuery(const std::string& aPeer)
{
  const ViewQuery query{ ViewExchange::TimestampOf(Reactor::ReadClock()),
                         mSettings.mPeerListen };
  mSocket->Send(aPeer, EncodeViewQuery(query));
}

GossipMessage
NodeGossip::MakeMessage()
{
  const TimePoint now = mReactor->Now();
  GossipMessage message;
  message.mVm = mSettings.mVm;
  message.mZone = mSettings.mZone;
  message.mInstance = mInstance;
  message.mSequence = ++mSequence;
  message.mCallerAddress = mSettings.mListen;
  message.mPeerAddress = mSettings.mPeerListen;
  message.mGranted = mRateLimiter->Granted();
  message.mWork = mMachine->Loads().OwnWork();
  message.mWaiting = mMachine->ClassifyWaiting(now);
  message.mPriorities = mMachine->ClassifyPriorities(now);
  message.mGoneUpstreams = mMachine->Loads().GoneUpstreams(now);
  message.mFailingUpstreams =
    mMachine->Loads().Outcomes().FailingUpstreams(now);
  message.mCrashReports = SelectCrashReports(
    mMachine->Crashes().Reports(now), mSettings.mMaxCrashReports, mSequence);
  message.mLeavingUpstreams = mMachine->ListedUpstreams().OwnLeaving(now);
  message.mLimits = mMachine->Limits().OwnLimits(now);
  message.mCold = mMachine->Limits().OwnColdTimes(now);
  if (mSequence % kMessagesPerSpeedReport == 0) {
    // VMs begin at different upstreams, so that a VM that has just started
    // hears of all of them soon.
    const SpeedsByUpstream speeds = mMachine->Speeds().OwnSpeeds();
    const std::uint64_t first =
      speeds.empty() ? 0 : mRandom->UniformBelow(speeds.size());
    message.mSpeeds = SelectSpeeds(speeds, kSpeedsPerMessage, first);
  }
  message.mDemand = mMachine->Limits().ReportDemand(now);
  // Each message carries one random peer address: over time all VMs learn all
  // addresses while messages stay small.
  const std::set<std::string> peers = mMembers.PeerAddresses();
  if (!peers.empty()) {
    auto it = peers.begin();
    std::advance(it, mRandom->UniformBelow(peers.size()));
    message.mPeers.push_back(*it);
  }
  message.mAnnouncesContents = true;
  mListener->FillServingState(message);
  return message;
}

void
NodeGossip::OnMessage(std::string_view aBytes)
{
  if (mOrigins->OnMessage(aBytes) || mContentOrigins->OnMessage(aBytes)) {
    return;
  }
  if (auto message = DecodeGossipMessage(aBytes)) {
    ApplyMessage(std::move(*message));
  } else if (const auto summary = DecodeGossipSummary(aBytes)) {
    mCells.OnSummary(*summary, mReactor->Now());
    mListener->OnMembersChanged();
  } else if (const auto query = DecodeViewQuery(aBytes)) {
    const auto response = mListener->OnViewQuery(*query);
    if (response && ParseSocketAddress(query->mReplyAddress)) {
      mSocket->Send(query->mReplyAddress, EncodeViewResponse(*response));
    }
  } else if (const auto response = DecodeViewResponse(aBytes)) {
    mListener->OnViewResponse(*response);
  } else {
    Log::Warning("peer_message_unreadable").Field("bytes", aBytes.size());
  }
}

void
NodeGossip::LearnAddresses(const GossipMessage& aMessage)
{
  for (const std::string& address : aMessage.mPeers) {
    if (mKnownAddresses.size() < kMaxKnownAddresses &&
        ParseSocketAddress(address)) {
      mKnownAddresses.insert(address);
    }
  }
}

/// Answers a VM of another cell, which does not know the layout of cells yet,
/// with the addresses of its own cell.
void
NodeGossip::Redirect(const GossipMessage& aMessage)
{
  GossipMessage answer = MakeMessage();
  answer.mIsRedirect = true;
  answer.mPeers = Cells().AddressesOfCell(aMessage.mVm, aMessage.mZone);
  mSocket->Send(aMessage.mPeerAddress, EncodeGossipMessage(answer));
}

void
NodeGossip::ApplyMessage(GossipMessage aMessage)
{
  LearnAddresses(aMessage);
  if (!Cells().IsPeer(aMessage)) {
    if (!aMessage.mIsRedirect) {
      Redirect(aMessage);
    }
    return;
  }
  const TimePoint now = mReactor->Now();
  const bool wasReachable = mMembers.IsReachable(aMessage.mVm, now);
  const GossipMessage copy = aMessage;
  if (!mMembers.OnGossipMessage(std::move(aMessage), now)) {
    return;
  }
  if (!wasReachable) {
    Log::Info("peer_heard")
      .Field("peer", copy.mVm)
      .Field("instance", copy.mInstance)
      .Field("leaving", copy.mIsLeaving);
    UpdateOriginReplicas();
  }
  const GrantedTokens added =
    mRateLimiter->OnPeerGranted(copy.mInstance, copy.mGranted, now);
  if (!copy.mZone.empty()) {
    mCells.OnCellGranted(added);
  }
  mMachine->Loads().OnPeerFoundGone(copy.mGoneUpstreams, now);
  mMachine->Loads().Outcomes().OnPeerCounts(copy.mVm, copy.mFailingUpstreams);
  mMachine->Crashes().Apply(copy.mCrashReports, now);
  for (const UpstreamProcess& it :
       mMachine->OnPeerLeaving(copy.mLeavingUpstreams, now)) {
    LogStatedLeaving(it, copy.mVm);
  }
  mMachine->OnPeerLimits(copy.mLimits, now);
  mMachine->OnPeerCold(copy.mCold, now);
  mMachine->OnPeerSpeeds(copy.mSpeeds, now);
  mMachine->Limits().OnPeerDemand(copy.mVm, copy.mDemand);
  mListener->OnMembersChanged();
  mMachine->Loads().OnPeerWaiting(copy.mVm, copy.mWaiting);
  mMachine->Loads().OnPeerPriorities(copy.mVm, copy.mPriorities);
  mListener->OnPeerWork(copy.mVm, copy.mWork);
}

/// Forgets VMs that are not in this VM's cell any more, after a change of the
/// layout.
void
NodeGossip::RemoveOtherCells()
{
  std::vector<GossipMessage> others;
  for (const auto& [name, member] : mMembers.Members()) {
    if (!Cells().IsPeer(member.mLastMessage)) {
      others.push_back(member.mLastMessage);
    }
  }
  for (const GossipMessage& it : others) {
    mMachine->Loads().ForgetPeer(it.mVm);
    mRateLimiter->ForgetPeer(it.mInstance);
    mMachine->Limits().ForgetPeer(it.mVm);
    mMembers.Remove(it.mVm);
  }
}

void
NodeGossip::RemoveSilentPeers()
{
  const TimePoint now = mReactor->Now();
  for (const auto& [name, member] : mMembers.Members()) {
    if (!mMembers.IsReachable(name, now)) {
      mMachine->Loads().ForgetPeer(name);
    }
    if (now - member.mLastSeen > mSettings.mPeerRetention) {
      mMachine->Limits().ForgetPeer(name);
    }
  }
  for (const std::string& instance :
       mMembers.DropSilent(mSettings.mPeerRetention, now)) {
    Log::Info("peer_forgotten").Field("instance", instance);
    mRateLimiter->ForgetPeer(instance);
  }
}

} // namespace peridothoist
