/// Calls other processes of the system over gRPC. A call is passed to gRPC only
/// once its channel is connected, so that a call that fails earlier is known
/// not to have been sent.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Peers/PeerChannel.h>
#include <Peridothoist/Peers/PeerClient.h>
#include <Peridothoist/Shell/FlagsFromEnvironment.h>

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>
#include <peer.grpc.pb.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

namespace peridothoist {

namespace {

/// Interval for polling the state of a connecting channel.
constexpr Duration kConnectPollInterval = 2ms;

/// The channel to one peer and a stub for each service.
struct PeerConnection
{
  std::shared_ptr<grpc::Channel> mChannel;
  std::unique_ptr<peer::Control::Stub> mControl;
  std::unique_ptr<peer::Entry::Stub> mEntry;
  std::uint64_t mLastCall = 0; ///< Sequence number of its last call.
};

/// The calls that gRPC still references, so that the client can wait for them.
/// Thread-safe, since gRPC's threads remove calls.
class OutstandingCalls
{
public:
  void Add(grpc::ClientContext* aContext)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mContexts.insert(aContext);
  }

  void Remove(grpc::ClientContext* aContext)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mContexts.erase(aContext);
    mChanged.notify_all();
  }

  /// Cancels all calls and waits until gRPC has released them.
  void CancelAndWait()
  {
    std::unique_lock<std::mutex> lock(mMutex);
    for (grpc::ClientContext* context : mContexts) {
      context->TryCancel();
    }
    mChanged.wait(lock, [this] { return mContexts.empty(); });
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::unordered_set<grpc::ClientContext*> mContexts;
};

/// Returns the reason code for the status of a failed call: Refused if the call
/// had no effect, InDoubt if it may have taken effect.
ReasonCode
ToReasonCode(grpc::StatusCode aCode)
{
  switch (aCode) {
    case grpc::StatusCode::UNAUTHENTICATED:
    case grpc::StatusCode::PERMISSION_DENIED:
    case grpc::StatusCode::INVALID_ARGUMENT:
    case grpc::StatusCode::UNIMPLEMENTED:
      return ReasonCode::Refused;
    default:
      return ReasonCode::InDoubt;
  }
}

} // namespace

/// Implementation of the client: its channels and open calls.
struct PeerClient::Impl : std::enable_shared_from_this<Impl>
{
  Impl(Reactor& aReactor, const Settings& aSettings);

  /// State of one call.
  template<typename Request, typename Reply>
  struct Call
  {
    std::shared_ptr<PeerConnection> mConnection;
    Request mRequest;
    Reply mReply;
    TimePoint mDeadline;
    Callback<Reply> mCallback;
    grpc::ClientContext mContext;
    /// Passes the call to gRPC, with the function to call when it ends.
    std::function<void(Call&, std::function<void(grpc::Status)>)> mStartRpc;
  };

  template<typename Request, typename Reply, typename Start>
  void StartCall(const std::string& aAddress,
                 Request aRequest,
                 Duration aTimeout,
                 Callback<Reply> aCallback,
                 Start aStart);

  template<typename C>
  void WaitForConnection(const std::shared_ptr<C>& aCall);
  template<typename C>
  void Send(const std::shared_ptr<C>& aCall);
  template<typename Request, typename Reply>
  static void CompleteCall(Call<Request, Reply>& aCall,
                           const Callback<Reply>& aCallback,
                           const grpc::Status& aStatus);
  template<typename C>
  void PostFailure(const std::shared_ptr<C>& aCall,
                   ReasonCode aCode,
                   std::string aText);

  std::shared_ptr<PeerConnection> GetConnection(const std::string& aAddress);
  void EvictLeastRecentlyUsed();

  Reactor& mReactor;
  const Settings mSettings;
  std::shared_ptr<grpc::ChannelCredentials> mCredentials;
  grpc::ChannelArguments mArguments;
  std::unordered_map<std::string, std::shared_ptr<PeerConnection>> mConnections;
  std::uint64_t mCallCount = 0;
  std::shared_ptr<OutstandingCalls> mOutstandingCalls =
    std::make_shared<OutstandingCalls>();
};

PeerClient::Impl::Impl(Reactor& aReactor, const Settings& aSettings)
  : mReactor(aReactor)
  , mSettings(aSettings)
  , mCredentials(detail::ToChannelCredentials(aSettings.mCredentials))
  , mArguments(detail::ToChannelArguments(aSettings.mCredentials))
{
  grpc::ResourceQuota quota("peer_client");
  quota.Resize(aSettings.mMaxMemoryBytes);
  quota.SetMaxThreads(aSettings.mMaxThreads);
  mArguments.SetResourceQuota(quota);
}

