/// Calls the system's other processes over gRPC. A call is handed to gRPC only
/// when its channel is connected: whatever fails before that is known to have
/// sent nothing.
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

/// How often a channel that is being connected is looked at.
constexpr Duration kConnectPoll = 2ms;

/// One peer: its channel and a stub for each service.
struct Peer
{
  std::shared_ptr<grpc::Channel> mChannel;
  std::unique_ptr<peer::Control::Stub> mControl;
  std::unique_ptr<peer::Entry::Stub> mEntry;
  std::uint64_t mLastUse = 0; ///< Counts calls of the client.
};

/// Counts what gRPC still holds, so that the client can wait for it. Reached
/// from gRPC's threads.
class Outstanding
{
public:
  void Add(grpc::ClientContext* aContext)
  {
    const std::lock_guard<std::mutex> lock(mLock);
    mContexts.insert(aContext);
  }

  void Remove(grpc::ClientContext* aContext)
  {
    const std::lock_guard<std::mutex> lock(mLock);
    mContexts.erase(aContext);
    mChanged.notify_all();
  }

  /// Cancels all calls and waits until gRPC has let go of them.
  void CancelAndWait()
  {
    std::unique_lock<std::mutex> lock(mLock);
    for (grpc::ClientContext* context : mContexts) {
      context->TryCancel();
    }
    mChanged.wait(lock, [this] { return mContexts.empty(); });
  }

private:
  std::mutex mLock;
  std::condition_variable mChanged;
  std::unordered_set<grpc::ClientContext*> mContexts;
};

/// What a failed status says about whether the call took effect.
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

/// The client and its channels.
struct PeerClient::Impl : std::enable_shared_from_this<Impl>
{
  Impl(Reactor& aReactor, const Settings& aSettings);

  /// One call until its end.
  template<typename Request, typename Reply>
  struct Call
  {
    std::shared_ptr<Peer> mPeer;
    Request mRequest;
    Reply mReply;
    TimePoint mDeadline;
    Done<Reply> mDone;
    grpc::ClientContext mContext;
    /// Hands the call to gRPC, with what to do at its end.
    std::function<void(Call&, std::function<void(grpc::Status)>)> mStart;
  };

  template<typename Request, typename Reply, typename Start>
  void Begin(const std::string& aAddress,
             Request aRequest,
             Duration aDeadline,
             Done<Reply> aDone,
             Start aStart);

  template<typename C>
  void Connect(const std::shared_ptr<C>& aCall);
  template<typename C>
  void Send(const std::shared_ptr<C>& aCall);
  template<typename Request, typename Reply>
  static void EndSent(Call<Request, Reply>& aCall,
                      const Done<Reply>& aDone,
                      const grpc::Status& aStatus);
  template<typename C>
  void FailLater(const std::shared_ptr<C>& aCall,
                 ReasonCode aCode,
                 std::string aText);

  std::shared_ptr<Peer> GetPeer(const std::string& aAddress);
  void EvictLeastUsed();

