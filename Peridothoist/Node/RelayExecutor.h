/// Executes the commands of the relay state machine: calls to upstreams and
/// responses to callers. All decisions are made by the state machine.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/CallerProtocol.h>
#include <Peridothoist/Node/UpstreamControlCall.h>
#include <Peridothoist/Relay/RelayStateMachine.h>
#include <Peridothoist/Shell/Log.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Statistics of one request, for logs and metrics.
struct RelayRequestSummary
{
  std::uint64_t mId = 0;
  std::string mCallerRequestId; ///< Id given by the caller.
  std::string mRoute;
  std::string mWorkspace;
  RouteKind mKind = RouteKind::NonIdempotent;
  TimePoint mArrivedAt;
  int mStatus = 0;               ///< 0: the caller left before a response.
  const char* mOutcome = "left"; ///< Refusal type, or how it ended.
  std::uint32_t mPriority = 0;
  std::uint64_t mPromptTokens = 0;
  std::vector<std::string> mSharedPromptParts; ///< Of the prompt; ids.
  std::uint64_t mMaxTokens = 0;                ///< Prompt plus maximum output.
  std::uint32_t mEventCount = 0; ///< Streams: number of events sent.
  TimePoint mLastEventAt;        ///< Streams: time of the last event.
  Duration mMaxEventGap{ 0 };    ///< Streams: longest time between two events.
  std::uint32_t mCallCount = 0;  ///< Number of calls to upstreams.
  std::string mUpstream;         ///< Id of the last one called.
  /// Streams: software version that they are bound to; empty: none.
  std::string mSoftwareVersion;
  Duration mTimeToFirstEvent{ 0 }; ///< Streams: from arrival.
  Duration mTimeToFirstCall{ 0 };  ///< To an upstream, from arrival.
  Duration mAllowanceWait{ 0 };    ///< For the workspace's allowance.
  /// Streams: time in which upstreams were not read, since the caller read too
  /// slowly.
  Duration mPausedTime{ 0 };
};

/// Receives the events of a RelayExecutor.
class RelayExecutorListener
{
public:
  virtual ~RelayExecutorListener() = default;

  /// Called once for each admitted request, after its end.
  virtual void OnRequestFinished(const RelayRequestSummary& aSummary) = 0;

  /// Called when a call to an upstream has ended. aSucceeded: whether it
  /// produced a usable result.
  virtual void OnCallFinished(RelayCallKind aKind,
                              bool aSucceeded,
                              Duration aDuration) = 0;

  /// Called when this VM's open work at engines has changed.
  virtual void OnWorkChanged() = 0;

  /// Called when the origin of the stream with aKey was decided, before its
  /// first event is sent to the caller.
  virtual void OnOriginDecided(const std::string& aKey,
                               const StreamOrigin& aOrigin) = 0;

  /// Called when a request waits for the origin of the stream with aKey. To be
  /// followed by RelayStateMachine::OnOriginFound().
  virtual void OnOriginNeeded(const std::string& aKey) = 0;
};

/// Holds the open requests of one node and connects them with the relay state
/// machine.
class RelayExecutor
{
public:
  /// The pointers are not owned.
  RelayExecutor(Reactor* aReactor,
                HttpClient* aClient,
                RelayStateMachine* aMachine,
                const CallerProtocol* aCallers,
                const UpstreamProtocol* aUpstreams,
                RelayExecutorListener* aListener);
  ~RelayExecutor();

  /// Takes over an admitted request. aAllowanceWait: time that it waited for
  /// its workspace's allowance.
  void Admit(std::shared_ptr<HttpExchange> aExchange,
             AdmittedRequest aAdmitted,
             const std::string& aCallerRequestId,
             Duration aAllowanceWait);

  /// Responds to a request with a refusal.
  void Refuse(HttpExchange& aExchange, const Refusal& aRefusal) const;

  /// Returns the response that refuses a request.
  HttpResponse MakeRefusal(const HttpRequest& aRequest,
                           const Refusal& aRefusal) const;

  /// Applies aEvent to the relay state machine and executes the resulting
  /// commands.
  using MachineEvent = std::function<
    void(RelayStateMachine& aMachine, TimePoint aNow, RelayCommands& aOut)>;
  void Deliver(const MachineEvent& aEvent);

