/// The stages of a call in the fake world: connecting, on the wire, running,
/// answering, and what upstreams and the table make of it. Part of FakeWorld.h,
/// which includes it.
#pragma once

#include <Request/FakeWorld.h>

namespace peridothoist::test {

inline void
FakeWorld::StepConnecting(const CallPointer& aCall, Fault aFault)
{
  const RequestCommand& command = aCall->mCommand;
  const bool table = command.mUpstream.empty();
  const Engine& engine = mEngines[command.mUpstream];
  const bool seen = engine.mAlive && engine.mReachable && !mAllDown;
  const bool up = table || seen;
  if (!up || aFault == Fault::NotConnected) {
    aCall->mAnswer = Failed(*aCall, CallEnd::NotConnected);
    aCall->mAnswer.mCall.mMayHaveBeenSent = false;
    Answer(aCall);
    return;
  }
  if (IsContent(command.mKind) && !mRouters[aCall->mRouter]->MayStillSend(
                                    command.mId, command.mAttempt, mNow)) {
    aCall->mAnswer = Failed(*aCall, CallEnd::Withheld);
    aCall->mAnswer.mCall.mMayHaveBeenSent = false;
    Answer(aCall);
    return;
  }
  mContentSent += IsContent(command.mKind) ? 1 : 0;
  aCall->mStage = Stage::OnWire;
}

inline void
FakeWorld::StepOnWire(const CallPointer& aCall, Fault aFault)
{
  if (aFault == Fault::Lose && !aCall->mAborted) {
    aCall->mAnswer = Failed(*aCall, CallEnd::TimedOut);
    Answer(aCall);
    return;
  }
  aCall->mStage = Stage::Answering;
  Arrive(aCall, aFault);
  if (aCall->mAborted) {
    Drop(aCall);
    if (aFault == Fault::Duplicate && aCall->mStage == Stage::Answering) {
      Tell(aCall->mRouter, aCall->mAnswer); // It crossed with the cancel.
    }
  }
}

inline void
FakeWorld::StepAnswering(const CallPointer& aCall, Fault aFault)
{
  const RequestCommandKind kind = aCall->mCommand.mKind;
  if (kind == RequestCommandKind::InsertClaim && aFault == Fault::Lose) {
    // The shell settles a lost answer by reading again.
    aCall->mStage = Stage::OnWire;
    return;
  }
  if (aFault == Fault::Lose || aFault == Fault::Break) {
    const bool lost = aFault == Fault::Lose;
    aCall->mAnswer = Failed(*aCall, lost ? CallEnd::TimedOut : CallEnd::Broken);
  }
  const Event answer = aCall->mAnswer;
  Answer(aCall);
  if (aFault == Fault::Duplicate && kind != RequestCommandKind::RecordOutcome) {
    Tell(aCall->mRouter, answer);
  }
}

inline void
FakeWorld::StepStreaming(const CallPointer& aCall, Fault aFault)
{
  if (aFault == Fault::Break || aFault == Fault::Lose) {
    const bool lost = aFault == Fault::Lose;
    aCall->mAnswer = Failed(*aCall, lost ? CallEnd::TimedOut : CallEnd::Broken);
    Answer(aCall);
    return;
  }
  const std::string body = mCallers[aCall->mCommand.mId].mAsk.mBody;
  if (aFault == Fault::BadStatus && aCall->mNextToken < kTokens) {
    ++aCall->mNextToken; // The engine loses a token.
    return;
  }
  if (aCall->mNextToken < kTokens) {
    const std::uint32_t index = aCall->mNextToken++;
    Event event = Ok(*aCall, 200);
    event.mKind = EventKind::Token;
    event.mIndex = index;
    event.mText = FakeCallers::TokenText(body, index);
    Tell(aCall->mRouter, event);
    if (aFault == Fault::Duplicate) {
      Tell(aCall->mRouter, event);
    }
    return;
  }
  mEngines[aCall->mCommand.mUpstream].mHeld.erase(RequestId(*aCall));
  aCall->mAnswer = Ok(*aCall, 200);
  aCall->mAnswer.mDone = true;
  aCall->mAnswer.mIndex = kTokens;
  Answer(aCall);
}

/// Hands an answer to the router and forgets the call.
inline void
FakeWorld::Answer(const CallPointer& aCall)
{
  Drop(aCall);
  const RequestCommandKind kind = aCall->mCommand.mKind;
  const bool failed = aCall->mAnswer.mCall.mEnd != CallEnd::Whole;
  if (kind == RequestCommandKind::RecordOutcome) {
    if (failed) {
      Start(aCall->mRouter, aCall->mCommand); // Written when it can be.
    }
    return;
  }
  if (kind == RequestCommandKind::InsertClaim && failed) {
    const bool sent = aCall->mAnswer.mCall.mMayHaveBeenSent;
    aCall->mAnswer.mClaim.mKind =
      sent ? ClaimAnswerKind::Unsettled : ClaimAnswerKind::Unreachable;
  }
  if (kind == RequestCommandKind::Cancel) {
    aCall->mAnswer.mOk = !failed;
  }
  if (!aCall->mAborted) {
    Tell(aCall->mRouter, aCall->mAnswer);
  }
}

inline Event
FakeWorld::Ok(const Call& aCall, int aStatus) const
{
  static const std::map<RequestCommandKind, EventKind> kKinds = {
    { RequestCommandKind::InsertClaim, EventKind::Claim },
    { RequestCommandKind::Reserve, EventKind::Reserve },
    { RequestCommandKind::Prefill, EventKind::Prefill },
    { RequestCommandKind::Import, EventKind::Import },
    { RequestCommandKind::Decode, EventKind::DecodeEnd },
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
FakeWorld::Failed(const Call& aCall, CallEnd aEnd) const
{
  Event event = Ok(aCall, 0);
  event.mCall = { aEnd, true, 0 };
  event.mOk = false;
  return event;
}

inline void
FakeWorld::Arrive(const CallPointer& aCall, Fault aFault)
{
  const RequestCommand& command = aCall->mCommand;
  Engine& engine = mEngines[command.mUpstream];
  if (!command.mUpstream.empty() && !engine.mAlive) {
    aCall->mAnswer = Failed(*aCall, CallEnd::Broken);
    return;
  }
  if (aFault == Fault::BadStatus &&
      command.mKind != RequestCommandKind::Cancel &&
      !command.mUpstream.empty()) {
    aCall->mAnswer = Ok(*aCall, 503);
    return;
  }
  const std::string id = RequestId(*aCall);
  switch (command.mKind) {
    case RequestCommandKind::Reserve:
      ArriveReserve(*aCall, engine, id);
      break;
    case RequestCommandKind::Prefill:
    case RequestCommandKind::CallPlain:
      Execute(*aCall);
      break;
    case RequestCommandKind::Import:
      aCall->mAnswer = Ok(*aCall, engine.mHeld.count(id) > 0 ? 200 : 409);
      break;
    case RequestCommandKind::Decode:
      aCall->mAnswer = Ok(*aCall, 409);
      if (engine.mHeld.count(id) > 0) {
        aCall->mStage = Stage::Streaming;
        aCall->mNextToken = command.mResumeFrom;
      }
      break;
    case RequestCommandKind::Cancel:
      engine.mHeld.erase(id);
      aCall->mAnswer = Ok(*aCall, 200);
      break;
    case RequestCommandKind::InsertClaim:
      aCall->mAnswer = Ok(*aCall, 200);
      aCall->mAnswer.mClaim =
        mTable.Insert(mCallers[command.mId].mAsk.mWorkspace, command);
      break;
    case RequestCommandKind::RecordOutcome:
      aCall->mAnswer = Ok(*aCall, 200);
      mTable.Write(mCallers[command.mId].mAsk.mWorkspace, command);
      break;
    default:
      break;
  }
}

inline void
FakeWorld::ArriveReserve(Call& aCall, Engine& aEngine, const std::string& aId)
{
  std::uint32_t held = 0;
  for (const auto& [request, pieces] : aEngine.mHeld) {
    held += pieces;
  }
  const Upstream& config = mConfig->mUpstreams[aCall.mCommand.mUpstream];
  const bool fits = held + aCall.mCommand.mPieces <= config.mMemoryPieces;
  if (fits) {
    aEngine.mHeld[aId] = aCall.mCommand.mPieces;
  }
  aCall.mAnswer = Ok(aCall, fits ? 201 : 409);
}

inline void
FakeWorld::Execute(Call& aCall)
{
  Caller& caller = mCallers[aCall.mCommand.mId];
  ++caller.mExecuted;
  const bool refused =
    caller.mRefusal && caller.mRefusal->mVerdict == RunVerdict::NotRun;
  mRules.Require(!refused, "ran after \"not run\"", aCall.mCommand.mId);
  const std::string& key = caller.mAsk.mKey;
  if (!mConfig->mRoutes[caller.mAsk.mRoute].mIdempotent && !key.empty()) {
    const std::string name = caller.mAsk.mWorkspace + "/" + key;
    mRules.Require(++mExecutedKeys[name] == 1, "ran twice", aCall.mCommand.mId);
  }
  aCall.mAnswer = Ok(aCall, 200);
  aCall.mAnswer.mText = FakeCallers::WholeText(caller.mAsk.mBody);
  if (mPoison.count(caller.mAsk.mBody) > 0) {
    ++mKills[caller.mAsk.mBody];
    Crash(aCall.mCommand.mUpstream);
    aCall.mStage = Stage::Answering;
    aCall.mAnswer = Failed(aCall, CallEnd::Broken);
  }
}

} // namespace peridothoist::test
