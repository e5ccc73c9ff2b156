/// Tests how VMs exchange the origins of streams, over an in-memory network and
/// over sockets.
#define BOOST_TEST_MODULE StreamOriginExchange
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/PeerSocket.h>
#include <Peridothoist/Node/StreamOriginExchange.h>
#include <Shell/ShellFixture.h>

#include <algorithm>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

const StreamOrigin kOrigin{ "model", "v1" };
const StreamOrigin kOtherOrigin{ "model", "v2" };
const std::string kKey = "attempt-1";

/// Longer than a lookup, with the settings of these tests.
constexpr Duration kLookupTimeout = 250ms;

/// One result of a lookup.
struct Found
{
  std::string mKey;
  std::optional<StreamOrigin> mOrigin;
};

/// Records the results of lookups.
struct Recorder : StreamOriginListener
{
  // See: StreamOriginListener
  void OnOriginFound(const std::string& aKey,
                     std::optional<StreamOrigin> aOrigin) override
  {
    mFound.push_back({ aKey, std::move(aOrigin) });
    if (mOnFound) {
      mOnFound();
    }
  }

  std::vector<Found> mFound;
  std::function<void()> mOnFound;
};

/// Datagrams between exchanges in this process. Each is delivered by an event
/// of its own.
struct Network : PeerSender
{
  explicit Network(Reactor* aReactor)
    : mReactor(aReactor)
  {
  }

  // See: PeerSender
  void Send(const std::string& aAddress, const std::string& aBytes) override
  {
    // VMs that start ask the others, beside all that the tests count.
    if (!DecodeCatchUpRequest(OriginKind::Attempt, aBytes) &&
        !DecodeCatchUpDone(OriginKind::Attempt, aBytes)) {
      mSent.push_back({ aAddress, aBytes });
    }
    if (mIsLost && mIsLost(aAddress, aBytes)) {
      return;
    }
    for (int copy = 0; copy < mCopies; ++copy) {
      mReactor->Schedule(mDelay, [this, aAddress, aBytes] {
        const auto to = mExchanges.find(aAddress);
        if (to != mExchanges.end()) {
          BOOST_TEST(to->second->OnMessage(aBytes));
        }
      });
    }
  }

  struct Datagram
  {
    std::string mAddress;
    std::string mBytes;
  };

  std::size_t CountQueries(const std::string& aAddress) const
  {
    return std::count_if(mSent.begin(), mSent.end(), [&](const auto& aSent) {
      return aSent.mAddress == aAddress && DecodeOriginQuery(aSent.mBytes);
    });
  }

  Reactor* mReactor;
  std::map<std::string, StreamOriginExchange*> mExchanges; ///< By address.
  std::vector<Datagram> mSent;
  std::function<bool(const std::string&, const std::string&)> mIsLost;
  int mCopies = 1; ///< Of each datagram that is delivered.
  Duration mDelay{ 0 };
};

/// One VM.
struct Vm
{
  Vm(const StreamOriginExchangeSettings& aSettings,
     const VmRecord& aRecord,
     Reactor* aReactor,
     PeerSender* aSender)
    : mRecord(aRecord)
    , mExchange(aSettings, aRecord, aReactor, aSender, &mRecorder)
  {
  }

  const std::vector<Found>& Results() const { return mRecorder.mFound; }

  VmRecord mRecord;
  Recorder mRecorder;
  StreamOriginExchange mExchange;
};

bool
IsNegative(const std::string& aBytes)
{
  const auto response = DecodeOriginResponse(aBytes);
  return response && !response->mOrigin;
}

bool
IsNotice(const std::string& aBytes)
{
  return DecodeOriginNotice(aBytes).has_value();
}

/// A fleet of six VMs in three zones.
struct FleetFixture
{
  static constexpr int kVms = 6;

  FleetFixture()
    : mNetwork(mReactor.get())
  {
    mSettings.mLookupTimeout = kLookupTimeout;
    for (int n = 0; n < kVms; ++n) {
      const std::string name = "vm-" + std::to_string(n);
      mRecords[name] = { name,
                         "zone-" + std::to_string(n % 3),
                         "10.0.0." + std::to_string(n + 1) + ":7600" };
    }
  }

