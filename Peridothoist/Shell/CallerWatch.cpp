/// Notices callers that go away while their requests wait for an answer.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/CallerWatch.h>
#include <Peridothoist/Shell/ServerExchange.h>

#include <sys/epoll.h>
#include <unistd.h>

#include <array>

namespace peridothoist::detail {

namespace {

/// Hang-ups taken from the kernel at a time.
constexpr int kEventBatch = 128;

} // namespace

CallerWatch::CallerWatch(Reactor& aReactor, int aEpoll)
  : mReactor(aReactor)
  , mEpoll(aEpoll)
{
}

CallerWatch::~CallerWatch()
{
  mReactor.Unwatch(mEpoll);
  ::close(mEpoll);
}

std::unique_ptr<CallerWatch>
CallerWatch::Create(Reactor& aReactor)
{
  const int epoll = ::epoll_create1(EPOLL_CLOEXEC);
  if (epoll < 0) {
    return nullptr;
  }
  std::unique_ptr<CallerWatch> watch(new CallerWatch(aReactor, epoll));
  if (!aReactor.Watch(epoll, watch.get())) {
    return nullptr;
  }
  return watch;
}

void
CallerWatch::Add(int aDescriptor,
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
CallerWatch::Remove(int aDescriptor)
{
  if (mExchanges.erase(aDescriptor) > 0) {
    ::epoll_ctl(mEpoll, EPOLL_CTL_DEL, aDescriptor, nullptr);
  }
}

void
CallerWatch::OnReadable(int /*aDescriptor*/)
{
  std::array<epoll_event, kEventBatch> events = {};
  const int n = ::epoll_wait(mEpoll, events.data(), kEventBatch, 0);
  std::vector<std::shared_ptr<ServerExchange>> gone;
  for (int i = 0; i < n; ++i) {
    const int descriptor = events[static_cast<std::size_t>(i)].data.fd;
    const auto it = mExchanges.find(descriptor);
    if (it == mExchanges.end()) {
      continue;
    }
    if (auto exchange = it->second.lock()) {
      gone.push_back(std::move(exchange));
    }
    Remove(descriptor);
  }
  for (const auto& exchange : gone) {
    exchange->OnHangUp();
  }
}

} // namespace peridothoist::detail
