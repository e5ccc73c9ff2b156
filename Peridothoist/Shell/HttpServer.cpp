/// Serves HTTP over libmicrohttpd, without threads of its own: the reactor
/// watches the library's epoll descriptor and keeps its timeouts.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/CallerWatch.h>
#include <Peridothoist/Shell/HttpDaemon.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/RequestReader.h>
#include <Peridothoist/Shell/ServerConnection.h>
#include <Peridothoist/Shell/ServerExchange.h>
#include <Peridothoist/Shell/SocketOptions.h>

#include <microhttpd.h>
#include <unistd.h>

#include <cstring>
#include <unordered_set>

namespace peridothoist {

namespace {

/// How often slow and, when draining, idle connections are looked for.
constexpr Duration kSweepInterval = 500ms;

/// A body this many times too large is cut off rather than read to its end.
constexpr std::uint64_t kDiscardedBodies = 4;

} // namespace

/// The server on its libmicrohttpd daemon.
struct HttpServer::Impl
  : DescriptorListener
  , detail::ServerExchangeOwner
{
  Impl(Reactor& aReactor,
       const Settings& aSettings,
       HttpRequestHandler* aHandler)
    : mReactor(aReactor)
    , mSettings(aSettings)
    , mHandler(aHandler)
  {
  }
  ~Impl() override;
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  bool Start(std::string* aReason);
  void Drain();
  void StopAccepting();

  // See: DescriptorListener
  void OnReadable(int aDescriptor) override;

  // See: ServerExchangeOwner
  void RunSoon() override { RunWithin(Duration::zero()); }
  bool Draining() const override { return mDraining || mClosing; }

  // libmicrohttpd's callbacks.
  static void* OnRequestLine(void* aSelf,
                             const char* aTarget,
                             MHD_Connection* aConnection);
  static MHD_Result OnAccess(void* aSelf,
                             MHD_Connection* aConnection,
                             const char* aPath,
                             const char* aMethod,
                             const char* aVersion,
                             const char* aUpload,
                             std::size_t* aUploadSize,
                             void** aRequest);
  static void OnCompleted(void* aSelf,
                          MHD_Connection* aConnection,
                          void** aRequest,
                          MHD_RequestTerminationCode aCode);
  static void OnConnection(void* aSelf,
                           MHD_Connection* aConnection,
                           void** aContext,
                           MHD_ConnectionNotificationCode aCode);

  // Steps of a request.
  MHD_Result ReadHeadOf(detail::ServerConnection& aConnection,
                        const char* aMethod,
                        const char* aPath);
  MHD_Result ReadBodyOf(detail::ServerConnection& aConnection,
                        const char* aUpload,
                        std::size_t* aUploadSize);
  MHD_Result HandOver(detail::ServerConnection& aConnection);

  // The loop.
  void RunDaemon();
  void RunWithin(Duration aDelay);
  void Sweep();

  Reactor& mReactor;
  const Settings mSettings;
  HttpRequestHandler* mHandler;
  std::unique_ptr<detail::CallerWatch> mCallerWatch;
  MHD_Daemon* mDaemon = nullptr;
  int mEpoll = -1;
  std::uint16_t mPort = 0;
  bool mDraining = false;
  bool mClosing = false; ///< See CloseAfterAnswers().
  std::size_t mOpenExchanges = 0;
  std::unordered_set<detail::ServerConnection*> mConnections;

  // When libmicrohttpd runs next without an event.
  Reactor::TimerId mRunTimer = 0;
  TimePoint mRunAt;
  Reactor::TimerId mSweepTimer = 0;
  Reactor::TimerId mDrainTimer = 0;
  bool mRunning = false; ///< Inside libmicrohttpd, which isn't reentrant.
};

namespace {

detail::ServerConnection&
ConnectionOf(MHD_Connection* aConnection)
{
  const MHD_ConnectionInfo* info =
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return *static_cast<detail::ServerConnection*>(info->socket_context);
}

} // namespace

HttpServer::Impl::~Impl()
{
  mReactor.CancelTimer(mRunTimer);
  mReactor.CancelTimer(mSweepTimer);
  mReactor.CancelTimer(mDrainTimer);
  if (mDaemon == nullptr) {
    return;
  }
  mReactor.Unwatch(mEpoll);
  for (detail::ServerConnection* connection : mConnections) {
    if (connection->mExchange) {
      connection->mExchange->Abandon();
    }
  }
  MHD_stop_daemon(mDaemon);
}

bool
HttpServer::Impl::Start(std::string* aReason)
{
  mCallerWatch = detail::CallerWatch::Create(mReactor);
  if (mCallerWatch == nullptr) {
    *aReason = "no epoll descriptor for waiting callers";
    return false;
  }
  const detail::HttpDaemonCallbacks callbacks = {
    this, &OnAccess, &OnRequestLine, &OnCompleted, &OnConnection
  };
  mDaemon = detail::StartHttpDaemon(mSettings, callbacks, aReason);
  if (mDaemon == nullptr) {
    return false;
  }
  mPort = MHD_get_daemon_info(mDaemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  mEpoll = MHD_get_daemon_info(mDaemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  if (!mReactor.Watch(mEpoll, this)) {
    *aReason = "the reactor can't watch the server";
    return false;
  }
  mSweepTimer = mReactor.Schedule(kSweepInterval, [this] { Sweep(); });
  RunSoon();
  return true;
}

void
HttpServer::Impl::Drain()
{
  if (mDraining) {
    return;
  }
  mDraining = true;
  if (mRunning) {
    mDrainTimer =
      mReactor.Schedule(Duration::zero(), [this] { StopAccepting(); });
  } else {
    StopAccepting();
  }
}

void
HttpServer::Impl::StopAccepting()
{
  RunDaemon(); // Takes in those who already connected.
  const MHD_socket listener = MHD_quiesce_daemon(mDaemon);
  if (listener != MHD_INVALID_SOCKET) {
    ::close(listener);
  }
  Sweep();
}

void
HttpServer::Impl::OnReadable(int /*aDescriptor*/)
{
  RunDaemon();
}

void*
HttpServer::Impl::OnRequestLine(void* aSelf,
                                const char* aTarget,
                                MHD_Connection* aConnection)
{
  auto& self = *static_cast<Impl*>(aSelf);
  detail::ServerConnection& connection = ConnectionOf(aConnection);
  connection.Enter(detail::ConnectionPhase::Reading, self.mReactor.Now());
  connection.mTarget = aTarget;
  return nullptr;
}

MHD_Result
HttpServer::Impl::OnAccess(void* aSelf,
                           MHD_Connection* aConnection,
                           const char* aPath,
                           const char* aMethod,
                           const char* aVersion,
                           const char* aUpload,
                           std::size_t* aUploadSize,
                           void** /*aRequest*/)
{
  auto& self = *static_cast<Impl*>(aSelf);
  detail::ServerConnection& connection = ConnectionOf(aConnection);
  if (!connection.mExchange) {
    const MHD_Result read = self.ReadHeadOf(connection, aMethod, aPath);
    if (std::strcmp(aVersion, MHD_HTTP_VERSION_1_0) == 0) {
      connection.mExchange->SetStreamsEndWithClose();
    }
    return read;
  }
  if (*aUploadSize > 0) {
    return self.ReadBodyOf(connection, aUpload, aUploadSize);
  }
  if (connection.Phase() == detail::ConnectionPhase::Reading) {
    return self.HandOver(connection);
  }
  return connection.mExchange->Continue();
}

void
HttpServer::Impl::OnCompleted(void* aSelf,
                              MHD_Connection* aConnection,
                              void** /*aRequest*/,
                              MHD_RequestTerminationCode /*aCode*/)
{
  auto& self = *static_cast<Impl*>(aSelf);
  detail::ServerConnection& connection = ConnectionOf(aConnection);
  self.mCallerWatch->Remove(connection.Descriptor());
  if (connection.Phase() == detail::ConnectionPhase::Answering) {
    --self.mOpenExchanges;
  }
  connection.Enter(detail::ConnectionPhase::Idle, self.mReactor.Now());
  connection.mBodyTooLarge = false;
  connection.mBodyBytes = 0;
  if (const auto exchange = std::move(connection.mExchange)) {
    exchange->OnCompleted();
  }
}

void
HttpServer::Impl::OnConnection(void* aSelf,
                               MHD_Connection* aConnection,
                               void** aContext,
                               MHD_ConnectionNotificationCode aCode)
{
  auto& self = *static_cast<Impl*>(aSelf);
  if (aCode == MHD_CONNECTION_NOTIFY_STARTED) {
    auto connection = std::make_unique<detail::ServerConnection>(
      aConnection, self.mReactor.Now());
    detail::ProbeWhenSilent(connection->Descriptor());
    self.mConnections.insert(connection.get());
    *aContext = connection.release();
    return;
  }
  const std::unique_ptr<detail::ServerConnection> connection(
    static_cast<detail::ServerConnection*>(*aContext));
  *aContext = nullptr;
  self.mConnections.erase(connection.get());
}

/// The head of a request came. Refuses it, or lets its body follow.
MHD_Result
HttpServer::Impl::ReadHeadOf(detail::ServerConnection& aConnection,
                             const char* aMethod,
                             const char* aPath)
{
  aConnection.mExchange = std::make_shared<detail::ServerExchange>(
    *this, aConnection.Handle(), aConnection.Descriptor(), mSettings);
  detail::ServerExchange& exchange = *aConnection.mExchange;
  HttpRequest& request = exchange.MutableRequest();
  request =
    detail::ReadHead(aConnection.Handle(), aMethod, aPath, aConnection.mTarget);
  auto fault = detail::CheckHead(aConnection.Handle(), request, mSettings);
  const std::uint64_t length = detail::ContentLength(request);
  if (!fault && length > kDiscardedBodies * mSettings.mMaxBodyBytes) {
    fault = detail::BodyTooLarge(mSettings);
  }
  if (fault) {
    exchange.Refuse(fault->mStatus, fault->mType, fault->mMessage);
    return exchange.Continue();
  }
  aConnection.mBodyTooLarge = length > mSettings.mMaxBodyBytes;
  return MHD_YES;
}

/// A part of the body came. One that is too large is read to its end, so that
/// the caller gets to read the refusal.
MHD_Result
HttpServer::Impl::ReadBodyOf(detail::ServerConnection& aConnection,
                             const char* aUpload,
                             std::size_t* aUploadSize)
{
  const std::size_t n = std::exchange(*aUploadSize, 0);
  aConnection.mBodyBytes += n;
  if (aConnection.mBodyBytes > kDiscardedBodies * mSettings.mMaxBodyBytes) {
    return MHD_NO;
  }
  std::string& body = aConnection.mExchange->MutableRequest().mBody;
  if (aConnection.mBodyBytes > mSettings.mMaxBodyBytes) {
    aConnection.mBodyTooLarge = true;
    std::string().swap(body);
  }
  if (!aConnection.mBodyTooLarge) {
    body.append(aUpload, n);
  }
  return MHD_YES;
}

/// The request is whole: refuses it or gives it to the handler.
MHD_Result
HttpServer::Impl::HandOver(detail::ServerConnection& aConnection)
{
  const auto exchange = aConnection.mExchange;
  aConnection.Enter(detail::ConnectionPhase::Answering, mReactor.Now());
  ++mOpenExchanges;
  if (aConnection.mBodyTooLarge) {
    const auto fault = detail::BodyTooLarge(mSettings);
    exchange->Refuse(fault.mStatus, fault.mType, fault.mMessage);
    return exchange->Continue();
  }
  mCallerWatch->Add(aConnection.Descriptor(), exchange);
  mHandler->OnRequest(exchange->ForHandler());
  return exchange->Continue();
}

void
HttpServer::Impl::RunDaemon()
{
  PH_ASSERT(!mRunning);
  mRunning = true;
  MHD_run(mDaemon);
  mRunning = false;
  MHD_UNSIGNED_LONG_LONG millis = 0;
  if (MHD_get_timeout(mDaemon, &millis) == MHD_YES) {
    RunWithin(std::chrono::milliseconds(millis));
  }
}

/// Runs libmicrohttpd no later than aDelay from now.
void
HttpServer::Impl::RunWithin(Duration aDelay)
{
  const TimePoint at = mReactor.Now() + aDelay;
  if (mRunTimer != 0 && mRunAt <= at) {
    return;
  }
  mReactor.CancelTimer(mRunTimer);
  mRunAt = at;
  mRunTimer = mReactor.Schedule(aDelay, [this] {
    mRunTimer = 0;
    RunDaemon();
  });
}

/// Closes connections whose callers take too long to send a request, and when
/// draining those on which none is under way.
void
HttpServer::Impl::Sweep()
{
  const TimePoint now = mReactor.Now();
  for (detail::ServerConnection* connection : mConnections) {
    const bool idle = connection->Phase() == detail::ConnectionPhase::Idle &&
                      !connection->HasPartOfRequest();
    if (connection->IsTooSlow(mSettings, now) || (mDraining && idle)) {
      connection->ShutDown();
    }
  }
  mReactor.CancelTimer(mSweepTimer);
  mSweepTimer = mReactor.Schedule(kSweepInterval, [this] { Sweep(); });
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
HttpServer::CloseAfterAnswers()
{
  mImpl->mClosing = true;
}

void
HttpServer::StartDrain()
{
  mImpl->Drain();
}

std::size_t
HttpServer::OpenExchanges() const
{
  return mImpl->mOpenExchanges;
}

} // namespace peridothoist
