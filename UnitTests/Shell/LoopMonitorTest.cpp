/// The monitor goes on measuring, and a loop that was held up shows as late.
#define BOOST_TEST_MODULE LoopMonitor
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/LoopMonitor.h>

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace peridothoist;

namespace {

constexpr Duration kHeldUp = 120ms;

/// Holds the loop up once, and stops it after three measurements.
class Recorder : public LoopMonitorListener
{
public:
  explicit Recorder(Reactor* aReactor)
    : mReactor(aReactor)
  {
  }

  // See: LoopMonitorListener
  void OnLoopLag(Duration aLag) override
  {
    mLags.push_back(aLag);
    if (mLags.size() == 1) {
      // Runs before the next measurement, which it makes late.
      mReactor->Schedule(1ms, [] { std::this_thread::sleep_for(kHeldUp); });
    }
    if (mLags.size() == 3) {
      mReactor->Stop();
    }
  }

  Reactor* mReactor;
  std::vector<Duration> mLags;
};

} // namespace

BOOST_AUTO_TEST_CASE(ALoopThatWasHeldUpIsLate)
{
  const auto reactor = Reactor::Create();
  Recorder recorder(reactor.get());
  LoopMonitor monitor({ 20ms }, reactor.get(), &recorder);
  reactor->Run();
  BOOST_REQUIRE(recorder.mLags.size() == 3u);
  for (const Duration lag : recorder.mLags) {
    BOOST_TEST(lag.count() >= 0);
  }
  // Held up for 120 ms from at most 20 ms before it was due.
  BOOST_TEST((recorder.mLags[1] >= kHeldUp - 20ms));
}