  void Start()
  {
    for (const auto& [name, record] : mRecords) {
      StartVm(record);
    }
    RunFor(2 * mSettings.mCatchUp.mRetryInterval); // All have been answered.
  }

  void StartVm(const VmRecord& aRecord)
  {
    auto vm =
      std::make_unique<Vm>(mSettings, aRecord, mReactor.get(), &mNetwork);
    vm->mExchange.SetVms(mRecords);
    mNetwork.mExchanges[aRecord.mPeerAddress] = &vm->mExchange;
    mVms[aRecord.mName] = std::move(vm);
  }

  void Kill(const std::string& aName)
  {
    mNetwork.mExchanges.erase(mVms.at(aName)->mRecord.mPeerAddress);
    mVms.erase(aName);
  }

  /// Returns the names of the VMs that keep a key, best first.
  std::vector<std::string> ReplicasOf(const std::string& aKey) const
  {
    StreamOriginReplicas replicas(mSettings.mReplicas, "");
    replicas.SetVms(mRecords);
    std::vector<std::string> names;
    for (const VmRecord& it : replicas.ReplicasOf(aKey)) {
      names.push_back(it.mName);
    }
    return names;
  }

  /// Returns the VMs that do not keep a key.
  std::vector<Vm*> OthersFor(const std::string& aKey)
  {
    const std::vector<std::string> replicas = ReplicasOf(aKey);
    std::vector<Vm*> others;
    for (const auto& [name, vm] : mVms) {
      if (std::count(replicas.begin(), replicas.end(), name) == 0) {
        others.push_back(vm.get());
      }
    }
    return others;
  }

  void RunFor(Duration aDuration)
  {
    bool isOver = false;
    mReactor->Schedule(aDuration, [&] { isOver = true; });
    BOOST_REQUIRE(RunUntil(*mReactor, [&] { return isOver; }));
  }

  /// Announces an origin and waits until it has arrived.
  void Announce(Vm& aVm, const std::string& aKey = kKey)
  {
    aVm.mExchange.Announce(aKey, kOrigin);
    RunFor(mSettings.mBatchDelay + 10ms);
  }

  /// Looks a key up and returns the result.
  std::optional<StreamOrigin> Find(Vm& aVm, const std::string& aKey = kKey)
  {
    const std::size_t before = aVm.Results().size();
    aVm.mExchange.Find(aKey);
    BOOST_REQUIRE(
      RunUntil(*mReactor, [&] { return aVm.Results().size() > before; }));
    BOOST_TEST(aVm.Results().size() == before + 1);
    BOOST_TEST(aVm.Results().back().mKey == aKey);
    return aVm.Results().back().mOrigin;
  }

  std::unique_ptr<Reactor> mReactor = Reactor::Create();
  Network mNetwork;
  StreamOriginExchangeSettings mSettings;
  VmRecords mRecords;
  std::map<std::string, std::unique_ptr<Vm>> mVms;
};

} // namespace

// Guards against a stream that no VM but the one that began it can continue.
BOOST_FIXTURE_TEST_CASE(EveryVmFindsAnOriginAfterTheLossOfItsVm, FleetFixture)
{
  Start();
  for (int n = 0; n < 20; ++n) {
    Announce(*mVms.at("vm-0"), "attempt-" + std::to_string(n));
  }
  Kill("vm-0");
  for (const auto& [name, vm] : mVms) {
    for (int n = 0; n < 20; ++n) {
      const auto found = Find(*vm, "attempt-" + std::to_string(n));
      BOOST_REQUIRE(found.has_value());
      BOOST_TEST((*found == kOrigin));
    }
  }
}

// Guards against replicas that stay empty after their restart, since their
// registrations are as before, so that the loss of the VM that began a stream
// leaves nobody who knows it (LOST).
BOOST_FIXTURE_TEST_CASE(RestartedReplicasAreToldAgain, FleetFixture)
{
  Start();
  RunFor(50ms);
  for (int n = 0; n < 20; ++n) {
    Announce(*mVms.at("vm-0"), "attempt-" + std::to_string(n));
  }
  int lost = 0;
  mNetwork.mIsLost = [&](const std::string&, const std::string&) {
    return ++lost % 4 == 0; // A request, an answer or a notice.
  };
  for (int n = 1; n < kVms; ++n) {
    const VmRecord& record = mRecords.at("vm-" + std::to_string(n));
    Kill(record.mName);
    StartVm(record);
    RunFor(250ms);
  }
  mNetwork.mIsLost = nullptr;
  Kill("vm-0");
  int found = 0;
  for (int n = 0; n < 20; ++n) {
    found += Find(*mVms.at("vm-1"), "attempt-" + std::to_string(n)) ? 1 : 0;
  }
  BOOST_TEST(found == 20);
}

