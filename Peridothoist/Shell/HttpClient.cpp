/// An HTTP client on libcurl's multi handle. All its sockets are registered
/// with one epoll descriptor, which the reactor watches.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpClient.h>

#include <Peridothoist/Core/BoundedBuffer.h>
#include <Peridothoist/Shell/ClientCall.h>
#include <Peridothoist/Shell/ReadySockets.h>

#include <curl/curl.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <deque>
#include <mutex>
#include <unordered_map>

namespace peridothoist {

namespace {

/// Maximum number of idle connections to all services, kept for reuse.
constexpr long kMaxIdleConnections = 2048;

/// Collects the response body for Fetch().
class ResponseCollector : public HttpCallListener
{
public:
  ResponseCollector(HttpClient::FetchCallback aCallback,
                    std::shared_ptr<MemoryBudget> aMemory,
                    std::size_t aMaxBytes)
    : mCallback(std::move(aCallback))
    , mBody(std::move(aMemory), aMaxBytes, kDocumentBuffer)
  {
  }

  /// Sets what ends the call, for a body that can't be kept.
  void SetCancel(std::function<void()> aCancel)
  {
    mCancel = std::move(aCancel);
  }

  /// Returns when a part of the response arrived last, or the call began.
  TimePoint LastProgress() const { return mLastProgress; }

  /// Makes the call end as TimedOut, whatever its result.
  void MarkStalled() { mIsStalled = true; }

  // See: HttpCallListener
  void OnHead(int /*aStatus*/, const HttpHeaders& aHeaders) override
  {
    mHeaders = aHeaders;
    mLastProgress = Reactor::ReadClock();
  }

  void OnData(std::string_view aData) override
  {
    mLastProgress = Reactor::ReadClock();
    if (mBody.Error() == BufferError::None && !mBody.Append(aData)) {
      mCancel();
    }
  }

