#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/UpstreamCaller.h>

#include <Peridothoist/Entry/EventStreamReader.h>
#include <Peridothoist/Entry/JsonFields.h>

#include <array>

namespace peridothoist {

namespace {

using Json = nlohmann::json;
using detail::DumpJson;
using detail::StringOf;
using detail::UnsignedOf;

constexpr int kServerError = 500;
constexpr int kNotImplemented = 501;

/// Headers of a plain service's answer that are not the caller's business.
constexpr std::array<const char*, 8> kHopByHopHeaders = {
  "connection", "keep-alive", "transfer-encoding", "content-length", "trailer",
  "upgrade",    "te",         "proxy-authenticate"
};

CallEnd
ToCallEnd(CallFailure aFailure)
{
  switch (aFailure) {
    case CallFailure::None:
      return CallEnd::Whole;
    case CallFailure::NotConnected:
      return CallEnd::NotConnected;
    case CallFailure::Withheld:
      return CallEnd::Withheld;
    case CallFailure::TimedOut:
      return CallEnd::TimedOut;
    case CallFailure::Broken:
      return CallEnd::Broken;
    case CallFailure::Cancelled:
      return CallEnd::Cancelled;
  }
  return CallEnd::Broken;
}

CallOutcome
ToCallOutcome(const HttpCallOutcome& aOutcome)
{
  CallOutcome outcome;
  outcome.mEnd = ToCallEnd(aOutcome.mFailure);
  outcome.mMayHaveBeenSent = aOutcome.mMayHaveBeenSent;
  outcome.mStatus = aOutcome.mStatus;
  return outcome;
}

bool
IsHopByHop(const std::string& aName)
{
  for (const char* name : kHopByHopHeaders) {
    if (aName == name) {
      return true;
    }
  }
  return false;
}

} // namespace

/// The parts that all calls share: the command, and the books of open calls.
class UpstreamCaller::Call : public HttpCallListener
{
public:
  Call(UpstreamCaller* aCaller, RequestCommand aCommand, bool aCheckFirst)
    : mCaller(aCaller)
    , mCommand(std::move(aCommand))
    , mCheckFirst(aCheckFirst)
  {
  }

  CallKey Key() const
  {
    return { mCommand.mId, mCommand.mAttempt, mCommand.mUpstream };
  }

  void SetId(HttpClient::CallId aId) { mId = aId; }

  // See: HttpCallListener
  bool OnBeforeSend() override
  {
    return !mCheckFirst || mCaller->mListener->MayStillSend(mCommand);
  }

  void OnEnd(const HttpCallOutcome& aOutcome) override
  {
    mCaller->Finished(Key(), mId);
    const bool trouble = aOutcome.mFailure == CallFailure::Broken ||
                         aOutcome.mFailure == CallFailure::NotConnected;
    if (trouble) {
      mCaller->mListener->OnUpstreamTrouble(mCommand.mUpstream);
    }
    Conclude(ToCallOutcome(aOutcome));
  }

protected:
  /// Hands the result over.
  virtual void Conclude(const CallOutcome& aOutcome) = 0;

  UpstreamCaller* mCaller;
  RequestCommand mCommand;

private:
  bool mCheckFirst;
  HttpClient::CallId mId = 0;
};

/// A call whose answer is read whole.
class UpstreamCaller::WholeCall : public UpstreamCaller::Call
{
public:
  using End = void (UpstreamCaller::*)(const RequestCommand& aCommand,
                                       const CallOutcome& aOutcome,
                                       const std::string& aBody);

  WholeCall(UpstreamCaller* aCaller,
            RequestCommand aCommand,
            bool aCheckFirst,
            End aEnd)
    : Call(aCaller, std::move(aCommand), aCheckFirst)
    , mEnd(aEnd)
  {
  }

  // See: HttpCallListener
  void OnHead(int, const HttpHeaders& aHeaders) override
  {
    mHeaders = aHeaders;
  }

