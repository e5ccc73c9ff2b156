/// Tests relayed requests whose upstreams refuse, break calls, stop responding
/// or are gone: requests that must not run twice run at most once, refusals
/// state correctly whether the request ran, and there is one final response.
#define BOOST_TEST_MODULE RelayStateMachine
#include <Peridothoist/Peridothoist.h>
#include <Relay/RelayFixture.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;
using namespace peridothoist::test;

BOOST_FIXTURE_TEST_SUITE(Whole, RelayFixture)

BOOST_AUTO_TEST_CASE(AResponseIsPassedOnUnchanged)
{
  List({ Upstream("p1", RelayStage::Plain) });
  const auto id = Arrive(Route(RouteKind::NonIdempotent, 1));
  End(Call(id), Responded(200));
  BOOST_TEST(Count(RelayCommandKind::SendResponse) == 1U);
  BOOST_TEST(Count(RelayCommandKind::Forget) == 1U);
  BOOST_TEST(mMachine.OpenRequestCount() == 0U);
}

BOOST_AUTO_TEST_CASE(ABrokenNonIdempotentRequestIsNotRetried)
{
  List(
    { Upstream("p1", RelayStage::Plain), Upstream("p2", RelayStage::Plain) });
  const auto id = Arrive(Route(RouteKind::NonIdempotent, 3));
  End(Call(id), Broken());
  BOOST_TEST(Count(RelayCommandKind::StartCall) == 1U);
  const Refusal refusal = OnlyRefusal();
  BOOST_TEST((refusal.mVerdict == RunVerdict::MayHaveRun));
  BOOST_TEST(refusal.Status() == 502);
  BOOST_TEST(mPolicy.mRefunds == 0);
}

BOOST_AUTO_TEST_CASE(ANonIdempotentRequestThatDidNotRunIsRetried)
{
  List(
    { Upstream("p1", RelayStage::Plain), Upstream("p2", RelayStage::Plain) });
  const auto id = Arrive(Route(RouteKind::NonIdempotent, 2));
  const RelayCommand first = Call(id);
  End(first, NotRun());
  const RelayCommand second = Call(id);
  BOOST_TEST(first.mUpstream != second.mUpstream);
  End(second, NotRun());
  BOOST_TEST(OnlyRefusal().Status() == 503);
  BOOST_TEST(mPolicy.mRefunds == 1);
}

BOOST_AUTO_TEST_CASE(TheMaximumOfAttemptsIsKept)
{
  List({ Upstream("p1", RelayStage::Plain),
         Upstream("p2", RelayStage::Plain),
         Upstream("p3", RelayStage::Plain) });
  const auto id = Arrive(Route(RouteKind::Idempotent, 2));
  End(Call(id), Broken());
  End(Call(id), Broken());
  BOOST_TEST(Count(RelayCommandKind::StartCall) == 2U);
  BOOST_TEST(OnlyRefusal().Status() == 502);
}

BOOST_AUTO_TEST_CASE(AServerErrorIsRetriedOnceAndThenPassedOn)
{
  List(
    { Upstream("p1", RelayStage::Plain), Upstream("p2", RelayStage::Plain) });
  const auto id = Arrive(Route(RouteKind::Idempotent, 2));
  End(Call(id), Responded(500));
  End(Call(id), Responded(500));
  BOOST_TEST(Count(RelayCommandKind::SendResponse) == 1U);
  BOOST_TEST(Count(RelayCommandKind::SendRefusal) == 0U);
}

BOOST_AUTO_TEST_CASE(ARequestThatFailsEverywhereIsNotHeldAgainstTheSecond)
{
  // One lookup in seven fails wherever it runs. If each second failure counted,
  // the upstream that gets mostly second tries would be avoided for good.
  List(
    { Upstream("p1", RelayStage::Plain), Upstream("p2", RelayStage::Plain) });
  const auto id = Arrive(Route(RouteKind::Idempotent, 2));
  const RelayCommand first = Call(id);
  End(first, Responded(500));
  const RelayCommand second = Call(id);
  End(second, Responded(500));
  const CallOutcomeTracker& outcomes = mMachine.Loads().Outcomes();
  BOOST_TEST(outcomes.FailureRate(first.mUpstream, mNow) > 0.0);
  BOOST_TEST(outcomes.FailureRate(second.mUpstream, mNow) == 0.0);
}

