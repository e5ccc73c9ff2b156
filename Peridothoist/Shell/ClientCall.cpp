/// One call on a libcurl easy handle.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/ClientCall.h>
#include <Peridothoist/Shell/SocketOptions.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace peridothoist::detail {

namespace {

/// Receive buffer of each call.
constexpr long kReceiveBufferBytes = 8 * 1024;

/// First status that isn't an interim one.
constexpr int kFirstFinalStatus = 200;

long
ToMillis(Duration aDuration)
{
  return static_cast<long>(
    std::chrono::ceil<std::chrono::milliseconds>(aDuration).count());
}

std::string_view
Trim(std::string_view aText)
{
  constexpr const char* kBlank = " \t\r\n";
  const auto first = aText.find_first_not_of(kBlank);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kBlank) - first + 1);
}

std::string
ToLower(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char aChar) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
  });
  return lower;
}

/// The status of a status line, "HTTP/1.1 200 OK"; 0 when it is none.
int
StatusOf(std::string_view aLine)
{
  if (aLine.substr(0, 5) != "HTTP/") {
    return 0;
  }
  const auto space = aLine.find(' ');
  if (space == std::string_view::npos) {
    return 0;
  }
  int status = 0;
  std::from_chars(
    aLine.data() + space + 1, aLine.data() + aLine.size(), status);
  return status;
}

} // namespace

std::unique_ptr<ClientCall>
ClientCall::Create(HttpClient::CallId aId,
                   HttpCall aCall,
                   std::shared_ptr<HttpCallListener> aListener)
{
  CURL* handle = curl_easy_init();
  if (handle == nullptr) {
    return nullptr;
  }
  std::unique_ptr<ClientCall> call(
    new ClientCall(aId, std::move(aCall), std::move(aListener), handle));
  call->SetOptions();
  return call;
}

ClientCall::ClientCall(HttpClient::CallId aId,
                       HttpCall aCall,
                       std::shared_ptr<HttpCallListener> aListener,
                       CURL* aHandle)
  : mId(aId)
  , mCall(std::move(aCall))
  , mListener(std::move(aListener))
  , mHandle(aHandle)
{
}

ClientCall::~ClientCall()
{
  curl_easy_cleanup(mHandle);
  curl_slist_free_all(mHeaderList);
}

ClientCall&
ClientCall::Of(CURL* aHandle)
{
  void* self = nullptr;
  curl_easy_getinfo(aHandle, CURLINFO_PRIVATE, &self);
  return *static_cast<ClientCall*>(self);
}

HttpCallOutcome
ClientCall::Outcome(CURLcode aResult) const
{
  HttpCallOutcome outcome;
  outcome.mMayHaveBeenSent = mMayHaveBeenSent;
  outcome.mStatus = mStatus;
  if (mCancelled) {
    outcome.mFailure = CallFailure::Cancelled;
    return outcome;
  }
  // libcurl is content with a head that the close cut short.
  const bool whole = aResult == CURLE_OK && mHeadDone;
  if (whole) {
    return outcome;
  }
  outcome.mReason = aResult == CURLE_OK ? "the answer's head is not whole"
                                        : curl_easy_strerror(aResult);
  if (mWithheld) {
    outcome.mFailure = CallFailure::Withheld;
  } else if (!mMayHaveBeenSent) {
    outcome.mFailure = CallFailure::NotConnected;
  } else if (aResult == CURLE_OPERATION_TIMEDOUT) {
    outcome.mFailure = CallFailure::TimedOut;
  } else {
    outcome.mFailure = CallFailure::Broken;
  }
  return outcome;
}

void
ClientCall::Unpause()
{
  if (mLibraryPaused && !mPaused && !mCancelled) {
    mLibraryPaused = false;
    curl_easy_pause(mHandle, CURLPAUSE_CONT);
  }
}

