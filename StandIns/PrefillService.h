/// Prefill calls of an engine stand-in.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineContext.h>
#include <StandIns/PrefillResultStore.h>
#include <StandIns/PrefillQueue.h>
#include <StandIns/PrefixCache.h>

namespace peridothoist::standin {

/// Runs prefills one at a time and stores each result until it expires.
class PrefillService
{
public:
  explicit PrefillService(EngineContext& aContext);

  // HTTP calls.
  void ServePrefill(const ExchangePtr& aExchange);
  void ServeKv(const ExchangePtr& aExchange);
  void ServeCacheEvents(const ExchangePtr& aExchange);

  /// Removes a request's jobs and results, and responds 409 to pending calls.
  void CancelRequest(const std::string& aRequest);

  /// Cancels the requests of one entry instance.
  void CancelInstance(const std::string& aInstance);

  std::size_t QueuedCount() const { return mQueue.QueuedCount(); }
  std::size_t RunningCount() const { return mQueue.IsRunning() ? 1 : 0; }
  std::uint64_t FinishedCount() const { return mFinishedCount; }
  std::uint64_t UnfetchedCount() const { return mResults.UnfetchedCount(); }

private:
  /// A call whose response waits for a job.
  struct PendingResponse
  {
    std::string mRequest;
    ExchangePtr mExchange;
  };

  void StartNext();
  void OnFinished(std::uint32_t aCachedTokens);
  void CompleteJob(const PrefillJob& aJob, std::uint32_t aCachedTokens);

  EngineContext& mContext;
  PrefillQueue mQueue;
  PrefillResultStore mResults;
  PrefixCache mCache;
  CacheEventFeed mEvents;
  std::map<std::uint64_t, PendingResponse> mPendingResponses; ///< By job id.
  std::uint64_t mFinishedCount = 0;
};

} // namespace peridothoist::standin
