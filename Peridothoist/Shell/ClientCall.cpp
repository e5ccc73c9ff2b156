/// One call of the HTTP client on a libcurl easy handle.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/ClientCall.h>
#include <Peridothoist/Shell/Log.h>
#include <Peridothoist/Shell/SocketOptions.h>

#include <fmt/format.h>
#include <unistd.h>

namespace peridothoist::detail {

namespace {

/// Maximum size of what is logged of a malformed line.
constexpr std::size_t kMaxExcerptBytes = 80;

/// Size of the receive buffer of each call.
constexpr long kReceiveBufferBytes = 8 * 1024;

long
ToMillis(Duration aDuration)
{
  return static_cast<long>(
    std::chrono::ceil<std::chrono::milliseconds>(aDuration).count());
}

} // namespace

std::unique_ptr<ClientCall>
ClientCall::Create(HttpClient::CallId aId,
                   HttpCall aCall,
                   const std::string& aLocalIp,
                   std::shared_ptr<HttpCallListener> aListener,
                   ClientCallDelegate* aDelegate)
{
  CURL* handle = curl_easy_init();
  if (handle == nullptr) {
    return nullptr;
  }
  std::unique_ptr<ClientCall> call(new ClientCall(
    aId, std::move(aCall), std::move(aListener), aDelegate, handle));
  call->SetOptions(aLocalIp);
  return call;
}

ClientCall::ClientCall(HttpClient::CallId aId,
                       HttpCall aCall,
                       std::shared_ptr<HttpCallListener> aListener,
                       ClientCallDelegate* aDelegate,
                       CURL* aHandle)
  : mId(aId)
  , mCall(std::move(aCall))
  , mListener(std::move(aListener))
  , mDelegate(aDelegate)
  , mHandle(aHandle)
  , mTunnelResponse("CONNECT")
  , mResponse(mCall.mMethod)
{
}

ClientCall::~ClientCall()
{
  curl_easy_cleanup(mHandle);
  curl_slist_free_all(mHeaderList);
}

ClientCall&
ClientCall::FromHandle(CURL* aHandle)
{
  void* self = nullptr;
  curl_easy_getinfo(aHandle, CURLINFO_PRIVATE, &self);
  return *static_cast<ClientCall*>(self);
}

HttpCallResult
ClientCall::MakeResult(CURLcode aResult) const
{
  HttpCallResult result;
  result.mMayHaveBeenSent = mMayHaveBeenSent;
  result.mStatus = mResponse.Status();
  if (mIsCancelled) {
    result.mFailure = CallFailure::Cancelled;
    return result;
  }
  // libcurl reports success when the connection closes within the head.
  const bool isWhole = aResult == CURLE_OK && mResponse.IsComplete();
  if (isWhole) {
    return result;
  }
  result.mReason = curl_easy_strerror(aResult);
  if (!mRejection.empty()) {
    result.mReason = mRejection;
  } else if (aResult == CURLE_OK) {
    result.mReason = "connection closed before the response was complete";
  }
  if (mIsWithheld) {
    result.mFailure = CallFailure::Withheld;
  } else if (!mMayHaveBeenSent) {
    result.mFailure = CallFailure::NotConnected;
    result.mTunnelStatus = mTunnelResponse.Status();
  } else if (aResult == CURLE_OPERATION_TIMEDOUT) {
    result.mFailure = CallFailure::TimedOut;
  } else {
    result.mFailure = CallFailure::Broken;
  }
  return result;
}

void
ClientCall::ResumeTransfer()
{
  if (mIsLibraryPaused && !mIsPauseRequested && !mIsCancelled) {
    mIsLibraryPaused = false;
    curl_easy_pause(mHandle, CURLPAUSE_CONT);
  }
}

void
ClientCall::SetOptions(const std::string& aLocalIp)
{
  curl_easy_setopt(mHandle, CURLOPT_PRIVATE, this);
  curl_easy_setopt(mHandle, CURLOPT_URL, mCall.mUrl.c_str());
  curl_easy_setopt(mHandle, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(mHandle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(mHandle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(mHandle, CURLOPT_NOSIGNAL, 1L);
  if (mCall.mTunnel.empty()) {
    curl_easy_setopt(mHandle, CURLOPT_PROXY, "");
  } else {
    const std::string proxy = "http://" + mCall.mTunnel;
    curl_easy_setopt(mHandle, CURLOPT_PROXY, proxy.c_str());
    curl_easy_setopt(mHandle, CURLOPT_HTTPPROXYTUNNEL, 1L);
  }
  if (!aLocalIp.empty()) {
    curl_easy_setopt(mHandle, CURLOPT_INTERFACE, aLocalIp.c_str());
  }
  curl_easy_setopt(mHandle, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(mHandle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(mHandle, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
  curl_easy_setopt(
    mHandle, CURLOPT_CONNECTTIMEOUT_MS, ToMillis(mCall.mConnectTimeout));
  curl_easy_setopt(mHandle, CURLOPT_TIMEOUT_MS, ToMillis(mCall.mTotalTimeout));
  if (mCall.mSendOnce) {
    curl_easy_setopt(mHandle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(mHandle, CURLOPT_FORBID_REUSE, 1L);
  }
  if (!mCall.mCaCertificatePem.empty()) {
    curl_blob authority = { mCall.mCaCertificatePem.data(),
                            mCall.mCaCertificatePem.size(),
                            CURL_BLOB_NOCOPY };
    curl_easy_setopt(mHandle, CURLOPT_CAINFO_BLOB, &authority);
  }
  curl_easy_setopt(mHandle, CURLOPT_SOCKOPTFUNCTION, &OnSocketCreated);
  curl_easy_setopt(mHandle, CURLOPT_SOCKOPTDATA, this);
  curl_easy_setopt(mHandle, CURLOPT_CLOSESOCKETFUNCTION, &OnSocketClosed);
  curl_easy_setopt(mHandle, CURLOPT_CLOSESOCKETDATA, &mDelegate->Connections());
  curl_easy_setopt(mHandle, CURLOPT_PREREQFUNCTION, &OnBeforeSend);
  curl_easy_setopt(mHandle, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(mHandle, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  curl_easy_setopt(mHandle, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(mHandle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(mHandle, CURLOPT_WRITEFUNCTION, &OnData);
  curl_easy_setopt(mHandle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(mHandle, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(mHandle, CURLOPT_XFERINFOFUNCTION, &OnProgress);
  curl_easy_setopt(mHandle, CURLOPT_XFERINFODATA, this);
  SetMethod();
  SetHeaders();
}

void
ClientCall::SetMethod()
{
  if (mCall.mMethod == "HEAD") {
    curl_easy_setopt(mHandle, CURLOPT_NOBODY, 1L);
    return;
  }
  const bool mayHaveBody = mCall.mMethod == "POST" || mCall.mMethod == "PUT" ||
                           mCall.mMethod == "PATCH";
  const std::string_view body = mCall.Body();
  if (mayHaveBody || !body.empty()) {
    curl_easy_setopt(mHandle, CURLOPT_POST, 1L);
    curl_easy_setopt(mHandle, CURLOPT_POSTFIELDS, body.data());
    curl_easy_setopt(mHandle,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(body.size()));
  }
  curl_easy_setopt(mHandle, CURLOPT_CUSTOMREQUEST, mCall.mMethod.c_str());
}

void
ClientCall::SetHeaders()
{
  const auto add = [this](const std::string& aLine) {
    mHeaderList = curl_slist_append(mHeaderList, aLine.c_str());
  };
  add("Expect:");
  if (mCall.mHeaders.count("content-type") == 0) {
    add("Content-Type:"); // Otherwise libcurl sends a form content type.
  }
  for (const auto& [name, value] : mCall.mHeaders) {
    // libcurl sends a header without a value when its name ends in a semicolon.
    std::string line = name;
    line += value.empty() ? ";" : ": ";
    line += value;
    add(line);
  }
  curl_easy_setopt(mHandle, CURLOPT_HTTPHEADER, mHeaderList);
}

int
ClientCall::OnSocketCreated(void* aSelf,
                            curl_socket_t aSocket,
                            curlsocktype /*aPurpose*/)
{
  EnableKeepAlive(aSocket);
  LimitReceiveBuffer(aSocket);
  static_cast<ClientCall*>(aSelf)->mNewSocket = aSocket;
  return CURL_SOCKOPT_OK;
}

int
ClientCall::OnSocketClosed(void* aConnections, curl_socket_t aSocket)
{
  static_cast<KeptConnections*>(aConnections)->Remove(aSocket);
  return ::close(aSocket);
}

int
ClientCall::OnBeforeSend(void* aSelf,
                         char* aRemoteAddress,
                         char* aLocalAddress,
                         int aRemotePort,
                         int aLocalPort)
{
  auto& self = *static_cast<ClientCall*>(aSelf);
  if (self.mIsCancelled) {
    return CURL_PREREQFUNC_ABORT;
  }
  if (!self.IsClean(
        { aLocalAddress, aLocalPort, aRemoteAddress, aRemotePort })) {
    self.mNeedsNewConnection = true;
    return CURL_PREREQFUNC_ABORT;
  }
  if (!self.mListener->OnBeforeSend()) {
    self.mIsWithheld = !self.mMayHaveBeenSent;
    return CURL_PREREQFUNC_ABORT;
  }
  if (self.mIsCancelled) {
    return CURL_PREREQFUNC_ABORT;
  }
  self.mMayHaveBeenSent = true;
  return CURL_PREREQFUNC_OK;
}

/// Returns whether nothing waits to be read on the connection, which would be
/// taken for the response.
bool
ClientCall::IsClean(const ConnectionEnds& aEnds)
{
  if (mCall.mSendOnce) {
    return true; // The connection is a new one and isn't kept.
  }
  KeptConnections& connections = mDelegate->Connections();
  if (mNewSocket < 0) {
    return !connections.HasInput(aEnds);
  }
  connections.Add(aEnds, std::exchange(mNewSocket, -1));
  return true;
}

void
ClientCall::UseNewConnection()
{
  mNeedsNewConnection = false;
  curl_easy_setopt(mHandle, CURLOPT_FRESH_CONNECT, 1L);
}

std::size_t
ClientCall::OnHeader(char* aData,
                     std::size_t aSize,
                     std::size_t aCount,
                     void* aSelf)
{
  auto& self = *static_cast<ClientCall*>(aSelf);
  return self.OnHeaderLine({ aData, aSize * aCount });
}

std::size_t
ClientCall::OnHeaderLine(std::string_view aLine)
{
  if (mIsCancelled) {
    return 0;
  }
  // Nothing is sent before the tunnel is open.
  ResponseParser& parser = mMayHaveBeenSent ? mResponse : mTunnelResponse;
  parser.TakeHeadLine(aLine);
  if (parser.Error() != nullptr) {
    return RejectMalformed(parser.Error(), aLine);
  }
  if (mResponse.HasHead()) {
    mListener->OnHead(mResponse.Status(), mResponse.Headers());
  }
  return mIsCancelled ? 0 : aLine.size();
}

std::size_t
ClientCall::RejectResponse(std::string aReason)
{
  mRejection = std::move(aReason);
  return 0; // Makes libcurl end the call.
}

std::size_t
ClientCall::RejectMalformed(const char* aReason, std::string_view aLine)
{
  mDelegate->OnMalformed(aReason);
  std::string reason = aReason;
  if (!aLine.empty()) {
    reason += ": " + QuoteForLog(aLine.substr(0, kMaxExcerptBytes));
  }
  return RejectResponse(std::move(reason));
}

std::size_t
ClientCall::OnData(char* aData,
                   std::size_t aSize,
                   std::size_t aCount,
                   void* aSelf)
{
  auto& self = *static_cast<ClientCall*>(aSelf);
  const std::size_t n = aSize * aCount;
  if (self.mIsCancelled) {
    return n + 1; // A result other than n makes libcurl end the call.
  }
  if (self.mIsPauseRequested) {
    self.mIsLibraryPaused = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  if (self.mDelegate->IsTurnOver()) {
    self.PauseUntilLater();
    return CURL_WRITEFUNC_PAUSE;
  }
  return self.TakeData({ aData, n }) ? n : n + 1;
}

/// Takes bytes after the head. Returns whether the call goes on.
bool
ClientCall::TakeData(std::string_view aData)
{
  const std::string_view body = mResponse.TakeBody(aData);
  mBodyBytes += body.size();
  const std::size_t limit = mCall.mMaxResponseBytes;
  if (limit > 0 && mBodyBytes > limit) {
    RejectResponse(fmt::format("response body over {} bytes", limit));
    return false;
  }
  if (!body.empty()) {
    mListener->OnData(body);
  }
  if (mResponse.Error() != nullptr) {
    RejectMalformed(mResponse.Error(), "");
    return false;
  }
  if (mResponse.HasExcess()) {
    curl_easy_setopt(mHandle, CURLOPT_FORBID_REUSE, 1L);
  }
  return !mIsCancelled;
}

/// Called by libcurl after it has read what was there, also if nothing of it is
/// passed on.
int
ClientCall::OnProgress(void* aSelf,
                       curl_off_t /*aDownTotal*/,
                       curl_off_t /*aDownNow*/,
                       curl_off_t /*aUpTotal*/,
                       curl_off_t /*aUpNow*/)
{
  auto& self = *static_cast<ClientCall*>(aSelf);
  // libcurl loses a head during which it is paused; heads are short.
  const bool isReading = self.mResponse.HasHead() && !self.mIsLibraryPaused;
  if (isReading && self.mDelegate->IsTurnOver()) {
    self.PauseUntilLater();
    curl_easy_pause(self.mHandle, CURLPAUSE_RECV);
  }
  return 0;
}

/// Notes that the transfer is paused until a later turn.
void
ClientCall::PauseUntilLater()
{
  mIsLibraryPaused = true;
  mDelegate->ResumeLater(mId);
}

} // namespace peridothoist::detail