BOOST_AUTO_TEST_CASE(A503AfterARunIsNotPassedOnAsNotRun)
{
  List({ Upstream("p1", RelayStage::Plain) });
  const auto id = Arrive(Route(RouteKind::NonIdempotent, 1));
  End(Call(id), Responded(503));
  BOOST_TEST(OnlyRefusal().Status() == 502);
}

BOOST_AUTO_TEST_CASE(ARefusedConnectionCostsNoAttempt)
{
  List(
    { Upstream("p1", RelayStage::Plain), Upstream("p2", RelayStage::Plain) });
  const auto id = Arrive(Route(RouteKind::NonIdempotent, 1));
  End(Call(id, false), NotConnected());
  End(Call(id), Responded(200));
  BOOST_TEST(Count(RelayCommandKind::SendResponse) == 1U);
}

BOOST_AUTO_TEST_CASE(AMisdirectedCallCostsNoAttempt)
{
  List(
    { Upstream("p1", RelayStage::Plain), Upstream("p2", RelayStage::Plain) });
  const auto id = Arrive(Route(RouteKind::NonIdempotent, 1));
  End(Call(id), NotRun(421));
  End(Call(id), Responded(200));
  BOOST_TEST(Count(RelayCommandKind::SendResponse) == 1U);
}

BOOST_AUTO_TEST_CASE(ADeadlineAfterASendSaysThatTheRequestMayHaveRun)
{
  List({ Upstream("p1", RelayStage::Plain) });
  const auto id = Arrive(Route(RouteKind::NonIdempotent, 1));
  Call(id);
  Advance(15s);
  BOOST_TEST(Count(RelayCommandKind::CancelCall) == 1U);
  BOOST_TEST(OnlyRefusal().Status() == 504);
}

BOOST_AUTO_TEST_CASE(AnUnresponsiveIdempotentRequestIsRetriedElsewhere)
{
  List(
    { Upstream("p1", RelayStage::Plain), Upstream("p2", RelayStage::Plain) });
  const auto id = Arrive(Route(RouteKind::Idempotent, 2));
  const RelayCommand first = Call(id);
  Advance(3s);
  const RelayCommand second = Call(id);
  BOOST_TEST(first.mUpstream != second.mUpstream);
  BOOST_TEST(Count(RelayCommandKind::CancelCall) == 0U);
  End(second, Responded(200));
  BOOST_TEST(Count(RelayCommandKind::SendResponse) == 1U);
  BOOST_TEST(Count(RelayCommandKind::CancelCall) == 1U);
  End(first, Responded(200)); // It was cancelled, so its end is ignored.
  BOOST_TEST(Count(RelayCommandKind::SendResponse) == 1U);
  BOOST_TEST(Count(RelayCommandKind::Forget) == 1U);
}

BOOST_AUTO_TEST_CASE(AWithdrawnKeyStopsARequestBeforeItIsSent)
{
  List({ Upstream("p1", RelayStage::Plain) });
  const auto id = Arrive(Route(RouteKind::NonIdempotent, 1));
  const RelayCommand call = Call(id, false);
  mPolicy.mRefusal = RefusalKind::KeyWithdrawn;
  BOOST_TEST(!mMachine.MayStillSend(id, call.mAttempt, mNow));
  RelayCallEnd end = NotConnected();
  end.mOutcome.mEnd = CallEnd::Withheld;
  End(call, end);
  BOOST_TEST(OnlyRefusal().Status() == 401);
}

BOOST_AUTO_TEST_CASE(AnUpstreamThatLeavesIsNotSentARequest)
{
  List({ Upstream("p1", RelayStage::Plain) });
  const auto id = Arrive(Route(RouteKind::NonIdempotent, 1));
  const RelayCommand call = Call(id, false);
  RelayUpstream leaving = Upstream("p1", RelayStage::Plain);
  leaving.mIsLeaving = true;
  List({ leaving });
  BOOST_TEST(!mMachine.MayStillSend(id, call.mAttempt, mNow));
}

BOOST_AUTO_TEST_CASE(ARequestWithoutUpstreamsIsRefusedAtOnce)
{
  List({});
  Arrive(Route(RouteKind::NonIdempotent, 1));
  const Refusal refusal = OnlyRefusal();
  BOOST_TEST(refusal.Status() == 503);
  BOOST_TEST((refusal.mRetryAfter > Duration(0)));
  BOOST_TEST((refusal.mRetryAfter <= Duration(14s) / 3));
}

