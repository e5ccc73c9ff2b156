#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/RequestExecutor.h>

#include <algorithm>

namespace peridothoist {

RequestExecutor::RequestExecutor(const UpstreamClientSettings& aSettings,
                                 Reactor* aReactor,
                                 HttpClient* aClient,
                                 EntryCore* aCore,
                                 ClaimStore* aClaims,
                                 AllowanceManager* aAllowance,
                                 RequestExecutorListener* aListener,
                                 const std::string& aInstance)
  : mReactor(aReactor)
  , mCore(aCore)
  , mClaims(aClaims)
  , mAllowance(aAllowance)
  , mListener(aListener)
  , mUpstreamClient(aSettings, aClient, this, aInstance)
{
}

RequestExecutor::~RequestExecutor()
{
  mReactor->CancelTimer(mTickTimer);
}

void
RequestExecutor::Deliver(const Event& aEvent)
{
  RequestCommands commands;
  aEvent(*mCore, mReactor->Now(), commands);
  for (RequestCommand& command : commands) {
    mPendingCommands.push_back(std::move(command));
  }
  if (mIsExecuting) {
    return;
  }
  ExecutePending();
  ScheduleTick();
}

void
RequestExecutor::ExecutePending()
{
  mIsExecuting = true;
  while (!mPendingCommands.empty()) {
    const RequestCommand command = std::move(mPendingCommands.front());
    mPendingCommands.pop_front();
    Execute(command);
  }
  mIsExecuting = false;
}

void
RequestExecutor::Execute(const RequestCommand& aCommand)
{
  CallerRequest* request = Find(aCommand.mId);
  if (UpstreamClient::IsUpstreamCommand(aCommand.mKind)) {
    mUpstreamClient.Perform(aCommand,
                            request != nullptr ? &request->Content() : nullptr);
    return;
  }
  if (CallerRequest::IsResponseCommand(aCommand.mKind)) {
    if (request != nullptr) {
      request->Perform(aCommand);
    }
    return;
  }
  switch (aCommand.mKind) {
    case RequestCommandKind::InsertClaim:
      InsertClaim(aCommand);
      break;
    case RequestCommandKind::RecordOutcome:
      RecordOutcome(aCommand, request);
      break;
    case RequestCommandKind::Settle:
      Settle(aCommand);
      break;
    case RequestCommandKind::Forget:
      Forget(aCommand.mId);
      break;
    default:
      PH_ASSERT(false);
  }
}

CallerRequest*
RequestExecutor::Find(std::uint64_t aId)
{
  const auto it = mRequests.find(aId);
  return it != mRequests.end() ? it->second.get() : nullptr;
}

void
RequestExecutor::ScheduleTick()
{
  const std::optional<TimePoint> due = mCore->NextTick();
  if (!due || (mTickDueAt && *mTickDueAt <= *due)) {
    return;
  }
  mReactor->CancelTimer(mTickTimer);
  mTickDueAt = due;
  const Duration wait = std::max(Duration::zero(), *due - mReactor->Now());
  mTickTimer = mReactor->Schedule(wait, [this] {
    mTickDueAt.reset();
    Deliver([](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
      aCore.OnTick(aNow, aOut);
    });
  });
}

void
RequestExecutor::StartRequest(std::unique_ptr<CallerRequest> aRequest,
                              Arrival aArrival)
{
  const std::uint64_t id = aRequest->Metadata().mId;
  mWorkspaceNames[id] = aRequest->Metadata().mWorkspace;
  mRequests[id] = std::move(aRequest);
  Deliver([&aArrival](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
    aCore.OnArrival(std::move(aArrival), aNow, aOut);
  });
}

void
RequestExecutor::InsertClaim(const RequestCommand& aCommand)
{
  const std::uint64_t id = aCommand.mId;
  mClaims->InsertClaim(
    mWorkspaceNames[id], aCommand, [this, id](const ClaimResult& aResult) {
      Deliver([id, &aResult](
                EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
        aCore.OnClaimResult(id, aResult, aNow, aOut);
      });
    });
}

void
RequestExecutor::RecordOutcome(const RequestCommand& aCommand,
                               const CallerRequest* aRequest)
{
  RequestCommand command = aCommand;
  if (command.mIsCompletion && aRequest != nullptr) {
    // Stores the response body as sent to the caller, so that a retry with the
    // same idempotency key gets the same response.
    command.mBody = aRequest->CompletionResponseBody(aCommand);
    command.mHeaders["content-type"] = "application/json";
    command.mIsCompletion = false;
  }
  mClaims->RecordOutcome(mWorkspaceNames[command.mId], command);
}

void
RequestExecutor::Settle(const RequestCommand& aCommand)
{
  const CallerRequest* request = Find(aCommand.mId);
  if (request == nullptr) {
    return;
  }
  mSettledTokens[aCommand.mId] = aCommand.mTokens;
  const CallerRequestMetadata& metadata = request->Metadata();
  if (metadata.mWorkspace.empty()) {
    return;
  }
  const double used =
    static_cast<double>(aCommand.mPromptTokens) + aCommand.mTokens;
  mAllowance->Settle(metadata.mWorkspace, metadata.mSpentTokens, used);
}

void
RequestExecutor::Forget(std::uint64_t aId)
{
  const auto it = mRequests.find(aId);
  if (it == mRequests.end()) {
    return;
  }
  if (mListener != nullptr) {
    mListener->OnRequestFinished(
      it->second->Metadata(), it->second->Status(), mSettledTokens[aId]);
  }
  mSettledTokens.erase(aId);
  mWorkspaceNames.erase(aId);
  if (mFinishedRequests.empty()) {
    mReactor->Post([this] { mFinishedRequests.clear(); });
  }
  mFinishedRequests.push_back(std::move(it->second));
  mRequests.erase(it);
}

bool
RequestExecutor::MayStillSend(const RequestCommand& aCommand)
{
  // The time of the current event may be out of date, but whether the bytes may
  // be sent depends on the time at which they are sent.
  return mCore->MayStillSend(
    aCommand.mId, aCommand.mAttempt, Reactor::ReadClock());
}

void
RequestExecutor::OnReserveResult(const RequestCommand& aCommand,
                                 const ReserveResult& aResult)
{
  Deliver([&](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
    aCore.OnReserveResult(aCommand.mId, aCommand.mAttempt, aResult, aNow, aOut);
  });
}

void
RequestExecutor::OnPrefillResult(const RequestCommand& aCommand,
                                 const PrefillResult& aResult)
{
  Deliver([&](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
    aCore.OnPrefillResult(aCommand.mId, aCommand.mAttempt, aResult, aNow, aOut);
  });
}

void
RequestExecutor::OnImportResult(const RequestCommand& aCommand,
                                const ImportResult& aResult)
{
  Deliver([&](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
    aCore.OnImportResult(aCommand.mId, aCommand.mAttempt, aResult, aNow, aOut);
  });
}

void
RequestExecutor::OnToken(const RequestCommand& aCommand,
                         std::uint32_t aIndex,
                         std::string aText)
{
  Deliver([&](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
    aCore.OnToken(
      aCommand.mId, aCommand.mAttempt, aIndex, std::move(aText), aNow, aOut);
  });
}

void
RequestExecutor::OnDecodeResult(const RequestCommand& aCommand,
                                const DecodeResult& aResult)
{
  Deliver([&](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
    aCore.OnDecodeResult(aCommand.mId, aCommand.mAttempt, aResult, aNow, aOut);
  });
}

void
RequestExecutor::OnPlainResult(const RequestCommand& aCommand,
                               PlainResult aResult)
{
  Deliver([&](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
    aCore.OnPlainResult(
      aCommand.mId, aCommand.mAttempt, std::move(aResult), aNow, aOut);
  });
}

void
RequestExecutor::OnUpstreamConnectionFailed(const std::string& aUpstream)
{
  if (mListener != nullptr) {
    mListener->OnUpstreamConnectionFailed(aUpstream);
  }
}

void
RequestExecutor::OnCancelResult(const RequestCommand& aCommand,
                                bool aIsConfirmed)
{
  Deliver([&](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
    aCore.OnCancelResult(aCommand.mUpstream,
                         aCommand.mId,
                         aCommand.mAttempt,
                         aIsConfirmed,
                         aNow,
                         aOut);
  });
}

void
RequestExecutor::OnCallerDisconnected(std::uint64_t aId)
{
  Deliver([aId](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
    aCore.OnCallerDisconnected(aId, aNow, aOut);
  });
}

} // namespace peridothoist
