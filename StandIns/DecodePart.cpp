/// Reservations, imports and streams of an engine stand-in.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/DecodePart.h>
#include <StandIns/TokenText.h>

#include <algorithm>

namespace peridothoist::standin {

DecodePart::Stream::Stream(DecodePart& aPart,
                           std::string aRequest,
                           ExchangePtr aExchange)
  : mPart(aPart)
  , mRequest(std::move(aRequest))
  , mExchange(std::move(aExchange))
{
  mExchange->SetListener(this);
}

DecodePart::Stream::~Stream()
{
  mExchange->SetListener(nullptr);
}

void
DecodePart::Stream::OnCallerGone()
{
  mPart.Detach(mRequest);
}

void
DecodePart::Stream::OnDrained()
{
  mPart.mBatch.SetPaused(mRequest, false);
  mPart.ArmStep();
}

DecodePart::DecodePart(EngineContext& aContext)
  : mContext(aContext)
  , mMemory(aContext.mSettings.mMemoryPieces)
  , mBatch(aContext.mSettings.mBatch)
  , mLink(aContext.mSettings.mLinkBytesPerSecond)
{
}

void
DecodePart::ServeReserve(const ExchangePtr& aExchange)
{
  const Json body = ParseObject(aExchange->Request().mBody);
  const std::string request = TextField(body, "request");
  const auto pieces = static_cast<std::uint32_t>(NumberField(body, "pieces"));
  if (request.empty() || pieces == 0) {
    RespondJson(*aExchange, 400, { { "error", "request or pieces missing" } });
    return;
  }
  const int priority = static_cast<int>(NumberField(body, "priority"));
  const bool reserved = mMemory.Reserve(request, pieces, priority);
  Json answer = { { "free_pieces", mMemory.FreePieces() } };
  if (!reserved) {
    answer["error"] = "full";
  }
  RespondJson(*aExchange, reserved ? 201 : 409, answer);
}

void
DecodePart::ServeImport(const ExchangePtr& aExchange)
{
  const Json body = ParseObject(aExchange->Request().mBody);
  const Import import{ TextField(body, "request"),
                       TextField(body, "source"),
                       TextField(body, "kv"),
                       aExchange };
  Held* held = mMemory.Find(import.mRequest);
  if (held == nullptr || held->mState != HeldState::Reserved) {
    RespondJson(*aExchange, 409, { { "error", "no such reservation" } });
    return;
  }
  held->mState = HeldState::Importing;
  if (TakeFault(mContext.mFaults.mStallImports)) {
    return;
  }
  HttpCall call;
  call.mUrl = "http://" + import.mSource + "/v1/kv/" + import.mKv;
  call.mTotalTimeout = 2s;
  // The client may outlive this engine, the timers may not.
  OwnedTimers& timers = mContext.mTimers;
  mContext.mClient.Fetch(
    std::move(call),
    timers.Guard([this, import](const HttpCallOutcome& aOutcome,
                                const std::string& aBody) {
      OnKvFetched(import, aOutcome, aBody);
    }));
}

void
DecodePart::OnKvFetched(const Import& aImport,
                        const HttpCallOutcome& aOutcome,
                        const std::string& aBody)
{
  if (mMemory.Find(aImport.mRequest) == nullptr) {
    FailImport(aImport, 409, "cancelled");
    return;
  }
  if (aOutcome.mFailure != CallFailure::None || aOutcome.mStatus != 200) {
    const bool expired = aOutcome.mStatus == 404;
    FailImport(aImport, expired ? 410 : 502, expired ? "expired" : "no source");
    return;
  }
  const Json body = ParseObject(aBody);
  KvCache kv{ TextField(body, "prompt"),
              TextField(body, "resume_text"),
              NumberField(body, "bytes") };
  const Duration keeps =
    std::chrono::milliseconds(NumberField(body, "expires_ms"));
  const Duration most = mContext.mSettings.mLinkMaxWait;
  const auto slot =
    mLink.Book(mContext.Now(), kv.mBytes, std::min(keeps, most));
  if (!slot) {
    const bool expires = keeps < most;
    FailImport(aImport, expires ? 410 : 503, expires ? "expired" : "link busy");
    return;
  }
  mContext.mTimers.After(
    mContext.Slowed(slot->mEnd),
    [this, aImport, kv = std::move(kv)] { OnTransferred(aImport, kv); });
}

void
DecodePart::OnTransferred(const Import& aImport, KvCache aKv)
{
  Held* held = mMemory.Find(aImport.mRequest);
  if (held == nullptr) {
    FailImport(aImport, 409, "cancelled");
    return;
  }
  held->mState = HeldState::Ready;
  held->mKv = std::move(aKv);
  RespondJson(*aImport.mExchange, 200, { { "bytes", held->mKv.mBytes } });
}

void
DecodePart::FailImport(const Import& aImport, int aStatus, const char* aError)
{
  Held* held = mMemory.Find(aImport.mRequest);
  if (held != nullptr) {
    held->mState = HeldState::Reserved;
  }
  RespondJson(*aImport.mExchange, aStatus, { { "error", aError } });
}

void
DecodePart::ServeDecode(const ExchangePtr& aExchange)
{
  const Json body = ParseObject(aExchange->Request().mBody);
  const std::string request = TextField(body, "request");
  Held* held = mMemory.Find(request);
  if (held == nullptr || held->mState != HeldState::Ready) {
    RespondJson(*aExchange, 409, { { "error", "not ready" } });
    return;
  }
  if (mContext.CrashesOn(held->mKv.mPrompt)) {
    mCrashed = aExchange;
    return;
  }
  StartStream(request, *held, body, aExchange);
}

void
DecodePart::StartStream(const std::string& aRequest,
                        Held& aHeld,
                        const Json& aBody,
                        const ExchangePtr& aExchange)
{
  const auto most =
    static_cast<std::uint32_t>(NumberField(aBody, "max_tokens"));
  const auto from =
    static_cast<std::uint32_t>(NumberField(aBody, "resume_from"));
  const std::string& prompt = aHeld.mKv.mPrompt;
  const std::uint32_t natural = AnswerLength(prompt).value_or(most);
  const std::uint32_t end = std::max(from + 1, std::min(natural, most));

  mContext.NoteRan("decode", aRequest);
  aHeld.mState = HeldState::Running;
  auto stream = std::make_unique<Stream>(*this, aRequest, aExchange);
  stream->mEnd = end;
  stream->mFinishReason = natural <= most ? "stop" : "length";
  stream->mDropAfter = std::exchange(mContext.mFaults.mDropStreamAfter, 0);
  mStreams[aRequest] = std::move(stream);
  const bool resumesRight = aHeld.mKv.mResumeText.empty() ||
                            aHeld.mKv.mResumeText == AnswerText(prompt, from);
  const std::uint32_t checksum = resumesRight ? Checksum(prompt) : 0;
  aExchange->StartStream(200, { { "content-type", "text/event-stream" } });
  mBatch.Start({ aRequest, checksum, aHeld.mPriority, from, end });
  ArmStep();
}

void
DecodePart::ServeRequests(const ExchangePtr& aExchange)
{
  Json requests = Json::array();
  for (const auto& [request, held] : mMemory.All()) {
    requests.push_back({ { "request", request },
                         { "pieces", held.mPieces },
                         { "state", ToName(held.mState) } });
  }
  RespondJson(*aExchange, 200, { { "requests", std::move(requests) } });
}

std::uint32_t
DecodePart::Cancel(const std::string& aRequest)
{
  const auto stream = mStreams.find(aRequest);
  if (stream != mStreams.end()) {
    stream->second->Exchange().AbortStream();
    mStreams.erase(stream);
  }
  mBatch.Stop(aRequest);
  return mMemory.Free(aRequest);
}

std::uint32_t
DecodePart::CancelInstance(const std::string& aInstance)
{
  std::uint32_t pieces = 0;
  for (const std::string& it : mMemory.OfInstance(aInstance)) {
    pieces += Cancel(it);
  }
  return pieces;
}

/// The stream's connection is gone: the request keeps its memory, to be
/// resumed or cancelled.
void
DecodePart::Detach(const std::string& aRequest)
{
  mBatch.Stop(aRequest);
  Held* held = mMemory.Find(aRequest);
  if (held != nullptr) {
    held->mState = HeldState::Ready;
  }
  const auto it = mStreams.find(aRequest);
  if (it == mStreams.end()) {
    return;
  }
  // Destroyed from a later event: this may run within its own callback.
  std::shared_ptr<Stream> stream = std::move(it->second);
  mStreams.erase(it);
  mContext.mTimers.After(Duration::zero(), [stream] {});
}

void
DecodePart::ArmStep()
{
  if (mStepArmed || mBatch.Size() == 0) {
    return;
  }
  mStepArmed = true;
  mContext.mTimers.After(mContext.Slowed(mBatch.StepTime()),
                         [this] { OnStep(); });
}

void
DecodePart::OnStep()
{
  mStepArmed = false;
  for (const DecodeStep& it : mBatch.Step()) {
    ++mTokens;
    Send(it);
  }
  ArmStep();
}

void
DecodePart::Send(const DecodeStep& aStep)
{
  const auto it = mStreams.find(aStep.mRequest);
  if (it == mStreams.end()) {
    return;
  }
  Stream& stream = *it->second;
  std::string event = "data: {\"index\":" + std::to_string(aStep.mIndex) +
                      ",\"text\":\"" + aStep.mText + "\"}\n\n";
  if (aStep.mLast) {
    stream.Exchange().Write(event);
    Finish(aStep, stream);
    return;
  }
  const bool room = stream.Exchange().Write(event);
  if (stream.mDropAfter > 0 && --stream.mDropAfter == 0) {
    stream.Exchange().AbortStream();
    Detach(aStep.mRequest);
    return;
  }
  if (!room) {
    mBatch.SetPaused(aStep.mRequest, true);
  }
}

void
DecodePart::Finish(const DecodeStep& aStep, Stream& aStream)
{
  const Json done = { { "done", true },
                      { "finish_reason", aStream.mFinishReason },
                      { "tokens", aStream.mEnd } };
  aStream.Exchange().Write("data: " + done.dump() + "\n\n");
  aStream.Exchange().EndStream();
  mStreams.erase(aStep.mRequest);
  mMemory.Free(aStep.mRequest);
}

} // namespace peridothoist::standin
