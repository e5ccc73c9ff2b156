#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/RelayExecutor.h>

#include <Peridothoist/Core/BoundedBuffer.h>
#include <Peridothoist/Core/DurationUnits.h>
#include <Peridothoist/Core/EventSplitter.h>
#include <Peridothoist/Node/TunnelledCall.h>
#include <Peridothoist/Shell/Log.h>

#include <nlohmann/json.hpp>

#include <array>
#include <limits>

namespace peridothoist {

namespace {

/// Maximum size of a response that is not streamed.
constexpr std::size_t kMaxResponseBytes = 16u << 20;

/// Maximum size of a response that names a handle or a reservation.
constexpr std::size_t kMaxControlBytes = 64 * 1024;

/// Returns the maximum size of a response to a call that is not streamed.
std::size_t
MaxResponseBytes(RelayCallKind aKind)
{
  const bool isControl =
    aKind == RelayCallKind::Prefill || aKind == RelayCallKind::Reserve;
  return isControl ? kMaxControlBytes : kMaxResponseBytes;
}

/// Returns how many events a stream may have. An event carries one token or
/// more; some carry none. Without a stated count of tokens there is no limit.
std::uint64_t
MaxEventsOf(const RelayRequestSummary& aRequest)
{
  constexpr std::uint64_t kEventsPerToken = 2;
  constexpr std::uint64_t kEventsWithoutTokens = 1000;
  if (aRequest.mMaxTokens <= aRequest.mPromptTokens) {
    return std::numeric_limits<std::uint64_t>::max();
  }
  const std::uint64_t tokens = aRequest.mMaxTokens - aRequest.mPromptTokens;
  return kEventsPerToken * tokens + kEventsWithoutTokens;
}

/// Converts the HTTP client's result to the type used by the relay state
/// machine.
CallEnd
ToCallEnd(CallFailure aFailure)
{
  static constexpr std::array<CallEnd, 6> kEnds = {
    CallEnd::Whole,    CallEnd::NotConnected, CallEnd::Withheld,
    CallEnd::TimedOut, CallEnd::Broken,       CallEnd::Cancelled
  };
  return kEnds[static_cast<std::size_t>(aFailure)];
}

} // namespace

/// Reports that the caller has closed its connection.
class RelayExecutor::CallerListener : public HttpExchangeListener
{
public:
  CallerListener(RelayExecutor& aExecutor, std::uint64_t aId)
    : mExecutor(aExecutor)
    , mId(aId)
  {
  }

  // See: HttpExchangeListener
  void OnCallerDisconnected() override
  {
    Log::Info("caller_gone").Field("request", mId);
    mExecutor.Deliver(
      [this](RelayStateMachine& aMachine, TimePoint aNow, RelayCommands& aOut) {
        aMachine.OnCallerDisconnected(mId, aNow, aOut);
      });
  }
  void OnBufferDrained() override { mExecutor.OnBufferDrained(mId); }

private:
  RelayExecutor& mExecutor;
  std::uint64_t mId;
};

/// One call to an upstream.
class RelayExecutor::UpstreamCall : public HttpCallListener
{
public:
  /// aMaxEvents: of the response, if it is a stream.
  UpstreamCall(RelayExecutor& aExecutor,
               const RelayCommand& aCommand,
               std::shared_ptr<HttpExchange> aExchange,
               std::uint64_t aMaxEvents)
    : mExecutor(aExecutor)
    , mId(aCommand.mId)
    , mAttempt(aCommand.mAttempt)
    , mUpstream(aCommand.mUpstream)
    , mTunnel(aCommand.mTunnel)
    , mIncarnationId(aExecutor.IncarnationOf(aCommand.mUpstream))
    , mKind(aCommand.mCallKind)
    , mExchange(std::move(aExchange))
    , mStartedAt(aExecutor.mReactor->Now())
    , mMaxEvents(aMaxEvents)
    , mBody(aExecutor.mClient->Memory(),
            MaxResponseBytes(aCommand.mCallKind),
            kResponseBuffer)
  {
  }

