/// Runs requests: delivers events to the core and executes its commands in
/// order. The commands concern callers, upstreams, claims and the allowance.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/AllowanceManager.h>
#include <Peridothoist/Entry/CallerRequest.h>
#include <Peridothoist/Entry/ClaimStore.h>
#include <Peridothoist/Entry/UpstreamClient.h>
#include <Peridothoist/Request/EntryCore.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/Reactor.h>

#include <deque>

namespace peridothoist {

/// Notified of finished requests and of failed connections to upstreams.
class RequestExecutorListener
{
public:
  virtual ~RequestExecutorListener() = default;

  /// Called when a connection to an upstream could not be opened or was lost.
  virtual void OnUpstreamConnectionFailed(const std::string& aUpstream) = 0;

  /// Called when a request is finished. aStatus is 0 if its caller got no
  /// response.
  virtual void OnRequestFinished(const CallerRequestMetadata& aMetadata,
                                 int aStatus,
                                 std::uint32_t aTokens) = 0;
};

/// Runs the requests of one entry process.
class RequestExecutor
  : private UpstreamClientListener
  , private CallerRequestListener
{
public:
  /// The pointers are not owned. aListener may be null.
  RequestExecutor(const UpstreamClientSettings& aSettings,
                  Reactor* aReactor,
                  HttpClient* aClient,
                  EntryCore* aCore,
                  ClaimStore* aClaims,
                  AllowanceManager* aAllowance,
                  RequestExecutorListener* aListener,
                  const std::string& aInstance);
  ~RequestExecutor() override;

  /// Returns a new request id.
  std::uint64_t AllocateId() { return mNextId++; }

  /// Starts a request that has been charged to the allowance.
  void StartRequest(std::unique_ptr<CallerRequest> aRequest, Arrival aArrival);

  /// Returns the listener for the CallerRequests passed to StartRequest().
  CallerRequestListener* AsCallerListener() { return this; }

  using Event = std::function<void(EntryCore&, TimePoint, RequestCommands&)>;
  /// Delivers an event to the core and executes the resulting commands.
  void Deliver(const Event& aEvent);

  /// Returns the number of unfinished requests.
  std::size_t OpenRequests() const { return mRequests.size(); }

private:
  // See: UpstreamClientListener
  bool MayStillSend(const RequestCommand& aCommand) override;
  void OnReserveResult(const RequestCommand& aCommand,
                       const ReserveResult& aResult) override;
  void OnPrefillResult(const RequestCommand& aCommand,
                       const PrefillResult& aResult) override;
  void OnImportResult(const RequestCommand& aCommand,
                      const ImportResult& aResult) override;
  void OnToken(const RequestCommand& aCommand,
               std::uint32_t aIndex,
               std::string aText) override;
  void OnDecodeResult(const RequestCommand& aCommand,
                      const DecodeResult& aResult) override;
  void OnPlainResult(const RequestCommand& aCommand,
                     PlainResult aResult) override;
  void OnUpstreamConnectionFailed(const std::string& aUpstream) override;
  void OnCancelResult(const RequestCommand& aCommand,
                      bool aIsConfirmed) override;

  // See: CallerRequestListener
  void OnCallerDisconnected(std::uint64_t aId) override;

  void ExecutePending();
  void Execute(const RequestCommand& aCommand);
  void InsertClaim(const RequestCommand& aCommand);
  void RecordOutcome(const RequestCommand& aCommand,
                     const CallerRequest* aRequest);
  void Settle(const RequestCommand& aCommand);
  void Forget(std::uint64_t aId);
  void ScheduleTick();
  CallerRequest* Find(std::uint64_t aId);

  Reactor* mReactor;
  EntryCore* mCore;
  ClaimStore* mClaims;
  AllowanceManager* mAllowance;
  RequestExecutorListener* mListener;
  UpstreamClient mUpstreamClient;

  std::uint64_t mNextId = 1;
  std::map<std::uint64_t, std::unique_ptr<CallerRequest>> mRequests;
  // By request id, like mRequests.
  std::map<std::uint64_t, std::uint32_t> mSettledTokens; ///< Generated tokens.
  std::map<std::uint64_t, std::string> mWorkspaceNames;

  // Commands are queued so that they are executed in the order of the core,
  // even if executing one of them delivers the next event synchronously.
  std::deque<RequestCommand> mPendingCommands;
  bool mIsExecuting = false;

  // Finished requests whose methods may still be on the call stack.
  std::vector<std::unique_ptr<CallerRequest>> mFinishedRequests;

  Reactor::TimerId mTickTimer = 0;
  std::optional<TimePoint> mTickDueAt; ///< When mTickTimer fires.
};

} // namespace peridothoist
