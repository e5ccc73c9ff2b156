#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/RelayRunner.h>

#include <Peridothoist/Core/EventSplitter.h>
#include <Peridothoist/Shell/Log.h>

#include <nlohmann/json.hpp>

#include <array>

namespace peridothoist {

namespace {

/// The longest whole answer that is passed on.
constexpr std::size_t kMaxAnswerBytes = 16u << 20;

double
ToMillis(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

/// How a call ended, in the terms of the core.
CallEnd
EndOf(CallFailure aFailure)
{
  static constexpr std::array<CallEnd, 6> kEnds = {
    CallEnd::Whole,    CallEnd::NotConnected, CallEnd::Withheld,
    CallEnd::TimedOut, CallEnd::Broken,       CallEnd::Cancelled
  };
  return kEnds[static_cast<std::size_t>(aFailure)];
}

} // namespace

/// Hears that a caller left.
class RelayRunner::Caller : public HttpExchangeListener
{
public:
  Caller(RelayRunner& aRunner, std::uint64_t aId)
    : mRunner(aRunner)
    , mId(aId)
  {
  }

  // See: HttpExchangeListener
  void OnCallerGone() override
  {
    Log::Info("caller_gone").Field("request", mId);
    mRunner.Deliver(
      [this](RelayMachine& aMachine, TimePoint aNow, RelayCommands& aOut) {
        aMachine.OnCallerGone(mId, aNow, aOut);
      });
  }

private:
  RelayRunner& mRunner;
  std::uint64_t mId;
};

/// One call to an upstream.
class RelayRunner::UpstreamCall : public HttpCallListener
{
public:
  UpstreamCall(RelayRunner& aRunner,
               const RelayCommand& aCommand,
               std::shared_ptr<HttpExchange> aExchange)
    : mRunner(aRunner)
    , mId(aCommand.mId)
    , mAttempt(aCommand.mAttempt)
    , mUpstream(aCommand.mUpstream)
    , mKind(aCommand.mCall)
    , mExchange(std::move(aExchange))
    , mStartedAt(aRunner.mReactor->Now())
  {
  }

  /// Nothing is reported any more.
  void Detach() { mDetached = true; }
  void SetCall(HttpClient::CallId aCall) { mCall = aCall; }

  // See: HttpCallListener
  bool OnBeforeSend() override
  {
    // The event that led here may be old by now; only the clock as it is
    // proves anything about the bytes that leave next.
    return !mDetached &&
           mRunner.mMachine->MayStillSend(mId, mAttempt, Reactor::ReadClock());
  }

  void OnHead(int aStatus, const HttpHeaders& aHeaders) override
  {
    mHead =
      mRunner.mUpstreams->ReadHead(mExchange->Request(), aStatus, aHeaders);
    mStreams = mKind == RelayCallKind::Stream && mHead.mSound &&
               aStatus >= 200 && aStatus < 300;
    if (mStreams && !mDetached) {
      mRunner.mMachine->OnStreamHead(mId, mAttempt, mHead.mAnswer);
    }
  }

  void OnData(std::string_view aData) override
  {
    if (mDetached) {
      return;
    }
    if (!mStreams) {
      mTooLarge = mTooLarge || mBody.size() + aData.size() > kMaxAnswerBytes;
      if (!mTooLarge) {
        mBody.append(aData);
      }
      return;
    }
    const bool kept = mSplitter.Feed(aData, [this](std::string_view aEvent) {
      RelayEvent event{ EventSplitter::IdOf(aEvent), std::string(aEvent) };
      mRunner.Deliver(
        [&](RelayMachine& aMachine, TimePoint aNow, RelayCommands& aOut) {
          aMachine.OnEvent(mId, mAttempt, std::move(event), aNow, aOut);
        });
    });
    if (!kept) {
      mTooLarge = true;
      mRunner.mClient->Cancel(mCall);
    }
  }

