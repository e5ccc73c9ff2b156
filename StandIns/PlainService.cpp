/// Executes calls after a delay, with a limit on concurrent calls.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/PlainService.h>
#include <StandIns/TokenText.h>

namespace peridothoist::standin {

namespace {

std::string
HeaderValue(const HttpRequest& aRequest, const char* aName)
{
  const auto it = aRequest.mHeaders.find(aName);
  return it == aRequest.mHeaders.end() ? std::string() : it->second;
}

} // namespace

std::uint64_t
ExecutionCounter::CountExecution(const std::string& aKey,
                                 const std::string& aPath)
{
  return ++mExecutions[aKey + " " + aPath];
}

Json
ExecutionCounter::ToJson() const
{
  return Json(mExecutions);
}

const PlainService::Call PlainService::kCalls[5] = {
  { "GET", "/ran", &PlainService::ServeRan },
  { "GET", "/v1/load", &PlainService::ServeLoad },
  { "GET", "/log", &PlainService::ServeLog },
  { "POST", "/faults", &PlainService::ServeFaults },
  { "POST", "/v1/cancel", &PlainService::ServeCancel },
};

PlainService::PlainService(Reactor& aReactor, const Settings& aSettings)
  : mTimers(aReactor)
  , mSettings(aSettings)
{
}

void
PlainService::OnRequest(std::shared_ptr<HttpExchange> aExchange)
{
  const Call* call = FindCall(kCalls, aExchange->Request());
  if (call != nullptr) {
    (this->*call->mHandler)(*aExchange);
    return;
  }
  if (mSettings.mIsLogEnabled) {
    mLog.AddReceived(mTimers.Now(), aExchange->Request());
  }
  if (ConsumeFault(mFaults.mFailNext)) {
    RespondJson(*aExchange, 500, { { "error", "failed" } });
    return;
  }
  if (ConsumeFault(mFaults.mRefuseNext)) {
    RespondJson(*aExchange, 503, { { "error", "refused" } });
    return;
  }
  if (mRunning >= mSettings.mMaxConcurrentCalls) {
    mQueuedExchanges.push_back(aExchange);
    return;
  }
  StartCall(aExchange);
}

void
PlainService::StartCall(const ExchangePtr& aExchange)
{
  ++mRunning;
  mTimers.Schedule(mSettings.mRunTime + mFaults.mDelay, [this, aExchange] {
    --mRunning;
    ExecuteCall(*aExchange);
    if (!mQueuedExchanges.empty()) {
      const ExchangePtr next = mQueuedExchanges.front();
      mQueuedExchanges.erase(mQueuedExchanges.begin());
      StartCall(next);
    }
  });
}

void
PlainService::ExecuteCall(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  const std::string key = HeaderValue(request, "idempotency-key");
  const std::uint64_t runs = mExecutions.CountExecution(key, request.mPath);
  if (mSettings.mIsLogEnabled) {
    mLog.AddExecuted(mTimers.Now(), request.mPath, key);
  }
  const Json response = { { "method", request.mMethod },
                          { "path", request.mPath },
                          { "crc32", Checksum(request.mBody) },
                          { "bytes", request.mBody.size() },
                          { "runs", runs },
                          { "pad",
                            std::string(mSettings.mResponsePadBytes, 'x') } };
  SendResponse(aExchange, response.dump());
}

void
PlainService::SendResponse(HttpExchange& aExchange, const std::string& aBody)
{
  const HttpHeaders headers = { { "content-type", "application/json" } };
  if (ConsumeFault(mFaults.mCloseNext)) {
    CloseWithoutResponse(aExchange);
    return;
  }
  if (ConsumeFault(mFaults.mTruncateNext)) {
    aExchange.StartStream(200, headers);
    aExchange.Write(std::string_view(aBody).substr(0, aBody.size() / 2));
    aExchange.AbortStream();
    return;
  }
  aExchange.Respond(200, headers, aBody);
}

void
PlainService::ServeRan(HttpExchange& aExchange)
{
  RespondJson(aExchange, 200, mExecutions.ToJson());
}

void
PlainService::ServeLoad(HttpExchange& aExchange)
{
  RespondJson(aExchange,
              200,
              { { "role", "plain" },
                { "free_pieces", 0 },
                { "total_pieces", 0 },
                { "running", mRunning },
                { "queued", mQueuedExchanges.size() },
                { "measured_ms_ago", 0 } });
}

void
PlainService::ServeLog(HttpExchange& aExchange)
{
  aExchange.Respond(
    200, { { "content-type", "application/json" } }, mLog.ToJson());
}

void
PlainService::ServeFaults(HttpExchange& aExchange)
{
  const Json body = ParseObject(aExchange.Request().mBody);
  mFaults.mCloseNext = UnsignedField(body, "close_next", mFaults.mCloseNext);
  mFaults.mTruncateNext =
    UnsignedField(body, "truncate_next", mFaults.mTruncateNext);
  mFaults.mFailNext = UnsignedField(body, "fail_next", mFaults.mFailNext);
  mFaults.mRefuseNext = UnsignedField(body, "refuse_next", mFaults.mRefuseNext);
  if (body.contains("delay_ms")) {
    mFaults.mDelay = std::chrono::milliseconds(UnsignedField(body, "delay_ms"));
  }
  RespondJson(aExchange, 200, Json::object());
}

void
PlainService::ServeCancel(HttpExchange& aExchange)
{
  RespondJson(aExchange, 200, { { "freed_pieces", 0 } });
}

} // namespace peridothoist::standin
