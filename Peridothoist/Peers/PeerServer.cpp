/// Answers the system's other processes over gRPC.
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

/// Least time between two log lines about refused peers.
constexpr Duration kRefusalLogInterval = 1s;

/// What gRPC's threads and the reactor's thread share.
struct Shared
{
  Shared(Reactor& aReactor, PeerCredentials aCredentials)
    : mReactor(aReactor)
    , mCredentials(std::move(aCredentials))
  {
  }

  Reactor& mReactor; ///< gRPC's threads only post to it.
  const PeerCredentials mCredentials;
  const std::shared_ptr<detail::OpenPeerCalls> mOpen =
    std::make_shared<detail::OpenPeerCalls>();
  std::atomic<std::int64_t> mLastRefusalLog{ 0 }; ///< Steady clock, in us.

  // Reactor's thread only; null once the server is gone.
  ControlPeerHandler* mControl = nullptr;
  EntryPeerHandler* mEntry = nullptr;
};

/// Whether the call carries the shared secret, where one is set.
bool
IsPeer(const Shared& aShared, const grpc::CallbackServerContext& aContext)
{
  const std::string& secret = aShared.mCredentials.mSharedSecret;
  if (secret.empty()) {
    return true; // TLS has checked the certificate.
  }
  const auto& metadata = aContext.client_metadata();
  const auto it = metadata.find(detail::kSecretMetadata);
  return it != metadata.end() &&
         detail::IsSameSecret({ it->second.data(), it->second.size() }, secret);
}

/// Logs a refused caller, though not each one of a flood.
void
LogRefusal(Shared& aShared, const std::string& aPeer)
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

/// Takes a call in on gRPC's thread and gives it to a handler's method on the
/// reactor's.
template<typename Handler, typename Request, typename Reply>
grpc::ServerUnaryReactor*
TakeIn(const std::shared_ptr<Shared>& aShared,
       grpc::CallbackServerContext* aContext,
       const Request* aRequest,
       Reply* aReply,
       Handler* Shared::*aHandler,
       void (Handler::*aMethod)(const Request&, PeerAnswer<Reply>))
{
  const auto call = std::make_shared<detail::PeerServerCall<Request, Reply>>(
    aShared->mOpen, aRequest, aReply);
  if (!aShared->mOpen->Add(call)) {
    auto* refused = aContext->DefaultReactor();
    refused->Finish({ grpc::StatusCode::UNAVAILABLE, "the server stops" });
    return refused;
  }
  if (!IsPeer(*aShared, *aContext)) {
    LogRefusal(*aShared, aContext->peer());
    call->Fail({ grpc::StatusCode::UNAUTHENTICATED, "not a peer" });
    return call.get();
  }
  aShared->mReactor.Post([shared = aShared, call, aHandler, aMethod] {
    Handler* handler = (*shared).*aHandler;
    if (handler == nullptr || call->IsCancelled()) {
      call->Fail({ grpc::StatusCode::CANCELLED, "the call ended before" });
      return;
    }
    (handler->*aMethod)(call->GetRequest(), call->MakeAnswer());
  });
  return call.get();
}

/// The service between control processes, and towards entries.
class ControlService : public peer::Control::CallbackService
{
public:
  explicit ControlService(std::shared_ptr<Shared> aShared)
    : mShared(std::move(aShared))
  {
  }

  // See: peer::Control::CallbackService
  grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* aContext,
                                     const peer::ExchangeRequest* aRequest,
                                     peer::ExchangeReply* aReply) override
  {
    return TakeIn(mShared,
                  aContext,
                  aRequest,
                  aReply,
                  &Shared::mControl,
                  &ControlPeerHandler::OnExchange);
  }

  grpc::ServerUnaryReactor* Follow(grpc::CallbackServerContext* aContext,
                                   const peer::FollowRequest* aRequest,
                                   peer::ViewUpdate* aReply) override
  {
    return TakeIn(mShared,
                  aContext,
                  aRequest,
                  aReply,
                  &Shared::mControl,
                  &ControlPeerHandler::OnFollow);
  }

private:
  std::shared_ptr<Shared> mShared;
};

/// The service between entry processes.
class EntryService : public peer::Entry::CallbackService
{
public:
  explicit EntryService(std::shared_ptr<Shared> aShared)
    : mShared(std::move(aShared))
  {
  }

  // See: peer::Entry::CallbackService
  grpc::ServerUnaryReactor* Borrow(grpc::CallbackServerContext* aContext,
                                   const peer::BorrowRequest* aRequest,
                                   peer::BorrowReply* aReply) override
  {
    return TakeIn(mShared,
                  aContext,
                  aRequest,
                  aReply,
                  &Shared::mEntry,
                  &EntryPeerHandler::OnBorrow);
  }

  grpc::ServerUnaryReactor* Transfer(grpc::CallbackServerContext* aContext,
                                     const peer::ShareTransfer* aRequest,
                                     peer::TransferReply* aReply) override
  {
    return TakeIn(mShared,
                  aContext,
                  aRequest,
                  aReply,
                  &Shared::mEntry,
                  &EntryPeerHandler::OnTransfer);
  }

  grpc::ServerUnaryReactor* Warn(grpc::CallbackServerContext* aContext,
                                 const peer::Warning* aRequest,
                                 peer::WarningReply* aReply) override
  {
    return TakeIn(mShared,
                  aContext,
                  aRequest,
                  aReply,
                  &Shared::mEntry,
                  &EntryPeerHandler::OnWarn);
  }

private:
  std::shared_ptr<Shared> mShared;
};

} // namespace

/// The server and its services.
struct PeerServer::Impl
{
  Impl(Reactor& aReactor, const Settings& aSettings)
    : mSettings(aSettings)
    , mShared(std::make_shared<Shared>(aReactor, aSettings.mCredentials))
    , mControlService(mShared)
    , mEntryService(mShared)
  {
  }

  bool Start(Reason* aReason);
  void Stop();

  const Settings mSettings;
  std::shared_ptr<Shared> mShared;
  ControlService mControlService;
  EntryService mEntryService;
  std::unique_ptr<grpc::Server> mServer; ///< Goes before the services.
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
  // gRPC waits for every call to be finished, so none may stay with a handler
  // or in the reactor's queue.
  for (const auto& call : mShared->mOpen->Stop()) {
    call->Fail({ grpc::StatusCode::UNAVAILABLE, "the server stops" });
  }
  if (mServer != nullptr) {
    mServer->Shutdown(std::chrono::system_clock::now() + mSettings.mStopGrace);
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
