/// Detects callers that disconnect while their requests wait for a response.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/CallerDisconnectMonitor.h>
#include <Peridothoist/Shell/ServerExchange.h>

#include <sys/epoll.h>
#include <unistd.h>

#include <array>

namespace peridothoist::detail {

namespace {

/// Maximum number of events for each epoll_wait().
constexpr int kMaxEventsPerWait = 128;

} // namespace

CallerDisconnectMonitor::CallerDisconnectMonitor(Reactor& aReactor, int aEpoll)
  : mReactor(aReactor)
  , mEpoll(aEpoll)
{
}

CallerDisconnectMonitor::~CallerDisconnectMonitor()
{
  mReactor.Unwatch(mEpoll);
  ::close(mEpoll);
}

std::unique_ptr<CallerDisconnectMonitor>
CallerDisconnectMonitor::Create(Reactor& aReactor)
{
  const int epoll = ::epoll_create1(EPOLL_CLOEXEC);
  if (epoll < 0) {
    return nullptr;
  }
  std::unique_ptr<CallerDisconnectMonitor> monitor(
    new CallerDisconnectMonitor(aReactor, epoll));
  if (!aReactor.Watch(epoll, monitor.get())) {
    return nullptr;
  }
  return monitor;
}

void
CallerDisconnectMonitor::Add(int aDescriptor,
                             const std::shared_ptr<ServerExchange>& aExchange)
{
  epoll_event event = {};
  event.events = EPOLLRDHUP | EPOLLHUP | EPOLLERR;
  event.data.fd = aDescriptor;
  if (::epoll_ctl(mEpoll, EPOLL_CTL_ADD, aDescriptor, &event) == 0) {
    mExchanges[aDescriptor] = aExchange;
  }
}

void
CallerDisconnectMonitor::Remove(int aDescriptor)
{
  if (mExchanges.erase(aDescriptor) > 0) {
    ::epoll_ctl(mEpoll, EPOLL_CTL_DEL, aDescriptor, nullptr);
  }
}

void
CallerDisconnectMonitor::OnReadable(int /*aDescriptor*/)
{
  std::array<epoll_event, kMaxEventsPerWait> events = {};
  const int count = ::epoll_wait(mEpoll, events.data(), kMaxEventsPerWait, 0);
  std::vector<std::shared_ptr<ServerExchange>> disconnected;
  for (int i = 0; i < count; ++i) {
    const int descriptor = events[static_cast<std::size_t>(i)].data.fd;
    const auto it = mExchanges.find(descriptor);
    if (it == mExchanges.end()) {
      continue;
    }
    if (auto exchange = it->second.lock()) {
      disconnected.push_back(std::move(exchange));
    }
    Remove(descriptor);
  }
  for (const auto& exchange : disconnected) {
    exchange->OnHangUp();
  }
}

} // namespace peridothoist::detail
