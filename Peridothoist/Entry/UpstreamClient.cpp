#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/UpstreamClient.h>

#include <Peridothoist/Entry/EventStreamReader.h>
#include <Peridothoist/Entry/JsonFields.h>

#include <array>

namespace peridothoist {

namespace {

using Json = nlohmann::json;
using detail::DumpJson;
using detail::StringField;
using detail::UnsignedField;

constexpr int kServerError = 500;
constexpr int kNotImplemented = 501;

/// Response headers of plain services that are not forwarded to the caller.
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

CallResult
ToCallResult(const HttpCallResult& aResult)
{
  CallResult result;
  result.mEnd = ToCallEnd(aResult.mFailure);
  result.mMayHaveBeenSent = aResult.mMayHaveBeenSent;
  result.mStatus = aResult.mStatus;
  return result;
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

/// Base of all calls: holds the command, and removes the call from the open
/// calls when it ends.
class UpstreamClient::Call : public HttpCallListener
{
public:
  Call(UpstreamClient* aUpstreamClient,
       RequestCommand aCommand,
       bool aChecksBeforeSend)
    : mUpstreamClient(aUpstreamClient)
    , mCommand(std::move(aCommand))
    , mChecksBeforeSend(aChecksBeforeSend)
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
    return !mChecksBeforeSend ||
           mUpstreamClient->mListener->MayStillSend(mCommand);
  }

  void OnEnd(const HttpCallResult& aResult) override
  {
    mUpstreamClient->RemoveOpenCall(Key(), mId);
    const bool isConnectionFailure =
      aResult.mFailure == CallFailure::Broken ||
      aResult.mFailure == CallFailure::NotConnected;
    if (isConnectionFailure) {
      mUpstreamClient->mListener->OnUpstreamConnectionFailed(
        mCommand.mUpstream);
    }
    OnFinished(ToCallResult(aResult));
  }

protected:
  /// Reports the result. Called when the call has ended.
  virtual void OnFinished(const CallResult& aResult) = 0;

  UpstreamClient* mUpstreamClient;
  RequestCommand mCommand;

private:
  bool mChecksBeforeSend;
  HttpClient::CallId mId = 0;
};

/// A call whose response is buffered and reported as a whole.
class UpstreamClient::BufferedCall : public UpstreamClient::Call
{
public:
  using EndHandler = void (UpstreamClient::*)(const RequestCommand& aCommand,
                                              const CallResult& aResult,
                                              const std::string& aBody);

  BufferedCall(UpstreamClient* aUpstreamClient,
               RequestCommand aCommand,
               bool aChecksBeforeSend,
               EndHandler aEndHandler)
    : Call(aUpstreamClient, std::move(aCommand), aChecksBeforeSend)
    , mEndHandler(aEndHandler)
  {
  }

  // See: HttpCallListener
  void OnHead(int, const HttpHeaders& aHeaders) override
  {
    mHeaders = aHeaders;
  }

  void OnData(std::string_view aData) override
  {
    mBody.append(aData); // Up to HttpCall::mMaxResponseBytes.
  }

protected:
  // See: Call
  void OnFinished(const CallResult& aResult) override
  {
    if (mEndHandler != nullptr) {
      (mUpstreamClient->*mEndHandler)(mCommand, aResult, mBody);
      return;
    }
    FinishPlain(aResult);
  }

private:
  void FinishPlain(const CallResult& aResult)
  {
    PlainResult result{ aResult, std::move(mBody), {} };
    for (const auto& it : mHeaders) {
      if (!IsHopByHop(it.first)) {
        result.mHeaders.insert(it);
      }
    }
    mUpstreamClient->mListener->OnPlainResult(mCommand, std::move(result));
  }

  EndHandler mEndHandler; ///< Null for a call to a plain service.
  HttpHeaders mHeaders;
  std::string mBody;
};

/// A decode call: reports the tokens of its stream as they arrive.
class UpstreamClient::StreamingCall : public UpstreamClient::Call
{
public:
  StreamingCall(UpstreamClient* aUpstreamClient, RequestCommand aCommand)
    : Call(aUpstreamClient, std::move(aCommand), false)
  {
  }

  // See: HttpCallListener
  void OnHead(int aStatus, const HttpHeaders&) override
  {
    mIsValid = aStatus == 200;
  }

