/// One request and its response on a libmicrohttpd connection.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/ServerExchange.h>

#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>

namespace peridothoist::detail {

namespace {

/// Block size with which libmicrohttpd reads a stream.
constexpr std::size_t kStreamBlockBytes = 2048;

} // namespace

ServerExchange::ServerExchange(ServerExchangeDelegate& aDelegate,
                               MHD_Connection* aConnection,
                               int aDescriptor,
                               const HttpServerSettings& aSettings)
  : mDelegate(aDelegate)
  , mSettings(aSettings)
  , mConnection(aConnection)
  , mDescriptor(aDescriptor)
{
}

ServerExchange::~ServerExchange()
{
  if (mResponse != nullptr) {
    MHD_destroy_response(mResponse);
  }
}

/// Tells the server how many bytes this exchange holds now.
void
ServerExchange::CountBufferedBytes(std::size_t aBytes)
{
  const auto delta = static_cast<std::ptrdiff_t>(aBytes) -
                     static_cast<std::ptrdiff_t>(mCountedBytes);
  mCountedBytes = aBytes;
  if (delta != 0) {
    mDelegate.OnBufferedBytesChanged(delta);
  }
}

std::shared_ptr<HttpExchange>
ServerExchange::MakeHandlerReference()
{
  auto self = shared_from_this();
  return { this, [self](HttpExchange*) { self->OnReleasedByHandler(); } };
}

MHD_Result
ServerExchange::QueueOrSuspend()
{
  if (mIsCallerDisconnected) {
    return MHD_NO;
  }
  if (mResponseState == ResponseState::Pending) {
    mIsSuspended = true;
    MHD_suspend_connection(mConnection);
    return MHD_YES;
  }
  if (mResponse == nullptr) {
    return MHD_NO;
  }
  const MHD_Result queued = MHD_queue_response(
    mConnection, static_cast<unsigned int>(mStatus), mResponse);
  MHD_destroy_response(mResponse);
  mResponse = nullptr;
  return queued;
}

void
ServerExchange::OnHangUp()
{
  const bool isResponseEnded = mResponseState == ResponseState::Ended ||
                               mResponseState == ResponseState::Aborted;
  if (mConnection == nullptr || isResponseEnded) {
    return; // A failed write of the remaining data ends the exchange.
  }
  NotifyCallerDisconnected();
  ::shutdown(mDescriptor, SHUT_RDWR);
  ResumeConnection();
}

void
ServerExchange::OnCompleted()
{
  mConnection = nullptr;
  mIsSuspended = false;
  CountBufferedBytes(0);
  NotifyCallerDisconnected();
}

void
ServerExchange::Detach()
{
  mListener = nullptr;
  mIsCallerDisconnected = true;
  if (mIsSuspended) {
    mIsSuspended = false;
    MHD_resume_connection(mConnection);
  }
}

namespace {

std::string
MakeErrorBody(const char* aType, const std::string& aMessage)
{
  const nlohmann::json body = {
    { "error", { { "type", aType }, { "message", aMessage } } }
  };
  return body.dump();
}

HttpHeaders
MakeErrorHeaders()
{
  return { { "content-type", "application/json" },
           { "peridothoist-run", "not-run" } };
}

} // namespace

void
ServerExchange::RespondWithError(int aStatus,
                                 const char* aType,
                                 const std::string& aMessage)
{
  Respond(aStatus, MakeErrorHeaders(), MakeErrorBody(aType, aMessage));
}

void
ServerExchange::RespondWithErrorAndClose(int aStatus,
                                         const char* aType,
                                         const std::string& aMessage)
{
  HttpHeaders headers = MakeErrorHeaders();
  headers["connection"] = "close";
  Respond(aStatus, headers, MakeErrorBody(aType, aMessage));
}

void
ServerExchange::SetListener(HttpExchangeListener* aListener)
{
  mListener = aListener;
}

void
ServerExchange::Respond(int aStatus,
                        const HttpHeaders& aHeaders,
                        std::string aBody)
{
  if (mResponseState != ResponseState::Pending || mConnection == nullptr ||
      mIsCallerDisconnected) {
    return;
  }
  mResponseState = ResponseState::Ended;
  mStatus = aStatus;
  mResponse = MHD_create_response_from_buffer(
    aBody.size(), aBody.data(), MHD_RESPMEM_MUST_COPY);
  CountBufferedBytes(aBody.size());
  AddHeaders(aHeaders);
  ResumeConnection();
}

void
ServerExchange::StartStream(int aStatus, const HttpHeaders& aHeaders)
{
  if (mResponseState != ResponseState::Pending || mConnection == nullptr ||
      mIsCallerDisconnected) {
    return;
  }
  mResponseState = ResponseState::Streaming;
  mStatus = aStatus;
  mResponse = MHD_create_response_from_callback(
    MHD_SIZE_UNKNOWN, kStreamBlockBytes, &ReadCallback, this, nullptr);
  AddHeaders(aHeaders);
  ResumeConnection();
}

bool
ServerExchange::Write(std::string_view aData)
{
  if (mResponseState != ResponseState::Streaming || mConnection == nullptr ||
      mIsCallerDisconnected) {
    return true;
  }
  mBuffer.append(aData);
  CountBufferedBytes(BufferedBytes());
  ResumeConnection();
  const std::size_t mark = mDelegate.HoldsTooMuch() ? mSettings.mStreamLowMark
                                                    : mSettings.mStreamHighMark;
  mIsAboveHighMark = mIsAboveHighMark || BufferedBytes() > mark;
  return !mIsAboveHighMark;
}

void
ServerExchange::EndStream()
{
  if (mResponseState == ResponseState::Streaming && !mIsCallerDisconnected) {
    mResponseState = ResponseState::Ended;
    ResumeConnection();
  }
}

void
ServerExchange::AbortStream()
{
  const bool isResponseOpen = mResponseState == ResponseState::Pending ||
                              mResponseState == ResponseState::Streaming;
  if (isResponseOpen && mConnection != nullptr && !mIsCallerDisconnected) {
    mResponseState = ResponseState::Aborted;
    ResumeConnection();
  }
}

ssize_t
ServerExchange::ReadCallback(void* aSelf,
                             std::uint64_t /*aPosition*/,
                             char* aBuffer,
                             std::size_t aSize)
{
  return static_cast<ServerExchange*>(aSelf)->ReadStream(aBuffer, aSize);
}

/// Copies the next bytes of a stream to the buffer of libmicrohttpd.
ssize_t
ServerExchange::ReadStream(char* aBuffer, std::size_t aSize)
{
  if (mIsCallerDisconnected) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  const std::size_t n = std::min(aSize, BufferedBytes());
  if (n == 0 && mResponseState == ResponseState::Streaming) {
    mIsSuspended = true;
    MHD_suspend_connection(mConnection);
    return 0;
  }
  if (n == 0 && mResponseState == ResponseState::Ended) {
    return MHD_CONTENT_READER_END_OF_STREAM;
  }
  if (n == 0) {
    ResetConnection();
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  std::memcpy(aBuffer, mBuffer.data() + mBufferStart, n);
  mBufferStart += n;
  DiscardSentBytes();
  CountBufferedBytes(BufferedBytes());
  if (mIsAboveHighMark && BufferedBytes() < mSettings.mStreamLowMark) {
    mIsAboveHighMark = false;
    if (mResponseState == ResponseState::Streaming && mListener != nullptr) {
      mListener->OnBufferDrained();
    }
  }
  return static_cast<ssize_t>(n);
}

/// Removes sent bytes from the buffer and frees its memory when it is empty.
void
ServerExchange::DiscardSentBytes()
{
  if (mBufferStart == mBuffer.size()) {
    std::string().swap(mBuffer);
    mBufferStart = 0;
  } else if (mBufferStart > mBuffer.size() / 2) {
    mBuffer.erase(0, mBufferStart);
    mBufferStart = 0;
  }
}

/// Resets the connection when a close would look like the end of the stream.
void
ServerExchange::ResetConnection() const
{
  if (mStreamsEndWithClose) {
    // On Linux, connecting to AF_UNSPEC resets a TCP connection at once.
    const sockaddr unspecified = { AF_UNSPEC, {} };
    [[maybe_unused]] const int ec =
      ::connect(mDescriptor, &unspecified, sizeof(unspecified));
  }
}

void
ServerExchange::AddHeaders(const HttpHeaders& aHeaders)
{
  PH_ASSERT(mResponse != nullptr);
  for (const auto& [name, value] : aHeaders) {
    MHD_add_response_header(mResponse, name.c_str(), value.c_str());
  }
  if (mDelegate.ShouldCloseConnections()) {
    MHD_add_response_header(mResponse, MHD_HTTP_HEADER_CONNECTION, "close");
  }
}

/// Resumes the connection if it is suspended.
void
ServerExchange::ResumeConnection()
{
  if (mIsSuspended) {
    mIsSuspended = false;
    MHD_resume_connection(mConnection);
    mDelegate.ScheduleRun();
  }
}

/// Called when the handler has released its last reference.
void
ServerExchange::OnReleasedByHandler()
{
  mListener = nullptr;
  if (mResponseState == ResponseState::Pending) {
    Respond(
      MHD_HTTP_INTERNAL_SERVER_ERROR,
      { { "content-type", "application/json" } },
      R"({"error":{"type":"internal","message":"the handler sent no response"}})");
  }
  AbortStream();
}

/// Notifies the handler, once, that the caller disconnected before the response
/// was ended.
void
ServerExchange::NotifyCallerDisconnected()
{
  const bool isResponseEnded = mResponseState == ResponseState::Ended ||
                               mResponseState == ResponseState::Aborted;
  if (mIsCallerDisconnected || isResponseEnded) {
    return;
  }
  mIsCallerDisconnected = true;
  if (mListener != nullptr) {
    std::exchange(mListener, nullptr)->OnCallerDisconnected();
  }
}

} // namespace peridothoist::detail
