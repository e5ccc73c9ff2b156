/// Detects callers that disconnect while their requests wait for a response.
/// libmicrohttpd doesn't monitor the socket of a suspended connection, so these
/// sockets are registered with a separate epoll descriptor. It monitors only
/// hang-ups, because pipelined data from a caller would otherwise keep the
/// level-triggered descriptor readable.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/Reactor.h>

#include <unordered_map>

namespace peridothoist::detail {

class ServerExchange;

/// Monitors the sockets of exchanges for hang-ups.
class CallerDisconnectMonitor : public DescriptorListener
{
public:
  /// Creates a monitor. Returns null when no epoll descriptor is available.
  static std::unique_ptr<CallerDisconnectMonitor> Create(Reactor& aReactor);
  ~CallerDisconnectMonitor() override;
  CallerDisconnectMonitor(const CallerDisconnectMonitor&) = delete;
  CallerDisconnectMonitor& operator=(const CallerDisconnectMonitor&) = delete;

  /// Starts monitoring a socket. Its first hang-up calls aExchange->OnHangUp().
  void Add(int aDescriptor, const std::shared_ptr<ServerExchange>& aExchange);

  /// Stops monitoring a socket. Does nothing when the socket isn't monitored.
  /// Must be called before the socket is closed.
  void Remove(int aDescriptor);

  // See: DescriptorListener
  void OnReadable(int aDescriptor) override;

private:
  CallerDisconnectMonitor(Reactor& aReactor, int aEpoll);

  Reactor& mReactor;
  int mEpoll; ///< Holds the monitored sockets.
  /// Exchanges by socket.
  std::unordered_map<int, std::weak_ptr<ServerExchange>> mExchanges;
};

} // namespace peridothoist::detail
