/// Prefill runs take time for each prompt token that isn't cached.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/PrefillPart.h>
#include <StandIns/TokenText.h>

#include <algorithm>

namespace peridothoist::standin {

namespace {

constexpr std::string_view kKvPath = "/v1/kv/";

} // namespace

PrefillPart::PrefillPart(EngineContext& aContext)
  : mContext(aContext)
  , mQueue(aContext.mSettings.mPrefillQueue)
  , mShelf(aContext.mSettings.mPrefillKeep)
  , mCache(aContext.mSettings.mCacheEntries)
  , mEvents(aContext.mSettings.mCacheEventDelay,
            aContext.mSettings.mCacheEventLoss)
{
}

void
PrefillPart::ServePrefill(const ExchangePtr& aExchange)
{
  const Json body = ParseObject(aExchange->Request().mBody);
  PrefillJob job;
  job.mRequest = TextField(body, "request");
  job.mPrompt = TextField(body, "prompt");
  job.mResumeText = TextField(body, "resume_text");
  job.mPriority = static_cast<int>(NumberField(body, "priority"));
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
  mWaiters[id] = { request, aExchange };
  StartNext();
}

void
PrefillPart::ServeKv(const ExchangePtr& aExchange)
{
  const std::string id = aExchange->Request().mPath.substr(kKvPath.size());
  const auto kv = mShelf.Get(mContext.Now(), id);
  if (!kv) {
    RespondJson(*aExchange, 404, { { "error", "expired" } });
    return;
  }
  const Duration keeps = mShelf.KeptFor(mContext.Now(), id);
  RespondJson(*aExchange,
              200,
              { { "prompt", kv->mPrompt },
                { "resume_text", kv->mResumeText },
                { "bytes", kv->mBytes },
                { "expires_ms", keeps / 1ms } });
}

void
PrefillPart::ServeCacheEvents(const ExchangePtr& aExchange)
{
  const std::string text = QueryField(aExchange->Request(), "after", "0");
  const std::uint64_t after = std::strtoull(text.c_str(), nullptr, 10);
  std::uint64_t next = after;
  Json events = Json::array();
  for (const CacheEvent& it : mEvents.Read(mContext.Now(), after)) {
    next = std::max(next, it.mSequence);
    events.push_back({ { "seq", it.mSequence },
                       { "prefix", it.mPrefix },
                       { "stored", it.mStored } });
  }
  RespondJson(
    *aExchange, 200, { { "next", next }, { "events", std::move(events) } });
}

void
PrefillPart::Cancel(const std::string& aRequest)
{
  mQueue.Cancel(aRequest);
  mShelf.Cancel(aRequest);
  for (auto it = mWaiters.begin(); it != mWaiters.end();) {
    if (it->second.mRequest != aRequest) {
      ++it;
      continue;
    }
    RespondJson(*it->second.mExchange, 409, { { "error", "cancelled" } });
    it = mWaiters.erase(it);
  }
}

void
PrefillPart::CancelInstance(const std::string& aInstance)
{
  for (const std::string& it : mQueue.CancelInstance(aInstance)) {
    Cancel(it);
  }
}

void
PrefillPart::StartNext()
{
  const PrefillJob* job = mQueue.StartNext();
  if (job == nullptr || mContext.CrashesOn(job->mPrompt)) {
    return;
  }
  const std::string text = job->mPrompt + job->mResumeText;
  const std::uint32_t cached = mCache.Match(text);
  const std::uint32_t tokens = CountTokens(text) - cached;
  mContext.NoteRan("prefill", job->mRequest);
  mContext.mTimers.After(
    mContext.Slowed(mContext.mSettings.mPrefillTokenTime * tokens),
    [this, cached] { OnFinished(cached); });
}

void
PrefillPart::OnFinished(std::uint32_t aCachedTokens)
{
  const auto job = mQueue.Finish();
  ++mFinished;
  if (job) {
    Answer(*job, aCachedTokens);
  }
  StartNext();
}

void
PrefillPart::Answer(const PrefillJob& aJob, std::uint32_t aCachedTokens)
{
  const std::string text = aJob.mPrompt + aJob.mResumeText;
  for (const CacheEvent& it : mCache.Store(text)) {
    mEvents.Add(mContext.Now(), it, mContext.mRandom);
  }
  const std::uint32_t tokens = CountTokens(text);
  const std::uint64_t bytes = tokens * mContext.mSettings.mKvBytesPerToken;
  const std::string kv = mShelf.Put(
    mContext.Now(), aJob.mRequest, { aJob.mPrompt, aJob.mResumeText, bytes });
  const auto waiter = mWaiters.find(aJob.mId);
  if (waiter == mWaiters.end()) {
    return;
  }
  RespondJson(*waiter->second.mExchange,
              200,
              { { "kv", kv },
                { "bytes", bytes },
                { "prompt_tokens", CountTokens(aJob.mPrompt) },
                { "cached_tokens", aCachedTokens },
                { "expires_ms", mContext.mSettings.mPrefillKeep / 1ms } });
  mWaiters.erase(waiter);
}

} // namespace peridothoist::standin
