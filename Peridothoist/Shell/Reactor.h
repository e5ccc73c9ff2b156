/// The event loop of a daemon: descriptors, timers, signals and work handed
/// over from other threads, on one ACE reactor. All decisions run on its
/// thread, so nothing that it calls needs a lock.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Told when a watched descriptor has something to read.
class DescriptorListener
{
public:
  virtual ~DescriptorListener() = default;

  /// The descriptor is readable (an epoll descriptor: has events).
  virtual void OnReadable(int aDescriptor) = 0;
};

/// One process's event loop.
class Reactor
{
public:
  using Task = std::function<void()>;
  using TimerId = std::uint64_t; ///< 0 is never given out.

  /// Makes a reactor, or returns null when the system refuses a descriptor.
  static std::unique_ptr<Reactor> Create();
  ~Reactor();

  /// Handles events until Stop() is called.
  void Run();

  /// Makes Run() return. May be called from any thread.
  void Stop();

  /// The monotonic clock, which counts the time that a VM was suspended as
  /// well. Read once for each event.
  TimePoint Now() const;

  /// The monotonic clock as it is, read anew: for the last check before bytes
  /// leave.
  static TimePoint ReadClock();

  /// Runs aTask once, aDelay from now.
  TimerId Schedule(Duration aDelay, Task aTask);

  /// Forgets a timer; harmless when it has run.
  void CancelTimer(TimerId aTimer);

  /// Runs aTask on the reactor's thread soon. May be called from any thread.
  void Post(Task aTask);

  /// Watches a descriptor for reading, level-triggered.
  bool Watch(int aDescriptor, DescriptorListener* aListener);

  /// Stops watching a descriptor.
  void Unwatch(int aDescriptor);

  /// Runs aTask on the reactor's thread each time a signal arrives.
  void OnSignal(int aSignal, Task aTask);

private:
  struct Impl;
  explicit Reactor(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace peridothoist
