#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/RequestRunner.h>

#include <algorithm>

namespace peridothoist {

RequestRunner::RequestRunner(const UpstreamCallerSettings& aSettings,
                             Reactor* aReactor,
                             HttpClient* aClient,
                             EntryCore* aCore,
                             ClaimDesk* aClaims,
                             AllowanceDesk* aAllowance,
                             RequestRunnerListener* aListener,
                             const std::string& aInstance)
  : mReactor(aReactor)
  , mCore(aCore)
  , mClaims(aClaims)
  , mAllowance(aAllowance)
  , mListener(aListener)
  , mUpstreams(aSettings, aClient, this, aInstance)
{
}

RequestRunner::~RequestRunner()
{
  mReactor->CancelTimer(mTickTimer);
}

void
RequestRunner::Deliver(const Event& aEvent)
{
  RequestCommands commands;
  aEvent(*mCore, mReactor->Now(), commands);
  for (RequestCommand& command : commands) {
    mPending.push_back(std::move(command));
  }
  if (mRunning) {
    return;
  }
  RunPending();
  ArmTick();
}

void
RequestRunner::RunPending()
{
  mRunning = true;
  while (!mPending.empty()) {
    const RequestCommand command = std::move(mPending.front());
    mPending.pop_front();
    Run(command);
  }
  mRunning = false;
}

void
RequestRunner::Run(const RequestCommand& aCommand)
{
  CallerRequest* request = Find(aCommand.mId);
  if (UpstreamCaller::IsUpstreamCommand(aCommand.mKind)) {
    mUpstreams.Perform(aCommand,
                       request != nullptr ? &request->Content() : nullptr);
    return;
  }
  if (CallerRequest::IsAnswerCommand(aCommand.mKind)) {
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
RequestRunner::Find(std::uint64_t aId)
{
  const auto it = mRequests.find(aId);
  return it != mRequests.end() ? it->second.get() : nullptr;
}

void
RequestRunner::ArmTick()
{
  const std::optional<TimePoint> due = mCore->NextTick();
  if (!due || (mTickAt && *mTickAt <= *due)) {
    return;
  }
  mReactor->CancelTimer(mTickTimer);
  mTickAt = due;
  const Duration wait = std::max(Duration::zero(), *due - mReactor->Now());
  mTickTimer = mReactor->Schedule(wait, [this] {
    mTickAt.reset();
    Deliver([](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
      aCore.OnTick(aNow, aOut);
    });
  });
}

void
RequestRunner::Admit(std::unique_ptr<CallerRequest> aRequest, Arrival aArrival)
{
  const std::uint64_t id = aRequest->Facts().mId;
  mWorkspaces[id] = aRequest->Facts().mWorkspace;
  mRequests[id] = std::move(aRequest);
  Deliver([&aArrival](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
    aCore.OnArrival(std::move(aArrival), aNow, aOut);
  });
}

void
RequestRunner::InsertClaim(const RequestCommand& aCommand)
{
  const std::uint64_t id = aCommand.mId;
  mClaims->Insert(
    mWorkspaces[id], aCommand, [this, id](const ClaimAnswer& aAnswer) {
      Deliver([id, &aAnswer](
                EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
        aCore.OnClaimAnswer(id, aAnswer, aNow, aOut);
      });
    });
}

void
RequestRunner::RecordOutcome(const RequestCommand& aCommand,
                             const CallerRequest* aRequest)
{
  RequestCommand command = aCommand;
  if (command.mCompletion && aRequest != nullptr) {
    // Kept as the caller would have got it: a resend is answered the same.
    command.mBody = aRequest->CompletionAnswer(aCommand);
    command.mHeaders["content-type"] = "application/json";
    command.mCompletion = false;
  }
  mClaims->Record(mWorkspaces[command.mId], command);
}

void
RequestRunner::Settle(const RequestCommand& aCommand)
{
  const CallerRequest* request = Find(aCommand.mId);
  if (request == nullptr) {
    return;
  }
  mTokens[aCommand.mId] = aCommand.mTokens;
  const CallerRequestFacts& facts = request->Facts();
  if (facts.mWorkspace.empty()) {
    return;
  }
  const double used =
    static_cast<double>(aCommand.mPromptTokens) + aCommand.mTokens;
  mAllowance->Settle(facts.mWorkspace, facts.mSpentTokens, used);
}

void
RequestRunner::Forget(std::uint64_t aId)
{
  const auto it = mRequests.find(aId);
  if (it == mRequests.end()) {
    return;
  }
  if (mListener != nullptr) {
    mListener->OnRequestOver(
      it->second->Facts(), it->second->Status(), mTokens[aId]);
  }
  mTokens.erase(aId);
  mWorkspaces.erase(aId);
  if (mFinished.empty()) {
    mReactor->Post([this] { mFinished.clear(); });
  }
  mFinished.push_back(std::move(it->second));
  mRequests.erase(it);
}

bool
RequestRunner::MayStillSend(const RequestCommand& aCommand)
{
  // The event that led here may be old by now; only the clock as it is proves
  // anything about the bytes that leave next.
  return mCore->MayStillSend(
    aCommand.mId, aCommand.mAttempt, Reactor::ReadClock());
}

void
RequestRunner::OnReserveAnswer(const RequestCommand& aCommand,
                               const ReserveAnswer& aAnswer)
{
  Deliver([&](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
    aCore.OnReserveAnswer(aCommand.mId, aCommand.mAttempt, aAnswer, aNow, aOut);
  });
}

void
RequestRunner::OnPrefillAnswer(const RequestCommand& aCommand,
                               const PrefillAnswer& aAnswer)
{
  Deliver([&](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
    aCore.OnPrefillAnswer(aCommand.mId, aCommand.mAttempt, aAnswer, aNow, aOut);
  });
}

void
RequestRunner::OnImportAnswer(const RequestCommand& aCommand,
                              const ImportAnswer& aAnswer)
{
  Deliver([&](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
    aCore.OnImportAnswer(aCommand.mId, aCommand.mAttempt, aAnswer, aNow, aOut);
  });
}

void
RequestRunner::OnToken(const RequestCommand& aCommand,
                       std::uint32_t aIndex,
                       std::string aText)
{
  Deliver([&](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
    aCore.OnToken(
      aCommand.mId, aCommand.mAttempt, aIndex, std::move(aText), aNow, aOut);
  });
}

void
RequestRunner::OnDecodeEnd(const RequestCommand& aCommand,
                           const DecodeEnd& aEnd)
{
  Deliver([&](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
    aCore.OnDecodeEnd(aCommand.mId, aCommand.mAttempt, aEnd, aNow, aOut);
  });
}

void
RequestRunner::OnPlainAnswer(const RequestCommand& aCommand,
                             PlainAnswer aAnswer)
{
  Deliver([&](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
    aCore.OnPlainAnswer(
      aCommand.mId, aCommand.mAttempt, std::move(aAnswer), aNow, aOut);
  });
}

void
RequestRunner::OnUpstreamTrouble(const std::string& aUpstream)
{
  if (mListener != nullptr) {
    mListener->OnUpstreamTrouble(aUpstream);
  }
}

void
RequestRunner::OnCancelAnswer(const RequestCommand& aCommand, bool aOk)
{
  Deliver([&](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
    aCore.OnCancelAnswer(
      aCommand.mUpstream, aCommand.mId, aCommand.mAttempt, aOk, aNow, aOut);
  });
}

void
RequestRunner::OnCallerGone(std::uint64_t aId)
{
  Deliver([aId](EntryCore& aCore, TimePoint aNow, RequestCommands& aOut) {
    aCore.OnCallerGone(aId, aNow, aOut);
  });
}

} // namespace peridothoist
