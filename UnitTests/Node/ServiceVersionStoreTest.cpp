/// Tests how VMs keep the records of software versions in the store: who writes
/// them, when, and how often.
#define BOOST_TEST_MODULE ServiceVersionStore
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/ServiceVersionStore.h>
#include <Shell/ShellFixture.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

const std::string kTable = "service_versions";

/// A store in memory that states a clock and can fail.
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
    ++mReads;
    mReactor->Post([this, aTable, aCallback] {
      if (mIsUnavailable) {
        aCallback(std::nullopt, { ReasonCode::Unreachable, "unavailable" });
        return;
      }
      std::vector<StoredRow> rows;
      for (const auto& [key, row] : mTables[aTable]) {
        rows.push_back(row);
      }
      aCallback(std::move(rows), Reason());
    });
  }

  void Change(const RowChange& aChange, ChangeCallback aCallback) override
  {
    ++mWrites;
    const Reason reason = Apply(aChange);
    mReactor->Post([aCallback, reason, version = mVersion] {
      aCallback(reason,
                reason.mCode == ReasonCode::None ? version : StoreVersion());
    });
  }

  std::optional<StoreClock> Clock() const override
  {
    return mHasClock ? std::optional<StoreClock>(StoreClock{
                         5000, Reactor::ReadClock(), mVersion.mEra })
                     : std::nullopt;
  }
  std::uint64_t Era() const override { return mVersion.mEra; }

  Reactor* mReactor;
  std::map<std::string, std::map<std::string, StoredRow>> mTables;
  StoreVersion mVersion;
  int mReads = 0;
  int mWrites = 0;
  bool mIsUnavailable = false;
  bool mRefusesWrites = false;
  bool mHasClock = true;

private:
  Reason Apply(const RowChange& aChange)
  {
    if (mRefusesWrites) {
      return { ReasonCode::Refused, "not allowed" };
    }
    auto& table = mTables[aChange.mTable];
    const auto row = table.find(aChange.mKey);
    const StoreVersion version =
      row == table.end() ? StoreVersion() : row->second.mVersion;
    BOOST_REQUIRE(aChange.mExpectedVersion.has_value());
    if (*aChange.mExpectedVersion != version) {
      return { ReasonCode::Conflict, "" };
    }
    ++mVersion.mNumber;
    table[aChange.mKey] = { aChange.mKey, *aChange.mValue, mVersion };
    return {};
  }
};

/// One VM.
struct Vm : ServiceVersionListener
{
  Vm(const ServiceVersionStoreSettings& aSettings,
     Reactor* aReactor,
     RowStore* aStore)
    : mVersions(aSettings, aReactor, aStore, &mList, this)
  {
  }

  // See: ServiceVersionListener
  void OnServiceVersionsRead(VersionsByService aRecords,
                             std::optional<std::uint64_t>,
                             TimePoint) override
  {
    mRecords = std::move(aRecords);
    mIsUnavailable = false;
  }
  void OnServiceVersionsUnavailable() override { mIsUnavailable = true; }

  /// Lists upstreams of these versions.
  void List(const std::set<std::string>& aVersions, bool aIsReader)
  {
    std::vector<RelayUpstream> upstreams;
    for (const std::string& it : aVersions) {
      RelayUpstream upstream;
      upstream.mId = "u-" + it;
      upstream.mService = "s";
      upstream.mSoftwareVersion = it;
      upstreams.push_back(upstream);
    }
    mList.OnListRead(std::move(upstreams), Reactor::ReadClock());
    mVersions.Update(aIsReader);
  }

  bool Knows(const std::set<std::string>& aVersions) const
  {
    const auto it = mRecords.find("s");
    return it != mRecords.end() && it->second.mListed == aVersions;
  }

  UpstreamList mList{ {} };
  VersionsByService mRecords;
  bool mIsUnavailable = false;
  ServiceVersionStore mVersions;
};

struct StoreFixture : ShellFixture
{
  StoreFixture()
    : mStore(mReactor.get())
  {
    mSettings.mRetryInterval = 10ms;
    mSettings.mTakeOverDelay = 50ms;
    mSettings.mRemovalDelay = 60ms;
    mSettings.mMaxUnknownTime = 80ms;
  }

  std::unique_ptr<Vm> MakeVm()
  {
    return std::make_unique<Vm>(mSettings, mReactor.get(), &mStore);
  }