BOOST_AUTO_TEST_CASE(ARequestThatCrashesUpstreamsIsQuarantined)
{
  // Three upstreams crash, each while another request runs there too.
  for (int n = 0; n < 3; ++n) {
    const std::string name = "p" + std::to_string(n);
    List({ Upstream(name, RelayStage::Plain) });
    const auto other = Arrive(Route(RouteKind::NonIdempotent, 1), "other");
    const auto id = Arrive(Route(RouteKind::NonIdempotent, 1), "crasher");
    const RelayCommand call = Call(id);
    End(Call(other), Broken());
    End(call, Broken());
    List({}); // The upstream is gone without having announced that it leaves.
    mMachine.Crashes().OnSoundRun("other", mNow);
  }
  mCommands.clear();
  List({ Upstream("p9", RelayStage::Plain) });
  Arrive(Route(RouteKind::NonIdempotent, 1), "crasher");
  BOOST_TEST(Count(RelayCommandKind::StartCall) == 0U);
  BOOST_TEST((OnlyRefusal().mKind == RefusalKind::Quarantined));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Streams, RelayFixture)

BOOST_AUTO_TEST_CASE(APrefillEngineReadsThePromptAndTheStreamIsPassedOn)
{
  List({ Upstream("d1", RelayStage::Decode),
         Upstream("f1", RelayStage::Prefill) });
  const auto id = Arrive(Route(RouteKind::Stream, 1));
  const RelayCommand prefill = Call(id);
  BOOST_TEST((prefill.mCallKind == RelayCallKind::Prefill));
  BOOST_TEST(mMachine.Loads().Work("d1").mTokens == 3200U);
  End(prefill, Prefilled("h"));
  const RelayCommand stream = Call(id);
  BOOST_TEST(stream.mHandle == "h");
  Event(stream, 1);
  Event(stream, 2);
  End(stream, Responded(200));
  BOOST_TEST(Count(RelayCommandKind::SendHead) == 1U);
  BOOST_TEST(Count(RelayCommandKind::SendEvent) == 2U);
  BOOST_TEST(Count(RelayCommandKind::EndStream) == 1U);
  BOOST_TEST(mMachine.Loads().Work("d1").mRequests == 0U);
}

BOOST_AUTO_TEST_CASE(ABrokenStreamIsNotEndedAsComplete)
{
  List(
    { Upstream("d1", RelayStage::Decode), Upstream("d2", RelayStage::Decode) });
  const auto id = Arrive(Route(RouteKind::Stream, 2));
  const RelayCommand stream = Call(id);
  Event(stream, 1);
  End(stream, Broken());
  BOOST_TEST(Count(RelayCommandKind::StartCall) == 1U);
  BOOST_TEST(Count(RelayCommandKind::EndStream) == 0U);
  BOOST_TEST(Count(RelayCommandKind::AbortStream) == 1U);
}

BOOST_AUTO_TEST_CASE(ABrokenStreamResumesElsewhereAfterTheLastEvent)
{
  List(
    { Upstream("d1", RelayStage::Decode), Upstream("d2", RelayStage::Decode) });
  const auto id = Arrive(Route(RouteKind::Stream, 2, true));
  const RelayCommand first = Call(id);
  Event(first, 1);
  Event(first, 2);
  End(first, Broken());
  const RelayCommand second = Call(id);
  BOOST_TEST(second.mUpstream != first.mUpstream);
  BOOST_TEST(second.mLastEventId == 2U);
  Event(second, 2); // The engine sends it again, but the caller already has it.
  Event(second, 3);
  End(second, Responded(200));
  BOOST_TEST(Count(RelayCommandKind::SendHead) == 1U);
  BOOST_TEST(Count(RelayCommandKind::SendEvent) == 3U);
  BOOST_TEST(Count(RelayCommandKind::EndStream) == 1U);
}

BOOST_AUTO_TEST_CASE(AHandleIsReusedAfterItsDecodeEngineCrashed)
{
  // A decode engine crashes while a prefill engine reads the prompt for it. The
  // prefill result must not be lost.
  List({ Upstream("d1", RelayStage::Decode),
         Upstream("d2", RelayStage::Decode),
         Upstream("f1", RelayStage::Prefill) });
  const auto id = Arrive(Route(RouteKind::Stream, 1));
  End(Call(id), Prefilled("h"));
  const RelayCommand first = Call(id, false);
  End(first, NotConnected());
  const RelayCommand second = Call(id);
  BOOST_TEST(second.mUpstream != first.mUpstream);
  BOOST_TEST(second.mHandle == "h");
  BOOST_TEST(mMachine.Counters().mPrefills == 1U);
}

