/// Notices callers that go away while their requests wait for an answer.
/// libmicrohttpd doesn't watch the socket of a suspended connection, so these
/// sockets are gathered in an epoll descriptor of our own. It asks for
/// hang-ups only: data that a caller sends ahead must not keep it awake.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/Reactor.h>

#include <unordered_map>

namespace peridothoist::detail {

class ServerExchange;

/// Watches the sockets of exchanges for hang-ups.
class CallerWatch : public DescriptorListener
{
public:
  static std::unique_ptr<CallerWatch> Create(Reactor& aReactor);
  ~CallerWatch() override;
  CallerWatch(const CallerWatch&) = delete;
  CallerWatch& operator=(const CallerWatch&) = delete;

  /// Starts to watch a socket; its first hang-up goes to aExchange.
  void Add(int aDescriptor, const std::shared_ptr<ServerExchange>& aExchange);

  /// Stops to watch a socket; harmless when it isn't watched. Must be called
  /// before the socket is closed.
  void Remove(int aDescriptor);

  // See: DescriptorListener
  void OnReadable(int aDescriptor) override;

private:
  CallerWatch(Reactor& aReactor, int aEpoll);

  Reactor& mReactor;
  int mEpoll;
  std::unordered_map<int, std::weak_ptr<ServerExchange>> mExchanges;
};

} // namespace peridothoist::detail
