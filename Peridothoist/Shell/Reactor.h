/// The event loop of a daemon: descriptors, timers, signals and tasks posted
/// from other threads, on one ACE reactor. All callbacks run on the reactor's
/// thread, so the code they call needs no locks.
///
/// The loop works in turns: one ready descriptor, the timers that are due, or
/// the tasks that were posted. Whatever could go on without end within a turn
/// asks IsTurnOver() and leaves the rest to its next turn, so that no source
/// keeps the others waiting.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Receives events of a watched descriptor.
class DescriptorListener
{
public:
  virtual ~DescriptorListener() = default;

  /// Called when the descriptor is readable; for an epoll descriptor, when it
  /// has events.
  virtual void OnReadable(int aDescriptor) = 0;
};

/// How long the turns of an event loop took.
struct TurnStatistics
{
  std::uint64_t mTurns = 0;
  std::uint64_t mOverlong = 0; ///< That lasted longer than they should.
  Duration mLongest{ 0 };      ///< Since the statistics were last taken.
};

/// The event loop of a process.
class Reactor
{
public:
  using Task = std::function<void()>;
  using TimerId = std::uint64_t; ///< 0 is never a valid id.

  /// Creates a reactor. Returns null when no descriptor is available.
  static std::unique_ptr<Reactor> Create();
  ~Reactor();

  /// Handles events until Stop() is called.
  void Run();

  /// Makes Run() return. May be called from any thread.
  void Stop();

  /// Returns the monotonic time, which includes time while the VM is suspended.
  /// The clock is read once for each event.
  TimePoint Now() const;

  /// Reads the monotonic clock. Used where the time of the current event is too
  /// old, such as for the last check before sending.
  static TimePoint ReadClock();

  /// Returns whether the current turn has lasted as long as one should. False
  /// outside of a turn.
  bool IsTurnOver() const;

  /// Returns the statistics and begins a new period for mLongest.
  TurnStatistics TakeTurnStatistics();

  /// Schedules aTask to run once after aDelay.
  TimerId Schedule(Duration aDelay, Task aTask);

  /// Cancels a timer. Does nothing when the timer has already run.
  void CancelTimer(TimerId aTimer);

  /// Queues aTask to run on the reactor's thread. May be called from any
  /// thread.
  void Post(Task aTask);

  /// Watches a descriptor for readability, level-triggered. Returns false when
  /// the system can't watch it.
  bool Watch(int aDescriptor, DescriptorListener* aListener);

  /// Stops watching a descriptor.
  void Unwatch(int aDescriptor);

  /// Sets the task that runs on the reactor's thread when a signal has arrived.
  /// Signals that arrive before the task runs are merged into one run.
  void SetSignalHandler(int aSignal, Task aTask);

private:
  struct Impl;
  explicit Reactor(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace peridothoist