  /// Stops all further reports to the relay state machine.
  void Detach() { mIsDetached = true; }
  void SetCallId(HttpClient::CallId aCallId) { mCallId = aCallId; }
  HttpClient::CallId CallId() const { return mCallId; }

  /// Continues reading the response if it was paused.
  void Resume()
  {
    if (!std::exchange(mIsPaused, false) || mIsDetached) {
      return;
    }
    mExecutor.Deliver([this](RelayStateMachine& aMachine,
                             TimePoint aNow,
                             RelayCommands& /*aOut*/) {
      aMachine.OnCallResumed(mId, mAttempt, aNow);
    });
    mExecutor.mClient->Resume(mCallId);
  }

  // See: HttpCallListener
  bool OnBeforeSend() override
  {
    // Reads the clock again: time may have passed since the current event
    // began, and the check must hold when the bytes are sent.
    return !mIsDetached && mExecutor.mMachine->MayStillSend(
                             mId, mAttempt, Reactor::ReadClock());
  }

  void OnHead(int aStatus, const HttpHeaders& aHeaders) override
  {
    mHead = mExecutor.mUpstreams->ParseResponseHead(
      mExchange->Request(), aStatus, aHeaders);
    mExecutor.OnHead({ mUpstream, mIncarnationId }, mHead, ToName(mKind));
    mIsStreaming = mKind == RelayCallKind::Stream && mHead.mIsVerified &&
                   aStatus >= 200 && aStatus < 300;
    if (mIsStreaming && !mIsDetached) {
      mExecutor.mMachine->OnStreamHead(mId, mAttempt, mHead.mResponse);
    }
  }

  void OnData(std::string_view aData) override
  {
    if (mIsDetached) {
      return;
    }
    if (!mIsStreaming) {
      if (!mIsGivenUp && !mBody.Append(aData)) {
        GiveUp();
      }
      return;
    }
    mExecutor.mCollecting = mId;
    const bool isWithinLimit =
      mSplitter.Feed(aData, [this](std::string_view aEvent) {
        if (mIsDetached || mEventCount >= mMaxEvents) {
          mHasTooManyEvents = !mIsDetached;
          return;
        }
        if (++mEventCount == 1) {
          mFirstEventAt = mExecutor.mReactor->Now();
        }
        RelayEvent event{ EventSplitter::ParseEventId(aEvent),
                          std::string(aEvent) };
        mExecutor.Deliver([&](RelayStateMachine& aMachine,
                              TimePoint aNow,
                              RelayCommands& aOut) {
          aMachine.OnEvent(mId, mAttempt, std::move(event), aNow, aOut);
        });
      });
    mExecutor.EndCollecting(mId);
    if (!isWithinLimit || mHasTooManyEvents) {
      GiveUp();
      return;
    }
    if (!mIsDetached && mExecutor.IsBacklogged(mId)) {
      Pause();
    }
  }

