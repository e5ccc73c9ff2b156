/// The prefill side of an engine stand-in behind HTTP.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineContext.h>
#include <StandIns/KvShelf.h>
#include <StandIns/PrefillQueue.h>
#include <StandIns/PrefixCache.h>

namespace peridothoist::standin {

/// Runs prefills one at a time and keeps their results for a while.
class PrefillPart
{
public:
  explicit PrefillPart(EngineContext& aContext);

  // The engine's calls.
  void ServePrefill(const ExchangePtr& aExchange);
  void ServeKv(const ExchangePtr& aExchange);
  void ServeCacheEvents(const ExchangePtr& aExchange);

  /// Drops a request's jobs and results, and answers those who wait for it.
  void Cancel(const std::string& aRequest);
  void CancelInstance(const std::string& aInstance);

  std::size_t Waiting() const { return mQueue.Waiting(); }
  std::size_t Running() const { return mQueue.Busy() ? 1 : 0; }
  std::uint64_t Finished() const { return mFinished; }
  std::uint64_t Wasted() const { return mShelf.Wasted(); }

private:
  /// Who waits for a job.
  struct Waiter
  {
    std::string mRequest;
    ExchangePtr mExchange;
  };

  void StartNext();
  void OnFinished(std::uint32_t aCachedTokens);
  void Answer(const PrefillJob& aJob, std::uint32_t aCachedTokens);

  EngineContext& mContext;
  PrefillQueue mQueue;
  KvShelf mShelf;
  PrefixCache mCache;
  CacheEventFeed mEvents;
  std::map<std::uint64_t, Waiter> mWaiters; ///< By job id.
  std::uint64_t mFinished = 0;
};

} // namespace peridothoist::standin