template<typename Request, typename Reply, typename Start>
void
PeerClient::Impl::StartCall(const std::string& aAddress,
                            Request aRequest,
                            Duration aTimeout,
                            Callback<Reply> aCallback,
                            Start aStart)
{
  const auto call = std::make_shared<Call<Request, Reply>>();
  call->mRequest = std::move(aRequest);
  call->mDeadline = mReactor.Now() + aTimeout;
  call->mCallback = std::move(aCallback);
  call->mStartRpc = aStart;
  if (!ParseSocketAddress(aAddress)) {
    PostFailure(call,
                ReasonCode::Invalid,
                fmt::format("peer address \"{}\" is not ip:port", aAddress));
    return;
  }
  const std::size_t size = call->mRequest.ByteSizeLong();
  if (size > detail::kMaxMessageBytes) {
    PostFailure(call,
                ReasonCode::Full,
                fmt::format("a message of {} bytes exceeds the limit of {}",
                            size,
                            detail::kMaxMessageBytes));
    return;
  }
  call->mConnection = GetConnection(aAddress);
  // Starts to connect if the channel is idle.
  if (call->mConnection->mChannel->GetState(true) == GRPC_CHANNEL_READY) {
    Send(call);
  } else {
    WaitForConnection(call);
  }
}

/// Polls the channel until it is connected, then sends the call.
template<typename C>
void
PeerClient::Impl::WaitForConnection(const std::shared_ptr<C>& aCall)
{
  mReactor.Schedule(
    kConnectPollInterval,
    [weak = std::weak_ptr<Impl>(shared_from_this()), aCall] {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      switch (aCall->mConnection->mChannel->GetState(true)) {
        case GRPC_CHANNEL_READY:
          self->Send(aCall);
          return;
        case GRPC_CHANNEL_TRANSIENT_FAILURE:
        case GRPC_CHANNEL_SHUTDOWN:
          aCall->mCallback(std::nullopt,
                           { ReasonCode::Unreachable, "connection failed" });
          return;
        default:
          break;
      }
      if (self->mReactor.Now() >= aCall->mDeadline) {
        aCall->mCallback(
          std::nullopt,
          { ReasonCode::Unreachable, "timed out while connecting" });
        return;
      }
      self->WaitForConnection(aCall);
    });
}

template<typename C>
void
PeerClient::Impl::Send(const std::shared_ptr<C>& aCall)
{
  const std::string& secret = mSettings.mCredentials.mSharedSecret;
  if (!secret.empty()) {
    aCall->mContext.AddMetadata(detail::kSecretMetadataKey, secret);
  }
  aCall->mContext.set_deadline(std::chrono::system_clock::now() +
                               (aCall->mDeadline - mReactor.Now()));
  mOutstandingCalls->Add(&aCall->mContext);
  auto onEnd = [this,
                weak = std::weak_ptr<Impl>(shared_from_this()),
                outstandingCalls = mOutstandingCalls,
                aCall](const grpc::Status& aStatus) {
    // Runs on gRPC's thread. `this` is valid until Remove(), since the client's
    // destructor waits for that.
    mReactor.Post([weak, aCall, aStatus] {
      // Moved out so that it is destroyed on the reactor's thread: gRPC's
      // thread may hold the call longer.
      const auto callback = std::move(aCall->mCallback);
      if (!weak.expired()) {
        CompleteCall(*aCall, callback, aStatus);
      }
    });
    outstandingCalls->Remove(&aCall->mContext);
  };
  aCall->mStartRpc(*aCall, std::move(onEnd));
}

template<typename Request, typename Reply>
void
PeerClient::Impl::CompleteCall(Call<Request, Reply>& aCall,
                               const Callback<Reply>& aCallback,
                               const grpc::Status& aStatus)
{
  if (aStatus.ok()) {
    aCallback(std::move(aCall.mReply), Reason());
    return;
  }
  aCallback(std::nullopt,
            { ToReasonCode(aStatus.error_code()), aStatus.error_message() });
}

