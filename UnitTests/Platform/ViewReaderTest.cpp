/// Reads of the store in intervals, and how often they are tried while it is
/// away.
#define BOOST_TEST_MODULE ViewReader
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/ViewReader.h>
#include <Shell/ShellFixture.h>
#include <platform/PlatformView.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

/// Is away; counts reads.
class AwayStore : public RowStore
{
public:
  explicit AwayStore(Reactor* aReactor)
    : mReactor(aReactor)
  {
  }

  // See: RowStore
  void ReadTable(const std::string& aTable, RowsDone aDone) override
  {
    ++mReads[aTable];
    mReactor->Post([aDone] {
      aDone(std::nullopt, { ReasonCode::Unreachable, "away" });
    });
  }
  void Change(const RowChange&, ChangeDone) override {}

  Reactor* mReactor;
  std::map<std::string, int> mReads;
};

struct Listener : ViewReaderListener
{
  // See: ViewReaderListener
  void OnConfigurationRead(std::shared_ptr<const RelayConfiguration>,
                           TimePoint) override
  {
  }
  void OnUpstreamsRead(std::vector<RelayUpstream>) override {}
  void OnUpstreamsUnreachable() override {}
  void OnVmsRead(std::set<std::string>) override {}
};

struct ReaderFixture : ShellFixture
{
  /// Reads of all tables until the upstreams were tried that often.
  int ReadsUntil(int aUpstreamReads, bool aReadsForAll)
  {
    ViewReaderSettings settings;
    settings.mRetryInterval = 1ms;
    settings.mLongestRetry = 2ms;
    settings.mLongestFollowerRetry = 64ms;
    settings.mLongestVmRetry = 64ms;
    AwayStore store(mReactor.get());
    Listener listener;
    ViewReader reader(settings, mReactor.get(), &store, &mView, &listener);
    reader.SetRole(aReadsForAll, false);
    reader.Start();
    BOOST_REQUIRE(Until(
      [&] { return store.mReads[mView.UpstreamTable()] >= aUpstreamReads; }));
    return store.mReads["vms"];
  }

  platform::PlatformView mView;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(WhoReadsForAllTriesOften, ReaderFixture)
{
  // Pattern: the store is away; 64 VMs that all try ten times a second make
  // thousands of calls, each of them priced.
  const int vms = ReadsUntil(60, true);
  BOOST_TEST(vms < 15); // Doubles up to 64 ms meanwhile.
}

BOOST_FIXTURE_TEST_CASE(WhoIsToldByOthersTriesLessAndLess, ReaderFixture)
{
  const int vms = ReadsUntil(12, false);
  BOOST_TEST(vms >= 10); // As rarely as the upstreams.
}