  void RunFor(Duration aDuration)
  {
    bool isOver = false;
    mReactor->Schedule(aDuration, [&] { isOver = true; });
    BOOST_REQUIRE(Until([&] { return isOver; }));
  }

  MemoryStore mStore;
  ServiceVersionStoreSettings mSettings;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Store, StoreFixture)

// Guards against versions that nobody records, or a write with each list.
BOOST_AUTO_TEST_CASE(AReaderWritesOnceForEachChange)
{
  const auto vm = MakeVm();
  vm->List({ "v1" }, true);
  BOOST_REQUIRE(Until([&] { return vm->Knows({ "v1" }); }));
  for (int n = 0; n < 5; ++n) {
    vm->List({ "v1" }, true);
    RunFor(5ms);
  }
  BOOST_TEST(mStore.mWrites == 1);
  const int reads = mStore.mReads;
  vm->List({ "v1", "v2" }, true);
  BOOST_REQUIRE(Until([&] { return vm->Knows({ "v1", "v2" }); }));
  BOOST_TEST(mStore.mWrites == 2);
  BOOST_TEST(mStore.mReads - reads <= 2);
}

// Guards against a whole fleet that writes, and against VMs that never learn
// what another one has recorded.
BOOST_AUTO_TEST_CASE(OtherVmsReadWhatAReaderWrote)
{
  const auto reader = MakeVm();
  const auto other = MakeVm();
  other->List({ "v1" }, false);
  reader->List({ "v1" }, true);
  BOOST_REQUIRE(Until([&] { return other->Knows({ "v1" }); }));
  BOOST_TEST(mStore.mWrites == 1);
}

// Guards against a release that no VM records since all readers run builds that
// keep no records, or are gone.
BOOST_AUTO_TEST_CASE(AnotherVmWritesIfNoReaderDoes)
{
  const auto vm = MakeVm();
  vm->List({ "v1" }, false);
  RunFor(20ms);
  BOOST_TEST(mStore.mWrites == 0);
  BOOST_REQUIRE(Until([&] { return vm->Knows({ "v1" }); }));
  BOOST_TEST(mStore.mWrites == 1);
}

// Guards against a write that reverts that of another VM.
BOOST_AUTO_TEST_CASE(ConcurrentWritersAgree)
{
  const auto one = MakeVm();
  const auto two = MakeVm();
  one->List({ "v1" }, true);
  two->List({ "v1", "v2" }, true);
  BOOST_REQUIRE(Until([&] { return two->Knows({ "v1", "v2" }); }));
  BOOST_TEST(two->mVersions.Counts().mConflicts <= 1U);
  RunFor(30ms);
  BOOST_TEST(two->Knows({ "v1", "v2" }));
}

// Guards against a version that is taken out while its entry is being renewed,
// or never.
BOOST_AUTO_TEST_CASE(AVersionThatIsGoneIsRemovedAfterADelay)
{
  const auto vm = MakeVm();
  vm->List({ "v1", "v2" }, true);
  BOOST_REQUIRE(Until([&] { return vm->Knows({ "v1", "v2" }); }));
  RunFor(mSettings.mRemovalDelay);
  vm->List({ "v1", "v2" }, true);
  vm->List({ "v2" }, true);
  RunFor(10ms);
  BOOST_TEST(vm->Knows({ "v1", "v2" }));
  RunFor(mSettings.mRemovalDelay);
  vm->List({ "v2" }, true);
  BOOST_REQUIRE(Until([&] { return vm->Knows({ "v2" }); }));
  BOOST_TEST(vm->mRecords["s"].mGoneAtMs.count("v1") == 1U);
}

// Guards against a VM that drops the record while all upstreams are missing or
// before it has seen the complete list.
BOOST_AUTO_TEST_CASE(AVmThatHasJustStartedRemovesNothing)
{
  const auto before = MakeVm();
  before->List({ "v1", "v2" }, true);
  BOOST_REQUIRE(Until([&] { return before->Knows({ "v1", "v2" }); }));
  const auto vm = MakeVm();
  vm->mVersions.Refresh();
  BOOST_REQUIRE(Until([&] { return vm->Knows({ "v1", "v2" }); }));
  vm->List({ "v2" }, true);
  RunFor(10ms);
  BOOST_TEST(mStore.mWrites == 1);
  RunFor(mSettings.mRemovalDelay);
  vm->List({}, true);
  RunFor(10ms);
  BOOST_TEST(mStore.mWrites == 1);
}

