/// Assigns waiting requests to upstreams: has a queue for each combination of
/// pools, chooses upstreams, and runs suspects (requests that may crash an
/// upstream) in isolation from all other requests. An upstream becomes idle for
/// a suspect by being cleared: it gets no new requests until a suspect starts
/// there or no suspect waits any more.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Queueing/AdmissionPolicy.h>
#include <Peridothoist/Queueing/RequestQueue.h>
#include <Peridothoist/Queueing/ServiceRateEstimator.h>
#include <Peridothoist/Request/AttemptStateMachine.h>
#include <Peridothoist/Request/EntryContext.h>
#include <Peridothoist/Routing/Chooser.h>

#include <deque>

namespace peridothoist {

/// Notified when a waiting request is dispatched.
class DispatchListener
{
public:
  virtual ~DispatchListener() = default;

  /// Called directly before an attempt starts. Returns false if the request was
  /// refused and must not start.
  virtual bool OnBeforeStart(RequestState& aRequest) = 0;

  /// Called when an attempt was started.
  virtual void OnStarted(RequestState& aRequest, std::uint32_t aAttempt) = 0;
};

/// Owns the queues of waiting requests.
class Dispatcher
{
public:
  Dispatcher(EntryContext& aContext, AttemptStateMachine& aAttempts);

  /// Sets the listener. Must be called before any other method. Not owned.
  void SetListener(DispatchListener* aListener) { mListener = aListener; }

  /// Applies the strategies of the configuration in force.
  void OnConfiguration();

  /// Returns the estimated cost in prompt tokens, at least 1.
  double EstimateCost(const Arrival& aArrival) const;

  /// Returns the estimated decode memory in pieces; 0 if the route has no
  /// decode engine.
  std::uint32_t EstimatePieces(const Arrival& aArrival) const;

  /// Returns the reason why a new request cannot be queued, or nullopt if it
  /// can. Sets aRetryAfter if a later retry may succeed.
  std::optional<RefusalKind> CheckAdmission(const RequestState& aRequest,
                                            Duration& aRetryAfter);

  /// Queues a new request.
  void Enqueue(RequestState& aRequest);

  /// Queues a request again, ahead of newer requests of its workspace.
  void Requeue(RequestState& aRequest);

  /// Removes a request from its queue or from the waiting suspects.
  void Remove(RequestState& aRequest);

  /// Starts attempts for all waiting requests that can be placed now.
  void DispatchWaiting();

  /// Starts a second attempt of a plain call beside a running one. Returns
  /// false if no other upstream is idle or the retry budget is used up.
  bool StartHedge(RequestState& aRequest);

  /// Records the time from an attempt's start to its first byte.
  void OnFirstByte(const RequestState& aRequest, Duration aDuration);

  std::size_t QueueLength() const;
  std::size_t QueueLength(const std::string& aWorkspace) const;

private:
  /// The waiting requests for one combination of pools.
  struct PoolQueue
  {
    std::string mPrefillPool; ///< Empty for plain services.
    std::string mDecodePool;  ///< The decode or plain pool.
    std::unique_ptr<RequestQueue> mQueue;
    std::deque<std::uint64_t> mSuspects; ///< Waiting; in order of arrival.
    ServiceRateEstimator mServiceRate{ ServiceRateEstimatorSettings() };
  };

  using Candidates = std::vector<UpstreamState*>;
  /// Number of suspects that wait for an idle upstream, by pool.
  using WaitingSuspects = std::map<std::string, std::size_t>;

  PoolQueue& QueueFor(const RequestState& aRequest);
  void Insert(RequestState& aRequest, bool aIsRequeue);
  void DispatchQueue(PoolQueue& aPool);
  void DispatchSuspects(PoolQueue& aPool, WaitingSuspects& aWaiting);
  /// Clears upstreams for waiting suspects, and stops clearing in pools for
  /// which none waits.
  void UpdateClearing(WaitingSuspects aWaiting);
  /// Moves a queued request to the waiting suspects if it is one.
  bool MoveIfSuspect(PoolQueue& aPool, std::uint64_t aId);
  bool StartSuspect(PoolQueue& aPool, RequestState& aRequest);
  /// Returns whether the suspect may run: no attempt with the same digest is
  /// running, and SuspectTable::MustDefer() is false.
  bool IsSuspectReady(const RequestState& aRequest) const;
  bool TryStart(PoolQueue& aPool, RequestState& aRequest);
  std::optional<Placement> ChoosePlacement(const PoolQueue& aPool,
                                           const RequestState& aRequest);
  UpstreamState* ChooseUpstream(const std::string& aPool,
                                const RequestState& aRequest,
                                const std::string& aZone);
  bool HasCapacity(const UpstreamState& aUpstream,
                   const RequestState& aRequest) const;
  /// Returns an upstream on which this entry has no request; null if there is
  /// none.
  UpstreamState* FindIdle(const std::string& aPool,
                          const RequestState& aRequest);
  /// Starts to clear one more upstream, unless enough are reserved for aWaiting
  /// suspects or the maximum is reached.
  void ClearOneUpstream(const std::string& aPool, std::size_t aWaiting);
  void StopClearing(const std::string& aPool);
  /// Sets a timer for the earliest end of a backoff in a pool.
  void SetBackoffTimer(const std::string& aPool);
  bool StartAttempt(RequestState& aRequest, const Placement& aPlacement);

  EntryContext& mContext;
  AttemptStateMachine& mAttempts;
  DispatchListener* mListener = nullptr;
  std::map<std::string, PoolQueue> mPools; ///< By RequestState::mQueueKey.
  std::string mQueueStrategy;
  std::unique_ptr<Chooser> mChooser;
  std::string mChooseStrategy;
  std::unique_ptr<AdmissionPolicy> mAdmission;
  /// Waiting suspects at the last dispatch; upstreams of these pools are being
  /// cleared.
  WaitingSuspects mWaitingSuspects;
  Candidates mCandidates; ///< Reused between choices to save allocations.
  /// The earliest backoff timer that is set.
  std::optional<TimePoint> mNextBackoffTimer;
};

} // namespace peridothoist
