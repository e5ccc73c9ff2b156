/// Runs calls after a delay, a bounded number at once.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/PlainService.h>
#include <StandIns/TokenText.h>

namespace peridothoist::standin {

namespace {

std::string
HeaderField(const HttpRequest& aRequest, const char* aName)
{
  const auto it = aRequest.mHeaders.find(aName);
  return it == aRequest.mHeaders.end() ? std::string() : it->second;
}

} // namespace

std::uint64_t
RunCounter::Count(const std::string& aKey, const std::string& aPath)
{
  return ++mRuns[aKey + " " + aPath];
}

Json
RunCounter::ToJson() const
{
  return Json(mRuns);
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
    (this->*call->mServe)(*aExchange);
    return;
  }
  if (mSettings.mKeepLog) {
    mLog.Received(mTimers.Now(), aExchange->Request());
  }
  if (TakeFault(mFaults.mFailNext)) {
    RespondJson(*aExchange, 500, { { "error", "failed" } });
    return;
  }
  if (TakeFault(mFaults.mRefuseNext)) {
    RespondJson(*aExchange, 503, { { "error", "refused" } });
    return;
  }
  if (mRunning >= mSettings.mConcurrency) {
    mWaiting.push_back(aExchange);
    return;
  }
  Start(aExchange);
}

void
PlainService::Start(const ExchangePtr& aExchange)
{
  ++mRunning;
  mTimers.After(mSettings.mRunTime + mFaults.mDelay, [this, aExchange] {
    --mRunning;
    Run(*aExchange);
    if (!mWaiting.empty()) {
      const ExchangePtr next = mWaiting.front();
      mWaiting.erase(mWaiting.begin());
      Start(next);
    }
  });
}

void
PlainService::Run(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  const std::string key = HeaderField(request, "idempotency-key");
  const std::uint64_t runs = mRuns.Count(key, request.mPath);
  if (mSettings.mKeepLog) {
    mLog.Ran(mTimers.Now(), request.mPath, key);
  }
  const Json answer = { { "method", request.mMethod },
                        { "path", request.mPath },
                        { "crc32", Checksum(request.mBody) },
                        { "bytes", request.mBody.size() },
                        { "runs", runs },
                        { "pad",
                          std::string(mSettings.mAnswerPadBytes, 'x') } };
  Answer(aExchange, answer.dump());
}

void
PlainService::Answer(HttpExchange& aExchange, const std::string& aBody)
{
  const HttpHeaders headers = { { "content-type", "application/json" } };
  if (TakeFault(mFaults.mCloseNext)) {
    CloseWithoutAnswer(aExchange);
    return;
  }
  if (TakeFault(mFaults.mTruncateNext)) {
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
  RespondJson(aExchange, 200, mRuns.ToJson());
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
                { "queued", mWaiting.size() },
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
  mFaults.mCloseNext = NumberField(body, "close_next", mFaults.mCloseNext);
  mFaults.mTruncateNext =
    NumberField(body, "truncate_next", mFaults.mTruncateNext);
  mFaults.mFailNext = NumberField(body, "fail_next", mFaults.mFailNext);
  mFaults.mRefuseNext = NumberField(body, "refuse_next", mFaults.mRefuseNext);
  if (body.contains("delay_ms")) {
    mFaults.mDelay = std::chrono::milliseconds(NumberField(body, "delay_ms"));
  }
  RespondJson(aExchange, 200, Json::object());
}

void
PlainService::ServeCancel(HttpExchange& aExchange)
{
  RespondJson(aExchange, 200, { { "freed_pieces", 0 } });
}

} // namespace peridothoist::standin