// Guards against the loss of origins together with two VMs that keep them.
BOOST_FIXTURE_TEST_CASE(OneLivingReplicaSuffices, FleetFixture)
{
  Start();
  const std::vector<Vm*> others = OthersFor(kKey);
  Announce(*others.at(0));
  Kill(ReplicasOf(kKey).at(0));
  Kill(ReplicasOf(kKey).at(2));
  BOOST_TEST((Find(*others.at(1)) == kOrigin));
}

// Guards against a wait for other VMs although the origin is known.
BOOST_FIXTURE_TEST_CASE(AnOwnOriginIsFoundAtOnce, FleetFixture)
{
  Start();
  Vm& vm = *mVms.at("vm-0");
  vm.mExchange.Announce(kKey, kOrigin);
  vm.mExchange.Find(kKey);
  BOOST_REQUIRE(vm.Results().size() == 1U);
  BOOST_TEST((vm.Results()[0].mOrigin == kOrigin));
  BOOST_TEST(vm.mExchange.Counts().mFoundHere == 1U);
  BOOST_TEST(vm.mExchange.Counts().mQueriesSent == 0U);
}

// Guards against an answer "unknown" from a replica that has just joined.
BOOST_FIXTURE_TEST_CASE(AReplicaThatDoesNotKnowDoesNotDecide, FleetFixture)
{
  Start();
  const std::vector<Vm*> others = OthersFor(kKey);
  Announce(*others.at(0));
  for (const int replica : { 0, 1 }) { // Restarted without origins.
    const std::string name = ReplicasOf(kKey).at(replica);
    const VmRecord record = mVms.at(name)->mRecord;
    Kill(name);
    StartVm(record);
  }
  BOOST_TEST((Find(*others.at(1)) == kOrigin));
  BOOST_TEST((Find(*mVms.at(ReplicasOf(kKey).at(0))) == kOrigin));
}

// Guards against a VM that joins and takes over keys that nobody then finds.
BOOST_FIXTURE_TEST_CASE(OriginsAreFoundAfterAVmHasJoined, FleetFixture)
{
  const VmRecord joined = mRecords.at("vm-5");
  mRecords.erase("vm-5");
  Start();
  for (int n = 0; n < 20; ++n) {
    Announce(*mVms.at("vm-0"), "attempt-" + std::to_string(n));
  }
  mRecords["vm-5"] = joined;
  for (const auto& [name, vm] : mVms) {
    vm->mExchange.SetVms(mRecords);
  }
  StartVm(joined);
  for (int n = 0; n < 20; ++n) {
    const std::string key = "attempt-" + std::to_string(n);
    BOOST_TEST((Find(*mVms.at("vm-5"), key) == kOrigin));
    BOOST_TEST((Find(*mVms.at("vm-1"), key) == kOrigin));
  }
}

// Guards against origins that are lost because their VM did not know the others
// yet when the stream began.
BOOST_FIXTURE_TEST_CASE(OriginsAreSentOnceTheVmsAreKnown, FleetFixture)
{
  Start();
  Vm& first = *mVms.at("vm-0");
  first.mExchange.SetVms({});
  Announce(first);
  first.mExchange.SetVms(mRecords);
  RunFor(mSettings.mBatchDelay + 10ms);
  const std::size_t sent = mNetwork.mSent.size();
  BOOST_TEST(sent > 0U);
  first.mExchange.SetVms(mRecords); // They have been sent it already.
  RunFor(mSettings.mBatchDelay + 10ms);
  BOOST_TEST(mNetwork.mSent.size() == sent);
  Kill("vm-0");
  for (const auto& [name, vm] : mVms) {
    BOOST_TEST((Find(*vm) == kOrigin));
  }
}