// Guards against streams that never begin while the store is out, states no
// clock or refuses the table.
BOOST_AUTO_TEST_CASE(WithoutAStoreForRecordsStreamsBeginAfterATime)
{
  mStore.mIsUnavailable = true;
  auto vm = MakeVm();
  vm->mVersions.Refresh();
  RunFor(40ms);
  BOOST_TEST(!vm->mIsUnavailable);
  BOOST_REQUIRE(Until([&] { return vm->mIsUnavailable; }));
  mStore.mIsUnavailable = false;
  mStore.mHasClock = false;
  vm = MakeVm();
  vm->List({ "v1" }, true);
  BOOST_REQUIRE(Until([&] { return vm->mIsUnavailable; }));
  BOOST_TEST(mStore.mWrites == 0);
  mStore.mHasClock = true;
  mStore.mRefusesWrites = true;
  vm = MakeVm();
  vm->List({ "v1" }, true);
  BOOST_REQUIRE(Until([&] { return vm->mIsUnavailable; }));
}

// Guards against a record that can't be read and bars its service for good.
BOOST_AUTO_TEST_CASE(AnUnreadableRecordIsReplaced)
{
  mStore.mTables[kTable]["s"] = { "s", "not a record", 7 };
  const auto vm = MakeVm();
  vm->List({ "v1" }, true);
  BOOST_REQUIRE(Until([&] { return vm->Knows({ "v1" }); }));
  BOOST_TEST(vm->mRecords["s"].mSinceMs >= 5000U);
}

// Guards against a record that proves a version although the store lost what
// was written since its copy, and counts times by another clock (ORDER).
BOOST_AUTO_TEST_CASE(ARecordOfAFormerEraProvesNothingAndIsWrittenAgain)
{
  mStore.mVersion.mEra = 1;
  const auto vm = MakeVm();
  vm->List({ "v1" }, true);
  BOOST_REQUIRE(Until([&] { return vm->Knows({ "v1" }); }));
  BOOST_TEST(vm->mRecords["s"].mEra == 1U);
  BOOST_TEST(vm->mRecords["s"].mSinceMs <= 6000U);
  mStore.mVersion = { 1, 2 };
  vm->mVersions.OnStoreRestored();
  BOOST_REQUIRE(Until([&] { return vm->mRecords["s"].mSinceMs > 6000; }));
  vm->List({ "v1" }, true);
  BOOST_REQUIRE(Until([&] { return vm->mRecords["s"].mEra == 2; }));
  BOOST_TEST(vm->mRecords["s"].mSinceMs <= 6000U);
  BOOST_TEST(vm->Knows({ "v1" }));
  RunFor(30ms);
  BOOST_TEST(mStore.mWrites == 2);
}

// Guards against a lost record that nobody writes again.
BOOST_AUTO_TEST_CASE(ARecordThatTheStoreLostIsWrittenAgain)
{
  mStore.mVersion.mEra = 1;
  const auto vm = MakeVm();
  vm->List({ "v1", "v2" }, true);
  BOOST_REQUIRE(Until([&] { return vm->Knows({ "v1", "v2" }); }));
  mStore.mTables[kTable].clear();
  mStore.mVersion = { 1, 2 };
  vm->mVersions.OnStoreRestored();
  BOOST_REQUIRE(Until([&] { return mStore.mTables[kTable].count("s") > 0; }));
  BOOST_REQUIRE(Until([&] { return vm->Knows({ "v1", "v2" }); }));
}

// Guards against an answer from a read that began before it was asked for, and
// against one that is never given.
BOOST_AUTO_TEST_CASE(AResultIsOfALaterRead)
{
  const auto vm = MakeVm();
  int results = 0;
  vm->mVersions.Refresh();
  vm->mVersions.Refresh(); // The first has begun.
  vm->mVersions.WhenRead([&] {
    ++results;
    BOOST_TEST(vm->mVersions.Counts().mReads == 2U);
  });
  BOOST_REQUIRE(Until([&] { return results == 1; }));
  vm->mVersions.WhenRead([&] { ++results; });
  BOOST_TEST(results == 2);
}

BOOST_AUTO_TEST_SUITE_END()