  void OnData(std::string_view aData) override
  {
    if (!mIsValid) {
      return;
    }
    const bool isWithinLimit =
      mReader.Feed(aData, [this](std::string_view aEvent) { OnEvent(aEvent); });
    mIsValid = mIsValid && isWithinLimit;
  }

protected:
  // See: Call
  void OnFinished(const CallResult& aResult) override
  {
    mResult.mCall = aResult;
    mResult.mDone = mResult.mDone && mIsValid;
    mUpstreamClient->mListener->OnDecodeResult(mCommand, mResult);
  }

private:
  void OnEvent(std::string_view aEvent)
  {
    const Json event = Json::parse(aEvent, nullptr, false);
    if (!event.is_object()) {
      mIsValid = false;
      return;
    }
    if (event.contains("done")) {
      mResult.mDone = true;
      mResult.mFinishReason = StringField(event, "finish_reason");
      mResult.mTokens =
        static_cast<std::uint32_t>(UnsignedField(event, "tokens"));
      return;
    }
    const bool isToken = event.contains("index") && event.contains("text");
    if (!isToken || mResult.mDone) {
      mIsValid = false;
      return;
    }
    mUpstreamClient->mListener->OnToken(
      mCommand,
      static_cast<std::uint32_t>(UnsignedField(event, "index")),
      StringField(event, "text"));
  }

  EventStreamReader mReader;
  DecodeResult mResult;
  bool mIsValid = false; ///< Status is 200 and all events were well-formed.
};

UpstreamClient::UpstreamClient(const Settings& aSettings,
                               HttpClient* aClient,
                               UpstreamClientListener* aListener,
                               std::string aInstance)
  : mSettings(aSettings)
  , mClient(aClient)
  , mListener(aListener)
  , mInstance(std::move(aInstance))
{
}

UpstreamClient::~UpstreamClient() = default;

UpstreamClient::Starter
UpstreamClient::FindStarter(RequestCommandKind aKind)
{
  struct Row
  {
    RequestCommandKind mKind;
    Starter mStarter;
  };
  static constexpr std::array<Row, 6> kRows = { {
    { RequestCommandKind::Reserve, &UpstreamClient::StartReserve },
    { RequestCommandKind::Prefill, &UpstreamClient::StartPrefill },
    { RequestCommandKind::Import, &UpstreamClient::StartImport },
    { RequestCommandKind::Decode, &UpstreamClient::StartDecode },
    { RequestCommandKind::CallPlain, &UpstreamClient::StartPlain },
    { RequestCommandKind::Cancel, &UpstreamClient::StartCancel },
  } };
  for (const Row& row : kRows) {
    if (row.mKind == aKind) {
      return row.mStarter;
    }
  }
  return nullptr;
}

bool
UpstreamClient::IsUpstreamCommand(RequestCommandKind aKind)
{
  return FindStarter(aKind) != nullptr;
}

void
UpstreamClient::Perform(const RequestCommand& aCommand,
                        const CallerRequestContent* aContent)
{
  const Starter starter = FindStarter(aCommand.mKind);
  PH_ASSERT(starter != nullptr);
  (this->*starter)(aCommand, aContent);
}

std::string
UpstreamClient::RequestId(const RequestCommand& aCommand) const
{
  return mInstance + "/" + std::to_string(aCommand.mId) + "/" +
         std::to_string(aCommand.mAttempt);
}

HttpCall
UpstreamClient::MakeCall(const RequestCommand& aCommand,
                         const char* aPath,
                         Duration aTimeout) const
{
  HttpCall call;
  call.mMethod = "POST";
  call.mUrl = "http://" + aCommand.mAddress + aPath;
  call.mHeaders["content-type"] = "application/json";
  call.mConnectTimeout = mSettings.mConnectTimeout;
  call.mTotalTimeout = aTimeout;
  call.mMaxResponseBytes = mSettings.mMaxResponseBytes;
  return call;
}

void
UpstreamClient::Start(HttpCall aCall, const std::shared_ptr<Call>& aListener)
{
  const HttpClient::CallId id = mClient->Start(std::move(aCall), aListener);
  aListener->SetId(id);
  mOpenCalls[aListener->Key()].insert(id);
}

void
UpstreamClient::RemoveOpenCall(const CallKey& aKey, HttpClient::CallId aCall)
{
  const auto it = mOpenCalls.find(aKey);
  if (it == mOpenCalls.end()) {
    return;
  }
  it->second.erase(aCall);
  if (it->second.empty()) {
    mOpenCalls.erase(it);
  }
}

void
UpstreamClient::StartReserve(const RequestCommand& aCommand,
                             const CallerRequestContent*)
{
  HttpCall call =
    MakeCall(aCommand, "/v1/reservations", mSettings.mControlTimeout);
  call.mBody = DumpJson({ { "request", RequestId(aCommand) },
                          { "pieces", aCommand.mPieces },
                          { "priority", aCommand.mPriority } });
  Start(std::move(call),
        std::make_shared<BufferedCall>(
          this, aCommand, false, &UpstreamClient::FinishReserve));
}

void
UpstreamClient::FinishReserve(const RequestCommand& aCommand,
                              const CallResult& aResult,
                              const std::string& aBody)
{
  ReserveResult result;
  result.mCall = aResult;
  const Json document = Json::parse(aBody, nullptr, false);
  if (document.is_object() && document.contains("free_pieces")) {
    result.mFreePieces =
      static_cast<std::uint32_t>(UnsignedField(document, "free_pieces"));
  }
  mListener->OnReserveResult(aCommand, result);
}

void
UpstreamClient::StartPrefill(const RequestCommand& aCommand,
                             const CallerRequestContent* aContent)
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
        std::make_shared<BufferedCall>(
          this, aCommand, true, &UpstreamClient::FinishPrefill));
}

