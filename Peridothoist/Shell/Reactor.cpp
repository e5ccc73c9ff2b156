/// The event loop on ACE_Dev_Poll_Reactor. Only few descriptors are registered
/// with ACE, because its epoll_wait() takes one event at a time. Classes with
/// many sockets register them with a separate epoll descriptor and watch that.
/// Timers are in an ACE heap that a timerfd drives, because ACE's own wait has
/// a resolution of milliseconds and busy-waits during the last millisecond
/// before a timer.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/Reactor.h>

#include <ace/ACE.h>
#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Event_Handler_Handle_Timeout_Upcall.h>
#include <ace/Monotonic_Time_Policy.h>
#include <ace/Reactor.h>
#include <ace/Timer_Heap_T.h>
#include <ace/Timer_Queue.h>

#include <sys/eventfd.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <ctime>
#include <deque>
#include <iterator>
#include <mutex>
#include <unordered_map>

namespace peridothoist {

namespace {

/// Timers on the monotonic clock, so that changes of the wall clock don't
/// affect them.
using MonotonicTimerHeap =
  ACE_Timer_Heap_T<ACE_Event_Handler*,
                   ACE_Event_Handler_Handle_Timeout_Upcall,
                   ACE_SYNCH_RECURSIVE_MUTEX,
                   ACE_Monotonic_Time_Policy>;

/// Upper bound of descriptor numbers that can be watched, exclusive.
constexpr int kMaxWatchedDescriptors = 65536;

/// Upper bound of signal numbers that can be handled, exclusive.
constexpr std::size_t kMaxSignals = 64;

/// Time after which a turn leaves what remains to the next one.
constexpr Duration kMaxTurn = 5ms;

/// Id of a timer that ACE has expired.
constexpr long kNoAceTimer = -1;

ACE_Time_Value
ToTimeValue(Duration aDelay)
{
  const auto micros = std::max<std::int64_t>(aDelay.count(), 0);
  constexpr std::int64_t kMicrosPerSecond = 1000000;
  return ACE_Time_Value(static_cast<time_t>(micros / kMicrosPerSecond),
                        static_cast<suseconds_t>(micros % kMicrosPerSecond));
}

} // namespace

/// The only event handler registered with ACE. It dispatches events to
/// listeners, timers and tasks.
struct Reactor::Impl : ACE_Event_Handler
{
  Impl(int aWakeUp, int aTimer)
    : mWakeUp(aWakeUp)
    , mTimer(aTimer)
    , mReactor(new ACE_Dev_Poll_Reactor(
                 std::min(ACE::max_handles(), kMaxWatchedDescriptors),
                 true,
                 nullptr,
                 nullptr,
                 1,
                 nullptr,
                 0),
               true)
  {
  }

