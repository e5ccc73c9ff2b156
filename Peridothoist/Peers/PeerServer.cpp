/// Serves calls of the system's other processes over gRPC.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Peers/PeerChannel.h>
#include <Peridothoist/Peers/PeerServer.h>
#include <Peridothoist/Peers/PeerServerCall.h>
#include <Peridothoist/Shell/Log.h>

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>
#include <peer.grpc.pb.h>

namespace peridothoist {

namespace {

/// Minimum interval between two log lines about refused peers.
constexpr Duration kRefusalLogInterval = 1s;

/// State shared by gRPC's threads and the reactor's thread.
struct SharedState
{
  SharedState(Reactor& aReactor, PeerCredentials aCredentials)
    : mReactor(aReactor)
    , mCredentials(std::move(aCredentials))
  {
  }

  Reactor& mReactor; ///< gRPC's threads only call Post().
  const PeerCredentials mCredentials;
  const std::shared_ptr<detail::OpenPeerCalls> mOpenCalls =
    std::make_shared<detail::OpenPeerCalls>();
  /// Time of the last log line about a refusal: steady clock, in microseconds.
  std::atomic<std::int64_t> mLastRefusalLog{ 0 };

  // Used on the reactor's thread only; null once the server has stopped.
  ControlPeerHandler* mControl = nullptr;
  EntryPeerHandler* mEntry = nullptr;
};

/// Returns whether the call carries the shared secret, if one is configured.
bool
IsAuthenticated(const SharedState& aShared,
                const grpc::CallbackServerContext& aContext)
{
  const std::string& secret = aShared.mCredentials.mSharedSecret;
  if (secret.empty()) {
    return true; // TLS has verified the certificate.
  }
  const auto& metadata = aContext.client_metadata();
  const auto it = metadata.find(detail::kSecretMetadataKey);
  return it != metadata.end() &&
         detail::IsSameSecret({ it->second.data(), it->second.size() }, secret);
}

/// Logs a refused peer, at a limited rate.
void
LogRefusal(SharedState& aShared, const std::string& aPeer)
{
  const std::int64_t now =
    std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch())
      .count();
  std::int64_t last = aShared.mLastRefusalLog;
  if (now - last >= kRefusalLogInterval.count() &&
      aShared.mLastRefusalLog.compare_exchange_strong(last, now)) {
    Log::Warning("peer_refused").Field("peer", aPeer);
  }
}

/// Accepts a call on gRPC's thread and passes it to a handler's method on the
/// reactor's thread.
template<typename Handler, typename Request, typename Reply>
grpc::ServerUnaryReactor*
AcceptCall(const std::shared_ptr<SharedState>& aShared,
           grpc::CallbackServerContext* aContext,
           const Request* aRequest,
           Reply* aReply,
           Handler* SharedState::*aHandler,
           void (Handler::*aMethod)(const Request&, PeerResponder<Reply>))
{
  const auto call = std::make_shared<detail::PeerServerCall<Request, Reply>>(
    aShared->mOpenCalls, aRequest, aReply);
  if (!aShared->mOpenCalls->Add(call)) {
    auto* refused = aContext->DefaultReactor();
    refused->Finish(
      { grpc::StatusCode::UNAVAILABLE, "the server is stopping" });
    return refused;
  }
  if (!IsAuthenticated(*aShared, *aContext)) {
    LogRefusal(*aShared, aContext->peer());
    call->Fail(
      { grpc::StatusCode::UNAUTHENTICATED, "missing or wrong peer secret" });
    return call.get();
  }
  aShared->mReactor.Post([shared = aShared, call, aHandler, aMethod] {
    Handler* handler = (*shared).*aHandler;
    if (handler == nullptr || call->IsCancelled()) {
      call->Fail({ grpc::StatusCode::CANCELLED,
                   "the call ended before it was handled" });
      return;
    }
    (handler->*aMethod)(call->GetRequest(), call->MakeResponder());
  });
  return call.get();
}

/// Service that a control process offers to control and entry processes.
class ControlService : public peer::Control::CallbackService
{
public:
  explicit ControlService(std::shared_ptr<SharedState> aShared)
    : mShared(std::move(aShared))
  {
  }

  // See: peer::Control::CallbackService
  grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* aContext,
                                     const peer::ExchangeRequest* aRequest,
                                     peer::ExchangeReply* aReply) override
  {
    return AcceptCall(mShared,
                      aContext,
                      aRequest,
                      aReply,
                      &SharedState::mControl,
                      &ControlPeerHandler::OnExchange);
  }

  grpc::ServerUnaryReactor* Follow(grpc::CallbackServerContext* aContext,
                                   const peer::FollowRequest* aRequest,
                                   peer::ViewUpdate* aReply) override
  {
    return AcceptCall(mShared,
                      aContext,
                      aRequest,
                      aReply,
                      &SharedState::mControl,
                      &ControlPeerHandler::OnFollow);
  }

private:
  std::shared_ptr<SharedState> mShared;
};