  void OnData(std::string_view aData) override
  {
    if (mBody.size() + aData.size() > mCaller->mSettings.mMaxAnswerBytes) {
      mTooLarge = true;
      return;
    }
    mBody.append(aData);
  }

protected:
  // See: Call
  void Conclude(const CallOutcome& aOutcome) override
  {
    CallOutcome outcome = aOutcome;
    if (mTooLarge) {
      outcome.mEnd = CallEnd::Broken;
    }
    if (mEnd != nullptr) {
      (mCaller->*mEnd)(mCommand, outcome, mBody);
      return;
    }
    ConcludePlain(outcome);
  }

private:
  void ConcludePlain(const CallOutcome& aOutcome)
  {
    PlainAnswer answer{ aOutcome, std::move(mBody), {} };
    for (const auto& it : mHeaders) {
      if (!IsHopByHop(it.first)) {
        answer.mHeaders.insert(it);
      }
    }
    mCaller->mListener->OnPlainAnswer(mCommand, std::move(answer));
  }

  End mEnd; ///< Null: a plain service's answer.
  HttpHeaders mHeaders;
  std::string mBody;
  bool mTooLarge = false;
};

/// A decode stream.
class UpstreamCaller::StreamCall : public UpstreamCaller::Call
{
public:
  StreamCall(UpstreamCaller* aCaller, RequestCommand aCommand)
    : Call(aCaller, std::move(aCommand), false)
  {
  }

  // See: HttpCallListener
  void OnHead(int aStatus, const HttpHeaders&) override
  {
    mGood = aStatus == 200;
  }

  void OnData(std::string_view aData) override
  {
    if (!mGood) {
      return;
    }
    const bool fits =
      mReader.Feed(aData, [this](std::string_view aEvent) { OnEvent(aEvent); });
    mGood = mGood && fits;
  }

protected:
  // See: Call
  void Conclude(const CallOutcome& aOutcome) override
  {
    mEnd.mCall = aOutcome;
    mEnd.mDone = mEnd.mDone && mGood;
    mCaller->mListener->OnDecodeEnd(mCommand, mEnd);
  }

private:
  void OnEvent(std::string_view aEvent)
  {
    const Json event = Json::parse(aEvent, nullptr, false);
    if (!event.is_object()) {
      mGood = false;
      return;
    }
    if (event.contains("done")) {
      mEnd.mDone = true;
      mEnd.mFinishReason = StringOf(event, "finish_reason");
      mEnd.mTokens = static_cast<std::uint32_t>(UnsignedOf(event, "tokens"));
      return;
    }
    const bool isToken = event.contains("index") && event.contains("text");
    if (!isToken || mEnd.mDone) {
      mGood = false;
      return;
    }
    mCaller->mListener->OnToken(
      mCommand,
      static_cast<std::uint32_t>(UnsignedOf(event, "index")),
      StringOf(event, "text"));
  }

