/// Admits requests, and lets those that are over their workspace's allowance
/// wait for a moment if they are then served well within their target latency.
/// A waiting request is charged and checked again when it is admitted.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Queueing/AllowanceQueue.h>
#include <Peridothoist/Relay/RelayAdmission.h>

namespace peridothoist {

/// Settings of WaitingAdmission.
struct WaitingAdmissionSettings
{
  /// Part of its route's target latency for which a request may wait for its
  /// allowance. The rest is left for its start. 0: none waits.
  double mWaitPart = 0.5;
  /// Requests with a shorter target latency do not wait: it leaves no time for
  /// the call after the wait.
  Duration mMinTargetLatency = 400ms;
  AllowanceQueueSettings mQueue;
};

/// The decision about one request.
struct AdmissionDecision
{
  std::uint64_t mId = 0;
  std::optional<AdmittedRequest> mAdmitted;
  Refusal mRefusal;        ///< Unless it is admitted.
  bool mHasWaited = false; ///< It was in the queue.
  Duration mWaited{ 0 };   ///< For its allowance.
};

using AdmissionDecisions = std::vector<AdmissionDecision>;

/// Counts of requests that waited, by the end of their wait.
struct AllowanceWaitCounts
{
  std::uint64_t mAdmitted = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mLeft = 0; ///< The caller disconnected.
};

/// Decides whether and when requests are admitted. Every function that takes
/// aOut appends the decisions that were made.
class WaitingAdmission
{
public:
  using Settings = WaitingAdmissionSettings;

  /// The pointers are not owned.
  WaitingAdmission(const Settings& aSettings,
                   RelayAdmission* aAdmission,
                   WorkspaceRateLimiter* aRateLimiter);

  /// Decides about a request that arrived, or lets it wait. aBytes: memory that
  /// it holds while it waits. A request that arrives may cause refusals of less
  /// urgent ones that wait.
  void OnArrival(std::uint64_t aId,
                 const IncomingRequest& aRequest,
                 std::size_t aBytes,
                 TimePoint aNow,
                 AdmissionDecisions& aOut);

  /// Forgets a waiting request whose caller has disconnected.
  void OnCallerDisconnected(std::uint64_t aId);

  /// Checks the waiting requests against a changed configuration.
  void OnConfigurationChanged(TimePoint aNow, AdmissionDecisions& aOut);

  /// Admits waiting requests whose tokens are available, and refuses those
  /// whose wait has ended in vain.
  void OnTick(TimePoint aNow, AdmissionDecisions& aOut);

  /// Refuses all waiting requests. From now on none waits.
  void StopWaiting(const Refusal& aRefusal,
                   TimePoint aNow,
                   AdmissionDecisions& aOut);

  /// Returns when OnTick() is to be called next; nullopt while nothing waits.
  std::optional<TimePoint> NextTick() const { return mQueue.NextTry(); }

  const AllowanceQueue& Queue() const { return mQueue; }
  const AllowanceWaitCounts& Counts() const { return mCounts; }

private:
  AllowanceWaiter MakeWaiter(const AdmittedRequest& aPrepared,
                             std::size_t aBytes) const;
  std::optional<Duration> TryAdmit(AdmittedRequest& aPrepared,
                                   const AllowanceWaiter& aWaiter,
                                   TimePoint aNow,
                                   AdmissionDecisions& aOut);
  Duration EstimateWait(const AllowanceWaiter& aWaiter, TimePoint aNow) const;
  void TryWorkspace(const std::string& aWorkspace,
                    TimePoint aNow,
                    AdmissionDecisions& aOut);
  void ScheduleTry(const std::string& aWorkspace, TimePoint aNow);
  void RefuseHopeless(const std::string& aWorkspace,
                      TimePoint aNow,
                      AdmissionDecisions& aOut);
  void RefuseOverAllowance(const AllowanceWaiter& aWaiter,
                           TimePoint aNow,
                           AdmissionDecisions& aOut);
  void EndWait(AdmissionDecision aDecision,
               const AllowanceWaiter& aWaiter,
               TimePoint aNow,
               AdmissionDecisions& aOut);

  Settings mSettings;
  RelayAdmission* mAdmission;
  WorkspaceRateLimiter* mRateLimiter;
  AllowanceQueue mQueue;
  std::map<std::uint64_t, IncomingRequest> mRequests; ///< Those that wait.
  AllowanceWaitCounts mCounts;
};

} // namespace peridothoist