  /// Returns a new request id; ids are never reused.
  std::uint64_t NextId() { return ++mLastId; }

  /// Returns the number of open requests.
  std::size_t OpenRequestCount() const { return mRequests.size(); }

  /// Logs each open request, with what is known of its call. Called when the
  /// process ends although requests are open.
  void LogOpenRequests() const;

private:
  class CallerListener;
  class UpstreamCall;
  friend class UpstreamCall;

  /// One open request.
  struct Request
  {
    std::shared_ptr<HttpExchange> mExchange;
    std::unique_ptr<CallerListener> mCallerListener;
    RelayRequestSummary mSummary;
    /// The caller reads too slowly: its buffer is above the high-water mark.
    bool mIsBacklogged = false;
    TimePoint mBackloggedSince; ///< With mIsBacklogged.
    /// Events that are written together, when all that arrived together have
    /// been handled, or before anything else is sent.
    std::string mUnwrittenEvents;
    /// By attempt. Ended calls stay until the request ends.
    std::map<std::uint32_t, std::shared_ptr<UpstreamCall>> mUpstreamCalls;
  };

  using CommandHandler = void (RelayExecutor::*)(RelayCommand&, Request&);

  bool IsBacklogged(std::uint64_t aId) const;
  void OnBufferDrained(std::uint64_t aId);
  void Execute(RelayCommand& aCommand);
  void StartCall(RelayCommand& aCommand, Request& aRequest);
  void CancelCall(RelayCommand& aCommand, Request& aRequest);
  void Release(RelayCommand& aCommand, Request& aRequest);
  void SendHead(RelayCommand& aCommand, Request& aRequest);
  void SendEvent(RelayCommand& aCommand, Request& aRequest);
  void WriteEvents(Request& aRequest);
  void EndCollecting(std::uint64_t aId);
  void SendResponse(RelayCommand& aCommand, Request& aRequest);
  void SendRefusal(RelayCommand& aCommand, Request& aRequest);
  void AddRefusalFields(LogLine& aLine, const RelayCommand& aCommand) const;
  void EndStream(RelayCommand& aCommand, Request& aRequest);
  void AbortStream(RelayCommand& aCommand, Request& aRequest);
  void AnnounceOrigin(RelayCommand& aCommand, Request& aRequest);
  void FindOrigin(RelayCommand& aCommand, Request& aRequest);
  void CheckUpstream(const RelayCommand& aCommand);
  UpstreamCheck CheckOf(const HttpCallResult& aResult,
                        const std::string& aTunnel) const;
  void Forget(RelayCommand& aCommand, Request& aRequest);
  void OnLimitStated(const std::string& aUpstream, const StatedLimit& aLimit);
  void OnHead(const UpstreamProcess& aProcess,
              const UpstreamResponseHead& aHead,
              const char* aSource);
  void StartControl(HttpCall aCall,
                    const std::string& aUpstream,
                    const char* aKind,
                    UpstreamEndCallback aOnEnd);
  std::uint64_t IncarnationOf(const std::string& aUpstream) const;
  void LogReach();
  /// Schedules the next tick of the state machine.
  void ArmTick();

  Reactor* mReactor;
  HttpClient* mClient;
  RelayStateMachine* mMachine;
  const CallerProtocol* mCallers;
  const UpstreamProtocol* mUpstreams;
  RelayExecutorListener* mListener;
  std::uint64_t mLastId = 0;
  std::unordered_map<std::uint64_t, Request> mRequests;

  /// Commands to be executed. Those that are issued during an execution are
  /// appended.
  std::deque<RelayCommand> mPendingCommands;
  bool mIsExecuting = false;
  /// Request whose events are not written one by one at present.
  std::optional<std::uint64_t> mCollecting;
  std::uint64_t mReportedRevision = 0; ///< Of the load table.
  bool mLoggedCutOff = false;          ///< As last logged.
  std::optional<TimePoint> mTickDue;   ///< Expiry of mTickTimer.
  Reactor::TimerId mTickTimer = 0;
};

} // namespace peridothoist
