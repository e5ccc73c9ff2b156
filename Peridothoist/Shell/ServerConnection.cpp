#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/ServerConnection.h>

#include <Peridothoist/Shell/Log.h>
#include <Peridothoist/Shell/ResponseHead.h>

#include <nlohmann/json.hpp>
#include <sys/epoll.h>

#include <array>

namespace peridothoist::detail {

namespace {

constexpr std::size_t kReadBytes = 32 * 1024; ///< Of each read.

/// Bytes that are sent are dropped from the buffer in parts of this size.
constexpr std::size_t kDropBytes = 64 * 1024;

/// A connection whose response is sent stays this long for its caller to close
/// it. Closing it at once, with bytes unread, would reset it, and the caller
/// might lose the response.
constexpr Duration kClosingPeriod = 2s;

/// While the server drains, a connection that has become idle stays open this
/// long for a request that is on its way.
constexpr Duration kIdleLinger = 300ms;

/// While the server stops, a connection goes on for this many responses behind
/// which another request has arrived.
constexpr int kMaxGoOnResponses = 256;

/// A body that is too large is read to this multiple of the limit, so that its
/// caller reads the error response.
constexpr std::size_t kMaxDroppedBodyFactor = 4;

const char*
ToName(ConnectionEnd aEnd)
{
  static constexpr std::array<const char*, 4> kNames = {
    "completed", "connection_error", "timeout", "caller_gone"
  };
  return kNames[static_cast<std::size_t>(aEnd)];
}

std::string
MakeErrorBody(const HttpRequestError& aError)
{
  const nlohmann::json body = {
    { "error", { { "type", aError.mType }, { "message", aError.mMessage } } }
  };
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

ServerConnection::ServerConnection(ServerConnectionDelegate& aDelegate,
                                   const HttpServerSettings& aSettings,
                                   std::uint64_t aId,
                                   int aDescriptor,
                                   SSL_CTX* aTls,
                                   std::string aPeer,
                                   TimePoint aNow)
  : mDelegate(aDelegate)
  , mSettings(aSettings)
  , mId(aId)
  , mSocket(aDescriptor, aTls)
  , mPeer(std::move(aPeer))
  , mPhaseStartedAt(aNow)
  , mLastProgressAt(aNow)
  , mParser(aSettings)
{
}

ServerConnection::~ServerConnection()
{
  mOutput.clear();
  mOutputStart = 0;
  SetOutputCount();
}

std::uint32_t
ServerConnection::WantedEvents() const
{
  const bool reads = mPhase != ConnectionPhase::Responding && !mHasCallerEnded;
  const bool writes = UnsentBytes() > 0 || mSocket.ReadNeedsWrite();
  std::uint32_t events = 0;
  events |= reads ? static_cast<std::uint32_t>(EPOLLIN) : 0U;
  events |= writes ? static_cast<std::uint32_t>(EPOLLOUT) : 0U;
  events |= mHasCallerEnded ? 0U : static_cast<std::uint32_t>(EPOLLRDHUP);
  return events;
}

void
ServerConnection::OnEvents(std::uint32_t aEvents)
{
  constexpr std::uint32_t kFailed = EPOLLHUP | EPOLLERR;
  constexpr std::uint32_t kEnded = EPOLLRDHUP | kFailed;
  const bool isResponding = mPhase == ConnectionPhase::Responding;
  if (isResponding && (aEvents & kEnded) != 0) {
    mHasCallerEnded = true;
    // A caller that only ends its side may still read a response that ends.
    if ((aEvents & kFailed) != 0 || !mIsResponseEnded) {
      Close(ConnectionEnd::CallerGone);
      return;
    }
  }
  if ((aEvents & EPOLLOUT) != 0) {
    Flush();
    AfterFlush();
  }
  const bool reads = mPhase == ConnectionPhase::Idle ||
                     mPhase == ConnectionPhase::Reading ||
                     mPhase == ConnectionPhase::Closing;
  const bool hasInput =
    (aEvents & ~static_cast<std::uint32_t>(EPOLLOUT)) != 0 ||
    mSocket.ReadNeedsWrite();
  if (reads && hasInput) {
    ReadInput();
  }
  if (mPhase != ConnectionPhase::Closed) {
    mDelegate.UpdateEvents(*this);
  }
}

void
ServerConnection::Continue(TimePoint aNow)
{
  if (mPhase == ConnectionPhase::Idle || mPhase == ConnectionPhase::Reading) {
    HandleInput();
  }
  if (mPhase == ConnectionPhase::Idle || mPhase == ConnectionPhase::Reading) {
    ReadInput();
  }
  if (mDelegate.IsDraining() && !IsBusy(aNow)) {
    CloseIdle(aNow); // No request has arrived by now.
  }
  if (mPhase != ConnectionPhase::Closed) {
    mDelegate.UpdateEvents(*this);
  }
}

/// Ends an idle connection. A caller that may still be reading its last
/// response gets the time to do so.
void
ServerConnection::CloseIdle(TimePoint aNow)
{
  if (aNow - mPhaseStartedAt < kClosingPeriod) {
    StartClosing();
  } else {
    Close(ConnectionEnd::Completed);
  }
}

bool
ServerConnection::IsBusy(TimePoint aNow) const
{
  return mPhase != ConnectionPhase::Idle ||
         aNow - mPhaseStartedAt < kIdleLinger;
}

void
ServerConnection::EnterPhase(ConnectionPhase aPhase)
{
  const bool wasResponding = mPhase == ConnectionPhase::Responding;
  const bool isResponding = aPhase == ConnectionPhase::Responding;
  mPhase = aPhase;
  mPhaseStartedAt = mDelegate.Now();
  if (wasResponding != isResponding) {
    mDelegate.OnResponding(isResponding);
  }
}

/// Returns whether the turn of the event loop is over. What has been received
/// is then handled in a later one; for the rest there will be another event.
bool
ServerConnection::LeavesTurn()
{
  if (!mDelegate.IsTurnOver()) {
    return false;
  }
  const bool reads =
    mPhase == ConnectionPhase::Idle || mPhase == ConnectionPhase::Reading;
  if (reads && (!mInput.empty() || mSocket.HasPendingInput())) {
    mDelegate.ContinueLater(*this);
  }
  return true;
}

/// Reads what has arrived, until a request is complete or the turn of the event
/// loop is over.
void
ServerConnection::ReadInput()
{
  std::array<char, kReadBytes> buffer; // NOLINT: filled before it is read.
  while (mPhase == ConnectionPhase::Idle ||
         mPhase == ConnectionPhase::Reading ||
         mPhase == ConnectionPhase::Closing) {
    const Transfer read = mSocket.Read(buffer.data(), buffer.size());
    if (read.mEnd == TransferEnd::WouldBlock) {
      return;
    }
    if (read.mEnd == TransferEnd::Closed) {
      Close(ConnectionEnd::CallerGone);
      return;
    }
    mLastProgressAt = mDelegate.Now();
    if (mPhase == ConnectionPhase::Closing) {
      mDroppedBytes += read.mBytes;
      if (mDroppedBytes > kMaxDroppedBodyFactor * mSettings.mMaxBodyBytes) {
        Close(ConnectionEnd::Completed);
        return;
      }
    } else {
      mInput.append(buffer.data(), read.mBytes);
      HandleInput();
      if (read.mBytes < buffer.size() && !mSocket.HasPendingInput()) {
        return; // Anything more leads to another event.
      }
    }
    if (LeavesTurn()) {
      return;
    }
  }
}

/// Handles the requests in mInput, one after the other.
void
ServerConnection::HandleInput()
{
  if (mIsHandlingInput) {
    return;
  }
  mIsHandlingInput = true;
  while (!mInput.empty() && (mPhase == ConnectionPhase::Idle ||
                             mPhase == ConnectionPhase::Reading)) {
    const bool hadHead = mParser.HasHead();
    const std::size_t n = mParser.Parse(mInput);
    mInput.erase(0, n);
    if (mPhase == ConnectionPhase::Idle &&
        (mParser.HasBegun() || mParser.Error())) {
      EnterPhase(ConnectionPhase::Reading);
    }
    if (mParser.Error()) {
      Reject(*mParser.Error());
    } else if (mParser.IsComplete()) {
      StartResponse();
    } else {
      if (!hadHead && mInput.empty() && mParser.ExpectsContinue()) {
        Send(kContinueResponse);
      }
      break;
    }
    if (LeavesTurn()) {
      break;
    }
  }
  if (mInput.empty()) {
    std::string().swap(mInput);
  }
  mIsHandlingInput = false;
}

/// Passes the complete request to the handler.
void
ServerConnection::StartResponse()
{
  mClosesAfterResponse = !mParser.KeepsConnection();
  mIsResponseEnded = false;
  const ServerExchange::Protocol protocol = { mParser.IsHttp10(),
                                              mParser.IsHead() };
  MemoryCharge memory;
  HttpRequest request = mParser.TakeRequest(&memory);
  request.mPeerAddress = mPeer;
  mExchange = std::make_shared<ServerExchange>(
    static_cast<ServerExchangeDelegate&>(*this),
    std::move(request),
    std::move(memory),
    protocol,
    mSettings);
  EnterPhase(ConnectionPhase::Responding);
  mDelegate.OnRequest(mExchange->MakeHandlerReference());
}

/// Sends an error response that says that the request has not been executed,
/// and ends the connection after it.
void
ServerConnection::Reject(const HttpRequestError& aError)
{
  if (aError.mIsMemoryFull) {
    RespondAndClose(mDelegate.OnMemoryFull(mParser.PartialRequest()));
    return;
  }
  const HttpHeaders headers = { { "content-type", "application/json" },
                                { "peridothoist-run", "not-run" } };
  RespondAndClose({ aError.mStatus, headers, MakeErrorBody(aError) });
}

void
ServerConnection::RespondAndClose(const HttpResponse& aResponse)
{
  EnterPhase(ConnectionPhase::Responding);
  mClosesAfterResponse = true;
  ResponseHead head{ aResponse.mStatus, aResponse.mHeaders };
  head.mFraming = BodyFraming::Length;
  head.mLength = aResponse.mBody.size();
  head.mClosesConnection = true;
  Send(FormatResponseHead(head) + aResponse.mBody);
  OnResponseEnded(true);
}

void
ServerConnection::Send(std::string_view aData)
{
  if (mPhase == ConnectionPhase::Closed) {
    return;
  }
  const bool isFirst = UnsentBytes() == 0;
  mOutput.append(aData);
  if (isFirst) {
    Flush(); // Otherwise the socket takes no more at present.
  } else {
    SetOutputCount();
  }
}

void
ServerConnection::SendAll(std::string aData)
{
  if (mPhase == ConnectionPhase::Closed || UnsentBytes() > 0) {
    Send(aData);
    return;
  }
  mOutput = std::move(aData);
  mOutputStart = 0;
  Flush();
}

/// Returns whether a caller has sent on while its response is open, and reads
/// what has arrived for that. Empty lines between requests don't count.
bool
ServerConnection::HasFurtherRequest()
{
  const auto isSent = [this] {
    return mInput.find_first_not_of("\r\n") != std::string::npos;
  };
  if (!isSent() && mInput.size() < kReadBytes) {
    std::array<char, kReadBytes> buffer; // NOLINT: filled before it is read.
    const Transfer read = mSocket.Read(buffer.data(), buffer.size());
    mInput.append(buffer.data(), read.mBytes);
  }
  return isSent();
}

/// A caller that always sends on is told in the end as well.
bool
ServerConnection::ShouldClose()
{
  if (mClosesAfterResponse || !mDelegate.ShouldCloseConnections()) {
    return mClosesAfterResponse;
  }
  if (mGoOnResponses >= kMaxGoOnResponses || !HasFurtherRequest()) {
    return true;
  }
  ++mGoOnResponses;
  return false;
}

void
ServerConnection::OnResponseEnded(bool aIsCloseStated)
{
  mClosesAfterResponse = aIsCloseStated;
  mIsResponseEnded = true;
  FinishResponse();
}

void
ServerConnection::OnResponseAborted(bool aIsEndHidden)
{
  mIsAborted = true;
  mIsEndHidden = aIsEndHidden;
  FinishResponse();
}

/// Sends what the socket takes. A failure is noticed by its event.
void
ServerConnection::Flush()
{
  while (UnsentBytes() > 0) {
    const Transfer sent =
      mSocket.Write(std::string_view(mOutput).substr(mOutputStart));
    if (sent.mEnd != TransferEnd::Done) {
      break;
    }
    mLastProgressAt = mDelegate.Now();
    mOutputStart += sent.mBytes;
    DropSentBytes();
    if (mDelegate.IsTurnOver()) {
      break; // The socket still takes bytes, which leads to another event.
    }
  }
  SetOutputCount();
  if (UnsentBytes() > 0) {
    mDelegate.UpdateEvents(*this);
  }
}

void
ServerConnection::DropSentBytes()
{
  if (mOutputStart == mOutput.size()) {
    std::string().swap(mOutput);
    mOutputStart = 0;
  } else if (mOutputStart > kDropBytes) {
    mOutput.erase(0, mOutputStart);
    mOutputStart = 0;
  }
}

void
ServerConnection::SetOutputCount()
{
  const std::size_t unsent = UnsentBytes();
  const auto delta = static_cast<std::ptrdiff_t>(unsent) -
                     static_cast<std::ptrdiff_t>(mCountedBytes);
  mCountedBytes = unsent;
  if (delta != 0) {
    mDelegate.OnUnsentBytesChanged(delta);
  }
}

/// Called after unsent bytes were sent in an event of their own.
void
ServerConnection::AfterFlush()
{
  if (mPhase != ConnectionPhase::Responding) {
    return;
  }
  const auto exchange = mExchange; // The listener may end the response.
  if (exchange != nullptr && !mIsResponseEnded && !mIsAborted) {
    exchange->OnSent();
  }
  FinishResponse();
}

/// Ends the response if it has been sent to its end.
void
ServerConnection::FinishResponse()
{
  const bool isOver = mIsResponseEnded || mIsAborted;
  if (mPhase != ConnectionPhase::Responding || !isOver || UnsentBytes() > 0) {
    return;
  }
  if (mIsAborted) {
    if (mIsEndHidden) {
      mSocket.ResetOnClose();
    }
    Close(ConnectionEnd::Completed);
    return;
  }
  if (mExchange != nullptr) {
    std::exchange(mExchange, nullptr)->Detach();
  }
  mIsResponseEnded = false;
  if (mHasCallerEnded) {
    Close(ConnectionEnd::CallerGone);
  } else if (mClosesAfterResponse) {
    StartClosing();
  } else {
    EnterPhase(ConnectionPhase::Idle);
    mLastProgressAt = mDelegate.Now();
    mDelegate.UpdateEvents(*this);
    // HandleInput() goes on itself if it is running.
    const bool hasMore = !mInput.empty() || mSocket.HasPendingInput();
    if (!mIsHandlingInput && (hasMore || mDelegate.IsDraining())) {
      mDelegate.ContinueLater(*this);
    }
  }
}

/// Tells the caller that the connection ends, and waits until it closes it.
void
ServerConnection::StartClosing()
{
  mDroppedBytes += mInput.size();
  std::string().swap(mInput);
  EnterPhase(ConnectionPhase::Closing);
  mSocket.StopSending();
  mDelegate.UpdateEvents(*this);
}

void
ServerConnection::Close(ConnectionEnd aEnd)
{
  if (mPhase == ConnectionPhase::Closed) {
    return;
  }
  LogCutResponse(aEnd);
  if (mDroppedBytes > 0) {
    Log::Info("input_dropped").Field("bytes", mDroppedBytes);
  }
  EnterPhase(ConnectionPhase::Closed);
  const auto exchange = std::exchange(mExchange, nullptr);
  mDelegate.OnClosed(*this);
  if (exchange != nullptr) {
    exchange->Detach();
  }
}

/// Logs the end of a connection on which a completely received request has no
/// complete response, unless the caller or the handler ended it.
void
ServerConnection::LogCutResponse(ConnectionEnd aEnd) const
{
  const bool isCut = mExchange != nullptr && mExchange->AwaitsDelivery() &&
                     aEnd != ConnectionEnd::CallerGone;
  if (isCut) {
    Log::Warning("response_cut")
      .Field("target", mExchange->Request().mTarget)
      .Field("cause", ToName(aEnd));
  }
}

/// Returns why the connection is to be closed by now; nullopt if it isn't.
std::optional<ConnectionEnd>
ServerConnection::FindStaleness(TimePoint aNow) const
{
  const Duration inPhase = aNow - mPhaseStartedAt;
  const bool isStuck = aNow - mLastProgressAt > mSettings.mIdleTimeout;
  bool isStale = false;
  switch (mPhase) {
    case ConnectionPhase::Idle:
      isStale = isStuck;
      break;
    case ConnectionPhase::Reading:
      isStale = inPhase > mSettings.mRequestTimeout;
      break;
    case ConnectionPhase::Responding:
      isStale = isStuck && UnsentBytes() > 0;
      break;
    case ConnectionPhase::Closing:
      isStale = inPhase > kClosingPeriod;
      break;
    case ConnectionPhase::Closed:
      break;
  }
  return isStale ? std::optional<ConnectionEnd>(ConnectionEnd::Timeout)
                 : std::nullopt;
}

void
ServerConnection::CloseIfStale(TimePoint aNow)
{
  if (mPhase == ConnectionPhase::Idle && mDelegate.IsDraining()) {
    Continue(aNow);
  }
  const auto end = FindStaleness(aNow);
  if (!end) {
    return;
  }
  if (mPhase == ConnectionPhase::Reading) {
    Log::Info("connection_closed").Field("cause", "request_timeout");
  }
  Close(*end);
}

void
ServerConnection::DetachExchange()
{
  if (mExchange != nullptr) {
    std::exchange(mExchange, nullptr)->DetachSilently();
  }
}

} // namespace peridothoist::detail