// Guards against a wait until the timeout although all VMs have responded.
BOOST_FIXTURE_TEST_CASE(AllNegativeResponsesEndALookup, FleetFixture)
{
  mSettings.mLookupTimeout = 10s;
  mSettings.mRetryInterval = 5s;
  Start();
  const TimePoint start = Reactor::ReadClock();
  Vm& vm = *OthersFor(kKey).at(0);
  BOOST_TEST(!Find(vm).has_value());
  BOOST_TEST((Reactor::ReadClock() - start < 5s));
  BOOST_TEST(vm.mExchange.Counts().mQueriesSent == 3U);
  BOOST_TEST(vm.mExchange.Counts().mUnknown == 1U);
}

// Guards against a duplicated negative response that counts for another VM.
BOOST_FIXTURE_TEST_CASE(DuplicatesOfAResponseCountOnce, FleetFixture)
{
  Start();
  const std::vector<Vm*> others = OthersFor(kKey);
  Announce(*others.at(0));
  // One replica does not know; the responses of the others are delayed by loss.
  const std::string name = ReplicasOf(kKey).at(0);
  const VmRecord record = mVms.at(name)->mRecord;
  Kill(name);
  StartVm(record);
  mNetwork.mCopies = 4;
  int positives = 0;
  mNetwork.mIsLost = [&](const std::string&, const std::string& aBytes) {
    const auto response = DecodeOriginResponse(aBytes);
    return response && response->mOrigin && ++positives <= 2;
  };
  BOOST_TEST((Find(*others.at(1)) == kOrigin));
}

// Guards against a lookup that fails because one round of datagrams is lost.
BOOST_FIXTURE_TEST_CASE(QueriesAreRepeatedUntilTheyAreAnswered, FleetFixture)
{
  Start();
  const std::vector<Vm*> others = OthersFor(kKey);
  Announce(*others.at(0));
  int queries = 0;
  mNetwork.mIsLost = [&](const std::string&, const std::string& aBytes) {
    return DecodeOriginQuery(aBytes) && ++queries <= 6;
  };
  BOOST_TEST((Find(*others.at(1)) == kOrigin));
  BOOST_TEST(others.at(1)->mExchange.Counts().mQueriesSent == 9U);
}

// Guards against repeated queries to VMs that have responded.
BOOST_FIXTURE_TEST_CASE(OnlyVmsWithoutAResponseAreAskedAgain, FleetFixture)
{
  Start();
  const std::string silent = ReplicasOf(kKey).at(1);
  const std::string silentAddress = mRecords.at(silent).mPeerAddress;
  Kill(silent);
  Vm& vm = *OthersFor(kKey).at(0);
  BOOST_TEST(!Find(vm).has_value());
  for (const std::string& name : ReplicasOf(kKey)) {
    const std::string& address = mRecords.at(name).mPeerAddress;
    if (address == silentAddress) {
      BOOST_TEST(mNetwork.CountQueries(address) > 1U);
    } else {
      BOOST_TEST(mNetwork.CountQueries(address) == 1U);
    }
  }
}

// Guards against a lookup that never ends because no VM responds.
BOOST_FIXTURE_TEST_CASE(ALookupEndsAtItsTimeout, FleetFixture)
{
  Start();
  Vm& vm = *OthersFor(kKey).at(0);
  for (const std::string& name : ReplicasOf(kKey)) {
    Kill(name);
  }
  const TimePoint start = Reactor::ReadClock();
  BOOST_TEST(!Find(vm).has_value());
  const Duration duration = Reactor::ReadClock() - start;
  BOOST_TEST((duration >= kLookupTimeout - 10ms));
  BOOST_TEST((duration < 10s));
  BOOST_TEST(vm.mExchange.OpenLookups() == 0U);
  BOOST_TEST(vm.mExchange.Counts().mUnknown == 1U);
}

// Guards against several answers, or several times the queries, for one key.
BOOST_FIXTURE_TEST_CASE(FindsOfOneKeyAreOneLookup, FleetFixture)
{
  Start();
  const std::vector<Vm*> others = OthersFor(kKey);
  Announce(*others.at(0));
  Vm& vm = *others.at(1);
  vm.mExchange.Find(kKey);
  vm.mExchange.Find(kKey);
  BOOST_TEST(vm.mExchange.OpenLookups() == 1U);
  BOOST_TEST((Find(vm) == kOrigin));
  RunFor(kLookupTimeout + 50ms);
  BOOST_TEST(vm.Results().size() == 1U);
  BOOST_TEST(vm.mExchange.Counts().mQueriesSent == 3U);
}