  void OnEnd(const HttpCallResult& aResult) override
  {
    HttpCallResult result = aResult;
    result.mHeaders = std::move(mHeaders);
    if (mBody.Error() != BufferError::None) {
      result.mFailure = CallFailure::Broken;
      result.mReason = "no memory for the response body";
    }
    if (mIsStalled) {
      result.mFailure = CallFailure::TimedOut;
      result.mReason = "no byte of the response arrived in time";
    }
    mCallback(result, mBody.Take());
  }

private:
  HttpClient::FetchCallback mCallback;
  std::function<void()> mCancel;
  HttpHeaders mHeaders;
  BoundedBuffer mBody;
  TimePoint mLastProgress = Reactor::ReadClock();
  bool mIsStalled = false;
};

} // namespace

const char*
ToName(CallFailure aFailure)
{
  static constexpr std::array<const char*, 6> kNames = {
    "none", "not_connected", "withheld", "timed_out", "broken", "cancelled"
  };
  return kNames[static_cast<std::size_t>(aFailure)];
}

/// The client with its libcurl multi handle.
struct HttpClient::Impl
  : DescriptorListener
  , detail::ClientCallDelegate
{
  Impl(Reactor& aReactor, const std::string& aLocalIp)
    : mReactor(aReactor)
    , mLocalIp(aLocalIp)
  {
  }
  ~Impl() override;
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  bool Start();

  // See: DescriptorListener
  void OnReadable(int aDescriptor) override;

  // See: ClientCallDelegate
  bool IsTurnOver() const override { return mReactor.IsTurnOver(); }
  void ResumeLater(CallId aCall) override
  {
    mDeferredActions.push_back({ aCall, false });
    ScheduleProcessing();
  }
  detail::KeptConnections& Connections() override { return mConnections; }
  void OnMalformed(const char* aReason) override
  {
    ++mMalformedResponses[aReason];
  }

  // libcurl's callbacks.
  static int OnSocket(CURL* aHandle,
                      curl_socket_t aSocket,
                      int aAction,
                      void* aSelf,
                      void* aSocketData);
  static int OnTimer(CURLM* aMulti, long aMillis, void* aSelf);

  void RunSocketAction(curl_socket_t aSocket, int aEvents);
  void ProcessCompletions();
  void ScheduleProcessing();
  void Restart(detail::ClientCall& aCall);
  void FinishCall(CallId aCall, CURLcode aResult);
  void WatchProgress(CallId aCall,
                     const std::shared_ptr<ResponseCollector>& aCollector,
                     Duration aStallTimeout,
                     Duration aWait);

  /// An action on a call that must wait until libcurl has returned from its
  /// callback.
  struct DeferredAction
  {
    CallId mCall = 0;
    bool mIsCancel = false; ///< Cancels the call; otherwise resumes it.
  };

  Reactor& mReactor;
  std::string mLocalIp;
  std::shared_ptr<MemoryBudget> mMemory; ///< Null: no bound.
  detail::KeptConnections mConnections;
  std::map<std::string, std::uint64_t> mMalformedResponses; ///< By reason.
  CURLM* mMulti = nullptr;
  int mEpoll = -1;
  detail::ReadySockets mReadySockets;
  CallId mLastCall = 0;
  std::unordered_map<CallId, std::unique_ptr<detail::ClientCall>> mCalls;
  std::deque<DeferredAction> mDeferredActions; ///< Oldest first.
  Reactor::TimerId mLibraryTimer = 0; ///< Timeout that libcurl has set.
  Reactor::TimerId mProcessTimer = 0;
  std::unordered_map<CallId, Reactor::TimerId> mProgressTimers;
};

HttpClient::Impl::~Impl()
{
  mReactor.CancelTimer(mProcessTimer);
  for (const auto& [id, timer] : mProgressTimers) {
    mReactor.CancelTimer(timer);
  }
  for (const auto& [id, call] : mCalls) {
    curl_multi_remove_handle(mMulti, call->Handle());
  }
  mCalls.clear();
  if (mMulti != nullptr) {
    curl_multi_cleanup(mMulti);
  }
  mReactor.CancelTimer(mLibraryTimer);
  if (mEpoll >= 0) {
    mReactor.Unwatch(mEpoll);
    ::close(mEpoll);
  }
}

bool
HttpClient::Impl::Start()
{
  static std::once_flag initialized;
  std::call_once(initialized, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  mMulti = curl_multi_init();
  mEpoll = ::epoll_create1(EPOLL_CLOEXEC);
  if (mMulti == nullptr || mEpoll < 0) {
    return false;
  }
  curl_multi_setopt(mMulti, CURLMOPT_SOCKETFUNCTION, &OnSocket);
  curl_multi_setopt(mMulti, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(mMulti, CURLMOPT_TIMERFUNCTION, &OnTimer);
  curl_multi_setopt(mMulti, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(mMulti, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  curl_multi_setopt(mMulti, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  return mReactor.Watch(mEpoll, this);
}

void
HttpClient::Impl::OnReadable(int /*aDescriptor*/)
{
  mReadySockets.HandleEach(mEpoll, mReactor, [this](const epoll_event& aEvent) {
    const std::uint32_t events = aEvent.events;
    int curlEvents = 0;
    curlEvents |= (events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
    curlEvents |= (events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
    curlEvents |= (events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0;
    RunSocketAction(aEvent.data.fd, curlEvents);
  });
  ProcessCompletions();
}

int
HttpClient::Impl::OnSocket(CURL* /*aHandle*/,
                           curl_socket_t aSocket,
                           int aAction,
                           void* aSelf,
                           void* aSocketData)
{
  auto& self = *static_cast<Impl*>(aSelf);
  if (aAction == CURL_POLL_REMOVE) {
    ::epoll_ctl(self.mEpoll, EPOLL_CTL_DEL, aSocket, nullptr);
    return 0;
  }
  epoll_event event = {};
  event.data.fd = aSocket;
  event.events |= (aAction & CURL_POLL_IN) != 0 ? EPOLLIN : 0U;
  event.events |= (aAction & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U;
  const int operation = aSocketData == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
  ::epoll_ctl(self.mEpoll, operation, aSocket, &event);
  curl_multi_assign(self.mMulti, aSocket, &self);
  return 0;
}

int
HttpClient::Impl::OnTimer(CURLM* /*aMulti*/, long aMillis, void* aSelf)
{
  auto& self = *static_cast<Impl*>(aSelf);
  self.mReactor.CancelTimer(self.mLibraryTimer);
  self.mLibraryTimer = 0;
  if (aMillis >= 0) {
    self.mLibraryTimer =
      self.mReactor.Schedule(std::chrono::milliseconds(aMillis), [&self] {
        self.mLibraryTimer = 0;
        self.RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
        self.ProcessCompletions();
      });
  }
  return 0;
}

void
HttpClient::Impl::RunSocketAction(curl_socket_t aSocket, int aEvents)
{
  int running = 0;
  curl_multi_socket_action(mMulti, aSocket, aEvents, &running);
}

/// Finishes completed calls and runs the actions that were deferred by now,
/// until the turn is over.
void
HttpClient::Impl::ProcessCompletions()
{
  int remaining = 0;
  while (const CURLMsg* message = curl_multi_info_read(mMulti, &remaining)) {
    if (message->msg == CURLMSG_DONE) {
      const CURLcode result = message->data.result;
      auto& call = detail::ClientCall::FromHandle(message->easy_handle);
      if (call.NeedsNewConnection()) {
        Restart(call);
      } else {
        FinishCall(call.Id(), result);
      }
    }
  }
  for (std::size_t left = mDeferredActions.size(); left > 0; --left) {
    const DeferredAction action = mDeferredActions.front();
    mDeferredActions.pop_front();
    const auto it = mCalls.find(action.mCall);
    if (it != mCalls.end() && action.mIsCancel) {
      FinishCall(action.mCall, CURLE_ABORTED_BY_CALLBACK);
    } else if (it != mCalls.end()) {
      it->second->ResumeTransfer();
    }
    if (mReactor.IsTurnOver()) {
      break;
    }
  }
  if (!mDeferredActions.empty()) {
    ScheduleProcessing();
  }
}

void
HttpClient::Impl::ScheduleProcessing()
{
  if (mProcessTimer == 0) {
    mProcessTimer = mReactor.Schedule(Duration::zero(), [this] {
      mProcessTimer = 0;
      ProcessCompletions();
    });
  }
}

/// Makes a call on a new connection of which nothing was sent.
void
HttpClient::Impl::Restart(detail::ClientCall& aCall)
{
  curl_multi_remove_handle(mMulti, aCall.Handle());
  aCall.UseNewConnection();
  curl_multi_add_handle(mMulti, aCall.Handle());
}

void
HttpClient::Impl::FinishCall(CallId aCall, CURLcode aResult)
{
  const auto it = mCalls.find(aCall);
  PH_ASSERT(it != mCalls.end());
  const auto call = std::move(it->second);
  mCalls.erase(it);
  const auto progress = mProgressTimers.find(aCall);
  if (progress != mProgressTimers.end()) {
    mReactor.CancelTimer(progress->second);
    mProgressTimers.erase(progress);
  }
  curl_multi_remove_handle(mMulti, call->Handle());
  call->Listener()->OnEnd(call->MakeResult(aResult));
}

/// Ends a call whose response has stalled, checking after aWait first.
void
HttpClient::Impl::WatchProgress(
  CallId aCall,
  const std::shared_ptr<ResponseCollector>& aCollector,
  Duration aStallTimeout,
  Duration aWait)
{
  mProgressTimers[aCall] =
    mReactor.Schedule(aWait, [this, aCall, aCollector, aStallTimeout] {
      const Duration silent = Reactor::ReadClock() - aCollector->LastProgress();
      if (silent < aStallTimeout) {
        WatchProgress(aCall, aCollector, aStallTimeout, aStallTimeout - silent);
        return;
      }
      mProgressTimers.erase(aCall);
      aCollector->MarkStalled();
      FinishCall(aCall, CURLE_OPERATION_TIMEDOUT);
    });
}

HttpClient::HttpClient(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient>
HttpClient::Create(Reactor& aReactor, const std::string& aLocalIp)
{
  auto impl = std::make_unique<Impl>(aReactor, aLocalIp);
  if (!impl->Start()) {
    return nullptr;
  }
  return std::unique_ptr<HttpClient>(new HttpClient(std::move(impl)));
}

void
HttpClient::SetMemory(std::shared_ptr<MemoryBudget> aMemory)
{
  mImpl->mMemory = std::move(aMemory);
}

const std::shared_ptr<MemoryBudget>&
HttpClient::Memory() const
{
  return mImpl->mMemory;
}

const std::map<std::string, std::uint64_t>&
HttpClient::MalformedResponses() const
{
  return mImpl->mMalformedResponses;
}

HttpClient::CallId
HttpClient::Start(HttpCall aCall, std::shared_ptr<HttpCallListener> aListener)
{
  const CallId id = ++mImpl->mLastCall;
  auto call = detail::ClientCall::Create(
    id, std::move(aCall), mImpl->mLocalIp, std::move(aListener), mImpl.get());
  PH_ASSERT(call != nullptr);
  curl_multi_add_handle(mImpl->mMulti, call->Handle());
  mImpl->mCalls[id] = std::move(call);
  return id;
}

void
HttpClient::Cancel(CallId aCall)
{
  const auto it = mImpl->mCalls.find(aCall);
  if (it != mImpl->mCalls.end()) {
    it->second->MarkCancelled();
    mImpl->mDeferredActions.push_back({ aCall, true });
    mImpl->ScheduleProcessing();
  }
}

void
HttpClient::Pause(CallId aCall)
{
  const auto it = mImpl->mCalls.find(aCall);
  if (it != mImpl->mCalls.end()) {
    it->second->MarkPaused();
  }
}

void
HttpClient::Resume(CallId aCall)
{
  const auto it = mImpl->mCalls.find(aCall);
  if (it != mImpl->mCalls.end()) {
    it->second->MarkResumed();
    mImpl->mDeferredActions.push_back({ aCall, false });
    mImpl->ScheduleProcessing();
  }
}

HttpClient::CallId
HttpClient::Fetch(HttpCall aCall, FetchCallback aCallback)
{
  const Duration stallTimeout = aCall.mStallTimeout;
  auto collector = std::make_shared<ResponseCollector>(
    std::move(aCallback), mImpl->mMemory, aCall.mMaxResponseBytes);
  const CallId id = Start(std::move(aCall), collector);
  collector->SetCancel([this, id] { Cancel(id); });
  if (stallTimeout > Duration(0)) {
    mImpl->WatchProgress(id, collector, stallTimeout, stallTimeout);
  }
  return id;
}

} // namespace peridothoist
