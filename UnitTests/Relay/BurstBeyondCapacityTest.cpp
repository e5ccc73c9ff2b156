/// Plays bursts of twice what the plain upstreams of a service can serve, and
/// of streams beside them, without a network: who is served in time, who waits
/// and who is refused.
#define BOOST_TEST_MODULE BurstBeyondCapacity
#include <Peridothoist/Peridothoist.h>
#include <Relay/RelayFixture.h>

#include <deque>
#include <queue>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

constexpr Duration kWork = 15ms;      ///< Of one plain request.
constexpr std::size_t kSlots = 6;     ///< Of the plain upstream.
constexpr Duration kTarget = 120ms;   ///< Target latency.
constexpr Duration kTimeout = 1200ms; ///< That the callers wait.

/// One plain upstream that serves its requests in order, kSlots at a time.
class PlainBurst : public RelayFixture
{
public:
  struct Result
  {
    int mArrived = 0;
    int mInTime = 0;
    int mLate = 0;
    int mRefused = 0;
    Duration mLongestRefusal{ 0 }; ///< From arrival to refusal.
  };

  /// Lets aRate requests a second arrive for aFor.
  Result Play(double aRate, Duration aFor)
  {
    List({ Upstream("p1", RelayStage::Plain) });
    const TimePoint start = mNow;
    const auto gap = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / aRate));
    TimePoint next = start;
    while (mNow < start + aFor + kTimeout) {
      while (mNow >= next && mNow < start + aFor) {
        next += gap;
        ++mResult.mArrived;
        mArrivals[Arrive(PlainRoute())] = mNow;
      }
      Serve();
      Advance(1ms);
    }
    return mResult;
  }

private:
  static std::shared_ptr<const RelayRoute> PlainRoute()
  {
    RelayRoute route = *Route(RouteKind::NonIdempotent, 1);
    route.mTargetLatency = kTarget;
    route.mTimeout = kTimeout;
    return std::make_shared<const RelayRoute>(route);
  }

  /// Starts, ends and refuses what is due.
  void Serve()
  {
    for (RelayCommand& it : TakeCommands()) {
      if (it.mKind == RelayCommandKind::StartCall) {
        mQueue.push(it);
      } else if (it.mKind == RelayCommandKind::SendRefusal) {
        ++mResult.mRefused;
        mResult.mLongestRefusal =
          std::max(mResult.mLongestRefusal, mNow - mArrivals[it.mId]);
      } else if (it.mKind == RelayCommandKind::SendResponse) {
        const bool inTime = mNow - mArrivals[it.mId] <= kTarget;
        ++(inTime ? mResult.mInTime : mResult.mLate);
      }
    }
    while (!mRunning.empty() && mRunning.front().second <= mNow) {
      const RelayCommand call = mRunning.front().first;
      mRunning.pop_front();
      End(call, Responded(200));
    }
    while (mRunning.size() < kSlots && !mQueue.empty()) {
      mRunning.emplace_back(mQueue.front(), mNow + kWork);
      mQueue.pop();
    }
  }

  std::map<std::uint64_t, TimePoint> mArrivals; ///< By request.
  std::queue<RelayCommand> mQueue;
  std::deque<std::pair<RelayCommand, TimePoint>> mRunning;
  Result mResult;
};

} // namespace

BOOST_AUTO_TEST_CASE(TwiceTheCapacityIsServedInTimeAsFarAsItGoes)
{
  PlainBurst burst;
  const double capacity = kSlots / 0.015;
  const auto result = burst.Play(2 * capacity, 4s);
  BOOST_TEST_MESSAGE("arrived " << result.mArrived << " in time "
                                << result.mInTime << " late " << result.mLate
                                << " refused " << result.mRefused);
  // Nearly all that the upstream can do goes to requests that are in time.
  BOOST_TEST(result.mInTime >= 0.85 * capacity * 4);
  BOOST_TEST(result.mInTime + result.mLate + result.mRefused ==
             result.mArrived);
}

BOOST_AUTO_TEST_CASE(TenTimesTheCapacityIsRefusedAtOnce)
{
  PlainBurst burst;
  const double capacity = kSlots / 0.015;
  const auto result = burst.Play(10 * capacity, 2s);
  BOOST_TEST(result.mInTime >= 0.75 * capacity * 2);
  BOOST_TEST(result.mRefused > 0.8 * result.mArrived);
  BOOST_TEST((result.mLongestRefusal <= 300ms));
}

BOOST_FIXTURE_TEST_CASE(PlainRequestsDoNotWaitBehindStreams, RelayFixture)
{
  // Streams of a higher priority wait for engine memory while a plain upstream
  // gets free again.
  List(
    { Upstream("d1", RelayStage::Decode), Upstream("p1", RelayStage::Plain) });
  while (mMachine.WaitingRequestCount() == 0) {
    Arrive(Route(RouteKind::Stream, 1));
  }
  std::vector<std::uint64_t> plain;
  while (mMachine.WaitingRequestCount() == 1) {
    plain.push_back(Arrive(Route(RouteKind::NonIdempotent, 1)));
  }
  End(Call(plain.front()), Responded(200));
  BOOST_TEST(mMachine.WaitingRequestCount() == 1U);
  BOOST_TEST(Call(plain.back()).mId == plain.back());
}