// Guards against lookups of different keys that get each other's results.
BOOST_FIXTURE_TEST_CASE(ConcurrentLookupsGetTheirOwnResults, FleetFixture)
{
  Start();
  Vm& from = *mVms.at("vm-0");
  constexpr int kKeys = 50;
  for (int n = 0; n < kKeys; n += 2) {
    from.mExchange.Announce(std::to_string(n),
                            { "model", "v" + std::to_string(n) });
  }
  RunFor(mSettings.mBatchDelay + 20ms);
  Vm& vm = *mVms.at("vm-1");
  for (int n = 0; n < kKeys; ++n) {
    vm.mExchange.Find(std::to_string(n));
  }
  BOOST_REQUIRE(
    RunUntil(*mReactor, [&] { return vm.Results().size() == kKeys; }));
  for (const Found& it : vm.Results()) {
    const bool isKnown = std::stoi(it.mKey) % 2 == 0;
    BOOST_TEST(it.mOrigin.has_value() == isKnown);
    if (it.mOrigin) {
      BOOST_TEST(it.mOrigin->mSoftwareVersion == "v" + it.mKey);
    }
  }
}

// Guards against a late response that ends a later lookup, or is lost.
BOOST_FIXTURE_TEST_CASE(ALatePositiveResponseIsKept, FleetFixture)
{
  Start();
  const std::vector<Vm*> others = OthersFor(kKey);
  Announce(*others.at(0));
  mNetwork.mDelay = kLookupTimeout;
  Vm& vm = *others.at(1);
  BOOST_TEST(!Find(vm).has_value());
  RunFor(kLookupTimeout * 2);
  BOOST_TEST(vm.Results().size() == 1U);
  BOOST_TEST((Find(vm) == kOrigin));
  BOOST_TEST(vm.mExchange.Counts().mFoundHere == 1U);
}

// Guards against an outdated negative response that ends a later lookup.
BOOST_FIXTURE_TEST_CASE(NegativeResponsesToAnEarlierLookupDoNotCount,
                        FleetFixture)
{
  Start();
  const std::vector<Vm*> others = OthersFor(kKey);
  Vm& vm = *others.at(1);
  std::vector<Network::Datagram> negatives;
  mNetwork.mIsLost = [&](const std::string& aAddress,
                         const std::string& aBytes) {
    if (IsNegative(aBytes)) {
      negatives.push_back({ aAddress, aBytes });
    }
    return IsNegative(aBytes);
  };
  BOOST_TEST(!Find(vm).has_value());
  Announce(*others.at(0));
  vm.mExchange.Find(kKey);
  BOOST_REQUIRE(negatives.size() >= 3U);
  for (const Network::Datagram& it : negatives) {
    BOOST_TEST(vm.mExchange.OnMessage(it.mBytes));
  }
  BOOST_TEST(vm.Results().size() == 1U);
  BOOST_TEST((Find(vm) == kOrigin));
}

// Guards against a lookup that misses a notice which arrives while it is open.
BOOST_FIXTURE_TEST_CASE(ANoticeEndsAnOpenLookup, FleetFixture)
{
  Start();
  Vm& replica = *mVms.at(ReplicasOf(kKey).at(0));
  for (const int other : { 1, 2 }) {
    Kill(ReplicasOf(kKey).at(other));
  }
  replica.mExchange.Find(kKey);
  OthersFor(kKey).at(0)->mExchange.Announce(kKey, kOrigin);
  BOOST_TEST((Find(replica) == kOrigin));
}

// Guards against a change of a stream's origin after it has begun.
BOOST_FIXTURE_TEST_CASE(TheFirstOriginOfAKeyIsKept, FleetFixture)
{
  Start();
  Vm& vm = *mVms.at("vm-0");
  Announce(vm);
  vm.mExchange.Announce(kKey, kOtherOrigin);
  RunFor(mSettings.mBatchDelay + 10ms);
  for (const auto& [name, other] : mVms) {
    BOOST_TEST((Find(*other) == kOrigin));
  }
}

