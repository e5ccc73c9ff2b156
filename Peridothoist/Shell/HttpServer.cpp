/// An HTTP server on libmicrohttpd without threads of its own. The reactor
/// watches the library's epoll descriptor and runs its timeouts.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/CallerDisconnectMonitor.h>
#include <Peridothoist/Shell/HttpDaemon.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/Log.h>
#include <Peridothoist/Shell/RequestReader.h>
#include <Peridothoist/Shell/ServerConnection.h>
#include <Peridothoist/Shell/ServerExchange.h>
#include <Peridothoist/Shell/SocketOptions.h>

#include <microhttpd.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <unordered_set>

namespace peridothoist {

namespace {

/// Interval of the checks for slow connections and, while draining, idle ones.
constexpr Duration kCloseStaleInterval = 500ms;

/// Maximum number of runs of libmicrohttpd in which the callers that have
/// connected before a drain are accepted. A run accepts 10 of them; at the
/// limit of connections none.
constexpr int kMaxAcceptRuns = 500;

/// A body that exceeds the limit by more than this factor is not read to its
/// end.
constexpr std::uint64_t kMaxDiscardedBodyFactor = 4;

} // namespace

/// The server with its libmicrohttpd daemon.
struct HttpServer::Impl
  : DescriptorListener
  , detail::ServerExchangeDelegate
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
  void StartDrain();
  void StopAccepting();
  bool HasUnacceptedCallers() const;

  // See: DescriptorListener
  void OnReadable(int aDescriptor) override;

  // See: ServerExchangeDelegate
  void ScheduleRun() override { ScheduleRunWithin(Duration::zero()); }
  void OnBufferedBytesChanged(std::ptrdiff_t aDelta) override
  {
    mBufferedBytes += aDelta;
  }
  bool HoldsTooMuch() const override
  {
    return mSettings.mMaxBufferedBytes > 0 &&
           static_cast<std::size_t>(mBufferedBytes) >
             mSettings.mMaxBufferedBytes;
  }
  bool ShouldCloseConnections() const override
  {
    return mIsDraining || mShouldCloseAfterResponses;
  }

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
  MHD_Result OnRequestHead(detail::ServerConnection& aConnection,
                           const char* aMethod,
                           const char* aPath,
                           bool aIsHttp10);
  MHD_Result OnBodyData(detail::ServerConnection& aConnection,
                        const char* aUpload,
                        std::size_t* aUploadSize);
  MHD_Result OnRequestComplete(detail::ServerConnection& aConnection);

  // The loop.
  void RunDaemon();
  void ScheduleRunWithin(Duration aDelay);
  void CloseStaleConnections();
  static void LogUnsentResponse(const detail::ServerConnection& aConnection,
                                MHD_RequestTerminationCode aCode);

  Reactor& mReactor;
  const Settings mSettings;
  HttpRequestHandler* mHandler;
  std::unique_ptr<detail::CallerDisconnectMonitor> mDisconnectMonitor;
  MHD_Daemon* mDaemon = nullptr;
  int mEpoll = -1;
  std::uint16_t mPort = 0;
  bool mIsDraining = false;
  bool mShouldCloseAfterResponses = false; ///< See CloseAfterResponses().
  std::size_t mOpenExchangeCount = 0;
  std::ptrdiff_t mBufferedBytes = 0; ///< Of all exchanges; never negative.
  std::unordered_set<detail::ServerConnection*> mConnections;

  // Timers. mRunAt is when mRunTimer next runs libmicrohttpd without an event.
  Reactor::TimerId mRunTimer = 0;
  TimePoint mRunAt;
  Reactor::TimerId mCloseStaleTimer = 0;
  Reactor::TimerId mDrainTimer = 0;
  bool mIsDaemonRunning = false; ///< MHD_run() is active; it isn't reentrant.
};

namespace {

detail::ServerConnection&
ConnectionOf(MHD_Connection* aConnection)
{
  const MHD_ConnectionInfo* info =
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return *static_cast<detail::ServerConnection*>(info->socket_context);
}

const char*
ToName(MHD_RequestTerminationCode aCode)
{
  static constexpr std::array<const char*, 6> kNames = {
    "completed",       "connection_error", "timeout",
    "server_shutdown", "read_error",       "caller_gone"
  };
  return kNames[static_cast<std::size_t>(aCode)];
}

} // namespace

HttpServer::Impl::~Impl()
{
  mReactor.CancelTimer(mRunTimer);
  mReactor.CancelTimer(mCloseStaleTimer);
  mReactor.CancelTimer(mDrainTimer);
  if (mDaemon == nullptr) {
    return;
  }
  mReactor.Unwatch(mEpoll);
  for (detail::ServerConnection* connection : mConnections) {
    if (connection->mExchange) {
      connection->mExchange->Detach();
    }
  }
  MHD_stop_daemon(mDaemon);
}