BOOST_AUTO_TEST_CASE(AfterAnExpiredHandleTheEngineReadsThePromptItself)
{
  List({ Upstream("d1", RelayStage::Decode),
         Upstream("f1", RelayStage::Prefill) });
  const auto id = Arrive(Route(RouteKind::Stream, 1));
  End(Call(id), Prefilled("h"));
  End(Call(id), NotRun());
  const RelayCommand again = Call(id);
  BOOST_TEST(again.mUpstream == "d1");
  BOOST_TEST(again.mHandle.empty());
  BOOST_TEST(Count(RelayCommandKind::ReleaseHandle) == 1U);
}

BOOST_AUTO_TEST_CASE(AFullFleetMakesRequestsWaitInsteadOfUsingLostEngines)
{
  // A third of the engines is lost during a burst. Requests must wait instead
  // of being sent to the lost engines.
  List(
    { Upstream("d1", RelayStage::Decode), Upstream("d2", RelayStage::Decode) });
  mMachine.Loads().OnGone("d2", mNow);
  for (int n = 0; n < 20; ++n) {
    Arrive(Route(RouteKind::Stream, 1));
  }
  BOOST_TEST(mMachine.Loads().Work("d2").mRequests == 0U);
  BOOST_TEST(mMachine.Loads().Work("d1").mTokens <= 40000U);
  BOOST_TEST(mMachine.WaitingRequestCount() > 0U);
}

BOOST_AUTO_TEST_CASE(RequestsThatCanBeInTimeGoBeforeLateOnes)
{
  // A burst needs twice the memory that the engines have. A late request must
  // not take capacity from one that can still be in time.
  List({ Upstream("d1", RelayStage::Decode) });
  const auto first = Arrive(Route(RouteKind::Stream, 1));
  while (mMachine.WaitingRequestCount() == 0) {
    Arrive(Route(RouteKind::Stream, 1));
  }
  const std::uint64_t late = mLastId;
  Advance(800ms);
  const auto inTime = Arrive(Route(RouteKind::Stream, 1));
  BOOST_TEST(mMachine.WaitingRequestCount() == 2U);
  const RelayCommand call = Call(first);
  End(call, Responded(200));
  BOOST_TEST(Call(inTime).mId == inTime);
  BOOST_TEST(mMachine.WaitingRequestCount() == 1U);
  BOOST_TEST(late != inTime);
}

BOOST_AUTO_TEST_CASE(LateRequestsWaitForThoseOfOtherVmsThatCanBeInTime)
{
  // A burst over many VMs needs twice the memory of all engines, so each VM has
  // a few waiting requests. A late request must not take memory from a request
  // of another VM that can still be in time.
  List({ Upstream("d1", RelayStage::Decode) });
  const auto first = Arrive(Route(RouteKind::Stream, 1));
  while (mMachine.WaitingRequestCount() == 0) {
    Arrive(Route(RouteKind::Stream, 1));
  }
  const std::uint64_t late = mLastId;
  Advance(800ms);
  BOOST_TEST(mMachine.ClassifyWaiting(mNow)["engines"].mInTime == 0U);
  mMachine.Loads().OnPeerWaiting("vm2", { { "engines", { 3, 0 } } });
  End(Call(first), Responded(200));
  BOOST_TEST(mMachine.WaitingRequestCount() == 1U);
  mMachine.Loads().OnPeerWaiting("vm2", {});
  RelayCommands out;
  mMachine.OnPeerWork("vm2", {}, mNow, out);
  Append(std::move(out));
  BOOST_TEST(mMachine.WaitingRequestCount() == 0U);
  BOOST_TEST(Call(late).mId == late);
}