// Guards against one datagram for each stream when many begin at once.
BOOST_FIXTURE_TEST_CASE(NoticesToOneVmAreSentTogether, FleetFixture)
{
  Start();
  Vm& vm = *mVms.at("vm-0");
  for (int n = 0; n < 10; ++n) {
    vm.mExchange.Announce(std::to_string(n), kOrigin);
  }
  BOOST_TEST(mNetwork.mSent.empty());
  RunFor(mSettings.mBatchDelay + 10ms);
  BOOST_TEST(mNetwork.mSent.size() <= std::size_t(kVms - 1));
  BOOST_TEST(vm.mExchange.Counts().mNoticesSent == mNetwork.mSent.size());
}

// Guards against batches that the receiver rejects for their size.
BOOST_FIXTURE_TEST_CASE(AFullBatchIsSentAtOnce, FleetFixture)
{
  mSettings.mBatchDelay = 10s;
  Start();
  Vm& vm = *mVms.at("vm-0");
  for (int n = 0; n < 200; ++n) {
    vm.mExchange.Announce(std::to_string(n), kOrigin);
  }
  BOOST_TEST(!mNetwork.mSent.empty());
  for (const Network::Datagram& it : mNetwork.mSent) {
    const auto notice = DecodeOriginNotice(it.mBytes);
    BOOST_REQUIRE(notice.has_value());
    BOOST_TEST(notice->mOrigins.size() == kMaxOriginsPerNotice);
  }
}

// Guards against a delay where none is set.
BOOST_FIXTURE_TEST_CASE(WithoutABatchDelayNoticesGoOutAtOnce, FleetFixture)
{
  mSettings.mBatchDelay = 0ms;
  Start();
  OthersFor(kKey).at(0)->mExchange.Announce(kKey, kOrigin);
  BOOST_REQUIRE(mNetwork.mSent.size() == 3U);
  for (const Network::Datagram& it : mNetwork.mSent) {
    BOOST_TEST(IsNotice(it.mBytes));
  }
}

// Guards against unbounded memory when many streams are resumed at once.
BOOST_FIXTURE_TEST_CASE(LookupsBeyondTheLimitFindNothing, FleetFixture)
{
  mSettings.mMaxLookups = 2;
  Start();
  Vm& vm = *mVms.at("vm-0");
  mNetwork.mIsLost = [](const std::string&, const std::string&) {
    return true;
  };
  for (const char* key : { "a", "b", "c" }) {
    vm.mExchange.Find(key);
  }
  BOOST_TEST(vm.mExchange.OpenLookups() == 2U);
  BOOST_REQUIRE(vm.Results().size() == 1U);
  BOOST_TEST(vm.Results()[0].mKey == "c");
  BOOST_TEST(!vm.Results()[0].mOrigin.has_value());
  BOOST_TEST(vm.mExchange.Counts().mRefused == 1U);
}

// Guards against keys that other VMs reject, in both directions.
BOOST_FIXTURE_TEST_CASE(KeysThatAreTooLongAreNotSent, FleetFixture)
{
  Start();
  Vm& vm = *mVms.at("vm-0");
  const std::string key(kMaxOriginKeyBytes + 1, 'k');
  vm.mExchange.Announce(key, kOrigin);
  BOOST_TEST(!Find(vm, key).has_value());
  BOOST_TEST(!Find(vm, "").has_value());
  RunFor(mSettings.mBatchDelay + 10ms);
  BOOST_TEST(mNetwork.mSent.empty());
}

// Guards against a fleet of one VM that waits for others, or never answers.
BOOST_FIXTURE_TEST_CASE(AVmWithoutPeersAnswersAtOnce, FleetFixture)
{
  mRecords = { { "vm-0", mRecords.at("vm-0") } };
  Start();
  Vm& vm = *mVms.at("vm-0");
  vm.mExchange.Find(kKey);
  BOOST_REQUIRE(vm.Results().size() == 1U);
  BOOST_TEST(!vm.Results()[0].mOrigin.has_value());
  vm.mExchange.Announce(kKey, kOrigin);
  BOOST_TEST((Find(vm) == kOrigin));
  BOOST_TEST(mNetwork.mSent.empty());
}