bool
HttpServer::Impl::Start(std::string* aReason)
{
  mDisconnectMonitor = detail::CallerDisconnectMonitor::Create(mReactor);
  if (mDisconnectMonitor == nullptr) {
    *aReason = "cannot create an epoll descriptor for caller connections";
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
    *aReason = "the reactor cannot watch the server's descriptor";
    return false;
  }
  mCloseStaleTimer =
    mReactor.Schedule(kCloseStaleInterval, [this] { CloseStaleConnections(); });
  ScheduleRun();
  return true;
}

void
HttpServer::Impl::StartDrain()
{
  if (mIsDraining) {
    return;
  }
  mIsDraining = true;
  if (mIsDaemonRunning) {
    mDrainTimer =
      mReactor.Schedule(Duration::zero(), [this] { StopAccepting(); });
  } else {
    StopAccepting();
  }
}

/// Returns whether callers have connected that are not accepted yet.
bool
HttpServer::Impl::HasUnacceptedCallers() const
{
  const MHD_DaemonInfo* info =
    MHD_get_daemon_info(mDaemon, MHD_DAEMON_INFO_LISTEN_FD);
  if (info == nullptr || info->listen_fd == MHD_INVALID_SOCKET) {
    return false;
  }
  pollfd listener = { info->listen_fd, POLLIN, 0 };
  return ::poll(&listener, 1, 0) > 0;
}

void
HttpServer::Impl::StopAccepting()
{
  // Closing the listener resets the callers that have connected already and are
  // not accepted yet. libmicrohttpd accepts only some of them in each run.
  for (int n = 0; n < kMaxAcceptRuns && HasUnacceptedCallers(); ++n) {
    RunDaemon();
  }
  const MHD_socket listener = MHD_quiesce_daemon(mDaemon);
  if (listener != MHD_INVALID_SOCKET) {
    ::close(listener);
  }
  CloseStaleConnections();
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
  connection.EnterPhase(detail::ConnectionPhase::Reading, self.mReactor.Now());
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
    const bool isHttp10 = std::strcmp(aVersion, MHD_HTTP_VERSION_1_0) == 0;
    const MHD_Result read =
      self.OnRequestHead(connection, aMethod, aPath, isHttp10);
    if (isHttp10) {
      connection.mExchange->SetStreamsEndWithClose();
    }
    return read;
  }
  if (*aUploadSize > 0) {
    return self.OnBodyData(connection, aUpload, aUploadSize);
  }
  if (connection.Phase() == detail::ConnectionPhase::Reading) {
    return self.OnRequestComplete(connection);
  }
  return connection.mExchange->QueueOrSuspend();
}

void
HttpServer::Impl::OnCompleted(void* aSelf,
                              MHD_Connection* aConnection,
                              void** /*aRequest*/,
                              MHD_RequestTerminationCode aCode)
{
  auto& self = *static_cast<Impl*>(aSelf);
  detail::ServerConnection& connection = ConnectionOf(aConnection);
  self.mDisconnectMonitor->Remove(connection.Descriptor());
  if (connection.Phase() == detail::ConnectionPhase::Responding) {
    --self.mOpenExchangeCount;
    LogUnsentResponse(connection, aCode);
  }
  connection.EnterPhase(detail::ConnectionPhase::Idle, self.mReactor.Now());
  connection.mIsBodyTooLarge = false;
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
    detail::EnableKeepAlive(connection->Descriptor());
    detail::LimitSendBuffer(connection->Descriptor());
    self.mConnections.insert(connection.get());
    *aContext = connection.release();
    return;
  }
  const std::unique_ptr<detail::ServerConnection> connection(
    static_cast<detail::ServerConnection*>(*aContext));
  *aContext = nullptr;
  self.mConnections.erase(connection.get());
}

/// Logs the end of a connection on which a completely received request has no
/// complete response, unless the caller or the handler ended it.
void
HttpServer::Impl::LogUnsentResponse(const detail::ServerConnection& aConnection,
                                    MHD_RequestTerminationCode aCode)
{
  const auto& exchange = aConnection.mExchange;
  const bool isCut = aCode != MHD_REQUEST_TERMINATED_COMPLETED_OK &&
                     exchange != nullptr && exchange->AwaitsDelivery();
  if (isCut) {
    Log::Warning("response_cut")
      .Field("target", aConnection.mTarget)
      .Field("cause", ToName(aCode));
  }
}

