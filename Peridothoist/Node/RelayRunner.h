/// Carries out the relay's commands: calls to upstreams and answers to
/// callers. Decides nothing.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/CallerProtocol.h>
#include <Peridothoist/Node/UpstreamProtocol.h>
#include <Peridothoist/Relay/RelayMachine.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// How a request went, for logs and metrics.
struct RelayFacts
{
  std::uint64_t mId = 0;
  std::string mName; ///< The caller's id of the request.
  std::string mRoute;
  std::string mWorkspace;
  RelayKind mKind = RelayKind::NonIdempotent;
  TimePoint mArrivedAt;
  int mStatus = 0;               ///< 0: the caller left before an answer.
  const char* mOutcome = "left"; ///< What the caller got.
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mTokens = 0;     ///< Prompt and most output.
  std::uint32_t mEvents = 0;     ///< Streams: events sent.
  TimePoint mLastEventAt;        ///< Streams: when the last one was sent.
  Duration mLongestGap{ 0 };     ///< Streams: between two events.
  std::uint32_t mCalls = 0;      ///< Calls to upstreams.
  std::string mUpstream;         ///< Of the last call.
  Duration mFirstByteAfter{ 0 }; ///< Streams: until the first event was sent.
  Duration mFirstCallAfter{ 0 }; ///< Until something was sent to an upstream.
};

/// Told about requests that are over.
class RelayRunnerListener
{
public:
  virtual ~RelayRunnerListener() = default;

  virtual void OnRelayOver(const RelayFacts& aFacts) = 0;

  /// A call to an upstream ended; aGood: it gave what was asked for.
  virtual void OnCallOver(RelayCallKind aKind, bool aGood, Duration aTook) = 0;

  /// This VM's work at engines has changed.
  virtual void OnWorkChanged() = 0;
};

/// Runs one node's relayed requests.
class RelayRunner
{
public:
  /// Nothing is owned.
  RelayRunner(Reactor* aReactor,
              HttpClient* aClient,
              RelayMachine* aMachine,
              const CallerProtocol* aCallers,
              const UpstreamProtocol* aUpstreams,
              RelayRunnerListener* aListener);
  ~RelayRunner();

  /// Takes over a request that was let in.
  void Admit(std::shared_ptr<HttpExchange> aExchange,
             RelayArrival aArrival,
             const std::string& aName);

  /// Answers a request that was not let in.
  void Refuse(HttpExchange& aExchange, const Refusal& aRefusal) const;

  /// Lets aEvent act on the machine and carries out what comes of it.
  using Event = std::function<
    void(RelayMachine& aMachine, TimePoint aNow, RelayCommands& aOut)>;
  void Deliver(const Event& aEvent);

  std::uint64_t NextId() { return ++mLastId; }
  std::size_t Open() const { return mRequests.size(); }

private:
  class Caller;
  class UpstreamCall;
  friend class UpstreamCall;

  /// One open request.
  struct Request
  {
    std::shared_ptr<HttpExchange> mExchange;
    std::unique_ptr<Caller> mCaller;
    RelayFacts mFacts;
    HttpClient::CallId mCall = 0; ///< 0: none is open.
    std::shared_ptr<UpstreamCall> mListener;
  };

  using Performer = void (RelayRunner::*)(const RelayCommand&, Request&);

  void Perform(const RelayCommand& aCommand);
  void StartCall(const RelayCommand& aCommand, Request& aRequest);
  void CancelCall(const RelayCommand& aCommand, Request& aRequest);
  void Release(const RelayCommand& aCommand, Request& aRequest);
  void SendHead(const RelayCommand& aCommand, Request& aRequest);
  void SendEvent(const RelayCommand& aCommand, Request& aRequest);
  void SendAnswer(const RelayCommand& aCommand, Request& aRequest);
  void SendRefusal(const RelayCommand& aCommand, Request& aRequest);
  void EndStream(const RelayCommand& aCommand, Request& aRequest);
  void AbortStream(const RelayCommand& aCommand, Request& aRequest);
  void Forget(const RelayCommand& aCommand, Request& aRequest);
  void ArmTick();

  Reactor* mReactor;
  HttpClient* mClient;
  RelayMachine* mMachine;
  const CallerProtocol* mCallers;
  const UpstreamProtocol* mUpstreams;
  RelayRunnerListener* mListener;
  std::uint64_t mLastId = 0;
  std::unordered_map<std::uint64_t, Request> mRequests;

  // Commands that wait while others are carried out.
  std::deque<RelayCommand> mPending;
  bool mPerforming = false;
  std::uint64_t mToldRevision = 0; ///< Of the load board.
  std::optional<TimePoint> mTickAt;
  Reactor::TimerId mTickTimer = 0;
};

} // namespace peridothoist
