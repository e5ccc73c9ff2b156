/// Tests how a VM reads a changed configuration from its peers.
#define BOOST_TEST_MODULE ViewUpdater
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/ViewUpdater.h>
#include <Shell/ShellFixture.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

/// Rows are the configuration's version in decimal.
class NumberDecoder : public ViewDecoder
{
public:
  // See: ViewDecoder
  std::string ConfigurationTable() const override { return "op"; }
  std::string UpstreamTable() const override { return "servers"; }
  std::shared_ptr<const RelayConfiguration> DecodeConfiguration(
    const std::vector<StoredRow>& aRows,
    Reason* /*aReason*/) const override
  {
    auto configuration = std::make_shared<RelayConfiguration>();
    configuration->mVersion = std::stoull(aRows.front().mValue);
    return configuration;
  }
  std::optional<RelayUpstream> DecodeUpstream(const StoredRow&,
                                              Reason*) const override
  {
    return std::nullopt;
  }
};

/// A store with one configuration; counts its reads.
class CountingStore : public RowStore
{
public:
  explicit CountingStore(Reactor* aReactor)
    : mReactor(aReactor)
  {
  }

  // See: RowStore
  void ReadTable(const std::string& aTable, ReadCallback aCallback) override
  {
    ++mReads[aTable];
    std::vector<StoredRow> rows;
    if (aTable == "op") {
      rows.push_back({ "config", std::to_string(mVersion), { mVersion, 0 } });
    }
    mReactor->Post([aCallback, rows] { aCallback(rows, Reason()); });
  }
  void Change(const RowChange&, ChangeCallback) override {}

  Reactor* mReactor;
  std::map<std::string, int> mReads;
  std::uint64_t mVersion = 1;
};

struct UpdaterFixture
  : ShellFixture
  , ViewUpdaterListener
{
  UpdaterFixture()
    : mStore(mReactor.get())
    , mView(ConfirmedViewSettings())
    , mUpdater({},
               { "vm", "z", "127.0.0.1:1" },
               mReactor.get(),
               mClient.get(),
               &mStore,
               &mDecoder,
               &mView,
               &mUpstreams,
               this)
  {
    mUpdater.Start();
    BOOST_REQUIRE(Until([&] { return mView.Version() == 1; }));
    mLeader.Add({ { "config", "1", 1 } });
    mLeader.Add({ { "config", "2", 2 } });
    Serve();
  }

  // See: ViewUpdaterListener
  void OnConfiguration(std::shared_ptr<const RelayConfiguration> aConfiguration,
                       TimePoint aConfirmedAt) override
  {
    mView.OnRead(std::move(aConfiguration), aConfirmedAt);
  }
  void OnUpstreams(std::vector<RelayUpstream>, TimePoint) override {}
  void OnPeerUpstreams(std::vector<UpstreamList::Entry>, TimePoint) override {}
  void OnUpstreamsUnreachable(TimePoint) override {}
  void OnVms(const VmRecords&, bool) override {}
  ViewRole RoleForView() override { return {}; }
  void SendViewQuery(const std::string&) override {}

  /// Lets the peer serve these paths and state version 2. Returns the paths
  /// that were read until the configuration was in force.
  std::string PathsUntilInForce(
    const std::map<std::string, std::string>& aParts)
  {
    std::string paths;
    mHandler.mRespond = [&](HttpExchange& aExchange) {
      const std::string& path = aExchange.Request().mPath;
      paths += path + ' ';
      const auto part = aParts.find(path);
      const bool isServed = part != aParts.end();
      aExchange.Respond(isServed ? 200 : 404, {}, isServed ? part->second : "");
    };
    ViewResponse response;
    response.mStamp = ViewExchange::TimestampOf(Reactor::ReadClock());
    response.mVersion = 2;
    response.mListDigest = mUpstreams.Digest();
    response.mViewAddress = "127.0.0.1:" + std::to_string(mServer->Port());
    mUpdater.OnResponse(response);
    BOOST_TEST(mView.IsOutdated());
    BOOST_REQUIRE(Until([&] { return mView.Version() == 2; }));
    return paths;
  }

  NumberDecoder mDecoder;
  CountingStore mStore;
  ConfirmedView mView;
  UpstreamList mUpstreams{ { 2s } };
  ViewUpdater mUpdater;
  ConfigurationHistory mLeader;
};

const std::string kChangePath = "/view/configuration/change";
const std::string kWholePath = "/view/configuration";

} // namespace

BOOST_FIXTURE_TEST_CASE(AChangeIsReadFromThePeer, UpdaterFixture)
{
  ConfigurationHistory own;
  own.Add({ { "config", "1", 1 } });
  const auto change = mLeader.ChangeSince(own.NewestDigest(), Duration(0));
  const std::string paths =
    PathsUntilInForce({ { kChangePath, EncodeConfigurationChange(*change) } });
  BOOST_TEST(paths == kChangePath + ' ');
  // It is handed on in the same way.
  const auto next = mUpdater.ShareConfigurationChange(own.NewestDigest());
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST(next->mCompressedRows == change->mCompressedRows);
}

BOOST_FIXTURE_TEST_CASE(AnOlderBuildIsReadWhole, UpdaterFixture)
{
  const SharedConfiguration whole{ Duration(0), { { "config", "2", 2 } } };
  const std::string paths =
    PathsUntilInForce({ { kWholePath, EncodeSharedConfiguration(whole) } });
  BOOST_TEST(paths == kChangePath + ' ' + kWholePath + ' ');
}

BOOST_FIXTURE_TEST_CASE(AChangeThatCannotBeAppliedIsReadFromTheStore,
                        UpdaterFixture)
{
  const ConfigurationChange unknown{ Duration(0), 99, "no frame" };
  mStore.mVersion = 2;
  const std::string paths =
    PathsUntilInForce({ { kChangePath, EncodeConfigurationChange(unknown) } });
  BOOST_TEST(paths == kChangePath + ' ');
}

// Guards against a VM that goes on with an old configuration since a peer that
// has not noticed the store's restoration confirms it (CONFIG).
BOOST_FIXTURE_TEST_CASE(APeerOfAFormerEraConfirmsNothing, UpdaterFixture)
{
  const auto isConfirmedBy = [this](std::uint64_t aEra) {
    const TimePoint before = mView.ConfirmedAt();
    BOOST_REQUIRE(Until([&] { return Reactor::ReadClock() > before; }));
    ViewResponse response;
    response.mStamp = ViewExchange::TimestampOf(Reactor::ReadClock());
    response.mVersion = 1;
    response.mListDigest = mUpstreams.Digest();
    response.mStoreEra = aEra;
    mUpdater.OnResponse(response);
    return mView.ConfirmedAt() > before;
  };
  BOOST_TEST(isConfirmedBy(0)); // A build of before; no restoration is known.
  BOOST_TEST(isConfirmedBy(1));
  BOOST_TEST(isConfirmedBy(0));
  BOOST_TEST(isConfirmedBy(2));
  BOOST_TEST(!isConfirmedBy(1));
  BOOST_TEST(!isConfirmedBy(0));
  BOOST_TEST(isConfirmedBy(2));
  BOOST_TEST(mUpdater.FormerEraResponses() == 2U);
}