  EventStreamReader mReader;
  DecodeEnd mEnd;
  bool mGood = false; ///< Status 200 and only well-formed events so far.
};

UpstreamCaller::UpstreamCaller(const Settings& aSettings,
                               HttpClient* aClient,
                               UpstreamCallerListener* aListener,
                               std::string aInstance)
  : mSettings(aSettings)
  , mClient(aClient)
  , mListener(aListener)
  , mInstance(std::move(aInstance))
{
}

UpstreamCaller::~UpstreamCaller() = default;

UpstreamCaller::Starter
UpstreamCaller::StarterOf(RequestCommandKind aKind)
{
  struct Row
  {
    RequestCommandKind mKind;
    Starter mStarter;
  };
  static constexpr std::array<Row, 6> kRows = { {
    { RequestCommandKind::Reserve, &UpstreamCaller::StartReserve },
    { RequestCommandKind::Prefill, &UpstreamCaller::StartPrefill },
    { RequestCommandKind::Import, &UpstreamCaller::StartImport },
    { RequestCommandKind::Decode, &UpstreamCaller::StartDecode },
    { RequestCommandKind::CallPlain, &UpstreamCaller::StartPlain },
    { RequestCommandKind::Cancel, &UpstreamCaller::StartCancel },
  } };
  for (const Row& row : kRows) {
    if (row.mKind == aKind) {
      return row.mStarter;
    }
  }
  return nullptr;
}

bool
UpstreamCaller::IsUpstreamCommand(RequestCommandKind aKind)
{
  return StarterOf(aKind) != nullptr;
}

void
UpstreamCaller::Perform(const RequestCommand& aCommand,
                        const CallerContent* aContent)
{
  const Starter starter = StarterOf(aCommand.mKind);
  PH_ASSERT(starter != nullptr);
  (this->*starter)(aCommand, aContent);
}

std::string
UpstreamCaller::RequestId(const RequestCommand& aCommand) const
{
  return mInstance + "/" + std::to_string(aCommand.mId) + "/" +
         std::to_string(aCommand.mAttempt);
}

HttpCall
UpstreamCaller::MakeCall(const RequestCommand& aCommand,
                         const char* aPath,
                         Duration aTimeout) const
{
  HttpCall call;
  call.mMethod = "POST";
  call.mUrl = "http://" + aCommand.mAddress + aPath;
  call.mHeaders["content-type"] = "application/json";
  call.mConnectTimeout = mSettings.mConnectTimeout;
  call.mTotalTimeout = aTimeout;
  return call;
}

void
UpstreamCaller::Start(HttpCall aCall, const std::shared_ptr<Call>& aListener)
{
  const HttpClient::CallId id = mClient->Start(std::move(aCall), aListener);
  aListener->SetId(id);
  mOpen[aListener->Key()].insert(id);
}

void
UpstreamCaller::Finished(const CallKey& aKey, HttpClient::CallId aCall)
{
  const auto it = mOpen.find(aKey);
  if (it == mOpen.end()) {
    return;
  }
  it->second.erase(aCall);
  if (it->second.empty()) {
    mOpen.erase(it);
  }
}

void
UpstreamCaller::StartReserve(const RequestCommand& aCommand,
                             const CallerContent*)
{
  HttpCall call =
    MakeCall(aCommand, "/v1/reservations", mSettings.mControlTimeout);
  call.mBody = DumpJson({ { "request", RequestId(aCommand) },
                          { "pieces", aCommand.mPieces },
                          { "priority", aCommand.mPriority } });
  Start(std::move(call),
        std::make_shared<WholeCall>(
          this, aCommand, false, &UpstreamCaller::EndReserve));
}

void
UpstreamCaller::EndReserve(const RequestCommand& aCommand,
                           const CallOutcome& aOutcome,
                           const std::string& aBody)
{
  ReserveAnswer answer;
  answer.mCall = aOutcome;
  const Json document = Json::parse(aBody, nullptr, false);
  if (document.is_object() && document.contains("free_pieces")) {
    answer.mFreePieces =
      static_cast<std::uint32_t>(UnsignedOf(document, "free_pieces"));
  }
  mListener->OnReserveAnswer(aCommand, answer);
}

void
UpstreamCaller::StartPrefill(const RequestCommand& aCommand,
                             const CallerContent* aContent)
{
  PH_ASSERT(aContent != nullptr);
  HttpCall call = MakeCall(aCommand, "/v1/prefill", mSettings.mPrefillTimeout);
  call.mBody = DumpJson({ { "request", RequestId(aCommand) },
                          { "model", aCommand.mModel },
                          { "prompt", aContent->mPrompt },
                          { "resume_text", aCommand.mResumeText },
                          { "priority", aCommand.mPriority } });
  if (!aContent->mTraceParent.empty()) {
    call.mHeaders["traceparent"] = aContent->mTraceParent;
  }
  call.mSendOnce = aContent->mSendOnce;
  Start(std::move(call),
        std::make_shared<WholeCall>(
          this, aCommand, true, &UpstreamCaller::EndPrefill));
}

void
UpstreamCaller::EndPrefill(const RequestCommand& aCommand,
                           const CallOutcome& aOutcome,
                           const std::string& aBody)
{
  PrefillAnswer answer;
  answer.mCall = aOutcome;
  const Json document = Json::parse(aBody, nullptr, false);
  answer.mKv = StringOf(document, "kv");
  answer.mBytes = UnsignedOf(document, "bytes");
  answer.mPromptTokens =
    static_cast<std::uint32_t>(UnsignedOf(document, "prompt_tokens"));
  answer.mCachedTokens =
    static_cast<std::uint32_t>(UnsignedOf(document, "cached_tokens"));
  answer.mExpiresIn =
    std::chrono::milliseconds(UnsignedOf(document, "expires_ms"));
  mListener->OnPrefillAnswer(aCommand, answer);
}

void
UpstreamCaller::StartImport(const RequestCommand& aCommand,
                            const CallerContent*)
{
  HttpCall call = MakeCall(aCommand, "/v1/import", mSettings.mControlTimeout);
  call.mBody = DumpJson({ { "request", RequestId(aCommand) },
                          { "source", aCommand.mSourceAddress },
                          { "kv", aCommand.mKv } });
  Start(std::move(call),
        std::make_shared<WholeCall>(
          this, aCommand, false, &UpstreamCaller::EndImport));
}

void
UpstreamCaller::EndImport(const RequestCommand& aCommand,
                          const CallOutcome& aOutcome,
                          const std::string& aBody)
{
  ImportAnswer answer;
  answer.mCall = aOutcome;
  answer.mBytes = UnsignedOf(Json::parse(aBody, nullptr, false), "bytes");
  mListener->OnImportAnswer(aCommand, answer);
}

void
UpstreamCaller::StartDecode(const RequestCommand& aCommand,
                            const CallerContent* aContent)
{
  PH_ASSERT(aContent != nullptr);
  HttpCall call = MakeCall(aCommand, "/v1/decode", mSettings.mDecodeTimeout);
  call.mBody = DumpJson({ { "request", RequestId(aCommand) },
                          { "max_tokens", aCommand.mMaxTokens },
                          { "resume_from", aCommand.mResumeFrom },
                          { "priority", aCommand.mPriority } });
  if (!aContent->mTraceParent.empty()) {
    call.mHeaders["traceparent"] = aContent->mTraceParent;
  }
  call.mSendOnce = aContent->mSendOnce;
  Start(std::move(call), std::make_shared<StreamCall>(this, aCommand));
}

void
UpstreamCaller::StartPlain(const RequestCommand& aCommand,
                           const CallerContent* aContent)
{
  PH_ASSERT(aContent != nullptr);
  HttpCall call;
  call.mMethod = aContent->mMethod;
  call.mUrl = "http://" + aCommand.mAddress + aContent->mTarget;
  call.mBody = aContent->mBody;
  call.mConnectTimeout = mSettings.mConnectTimeout;
  call.mTotalTimeout = mSettings.mPlainTimeout;
  call.mSendOnce = aContent->mSendOnce;
  call.mHeaders["peridothoist-request"] = RequestId(aCommand);
  if (!aContent->mContentType.empty()) {
    call.mHeaders["content-type"] = aContent->mContentType;
  }
  if (!aContent->mIdempotencyKey.empty()) {
    call.mHeaders["idempotency-key"] = aContent->mIdempotencyKey;
  }
  if (!aContent->mTraceParent.empty()) {
    call.mHeaders["traceparent"] = aContent->mTraceParent;
  }
  Start(std::move(call),
        std::make_shared<WholeCall>(this, aCommand, true, nullptr));
}

void
UpstreamCaller::StartCancel(const RequestCommand& aCommand,
                            const CallerContent*)
{
  const auto it =
    mOpen.find({ aCommand.mId, aCommand.mAttempt, aCommand.mUpstream });
  if (it != mOpen.end()) {
    const std::set<HttpClient::CallId> calls = it->second;
    for (HttpClient::CallId call : calls) {
      mClient->Cancel(call);
    }
  }
  HttpCall call = MakeCall(aCommand, "/v1/cancel", mSettings.mControlTimeout);
  call.mBody = DumpJson({ { "request", RequestId(aCommand) } });
  // Kept out of mOpen: a repeated cancel must not end this one.
  mClient->Start(std::move(call),
                 std::make_shared<WholeCall>(
                   this, aCommand, false, &UpstreamCaller::EndCancel));
}

void
UpstreamCaller::EndCancel(const RequestCommand& aCommand,
                          const CallOutcome& aOutcome,
                          const std::string&)
{
  // Whoever answers whole holds nothing of it any more, or never knew the
  // call; only an upstream in trouble is asked again.
  const bool inTrouble =
    aOutcome.mStatus >= kServerError && aOutcome.mStatus != kNotImplemented;
  const bool whole = aOutcome.mEnd == CallEnd::Whole;
  mListener->OnCancelAnswer(aCommand, whole && !inTrouble);
}

} // namespace peridothoist