  void OnEnd(const HttpCallResult& aResult) override
  {
    if (mIsDetached) {
      return;
    }
    RelayCallEnd end;
    end.mOutcome.mEnd =
      mIsGivenUp ? CallEnd::Broken : ToCallEnd(aResult.mFailure);
    end.mOutcome.mMayHaveBeenSent = aResult.mMayHaveBeenSent;
    end.mOutcome.mStatus = aResult.mStatus;
    end.mNotReached = NotReachedCauseOf(aResult, mTunnel);
    end.mNotRun = mHead.mNotRun;
    end.mIsWrongProcess = mHead.mIsWrongProcess;
    end.mIsVerified = mHead.mIsVerified;
    const bool endsInsideEvent = mSplitter.PartialBytes() > 0;
    if (endsInsideEvent && end.mOutcome.mEnd == CallEnd::Whole) {
      end.mOutcome.mEnd = CallEnd::Broken;
    }
    end.mResponse = std::move(mHead.mResponse);
    end.mResponse.mBody = mBody.Take();
    end.mLoad = mHead.mLoad;
    const bool hasPrefilled = mKind == RelayCallKind::Prefill &&
                              end.mOutcome.IsSuccess() &&
                              !mHead.mIsForOtherRequest;
    if (hasPrefilled) {
      end.mHandle = mExecutor.mUpstreams->ParseHandle(end.mResponse.mBody);
    }
    if (mKind == RelayCallKind::Reserve && end.mOutcome.IsSuccess()) {
      end.mReservation =
        mExecutor.mUpstreams->ParseReservation(end.mResponse.mBody);
    }
    const bool succeeded = HasSucceeded(end);
    LogEnd(end, aResult, succeeded);
    const Duration duration = mExecutor.mReactor->Now() - mStartedAt;
    mExecutor.mListener->OnCallFinished(mKind, succeeded, duration);
    mExecutor.Deliver(
      [&](RelayStateMachine& aMachine, TimePoint aNow, RelayCommands& aOut) {
        aMachine.OnCallEnd(mId, mAttempt, std::move(end), aNow, aOut);
      });
  }

private:
  /// Ends the call, since its response exceeds a limit or the process has no
  /// memory for it.
  void GiveUp()
  {
    mIsGivenUp = true;
    mExecutor.mClient->Cancel(mCallId);
  }

  /// Stops reading the response until the caller has read what is buffered.
  void Pause()
  {
    if (std::exchange(mIsPaused, true)) {
      return;
    }
    mExecutor.mClient->Pause(mCallId);
    mExecutor.Deliver([this](RelayStateMachine& aMachine,
                             TimePoint aNow,
                             RelayCommands& /*aOut*/) {
      aMachine.OnCallPaused(mId, mAttempt, aNow);
    });
  }

  /// Returns whether the call produced a usable result.
  bool HasSucceeded(const RelayCallEnd& aEnd) const
  {
    const bool hasPrefilled =
      mKind == RelayCallKind::Prefill && !aEnd.mHandle.empty();
    return aEnd.HasReserved() ||
           (aEnd.mOutcome.IsSuccess() && (aEnd.mIsVerified || hasPrefilled));
  }

  void LogEnd(const RelayCallEnd& aEnd,
              const HttpCallResult& aResult,
              bool aSucceeded) const
  {
    const TimePoint now = mExecutor.mReactor->Now();
    const Duration writing =
      mEventCount > 0 ? now - mFirstEventAt : Duration(0);
    (aSucceeded ? Log::Debug("call_ended") : Log::Info("call_ended"))
      .Field("request", mId)
      .Field("attempt", mAttempt)
      .Field("upstream", mUpstream)
      .Field("call", ToName(mKind))
      .Field("via", mTunnel)
      .Field("end", ToName(aEnd.mOutcome.mEnd))
      .Field("status", aEnd.mOutcome.mStatus)
      .Field("sent", aEnd.mOutcome.mMayHaveBeenSent)
      .Field("not_run", aEnd.mNotRun)
      .Field("sound", aEnd.mIsVerified)
      .Field("events", mEventCount)
      .Field("writing_ms", ToMillis(writing))
      .Field("ms", ToMillis(now - mStartedAt))
      .Field("tunnel_status", aResult.mTunnelStatus)
      .Field("reason", ReasonOf(aResult));
  }

  std::string ReasonOf(const HttpCallResult& aResult) const
  {
    if (!mIsGivenUp) {
      return aResult.mReason;
    }
    if (mHasTooManyEvents) {
      return "more events than tokens were asked for";
    }
    return mBody.Error() == BufferError::NoMemory ? "no memory for the response"
                                                  : "response too large";
  }

  RelayExecutor& mExecutor;
  std::uint64_t mId;
  std::uint32_t mAttempt;
  std::string mUpstream;
  std::string mTunnel;          ///< Through which it is made; empty: none.
  std::uint64_t mIncarnationId; ///< Of the upstream, when the call started.
  RelayCallKind mKind;
  std::shared_ptr<HttpExchange> mExchange;
  TimePoint mStartedAt;
  HttpClient::CallId mCallId = 0;
  bool mIsDetached = false;
  bool mIsPaused = false; ///< The response is not read at present.