/// Called when the head of a request has been received. Rejects the request or
/// accepts its body.
MHD_Result
HttpServer::Impl::OnRequestHead(detail::ServerConnection& aConnection,
                                const char* aMethod,
                                const char* aPath,
                                bool aIsHttp10)
{
  aConnection.mExchange = std::make_shared<detail::ServerExchange>(
    *this, aConnection.Handle(), aConnection.Descriptor(), mSettings);
  detail::ServerExchange& exchange = *aConnection.mExchange;
  HttpRequest& request = exchange.MutableRequest();
  request =
    detail::ReadHead(aConnection.Handle(), aMethod, aPath, aConnection.mTarget);
  auto error =
    detail::CheckHead(aConnection.Handle(), request, aIsHttp10, mSettings);
  const std::uint64_t length = detail::ContentLength(request);
  if (!error && length > kMaxDiscardedBodyFactor * mSettings.mMaxBodyBytes) {
    error = detail::MakeBodyTooLargeError(mSettings);
  }
  if (error) {
    // What follows on the connection may be the body of this request.
    exchange.RespondWithErrorAndClose(
      error->mStatus, error->mType, error->mMessage);
    return exchange.QueueOrSuspend();
  }
  aConnection.mIsBodyTooLarge = length > mSettings.mMaxBodyBytes;
  return MHD_YES;
}

/// Called when a part of the body has been received. A body that is too large
/// is still read to its end, so that the caller reads the error response.
MHD_Result
HttpServer::Impl::OnBodyData(detail::ServerConnection& aConnection,
                             const char* aUpload,
                             std::size_t* aUploadSize)
{
  const std::size_t size = std::exchange(*aUploadSize, 0);
  aConnection.mBodyBytes += size;
  if (aConnection.mBodyBytes >
      kMaxDiscardedBodyFactor * mSettings.mMaxBodyBytes) {
    return MHD_NO;
  }
  std::string& body = aConnection.mExchange->MutableRequest().mBody;
  if (aConnection.mBodyBytes > mSettings.mMaxBodyBytes) {
    aConnection.mIsBodyTooLarge = true;
    std::string().swap(body);
  }
  if (!aConnection.mIsBodyTooLarge) {
    body.append(aUpload, size);
  }
  return MHD_YES;
}

/// Called when the request is complete. Rejects it or passes it to the handler.
MHD_Result
HttpServer::Impl::OnRequestComplete(detail::ServerConnection& aConnection)
{
  if (aConnection.IsShutDown()) {
    return MHD_NO; // Its bytes had arrived, but it can't be answered.
  }
  const auto exchange = aConnection.mExchange;
  aConnection.EnterPhase(detail::ConnectionPhase::Responding, mReactor.Now());
  ++mOpenExchangeCount;
  if (aConnection.mIsBodyTooLarge) {
    const auto error = detail::MakeBodyTooLargeError(mSettings);
    exchange->RespondWithError(error.mStatus, error.mType, error.mMessage);
    return exchange->QueueOrSuspend();
  }
  mDisconnectMonitor->Add(aConnection.Descriptor(), exchange);
  mHandler->OnRequest(exchange->MakeHandlerReference());
  return exchange->QueueOrSuspend();
}

void
HttpServer::Impl::RunDaemon()
{
  PH_ASSERT(!mIsDaemonRunning);
  mIsDaemonRunning = true;
  MHD_run(mDaemon);
  mIsDaemonRunning = false;
  MHD_UNSIGNED_LONG_LONG millis = 0;
  if (MHD_get_timeout(mDaemon, &millis) == MHD_YES) {
    ScheduleRunWithin(std::chrono::milliseconds(millis));
  }
}

/// Schedules a run of libmicrohttpd within aDelay.
void
HttpServer::Impl::ScheduleRunWithin(Duration aDelay)
{
  const TimePoint runAt = mReactor.Now() + aDelay;
  if (mRunTimer != 0 && mRunAt <= runAt) {
    return;
  }
  mReactor.CancelTimer(mRunTimer);
  mRunAt = runAt;
  mRunTimer = mReactor.Schedule(aDelay, [this] {
    mRunTimer = 0;
    RunDaemon();
  });
}

/// Closes connections whose callers exceed the time to send a request and,
/// while draining, idle connections.
void
HttpServer::Impl::CloseStaleConnections()
{
  const TimePoint now = mReactor.Now();
  for (detail::ServerConnection* connection : mConnections) {
    const bool isIdle = connection->Phase() == detail::ConnectionPhase::Idle &&
                        !connection->IsReceivingRequest();
    const bool isSlow = connection->HasRequestTimedOut(mSettings, now);
    if (isSlow) {
      Log::Info("connection_closed").Field("cause", "request_timeout");
    }
    if (isSlow || (mIsDraining && isIdle)) {
      connection->ShutDown();
    }
  }
  mReactor.CancelTimer(mCloseStaleTimer);
  mCloseStaleTimer =
    mReactor.Schedule(kCloseStaleInterval, [this] { CloseStaleConnections(); });
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
  return static_cast<std::size_t>(mImpl->mBufferedBytes);
}

std::size_t
HttpServer::IncomingRequestCount() const
{
  return static_cast<std::size_t>(
    std::count_if(mImpl->mConnections.begin(),
                  mImpl->mConnections.end(),
                  [](const detail::ServerConnection* aIt) {
                    return aIt->IsReceivingRequest();
                  }));
}

std::size_t
HttpServer::OpenExchangeCount() const
{
  return mImpl->mOpenExchangeCount;
}

} // namespace peridothoist
