/// The stages of a call in the fake cluster (connecting, in transit, streaming,
/// responding) and how upstreams and the table handle it. Part of
/// FakeCluster.h, which includes this file.
#pragma once

#include <Request/FakeCluster.h>

namespace peridothoist::test {

inline void
FakeCluster::StepConnecting(const CallPointer& aCall, Fault aFault)
{
  const RequestCommand& command = aCall->mCommand;
  const bool isTableCall = command.mUpstream.empty();
  const Engine& engine = mEngines[command.mUpstream];
  const bool isReachable =
    engine.mIsAlive && engine.mIsReachable && !mAreAllUnreachable;
  const bool canConnect = isTableCall || isReachable;
  if (!canConnect || aFault == Fault::NotConnected) {
    aCall->mResult = MakeFailure(*aCall, CallEnd::NotConnected);
    aCall->mResult.mCall.mMayHaveBeenSent = false;
    DeliverResult(aCall);
    return;
  }
  if (IsContent(command.mKind) && !mRouters[aCall->mRouter]->MayStillSend(
                                    command.mId, command.mAttempt, mNow)) {
    aCall->mResult = MakeFailure(*aCall, CallEnd::Withheld);
    aCall->mResult.mCall.mMayHaveBeenSent = false;
    DeliverResult(aCall);
    return;
  }
  mContentSentCount += IsContent(command.mKind) ? 1 : 0;
  aCall->mStage = Stage::InTransit;
}

inline void
FakeCluster::StepInTransit(const CallPointer& aCall, Fault aFault)
{
  if (aFault == Fault::Lose && !aCall->mIsAborted) {
    aCall->mResult = MakeFailure(*aCall, CallEnd::TimedOut);
    DeliverResult(aCall);
    return;
  }
  aCall->mStage = Stage::Responding;
  HandleAtUpstream(aCall, aFault);
  if (aCall->mIsAborted) {
    RemoveCall(aCall);
    if (aFault == Fault::Duplicate && aCall->mStage == Stage::Responding) {
      Deliver(aCall->mRouter, aCall->mResult); // Crosses the cancel.
    }
  }
}

inline void
FakeCluster::StepResponding(const CallPointer& aCall, Fault aFault)
{
  const RequestCommandKind kind = aCall->mCommand.mKind;
  if (kind == RequestCommandKind::InsertClaim && aFault == Fault::Lose) {
    // After a lost response the shell reads the row again.
    aCall->mStage = Stage::InTransit;
    return;
  }
  if (aFault == Fault::Lose || aFault == Fault::Break) {
    const bool lost = aFault == Fault::Lose;
    aCall->mResult =
      MakeFailure(*aCall, lost ? CallEnd::TimedOut : CallEnd::Broken);
  }
  const Event result = aCall->mResult;
  DeliverResult(aCall);
  if (aFault == Fault::Duplicate && kind != RequestCommandKind::RecordOutcome) {
    Deliver(aCall->mRouter, result);
  }
}

inline void
FakeCluster::StepStreaming(const CallPointer& aCall, Fault aFault)
{
  if (aFault == Fault::Break || aFault == Fault::Lose) {
    const bool lost = aFault == Fault::Lose;
    aCall->mResult =
      MakeFailure(*aCall, lost ? CallEnd::TimedOut : CallEnd::Broken);
    DeliverResult(aCall);
    return;
  }
  const std::string body = mCallers[aCall->mCommand.mId].mSpec.mBody;
  if (aFault == Fault::BadStatus && aCall->mNextToken < kTokens) {
    ++aCall->mNextToken; // The engine skips a token.
    return;
  }
  if (aCall->mNextToken < kTokens) {
    const std::uint32_t index = aCall->mNextToken++;
    Event event = MakeResult(*aCall, 200);
    event.mKind = EventKind::Token;
    event.mIndex = index;
    event.mText = FakeCallers::TokenText(body, index);
    Deliver(aCall->mRouter, event);
    if (aFault == Fault::Duplicate) {
      Deliver(aCall->mRouter, event);
    }
    return;
  }
  mEngines[aCall->mCommand.mUpstream].mReservedPieces.erase(RequestId(*aCall));
  aCall->mResult = MakeResult(*aCall, 200);
  aCall->mResult.mDone = true;
  aCall->mResult.mIndex = kTokens;
  DeliverResult(aCall);
}

/// Delivers the result to the router and removes the call.
inline void
FakeCluster::DeliverResult(const CallPointer& aCall)
{
  RemoveCall(aCall);
  const RequestCommandKind kind = aCall->mCommand.mKind;
  const bool failed = aCall->mResult.mCall.mEnd != CallEnd::Whole;
  if (kind == RequestCommandKind::RecordOutcome) {
    if (failed) {
      Start(aCall->mRouter, aCall->mCommand); // Retried until written.
    }
    return;
  }
  if (kind == RequestCommandKind::InsertClaim && failed) {
    const bool sent = aCall->mResult.mCall.mMayHaveBeenSent;
    aCall->mResult.mClaim.mKind =
      sent ? ClaimResultKind::Indeterminate : ClaimResultKind::Unreachable;
  }
  if (kind == RequestCommandKind::Cancel) {
    aCall->mResult.mSucceeded = !failed;
  }
  if (!aCall->mIsAborted) {
    Deliver(aCall->mRouter, aCall->mResult);
  }
}

inline Event
FakeCluster::MakeResult(const Call& aCall, int aStatus) const
{
  static const std::map<RequestCommandKind, EventKind> kKinds = {
    { RequestCommandKind::InsertClaim, EventKind::Claim },
    { RequestCommandKind::Reserve, EventKind::Reserve },
    { RequestCommandKind::Prefill, EventKind::Prefill },
    { RequestCommandKind::Import, EventKind::Import },
    { RequestCommandKind::Decode, EventKind::DecodeResult },
    { RequestCommandKind::CallPlain, EventKind::Plain },
    { RequestCommandKind::Cancel, EventKind::CancelAck },
    { RequestCommandKind::RecordOutcome, EventKind::Tick }
  };
  Event event;
  event.mKind = kKinds.at(aCall.mCommand.mKind);
  event.mId = aCall.mCommand.mId;
  event.mAttempt = aCall.mCommand.mAttempt;
  event.mUpstream = aCall.mCommand.mUpstream;
  event.mCall = { CallEnd::Whole, true, aStatus };
  return event;
}

inline Event
FakeCluster::MakeFailure(const Call& aCall, CallEnd aEnd) const
{
  Event event = MakeResult(aCall, 0);
  event.mCall = { aEnd, true, 0 };
  event.mSucceeded = false;
  return event;
}

inline void
FakeCluster::HandleAtUpstream(const CallPointer& aCall, Fault aFault)
{
  const RequestCommand& command = aCall->mCommand;
  Engine& engine = mEngines[command.mUpstream];
  if (!command.mUpstream.empty() && !engine.mIsAlive) {
    aCall->mResult = MakeFailure(*aCall, CallEnd::Broken);
    return;
  }
  if (aFault == Fault::BadStatus &&
      command.mKind != RequestCommandKind::Cancel &&
      !command.mUpstream.empty()) {
    aCall->mResult = MakeResult(*aCall, 503);
    return;
  }
  const std::string id = RequestId(*aCall);
  switch (command.mKind) {
    case RequestCommandKind::Reserve:
      HandleReserve(*aCall, engine, id);
      break;
    case RequestCommandKind::Prefill:
    case RequestCommandKind::CallPlain:
      ExecuteContent(*aCall);
      break;
    case RequestCommandKind::Import:
      aCall->mResult =
        MakeResult(*aCall, engine.mReservedPieces.count(id) > 0 ? 200 : 409);
      break;
    case RequestCommandKind::Decode:
      aCall->mResult = MakeResult(*aCall, 409);
      if (engine.mReservedPieces.count(id) > 0) {
        aCall->mStage = Stage::Streaming;
        aCall->mNextToken = command.mResumeFrom;
      }
      break;
    case RequestCommandKind::Cancel:
      engine.mReservedPieces.erase(id);
      aCall->mResult = MakeResult(*aCall, 200);
      break;
    case RequestCommandKind::InsertClaim:
      aCall->mResult = MakeResult(*aCall, 200);
      aCall->mResult.mClaim =
        mClaimTable.Insert(mCallers[command.mId].mSpec.mWorkspace, command);
      break;
    case RequestCommandKind::RecordOutcome:
      aCall->mResult = MakeResult(*aCall, 200);
      mClaimTable.Write(mCallers[command.mId].mSpec.mWorkspace, command);
      break;
    default:
      break;
  }
}

inline void
FakeCluster::HandleReserve(Call& aCall, Engine& aEngine, const std::string& aId)
{
  std::uint32_t held = 0;
  for (const auto& [request, pieces] : aEngine.mReservedPieces) {
    held += pieces;
  }
  const Upstream& config = mConfig->mUpstreams[aCall.mCommand.mUpstream];
  const bool fits = held + aCall.mCommand.mPieces <= config.mMemoryPieces;
  if (fits) {
    aEngine.mReservedPieces[aId] = aCall.mCommand.mPieces;
  }
  aCall.mResult = MakeResult(aCall, fits ? 201 : 409);
}

inline void
FakeCluster::ExecuteContent(Call& aCall)
{
  Caller& caller = mCallers[aCall.mCommand.mId];
  ++caller.mExecutions;
  const bool refused =
    caller.mRefusal && caller.mRefusal->mVerdict == RunVerdict::NotRun;
  mInvariants.Check(
    !refused, "executed after the verdict not run", aCall.mCommand.mId);
  const std::string& key = caller.mSpec.mKey;
  if (!mConfig->mRoutes[caller.mSpec.mRoute].mIsIdempotent && !key.empty()) {
    const std::string name = caller.mSpec.mWorkspace + "/" + key;
    mInvariants.Check(
      ++mExecutedKeys[name] == 1, "executed twice", aCall.mCommand.mId);
  }
  aCall.mResult = MakeResult(aCall, 200);
  aCall.mResult.mText = FakeCallers::CompletionText(caller.mSpec.mBody);
  if (mCrashingBodies.count(caller.mSpec.mBody) > 0) {
    ++mCrashesByBody[caller.mSpec.mBody];
    Crash(aCall.mCommand.mUpstream);
    aCall.mStage = Stage::Responding;
    aCall.mResult = MakeFailure(aCall, CallEnd::Broken);
  }
}

} // namespace peridothoist::test
