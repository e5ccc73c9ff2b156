/// The sockets of one epoll descriptor that are ready, handled in rotation: a
/// turn of the event loop begins where the last one stopped, so that the first
/// sockets can't use up every turn.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/Reactor.h>

#include <sys/epoll.h>

#include <array>

namespace peridothoist::detail {

/// Takes the events of an epoll descriptor, which must be level-triggered:
/// those that a turn doesn't get to are taken again in the next one.
class ReadySockets
{
public:
  /// Calls aHandle with the event of each socket that is ready, at least one,
  /// until the turn is over.
  template<typename Handler>
  void HandleEach(int aEpoll, const Reactor& aReactor, const Handler& aHandle)
  {
    std::array<epoll_event, kMaxEvents> events; // NOLINT: epoll fills it.
    const int count = ::epoll_wait(aEpoll, events.data(), kMaxEvents, 0);
    if (count <= 0) {
      return;
    }
    const auto ready = static_cast<std::size_t>(count);
    const std::size_t first = mHandled % ready;
    for (std::size_t n = 0; n < ready; ++n) {
      aHandle(events[(first + n) % ready]);
      ++mHandled;
      if (aReactor.IsTurnOver()) {
        return;
      }
    }
    mHandled = 0;
  }

private:
  static constexpr int kMaxEvents = 256; ///< In a turn.

  std::size_t mHandled = 0; ///< Since a turn got to all ready sockets.
};

} // namespace peridothoist::detail
