/// Tests how VMs find the origin of a stream by its content, over an in-memory
/// network.
#define BOOST_TEST_MODULE ContentOriginExchange
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/ContentOriginExchange.h>
#include <Shell/ShellFixture.h>

#include <algorithm>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

const StreamOrigin kV1{ "model", "v1" };
const StreamOrigin kV2{ "model", "v2" };
const std::string kKey = "w\n0123";

constexpr Duration kLookupTimeout = 120ms;
constexpr Duration kCertainPeriod = 60ms;

/// Records the results of lookups.
struct Recorder : StreamOriginListener
{
  // See: StreamOriginListener
  void OnOriginFound(const std::string&,
                     std::optional<StreamOrigin> aOrigin) override
  {
    mFound.push_back(std::move(aOrigin));
  }

  std::vector<std::optional<StreamOrigin>> mFound;
};

/// Datagrams between exchanges in this process, each delivered by an event of
/// its own.
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
    if (!DecodeCatchUpRequest(OriginKind::Content, aBytes) &&
        !DecodeCatchUpDone(OriginKind::Content, aBytes)) {
      ++mSent;
      mBytes += aBytes.size();
    }
    if (mIsLost && mIsLost(aAddress)) {
      return;
    }
    mReactor->Schedule(Duration(0), [this, aAddress, aBytes] {
      const auto to = mExchanges.find(aAddress);
      if (to != mExchanges.end()) {
        BOOST_TEST(to->second->OnMessage(aBytes));
      }
    });
  }

  Reactor* mReactor;
  std::map<std::string, ContentOriginExchange*> mExchanges; ///< By address.
  std::size_t mSent = 0;
  std::size_t mBytes = 0;
  std::function<bool(const std::string&)> mIsLost;
};

struct Vm
{
  VmRecord mRecord;
  Recorder mRecorder;
  std::unique_ptr<ContentOriginExchange> mExchange;
};

/// A fleet of six VMs in three zones, all of which run for long enough to be
/// witnesses.
struct FleetFixture
{
  FleetFixture()
    : mNetwork(mReactor.get())
  {
    mSettings.mLookupTimeout = kLookupTimeout;
    mSettings.mCertainPeriod = kCertainPeriod;
    for (int n = 0; n < 6; ++n) {
      const std::string name = "vm-" + std::to_string(n);
      mRecords[name] = { name,
                         "zone-" + std::to_string(n % 3),
                         "10.0.0." + std::to_string(n + 1) + ":7600" };
    }
    for (const auto& [name, record] : mRecords) {
      StartVm(name);
    }
    RunFor(kCertainPeriod + 10ms);
  }

  void StartVm(const std::string& aName)
  {
    auto vm = std::make_unique<Vm>();
    vm->mRecord = mRecords.at(aName);
    vm->mExchange = std::make_unique<ContentOriginExchange>(
      mSettings, vm->mRecord, mReactor.get(), &mNetwork, &vm->mRecorder);
    vm->mExchange->SetVms(mRecords);
    mNetwork.mExchanges[vm->mRecord.mPeerAddress] = vm->mExchange.get();
    mVms[aName] = std::move(vm);
  }

  void Kill(const std::string& aName)
  {
    mNetwork.mExchanges.erase(mRecords.at(aName).mPeerAddress);
    mVms.erase(aName);
  }

  /// Returns the names of the VMs that keep the key, best first.
  std::vector<std::string> Replicas() const
  {
    StreamOriginReplicas replicas(mSettings.mReplicas, "");
    replicas.SetVms(mRecords);
    std::vector<std::string> names;
    for (const VmRecord& it : replicas.ReplicasOf(kKey)) {
      names.push_back(it.mName);
    }
    return names;
  }

