/// The loop monitor measures repeatedly and reports the lag of a blocked loop.
#define BOOST_TEST_MODULE LoopMonitor
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/LoopMonitor.h>

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace peridothoist;

namespace {

constexpr Duration kBlockedTime = 120ms;

/// Blocks the loop once, and stops it after three measurements.
class LagRecorder : public LoopMonitorListener
{
public:
  explicit LagRecorder(Reactor* aReactor)
    : mReactor(aReactor)
  {
  }

  // See: LoopMonitorListener
  void OnLoopLag(Duration aLag) override
  {
    mLags.push_back(aLag);
    if (mLags.size() == 1) {
      // Runs before the next measurement and delays it.
      mReactor->Schedule(1ms,
                         [] { std::this_thread::sleep_for(kBlockedTime); });
    }
    if (mLags.size() == 3) {
      mReactor->Stop();
    }
  }

  Reactor* mReactor;
  std::vector<Duration> mLags;
};

} // namespace

BOOST_AUTO_TEST_CASE(BlockedLoopIsReportedAsLag)
{
  const auto reactor = Reactor::Create();
  LagRecorder recorder(reactor.get());
  LoopMonitor monitor({ 20ms }, reactor.get(), &recorder);
  reactor->Run();
  BOOST_REQUIRE(recorder.mLags.size() == 3u);
  for (const Duration lag : recorder.mLags) {
    BOOST_TEST(lag.count() >= 0);
  }
  // The loop is blocked for 120 ms, starting at most 20 ms before the
  // measurement was due.
  BOOST_TEST((recorder.mLags[1] >= kBlockedTime - 20ms));
}
