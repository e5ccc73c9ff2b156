/// Prefill duration is proportional to the number of uncached prompt tokens.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/PrefillService.h>
#include <StandIns/TokenText.h>

#include <algorithm>

namespace peridothoist::standin {

namespace {

constexpr std::string_view kKvPath = "/v1/kv/";

} // namespace

PrefillService::PrefillService(EngineContext& aContext)
  : mContext(aContext)
  , mQueue(aContext.mSettings.mMaxQueuedPrefills)
  , mResults(aContext.mSettings.mPrefillResultLifetime)
  , mCache(aContext.mSettings.mMaxCacheEntries)
  , mEvents(aContext.mSettings.mCacheEventDelay,
            aContext.mSettings.mCacheEventLossProbability)
{
}

void
PrefillService::ServePrefill(const ExchangePtr& aExchange)
{
  const Json body = ParseObject(aExchange->Request().mBody);
  PrefillJob job;
  job.mRequest = StringField(body, "request");
  job.mPrompt = StringField(body, "prompt");
  job.mResumeText = StringField(body, "resume_text");
  job.mPriority = static_cast<int>(UnsignedField(body, "priority"));
  if (job.mRequest.empty()) {
    RespondJson(*aExchange, 400, { { "error", "request is missing" } });
    return;
  }
  const std::string request = job.mRequest;
  const std::uint64_t id = mQueue.Add(std::move(job));
  if (id == 0) {
    RespondJson(*aExchange, 429, { { "error", "queue full" } });
    return;
  }
  mPendingResponses[id] = { request, aExchange };
  StartNext();
}

void
PrefillService::ServeKv(const ExchangePtr& aExchange)
{
  const std::string id = aExchange->Request().mPath.substr(kKvPath.size());
  const auto kv = mResults.Get(mContext.Now(), id);
  if (!kv) {
    RespondJson(*aExchange, 404, { { "error", "expired" } });
    return;
  }
  const Duration remaining = mResults.RemainingLifetime(mContext.Now(), id);
  RespondJson(*aExchange,
              200,
              { { "prompt", kv->mPrompt },
                { "resume_text", kv->mResumeText },
                { "bytes", kv->mBytes },
                { "expires_ms", remaining / 1ms } });
}

void
PrefillService::ServeCacheEvents(const ExchangePtr& aExchange)
{
  const std::string text = QueryParameter(aExchange->Request(), "after", "0");
  const std::uint64_t after = std::strtoull(text.c_str(), nullptr, 10);
  std::uint64_t next = after;
  Json events = Json::array();
  for (const CacheEvent& it : mEvents.Read(mContext.Now(), after)) {
    next = std::max(next, it.mSequence);
    events.push_back({ { "seq", it.mSequence },
                       { "prefix", it.mPrefix },
                       { "stored", it.mIsStored } });
  }
  RespondJson(
    *aExchange, 200, { { "next", next }, { "events", std::move(events) } });
}

void
PrefillService::CancelRequest(const std::string& aRequest)
{
  mQueue.CancelRequest(aRequest);
  mResults.RemoveRequestResults(aRequest);
  for (auto it = mPendingResponses.begin(); it != mPendingResponses.end();) {
    if (it->second.mRequest != aRequest) {
      ++it;
      continue;
    }
    RespondJson(*it->second.mExchange, 409, { { "error", "cancelled" } });
    it = mPendingResponses.erase(it);
  }
}

void
PrefillService::CancelInstance(const std::string& aInstance)
{
  for (const std::string& it : mQueue.CancelInstance(aInstance)) {
    CancelRequest(it);
  }
}

void
PrefillService::StartNext()
{
  const PrefillJob* job = mQueue.StartNext();
  if (job == nullptr || mContext.CrashIfTriggered(job->mPrompt)) {
    return;
  }
  const std::string text = job->mPrompt + job->mResumeText;
  const std::uint32_t cached = mCache.MatchPrefix(text);
  const std::uint32_t tokens = CountTokens(text) - cached;
  mContext.LogExecution("prefill", job->mRequest);
  mContext.mTimers.Schedule(
    mContext.ApplySlowdown(mContext.mSettings.mPrefillTimePerToken * tokens),
    [this, cached] { OnFinished(cached); });
}

void
PrefillService::OnFinished(std::uint32_t aCachedTokens)
{
  const auto job = mQueue.FinishRunning();
  ++mFinishedCount;
  if (job) {
    CompleteJob(*job, aCachedTokens);
  }
  StartNext();
}

void
PrefillService::CompleteJob(const PrefillJob& aJob, std::uint32_t aCachedTokens)
{
  const std::string text = aJob.mPrompt + aJob.mResumeText;
  for (const CacheEvent& it : mCache.Store(text)) {
    mEvents.Publish(mContext.Now(), it, mContext.mRandom);
  }
  const std::uint32_t tokens = CountTokens(text);
  const std::uint64_t bytes = tokens * mContext.mSettings.mKvBytesPerToken;
  const std::string kv = mResults.Put(
    mContext.Now(), aJob.mRequest, { aJob.mPrompt, aJob.mResumeText, bytes });
  const auto pending = mPendingResponses.find(aJob.mId);
  if (pending == mPendingResponses.end()) {
    return;
  }
  RespondJson(
    *pending->second.mExchange,
    200,
    { { "kv", kv },
      { "bytes", bytes },
      { "prompt_tokens", CountTokens(aJob.mPrompt) },
      { "cached_tokens", aCachedTokens },
      { "expires_ms", mContext.mSettings.mPrefillResultLifetime / 1ms } });
  mPendingResponses.erase(pending);
}

} // namespace peridothoist::standin
