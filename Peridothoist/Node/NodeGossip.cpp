#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/NodeGossip.h>

#include <Peridothoist/Node/GossipCodec.h>
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
{
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
  mReactor->CancelTimer(mPublishTimer);
  mReactor->CancelTimer(mEarlyPublishTimer);
}

void
NodeGossip::Tick()
{
  RemoveSilentPeers();
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

/// Returns whether the fleet is so large that a change of work is sent to some
/// of the peers only.
bool
NodeGossip::IsLargeFleet() const
{
  return AllPeerAddresses().size() > mSettings.mWorkFanOut;
}

/// Derives the silence timeout and the age of peers' loads from the number of
/// peers, since a larger fleet needs more intervals to reach all of them.
void
NodeGossip::UpdateMaxGossipAge()
{
  const std::size_t peers = AllPeerAddresses().size();
  const auto rounds = static_cast<Duration::rep>(
    (peers + mSettings.mGossipFanOut - 1) / mSettings.mGossipFanOut);
  const Duration round = mSettings.mGossipInterval * rounds;
  mMembers.SetSilenceTimeout(
    std::max(mSettings.mMembers.mSilenceTimeout, round * kSilentRounds));
  mMachine->Loads().SetPeerLoadAge(IsLargeFleet() ? round : Duration(0));
}

void
NodeGossip::SchedulePublish()
{
  if (mEarlyPublishTimer != 0) {
    return;
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

std::vector<std::string>
NodeGossip::AllPeerAddresses() const
{
  std::set<std::string> addresses = mMembers.PeerAddresses();
  addresses.insert(mKnownAddresses.begin(), mKnownAddresses.end());
  addresses.erase(mSettings.mPeerListen);
  return { addresses.begin(), addresses.end() };
}

/// Sends a gossip message to at most aMaxPeers peers in round-robin order,
/// which bounds the time between two messages to the same peer.
void
NodeGossip::Publish(std::size_t aMaxPeers)
{
  mPublishedAt = mReactor->Now();
  const std::vector<std::string> addresses = AllPeerAddresses();
  const std::string bytes = EncodeGossipMessage(MakeMessage());
  auto next =
    std::upper_bound(addresses.begin(), addresses.end(), mLastRecipient);
  for (std::size_t n = 0; n < std::min(aMaxPeers, addresses.size()); ++n) {
    if (next == addresses.end()) {
      next = addresses.begin();
    }
    mSocket->Send(*next, bytes);
    mLastRecipient = *next;
    ++next;
  }
}

void
NodeGossip::SendViewQuery(const std::string& aVm)
{
  const auto it = mMembers.Members().find(aVm);
  if (it != mMembers.Members().end()) {
    const ViewQuery query{ ViewExchange::TimestampOf(Reactor::ReadClock()),
                           mSettings.mPeerListen };
    mSocket->Send(it->second.mLastMessage.mPeerAddress, EncodeViewQuery(query));
  }
}

GossipMessage
NodeGossip::MakeMessage()
{
  const TimePoint now = mReactor->Now();
  GossipMessage message;
  message.mVm = mSettings.mVm;
  message.mInstance = mInstance;
  message.mSequence = ++mSequence;
  message.mCallerAddress = mSettings.mListen;
  message.mPeerAddress = mSettings.mPeerListen;
  message.mGranted = mRateLimiter->Granted();
  message.mWork = mMachine->Loads().OwnWork();
  message.mWaiting = mMachine->ClassifyWaiting(now);
  message.mGoneUpstreams = mMachine->Loads().GoneUpstreams(now);
  message.mFailingUpstreams =
    mMachine->Loads().Outcomes().FailingUpstreams(now);
  message.mCrashReports = MakeCrashReports(now);
  // Each message carries one random peer address: over time all VMs learn all
  // addresses while messages stay small.
  const std::set<std::string> peers = mMembers.PeerAddresses();
  if (!peers.empty()) {
    auto it = peers.begin();
    std::advance(it, mRandom->UniformBelow(peers.size()));
    message.mPeers.push_back(*it);
  }
  mListener->FillServingState(message);
  return message;
}

void
NodeGossip::OnMessage(std::string_view aBytes)
{
  if (auto message = DecodeGossipMessage(aBytes)) {
    ApplyMessage(std::move(*message));
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

/// Returns reports about requests that were running when upstreams crashed.
std::vector<CrashReport>
NodeGossip::MakeCrashReports(TimePoint aNow) const
{
  std::vector<CrashReport> all;
  const auto add = [&](const SuspectSummary& aSummary, bool aQuarantined) {
    all.push_back({ aSummary.mDigest,
                    aSummary.mCrashes,
                    aQuarantined,
                    aSummary.mExpiresAt - aNow });
  };
  for (const SuspectSummary& it : mMachine->Suspects().ListQuarantined(aNow)) {
    add(it, true);
  }
  for (const SuspectSummary& it : mMachine->Suspects().ListSuspects(aNow)) {
    add(it, false);
  }
  return SelectCrashReports(
    std::move(all), mSettings.mMaxCrashReports, mSequence);
}

void
NodeGossip::ApplyMessage(GossipMessage aMessage)
{
  for (const std::string& address : aMessage.mPeers) {
    if (mKnownAddresses.size() < kMaxKnownAddresses &&
        ParseSocketAddress(address)) {
      mKnownAddresses.insert(address);
    }
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
  }
  mRateLimiter->OnPeerGranted(copy.mInstance, copy.mGranted, now);
  mMachine->Loads().OnPeerFoundGone(copy.mGoneUpstreams, now);
  mMachine->Loads().Outcomes().OnPeerCounts(copy.mVm, copy.mFailingUpstreams);
  ApplyCrashReports(copy.mCrashReports);
  mListener->OnMembersChanged();
  mMachine->Loads().OnPeerWaiting(copy.mVm, copy.mWaiting);
  mListener->OnPeerWork(copy.mVm, copy.mWork);
}

void
NodeGossip::ApplyCrashReports(const std::vector<CrashReport>& aCrashes)
{
  const TimePoint now = mReactor->Now();
  SuspectTable& suspects = mMachine->Suspects();
  for (const CrashReport& it : aCrashes) {
    if (it.mIsQuarantined) {
      suspects.AddQuarantine(it.mDigest, now + it.mRemaining, now);
    } else {
      suspects.AddSuspect(it.mDigest, now + it.mRemaining, now, it.mCrashes);
    }
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
  }
  for (const std::string& instance :
       mMembers.DropSilent(mSettings.mPeerRetention, now)) {
    Log::Info("peer_forgotten").Field("instance", instance);
    mRateLimiter->ForgetPeer(instance);
  }
}

} // namespace peridothoist
