/// The event loop: order of timers, tasks from other threads, descriptors and
/// signals, all handled on the loop's thread.
#define BOOST_TEST_MODULE Reactor
#include <Peridothoist/Peridothoist.h>
#include <Shell/ShellFixture.h>

#include <csignal>
#include <thread>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

struct ReactorFixture
{
  std::unique_ptr<Reactor> mReactor = Reactor::Create();
};

/// Records the bytes read from a pipe, and stops watching at the byte 'q'.
struct PipeListener : DescriptorListener
{
  explicit PipeListener(Reactor& aReactor)
    : mReactor(aReactor)
  {
    BOOST_REQUIRE_EQUAL(::pipe(mEnds.data()), 0);
    BOOST_REQUIRE(mReactor.Watch(mEnds[0], this));
  }
  ~PipeListener() override
  {
    mReactor.Unwatch(mEnds[0]);
    ::close(mEnds[0]);
    ::close(mEnds[1]);
  }
  PipeListener(const PipeListener&) = delete;
  PipeListener& operator=(const PipeListener&) = delete;

  void Send(char aByte) const
  {
    BOOST_REQUIRE_EQUAL(::write(mEnds[1], &aByte, 1), 1);
  }

  // See: DescriptorListener
  void OnReadable(int aDescriptor) override
  {
    char byte = 0;
    BOOST_REQUIRE_EQUAL(::read(aDescriptor, &byte, 1), 1);
    mRead += byte;
    if (byte == 'q') {
      mReactor.Unwatch(aDescriptor);
    }
  }

  Reactor& mReactor;
  std::array<int, 2> mEnds = {};
  std::string mRead;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Loop, ReactorFixture)

BOOST_AUTO_TEST_CASE(TimersRunInOrderAndOnce)
{
  std::string order;
  mReactor->Schedule(20ms, [&] { order += 'c'; });
  mReactor->Schedule(1ms, [&] { order += 'a'; });
  mReactor->Schedule(10ms, [&] { order += 'b'; });
  const auto cancelled = mReactor->Schedule(5ms, [&] { order += 'x'; });
  mReactor->CancelTimer(cancelled);
  mReactor->CancelTimer(cancelled);
  mReactor->CancelTimer(0);
  mReactor->Schedule(30ms, [&] { mReactor->Stop(); });
  mReactor->Run();
  BOOST_TEST(order == "abc");
}

BOOST_AUTO_TEST_CASE(TimersCanCancelAndScheduleTimers)
{
  int runs = 0;
  Reactor::TimerId other = 0;
  Reactor::TimerId self = 0;
  self = mReactor->Schedule(1ms, [&] {
    ++runs;
    mReactor->CancelTimer(self);
    mReactor->CancelTimer(other);
    mReactor->Schedule(Duration::zero(), [&] {
      ++runs;
      mReactor->Stop();
    });
  });
  other = mReactor->Schedule(1ms, [&] { runs += 100; });
  mReactor->Run();
  BOOST_TEST(runs == 2);
}

BOOST_AUTO_TEST_CASE(TasksFromManyThreadsRunOnTheLoop)
{
  constexpr int kThreads = 4;
  constexpr int kTasks = 2000;
  const auto loop = std::this_thread::get_id();
  std::array<int, kThreads> next = {};
  int done = 0;
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < kThreads; ++i) {
    threads.emplace_back([&, i] {
      for (int j = 0; j < kTasks; ++j) {
        mReactor->Post([&, i, j] {
          BOOST_REQUIRE(std::this_thread::get_id() == loop);
          BOOST_REQUIRE_EQUAL(next[i]++, j); // In order for each thread.
          ++done;
        });
      }
    });
  }
  BOOST_TEST(RunUntil(*mReactor, [&] { return done == kThreads * kTasks; }));
  for (std::thread& thread : threads) {
    thread.join();
  }
}

BOOST_AUTO_TEST_CASE(StopFromAnotherThread)
{
  std::thread stopper([&] { mReactor->Stop(); });
  mReactor->Run();
  stopper.join();
}

BOOST_AUTO_TEST_CASE(UnwatchedDescriptorIsNotRead)
{
  PipeListener first(*mReactor);
  PipeListener second(*mReactor);
  for (const char c : { 'a', 'b', 'q' }) {
    first.Send(c);
    second.Send('s');
  }
  first.Send('z');
  BOOST_TEST(RunUntil(*mReactor, [&] {
    return first.mRead.size() == 3 && second.mRead.size() == 3;
  }));
  second.Send('t');
  BOOST_TEST(RunUntil(*mReactor, [&] { return second.mRead == "ssst"; }));
  BOOST_TEST(first.mRead == "abq");
}

BOOST_AUTO_TEST_CASE(SignalsRunOnTheLoop)
{
  int usr1 = 0;
  int usr2 = 0;
  mReactor->SetSignalHandler(SIGUSR1, [&] { ++usr1; });
  mReactor->SetSignalHandler(SIGUSR2, [&] { ++usr2; });
  std::raise(SIGUSR1);
  BOOST_TEST(usr1 == 0);
  BOOST_TEST(RunUntil(*mReactor, [&] { return usr1 == 1; }));
  std::raise(SIGUSR2);
  std::raise(SIGUSR1);
  BOOST_TEST(RunUntil(*mReactor, [&] { return usr1 == 2 && usr2 == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()