  Reactor& mReactor;
  const Settings mSettings;
  std::shared_ptr<grpc::ChannelCredentials> mCredentials;
  grpc::ChannelArguments mArguments;
  std::unordered_map<std::string, std::shared_ptr<Peer>> mPeers;
  std::uint64_t mCalls = 0;
  std::shared_ptr<Outstanding> mOutstanding = std::make_shared<Outstanding>();
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
PeerClient::Impl::Begin(const std::string& aAddress,
                        Request aRequest,
                        Duration aDeadline,
                        Done<Reply> aDone,
                        Start aStart)
{
  const auto call = std::make_shared<Call<Request, Reply>>();
  call->mRequest = std::move(aRequest);
  call->mDeadline = mReactor.Now() + aDeadline;
  call->mDone = std::move(aDone);
  call->mStart = aStart;
  if (!ParseSocketAddress(aAddress)) {
    FailLater(call,
              ReasonCode::Invalid,
              fmt::format("peer address \"{}\" is not ip:port", aAddress));
    return;
  }
  const std::size_t size = call->mRequest.ByteSizeLong();
  if (size > detail::kMaxMessageBytes) {
    FailLater(call,
              ReasonCode::Full,
              fmt::format("a message of {} bytes is over the largest of {}",
                          size,
                          detail::kMaxMessageBytes));
    return;
  }
  call->mPeer = GetPeer(aAddress);
  // Asks for a connection where there is none.
  if (call->mPeer->mChannel->GetState(true) == GRPC_CHANNEL_READY) {
    Send(call);
  } else {
    Connect(call);
  }
}

/// Waits for the channel to connect, then sends.
template<typename C>
void
PeerClient::Impl::Connect(const std::shared_ptr<C>& aCall)
{
  mReactor.Schedule(
    kConnectPoll, [weak = std::weak_ptr<Impl>(shared_from_this()), aCall] {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      switch (aCall->mPeer->mChannel->GetState(true)) {
        case GRPC_CHANNEL_READY:
          self->Send(aCall);
          return;
        case GRPC_CHANNEL_TRANSIENT_FAILURE:
        case GRPC_CHANNEL_SHUTDOWN:
          aCall->mDone(std::nullopt,
                       { ReasonCode::Unreachable, "can't connect" });
          return;
        default:
          break;
      }
      if (self->mReactor.Now() >= aCall->mDeadline) {
        aCall->mDone(std::nullopt,
                     { ReasonCode::Unreachable, "no connection in time" });
        return;
      }
      self->Connect(aCall);
    });
}

template<typename C>
void
PeerClient::Impl::Send(const std::shared_ptr<C>& aCall)
{
  const std::string& secret = mSettings.mCredentials.mSharedSecret;
  if (!secret.empty()) {
    aCall->mContext.AddMetadata(detail::kSecretMetadata, secret);
  }
  aCall->mContext.set_deadline(std::chrono::system_clock::now() +
                               (aCall->mDeadline - mReactor.Now()));
  mOutstanding->Add(&aCall->mContext);
  auto onEnd = [this,
                weak = std::weak_ptr<Impl>(shared_from_this()),
                outstanding = mOutstanding,
                aCall](const grpc::Status& aStatus) {
    // On gRPC's thread; `this` stands until Remove(), since the client waits.
    mReactor.Post([weak, aCall, aStatus] {
      // Taken out here, so that it goes on the reactor's thread: gRPC's may
      // hold the call a little longer.
      const auto done = std::move(aCall->mDone);
      if (!weak.expired()) {
        EndSent(*aCall, done, aStatus);
      }
    });
    outstanding->Remove(&aCall->mContext);
  };
  aCall->mStart(*aCall, std::move(onEnd));
}

template<typename Request, typename Reply>
void
PeerClient::Impl::EndSent(Call<Request, Reply>& aCall,
                          const Done<Reply>& aDone,
                          const grpc::Status& aStatus)
{
  if (aStatus.ok()) {
    aDone(std::move(aCall.mReply), Reason());
    return;
  }
  aDone(std::nullopt,
        { ToReasonCode(aStatus.error_code()), aStatus.error_message() });
}

template<typename C>
void
PeerClient::Impl::FailLater(const std::shared_ptr<C>& aCall,
                            ReasonCode aCode,
                            std::string aText)
{
  mReactor.Post([weak = std::weak_ptr<Impl>(shared_from_this()),
                 aCall,
                 reason = Reason{ aCode, std::move(aText) }] {
    if (!weak.expired()) {
      aCall->mDone(std::nullopt, reason);
    }
  });
}

std::shared_ptr<Peer>
PeerClient::Impl::GetPeer(const std::string& aAddress)
{
  std::shared_ptr<Peer>& peer = mPeers[aAddress];
  if (peer == nullptr) {
    const char* scheme = aAddress.front() == '[' ? "ipv6:" : "ipv4:";
    peer = std::make_shared<Peer>();
    peer->mChannel =
      grpc::CreateCustomChannel(scheme + aAddress, mCredentials, mArguments);
    peer->mControl = peer::Control::NewStub(peer->mChannel);
    peer->mEntry = peer::Entry::NewStub(peer->mChannel);
  }
  peer->mLastUse = ++mCalls;
  auto found = peer;
  if (mPeers.size() > mSettings.mMaxChannels) {
    EvictLeastUsed();
  }
  return found;
}

/// Closes the channel whose last call is the longest ago; calls on it go on.
void
PeerClient::Impl::EvictLeastUsed()
{
  const auto it = std::min_element(
    mPeers.begin(), mPeers.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second->mLastUse < aRight.second->mLastUse;
    });
  mPeers.erase(it);
}

PeerClient::PeerClient(std::shared_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

PeerClient::~PeerClient()
{
  mImpl->mOutstanding->CancelAndWait();
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
                     Duration aDeadline,
                     Done<peer::ExchangeReply> aDone)
{
  mImpl->Begin(aAddress,
               std::move(aRequest),
               aDeadline,
               std::move(aDone),
               [](auto& aCall, auto aOnEnd) {
                 aCall.mPeer->mControl->async()->Exchange(&aCall.mContext,
                                                          &aCall.mRequest,
                                                          &aCall.mReply,
                                                          std::move(aOnEnd));
               });
}

void
PeerClient::Follow(const std::string& aAddress,
                   peer::FollowRequest aRequest,
                   Duration aDeadline,
                   Done<peer::ViewUpdate> aDone)
{
  mImpl->Begin(aAddress,
               std::move(aRequest),
               aDeadline,
               std::move(aDone),
               [](auto& aCall, auto aOnEnd) {
                 aCall.mPeer->mControl->async()->Follow(&aCall.mContext,
                                                        &aCall.mRequest,
                                                        &aCall.mReply,
                                                        std::move(aOnEnd));
               });
}

void
PeerClient::Borrow(const std::string& aAddress,
                   peer::BorrowRequest aRequest,
                   Duration aDeadline,
                   Done<peer::BorrowReply> aDone)
{
  mImpl->Begin(aAddress,
               std::move(aRequest),
               aDeadline,
               std::move(aDone),
               [](auto& aCall, auto aOnEnd) {
                 aCall.mPeer->mEntry->async()->Borrow(&aCall.mContext,
                                                      &aCall.mRequest,
                                                      &aCall.mReply,
                                                      std::move(aOnEnd));
               });
}

void
PeerClient::Transfer(const std::string& aAddress,
                     peer::ShareTransfer aRequest,
                     Duration aDeadline,
                     Done<peer::TransferReply> aDone)
{
  mImpl->Begin(aAddress,
               std::move(aRequest),
               aDeadline,
               std::move(aDone),
               [](auto& aCall, auto aOnEnd) {
                 aCall.mPeer->mEntry->async()->Transfer(&aCall.mContext,
                                                        &aCall.mRequest,
                                                        &aCall.mReply,
                                                        std::move(aOnEnd));
               });
}

void
PeerClient::Warn(const std::string& aAddress,
                 peer::Warning aRequest,
                 Duration aDeadline,
                 Done<peer::WarningReply> aDone)
{
  mImpl->Begin(aAddress,
               std::move(aRequest),
               aDeadline,
               std::move(aDone),
               [](auto& aCall, auto aOnEnd) {
                 aCall.mPeer->mEntry->async()->Warn(&aCall.mContext,
                                                    &aCall.mRequest,
                                                    &aCall.mReply,
                                                    std::move(aOnEnd));
               });
}

} // namespace peridothoist