void
UpstreamClient::FinishPrefill(const RequestCommand& aCommand,
                              const CallResult& aResult,
                              const std::string& aBody)
{
  PrefillResult result;
  result.mCall = aResult;
  const Json document = Json::parse(aBody, nullptr, false);
  result.mKvHandle = StringField(document, "kv");
  result.mBytes = UnsignedField(document, "bytes");
  result.mPromptTokens =
    static_cast<std::uint32_t>(UnsignedField(document, "prompt_tokens"));
  result.mCachedTokens =
    static_cast<std::uint32_t>(UnsignedField(document, "cached_tokens"));
  result.mExpiresIn =
    std::chrono::milliseconds(UnsignedField(document, "expires_ms"));
  mListener->OnPrefillResult(aCommand, result);
}

void
UpstreamClient::StartImport(const RequestCommand& aCommand,
                            const CallerRequestContent*)
{
  HttpCall call = MakeCall(aCommand, "/v1/import", mSettings.mControlTimeout);
  call.mBody = DumpJson({ { "request", RequestId(aCommand) },
                          { "source", aCommand.mSourceAddress },
                          { "kv", aCommand.mKvHandle } });
  Start(std::move(call),
        std::make_shared<BufferedCall>(
          this, aCommand, false, &UpstreamClient::FinishImport));
}

void
UpstreamClient::FinishImport(const RequestCommand& aCommand,
                             const CallResult& aResult,
                             const std::string& aBody)
{
  ImportResult result;
  result.mCall = aResult;
  result.mBytes = UnsignedField(Json::parse(aBody, nullptr, false), "bytes");
  mListener->OnImportResult(aCommand, result);
}

void
UpstreamClient::StartDecode(const RequestCommand& aCommand,
                            const CallerRequestContent* aContent)
{
  PH_ASSERT(aContent != nullptr);
  HttpCall call = MakeCall(aCommand, "/v1/decode", mSettings.mDecodeTimeout);
  call.mMaxResponseBytes = 0; // Events are passed on as they come.
  call.mBody = DumpJson({ { "request", RequestId(aCommand) },
                          { "max_tokens", aCommand.mMaxTokens },
                          { "resume_from", aCommand.mResumeFrom },
                          { "priority", aCommand.mPriority } });
  if (!aContent->mTraceParent.empty()) {
    call.mHeaders["traceparent"] = aContent->mTraceParent;
  }
  call.mSendOnce = aContent->mSendOnce;
  Start(std::move(call), std::make_shared<StreamingCall>(this, aCommand));
}

void
UpstreamClient::StartPlain(const RequestCommand& aCommand,
                           const CallerRequestContent* aContent)
{
  PH_ASSERT(aContent != nullptr);
  HttpCall call;
  call.mMethod = aContent->mMethod;
  call.mUrl = "http://" + aCommand.mAddress + aContent->mTarget;
  call.mBody = aContent->mBody;
  call.mConnectTimeout = mSettings.mConnectTimeout;
  call.mTotalTimeout = mSettings.mPlainTimeout;
  call.mMaxResponseBytes = mSettings.mMaxResponseBytes;
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
        std::make_shared<BufferedCall>(this, aCommand, true, nullptr));
}

void
UpstreamClient::StartCancel(const RequestCommand& aCommand,
                            const CallerRequestContent*)
{
  const auto it =
    mOpenCalls.find({ aCommand.mId, aCommand.mAttempt, aCommand.mUpstream });
  if (it != mOpenCalls.end()) {
    const std::set<HttpClient::CallId> calls = it->second;
    for (HttpClient::CallId call : calls) {
      mClient->Cancel(call);
    }
  }
  HttpCall call = MakeCall(aCommand, "/v1/cancel", mSettings.mControlTimeout);
  call.mBody = DumpJson({ { "request", RequestId(aCommand) } });
  // Not registered in mOpenCalls, because another Cancel must not abort this
  // call.
  mClient->Start(std::move(call),
                 std::make_shared<BufferedCall>(
                   this, aCommand, false, &UpstreamClient::FinishCancel));
}

void
UpstreamClient::FinishCancel(const RequestCommand& aCommand,
                             const CallResult& aResult,
                             const std::string&)
{
  // An upstream that sends a complete response holds no memory of this attempt
  // any more or never knew it. Only a server error requires another cancel.
  const bool hasServerError =
    aResult.mStatus >= kServerError && aResult.mStatus != kNotImplemented;
  const bool isCompleted = aResult.mEnd == CallEnd::Whole;
  mListener->OnCancelResult(aCommand, isCompleted && !hasServerError);
}

} // namespace peridothoist
