#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/NodePeers.h>

#include <Peridothoist/Node/VmNewsCodec.h>
#include <Peridothoist/Shell/FlagsFromEnvironment.h>
#include <Peridothoist/Shell/Log.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// A VM of which nothing was heard for so many rounds isn't heard.
constexpr int kSilentRounds = 2;

/// Addresses of VMs that were never heard are kept up to this count.
constexpr std::size_t kMostKnown = 256;

} // namespace

std::unique_ptr<NodePeers>
NodePeers::Create(const NodeSettings& aSettings,
                  const std::string& aInstance,
                  Reactor* aReactor,
                  RelayMachine* aMachine,
                  UsageLedger* aLedger,
                  Random* aRandom,
                  NodePeersListener* aListener,
                  Reason* aReason)
{
  std::unique_ptr<NodePeers> peers(new NodePeers(
    aSettings, aInstance, aReactor, aMachine, aLedger, aRandom, aListener));
  peers->mMessenger =
    PeerMessenger::Create(aSettings.mPeerListen, aReactor, peers.get());
  if (peers->mMessenger == nullptr) {
    Reason::Set(aReason,
                ReasonCode::Refused,
                "peer_listen: can't listen on " + aSettings.mPeerListen);
    return nullptr;
  }
  peers->Tick();
  return peers;
}

NodePeers::NodePeers(const NodeSettings& aSettings,
                     const std::string& aInstance,
                     Reactor* aReactor,
                     RelayMachine* aMachine,
                     UsageLedger* aLedger,
                     Random* aRandom,
                     NodePeersListener* aListener)
  : mSettings(aSettings)
  , mInstance(aInstance)
  , mReactor(aReactor)
  , mMachine(aMachine)
  , mLedger(aLedger)
  , mRandom(aRandom)
  , mListener(aListener)
  , mMembers(aSettings.mMembers, aSettings.mVm)
{
  AddSeeds(aSettings.mSeeds);
}

void
NodePeers::AddSeeds(const std::vector<std::string>& aSeeds)
{
  // All VMs hear on the same port; seeds are given with another one.
  const auto own = ParseSocketAddress(mSettings.mPeerListen);
  PH_ASSERT(own.has_value());
  for (const std::string& seed : aSeeds) {
    const auto address = ParseSocketAddress(seed);
    PH_ASSERT(address.has_value());
    mKnown.insert(address->mNumber + ":" + std::to_string(own->mPort));
  }
}

NodePeers::~NodePeers()
{
  mReactor->CancelTimer(mTimer);
  mReactor->CancelTimer(mSoonTimer);
}

void
NodePeers::Tick()
{
  DropSilent();
  Tell(mSettings.mPeerFanOut);
  NoteFleetSize();
  mListener->OnMembersChanged();
  mTimer = mReactor->Schedule(mSettings.mPeerInterval, [this] { Tick(); });
}

void
NodePeers::TellAll()
{
  Tell(mKnown.size() + mMembers.Members().size());
}

/// Whether changed work is told to a part of the peers only.
bool
NodePeers::IsLarge() const
{
  return Addresses().size() > mSettings.mSoonFanOut;
}

/// Takes from the count of peers how old news of them may be.
void
NodePeers::NoteFleetSize()
{
  const std::size_t peers = Addresses().size();
  const auto rounds = static_cast<Duration::rep>(
    (peers + mSettings.mPeerFanOut - 1) / mSettings.mPeerFanOut);
  const Duration round = mSettings.mPeerInterval * rounds;
  mMembers.SetSilence(
    std::max(mSettings.mMembers.mSilence, round * kSilentRounds));
  mMachine->Loads().SetNewsAge(IsLarge() ? round : Duration(0));
}

void
NodePeers::TellSoon()
{
  if (mSoonTimer != 0) {
    return;
  }
  const Duration interval =
    IsLarge() ? mSettings.mPeerInterval : mSettings.mLeastPeerInterval;
  const Duration wait =
    std::max(Duration(0), mToldAt + interval - mReactor->Now());
  mSoonTimer = mReactor->Schedule(wait, [this] {
    mSoonTimer = 0;
    Tell(mSettings.mSoonFanOut);
  });
}

std::vector<std::string>
NodePeers::Addresses() const
{
  std::set<std::string> addresses = mMembers.PeerAddresses();
  addresses.insert(mKnown.begin(), mKnown.end());
  addresses.erase(mSettings.mPeerListen);
  return { addresses.begin(), addresses.end() };
}

/// Sends the news to aMost peers, in turn, so that each hears of this VM
/// within a known time.
void
NodePeers::Tell(std::size_t aMost)
{
  mToldAt = mReactor->Now();
  const std::vector<std::string> addresses = Addresses();
  const std::string bytes = EncodeVmNews(MakeNews());
  auto next = std::upper_bound(addresses.begin(), addresses.end(), mLastTold);
  for (std::size_t n = 0; n < std::min(aMost, addresses.size()); ++n) {
    if (next == addresses.end()) {
      next = addresses.begin();
    }
    mMessenger->Send(*next, bytes);
    mLastTold = *next;
    ++next;
  }
}

