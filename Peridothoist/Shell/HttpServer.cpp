/// The HTTP server: accepts connections, waits for their events with an epoll
/// descriptor that the reactor watches, and keeps the limits that concern all
/// of them together.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpServer.h>

#include <Peridothoist/Shell/ReadySockets.h>
#include <Peridothoist/Shell/ServerConnection.h>
#include <Peridothoist/Shell/ServerSocket.h>

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <unordered_map>

namespace peridothoist {

namespace {

/// Interval of the checks for slow and idle connections.
constexpr Duration kCloseStaleInterval = 500ms;
constexpr Duration kCloseStaleIntervalOfDrain = 100ms;

/// Connections that are accepted in one iteration of the event loop.
constexpr int kMaxAcceptsPerEvent = 64;

/// Id of the listener among the epoll events; those of connections follow.
constexpr std::uint64_t kListenerId = 0;

} // namespace

/// The server with its connections.
struct HttpServer::Impl
  : DescriptorListener
  , detail::ServerConnectionDelegate
{
  Impl(Reactor& aReactor,
       const Settings& aSettings,
       HttpRequestHandler* aHandler)
    : mReactor(aReactor)
    , mSettings(aSettings)
    , mHandler(aHandler)
    , mTls(nullptr, &SSL_CTX_free)
    , mUnsentCharge(aSettings.mMemory)
  {
  }
  ~Impl() override;
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  bool Start(std::string* aReason);
  void StartDrain();
  std::size_t BusyConnectionCount() const;

  // See: DescriptorListener
  void OnReadable(int aDescriptor) override;

  // See: ServerConnectionDelegate
  TimePoint Now() const override { return mReactor.Now(); }
  bool IsTurnOver() const override { return mReactor.IsTurnOver(); }
  void OnRequest(std::shared_ptr<HttpExchange> aExchange) override
  {
    mHandler->OnRequest(std::move(aExchange));
  }
  HttpResponse OnMemoryFull(const HttpRequest& aRequest) override
  {
    return mHandler->OnMemoryFull(aRequest);
  }
  void OnResponding(bool aIsResponding) override
  {
    mOpenExchangeCount += aIsResponding ? 1 : -1;
  }
  void OnUnsentBytesChanged(std::ptrdiff_t aDelta) override
  {
    mUnsentBytes += aDelta;
    mUnsentCharge.Set(static_cast<std::size_t>(mUnsentBytes));
  }
  bool HoldsTooMuch() const override;
  bool ShouldCloseConnections() const override
  {
    return mIsDraining || mShouldCloseAfterResponses;
  }
  bool IsDraining() const override { return mIsDraining; }
  void UpdateEvents(const detail::ServerConnection& aConnection) override;
  void ContinueLater(const detail::ServerConnection& aConnection) override;
  void OnClosed(const detail::ServerConnection& aConnection) override;

  int Accept();
  bool MayAccept() const;
  void AddConnection(int aDescriptor, std::string aPeer);
  void StopAccepting();
  void WatchListener(bool aIsWatched);
  void CloseStaleConnections();
  void ScheduleCloseStale();

  struct Entry
  {
    std::unique_ptr<detail::ServerConnection> mConnection;
    std::uint32_t mEvents = 0; ///< That epoll reports.
  };

  Reactor& mReactor;
  const Settings mSettings;
  HttpRequestHandler* mHandler;
  detail::TlsContext mTls;
  int mEpoll = -1;
  detail::ReadySockets mReadySockets;
  int mListener = -1; ///< Negative after StartDrain().
  std::uint16_t mPort = 0;
  bool mIsListenerWatched = false;
  bool mIsDraining = false;
  bool mShouldCloseAfterResponses = false; ///< See CloseAfterResponses().
  std::ptrdiff_t mOpenExchangeCount = 0;   ///< Never negative.
  std::ptrdiff_t mUnsentBytes = 0;         ///< Never negative.
  MemoryCharge mUnsentCharge;              ///< Of mUnsentBytes.
  std::uint64_t mLastId = kListenerId;
  std::unordered_map<std::uint64_t, Entry> mConnections;
  std::unordered_map<std::string, std::uint32_t> mCountByPeer;
  /// Connections that have ended, until no call on them is active.
  std::vector<std::unique_ptr<detail::ServerConnection>> mClosed;
  Reactor::TimerId mCloseStaleTimer = 0;
  /// Set to false by the destructor; posted tasks hold it.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

HttpResponse
HttpRequestHandler::OnMemoryFull(const HttpRequest& /*aRequest*/)
{
  constexpr int kServiceUnavailable = 503;
  return {
    kServiceUnavailable,
    { { "content-type", "application/json" },
      { "peridothoist-run", "not-run" },
      { "retry-after", "1" } },
    R"({"error":{"type":"memory_full","message":"this process has no memory for the body at present"}})"
  };
}

HttpServer::Impl::~Impl()
{
  *mAlive = false;
  mReactor.CancelTimer(mCloseStaleTimer);
  for (auto& [id, entry] : mConnections) {
    entry.mConnection->DetachExchange();
  }
  mConnections.clear();
  mClosed.clear();
  if (mListener >= 0) {
    ::close(mListener);
  }
  if (mEpoll >= 0) {
    mReactor.Unwatch(mEpoll);
    ::close(mEpoll);
  }
}

bool
HttpServer::Impl::Start(std::string* aReason)
{
  mTls = detail::MakeTlsContext(mSettings, aReason);
  if (!aReason->empty()) {
    return false;
  }
  mListener = detail::OpenListener(mSettings, aReason);
  if (mListener < 0) {
    return false;
  }
  mPort = detail::PortOf(mListener);
  mEpoll = ::epoll_create1(EPOLL_CLOEXEC);
  if (mEpoll < 0 || !mReactor.Watch(mEpoll, this)) {
    *aReason = "no descriptor is available for the server's events";
    return false;
  }
  WatchListener(true);
  ScheduleCloseStale();
  return true;
}

void
HttpServer::Impl::WatchListener(bool aIsWatched)
{
  if (mListener < 0 || aIsWatched == mIsListenerWatched) {
    return;
  }
  mIsListenerWatched = aIsWatched;
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.u64 = kListenerId;
  ::epoll_ctl(
    mEpoll, aIsWatched ? EPOLL_CTL_ADD : EPOLL_CTL_DEL, mListener, &event);
}

void
HttpServer::Impl::OnReadable(int /*aDescriptor*/)
{
  mClosed.clear();
  mReadySockets.HandleEach(mEpoll, mReactor, [this](const epoll_event& aEvent) {
    if (aEvent.data.u64 == kListenerId) {
      Accept();
      return;
    }
    const auto it = mConnections.find(aEvent.data.u64);
    if (it != mConnections.end()) {
      it->second.mConnection->OnEvents(aEvent.events);
    }
  });
  mClosed.clear();
}

bool
HttpServer::Impl::HoldsTooMuch() const
{
  const auto unsent = static_cast<std::size_t>(mUnsentBytes);
  const bool isOverBound =
    mSettings.mMaxBufferedBytes > 0 && unsent > mSettings.mMaxBufferedBytes;
  const auto& memory = mSettings.mMemory;
  return isOverBound ||
         (memory != nullptr && !memory->HasRoom(MemoryUse::Request, 0));
}

bool
HttpServer::Impl::MayAccept() const
{
  return mConnections.size() < mSettings.mMaxConnections;
}

/// Accepts some connections. Returns how many. At the limit of connections, the
/// others wait until one ends.
int
HttpServer::Impl::Accept()
{
  int count = 0;
  while (count < kMaxAcceptsPerEvent && mListener >= 0) {
    if (!MayAccept()) {
      WatchListener(false);
      break;
    }
    std::string peer;
    const int descriptor = detail::AcceptConnection(mListener, peer);
    if (descriptor < 0) {
      break;
    }
    ++count;
    if (mCountByPeer[peer] >= mSettings.mMaxConnectionsPerAddress) {
      ::close(descriptor);
    } else {
      AddConnection(descriptor, std::move(peer));
    }
  }
  return count;
}

void
HttpServer::Impl::AddConnection(int aDescriptor, std::string aPeer)
{
  ++mCountByPeer[aPeer];
  const std::uint64_t id = ++mLastId;
  Entry& entry = mConnections[id];
  entry.mConnection =
    std::make_unique<detail::ServerConnection>(*this,
                                               mSettings,
                                               id,
                                               aDescriptor,
                                               mTls.get(),
                                               std::move(aPeer),
                                               mReactor.Now());
  entry.mEvents = entry.mConnection->WantedEvents();
  epoll_event event = {};
  event.events = entry.mEvents;
  event.data.u64 = id;
  ::epoll_ctl(mEpoll, EPOLL_CTL_ADD, aDescriptor, &event);
}

void
HttpServer::Impl::UpdateEvents(const detail::ServerConnection& aConnection)
{
  const auto it = mConnections.find(aConnection.Id());
  const std::uint32_t events = aConnection.WantedEvents();
  if (it == mConnections.end() || it->second.mEvents == events) {
    return;
  }
  it->second.mEvents = events;
  epoll_event event = {};
  event.events = events;
  event.data.u64 = aConnection.Id();
  ::epoll_ctl(mEpoll, EPOLL_CTL_MOD, aConnection.Descriptor(), &event);
}

void
HttpServer::Impl::ContinueLater(const detail::ServerConnection& aConnection)
{
  mReactor.Post([this, alive = mAlive, id = aConnection.Id()] {
    if (!*alive) {
      return;
    }
    const auto it = mConnections.find(id);
    if (it != mConnections.end()) {
      it->second.mConnection->Continue(mReactor.Now());
    }
  });
}

void
HttpServer::Impl::OnClosed(const detail::ServerConnection& aConnection)
{
  ::epoll_ctl(mEpoll, EPOLL_CTL_DEL, aConnection.Descriptor(), nullptr);
  const auto it = mConnections.find(aConnection.Id());
  PH_ASSERT(it != mConnections.end());
  const auto count = mCountByPeer.find(aConnection.Peer());
  if (--count->second == 0) {
    mCountByPeer.erase(count);
  }
  if (mClosed.empty()) {
    mReactor.Post([this, alive = mAlive] {
      if (*alive) {
        mClosed.clear();
      }
    });
  }
  mClosed.push_back(std::move(it->second.mConnection));
  mConnections.erase(it);
  WatchListener(true);
}

void
HttpServer::Impl::StartDrain()
{
  if (mIsDraining) {
    return;
  }
  mIsDraining = true;
  StopAccepting();
}

/// Accepts the callers that have connected already, whom closing the listener
/// would reset, as many as its queue can hold, and closes it. Idle connections
/// are closed in a later iteration of the event loop, since this may run within
/// a call of one.
void
HttpServer::Impl::StopAccepting()
{
  for (int n = 0; n < SOMAXCONN / kMaxAcceptsPerEvent && Accept() > 0; ++n) {
  }
  WatchListener(false);
  ::close(std::exchange(mListener, -1));
  mReactor.CancelTimer(mCloseStaleTimer);
  mCloseStaleTimer =
    mReactor.Schedule(Duration::zero(), [this] { CloseStaleConnections(); });
}

/// Closes connections whose callers exceed a time limit and, while draining,
/// idle ones.
void
HttpServer::Impl::CloseStaleConnections()
{
  std::vector<detail::ServerConnection*> connections;
  connections.reserve(mConnections.size());
  for (const auto& [id, entry] : mConnections) {
    connections.push_back(entry.mConnection.get());
  }
  // A connection that ends meanwhile stays in mClosed.
  for (detail::ServerConnection* it : connections) {
    it->CloseIfStale(mReactor.Now());
  }
  ScheduleCloseStale();
}

void
HttpServer::Impl::ScheduleCloseStale()
{
  const Duration interval =
    mIsDraining ? kCloseStaleIntervalOfDrain : kCloseStaleInterval;
  mCloseStaleTimer =
    mReactor.Schedule(interval, [this] { CloseStaleConnections(); });
}

std::size_t
HttpServer::Impl::BusyConnectionCount() const
{
  if (mIsDraining) {
    return mConnections.size(); // Idle ones are read before they are closed.
  }
  const TimePoint now = mReactor.Now();
  return static_cast<std::size_t>(std::count_if(
    mConnections.begin(), mConnections.end(), [now](const auto& aIt) {
      return aIt.second.mConnection->IsBusy(now);
    }));
}

HttpServer::HttpServer(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

HttpServer::~HttpServer() = default;

std::unique_ptr<HttpServer>
HttpServer::Create(Reactor& aReactor,
                   const Settings& aSettings,
                   HttpRequestHandler* aHandler,
                   std::string* aReason)
{
  auto impl = std::make_unique<Impl>(aReactor, aSettings, aHandler);
  std::string reason;
  if (!impl->Start(&reason)) {
    if (aReason != nullptr) {
      *aReason = std::move(reason);
    }
    return nullptr;
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

std::uint16_t
HttpServer::Port() const
{
  return mImpl->mPort;
}

void
HttpServer::CloseAfterResponses()
{
  mImpl->mShouldCloseAfterResponses = true;
}

void
HttpServer::StartDrain()
{
  mImpl->StartDrain();
}

std::size_t
HttpServer::BufferedBytes() const
{
  return static_cast<std::size_t>(mImpl->mUnsentBytes);
}

std::size_t
HttpServer::OpenExchangeCount() const
{
  return static_cast<std::size_t>(mImpl->mOpenExchangeCount);
}

std::size_t
HttpServer::BusyConnectionCount() const
{
  return mImpl->BusyConnectionCount();
}

} // namespace peridothoist
