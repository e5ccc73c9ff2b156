/// Reservations, imports and token streams of an engine stand-in.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/DecodeService.h>
#include <StandIns/TokenText.h>

#include <algorithm>

namespace peridothoist::standin {

DecodeService::Stream::Stream(DecodeService& aService,
                              std::string aRequest,
                              ExchangePtr aExchange)
  : mService(aService)
  , mRequest(std::move(aRequest))
  , mExchange(std::move(aExchange))
{
  mExchange->SetListener(this);
}

DecodeService::Stream::~Stream()
{
  mExchange->SetListener(nullptr);
}

void
DecodeService::Stream::OnCallerDisconnected()
{
  mService.DetachStream(mRequest);
}

void
DecodeService::Stream::OnBufferDrained()
{
  mService.mBatch.SetPaused(mRequest, false);
  mService.ScheduleStep();
}

DecodeService::DecodeService(EngineContext& aContext)
  : mContext(aContext)
  , mMemory(aContext.mSettings.mMemoryPieces)
  , mBatch(aContext.mSettings.mBatch)
  , mLink(aContext.mSettings.mLinkBytesPerSecond)
{
}

void
DecodeService::ServeReserve(const ExchangePtr& aExchange)
{
  const Json body = ParseObject(aExchange->Request().mBody);
  const std::string request = StringField(body, "request");
  const auto pieces = static_cast<std::uint32_t>(UnsignedField(body, "pieces"));
  if (request.empty() || pieces == 0) {
    RespondJson(*aExchange, 400, { { "error", "request or pieces missing" } });
    return;
  }
  const int priority = static_cast<int>(UnsignedField(body, "priority"));
  const bool reserved = mMemory.Reserve(request, pieces, priority);
  Json response = { { "free_pieces", mMemory.FreePieces() } };
  if (!reserved) {
    response["error"] = "full";
  }
  RespondJson(*aExchange, reserved ? 201 : 409, response);
}

void
DecodeService::ServeImport(const ExchangePtr& aExchange)
{
  const Json body = ParseObject(aExchange->Request().mBody);
  const PendingImport pendingImport{ StringField(body, "request"),
                                     StringField(body, "source"),
                                     StringField(body, "kv"),
                                     aExchange };
  MemoryReservation* reservation = mMemory.Find(pendingImport.mRequest);
  if (reservation == nullptr ||
      reservation->mState != ReservationState::Reserved) {
    RespondJson(*aExchange, 409, { { "error", "no such reservation" } });
    return;
  }
  reservation->mState = ReservationState::Importing;
  if (ConsumeFault(mContext.mFaults.mStallImports)) {
    return;
  }
  HttpCall call;
  call.mUrl = "http://" + pendingImport.mSource + "/v1/kv/" + pendingImport.mKv;
  call.mTotalTimeout = 2s;
  // The HTTP client may outlive this engine. The guard of the timers disables
  // the callback when the engine is destroyed.
  OwnedTimers& timers = mContext.mTimers;
  mContext.mClient.Fetch(
    std::move(call),
    timers.Guard([this, pendingImport](const HttpCallResult& aResult,
                                       const std::string& aBody) {
      OnKvFetched(pendingImport, aResult, aBody);
    }));
}

void
DecodeService::OnKvFetched(const PendingImport& aImport,
                           const HttpCallResult& aResult,
                           const std::string& aBody)
{
  if (mMemory.Find(aImport.mRequest) == nullptr) {
    FailImport(aImport, 409, "cancelled");
    return;
  }
  if (aResult.mFailure != CallFailure::None || aResult.mStatus != 200) {
    const bool expired = aResult.mStatus == 404;
    FailImport(aImport, expired ? 410 : 502, expired ? "expired" : "no source");
    return;
  }
  const Json body = ParseObject(aBody);
  KvCache kv{ StringField(body, "prompt"),
              StringField(body, "resume_text"),
              UnsignedField(body, "bytes") };
  const Duration remaining =
    std::chrono::milliseconds(UnsignedField(body, "expires_ms"));
  const Duration maxWait = mContext.mSettings.mLinkMaxWait;
  const auto window =
    mLink.Schedule(mContext.Now(), kv.mBytes, std::min(remaining, maxWait));
  if (!window) {
    const bool expires = remaining < maxWait;
    FailImport(aImport, expires ? 410 : 503, expires ? "expired" : "link busy");
    return;
  }
  mContext.mTimers.Schedule(
    mContext.ApplySlowdown(window->mEnd),
    [this, aImport, kv = std::move(kv)] { OnTransferred(aImport, kv); });
}

void
DecodeService::OnTransferred(const PendingImport& aImport, KvCache aKv)
{
  MemoryReservation* reservation = mMemory.Find(aImport.mRequest);
  if (reservation == nullptr) {
    FailImport(aImport, 409, "cancelled");
    return;
  }
  reservation->mState = ReservationState::Ready;
  reservation->mKv = std::move(aKv);
  RespondJson(
    *aImport.mExchange, 200, { { "bytes", reservation->mKv.mBytes } });
}

void
DecodeService::FailImport(const PendingImport& aImport,
                          int aStatus,
                          const char* aError)
{
  MemoryReservation* reservation = mMemory.Find(aImport.mRequest);
  if (reservation != nullptr) {
    reservation->mState = ReservationState::Reserved;
  }
  RespondJson(*aImport.mExchange, aStatus, { { "error", aError } });
}

void
DecodeService::ServeDecode(const ExchangePtr& aExchange)
{
  const Json body = ParseObject(aExchange->Request().mBody);
  const std::string request = StringField(body, "request");
  MemoryReservation* reservation = mMemory.Find(request);
  if (reservation == nullptr ||
      reservation->mState != ReservationState::Ready) {
    RespondJson(*aExchange, 409, { { "error", "not ready" } });
    return;
  }
  if (mContext.CrashIfTriggered(reservation->mKv.mPrompt)) {
    mCrashingExchange = aExchange;
    return;
  }
  StartStream(request, *reservation, body, aExchange);
}

void
DecodeService::StartStream(const std::string& aRequest,
                           MemoryReservation& aReservation,
                           const Json& aBody,
                           const ExchangePtr& aExchange)
{
  const auto maxTokens =
    static_cast<std::uint32_t>(UnsignedField(aBody, "max_tokens"));
  const auto from =
    static_cast<std::uint32_t>(UnsignedField(aBody, "resume_from"));
  const std::string& prompt = aReservation.mKv.mPrompt;
  const std::uint32_t naturalLength =
    GeneratedLength(prompt).value_or(maxTokens);
  const std::uint32_t end =
    std::max(from + 1, std::min(naturalLength, maxTokens));

  mContext.LogExecution("decode", aRequest);
  aReservation.mState = ReservationState::Running;
  auto stream = std::make_unique<Stream>(*this, aRequest, aExchange);
  stream->mEnd = end;
  stream->mFinishReason = naturalLength <= maxTokens ? "stop" : "length";
  stream->mTokensUntilDrop =
    std::exchange(mContext.mFaults.mDropStreamAfter, 0);
  mStreams[aRequest] = std::move(stream);
  const bool isResumeTextCorrect =
    aReservation.mKv.mResumeText.empty() ||
    aReservation.mKv.mResumeText == GeneratedText(prompt, from);
  const std::uint32_t checksum = isResumeTextCorrect ? Checksum(prompt) : 0;
  aExchange->StartStream(200, { { "content-type", "text/event-stream" } });
  mBatch.AddStream({ aRequest, checksum, aReservation.mPriority, from, end });
  ScheduleStep();
}

void
DecodeService::ServeRequests(const ExchangePtr& aExchange)
{
  Json requests = Json::array();
  for (const auto& [request, reservation] : mMemory.Reservations()) {
    requests.push_back({ { "request", request },
                         { "pieces", reservation.mPieces },
                         { "state", ToName(reservation.mState) } });
  }
  RespondJson(*aExchange, 200, { { "requests", std::move(requests) } });
}

std::uint32_t
DecodeService::CancelRequest(const std::string& aRequest)
{
  const auto stream = mStreams.find(aRequest);
  if (stream != mStreams.end()) {
    stream->second->Exchange().AbortStream();
    mStreams.erase(stream);
  }
  mBatch.RemoveStream(aRequest);
  return mMemory.Free(aRequest);
}

std::uint32_t
DecodeService::CancelInstance(const std::string& aInstance)
{
  std::uint32_t pieces = 0;
  for (const std::string& it : mMemory.ListInstanceRequests(aInstance)) {
    pieces += CancelRequest(it);
  }
  return pieces;
}

/// Called when the connection of a stream is lost. The request keeps its
/// memory, so that it can be resumed or cancelled.
void
DecodeService::DetachStream(const std::string& aRequest)
{
  mBatch.RemoveStream(aRequest);
  MemoryReservation* reservation = mMemory.Find(aRequest);
  if (reservation != nullptr) {
    reservation->mState = ReservationState::Ready;
  }
  const auto it = mStreams.find(aRequest);
  if (it == mStreams.end()) {
    return;
  }
  // The stream is destroyed in a later event, since this may run inside a
  // callback of the stream.
  std::shared_ptr<Stream> stream = std::move(it->second);
  mStreams.erase(it);
  mContext.mTimers.Schedule(Duration::zero(), [stream] {});
}

void
DecodeService::ScheduleStep()
{
  if (mIsStepScheduled || mBatch.StreamCount() == 0) {
    return;
  }
  mIsStepScheduled = true;
  mContext.mTimers.Schedule(mContext.ApplySlowdown(mBatch.StepDuration()),
                            [this] { OnStep(); });
}

void
DecodeService::OnStep()
{
  mIsStepScheduled = false;
  for (const GeneratedToken& it : mBatch.RunStep()) {
    ++mTokenCount;
    SendToken(it);
  }
  ScheduleStep();
}

void
DecodeService::SendToken(const GeneratedToken& aToken)
{
  const auto it = mStreams.find(aToken.mRequest);
  if (it == mStreams.end()) {
    return;
  }
  Stream& stream = *it->second;
  std::string event = "data: {\"index\":" + std::to_string(aToken.mIndex) +
                      ",\"text\":\"" + aToken.mText + "\"}\n\n";
  if (aToken.mIsLast) {
    stream.Exchange().Write(event);
    FinishStream(aToken, stream);
    return;
  }
  const bool hasBufferSpace = stream.Exchange().Write(event);
  if (stream.mTokensUntilDrop > 0 && --stream.mTokensUntilDrop == 0) {
    stream.Exchange().AbortStream();
    DetachStream(aToken.mRequest);
    return;
  }
  if (!hasBufferSpace) {
    mBatch.SetPaused(aToken.mRequest, true);
  }
}

void
DecodeService::FinishStream(const GeneratedToken& aToken, Stream& aStream)
{
  const Json done = { { "done", true },
                      { "finish_reason", aStream.mFinishReason },
                      { "tokens", aStream.mEnd } };
  aStream.Exchange().Write("data: " + done.dump() + "\n\n");
  aStream.Exchange().EndStream();
  mStreams.erase(aToken.mRequest);
  mMemory.Free(aToken.mRequest);
}

} // namespace peridothoist::standin
