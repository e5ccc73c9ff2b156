/// Calls HTTP services over libcurl's multi handle. All its sockets are
/// gathered in one epoll descriptor, which the reactor watches.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/ClientCall.h>
#include <Peridothoist/Shell/HttpClient.h>

#include <curl/curl.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <mutex>
#include <unordered_map>

namespace peridothoist {

namespace {

/// Idle connections kept for reuse, over all services.
constexpr long kMaxIdleConnections = 2048;

/// Socket events taken from the kernel at a time.
constexpr int kEventBatch = 256;

/// Bytes that Fetch() keeps of an answer.
constexpr std::size_t kMaxFetchedBytes = 64 * 1024 * 1024;

/// Collects a whole answer for Fetch().
class WholeAnswerCollector : public HttpCallListener
{
public:
  explicit WholeAnswerCollector(HttpClient::WholeAnswer aDone)
    : mDone(std::move(aDone))
  {
  }

  // See: HttpCallListener
  void OnData(std::string_view aData) override
  {
    if (mBody.size() + aData.size() > kMaxFetchedBytes) {
      mTooLarge = true;
      return;
    }
    mBody.append(aData);
  }

  void OnEnd(const HttpCallOutcome& aOutcome) override
  {
    HttpCallOutcome outcome = aOutcome;
    if (mTooLarge && outcome.mFailure == CallFailure::None) {
      outcome.mFailure = CallFailure::Broken;
      outcome.mReason = "the answer is too large";
    }
    mDone(outcome, std::move(mBody));
  }

private:
  HttpClient::WholeAnswer mDone;
  std::string mBody;
  bool mTooLarge = false;
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

/// The client on its multi handle.
struct HttpClient::Impl : DescriptorListener
{
  explicit Impl(Reactor& aReactor)
    : mReactor(aReactor)
  {
  }
  ~Impl() override;
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  bool Start();

  // See: DescriptorListener
  void OnReadable(int aDescriptor) override;

  // libcurl's callbacks.
  static int OnSocket(CURL* aHandle,
                      curl_socket_t aSocket,
                      int aWhat,
                      void* aSelf,
                      void* aKnown);
  static int OnTimer(CURLM* aMulti, long aMillis, void* aSelf);

  void Act(curl_socket_t aSocket, int aEvents);
  void Settle();
  void SettleSoon();
  void End(CallId aCall, CURLcode aResult);

  /// Calls that were told something which must wait until libcurl has
  /// returned.
  struct Wish
  {
    CallId mCall = 0;
    bool mCancel = false; ///< Else: resume.
  };

  Reactor& mReactor;
  CURLM* mMulti = nullptr;
  int mEpoll = -1;
  CallId mLastCall = 0;
  std::unordered_map<CallId, std::unique_ptr<detail::ClientCall>> mCalls;
  std::vector<Wish> mWishes;
  Reactor::TimerId mLibraryTimer = 0; ///< libcurl's own timeout.
  Reactor::TimerId mSettleTimer = 0;
};

HttpClient::Impl::~Impl()
{
  mReactor.CancelTimer(mSettleTimer);
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
  std::array<epoll_event, kEventBatch> events = {};
  const int n = ::epoll_wait(mEpoll, events.data(), kEventBatch, 0);
  for (int i = 0; i < n; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    int what = 0;
    what |= (event.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
    what |= (event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
    what |= (event.events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0;
    Act(event.data.fd, what);
  }
  Settle();
}

int
HttpClient::Impl::OnSocket(CURL* /*aHandle*/,
                           curl_socket_t aSocket,
                           int aWhat,
                           void* aSelf,
                           void* aKnown)
{
  auto& self = *static_cast<Impl*>(aSelf);
  if (aWhat == CURL_POLL_REMOVE) {
    ::epoll_ctl(self.mEpoll, EPOLL_CTL_DEL, aSocket, nullptr);
    return 0;
  }
  epoll_event event = {};
  event.data.fd = aSocket;
  event.events |= (aWhat & CURL_POLL_IN) != 0 ? EPOLLIN : 0U;
  event.events |= (aWhat & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U;
  const int change = aKnown == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
  ::epoll_ctl(self.mEpoll, change, aSocket, &event);
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
        self.Act(CURL_SOCKET_TIMEOUT, 0);
        self.Settle();
      });
  }
  return 0;
}

void
HttpClient::Impl::Act(curl_socket_t aSocket, int aEvents)
{
  int running = 0;
  curl_multi_socket_action(mMulti, aSocket, aEvents, &running);
}

/// Ends calls that are over and does what listeners wished for meanwhile.
void
HttpClient::Impl::Settle()
{
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(mMulti, &left)) {
    if (message->msg == CURLMSG_DONE) {
      const CURLcode result = message->data.result;
      End(detail::ClientCall::Of(message->easy_handle).Id(), result);
    }
  }
  std::vector<Wish> wishes;
  wishes.swap(mWishes);
  for (const Wish& wish : wishes) {
    const auto it = mCalls.find(wish.mCall);
    if (it == mCalls.end()) {
      continue;
    }
    if (wish.mCancel) {
      End(wish.mCall, CURLE_ABORTED_BY_CALLBACK);
    } else {
      it->second->Unpause();
    }
  }
}

void
HttpClient::Impl::SettleSoon()
{
  if (mSettleTimer == 0) {
    mSettleTimer = mReactor.Schedule(Duration::zero(), [this] {
      mSettleTimer = 0;
      Settle();
    });
  }
}

void
HttpClient::Impl::End(CallId aCall, CURLcode aResult)
{
  const auto it = mCalls.find(aCall);
  PH_ASSERT(it != mCalls.end());
  const auto call = std::move(it->second);
  mCalls.erase(it);
  curl_multi_remove_handle(mMulti, call->Handle());
  call->Listener()->OnEnd(call->Outcome(aResult));
}

HttpClient::HttpClient(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient>
HttpClient::Create(Reactor& aReactor)
{
  auto impl = std::make_unique<Impl>(aReactor);
  if (!impl->Start()) {
    return nullptr;
  }
  return std::unique_ptr<HttpClient>(new HttpClient(std::move(impl)));
}

HttpClient::CallId
HttpClient::Start(HttpCall aCall, std::shared_ptr<HttpCallListener> aListener)
{
  const CallId id = ++mImpl->mLastCall;
  auto call =
    detail::ClientCall::Create(id, std::move(aCall), std::move(aListener));
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
    mImpl->mWishes.push_back({ aCall, true });
    mImpl->SettleSoon();
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
    mImpl->mWishes.push_back({ aCall, false });
    mImpl->SettleSoon();
  }
}

HttpClient::CallId
HttpClient::Fetch(HttpCall aCall, WholeAnswer aDone)
{
  return Start(std::move(aCall),
               std::make_shared<WholeAnswerCollector>(std::move(aDone)));
}

} // namespace peridothoist