  // The response received so far
  UpstreamResponseHead mHead;
  bool mIsStreaming = false; ///< The body is forwarded as events.
  bool mIsGivenUp = false;
  const std::uint64_t mMaxEvents;
  bool mHasTooManyEvents = false;
  EventSplitter mSplitter;
  std::uint64_t mEventCount = 0;
  TimePoint mFirstEventAt;
  BoundedBuffer mBody; ///< Stays drawn until the request is over.
};

RelayExecutor::RelayExecutor(Reactor* aReactor,
                             HttpClient* aClient,
                             RelayStateMachine* aMachine,
                             const CallerProtocol* aCallers,
                             const UpstreamProtocol* aUpstreams,
                             RelayExecutorListener* aListener)
  : mReactor(aReactor)
  , mClient(aClient)
  , mMachine(aMachine)
  , mCallers(aCallers)
  , mUpstreams(aUpstreams)
  , mListener(aListener)
{
}

RelayExecutor::~RelayExecutor()
{
  mReactor->CancelTimer(mTickTimer);
  for (auto& [id, request] : mRequests) {
    request.mExchange->SetListener(nullptr);
    for (const auto& [attempt, call] : request.mUpstreamCalls) {
      call->Detach();
    }
  }
}

void
RelayExecutor::Admit(std::shared_ptr<HttpExchange> aExchange,
                     AdmittedRequest aAdmitted,
                     const std::string& aCallerRequestId,
                     Duration aAllowanceWait)
{
  Request& request = mRequests[aAdmitted.mId];
  request.mCallerListener =
    std::make_unique<CallerListener>(*this, aAdmitted.mId);
  request.mExchange = std::move(aExchange);
  request.mExchange->SetListener(request.mCallerListener.get());
  request.mSummary.mId = aAdmitted.mId;
  request.mSummary.mCallerRequestId = aCallerRequestId;
  request.mSummary.mRoute = aAdmitted.mRoute->mName;
  request.mSummary.mWorkspace = aAdmitted.mWorkspace;
  request.mSummary.mKind = aAdmitted.mRoute->mKind;
  request.mSummary.mArrivedAt = aAdmitted.mArrivedAt;
  request.mSummary.mPriority = aAdmitted.mPriority;
  request.mSummary.mPromptTokens = aAdmitted.mPromptTokens;
  request.mSummary.mMaxTokens = aAdmitted.mTokens;
  request.mSummary.mSharedPromptParts = aAdmitted.mSharedPromptParts;
  request.mSummary.mAllowanceWait = aAllowanceWait;
  Deliver(
    [&](RelayStateMachine& aMachine, TimePoint aNow, RelayCommands& aOut) {
      aMachine.OnArrival(std::move(aAdmitted), aNow, aOut);
    });
}

void
RelayExecutor::LogOpenRequests() const
{
  for (const auto& [id, request] : mRequests) {
    const RelayRequestSummary& summary = request.mSummary;
    Log::Warning("cut_at_exit")
      .Field("id", summary.mCallerRequestId)
      .Field("request", id)
      .Field("route", summary.mRoute)
      .Field("kind", ToName(summary.mKind))
      .Field("calls", summary.mCallCount)
      .Field("upstream", summary.mUpstream)
      .Field("status", summary.mStatus)
      .Field("events", summary.mEventCount)
      .Field("ms", ToMillis(mReactor->Now() - summary.mArrivedAt));
  }
}

void
RelayExecutor::Deliver(const MachineEvent& aEvent)
{
  RelayCommands commands;
  aEvent(*mMachine, mReactor->Now(), commands);
  for (RelayCommand& command : commands) {
    mPendingCommands.push_back(std::move(command));
  }
  if (mIsExecuting) {
    return;
  }
  mIsExecuting = true;
  while (!mPendingCommands.empty()) {
    RelayCommand command = std::move(mPendingCommands.front());
    mPendingCommands.pop_front();
    Execute(command);
  }
  mIsExecuting = false;
  LogReach();
  if (mReportedRevision != mMachine->Loads().Revision()) {
    mReportedRevision = mMachine->Loads().Revision();
    mListener->OnWorkChanged();
  }
  ArmTick();
}

void
RelayExecutor::ArmTick()
{
  const std::optional<TimePoint> due = mMachine->NextTick();
  if (!due || (mTickDue && *mTickDue <= *due)) {
    return;
  }
  mReactor->CancelTimer(mTickTimer);
  mTickDue = due;
  const Duration wait = std::max(Duration::zero(), *due - mReactor->Now());
  mTickTimer = mReactor->Schedule(wait, [this] {
    mTickDue.reset();
    Deliver([](RelayStateMachine& aMachine,
               TimePoint aNow,
               RelayCommands& aOut) { aMachine.OnTick(aNow, aOut); });
  });
}

void
RelayExecutor::Execute(RelayCommand& aCommand)
{
  if (aCommand.mKind == RelayCommandKind::CheckUpstream) {
    CheckUpstream(aCommand); // Concerns no request.
    return;
  }
  static constexpr std::array<CommandHandler, 14> kHandlers = {
    &RelayExecutor::StartCall,
    &RelayExecutor::CancelCall,
    &RelayExecutor::Release,
    &RelayExecutor::Release,
    &RelayExecutor::SendHead,
    &RelayExecutor::SendEvent,
    &RelayExecutor::SendResponse,
    &RelayExecutor::SendRefusal,
    &RelayExecutor::EndStream,
    &RelayExecutor::AbortStream,
    &RelayExecutor::AnnounceOrigin,
    &RelayExecutor::FindOrigin,
    nullptr,
    &RelayExecutor::Forget
  };
  const auto it = mRequests.find(aCommand.mId);
  PH_ASSERT(it != mRequests.end());
  const CommandHandler handler =
    kHandlers[static_cast<std::size_t>(aCommand.mKind)];
  (this->*handler)(aCommand, it->second);
}

void
RelayExecutor::StartCall(RelayCommand& aCommand, Request& aRequest)
{
  if (++aRequest.mSummary.mCallCount == 1) {
    aRequest.mSummary.mTimeToFirstCall =
      mReactor->Now() - aRequest.mSummary.mArrivedAt;
  }
  if (aCommand.mCallKind != RelayCallKind::Reserve) {
    aRequest.mSummary.mUpstream = aCommand.mUpstream;
  }
  Log::Debug("call_started")
    .Field("request", aCommand.mId)
    .Field("attempt", aCommand.mAttempt)
    .Field("upstream", aCommand.mUpstream)
    .Field("address", aCommand.mAddress)
    .Field("call", ToName(aCommand.mCallKind))
    .Field("via", aCommand.mTunnel)
    .Field("left_ms", ToMillis(aCommand.mTimeLeft));
  const auto call = std::make_shared<UpstreamCall>(
    *this, aCommand, aRequest.mExchange, MaxEventsOf(aRequest.mSummary));
  aRequest.mUpstreamCalls[aCommand.mAttempt] = call;
  HttpCall request =
    mUpstreams->MakeCall(aCommand, aRequest.mExchange->Request());
  request.mMaxResponseBytes = aCommand.mCallKind == RelayCallKind::Stream
                                ? 0
                                : MaxResponseBytes(aCommand.mCallKind);
  call->SetCallId(
    mClient->Start(ThroughTunnel(std::move(request), aCommand.mTunnel), call));
}

void
RelayExecutor::CancelCall(RelayCommand& aCommand, Request& aRequest)
{
  Log::Info("call_cancelled")
    .Field("request", aCommand.mId)
    .Field("attempt", aCommand.mAttempt)
    .Field("upstream", aCommand.mUpstream)
    .Field("reason", ToName(aCommand.mCancelReason))
    .Field("silent_ms", ToMillis(aCommand.mSilence));
  const auto it = aRequest.mUpstreamCalls.find(aCommand.mAttempt);
  PH_ASSERT(it != aRequest.mUpstreamCalls.end());
  it->second->Detach();
  mClient->Cancel(it->second->CallId());
}

void
RelayExecutor::SendHead(RelayCommand& aCommand, Request& aRequest)
{
  aRequest.mSummary.mStatus = aCommand.mResponse.mStatus;
  aRequest.mSummary.mTimeToFirstEvent =
    mReactor->Now() - aRequest.mSummary.mArrivedAt;
  aRequest.mExchange->StartStream(aCommand.mResponse.mStatus,
                                  aCommand.mResponse.mHeaders);
}

void
RelayExecutor::SendEvent(RelayCommand& aCommand, Request& aRequest)
{
  RelayRequestSummary& summary = aRequest.mSummary;
  const TimePoint now = mReactor->Now();
  if (summary.mEventCount > 0) {
    summary.mMaxEventGap =
      std::max(summary.mMaxEventGap, Duration(now - summary.mLastEventAt));
  }
  summary.mLastEventAt = now;
  ++summary.mEventCount;
  aRequest.mUnwrittenEvents += aCommand.mEvent;
  if (mCollecting != aCommand.mId) {
    WriteEvents(aRequest);
  }
}

/// Writes the events that have been collected.
void
RelayExecutor::WriteEvents(Request& aRequest)
{
  if (aRequest.mUnwrittenEvents.empty()) {
    return;
  }
  const std::string events = std::exchange(aRequest.mUnwrittenEvents, {});
  const bool hasRoom = aRequest.mExchange->Write(events);
  if (!hasRoom && !std::exchange(aRequest.mIsBacklogged, true)) {
    aRequest.mBackloggedSince = mReactor->Now();
    Log::Debug("caller_reads_slowly")
      .Field("request", aRequest.mSummary.mId)
      .Field("events", aRequest.mSummary.mEventCount);
  }
}

void
RelayExecutor::EndCollecting(std::uint64_t aId)
{
  mCollecting.reset();
  const auto it = mRequests.find(aId);
  if (it != mRequests.end()) {
    WriteEvents(it->second);
  }
}

bool
RelayExecutor::IsBacklogged(std::uint64_t aId) const
{
  const auto it = mRequests.find(aId);
  return it != mRequests.end() && it->second.mIsBacklogged;
}

/// Reads the responses of a stream's calls again.
void
RelayExecutor::OnBufferDrained(std::uint64_t aId)
{
  const auto it = mRequests.find(aId);
  if (it == mRequests.end()) {
    return;
  }
  Request& request = it->second;
  if (std::exchange(request.mIsBacklogged, false)) {
    request.mSummary.mPausedTime += mReactor->Now() - request.mBackloggedSince;
  }
  const auto calls = request.mUpstreamCalls;
  for (const auto& [attempt, call] : calls) {
    call->Resume();
  }
}

void
RelayExecutor::SendResponse(RelayCommand& aCommand, Request& aRequest)
{
  aRequest.mSummary.mStatus = aCommand.mResponse.mStatus;
  aRequest.mSummary.mOutcome = "answered";
  aRequest.mExchange->Respond(aCommand.mResponse.mStatus,
                              aCommand.mResponse.mHeaders,
                              std::move(aCommand.mResponse.mBody));
}

void
RelayExecutor::Refuse(HttpExchange& aExchange, const Refusal& aRefusal) const
{
  HttpResponse response = MakeRefusal(aExchange.Request(), aRefusal);
  aExchange.Respond(
    response.mStatus, response.mHeaders, std::move(response.mBody));
}

HttpResponse
RelayExecutor::MakeRefusal(const HttpRequest& aRequest,
                           const Refusal& aRefusal) const
{
  const nlohmann::json body = { { "error",
                                  { { "type", ToName(aRefusal.mKind) },
                                    { "message", aRefusal.Message() },
                                    { "run", ToName(aRefusal.mVerdict) } } } };
  HttpHeaders headers = mCallers->MakeRefusalHeaders(aRequest, aRefusal);
  headers["content-type"] = "application/json";
  return { aRefusal.Status(), std::move(headers), body.dump() };
}

void
RelayExecutor::SendRefusal(RelayCommand& aCommand, Request& aRequest)
{
  const Refusal& refusal = *aCommand.mRefusal;
  aRequest.mSummary.mStatus = refusal.Status();
  aRequest.mSummary.mOutcome = ToName(refusal.mKind);
  LogLine line = Log::Info("request_refused");
  AddRefusalFields(line, aCommand);
  Refuse(*aRequest.mExchange, refusal);
}

/// Adds the inputs of a refusal to a log line.
void
RelayExecutor::AddRefusalFields(LogLine& aLine,
                                const RelayCommand& aCommand) const
{
  const Refusal& refusal = *aCommand.mRefusal;
  const TimePoint now = mReactor->Now();
  const auto listedAt = mMachine->ListedUpstreams().ListedAt();
  aLine.Field("request", aCommand.mId)
    .Field("type", ToName(refusal.mKind))
    .Field("run", ToName(refusal.mVerdict))
    .Field("retry_after_ms", ToMillis(refusal.mRetryAfter))
    .Field("waiting", mMachine->WaitingRequestCount())
    .Field("peers_waiting", mMachine->Loads().PeersWaiting().All())
    .Field("upstreams", mMachine->ListedUpstreams().All().size())
    .Field("found_gone", mMachine->Loads().GoneUpstreams(now).size())
    .Field("evacuated_zones",
           mMachine->ListedUpstreams().EvacuatedZones().size())
    .Field("cold_upstreams", mMachine->Limits().ColdCount(now))
    .Field("list_age_ms", ToMillis(now - listedAt.value_or(now)));
}

void
RelayExecutor::EndStream(RelayCommand& /*aCommand*/, Request& aRequest)
{
  aRequest.mSummary.mOutcome = "answered";
  WriteEvents(aRequest);
  aRequest.mExchange->EndStream();
}

void
RelayExecutor::AbortStream(RelayCommand& aCommand, Request& aRequest)
{
  const RelayRequestSummary& summary = aRequest.mSummary;
  aRequest.mSummary.mOutcome = ToName(aCommand.mRefusal->mKind);
  LogLine line = Log::Info("stream_aborted");
  AddRefusalFields(line, aCommand);
  line.Field("events", summary.mEventCount)
    .Field("since_event_ms", ToMillis(mReactor->Now() - summary.mLastEventAt));
  WriteEvents(aRequest);
  aRequest.mExchange->AbortStream();
}

void
RelayExecutor::AnnounceOrigin(RelayCommand& aCommand, Request& /*aRequest*/)
{
  mListener->OnOriginDecided(aCommand.mOriginKey, *aCommand.mOrigin);
}

void
RelayExecutor::FindOrigin(RelayCommand& aCommand, Request& /*aRequest*/)
{
  mListener->OnOriginNeeded(aCommand.mOriginKey);
}

void
RelayExecutor::Forget(RelayCommand& aCommand, Request& aRequest)
{
  aRequest.mExchange->SetListener(nullptr);
  if (aRequest.mIsBacklogged) {
    aRequest.mSummary.mPausedTime +=
      mReactor->Now() - aRequest.mBackloggedSince;
  }
  if (aCommand.mOrigin) {
    aRequest.mSummary.mSoftwareVersion = aCommand.mOrigin->mSoftwareVersion;
  }
  mListener->OnRequestFinished(aRequest.mSummary);
  // May run within a callback of the exchange or the call, so the objects are
  // destroyed in a later iteration of the event loop.
  auto finished = std::make_shared<Request>(std::move(aRequest));
  mRequests.erase(aCommand.mId);
  mReactor->Post([finished] {});
}

} // namespace peridothoist
