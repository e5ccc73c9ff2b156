/// Tests how VMs keep the origins of open streams in the store: what outlives
/// all of them, and how often they write.
#define BOOST_TEST_MODULE OpenStreamStore
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/OpenStreamStore.h>
#include <Shell/ShellFixture.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

const std::string kTable = "open_streams";
const StreamOrigin kV1{ "model", "v1" };
const StreamOrigin kV2{ "model", "v2" };

/// A store in memory that can fail and be restored from a copy.
class MemoryStore : public RowStore
{
public:
  explicit MemoryStore(Reactor* aReactor)
    : mReactor(aReactor)
  {
  }

  // See: RowStore
  void ReadTable(const std::string& aTable, ReadCallback aCallback) override
  {
    mReactor->Post([this, aTable, aCallback] {
      if (mIsUnavailable) {
        aCallback(std::nullopt, { ReasonCode::Unreachable, "unavailable" });
        return;
      }
      std::vector<StoredRow> rows;
      for (const auto& [key, row] : mRows) {
        rows.push_back(row);
      }
      aCallback(std::move(rows), Reason());
    });
  }

  void Change(const RowChange& aChange, ChangeCallback aCallback) override
  {
    ++mWrites;
    const Reason reason = Apply(aChange);
    const bool isDone = reason.mCode == ReasonCode::None;
    mReactor->Post([aCallback, reason, isDone, version = mVersion] {
      aCallback(reason, isDone ? version : StoreVersion());
    });
  }

  std::optional<StoreClock> Clock() const override
  {
    return StoreClock{ mNowMs, Reactor::ReadClock(), mVersion.mEra };
  }
  std::uint64_t Era() const override { return mVersion.mEra; }

  Reactor* mReactor;
  std::map<std::string, StoredRow> mRows;
  StoreVersion mVersion{ 0, 1 };
  std::uint64_t mNowMs = 5000;
  int mWrites = 0;
  bool mIsUnavailable = false;

private:
  Reason Apply(const RowChange& aChange)
  {
    const auto row = mRows.find(aChange.mKey);
    const StoreVersion version =
      row == mRows.end() ? StoreVersion() : row->second.mVersion;
    if (mIsUnavailable) {
      return { ReasonCode::Unreachable, "unavailable" };
    }
    if (aChange.mExpectedVersion != version) {
      return { ReasonCode::Conflict, "" };
    }
    ++mVersion.mNumber;
    if (aChange.mValue) {
      mRows[aChange.mKey] = { aChange.mKey, *aChange.mValue, mVersion };
    } else {
      mRows.erase(aChange.mKey);
    }
    return {};
  }
};

struct StoreFixture : ShellFixture
{
  StoreFixture()
    : mStore(mReactor.get())
  {
    mSettings.mMinWriteInterval = 30ms;
    mSettings.mWriteIntervalPerVm = 1ms;
    mSettings.mRetryInterval = 10ms;
  }

  std::unique_ptr<OpenStreamStore> MakeVm(
    const std::string& aName,
    const std::set<std::string>& aServices = { "model" })
  {
    auto vm = std::make_unique<OpenStreamStore>(
      mSettings, aName, mReactor.get(), &mStore);
    vm->SetServices(aServices);
    return vm;
  }

  void RunFor(Duration aDuration)
  {
    bool isOver = false;
    mReactor->Schedule(aDuration, [&] { isOver = true; });
    BOOST_REQUIRE(Until([&] { return isOver; }));
  }

  /// Returns the origin that a VM which has just started finds.
  std::optional<StreamOrigin> Find(const std::string& aKey)
  {
    const auto vm = MakeVm("new");
    std::optional<std::optional<StreamOrigin>> found;
    vm->Read([&] { found = vm->Find(aKey); });
    BOOST_REQUIRE(Until([&] { return found.has_value(); }));
    return *found;
  }

  bool Holds(const std::string& aKey, const StreamOrigin& aOrigin)
  {
    return Find(aKey) == aOrigin;
  }

  MemoryStore mStore;
  OpenStreamStoreSettings mSettings;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Store, StoreFixture)

// Guards against streams of several versions that nobody can continue after the
// loss of all VMs (LOST).
BOOST_AUTO_TEST_CASE(OriginsOutliveAllVms)
{
  auto one = MakeVm("one");
  auto two = MakeVm("two");
  one->OnOpened("w/1", kV1);
  one->OnOpened("w/2", kV2);
  two->OnOpened("w/3", kV2);
  RunFor(100ms);
  one.reset();
  two.reset();
  BOOST_TEST(Holds("w/1", kV1));
  BOOST_TEST(Holds("w/2", kV2));
  BOOST_TEST(Holds("w/3", kV2));
  BOOST_TEST(!Find("w/4").has_value());
  BOOST_TEST(mStore.mWrites == 2);
}