template<typename C>
void
PeerClient::Impl::PostFailure(const std::shared_ptr<C>& aCall,
                              ReasonCode aCode,
                              std::string aText)
{
  mReactor.Post([weak = std::weak_ptr<Impl>(shared_from_this()),
                 aCall,
                 reason = Reason{ aCode, std::move(aText) }] {
    if (!weak.expired()) {
      aCall->mCallback(std::nullopt, reason);
    }
  });
}

std::shared_ptr<PeerConnection>
PeerClient::Impl::GetConnection(const std::string& aAddress)
{
  std::shared_ptr<PeerConnection>& connection = mConnections[aAddress];
  if (connection == nullptr) {
    const char* scheme = aAddress.front() == '[' ? "ipv6:" : "ipv4:";
    connection = std::make_shared<PeerConnection>();
    connection->mChannel =
      grpc::CreateCustomChannel(scheme + aAddress, mCredentials, mArguments);
    connection->mControl = peer::Control::NewStub(connection->mChannel);
    connection->mEntry = peer::Entry::NewStub(connection->mChannel);
  }
  connection->mLastCall = ++mCallCount;
  auto found = connection;
  if (mConnections.size() > mSettings.mMaxChannels) {
    EvictLeastRecentlyUsed();
  }
  return found;
}

/// Closes the least recently used channel; its open calls continue.
void
PeerClient::Impl::EvictLeastRecentlyUsed()
{
  const auto it = std::min_element(mConnections.begin(),
                                   mConnections.end(),
                                   [](const auto& aLeft, const auto& aRight) {
                                     return aLeft.second->mLastCall <
                                            aRight.second->mLastCall;
                                   });
  mConnections.erase(it);
}

PeerClient::PeerClient(std::shared_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

PeerClient::~PeerClient()
{
  mImpl->mOutstandingCalls->CancelAndWait();
}

std::unique_ptr<PeerClient>
PeerClient::Create(Reactor& aReactor,
                   const Settings& aSettings,
                   Reason* aReason)
{
  if (!CheckPeerCredentials(aSettings.mCredentials, aReason)) {
    return nullptr;
  }
  detail::StartGrpc();
  return std::unique_ptr<PeerClient>(
    new PeerClient(std::make_shared<Impl>(aReactor, aSettings)));
}

void
PeerClient::Exchange(const std::string& aAddress,
                     peer::ExchangeRequest aRequest,
                     Duration aTimeout,
                     Callback<peer::ExchangeReply> aCallback)
{
  mImpl->StartCall(
    aAddress,
    std::move(aRequest),
    aTimeout,
    std::move(aCallback),
    [](auto& aCall, auto aOnEnd) {
      aCall.mConnection->mControl->async()->Exchange(
        &aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aOnEnd));
    });
}

void
PeerClient::Follow(const std::string& aAddress,
                   peer::FollowRequest aRequest,
                   Duration aTimeout,
                   Callback<peer::ViewUpdate> aCallback)
{
  mImpl->StartCall(
    aAddress,
    std::move(aRequest),
    aTimeout,
    std::move(aCallback),
    [](auto& aCall, auto aOnEnd) {
      aCall.mConnection->mControl->async()->Follow(
        &aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aOnEnd));
    });
}

void
PeerClient::Borrow(const std::string& aAddress,
                   peer::BorrowRequest aRequest,
                   Duration aTimeout,
                   Callback<peer::BorrowReply> aCallback)
{
  mImpl->StartCall(
    aAddress,
    std::move(aRequest),
    aTimeout,
    std::move(aCallback),
    [](auto& aCall, auto aOnEnd) {
      aCall.mConnection->mEntry->async()->Borrow(
        &aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aOnEnd));
    });
}

void
PeerClient::Transfer(const std::string& aAddress,
                     peer::ShareTransfer aRequest,
                     Duration aTimeout,
                     Callback<peer::TransferReply> aCallback)
{
  mImpl->StartCall(
    aAddress,
    std::move(aRequest),
    aTimeout,
    std::move(aCallback),
    [](auto& aCall, auto aOnEnd) {
      aCall.mConnection->mEntry->async()->Transfer(
        &aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aOnEnd));
    });
}

void
PeerClient::Warn(const std::string& aAddress,
                 peer::Warning aRequest,
                 Duration aTimeout,
                 Callback<peer::WarningReply> aCallback)
{
  mImpl->StartCall(
    aAddress,
    std::move(aRequest),
    aTimeout,
    std::move(aCallback),
    [](auto& aCall, auto aOnEnd) {
      aCall.mConnection->mEntry->async()->Warn(
        &aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aOnEnd));
    });
}

} // namespace peridothoist
