/// The part of RelayStateMachine that places requests on upstreams: it chooses
/// the upstream and decides whether a prefill engine reads the prompt.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayStateMachine.h>

#include <algorithm>

namespace peridothoist {

void
RelayStateMachine::PlaceRequest(State& aState)
{
  const AdmittedRequest& request = aState.mRequest;
  mWaiting.erase({ request.mPriority, request.mId });
  if (mNow + mSettings.mMinTimeLeft >= request.mDeadline) {
    Refuse(aState, RefusalKind::DeadlinePassed);
    return;
  }
  const auto refusal = mPolicy->CheckRelay(request, mNow);
  if (refusal) {
    Refuse(aState, *refusal);
    return;
  }
  if (IsQuarantined(aState, mNow)) {
    Refuse(aState, RefusalKind::Quarantined);
    return;
  }
  if (request.mRoute->mKind == RouteKind::Stream) {
    PlaceStream(aState);
  } else {
    PlaceWhole(aState);
  }
}

UpstreamQuery
RelayStateMachine::QueryFor(const State& aState, RelayStage aStage) const
{
  UpstreamQuery query;
  query.mService = aState.mRequest.mService;
  query.mStage = aStage;
  query.mZone = mSettings.mZone;
  query.mNeededTokens = MemoryToCount(aState);
  query.mPromptTokens = aState.mRequest.mPromptTokens;
  query.mExcludedUpstreams = aState.mExcludedUpstreams;
  query.mSoftwareVersion = VersionOf(aState);
  query.mBeginsStream =
    aStage != RelayStage::Prefill && BeginsResumableStream(aState);
  const EngineLimits* engines = EnginesOf(aState);
  query.mEngineMemoryTokens = engines == nullptr ? 0 : engines->mMemoryTokens;
  return query;
}

bool
RelayStateMachine::PlaceWhole(State& aState)
{
  const Choice choice =
    mChooser.Choose(QueryFor(aState, RelayStage::Plain), mNow);
  if (choice.mUpstream == nullptr) {
    OnNoUpstreamChosen(aState, choice.mReason);
    return false;
  }
  return StartCallOn(aState, *choice.mUpstream, RelayCallKind::Whole);
}

bool
RelayStateMachine::PlaceStream(State& aState)
{
  Choice decode = mChooser.Choose(QueryFor(aState, RelayStage::Decode), mNow);
  if (decode.mUpstream == nullptr &&
      decode.mReason == NoChoiceReason::NoUpstream) {
    // The service may have plain upstreams, which serve whole streams.
    const Choice plain =
      mChooser.Choose(QueryFor(aState, RelayStage::Plain), mNow);
    decode = plain.mUpstream != nullptr ? plain : decode;
  }
  if (decode.mUpstream == nullptr) {
    OnNoUpstreamChosen(aState, decode.mReason);
    return false;
  }
  const bool expired =
    mNow + mSettings.mHandleExpiryMargin >= aState.mHandleExpiresAt;
  if (!aState.mHandle.empty() && expired) {
    ReleaseHandle(aState);
    aState.mSkipPrefill = true;
  }
  if (!aState.mHandle.empty()) {
    return StartCallOn(aState, *decode.mUpstream, RelayCallKind::Stream);
  }
  UpstreamQuery query = QueryFor(aState, RelayStage::Prefill);
  query.mZone = decode.mUpstream->mZone;
  const Choice prefill = mChooser.Choose(query, mNow);
  PrefillQuery prefillQuery;
  prefillQuery.mPromptTokens = aState.mRequest.mPromptTokens;
  prefillQuery.mDecodeWork = mLoads.Work(decode.mUpstream->mId);
  if (prefill.mUpstream != nullptr) {
    prefillQuery.mPrefillWork = mLoads.Work(prefill.mUpstream->mId);
    prefillQuery.mPrefillFactor =
      mSpeeds.FactorOf(prefill.mUpstream->mId, mNow);
  }
  if (!aState.mSkipPrefill && mPlanner.ShouldUsePrefillEngine(prefillQuery)) {
    HoldMemory(aState, decode.mUpstream->mId);
    const bool peerLoadIsOld = mLoads.PeerLoadAgeSeconds() > 0;
    const bool reserves =
      !HasReservationAt(aState, decode.mUpstream->mId) &&
      !mLimiter.IsLimited(decode.mUpstream->mId, mNow) &&
      mPlanner.ShouldReserve(
        prefillQuery.mDecodeWork,
        QueryFor(aState, RelayStage::Decode).mEngineMemoryTokens,
        peerLoadIsOld);
    if (reserves) {
      return StartCallOn(aState, *decode.mUpstream, RelayCallKind::Reserve);
    }
    return StartCallOn(aState, *prefill.mUpstream, RelayCallKind::Prefill);
  }
  return StartCallOn(aState, *decode.mUpstream, RelayCallKind::Stream);
}

/// Starts the prefill after memory was reserved at aDecode. Without a prefill
/// engine, aDecode reads the prompt itself.
bool
RelayStateMachine::PlacePrefill(State& aState, const RelayUpstream& aDecode)
{
  UpstreamQuery query = QueryFor(aState, RelayStage::Prefill);
  query.mZone = aDecode.mZone;
  const Choice prefill = mChooser.Choose(query, mNow);
  if (prefill.mUpstream == nullptr || aState.mSkipPrefill) {
    ReleaseMemory(aState);
    return StartCallOn(aState, aDecode, RelayCallKind::Stream);
  }
  return StartCallOn(aState, *prefill.mUpstream, RelayCallKind::Prefill);
}

/// Returns the memory to count for a request from its start. While load reports
/// of other VMs are old, these add streams to the engine that are not counted
/// here, so that none may rely on memory to be free when it grows: its whole
/// expected output is counted and reserved.
std::uint64_t
RelayStateMachine::MemoryToCount(const State& aState) const
{
  const AdmittedRequest& request = aState.mRequest;
  return CountsWholeOutput()
           ? std::max(request.mFinalMemoryTokens, request.mMemoryTokens)
           : request.mMemoryTokens;
}

/// Returns the memory to reserve at a decode engine. A stream that runs already
/// may have generated most of its output.
std::uint64_t
RelayStateMachine::TokensToReserve(const State& aState) const
{
  const bool runs =
    aState.mCall && aState.mCall->mKind == RelayCallKind::Stream;
  return runs ? aState.mRequest.mFinalMemoryTokens : MemoryToCount(aState);
}

bool
RelayStateMachine::HasReservationAt(const State& aState,
                                    const std::string& aUpstream) const
{
  return !aState.mReservation.empty() &&
         aState.mReservationUpstream == aUpstream &&
         mNow < aState.mReservationExpiresAt;
}

/// Returns whether the budget allows a retry of the request.
bool
RelayStateMachine::HasRetryBudget(const State& aState)
{
  return RetryBudgetOf(aState.mRequest.mService).IsAllowed(mVmCount, mNow);
}

/// Charges the retry budget if the send that starts now is a retry. Returns
/// false if the budget does not allow it. The budget is not charged earlier,
/// when the retry is decided, because the request may wait for capacity in
/// between and the budget bounds the sends of a window.
bool
RelayStateMachine::ChargeRetry(State& aState)
{
  if (aState.mTriedUpstreams.empty() && !aState.mNextSendIsRetry) {
    return true;
  }
  if (!RetryBudgetOf(aState.mRequest.mService).TryTake(mVmCount, mNow)) {
    ++mCounters.mRetriesDenied;
    return false;
  }
  ++mCounters.mRetriesSent;
  aState.mNextSendIsRetry = false;
  aState.mIsRetryCharged = true;
  return true;
}

bool
RelayStateMachine::StartCallOn(State& aState,
                               const RelayUpstream& aUpstream,
                               RelayCallKind aKind)
{
  if (IsQuarantined(aState, mNow)) {
    Refuse(aState, RefusalKind::Quarantined);
    return false;
  }
  if (RunsRequest(aKind) && !FitsOrigin(aState, aUpstream)) {
    // It was restarted with another version while memory was reserved or the
    // prompt was read.
    PlaceRequest(aState);
    return false;
  }
  if (RunsRequest(aKind) && !ChargeRetry(aState)) {
    Refuse(aState, RefusalKind::UpstreamFailed);
    return false;
  }
  aState.mCall = StartCall(aState, aUpstream, aKind);
  ArmInactivityTimer(aState);
  return true;
}

/// Returns the tokens that a call counts as at its upstream.
std::uint64_t
RelayStateMachine::TokensOf(const State& aState, RelayCallKind aKind) const
{
  if (aKind == RelayCallKind::Reserve) {
    return 0; // HoldMemory() counted them.
  }
  return aKind == RelayCallKind::Prefill ? aState.mRequest.mPromptTokens
                                         : MemoryToCount(aState);
}

/// Returns by what the time of a call that starts now is divided to compare it
/// with calls to other upstreams: the prompt tokens that a prefill engine has
/// to read, or the requests for each slot of a plain upstream.
double
RelayStateMachine::WorkUnitsOf(const RelayUpstream& aUpstream) const
{
  const UpstreamWork work = mLoads.Work(aUpstream.mId);
  if (aUpstream.mStage == RelayStage::Prefill) {
    return static_cast<double>(work.mTokens);
  }
  const double slots = std::max<std::uint32_t>(1, aUpstream.mSlots);
  return std::max(1.0, work.mRequests / slots);
}

/// Issues the command for a call and returns the call's state.
RelayStateMachine::Call
RelayStateMachine::StartCall(State& aState,
                             const RelayUpstream& aUpstream,
                             RelayCallKind aKind)
{
  const AdmittedRequest& request = aState.mRequest;
  Call call;
  call.mAttempt = aState.mNextAttempt++;
  call.mUpstream = aUpstream.mId;
  call.mAddress = aUpstream.mAddress;
  call.mTunnel = ChooseTunnel(aState);
  call.mSoftwareVersion = aUpstream.mSoftwareVersion;
  call.mIncarnationId = aUpstream.mIncarnationId;
  call.mKind = aKind;
  call.mIsRetry = std::exchange(aState.mIsRetryCharged, false);
  const bool isReserve = aKind == RelayCallKind::Reserve;
  call.mTokens = TokensOf(aState, aKind);
  call.mUsedTokens = request.mPromptTokens;
  call.mStartedAt = mNow;
  call.mLastActivity = mNow;
  call.mUsesHandle = aKind == RelayCallKind::Stream && !aState.mHandle.empty();

  RelayCommand& command = Command(RelayCommandKind::StartCall, aState);
  command.mAttempt = call.mAttempt;
  command.mUpstream = call.mUpstream;
  command.mAddress = call.mAddress;
  command.mTunnel = call.mTunnel;
  mCounters.mTunnelled += call.mTunnel.empty() ? 0 : 1;
  command.mCallKind = aKind;
  command.mWorkspace = request.mWorkspace;
  command.mPriority = request.mConfiguredPriority;
  command.mTimeLeft = request.mDeadline - mNow;
  command.mLastEventId = aState.mLastEventId;
  if (call.mUsesHandle) {
    call.mHandle = std::move(aState.mHandle);
    call.mHandleAddress = aState.mHandleAddress;
    aState.mHandle.clear();
    command.mHandle = call.mHandle;
    command.mHandleAddress = call.mHandleAddress;
  }
  if (aKind == RelayCallKind::Stream &&
      HasReservationAt(aState, aUpstream.mId)) {
    command.mReservation = std::move(aState.mReservation);
    aState.mReservation.clear();
  }
  if (isReserve) {
    command.mMemoryTokens = TokensToReserve(aState);
    command.mReservationLifetime = mSettings.mReservationLifetime;
  } else if (aKind == RelayCallKind::Prefill) {
    command.mTimeLeft = std::min(command.mTimeLeft, mSettings.mPrefillTimeout);
    ++mCounters.mPrefills;
  } else {
    ++mCounters.mSent;
    aState.mTriedUpstreams.insert(aUpstream.mId);
  }
  mLoads.OnSent(call.mUpstream, call.mTokens);
  call.mWorkUnits = WorkUnitsOf(aUpstream);
  const bool isCharged =
    aKind == RelayCallKind::Stream && aState.mChargedUpstream == call.mUpstream;
  if (isCharged) {
    aState.mChargedUpstream.clear();
  } else {
    mLimiter.OnSent(call.mUpstream, mNow);
  }
  return call;
}

bool
RelayStateMachine::MayStillSend(std::uint64_t aId,
                                std::uint32_t aAttempt,
                                TimePoint aNow)
{
  Call* call = FindCall(aId, aAttempt);
  if (call == nullptr) {
    return false;
  }
  if (call->mTunnel.empty()) {
    mReach.OnConnected();
  }
  State& state = *Find(aId);
  const AdmittedRequest& request = state.mRequest;
  const bool maySend =
    aNow < request.mDeadline && !IsQuarantined(state, aNow) &&
    mUpstreamList.AcceptsRequests(call->mUpstream) && HasCallVersion(*call) &&
    !mPolicy->CheckRelay(request, aNow);
  call->mMayHaveBeenSent = call->mMayHaveBeenSent || maySend;
  return maySend;
}

} // namespace peridothoist