// Guards against writes for streams whose origin the record tells.
BOOST_AUTO_TEST_CASE(OriginsAreWrittenWhileSeveralVersionsServe)
{
  const auto vm = MakeVm("one", {});
  vm->OnOpened("w/1", kV1);
  RunFor(60ms);
  BOOST_TEST(mStore.mWrites == 0);
  vm->SetServices({ "model" }); // A stream of before is still open.
  RunFor(60ms);
  BOOST_TEST(Holds("w/1", kV1));
  vm->SetServices({});
  RunFor(60ms);
  BOOST_TEST(mStore.mRows.empty());
}

// Guards against a successor that wipes out what its predecessor has written.
BOOST_AUTO_TEST_CASE(ASuccessorKeepsTheOriginsOfItsPredecessor)
{
  auto vm = MakeVm("one");
  vm->OnOpened("w/1", kV1);
  RunFor(60ms);
  vm = MakeVm("one");
  vm->OnOpened("w/2", kV2);
  RunFor(100ms);
  vm.reset();
  BOOST_TEST(Holds("w/1", kV1));
  BOOST_TEST(Holds("w/2", kV2));
}

// Guards against rows that grow, and writes for each stream.
BOOST_AUTO_TEST_CASE(RowsHoldOpenStreamsAndWritesAreBounded)
{
  const auto vm = MakeVm("one");
  for (int n = 0; n < 100; ++n) {
    vm->OnOpened("w/" + std::to_string(n), kV1);
    RunFor(1ms);
    vm->OnEnded("w/" + std::to_string(n));
  }
  vm->OnOpened("w/last", kV2);
  RunFor(60ms);
  BOOST_TEST(Holds("w/last", kV2));
  BOOST_TEST(!Find("w/50").has_value());
  BOOST_TEST(mStore.mWrites >= 2);
  BOOST_TEST(mStore.mWrites <= 20);
  vm->SetVmCount(1000);
  const int before = mStore.mWrites;
  for (int n = 0; n < 20; ++n) {
    vm->OnOpened("w/later" + std::to_string(n), kV1);
    RunFor(10ms);
  }
  BOOST_TEST(mStore.mWrites <= before + 1);
}

// Guards against a row that is never written again after an outage of the store
// or its restoration from a copy.
BOOST_AUTO_TEST_CASE(ARowIsWrittenAgainAfterAnOutageAndARestoration)
{
  const auto vm = MakeVm("one");
  mStore.mIsUnavailable = true;
  vm->OnOpened("w/1", kV1);
  RunFor(60ms);
  mStore.mIsUnavailable = false;
  RunFor(100ms);
  BOOST_TEST(Holds("w/1", kV1));
  mStore.mRows.clear();
  mStore.mVersion = { 0, 2 };
  vm->OnStoreRestored();
  RunFor(100ms);
  BOOST_TEST(Holds("w/1", kV1));
}

// Guards against rows of VMs that are gone for good.
BOOST_AUTO_TEST_CASE(RowsOfVmsThatAreGoneAreRemoved)
{
  auto vm = MakeVm("gone");
  vm->OnOpened("w/1", kV1);
  RunFor(60ms);
  vm.reset();
  mStore.mNowMs += 500 * 1000;
  BOOST_TEST(Holds("w/1", kV1));
  BOOST_TEST(mStore.mRows.size() == 1U);
  mStore.mNowMs += 500 * 1000;
  BOOST_TEST(Holds("w/1", kV1));
  RunFor(5ms);
  BOOST_TEST(mStore.mRows.empty());
}

// Guards against a row that can't be read and hides all others.
BOOST_AUTO_TEST_CASE(AnUnreadableRowCostsItselfOnly)
{
  auto vm = MakeVm("one");
  vm->OnOpened("w/1", kV1);
  RunFor(60ms);
  mStore.mRows["broken"] = { "broken", "no row", { 77, 1 } };
  mStore.mRows["other"] = { "other", R"({"at":1,"era":1,"streams":[]})", {} };
  BOOST_TEST(Holds("w/1", kV1));
}

BOOST_AUTO_TEST_SUITE_END()
