/// Places waiting requests on upstreams: queues by pool, the choice of
/// upstreams, and the lane of suspects, which run apart from everything else.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Queueing/Admission.h>
#include <Peridothoist/Queueing/RequestQueue.h>
#include <Peridothoist/Queueing/ServiceRate.h>
#include <Peridothoist/Request/AttemptMachine.h>
#include <Peridothoist/Request/EntryContext.h>
#include <Peridothoist/Routing/Chooser.h>

#include <deque>

namespace peridothoist {

/// Told when a request comes to its turn.
class DispatchListener
{
public:
  virtual ~DispatchListener() = default;

  /// Last checks directly before an attempt starts. False: the request was
  /// refused and must not start.
  virtual bool OnBeforeStart(RequestState& aRequest) = 0;

  /// An attempt was started.
  virtual void OnStarted(RequestState& aRequest, std::uint32_t aAttempt) = 0;
};

/// Owns the queues.
class Dispatcher
{
public:
  Dispatcher(EntryContext& aContext, AttemptMachine& aAttempts);

  /// Must be set before anything else. Not owned.
  void SetListener(DispatchListener* aListener) { mListener = aListener; }

  /// Takes strategies from the configuration in force.
  void OnConfiguration();

  /// Estimated cost, in prompt tokens; and decode memory, in pieces.
  double CostOf(const Arrival& aArrival) const;
  std::uint32_t PiecesOf(const Arrival& aArrival) const;

  /// Why a new request can't be queued; nothing when it can. Sets aRetryAfter
  /// when it makes sense to come back.
  std::optional<RefusalKind> Admit(const RequestState& aRequest,
                                   Duration& aRetryAfter);

  /// Queues a new request.
  void Enqueue(RequestState& aRequest);

  /// Queues a request again, before newer ones of its workspace.
  void Requeue(RequestState& aRequest);

  /// Takes a request out, wherever it waits.
  void Remove(RequestState& aRequest);

  /// Starts all that can start now.
  void Pump();

  /// Starts a second attempt of a plain call beside a running one; false when
  /// no other upstream is empty, or the budget is spent.
  bool StartHedge(RequestState& aRequest);

  /// A request's first byte came.
  void OnFirstByte(const RequestState& aRequest, Duration aTook);

  std::size_t QueueLength() const;
  std::size_t QueueLength(const std::string& aWorkspace) const;

private:
  /// Requests for the same pools.
  struct PoolQueue
  {
    std::string mPrefillPool; ///< Empty for plain services.
    std::string mDecodePool;  ///< Or the plain pool.
    std::unique_ptr<RequestQueue> mQueue;
    std::deque<std::uint64_t> mSuspects; ///< In order of arrival.
    ServiceRate mRate{ ServiceRateSettings() };
  };

  using Candidates = std::vector<UpstreamState*>;
  /// Suspects that wait for an empty upstream, by pool.
  using WantedPools = std::map<std::string, std::size_t>;

  PoolQueue& QueueFor(const RequestState& aRequest);
  void Put(RequestState& aRequest, bool aAgain);
  void PumpQueue(PoolQueue& aPool);
  void PumpSuspects(PoolQueue& aPool, WantedPools& aWanted);
  void SetClearing(WantedPools aWanted);
  bool MoveIfSuspect(PoolQueue& aPool, std::uint64_t aId);
  bool StartSuspect(PoolQueue& aPool, RequestState& aRequest);
  bool IsReady(const RequestState& aRequest) const;
  bool TryStart(PoolQueue& aPool, RequestState& aRequest);
  std::optional<Placement> Place(const PoolQueue& aPool,
                                 const RequestState& aRequest);
  UpstreamState* ChooseFrom(const std::string& aPool,
                            const RequestState& aRequest,
                            const std::string& aZone);
  bool HasRoom(const UpstreamState& aUpstream,
               const RequestState& aRequest) const;
  UpstreamState* FindEmpty(const std::string& aPool,
                           const RequestState& aRequest);
  void ClearOne(const std::string& aPool, std::size_t aWanted);
  void StopClearing(const std::string& aPool);
  void WakeAfterBackoff(const std::string& aPool);
  bool Begin(RequestState& aRequest, const Placement& aPlacement);

  EntryContext& mContext;
  AttemptMachine& mAttempts;
  DispatchListener* mListener = nullptr;
  std::map<std::string, PoolQueue> mPools; ///< By RequestState::mPool.
  std::string mQueueStrategy;
  std::unique_ptr<Chooser> mChooser;
  std::string mChooseStrategy;
  std::unique_ptr<Admission> mAdmission;
  WantedPools mWanted;    ///< Pools of which upstreams are being cleared.
  Candidates mCandidates; ///< Kept between choices to save allocations.
  std::optional<TimePoint> mWakeAt; ///< Earliest pump timer that is set.
};

} // namespace peridothoist
