/// One request and its answer on a libmicrohttpd connection.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/ServerExchange.h>

#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>

namespace peridothoist::detail {

namespace {

/// Size of libmicrohttpd's block for each stream.
constexpr std::size_t kStreamBlockBytes = 2048;

} // namespace

ServerExchange::ServerExchange(ServerExchangeOwner& aOwner,
                               MHD_Connection* aConnection,
                               int aDescriptor,
                               const HttpServerSettings& aSettings)
  : mOwner(aOwner)
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

std::shared_ptr<HttpExchange>
ServerExchange::ForHandler()
{
  auto self = shared_from_this();
  return { this, [self](HttpExchange*) { self->OnDropped(); } };
}

MHD_Result
ServerExchange::Continue()
{
  if (mGone) {
    return MHD_NO;
  }
  if (mAnswer == Answer::Awaited) {
    mSuspended = true;
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
  const bool answered = mAnswer == Answer::Ended || mAnswer == Answer::Aborted;
  if (mConnection == nullptr || answered) {
    return; // What is left is written out; a failed write ends it.
  }
  TellGone();
  ::shutdown(mDescriptor, SHUT_RDWR);
  Wake();
}

void
ServerExchange::OnCompleted()
{
  mConnection = nullptr;
  mSuspended = false;
  TellGone();
}

void
ServerExchange::Abandon()
{
  mListener = nullptr;
  mGone = true;
  if (mSuspended) {
    mSuspended = false;
    MHD_resume_connection(mConnection);
  }
}

void
ServerExchange::Refuse(int aStatus,
                       const char* aType,
                       const std::string& aMessage)
{
  const nlohmann::json body = {
    { "error", { { "type", aType }, { "message", aMessage } } }
  };
  Respond(aStatus,
          { { "content-type", "application/json" },
            { "peridothoist-run", "not-run" } },
          body.dump());
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
  if (mAnswer != Answer::Awaited || mConnection == nullptr || mGone) {
    return;
  }
  mAnswer = Answer::Ended;
  mStatus = aStatus;
  mResponse = MHD_create_response_from_buffer(
    aBody.size(), aBody.data(), MHD_RESPMEM_MUST_COPY);
  AddHeaders(aHeaders);
  Wake();
}

void
ServerExchange::StartStream(int aStatus, const HttpHeaders& aHeaders)
{
  if (mAnswer != Answer::Awaited || mConnection == nullptr || mGone) {
    return;
  }
  mAnswer = Answer::Streaming;
  mStatus = aStatus;
  mResponse = MHD_create_response_from_callback(
    MHD_SIZE_UNKNOWN, kStreamBlockBytes, &Read, this, nullptr);
  AddHeaders(aHeaders);
  Wake();
}

bool
ServerExchange::Write(std::string_view aData)
{
  if (mAnswer != Answer::Streaming || mConnection == nullptr || mGone) {
    return true;
  }
  mBuffer.append(aData);
  Wake();
  mAboveHighMark = mAboveHighMark || Buffered() > mSettings.mStreamHighMark;
  return !mAboveHighMark;
}

void
ServerExchange::EndStream()
{
  if (mAnswer == Answer::Streaming && !mGone) {
    mAnswer = Answer::Ended;
    Wake();
  }
}

void
ServerExchange::AbortStream()
{
  const bool open = mAnswer == Answer::Awaited || mAnswer == Answer::Streaming;
  if (open && mConnection != nullptr && !mGone) {
    mAnswer = Answer::Aborted;
    Wake();
  }
}

ssize_t
ServerExchange::Read(void* aSelf,
                     std::uint64_t /*aPosition*/,
                     char* aBuffer,
                     std::size_t aSize)
{
  return static_cast<ServerExchange*>(aSelf)->ReadSome(aBuffer, aSize);
}

/// Gives libmicrohttpd the next part of a stream.
ssize_t
ServerExchange::ReadSome(char* aBuffer, std::size_t aSize)
{
  if (mGone) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  const std::size_t n = std::min(aSize, Buffered());
  if (n == 0 && mAnswer == Answer::Streaming) {
    mSuspended = true;
    MHD_suspend_connection(mConnection);
    return 0;
  }
  if (n == 0 && mAnswer == Answer::Ended) {
    return MHD_CONTENT_READER_END_OF_STREAM;
  }
  if (n == 0) {
    Reset();
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  std::memcpy(aBuffer, mBuffer.data() + mBufferStart, n);
  mBufferStart += n;
  DropSentPart();
  if (mAboveHighMark && Buffered() < mSettings.mStreamLowMark) {
    mAboveHighMark = false;
    if (mAnswer == Answer::Streaming && mListener != nullptr) {
      mListener->OnDrained();
    }
  }
  return static_cast<ssize_t>(n);
}

/// Gives back the buffer's memory as it empties.
void
ServerExchange::DropSentPart()
{
  if (mBufferStart == mBuffer.size()) {
    std::string().swap(mBuffer);
    mBufferStart = 0;
  } else if (mBufferStart > mBuffer.size() / 2) {
    mBuffer.erase(0, mBufferStart);
    mBufferStart = 0;
  }
}

/// Resets the connection where its close would pass for the stream's end.
void
ServerExchange::Reset() const
{
  if (mStreamsEndWithClose) {
    // On Linux this drops a TCP connection at once, with a reset.
    const sockaddr nowhere = { AF_UNSPEC, {} };
    [[maybe_unused]] const int ec =
      ::connect(mDescriptor, &nowhere, sizeof(nowhere));
  }
}

void
ServerExchange::AddHeaders(const HttpHeaders& aHeaders)
{
  PH_ASSERT(mResponse != nullptr);
  for (const auto& [name, value] : aHeaders) {
    MHD_add_response_header(mResponse, name.c_str(), value.c_str());
  }
  if (mOwner.Draining()) {
    MHD_add_response_header(mResponse, MHD_HTTP_HEADER_CONNECTION, "close");
  }
}

/// Lets a suspended connection go on.
void
ServerExchange::Wake()
{
  if (mSuspended) {
    mSuspended = false;
    MHD_resume_connection(mConnection);
    mOwner.RunSoon();
  }
}

/// The handler let go of the exchange.
void
ServerExchange::OnDropped()
{
  mListener = nullptr;
  if (mAnswer == Answer::Awaited) {
    Respond(MHD_HTTP_INTERNAL_SERVER_ERROR,
            { { "content-type", "application/json" } },
            R"({"error":{"type":"internal","message":"no answer was made"}})");
  }
  AbortStream();
}

/// Tells the handler, once, that the caller went away before the answer was
/// ended.
void
ServerExchange::TellGone()
{
  const bool answered = mAnswer == Answer::Ended || mAnswer == Answer::Aborted;
  if (mGone || answered) {
    return;
  }
  mGone = true;
  if (mListener != nullptr) {
    std::exchange(mListener, nullptr)->OnCallerGone();
  }
}

} // namespace peridothoist::detail