  /// Returns the names of the VMs that do not keep the key.
  std::vector<std::string> Others() const
  {
    const std::vector<std::string> replicas = Replicas();
    std::vector<std::string> others;
    for (const auto& [name, vm] : mVms) {
      if (std::count(replicas.begin(), replicas.end(), name) == 0) {
        others.push_back(name);
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

  void Announce(const std::string& aVm, const StreamOrigin& aOrigin)
  {
    mVms.at(aVm)->mExchange->Announce(kKey, aOrigin);
    RunFor(5ms);
  }

  std::optional<StreamOrigin> Find(const std::string& aVm)
  {
    Vm& vm = *mVms.at(aVm);
    const std::size_t before = vm.mRecorder.mFound.size();
    vm.mExchange->Find(kKey);
    BOOST_REQUIRE(
      RunUntil(*mReactor, [&] { return vm.mRecorder.mFound.size() > before; }));
    return vm.mRecorder.mFound.back();
  }

  bool IsFound(const std::string& aVm, const StreamOrigin& aOrigin)
  {
    const auto found = Find(aVm);
    return found && *found == aOrigin;
  }

  std::unique_ptr<Reactor> mReactor = Reactor::Create();
  Network mNetwork;
  ContentOriginExchangeSettings mSettings;
  VmRecords mRecords;
  std::map<std::string, std::unique_ptr<Vm>> mVms;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Fleet, FleetFixture)

// Guards against a stream that can't be resumed after the loss of its VM.
BOOST_AUTO_TEST_CASE(EveryVmFindsAnOriginAfterTheLossOfItsVm)
{
  Announce("vm-0", kV1);
  Kill("vm-0");
  for (const auto& [name, vm] : mVms) {
    BOOST_TEST(IsFound(name, kV1), name);
  }
}

// Guards against a notice that waits in a batch while the caller has the event.
BOOST_AUTO_TEST_CASE(AnOriginIsSentBeforeAnnounceReturns)
{
  const std::string vm = Others().front();
  mVms.at(vm)->mExchange->Announce(kKey, kV1);
  BOOST_TEST(mNetwork.mSent == 3U);
  BOOST_TEST_MESSAGE("bytes of a notice: " << mNetwork.mBytes / 3);
  Kill(vm);
  RunFor(5ms);
  BOOST_TEST(IsFound(Others().front(), kV1));
}

// Guards against an answer by chance when streams of one content began at two
// versions, in any order.
BOOST_AUTO_TEST_CASE(AContentOfTwoOriginsHasNone)
{
  Announce("vm-0", kV2);
  Announce("vm-1", kV1);
  Announce("vm-2", kV2);
  for (const auto& [name, vm] : mVms) {
    BOOST_TEST(!Find(name).has_value(), name);
  }
}

// Guards against a replica that missed a second origin and responds first, or
// the VM that began the stream and relies on its own memory.
BOOST_AUTO_TEST_CASE(AReplicaThatKnowsOneOriginDoesNotDecide)
{
  const std::vector<std::string> replicas = Replicas();
  const std::string vm = Others().front();
  Announce(vm, kV1);
  const auto knowing = mRecords.at(replicas.at(2)).mPeerAddress;
  mNetwork.mIsLost = [&](const std::string& aAddress) {
    return aAddress != knowing;
  };
  Announce(Others().back(), kV2);
  mNetwork.mIsLost = nullptr;
  BOOST_TEST(!Find(vm).has_value());
  BOOST_TEST(!Find(replicas.at(0)).has_value());
  BOOST_TEST(mVms.at(vm)->mExchange->Counts().mAmbiguous == 1U);
}

// Guards against VMs that started after a second origin was announced and take
// the one that they heard for the only one.
BOOST_AUTO_TEST_CASE(VmsThatHaveJustStartedAreNoWitnesses)
{
  const std::string vm = Others().front();
  Announce(vm, kV1);
  Kill(vm);
  for (const std::string& it : Replicas()) {
    Kill(it);
    StartVm(it);
  }
  Announce(Others().front(), kV2);
  BOOST_TEST(!Find(Others().back()).has_value());
  BOOST_TEST(mVms.at(Others().back())->mExchange->Counts().mUncertain == 1U);
  RunFor(kCertainPeriod);
  BOOST_TEST(IsFound(Others().back(), kV2));
}

// Guards against replicas that stay empty after their restart, since their
// registrations are as before (LOST).
BOOST_AUTO_TEST_CASE(RestartedReplicasAreToldAgain)
{
  const std::string vm = Others().front();
  Announce(vm, kV1);
  RunFor(5ms);
  for (const std::string& it : Replicas()) {
    Kill(it);
    StartVm(it);
    RunFor(5ms);
  }
  Kill(vm);
  RunFor(kCertainPeriod);
  BOOST_TEST(IsFound(Others().back(), kV1));
}

// Guards against a VM that has just started and can't resume what others know.
BOOST_AUTO_TEST_CASE(AVmThatHasJustStartedAsksTheOthers)
{
  Announce("vm-0", kV1);
  Kill("vm-0");
  StartVm("vm-0");
  BOOST_TEST(IsFound("vm-0", kV1));
}

// Guards against a VM that is cut off and continues what it knows itself.
BOOST_AUTO_TEST_CASE(AVmThatIsCutOffFindsNothing)
{
  const std::string vm = Others().front();
  Announce(vm, kV1);
  mNetwork.mIsLost = [](const std::string&) { return true; };
  BOOST_TEST(!Find(vm).has_value());
}

// Guards against a stream that began at a VM of a build that announces no
// contents, while another of its content is announced.
BOOST_AUTO_TEST_CASE(VmsBesideThoseThatAnnounceNothingAreNoWitnesses)
{
  const std::string vm = Others().front();
  for (const auto& [name, it] : mVms) {
    it->mExchange->OnUnannounced();
  }
  Announce(vm, kV1);
  BOOST_TEST(!Find(vm).has_value());
  RunFor(kCertainPeriod);
  BOOST_TEST(IsFound(vm, kV1));
}

// Guards against VMs that replace others, don't know what those kept, and
// confirm each other.
BOOST_AUTO_TEST_CASE(VmsThatReplaceOthersAreNoWitnessesAtOnce)
{
  const std::vector<std::string> replicas = Replicas();
  const std::string vm = Others().front();
  Announce(vm, kV1);
  Kill(vm);
  mRecords.erase(vm);
  for (const std::string& it : replicas) {
    Kill(it);
    mRecords.erase(it);
  }
  for (const auto& [name, it] : mVms) {
    it->mExchange->SetVms(mRecords);
  }
  const std::string left = mVms.begin()->first;
  Announce(left, kV2);
  BOOST_TEST(!Find(left).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Table)

namespace {

const TimePoint kStart{ 1000s };

} // namespace

// Guards against a content that becomes unambiguous while either stream may
// still be resumed.
BOOST_AUTO_TEST_CASE(AContentIsAmbiguousForAsLongAsOriginsAreKept)
{
  ContentOriginTable table({ 60s, 100 }, kStart);
  const auto count = [&](Duration aAfter) {
    return table.Find("k", kStart + aAfter).mOrigins.size();
  };
  table.Add("k", kV1, kStart);
  table.Add("k", kV2, kStart + 10s);
  table.Add("k", kV1, kStart + 20s);
  BOOST_TEST(count(69s) == 2U);
  BOOST_TEST(count(71s) == 1U);
  BOOST_TEST((table.Find("k", kStart + 71s).mOrigins.front() == kV1));
  BOOST_TEST(count(81s) == 0U);
  BOOST_TEST(table.Size() == 0U);
}

// Guards against origins that are dropped for want of memory and then count as
// never announced.
BOOST_AUTO_TEST_CASE(ATableThatDroppedOriginsIsNotComplete)
{
  ContentOriginTable table({ 60s, 2 }, kStart - 1h);
  table.Add("k", kV1, kStart);
  table.Add("l", kV1, kStart + 1s);
  BOOST_TEST((table.Find("k", kStart + 1s).mCompleteFor == 60s));
  table.Add("k", kV2, kStart + 2s);
  const ContentOrigins known = table.Find("k", kStart + 5s);
  BOOST_TEST(known.mOrigins.size() == 1U);
  BOOST_TEST((known.mCompleteFor == 5s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Codec)

// Guards against messages that arrive changed, or are taken for those by which
// builds without contents would learn an origin.
BOOST_AUTO_TEST_CASE(MessagesArriveAsTheyWereSent)
{
  const std::string notice = EncodeContentOriginNotice({ kKey, kV1 });
  BOOST_TEST((DecodeContentOriginNotice(notice)->mOrigin == kV1));
  BOOST_TEST(DecodeContentOriginNotice(notice)->mKey == kKey);
  BOOST_TEST(!DecodeOriginNotice(notice).has_value());
  const std::string query =
    EncodeContentOriginQuery({ 7, kKey, "10.0.0.1:7600" });
  BOOST_TEST(DecodeContentOriginQuery(query)->mId == 7U);
  BOOST_TEST(!DecodeOriginQuery(query).has_value());
  const auto bytes =
    EncodeContentOriginResponse({ 7, kKey, { { kV1, kV2 }, 31500ms } });
  BOOST_TEST(!DecodeOriginResponse(bytes).has_value());
  const auto response = DecodeContentOriginResponse(bytes);
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->mId == 7U);
  BOOST_TEST(response->mKey == kKey);
  BOOST_TEST((response->mKnown.mCompleteFor == 31500ms));
  BOOST_TEST((response->mKnown.mOrigins == std::vector{ kV1, kV2 }));
}

// Guards against messages that grow. CAPACITY.md states these sizes.
BOOST_AUTO_TEST_CASE(MessagesOfOneStreamAreSmall)
{
  const std::string key = "workspac\n" + std::string(32, 'd');
  const StreamOrigin origin{ std::string(12, 's'), std::string(12, 'v') };
  constexpr std::uint64_t kId = 0x0000ffffffffffffU;
  BOOST_TEST(EncodeContentOriginNotice({ key, origin }).size() == 74U);
  BOOST_TEST(
    EncodeContentOriginQuery({ kId, key, "100.100.100.100:7600" }).size() ==
    78U);
  BOOST_TEST(
    EncodeContentOriginResponse({ kId, key, { { origin }, 60s } }).size() ==
    88U);
}

// Guards against a crash by, or memory for, datagrams of other shapes.
BOOST_AUTO_TEST_CASE(MessagesOfOtherShapesAreRejected)
{
  const std::string longName(kMaxOriginNameBytes + 1, 'v');
  const std::string longKey(kMaxOriginKeyBytes + 1, 'k');
  BOOST_TEST(!DecodeContentOriginNotice(
                EncodeContentOriginNotice({ kKey, { "model", longName } }))
                .has_value());
  BOOST_TEST(
    !DecodeContentOriginNotice(EncodeContentOriginNotice({ longKey, kV1 }))
       .has_value());
  const std::vector<StreamOrigin> many(9, kV1);
  BOOST_TEST(!DecodeContentOriginResponse(
                EncodeContentOriginResponse({ 7, kKey, { many, 1s } }))
                .has_value());
  std::string bytes = EncodeContentOriginResponse({ 7, kKey, { { kV1 }, 1s } });
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    BOOST_TEST(!DecodeContentOriginResponse(bytes.substr(0, size)).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()