void
NodePeers::AskView(const std::string& aVm)
{
  const auto it = mMembers.Members().find(aVm);
  if (it != mMembers.Members().end()) {
    const ViewAsk ask{ ViewShare::StampOf(Reactor::ReadClock()),
                       mSettings.mPeerListen };
    mMessenger->Send(it->second.mNews.mPeerAddress, EncodeViewAsk(ask));
  }
}

VmNews
NodePeers::MakeNews()
{
  const TimePoint now = mReactor->Now();
  VmNews news;
  news.mVm = mSettings.mVm;
  news.mInstance = mInstance;
  news.mSequence = ++mSequence;
  news.mCallerAddress = mSettings.mListen;
  news.mPeerAddress = mSettings.mPeerListen;
  news.mGranted = mLedger->Granted();
  news.mWork = mMachine->Loads().Own();
  news.mWaiting = mMachine->WaitingNow(now);
  news.mGone = mMachine->Loads().FoundGone(now);
  news.mFailing = mMachine->Loads().Outcomes().Failing(now);
  news.mCrashes = MakeCrashNews(now);
  // One address a message, so that all are heard of in time.
  const std::set<std::string> peers = mMembers.PeerAddresses();
  if (!peers.empty()) {
    auto it = peers.begin();
    std::advance(it, mRandom->Below(peers.size()));
    news.mPeers.push_back(*it);
  }
  mListener->FillState(news);
  return news;
}

void
NodePeers::OnMessage(std::string_view aBytes)
{
  if (auto news = DecodeVmNews(aBytes)) {
    TakeNews(std::move(*news));
  } else if (const auto ask = DecodeViewAsk(aBytes)) {
    const auto tell = mListener->OnViewAsk(*ask);
    if (tell && ParseSocketAddress(ask->mAnswerTo)) {
      mMessenger->Send(ask->mAnswerTo, EncodeViewTell(*tell));
    }
  } else if (const auto tell = DecodeViewTell(aBytes)) {
    mListener->OnViewTell(*tell);
  } else {
    Log::Warning("peer_message_unreadable").Field("bytes", aBytes.size());
  }
}

/// What to tell of requests that were present at crashes.
std::vector<CrashNews>
NodePeers::MakeCrashNews(TimePoint aNow) const
{
  std::vector<CrashNews> all;
  const auto add = [&](const ListedDigest& aDigest, bool aQuarantined) {
    all.push_back({ aDigest.mDigest,
                    aDigest.mCrashes,
                    aQuarantined,
                    aDigest.mUntil - aNow });
  };
  for (const ListedDigest& it : mMachine->Suspects().Quarantined(aNow)) {
    add(it, true);
  }
  for (const ListedDigest& it : mMachine->Suspects().Suspects(aNow)) {
    add(it, false);
  }
  return ChooseCrashNews(std::move(all), mSettings.mMostCrashNews, mSequence);
}

void
NodePeers::TakeNews(VmNews aNews)
{
  for (const std::string& address : aNews.mPeers) {
    if (mKnown.size() < kMostKnown && ParseSocketAddress(address)) {
      mKnown.insert(address);
    }
  }
  const TimePoint now = mReactor->Now();
  const bool heard = mMembers.IsHeard(aNews.mVm, now);
  const VmNews copy = aNews;
  if (!mMembers.OnNews(std::move(aNews), now)) {
    return;
  }
  if (!heard) {
    Log::Info("peer_heard")
      .Field("peer", copy.mVm)
      .Field("instance", copy.mInstance)
      .Field("leaving", copy.mLeaving);
  }
  mLedger->OnPeerGranted(copy.mInstance, copy.mGranted, now);
  mMachine->Loads().OnPeerFoundGone(copy.mGone, now);
  mMachine->Loads().Outcomes().OnPeer(copy.mVm, copy.mFailing);
  TakeCrashes(copy.mCrashes);
  mListener->OnMembersChanged();
  mMachine->Loads().OnPeerWaiting(copy.mVm, copy.mWaiting);
  mListener->OnPeerWork(copy.mVm, copy.mWork);
}

void
NodePeers::TakeCrashes(const std::vector<CrashNews>& aCrashes)
{
  const TimePoint now = mReactor->Now();
  SuspectTable& suspects = mMachine->Suspects();
  for (const CrashNews& it : aCrashes) {
    if (it.mQuarantined) {
      suspects.Quarantine(it.mDigest, now + it.mLasts, now);
    } else {
      suspects.Suspect(it.mDigest, now + it.mLasts, now, it.mCrashes);
    }
  }
}

void
NodePeers::DropSilent()
{
  const TimePoint now = mReactor->Now();
  for (const auto& [name, member] : mMembers.Members()) {
    if (!mMembers.IsHeard(name, now)) {
      mMachine->Loads().ForgetPeer(name);
    }
  }
  for (const std::string& instance :
       mMembers.DropSilent(mSettings.mForgetPeers, now)) {
    Log::Info("peer_forgotten").Field("instance", instance);
    mLedger->ForgetPeer(instance);
  }
}

} // namespace peridothoist
