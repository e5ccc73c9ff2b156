/// Runs requests: hands events to the core and carries out its commands, in
/// order, with callers, upstreams, claims and the allowance.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/AllowanceDesk.h>
#include <Peridothoist/Entry/CallerRequest.h>
#include <Peridothoist/Entry/ClaimDesk.h>
#include <Peridothoist/Entry/UpstreamCaller.h>
#include <Peridothoist/Request/EntryCore.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/Reactor.h>

#include <deque>

namespace peridothoist {

/// Told about the end of requests, for logs, metrics and spans.
class RequestRunnerListener
{
public:
  virtual ~RequestRunnerListener() = default;

  /// A call found no connection to an upstream or lost it.
  virtual void OnUpstreamTrouble(const std::string& aUpstream) = 0;

  /// A request is over. aStatus is 0 when its caller got no answer.
  virtual void OnRequestOver(const CallerRequestFacts& aFacts,
                             int aStatus,
                             std::uint32_t aTokens) = 0;
};

/// Runs the requests of one entry process.
class RequestRunner
  : private UpstreamCallerListener
  , private CallerRequestListener
{
public:
  /// Nothing is owned; aListener may be null.
  RequestRunner(const UpstreamCallerSettings& aSettings,
                Reactor* aReactor,
                HttpClient* aClient,
                EntryCore* aCore,
                ClaimDesk* aClaims,
                AllowanceDesk* aAllowance,
                RequestRunnerListener* aListener,
                const std::string& aInstance);
  ~RequestRunner() override;

  /// A request id that was never used before.
  std::uint64_t NextId() { return mNextId++; }

  /// Starts a request whose allowance is spent.
  void Admit(std::unique_ptr<CallerRequest> aRequest, Arrival aArrival);

  /// The listener that CallerRequest objects are made with.
  CallerRequestListener* AsCallerListener() { return this; }

  /// Hands an event to the core and carries out what it commands.
  using Event = std::function<void(EntryCore&, TimePoint, RequestCommands&)>;
  void Deliver(const Event& aEvent);

  /// Requests that are not over.
  std::size_t Open() const { return mRequests.size(); }

private:
  // See: UpstreamCallerListener
  bool MayStillSend(const RequestCommand& aCommand) override;
  void OnReserveAnswer(const RequestCommand& aCommand,
                       const ReserveAnswer& aAnswer) override;
  void OnPrefillAnswer(const RequestCommand& aCommand,
                       const PrefillAnswer& aAnswer) override;
  void OnImportAnswer(const RequestCommand& aCommand,
                      const ImportAnswer& aAnswer) override;
  void OnToken(const RequestCommand& aCommand,
               std::uint32_t aIndex,
               std::string aText) override;
  void OnDecodeEnd(const RequestCommand& aCommand,
                   const DecodeEnd& aEnd) override;
  void OnPlainAnswer(const RequestCommand& aCommand,
                     PlainAnswer aAnswer) override;
  void OnUpstreamTrouble(const std::string& aUpstream) override;
  void OnCancelAnswer(const RequestCommand& aCommand, bool aOk) override;

  // See: CallerRequestListener
  void OnCallerGone(std::uint64_t aId) override;

  void RunPending();
  void Run(const RequestCommand& aCommand);
  void InsertClaim(const RequestCommand& aCommand);
  void RecordOutcome(const RequestCommand& aCommand,
                     const CallerRequest* aRequest);
  void Settle(const RequestCommand& aCommand);
  void Forget(std::uint64_t aId);
  void ArmTick();
  CallerRequest* Find(std::uint64_t aId);

  Reactor* mReactor;
  EntryCore* mCore;
  ClaimDesk* mClaims;
  AllowanceDesk* mAllowance;
  RequestRunnerListener* mListener;
  UpstreamCaller mUpstreams;

  std::uint64_t mNextId = 1;
  std::map<std::uint64_t, std::unique_ptr<CallerRequest>> mRequests;
  std::map<std::uint64_t, std::uint32_t> mTokens;   ///< Settled, by request.
  std::map<std::uint64_t, std::string> mWorkspaces; ///< With open claims.

  // Commands run in the order in which the core gave them, also when carrying
  // one out leads to the next event at once.
  std::deque<RequestCommand> mPending;
  bool mRunning = false;

  // Requests that are over but may be on the call stack.
  std::vector<std::unique_ptr<CallerRequest>> mFinished;

  Reactor::TimerId mTickTimer = 0;
  std::optional<TimePoint> mTickAt; ///< When mTickTimer runs.
};

} // namespace peridothoist