BOOST_AUTO_TEST_CASE(VmsShareTheCapacityThatAllOfThemSee)
{
  // An engine comes back while requests wait at six VMs. Each VM may use only
  // its fraction of the new capacity, or together they overload the engine.
  List({ Upstream("d1", RelayStage::Decode) });
  RelayCommands out;
  mMachine.OnPeerWork("vm2", { { "d1", { 10, 40000 } } }, mNow, out);
  for (int n = 0; n < 10; ++n) {
    Arrive(Route(RouteKind::Stream, 1));
  }
  BOOST_TEST(mMachine.WaitingRequestCount() == 10U);
  mMachine.Loads().OnPeerWaiting("vm2", { { "engines", { 50, 0 } } });
  mMachine.OnPeerWork("vm2", {}, mNow, out);
  Append(std::move(out));
  BOOST_TEST(mMachine.Loads().OwnWork().at("d1").mRequests <= 3U);
}

BOOST_AUTO_TEST_CASE(MemoryIsReservedBeforePrefillIfLoadReportsAreOld)
{
  // With 64 VMs load reports are a second old, so several VMs may choose the
  // same engine at once.
  List({ Upstream("d1", RelayStage::Decode),
         Upstream("d2", RelayStage::Decode),
         Upstream("f1", RelayStage::Prefill) });
  mMachine.Loads().SetPeerLoadAge(1s);
  const auto id = Arrive(Route(RouteKind::Stream, 1));
  const RelayCommand first = Call(id);
  BOOST_TEST((first.mCallKind == RelayCallKind::Reserve));
  BOOST_TEST(first.mMemoryTokens == 4000U); // With its whole output.
  End(first, Responded(503)); // Other VMs' requests took the memory.
  const RelayCommand second = Call(id);
  BOOST_TEST((second.mCallKind == RelayCallKind::Reserve));
  BOOST_TEST(second.mUpstream != first.mUpstream);
  BOOST_TEST(mMachine.Counters().mPrefills == 0U);
  End(second, Reserved("k"));
  const RelayCommand prefill = Call(id);
  BOOST_TEST((prefill.mCallKind == RelayCallKind::Prefill));
  End(prefill, Prefilled("h"));
  const RelayCommand stream = Call(id);
  BOOST_TEST(stream.mUpstream == second.mUpstream);
  BOOST_TEST(stream.mReservation == "k");
  BOOST_TEST(stream.mHandle == "h");
  End(stream, Responded(200));
  BOOST_TEST(Count(RelayCommandKind::EndStream) == 1U);
  BOOST_TEST(Count(RelayCommandKind::ReleaseReservation) == 0U);
}

BOOST_AUTO_TEST_CASE(AnUnusedReservationIsFreed)
{
  List({ Upstream("d1", RelayStage::Decode),
         Upstream("f1", RelayStage::Prefill) });
  mMachine.Loads().SetPeerLoadAge(1s);
  const auto id = Arrive(Route(RouteKind::Stream, 1));
  End(Call(id), Reserved("k"));
  Call(id);
  RelayCommands out;
  mMachine.OnCallerDisconnected(id, mNow, out);
  Append(std::move(out));
  BOOST_TEST(Count(RelayCommandKind::ReleaseReservation) == 1U);
  BOOST_TEST(mMachine.Loads().OwnWork().empty());
  BOOST_TEST(mPolicy.mRefunds == 1); // The request did not run.
}

BOOST_AUTO_TEST_CASE(ARetryIsCountedWhenItIsSent)
{
  // Engines lose prefill results while all of them are full. A retry that waits
  // for capacity counts in the window in which it is sent.
  mMachine.SetRetryBudget({ 0, 1, 10s });
  List({ Upstream("d1", RelayStage::Decode),
         Upstream("f1", RelayStage::Prefill) });
  const auto id = Arrive(Route(RouteKind::Stream, 1));
  End(Call(id), Prefilled("h"));
  RelayCommands out;
  mMachine.OnPeerWork("vm2", { { "d1", { 9, 37000 } } }, mNow, out);
  End(Call(id), NotRun());
  BOOST_TEST(mMachine.WaitingRequestCount() == 1U);
  BOOST_TEST(mMachine.Counters().mRetriesSent == 0U);
  Advance(600ms); // The result expires, and the engine is no longer avoided.
  mMachine.OnPeerWork("vm2", {}, mNow, out);
  Append(std::move(out));
  BOOST_TEST(mMachine.Counters().mRetriesSent == 1U);
  BOOST_TEST(Call(id).mHandle.empty());
}