void
ClientCall::SetOptions()
{
  curl_easy_setopt(mHandle, CURLOPT_PRIVATE, this);
  curl_easy_setopt(mHandle, CURLOPT_URL, mCall.mUrl.c_str());
  curl_easy_setopt(mHandle, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(mHandle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(mHandle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(mHandle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(mHandle, CURLOPT_PROXY, "");
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
  if (!mCall.mAuthorityPem.empty()) {
    curl_blob authority = { mCall.mAuthorityPem.data(),
                            mCall.mAuthorityPem.size(),
                            CURL_BLOB_NOCOPY };
    curl_easy_setopt(mHandle, CURLOPT_CAINFO_BLOB, &authority);
  }
  curl_easy_setopt(mHandle, CURLOPT_SOCKOPTFUNCTION, &OnSocketMade);
  curl_easy_setopt(mHandle, CURLOPT_PREREQFUNCTION, &OnBeforeSend);
  curl_easy_setopt(mHandle, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(mHandle, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(mHandle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(mHandle, CURLOPT_WRITEFUNCTION, &OnData);
  curl_easy_setopt(mHandle, CURLOPT_WRITEDATA, this);
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
  if (mayHaveBody || !mCall.mBody.empty()) {
    curl_easy_setopt(mHandle, CURLOPT_POST, 1L);
    curl_easy_setopt(mHandle, CURLOPT_POSTFIELDS, mCall.mBody.data());
    curl_easy_setopt(mHandle,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(mCall.mBody.size()));
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
    add("Content-Type:"); // Else libcurl names a form.
  }
  for (const auto& [name, value] : mCall.mHeaders) {
    // libcurl's way to send a header without a value is the semicolon.
    std::string line = name;
    line += value.empty() ? ";" : ": ";
    line += value;
    add(line);
  }
  curl_easy_setopt(mHandle, CURLOPT_HTTPHEADER, mHeaderList);
}

int
ClientCall::OnSocketMade(void* /*aSelf*/,
                         curl_socket_t aSocket,
                         curlsocktype /*aPurpose*/)
{
  ProbeWhenSilent(aSocket);
  return CURL_SOCKOPT_OK;
}

int
ClientCall::OnBeforeSend(void* aSelf,
                         char* /*aRemoteAddress*/,
                         char* /*aLocalAddress*/,
                         int /*aRemotePort*/,
                         int /*aLocalPort*/)
{
  auto& self = *static_cast<ClientCall*>(aSelf);
  if (self.mCancelled) {
    return CURL_PREREQFUNC_ABORT;
  }
  if (!self.mListener->OnBeforeSend()) {
    self.mWithheld = !self.mMayHaveBeenSent;
    return CURL_PREREQFUNC_ABORT;
  }
  if (self.mCancelled) {
    return CURL_PREREQFUNC_ABORT;
  }
  self.mMayHaveBeenSent = true;
  return CURL_PREREQFUNC_OK;
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
  const std::size_t n = aLine.size();
  if (mCancelled) {
    return 0;
  }
  if (mHeadDone) {
    return n;
  }
  const std::string_view line = Trim(aLine);
  if (const int status = StatusOf(line); status != 0) {
    mStatus = status;
    mHeaders.clear();
  } else if (!line.empty()) {
    const auto colon = std::min(line.find(':'), line.size());
    const auto value =
      colon < line.size() ? Trim(line.substr(colon + 1)) : std::string_view();
    std::string& kept = mHeaders[ToLower(line.substr(0, colon))];
    kept += kept.empty() ? "" : ", ";
    kept += value;
  } else if (mStatus >= kFirstFinalStatus) {
    mHeadDone = true;
    mListener->OnHead(mStatus, mHeaders);
  }
  return mCancelled ? 0 : n;
}

std::size_t
ClientCall::OnData(char* aData,
                   std::size_t aSize,
                   std::size_t aCount,
                   void* aSelf)
{
  auto& self = *static_cast<ClientCall*>(aSelf);
  const std::size_t n = aSize * aCount;
  if (self.mCancelled) {
    return n + 1; // Anything but n ends the call.
  }
  if (self.mPaused) {
    self.mLibraryPaused = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  self.mListener->OnData({ aData, n });
  return self.mCancelled ? n + 1 : n;
}

} // namespace peridothoist::detail