  ~Impl() override
  {
    mReactor.remove_handler(mWakeUp, READ_MASK | DONT_CALL);
    mReactor.remove_handler(mTimer, READ_MASK | DONT_CALL);
    mReactor.close();
    ::close(mWakeUp);
    ::close(mTimer);
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  // See: ACE_Event_Handler
  int handle_input(ACE_HANDLE aDescriptor) override;
  int handle_timeout(const ACE_Time_Value& aTime, const void* aTimer) override;
  int handle_signal(int aSignal, siginfo_t* aInfo, ucontext_t* aUser) override;

  void ExpireTimers();
  void RunDueTimers();
  void ArmTimer();
  void ArmTimerAfter(const ACE_Time_Value& aDelay);
  void EndTurn();
  void WakeUp() const;
  void RunPosted();
  void RunSignals();

  struct Timer
  {
    TimerId mId = 0;
    long mAceTimer = 0; ///< kNoAceTimer: it is in mDueTimers.
    Task mTask;
  };

  // The event loop.
  int mWakeUp; ///< eventfd for posted tasks and signals.
  int mTimer;  ///< timerfd for the earliest timer.
  MonotonicTimerHeap mTimerQueue;
  ACE_Time_Value mArmedTime;      ///< Expiry of mTimer; zero when unset.
  bool mIsExpiringTimers = false; ///< Timers are running; mTimer is set later.
  ACE_Reactor mReactor;
  std::atomic<bool> mIsStopRequested{ false };
  std::optional<TimePoint> mNow;           ///< Time of the event being handled.
  std::optional<TimePoint> mTurnStartedAt; ///< Set during a turn.
  TurnStatistics mTurnStatistics;

  // Tasks from other threads.
  std::mutex mPostedLock;
  std::vector<Task> mPosted; ///< Guarded by mPostedLock.
  std::deque<Task> mTasks;   ///< Were posted, and run next; oldest first.

  // Timers, descriptors and signals, by their ids.
  TimerId mLastTimer = 0;
  std::unordered_map<TimerId, Timer> mTimers;
  std::deque<TimerId> mDueTimers; ///< Expired and not run yet, in order.
  std::unordered_map<int, DescriptorListener*> mListeners;
  std::array<Task, kMaxSignals> mSignalTasks;
  std::array<std::atomic<bool>, kMaxSignals> mSignalArrived{};
};

int
Reactor::Impl::handle_input(ACE_HANDLE aDescriptor)
{
  mTurnStartedAt = Reactor::ReadClock();
  mNow = mTurnStartedAt;
  if (aDescriptor == mWakeUp) {
    RunSignals();
    RunPosted();
  } else if (aDescriptor == mTimer) {
    ExpireTimers();
  } else if (const auto it = mListeners.find(aDescriptor);
             it != mListeners.end()) {
    it->second->OnReadable(aDescriptor);
  }
  EndTurn();
  return 0;
}

void
Reactor::Impl::EndTurn()
{
  const Duration duration = Reactor::ReadClock() - *mTurnStartedAt;
  ++mTurnStatistics.mTurns;
  mTurnStatistics.mOverlong += duration > kMaxTurn ? 1 : 0;
  mTurnStatistics.mLongest = std::max(mTurnStatistics.mLongest, duration);
  mTurnStartedAt.reset();
  mNow.reset();
}

/// Only notes the timer: ACE expires all timers that are due, however many.
int
Reactor::Impl::handle_timeout(const ACE_Time_Value& /*aTime*/,
                              const void* aTimer)
{
  const auto it = mTimers.find(static_cast<const Timer*>(aTimer)->mId);
  PH_ASSERT(it != mTimers.end());
  it->second.mAceTimer = kNoAceTimer;
  mDueTimers.push_back(it->first);
  return 0;
}

/// Runs the timers that have expired until the turn is over. One that was
/// cancelled since is not found any more.
void
Reactor::Impl::RunDueTimers()
{
  while (!mDueTimers.empty()) {
    const auto it = mTimers.find(mDueTimers.front());
    mDueTimers.pop_front();
    if (it == mTimers.end()) {
      continue;
    }
    const Task task = std::move(it->second.mTask);
    mTimers.erase(it);
    mNow = Reactor::ReadClock();
    task();
    if (Reactor::ReadClock() - *mTurnStartedAt >= kMaxTurn) {
      return;
    }
  }
}

/// Runs the timers that are due.
void
Reactor::Impl::ExpireTimers()
{
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t bytes = ::read(mTimer, &count, sizeof(count));
  mArmedTime = ACE_Time_Value::zero;
  mIsExpiringTimers = true;
  mTimerQueue.expire();
  RunDueTimers();
  mIsExpiringTimers = false;
  if (mDueTimers.empty()) {
    ArmTimer();
  } else {
    ArmTimerAfter(ACE_Time_Value::zero);
  }
}

/// Sets the timerfd to the earliest timer unless it is set to that already.
void
Reactor::Impl::ArmTimer()
{
  const bool isArmedForDue = !mDueTimers.empty();
  if (mIsExpiringTimers || isArmedForDue || mTimerQueue.is_empty()) {
    return;
  }
  const ACE_Time_Value earliest = mTimerQueue.earliest_time();
  if (earliest == mArmedTime) {
    return;
  }
  mArmedTime = earliest;
  ArmTimerAfter(earliest - mTimerQueue.gettimeofday());
}

/// Sets the timerfd; a delay that is not positive lets it expire at once.
void
Reactor::Impl::ArmTimerAfter(const ACE_Time_Value& aDelay)
{
  itimerspec spec = {};
  constexpr long kNanosPerMicro = 1000;
  if (aDelay > ACE_Time_Value::zero) {
    spec.it_value.tv_sec = aDelay.sec();
    spec.it_value.tv_nsec = aDelay.usec() * kNanosPerMicro;
  } else {
    spec.it_value.tv_nsec = 1; // Zero would disarm it.
  }
  ::timerfd_settime(mTimer, 0, &spec, nullptr);
}

/// Runs in signal context, so it only records the signal and wakes the loop.
int
Reactor::Impl::handle_signal(int aSignal,
                             siginfo_t* /*aInfo*/,
                             ucontext_t* /*aUser*/)
{
  mSignalArrived[static_cast<std::size_t>(aSignal)] = true;
  WakeUp();
  return 0;
}

void
Reactor::Impl::WakeUp() const
{
  const int savedErrno = errno;
  const std::uint64_t one = 1;
  // A write fails only when the counter is full, and then it already wakes the
  // loop.
  [[maybe_unused]] const ssize_t bytes = ::write(mWakeUp, &one, sizeof(one));
  errno = savedErrno;
}

void
Reactor::Impl::RunPosted()
{
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t bytes = ::read(mWakeUp, &count, sizeof(count));
  std::vector<Task> tasks;
  {
    const std::lock_guard<std::mutex> lock(mPostedLock);
    tasks.swap(mPosted);
  }
  std::move(tasks.begin(), tasks.end(), std::back_inserter(mTasks));
  while (!mTasks.empty()) {
    const Task task = std::move(mTasks.front());
    mTasks.pop_front();
    task();
    if (Reactor::ReadClock() - *mTurnStartedAt >= kMaxTurn) {
      break;
    }
  }
  if (!mTasks.empty()) {
    WakeUp();
  }
}

void
Reactor::Impl::RunSignals()
{
  for (std::size_t i = 0; i < kMaxSignals; ++i) {
    if (mSignalTasks[i] && mSignalArrived[i].exchange(false)) {
      mSignalTasks[i]();
    }
  }
}

Reactor::Reactor(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

Reactor::~Reactor() = default;

std::unique_ptr<Reactor>
Reactor::Create()
{
  const int wakeUp = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (wakeUp < 0) {
    return nullptr;
  }
  const int timer =
    ::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  if (timer < 0) {
    ::close(wakeUp);
    return nullptr;
  }
  // A write to a closed socket must fail instead of terminating the process.
  std::signal(SIGPIPE, SIG_IGN);
  auto impl = std::make_unique<Impl>(wakeUp, timer);
  if (impl->mReactor.initialized() == 0 ||
      impl->mReactor.register_handler(
        wakeUp, impl.get(), ACE_Event_Handler::READ_MASK) != 0 ||
      impl->mReactor.register_handler(
        timer, impl.get(), ACE_Event_Handler::READ_MASK) != 0) {
    return nullptr;
  }
  return std::unique_ptr<Reactor>(new Reactor(std::move(impl)));
}

void
Reactor::Run()
{
  while (!mImpl->mIsStopRequested) {
    if (mImpl->mReactor.handle_events() < 0 && errno != EINTR) {
      break;
    }
  }
  mImpl->mIsStopRequested = false;
}

void
Reactor::Stop()
{
  mImpl->mIsStopRequested = true;
  mImpl->WakeUp();
}

TimePoint
Reactor::ReadClock()
{
  // CLOCK_MONOTONIC stops while a VM is suspended, so information from before
  // the suspension would look newer than it is.
  timespec now = {};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

TimePoint
Reactor::Now() const
{
  return mImpl->mNow.value_or(ReadClock());
}

bool
Reactor::IsTurnOver() const
{
  const auto& startedAt = mImpl->mTurnStartedAt;
  return startedAt && ReadClock() - *startedAt >= kMaxTurn;
}

TurnStatistics
Reactor::TakeTurnStatistics()
{
  const TurnStatistics statistics = mImpl->mTurnStatistics;
  mImpl->mTurnStatistics.mLongest = Duration(0);
  return statistics;
}

Reactor::TimerId
Reactor::Schedule(Duration aDelay, Task aTask)
{
  const TimerId id = ++mImpl->mLastTimer;
  Impl::Timer& timer = mImpl->mTimers[id];
  timer = { id, 0, std::move(aTask) };
  // The queue passes the address to handle_timeout(). It stays valid until the
  // timer is erased.
  timer.mAceTimer = mImpl->mTimerQueue.schedule(
    mImpl.get(),
    &timer,
    mImpl->mTimerQueue.gettimeofday() + ToTimeValue(aDelay));
  PH_ASSERT(timer.mAceTimer >= 0);
  mImpl->ArmTimer();
  return id;
}

void
Reactor::CancelTimer(TimerId aTimer)
{
  const auto it = mImpl->mTimers.find(aTimer);
  if (it != mImpl->mTimers.end()) {
    if (it->second.mAceTimer != kNoAceTimer) {
      mImpl->mTimerQueue.cancel(it->second.mAceTimer);
    }
    mImpl->mTimers.erase(it);
  }
}

void
Reactor::Post(Task aTask)
{
  bool wasEmpty = false;
  {
    const std::lock_guard<std::mutex> lock(mImpl->mPostedLock);
    wasEmpty = mImpl->mPosted.empty();
    mImpl->mPosted.push_back(std::move(aTask));
  }
  if (wasEmpty) {
    mImpl->WakeUp();
  }
}

bool
Reactor::Watch(int aDescriptor, DescriptorListener* aListener)
{
  mImpl->mListeners[aDescriptor] = aListener;
  if (mImpl->mReactor.register_handler(
        aDescriptor, mImpl.get(), ACE_Event_Handler::READ_MASK) == 0) {
    return true;
  }
  mImpl->mListeners.erase(aDescriptor);
  return false;
}

void
Reactor::Unwatch(int aDescriptor)
{
  if (mImpl->mListeners.erase(aDescriptor) > 0) {
    mImpl->mReactor.remove_handler(
      aDescriptor, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
  }
}

void
Reactor::SetSignalHandler(int aSignal, Task aTask)
{
  PH_ASSERT(aSignal > 0 && static_cast<std::size_t>(aSignal) < kMaxSignals);
  mImpl->mSignalTasks[static_cast<std::size_t>(aSignal)] = std::move(aTask);
  mImpl->mReactor.register_handler(aSignal, mImpl.get());
}

} // namespace peridothoist