/// Service that an entry process offers to other entry processes.
class EntryService : public peer::Entry::CallbackService
{
public:
  explicit EntryService(std::shared_ptr<SharedState> aShared)
    : mShared(std::move(aShared))
  {
  }

  // See: peer::Entry::CallbackService
  grpc::ServerUnaryReactor* Borrow(grpc::CallbackServerContext* aContext,
                                   const peer::BorrowRequest* aRequest,
                                   peer::BorrowReply* aReply) override
  {
    return AcceptCall(mShared,
                      aContext,
                      aRequest,
                      aReply,
                      &SharedState::mEntry,
                      &EntryPeerHandler::OnBorrow);
  }

  grpc::ServerUnaryReactor* Transfer(grpc::CallbackServerContext* aContext,
                                     const peer::ShareTransfer* aRequest,
                                     peer::TransferReply* aReply) override
  {
    return AcceptCall(mShared,
                      aContext,
                      aRequest,
                      aReply,
                      &SharedState::mEntry,
                      &EntryPeerHandler::OnTransfer);
  }

  grpc::ServerUnaryReactor* Warn(grpc::CallbackServerContext* aContext,
                                 const peer::Warning* aRequest,
                                 peer::WarningReply* aReply) override
  {
    return AcceptCall(mShared,
                      aContext,
                      aRequest,
                      aReply,
                      &SharedState::mEntry,
                      &EntryPeerHandler::OnWarn);
  }

private:
  std::shared_ptr<SharedState> mShared;
};

} // namespace

/// Implementation of the server and its services.
struct PeerServer::Impl
{
  Impl(Reactor& aReactor, const Settings& aSettings)
    : mSettings(aSettings)
    , mShared(std::make_shared<SharedState>(aReactor, aSettings.mCredentials))
    , mControlService(mShared)
    , mEntryService(mShared)
  {
  }

  bool Start(Reason* aReason);
  void Stop();

  const Settings mSettings;
  std::shared_ptr<SharedState> mShared;
  ControlService mControlService;
  EntryService mEntryService;
  std::unique_ptr<grpc::Server> mServer; ///< Destroyed before the services.
  int mPort = 0;
};

bool
PeerServer::Impl::Start(Reason* aReason)
{
  if (!CheckPeerCredentials(mSettings.mCredentials, aReason)) {
    return false;
  }
  detail::StartGrpc();
  grpc::ResourceQuota quota("peer_server");
  quota.Resize(mSettings.mMaxMemoryBytes);
  quota.SetMaxThreads(mSettings.mMaxThreads);
  grpc::ServerBuilder builder;
  builder.SetResourceQuota(quota);
  detail::SetServerArguments(builder);
  builder.AddListeningPort(mSettings.mAddress,
                           detail::ToServerCredentials(mSettings.mCredentials),
                           &mPort);
  if (mShared->mControl != nullptr) {
    builder.RegisterService(&mControlService);
  }
  if (mShared->mEntry != nullptr) {
    builder.RegisterService(&mEntryService);
  }
  mServer = builder.BuildAndStart();
  if (mServer != nullptr && mPort > 0) {
    return true;
  }
  Reason::Set(aReason,
              ReasonCode::Refused,
              fmt::format("can't listen for peers on {}", mSettings.mAddress));
  return false;
}

void
PeerServer::Impl::Stop()
{
  mShared->mControl = nullptr;
  mShared->mEntry = nullptr;
  // gRPC waits until every call is finished, so calls that a handler or the
  // reactor's queue holds must be finished here.
  for (const auto& call : mShared->mOpenCalls->Stop()) {
    call->Fail({ grpc::StatusCode::UNAVAILABLE, "the server is stopping" });
  }
  if (mServer != nullptr) {
    mServer->Shutdown(std::chrono::system_clock::now() +
                      mSettings.mShutdownTimeout);
    mServer->Wait();
  }
}

PeerServer::PeerServer(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

PeerServer::~PeerServer()
{
  mImpl->Stop();
}

std::unique_ptr<PeerServer>
PeerServer::Create(Reactor& aReactor,
                   const Settings& aSettings,
                   ControlPeerHandler* aControl,
                   EntryPeerHandler* aEntry,
                   Reason* aReason)
{
  PH_ASSERT(aControl != nullptr || aEntry != nullptr);
  auto impl = std::make_unique<Impl>(aReactor, aSettings);
  impl->mShared->mControl = aControl;
  impl->mShared->mEntry = aEntry;
  if (!impl->Start(aReason)) {
    return nullptr;
  }
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(impl)));
}

std::uint16_t
PeerServer::Port() const
{
  return static_cast<std::uint16_t>(mImpl->mPort);
}

} // namespace peridothoist