  void OnEnd(const HttpCallOutcome& aOutcome) override
  {
    if (mDetached) {
      return;
    }
    RelayCallEnd end;
    end.mOutcome.mEnd = mTooLarge ? CallEnd::Broken : EndOf(aOutcome.mFailure);
    end.mOutcome.mMayHaveBeenSent = aOutcome.mMayHaveBeenSent;
    end.mOutcome.mStatus = aOutcome.mStatus;
    end.mNotRun = mHead.mNotRun;
    end.mOther = mHead.mOther;
    // A stream that ends within an event is not whole.
    end.mSound = mHead.mSound && mSplitter.Partial() == 0;
    end.mAnswer = std::move(mHead.mAnswer);
    end.mAnswer.mBody = std::move(mBody);
    end.mLoad = mHead.mLoad;
    const bool prefilled =
      mKind == RelayCallKind::Prefill && end.mOutcome.Ok() && !mHead.mForeign;
    if (prefilled) {
      end.mHandle = mRunner.mUpstreams->ReadHandle(end.mAnswer.mBody);
    }
    if (mKind == RelayCallKind::Reserve && end.mOutcome.Ok()) {
      end.mReservation = mRunner.mUpstreams->ReadReservation(end.mAnswer.mBody);
    }
    const bool good = IsGood(end);
    LogEnd(end, aOutcome, good);
    const Duration took = mRunner.mReactor->Now() - mStartedAt;
    mRunner.mListener->OnCallOver(mKind, good, took);
    mRunner.Deliver(
      [&](RelayMachine& aMachine, TimePoint aNow, RelayCommands& aOut) {
        aMachine.OnCallEnd(mId, mAttempt, std::move(end), aNow, aOut);
      });
  }

private:
  /// Whether the call gave what was asked for.
  bool IsGood(const RelayCallEnd& aEnd) const
  {
    const bool prefilled =
      mKind == RelayCallKind::Prefill && !aEnd.mHandle.empty();
    const bool reserved =
      mKind == RelayCallKind::Reserve && !aEnd.mReservation.empty();
    return aEnd.mOutcome.Ok() && (aEnd.mSound || prefilled || reserved);
  }

  void LogEnd(const RelayCallEnd& aEnd,
              const HttpCallOutcome& aOutcome,
              bool aGood) const
  {
    (aGood ? Log::Debug("call_ended") : Log::Info("call_ended"))
      .Field("request", mId)
      .Field("attempt", mAttempt)
      .Field("upstream", mUpstream)
      .Field("call", ToName(mKind))
      .Field("end", ToName(aEnd.mOutcome.mEnd))
      .Field("status", aEnd.mOutcome.mStatus)
      .Field("sent", aEnd.mOutcome.mMayHaveBeenSent)
      .Field("not_run", aEnd.mNotRun)
      .Field("sound", aEnd.mSound)
      .Field("ms", ToMillis(mRunner.mReactor->Now() - mStartedAt))
      .Field("reason", aOutcome.mReason);
  }

  RelayRunner& mRunner;
  std::uint64_t mId;
  std::uint32_t mAttempt;
  std::string mUpstream;
  RelayCallKind mKind;
  std::shared_ptr<HttpExchange> mExchange;
  TimePoint mStartedAt;
  HttpClient::CallId mCall = 0;
  bool mDetached = false;

