/// Holds the exchanges of requests that wait for their workspace's allowance,
/// and passes on the decisions of WaitingAdmission.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/WaitingAdmission.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Receives the decisions about requests.
class AdmissionExecutorListener
{
public:
  virtual ~AdmissionExecutorListener() = default;

  /// Called when a request is admitted. aWaited: for its allowance.
  virtual void OnAdmitted(std::shared_ptr<HttpExchange> aExchange,
                          AdmittedRequest aAdmitted,
                          const IncomingRequest& aRequest,
                          Duration aWaited) = 0;

  /// Called when a request is refused. aWaited: for its allowance; nullopt: it
  /// was refused on arrival.
  virtual void OnRefused(HttpExchange& aExchange,
                         const IncomingRequest& aRequest,
                         const Refusal& aRefusal,
                         std::optional<Duration> aWaited) = 0;

  /// Called when the caller of a waiting request has disconnected.
  virtual void OnCallerLeft(const IncomingRequest& aRequest,
                            Duration aWaited) = 0;
};

/// Connects callers' exchanges with WaitingAdmission.
class AdmissionExecutor
{
public:
  /// The pointers are not owned.
  AdmissionExecutor(Reactor* aReactor,
                    WaitingAdmission* aAdmission,
                    AdmissionExecutorListener* aListener);
  ~AdmissionExecutor();
  AdmissionExecutor(const AdmissionExecutor&) = delete;
  AdmissionExecutor& operator=(const AdmissionExecutor&) = delete;

  /// Takes over a request that arrived. aId is never reused.
  void OnRequest(std::uint64_t aId,
                 IncomingRequest aRequest,
                 std::shared_ptr<HttpExchange> aExchange);

  /// Checks the waiting requests against a changed configuration.
  void OnConfigurationChanged();

  /// Refuses all waiting requests. From now on none waits.
  void StopWaiting(const Refusal& aRefusal);

private:
  class CallerListener;

  /// One waiting request.
  struct Waiting
  {
    IncomingRequest mRequest;
    std::shared_ptr<HttpExchange> mExchange;
    std::unique_ptr<CallerListener> mListener;
    TimePoint mArrivedAt;
  };

  void OnCallerDisconnected(std::uint64_t aId);
  void Report(AdmissionDecisions& aDecisions);
  void ArmTimer();

  Reactor* mReactor;
  WaitingAdmission* mAdmission;
  AdmissionExecutorListener* mListener;
  std::map<std::uint64_t, Waiting> mWaiting; ///< By request id.
  std::optional<TimePoint> mTimerDue;        ///< Expiry of mTimer.
  Reactor::TimerId mTimer = 0;
};

} // namespace peridothoist
