/// Tests how often a ViewPoller retries its reads during an outage of the
/// store.
#define BOOST_TEST_MODULE ViewPoller
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/ViewPoller.h>
#include <Shell/ShellFixture.h>
#include <platform/PlatformViewDecoder.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

/// A store whose reads all fail; counts them.
class UnavailableStore : public RowStore
{
public:
  explicit UnavailableStore(Reactor* aReactor)
    : mReactor(aReactor)
  {
  }

  // See: RowStore
  void ReadTable(const std::string& aTable, ReadCallback aCallback) override
  {
    ++mReads[aTable];
    mReactor->Post([aCallback] {
      aCallback(std::nullopt, { ReasonCode::Unreachable, "store unavailable" });
    });
  }
  void Change(const RowChange&, ChangeCallback) override {}

  Reactor* mReactor;
  std::map<std::string, int> mReads;
};

struct Listener : ViewPollerListener
{
  // See: ViewPollerListener
  void OnConfigurationRead(std::shared_ptr<const RelayConfiguration>,
                           std::vector<StoredRow>,
                           TimePoint) override
  {
  }
  void OnUpstreamsRead(std::vector<RelayUpstream>, TimePoint) override {}
  void OnUpstreamsUnreachable(TimePoint) override {}
  void OnVmsRead(std::vector<StoredRow>) override {}
};

struct PollingFixture : ShellFixture
{
  /// Returns how often the VM table was read until the upstream table was read
  /// aUpstreamReads times.
  int CountVmReads(int aUpstreamReads, bool aReadsForAll)
  {
    ViewPollerSettings settings;
    settings.mRetryInterval = 1ms;
    settings.mMaxRetryInterval = 2ms;
    settings.mMaxFollowerRetryInterval = 64ms;
    settings.mMaxVmRetryInterval = 64ms;
    UnavailableStore store(mReactor.get());
    Listener listener;
    ViewPoller poller(settings, mReactor.get(), &store, &mDecoder, &listener);
    poller.SetRole(aReadsForAll, false, false);
    poller.Start();
    BOOST_REQUIRE(Until([&] {
      return store.mReads[mDecoder.UpstreamTable()] >= aUpstreamReads;
    }));
    return store.mReads["vms"];
  }

  platform::PlatformViewDecoder mDecoder;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(UpstreamsAreRetriedOftenByVmThatReadsForAll,
                        PollingFixture)
{
  // Guards against too many calls during an outage of the store: 64 VMs that
  // all retry ten times a second make thousands of calls, each of which is
  // charged.
  const int vmReads = CountVmReads(60, true);
  BOOST_TEST(vmReads < 15); // The delay of VM reads doubles up to 64 ms.
}

BOOST_FIXTURE_TEST_CASE(UpstreamsAreRetriedRarelyByFollower, PollingFixture)
{
  const int vmReads = CountVmReads(12, false);
  BOOST_TEST(vmReads >= 10); // Retried with the same delays as upstreams.
}