// Guards against a crash by a listener that looks a key up again at once.
BOOST_FIXTURE_TEST_CASE(AListenerMayLookUpAgain, FleetFixture)
{
  Start();
  Vm& vm = *OthersFor(kKey).at(0);
  vm.mRecorder.mOnFound = [&] {
    if (vm.Results().size() == 1) {
      vm.mExchange.Find(kKey);
    }
  };
  vm.mExchange.Find(kKey);
  BOOST_REQUIRE(RunUntil(*mReactor, [&] { return vm.Results().size() == 2; }));
  BOOST_TEST(vm.mExchange.OpenLookups() == 0U);
}

// Guards against timers that run after the exchange is destroyed.
BOOST_FIXTURE_TEST_CASE(AnExchangeIsDestroyedWithOpenLookups, FleetFixture)
{
  Start();
  Vm& vm = *OthersFor(kKey).at(0);
  vm.mExchange.Announce("another", kOrigin);
  vm.mExchange.Find(kKey);
  const std::string name = vm.mRecord.mName;
  Kill(name);
  RunFor(kLookupTimeout + 50ms);
}

// Guards against a reply to an address that is none.
BOOST_FIXTURE_TEST_CASE(AQueryWithoutAReplyAddressIsIgnored, FleetFixture)
{
  Start();
  Vm& vm = *mVms.at("vm-0");
  BOOST_TEST(vm.mExchange.OnMessage(EncodeOriginQuery({ 7, kKey, "nowhere" })));
  BOOST_TEST(!vm.mExchange.OnMessage("another message"));
  BOOST_TEST(mNetwork.mSent.empty());
}

namespace {

/// A VM with a socket of its own on a loopback address.
struct SocketVm : PeerSocketListener
{
  SocketVm(const VmRecord& aRecord, Reactor* aReactor)
    : mSocket(PeerSocket::Create(aRecord.mPeerAddress, aReactor, this))
  {
    BOOST_REQUIRE(mSocket != nullptr);
    mVm = std::make_unique<Vm>(
      StreamOriginExchangeSettings(), aRecord, aReactor, mSocket.get());
  }

  // See: PeerSocketListener
  void OnMessage(std::string_view aBytes) override
  {
    BOOST_TEST(mVm->mExchange.OnMessage(aBytes));
  }

  std::unique_ptr<PeerSocket> mSocket;
  std::unique_ptr<Vm> mVm;
};

std::string
LoopbackAddress(int aNumber)
{
  const auto pid = static_cast<unsigned int>(::getpid());
  return "127." + std::to_string(64 + (pid >> 14) % 64) + "." +
         std::to_string((pid >> 6) % 256) + "." +
         std::to_string(pid % 64 * 4 + aNumber) + ":7600";
}

} // namespace

// Guards against messages that work in memory but not between sockets.
BOOST_AUTO_TEST_CASE(VmsFindOriginsOverSockets)
{
  const std::unique_ptr<Reactor> reactor = Reactor::Create();
  VmRecords records;
  for (int n = 0; n < 3; ++n) {
    const std::string name = "vm-" + std::to_string(n);
    records[name] = { name, "zone-" + std::to_string(n), LoopbackAddress(n) };
  }
  std::vector<std::unique_ptr<SocketVm>> vms;
  for (const auto& [name, record] : records) {
    vms.push_back(std::make_unique<SocketVm>(record, reactor.get()));
    vms.back()->mVm->mExchange.SetVms(records);
  }
  vms[0]->mVm->mExchange.Announce(kKey, kOrigin);
  BOOST_REQUIRE(RunUntil(*reactor, [&] {
    // As notices, and again when VMs that have started ask for what there is.
    return vms[1]->mVm->mExchange.Counts().mOriginsReceived >= 1 &&
           vms[2]->mVm->mExchange.Counts().mOriginsReceived >= 1;
  }));
  vms.erase(vms.begin());
  const VmRecord restarted = records.at("vm-1");
  vms.erase(vms.begin());
  vms.push_back(std::make_unique<SocketVm>(restarted, reactor.get()));
  vms.back()->mVm->mExchange.SetVms(records);
  vms.back()->mVm->mExchange.Find(kKey);
  const std::vector<Found>& found = vms.back()->mVm->Results();
  BOOST_REQUIRE(RunUntil(*reactor, [&] { return !found.empty(); }));
  BOOST_TEST((found[0].mOrigin == kOrigin));
  BOOST_TEST(vms.back()->mVm->mExchange.Counts().mFoundAtPeers == 1U);
}