BOOST_AUTO_TEST_CASE(TheSendAfterAFailedPrefillIsARetry)
{
  // Prefill engines reset connections. A prefill without a response counts as a
  // send of the request, so the next send is a retry.
  for (const bool reset : { true, false }) {
    for (const double budget : { 0.0, 1.0 }) {
      RelayFixture one;
      one.mMachine.SetRetryBudget({ 0, budget, 10s });
      one.List({ Upstream("d1", RelayStage::Decode),
                 Upstream("f1", RelayStage::Prefill) });
      const auto id = one.Arrive(Route(RouteKind::Stream, 1));
      one.End(one.Call(id), reset ? Broken() : NotRun());
      const bool isRetried = budget > 0;
      BOOST_TEST(one.mMachine.Counters().mRetriesSent == (isRetried ? 1U : 0U));
      BOOST_TEST(one.Count(RelayCommandKind::StartCall) ==
                 (isRetried ? 2U : 1U));
      if (!isRetried) {
        BOOST_TEST((one.OnlyRefusal().mVerdict == RunVerdict::NotRun));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesFreesItsResources)
{
  List({ Upstream("d1", RelayStage::Decode),
         Upstream("f1", RelayStage::Prefill) });
  const auto id = Arrive(Route(RouteKind::Stream, 1));
  Call(id);
  RelayCommands out;
  mMachine.OnCallerDisconnected(id, mNow, out);
  Append(std::move(out));
  BOOST_TEST(Count(RelayCommandKind::CancelCall) == 1U);
  BOOST_TEST(Count(RelayCommandKind::SendRefusal) == 0U);
  BOOST_TEST(mMachine.Loads().OwnWork().empty());
  BOOST_TEST(mMachine.OpenRequestCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// Runs random requests and call ends, and checks the invariants stated in the
/// head comment of RelayStateMachine.h.
class RandomWorkload : public RelayFixture
{
public:
  void Step()
  {
    const int action = *rc::gen::inRange(0, 13);
    if (action < 3) {
      ArriveSome();
    } else if (action >= 10 && !mOpen.empty()) {
      SendSomeEvent();
    } else if (action < 9 && !mOpen.empty()) {
      EndSome();
    } else if (action == 9) {
      Advance(std::chrono::milliseconds(*rc::gen::inRange(1, 3000)));
    }
    CheckCommands();
  }

  /// Advances past all deadlines, and checks that no request is left.
  void Finish()
  {
    Advance(20s);
    CheckCommands();
    RC_ASSERT(mMachine.OpenRequestCount() == 0U);
    RC_ASSERT(mMachine.Loads().OwnWork().empty());
    for (const auto& [id, finalCommands] : mFinalCommands) {
      RC_ASSERT(finalCommands == 1);
    }
  }

private:
  struct RequestRecord
  {
    std::shared_ptr<const RelayRoute> mRoute;
    int mRuns = 0; ///< Sends whose upstream did not state "not run".
    std::uint64_t mEvents = 0;
  };

  void ArriveSome()
  {
    const auto kind = static_cast<RouteKind>(*rc::gen::inRange(0, 3));
    const auto route =
      Route(kind, *rc::gen::inRange(1, 4), *rc::gen::inRange(0, 2) == 1);
    const auto id = mLastId + 1;
    mRecords[id].mRoute = route;
    Arrive(route, "d" + std::to_string(id));
  }

  void SendSomeEvent()
  {
    const auto n = *rc::gen::inRange<std::size_t>(0, mOpen.size());
    const RelayCommand call = mOpen[n];
    if (call.mCallKind == RelayCallKind::Stream &&
        mMachine.MayStillSend(call.mId, call.mAttempt, mNow)) {
      Event(call, ++mRecords[call.mId].mEvents);
    }
  }

  void EndSome()
  {
    const auto n = *rc::gen::inRange<std::size_t>(0, mOpen.size());
    const RelayCommand call = mOpen[n];
    Drop(call);
    RequestRecord& record = mRecords[call.mId];
    const int how = *rc::gen::inRange(0, 6);
    if (how == 0) {
      End(call, NotConnected());
      return;
    }
    if (!mMachine.MayStillSend(call.mId, call.mAttempt, mNow)) {
      mOpen.push_back(call);
      return;
    }
    const bool run = RunsRequest(call.mCallKind);
    if (how == 1) {
      End(call, NotRun(*rc::gen::inRange(0, 2) == 0 ? 503 : 421));
      return;
    }
    record.mRuns += run ? 1 : 0;
    if (run && !record.mRoute->IsRetryable()) {
      RC_ASSERT(record.mRuns <= 1);
    }
    if (how == 2) {
      End(call, Broken());
    } else if (how == 3) {
      End(call, Responded(500));
    } else if (run) {
      End(call, Responded(200));
    } else if (call.mCallKind == RelayCallKind::Reserve) {
      End(call, Reserved("k"));
    } else {
      End(call, Prefilled("h"));
    }
  }

  /// Checks the commands of the last step.
  void CheckCommands()
  {
    for (const RelayCommand& it : mCommands) {
      CheckCommand(it);
    }
    mCommands.clear();
  }

  void CheckCommand(const RelayCommand& aCommand)
  {
    const RequestRecord& record = mRecords[aCommand.mId];
    switch (aCommand.mKind) {
      case RelayCommandKind::StartCall:
        mOpen.push_back(aCommand);
        CheckOpenCalls(record, aCommand);
        break;
      case RelayCommandKind::CancelCall:
        RC_ASSERT(Drop(aCommand));
        break;
      case RelayCommandKind::Forget:
        RC_ASSERT(CallsOf(aCommand.mId).empty());
        break;
      case RelayCommandKind::SendRefusal:
        if (aCommand.mRefusal->mVerdict == RunVerdict::NotRun) {
          RC_ASSERT(record.mRuns == 0);
        }
        ++mFinalCommands[aCommand.mId];
        break;
      case RelayCommandKind::SendResponse:
      case RelayCommandKind::EndStream:
      case RelayCommandKind::AbortStream:
        ++mFinalCommands[aCommand.mId];
        break;
      default:
        break;
    }
  }

  /// Checks that a call is the only one of its request, or a second one that
  /// may be open beside the first.
  void CheckOpenCalls(const RequestRecord& aRecord, const RelayCommand& aCall)
  {
    const std::vector<RelayCommand> open = CallsOf(aCall.mId);
    if (open.size() == 1) {
      return;
    }
    RC_ASSERT(open.size() == 2U);
    RC_ASSERT(aRecord.mRoute->IsRetryable());
    const RelayCallKind first = open[0].mCallKind;
    const bool isStream = first == RelayCallKind::Stream;
    RC_ASSERT(isStream || first == RelayCallKind::Whole);
    const RelayCallKind second = aCall.mCallKind;
    RC_ASSERT(second == first ||
              (isStream && second == RelayCallKind::Reserve));
    RC_ASSERT(open[0].mUpstream != aCall.mUpstream);
  }

  std::vector<RelayCommand> CallsOf(std::uint64_t aId) const
  {
    std::vector<RelayCommand> calls;
    std::copy_if(mOpen.begin(),
                 mOpen.end(),
                 std::back_inserter(calls),
                 [&](const auto& aIt) { return aIt.mId == aId; });
    return calls;
  }

  /// Removes a call from the open ones. Returns whether it was open.
  bool Drop(const RelayCommand& aCall)
  {
    const auto it =
      std::find_if(mOpen.begin(), mOpen.end(), [&](const auto& aIt) {
        return aIt.mId == aCall.mId && aIt.mAttempt == aCall.mAttempt;
      });
    const bool wasOpen = it != mOpen.end();
    if (wasOpen) {
      mOpen.erase(it);
    }
    return wasOpen;
  }

  std::map<std::uint64_t, RequestRecord> mRecords;
  std::map<std::uint64_t, int> mFinalCommands;
  std::vector<RelayCommand> mOpen;
};

} // namespace

RC_BOOST_PROP(InvariantsHoldForRandomUpstreamBehaviour, ())
{
  RandomWorkload workload;
  workload.List({ RelayFixture::Upstream("p1", RelayStage::Plain),
                  RelayFixture::Upstream("p2", RelayStage::Plain, "b"),
                  RelayFixture::Upstream("d1", RelayStage::Decode),
                  RelayFixture::Upstream("d2", RelayStage::Decode, "b"),
                  RelayFixture::Upstream("f1", RelayStage::Prefill) });
  workload.mMachine.Loads().SetPeerLoadAge(Duration(*rc::gen::inRange(0, 2)));
  const int steps = *rc::gen::inRange(1, 120);
  for (int n = 0; n < steps; ++n) {
    workload.Step();
  }
  workload.Finish();
}
