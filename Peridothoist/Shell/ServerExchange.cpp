#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/ServerExchange.h>

#include <Peridothoist/Shell/ResponseHead.h>

#include <utility>

namespace peridothoist::detail {

namespace {

constexpr int kInternalServerError = 500;

/// Smaller bodies are sent together with their heads.
constexpr std::size_t kLargeBodyBytes = 64 * 1024;

} // namespace

ServerExchange::ServerExchange(ServerExchangeDelegate& aDelegate,
                               HttpRequest aRequest,
                               MemoryCharge aMemory,
                               const Protocol& aProtocol,
                               const HttpServerSettings& aSettings)
  : mDelegate(&aDelegate)
  , mRequest(std::move(aRequest))
  , mMemory(std::move(aMemory))
  , mProtocol(aProtocol)
  , mSettings(aSettings)
{
}

std::shared_ptr<HttpExchange>
ServerExchange::MakeHandlerReference()
{
  auto self = shared_from_this();
  return { this, [self](HttpExchange*) { self->OnReleasedByHandler(); } };
}

void
ServerExchange::OnSent()
{
  const bool isDrained =
    mIsAboveHighMark && mDelegate->UnsentBytes() < mSettings.mStreamLowMark;
  if (!isDrained) {
    return;
  }
  mIsAboveHighMark = false;
  if (mState == State::Streaming && mListener != nullptr) {
    mListener->OnBufferDrained();
  }
}

void
ServerExchange::Detach()
{
  const bool isOpen = mState == State::Pending || mState == State::Streaming;
  HttpExchangeListener* listener = mListener;
  DetachSilently();
  if (isOpen && listener != nullptr) {
    listener->OnCallerDisconnected();
  }
}

void
ServerExchange::DetachSilently()
{
  mDelegate = nullptr;
  mListener = nullptr;
}

void
ServerExchange::SetListener(HttpExchangeListener* aListener)
{
  mListener = aListener;
}

/// Returns the head of the response. aLength: nullopt for a stream.
std::string
ServerExchange::MakeHead(int aStatus,
                         const HttpHeaders& aHeaders,
                         std::optional<std::size_t> aLength)
{
  BodyFraming framing = BodyFraming::Length;
  if (IsWithoutBody(aStatus)) {
    framing = BodyFraming::None;
  } else if (!aLength) {
    framing = mProtocol.mIsHttp10 ? BodyFraming::Close : BodyFraming::Chunks;
  }
  if (framing == BodyFraming::Close || AsksToClose(aHeaders)) {
    mDelegate->CloseAfterResponse();
  }
  mSendsChunks = framing == BodyFraming::Chunks;
  mSendsBody = framing != BodyFraming::None && !mProtocol.mIsHead;
  ResponseHead head{ aStatus, aHeaders };
  head.mFraming = framing;
  head.mLength = aLength.value_or(0);
  head.mIsHttp10 = mProtocol.mIsHttp10;
  mIsCloseStated = mDelegate->ShouldClose();
  head.mClosesConnection = mIsCloseStated;
  return FormatResponseHead(head);
}

void
ServerExchange::Respond(int aStatus,
                        const HttpHeaders& aHeaders,
                        std::string aBody)
{
  if (mState != State::Pending || mDelegate == nullptr) {
    return;
  }
  mState = State::Ended;
  std::string response = MakeHead(aStatus, aHeaders, aBody.size());
  if (mSendsBody && aBody.size() < kLargeBodyBytes) {
    response += aBody;
    aBody.clear();
  }
  mDelegate->Send(response);
  if (mSendsBody && !aBody.empty()) {
    mDelegate->SendAll(std::move(aBody));
  }
  mDelegate->OnResponseEnded(mIsCloseStated);
}

void
ServerExchange::StartStream(int aStatus, const HttpHeaders& aHeaders)
{
  if (mState != State::Pending || mDelegate == nullptr) {
    return;
  }
  mState = State::Streaming;
  mDelegate->Send(MakeHead(aStatus, aHeaders, std::nullopt));
}

bool
ServerExchange::Write(std::string_view aData)
{
  if (mState != State::Streaming || mDelegate == nullptr) {
    return true;
  }
  if (mSendsBody && mSendsChunks) {
    std::string chunk;
    AppendChunk(chunk, aData);
    mDelegate->Send(chunk);
  } else if (mSendsBody) {
    mDelegate->Send(aData);
  }
  const std::size_t mark = mDelegate->HoldsTooMuch()
                             ? mSettings.mStreamLowMark
                             : mSettings.mStreamHighMark;
  mIsAboveHighMark = mIsAboveHighMark || mDelegate->UnsentBytes() > mark;
  return !mIsAboveHighMark;
}

void
ServerExchange::EndStream()
{
  if (mState != State::Streaming || mDelegate == nullptr) {
    return;
  }
  mState = State::Ended;
  if (mSendsBody && mSendsChunks) {
    mDelegate->Send(kLastChunk);
  }
  mDelegate->OnResponseEnded(mIsCloseStated);
}

void
ServerExchange::AbortStream()
{
  const bool isOpen = mState == State::Pending || mState == State::Streaming;
  if (isOpen && mDelegate != nullptr) {
    const bool isEndHidden =
      mState == State::Streaming && mSendsBody && !mSendsChunks;
    mState = State::Aborted;
    mDelegate->OnResponseAborted(isEndHidden);
  }
}

/// Called when the handler has released its last reference.
void
ServerExchange::OnReleasedByHandler()
{
  mListener = nullptr;
  if (mState == State::Pending) {
    Respond(
      kInternalServerError,
      { { "content-type", "application/json" } },
      R"({"error":{"type":"internal","message":"the handler sent no response"}})");
  }
  AbortStream();
}

} // namespace peridothoist::detail