  // The answer so far.
  UpstreamHead mHead;
  bool mStreams = false; ///< The body goes to the caller as events.
  bool mTooLarge = false;
  EventSplitter mSplitter;
  std::string mBody;
};

RelayRunner::RelayRunner(Reactor* aReactor,
                         HttpClient* aClient,
                         RelayMachine* aMachine,
                         const CallerProtocol* aCallers,
                         const UpstreamProtocol* aUpstreams,
                         RelayRunnerListener* aListener)
  : mReactor(aReactor)
  , mClient(aClient)
  , mMachine(aMachine)
  , mCallers(aCallers)
  , mUpstreams(aUpstreams)
  , mListener(aListener)
{
}

RelayRunner::~RelayRunner()
{
  mReactor->CancelTimer(mTickTimer);
  for (auto& [id, request] : mRequests) {
    request.mExchange->SetListener(nullptr);
    if (request.mListener) {
      request.mListener->Detach();
    }
  }
}

void
RelayRunner::Admit(std::shared_ptr<HttpExchange> aExchange,
                   RelayArrival aArrival,
                   const std::string& aName)
{
  Request& request = mRequests[aArrival.mId];
  request.mCaller = std::make_unique<Caller>(*this, aArrival.mId);
  request.mExchange = std::move(aExchange);
  request.mExchange->SetListener(request.mCaller.get());
  request.mFacts.mId = aArrival.mId;
  request.mFacts.mName = aName;
  request.mFacts.mRoute = aArrival.mRoute->mName;
  request.mFacts.mWorkspace = aArrival.mWorkspace;
  request.mFacts.mKind = aArrival.mRoute->mKind;
  request.mFacts.mArrivedAt = aArrival.mArrivedAt;
  request.mFacts.mPromptTokens = aArrival.mPromptTokens;
  request.mFacts.mTokens = aArrival.mTokens;
  Deliver([&](RelayMachine& aMachine, TimePoint aNow, RelayCommands& aOut) {
    aMachine.OnArrival(std::move(aArrival), aNow, aOut);
  });
}

void
RelayRunner::Deliver(const Event& aEvent)
{
  RelayCommands commands;
  aEvent(*mMachine, mReactor->Now(), commands);
  for (RelayCommand& command : commands) {
    mPending.push_back(std::move(command));
  }
  if (mPerforming) {
    return;
  }
  mPerforming = true;
  while (!mPending.empty()) {
    const RelayCommand command = std::move(mPending.front());
    mPending.pop_front();
    Perform(command);
  }
  mPerforming = false;
  if (mToldRevision != mMachine->Loads().Revision()) {
    mToldRevision = mMachine->Loads().Revision();
    mListener->OnWorkChanged();
  }
  ArmTick();
}

void
RelayRunner::ArmTick()
{
  const std::optional<TimePoint> due = mMachine->NextTick();
  if (!due || (mTickAt && *mTickAt <= *due)) {
    return;
  }
  mReactor->CancelTimer(mTickTimer);
  mTickAt = due;
  const Duration wait = std::max(Duration::zero(), *due - mReactor->Now());
  mTickTimer = mReactor->Schedule(wait, [this] {
    mTickAt.reset();
    Deliver([](RelayMachine& aMachine, TimePoint aNow, RelayCommands& aOut) {
      aMachine.OnTick(aNow, aOut);
    });
  });
}

void
RelayRunner::Perform(const RelayCommand& aCommand)
{
  static constexpr std::array<Performer, 11> kPerformers = {
    &RelayRunner::StartCall,  &RelayRunner::CancelCall,
    &RelayRunner::Release,    &RelayRunner::Release,
    &RelayRunner::SendHead,   &RelayRunner::SendEvent,
    &RelayRunner::SendAnswer, &RelayRunner::SendRefusal,
    &RelayRunner::EndStream,  &RelayRunner::AbortStream,
    &RelayRunner::Forget
  };
  const auto it = mRequests.find(aCommand.mId);
  PH_ASSERT(it != mRequests.end());
  const Performer performer =
    kPerformers[static_cast<std::size_t>(aCommand.mKind)];
  (this->*performer)(aCommand, it->second);
}

void
RelayRunner::StartCall(const RelayCommand& aCommand, Request& aRequest)
{
  if (++aRequest.mFacts.mCalls == 1) {
    aRequest.mFacts.mFirstCallAfter =
      mReactor->Now() - aRequest.mFacts.mArrivedAt;
  }
  aRequest.mFacts.mUpstream = aCommand.mUpstream;
  Log::Debug("call_started")
    .Field("request", aCommand.mId)
    .Field("attempt", aCommand.mAttempt)
    .Field("upstream", aCommand.mUpstream)
    .Field("address", aCommand.mAddress)
    .Field("call", ToName(aCommand.mCall))
    .Field("left_ms", ToMillis(aCommand.mTimeLeft));
  aRequest.mListener =
    std::make_shared<UpstreamCall>(*this, aCommand, aRequest.mExchange);
  aRequest.mCall = mClient->Start(
    mUpstreams->MakeCall(aCommand, aRequest.mExchange->Request()),
    aRequest.mListener);
  aRequest.mListener->SetCall(aRequest.mCall);
}

void
RelayRunner::CancelCall(const RelayCommand& aCommand, Request& aRequest)
{
  Log::Info("call_cancelled")
    .Field("request", aCommand.mId)
    .Field("attempt", aCommand.mAttempt)
    .Field("upstream", aCommand.mUpstream);
  aRequest.mListener->Detach();
  mClient->Cancel(aRequest.mCall);
  aRequest.mListener.reset();
  aRequest.mCall = 0;
}

void
RelayRunner::Release(const RelayCommand& aCommand, Request& /*aRequest*/)
{
  const bool handle = aCommand.mKind == RelayCommandKind::ReleaseHandle;
  const std::string address =
    handle ? aCommand.mHandleAddress : aCommand.mAddress;
  mClient->Fetch(
    mUpstreams->MakeRelease(aCommand),
    [address, handle](const HttpCallOutcome& aOutcome, const std::string&) {
      Log::Info(handle ? "handle_released" : "reservation_released")
        .Field("address", address)
        .Field("end", ToName(aOutcome.mFailure))
        .Field("status", aOutcome.mStatus);
    });
}

void
RelayRunner::SendHead(const RelayCommand& aCommand, Request& aRequest)
{
  aRequest.mFacts.mStatus = aCommand.mAnswer.mStatus;
  aRequest.mFacts.mFirstByteAfter =
    mReactor->Now() - aRequest.mFacts.mArrivedAt;
  aRequest.mExchange->StartStream(aCommand.mAnswer.mStatus,
                                  aCommand.mAnswer.mHeaders);
}

void
RelayRunner::SendEvent(const RelayCommand& aCommand, Request& aRequest)
{
  RelayFacts& facts = aRequest.mFacts;
  const TimePoint now = mReactor->Now();
  if (facts.mEvents > 0) {
    facts.mLongestGap =
      std::max(facts.mLongestGap, Duration(now - facts.mLastEventAt));
  }
  facts.mLastEventAt = now;
  ++facts.mEvents;
  aRequest.mExchange->Write(aCommand.mEvent);
}

void
RelayRunner::SendAnswer(const RelayCommand& aCommand, Request& aRequest)
{
  aRequest.mFacts.mStatus = aCommand.mAnswer.mStatus;
  aRequest.mFacts.mOutcome = "answered";
  aRequest.mExchange->Respond(aCommand.mAnswer.mStatus,
                              aCommand.mAnswer.mHeaders,
                              aCommand.mAnswer.mBody);
}

void
RelayRunner::Refuse(HttpExchange& aExchange, const Refusal& aRefusal) const
{
  const nlohmann::json body = { { "error",
                                  { { "type", ToName(aRefusal.mKind) },
                                    { "message", aRefusal.Message() },
                                    { "run", ToName(aRefusal.mVerdict) } } } };
  HttpHeaders headers = mCallers->RefusalHeaders(aExchange.Request(), aRefusal);
  headers["content-type"] = "application/json";
  aExchange.Respond(aRefusal.Status(), headers, body.dump());
}

void
RelayRunner::SendRefusal(const RelayCommand& aCommand, Request& aRequest)
{
  const Refusal& refusal = *aCommand.mRefusal;
  aRequest.mFacts.mStatus = refusal.Status();
  aRequest.mFacts.mOutcome = ToName(refusal.mKind);
  const TimePoint now = mReactor->Now();
  const auto listedAt = mMachine->Roster().ListedAt();
  Log::Info("request_refused")
    .Field("request", aCommand.mId)
    .Field("type", ToName(refusal.mKind))
    .Field("run", ToName(refusal.mVerdict))
    .Field("retry_after_ms", ToMillis(refusal.mRetryAfter))
    .Field("waiting", mMachine->Waiting())
    .Field("peers_waiting", mMachine->Loads().PeersWaiting().All())
    .Field("upstreams", mMachine->Roster().All().size())
    .Field("found_gone", mMachine->Loads().FoundGone(now).size())
    .Field("list_age_ms", ToMillis(now - listedAt.value_or(now)));
  Refuse(*aRequest.mExchange, refusal);
}

void
RelayRunner::EndStream(const RelayCommand& /*aCommand*/, Request& aRequest)
{
  aRequest.mFacts.mOutcome = "answered";
  aRequest.mExchange->EndStream();
}

void
RelayRunner::AbortStream(const RelayCommand& aCommand, Request& aRequest)
{
  aRequest.mFacts.mOutcome =
    aCommand.mRefusal ? ToName(aCommand.mRefusal->mKind) : "aborted";
  aRequest.mExchange->AbortStream();
}

void
RelayRunner::Forget(const RelayCommand& aCommand, Request& aRequest)
{
  aRequest.mExchange->SetListener(nullptr);
  mListener->OnRelayOver(aRequest.mFacts);
  // This may run within a callback of the caller or the call.
  auto over = std::make_shared<Request>(std::move(aRequest));
  mRequests.erase(aCommand.mId);
  mReactor->Post([over] {});
}

} // namespace peridothoist
