/// Tests requests whose upstream sends nothing for a while. An upstream in good
/// order may be silent for a second or so and then continue.
#define BOOST_TEST_MODULE SilentUpstream
#include <Peridothoist/Peridothoist.h>
#include <Relay/RelayFixture.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

/// An upstream in good order may be silent for this long.
constexpr Duration kShortSilence = 1200ms;

/// After this, another upstream is tried.
const Duration kLongSilence =
  RelayStateMachineSettings().mEventGapTimeout + 300ms;

/// A resumable stream whose first engine has sent one event, with a second
/// engine beside it.
class SilentStream : public RelayFixture
{
public:
  SilentStream()
  {
    List({ Upstream("d1", RelayStage::Decode),
           Upstream("d2", RelayStage::Decode) });
    mId = Arrive(Route(RouteKind::Stream, 2, true));
    mFirst = Call(mId);
    Event(mFirst, 1);
  }

  /// Returns the call to the second engine, if there is one.
  std::optional<RelayCommand> CallToOther() const
  {
    const auto it = std::find_if(
      mCommands.rbegin(), mCommands.rend(), [this](const auto& aCommand) {
        return aCommand.mKind == RelayCommandKind::StartCall &&
               aCommand.mUpstream != mFirst.mUpstream;
      });
    return it == mCommands.rend() ? std::nullopt : std::optional(*it);
  }

  /// Lets the second engine refuse for lack of capacity, if it is called.
  void RefuseAtOther()
  {
    const auto other = CallToOther();
    if (other) {
      BOOST_REQUIRE(mMachine.MayStillSend(mId, other->mAttempt, mNow));
      End(*other, NotRun());
    }
  }

  /// Lets the first engine continue and end the stream.
  void ContinueAtFirst()
  {
    Event(mFirst, 2);
    End(mFirst, Responded(200));
  }

  void CheckComplete() const
  {
    BOOST_TEST(Count(RelayCommandKind::AbortStream) == 0U);
    BOOST_TEST(Count(RelayCommandKind::SendHead) == 1U);
    BOOST_TEST(Count(RelayCommandKind::SendEvent) == 2U);
    BOOST_TEST(Count(RelayCommandKind::EndStream) == 1U);
    BOOST_TEST(mMachine.OpenRequestCount() == 0U);
  }

  std::uint64_t mId = 0;
  RelayCommand mFirst;
};

} // namespace

// Guards against streams that are moved from engines in good order, which may
// still generate them when the other engine does.
BOOST_FIXTURE_TEST_CASE(AStreamStaysDuringAShortSilence, SilentStream)
{
  Advance(kShortSilence);
  BOOST_TEST(!CallToOther().has_value());
  ContinueAtFirst();
  CheckComplete();
}

// Guards against streams cut because no other engine takes them over.
BOOST_FIXTURE_TEST_CASE(AStreamSurvivesSilenceWhileOtherEnginesAreFull,
                        SilentStream)
{
  Advance(kLongSilence);
  RefuseAtOther();
  ContinueAtFirst();
  CheckComplete();
}

// Guards against streams cut because a retry would be refused.
BOOST_FIXTURE_TEST_CASE(AStreamSurvivesSilenceAfterItsKeyWasWithdrawn,
                        SilentStream)
{
  mPolicy.mRefusal = RefusalKind::KeyWithdrawn;
  Advance(kLongSilence);
  ContinueAtFirst();
  CheckComplete();
}

// Guards against streams cut because the other engine is gone.
BOOST_FIXTURE_TEST_CASE(AStreamSurvivesSilenceWhileTheOtherEngineIsGone,
                        SilentStream)
{
  Advance(kLongSilence);
  for (int n = 0; n < 2 && CallToOther(); ++n) {
    const RelayCommand other = *CallToOther();
    if (Count(RelayCommandKind::Forget) == 0) {
      End(other, NotConnected());
    }
  }
  ContinueAtFirst();
  CheckComplete();
}

// Guards against streams that stay at an engine that is lost without a trace.
BOOST_FIXTURE_TEST_CASE(ASilentStreamMovesToAnEngineThatSendsAnEvent,
                        SilentStream)
{
  Advance(kLongSilence);
  const RelayCommand reserve = Call(mId);
  BOOST_TEST((reserve.mCallKind == RelayCallKind::Reserve));
  BOOST_TEST(reserve.mMemoryTokens == 4000U); // With its whole output.
  BOOST_TEST(Count(RelayCommandKind::CancelCall) == 0U);
  End(reserve, Reserved("k"));
  BOOST_TEST(Count(RelayCommandKind::CancelCall) == 0U);
  const RelayCommand second = Call(mId);
  BOOST_TEST((second.mCallKind == RelayCallKind::Stream));
  BOOST_TEST(second.mUpstream != mFirst.mUpstream);
  BOOST_TEST(second.mReservation == "k");
  BOOST_TEST(second.mLastEventId == 1U);
  Event(second, 2);
  BOOST_TEST(Count(RelayCommandKind::CancelCall) == 1U);
  End(second, Responded(200));
  CheckComplete();
  BOOST_TEST(mMachine.Loads().OwnWork().empty());
}

namespace {

/// A silent stream for which another engine has reserved capacity and is
/// called.
class ResumedStream : public SilentStream
{
public:
  ResumedStream()
  {
    Advance(kLongSilence);
    End(Call(mId), Reserved("k"));
    mSecond = Call(mId, false);
    BOOST_REQUIRE((mSecond.mCallKind == RelayCallKind::Stream));
  }

  /// Ends the second call after its bytes were sent.
  void EndSecond(RelayCallEnd aEnd)
  {
    BOOST_REQUIRE(mMachine.MayStillSend(mId, mSecond.mAttempt, mNow));
    End(mSecond, std::move(aEnd));
  }

  /// Checks that the first engine can continue and end the stream.
  void CheckFirstContinues()
  {
    BOOST_TEST(Count(RelayCommandKind::AbortStream) == 0U);
    ContinueAtFirst();
    CheckComplete();
    BOOST_TEST(mMachine.Loads().OwnWork().empty());
  }

  RelayCommand mSecond;
};

} // namespace

// Guards against streams cut because the engine that granted a reservation
// rejects the stream all the same.
BOOST_FIXTURE_TEST_CASE(AStreamSurvivesARejectionAfterAReservation,
                        ResumedStream)
{
  EndSecond(NotRun());
  CheckFirstContinues();
}

// Guards against streams cut because another process is at the engine's
// address.
BOOST_FIXTURE_TEST_CASE(AStreamSurvivesAnotherProcessAtTheOtherEngine,
                        ResumedStream)
{
  EndSecond(NotRun(421));
  CheckFirstContinues();
}

// Guards against streams cut because the other engine is gone after all.
BOOST_FIXTURE_TEST_CASE(AStreamSurvivesTheLossOfTheOtherEngine, ResumedStream)
{
  End(mSecond, NotConnected());
  CheckFirstContinues();
}

// Guards against streams cut because the other engine breaks the stream off.
BOOST_FIXTURE_TEST_CASE(AStreamSurvivesABreakAtTheOtherEngine, ResumedStream)
{
  EndSecond(Broken());
  CheckFirstContinues();
}

// Guards against streams cut because the key is withdrawn before the retry's
// bytes are sent.
BOOST_FIXTURE_TEST_CASE(AStreamSurvivesAWithheldRetry, ResumedStream)
{
  mPolicy.mRefusal = RefusalKind::KeyWithdrawn;
  BOOST_TEST(!mMachine.MayStillSend(mId, mSecond.mAttempt, mNow));
  RelayCallEnd end = NotConnected();
  end.mOutcome.mEnd = CallEnd::Withheld;
  End(mSecond, end);
  CheckFirstContinues();
}

// Guards against two engines generating the same stream.
BOOST_FIXTURE_TEST_CASE(ARetryEndsWhenTheFirstEngineContinues, ResumedStream)
{
  BOOST_REQUIRE(mMachine.MayStillSend(mId, mSecond.mAttempt, mNow));
  Event(mFirst, 2);
  BOOST_TEST(Count(RelayCommandKind::CancelCall) == 1U);
  Event(mSecond, 2); // It was cancelled, so its event is ignored.
  End(mFirst, Responded(200));
  CheckComplete();
  BOOST_TEST(mMachine.Loads().OwnWork().empty());
}

// Guards against streams that end with their first engine although the other
// one has been called.
BOOST_FIXTURE_TEST_CASE(AStreamContinuesAtItsRetryIfTheFirstBreaks,
                        ResumedStream)
{
  BOOST_REQUIRE(mMachine.MayStillSend(mId, mSecond.mAttempt, mNow));
  End(mFirst, Broken());
  Event(mSecond, 2);
  End(mSecond, Responded(200));
  CheckComplete();
  BOOST_TEST(mMachine.Loads().OwnWork().empty());
}

// Guards against a stream that waits for a reservation of its lost engine's
// replacement and is placed twice.
BOOST_FIXTURE_TEST_CASE(AStreamUsesTheReservationMadeBeforeItsEngineBroke,
                        SilentStream)
{
  Advance(kLongSilence);
  const RelayCommand reserve = Call(mId);
  End(mFirst, Broken());
  End(reserve, Reserved("k"));
  const RelayCommand second = Call(mId);
  BOOST_TEST((second.mCallKind == RelayCallKind::Stream));
  BOOST_TEST(second.mReservation == "k");
  Event(second, 2);
  End(second, Responded(200));
  CheckComplete();
  BOOST_TEST(mMachine.Loads().OwnWork().empty());
}

// Guards against two engines generating the same stream.
BOOST_FIXTURE_TEST_CASE(AStreamStaysIfItContinuesBeforeCapacityIsReserved,
                        SilentStream)
{
  Advance(kLongSilence);
  const RelayCommand reserve = Call(mId);
  Event(mFirst, 2);
  End(reserve, Reserved("k"));
  BOOST_TEST(Count(RelayCommandKind::ReleaseReservation) == 1U);
  BOOST_TEST(Count(RelayCommandKind::CancelCall) == 0U);
  BOOST_TEST(mMachine.Counters().mSent == 1U);
  End(mFirst, Responded(200));
  CheckComplete();
  BOOST_TEST(mMachine.Loads().OwnWork().empty());
}

// Guards against calls that outlive their stream.
BOOST_FIXTURE_TEST_CASE(AnOpenReservationEndsWithItsStream, SilentStream)
{
  Advance(kLongSilence);
  Call(mId);
  ContinueAtFirst();
  CheckComplete();
  BOOST_TEST(Count(RelayCommandKind::CancelCall) == 1U);
  BOOST_TEST(mMachine.Loads().OwnWork().empty());
}

// Guards against streams that are given up after a single refusal elsewhere.
BOOST_FIXTURE_TEST_CASE(ATakeoverIsTriedAgainAfterARefusal, SilentStream)
{
  Advance(kLongSilence);
  RefuseAtOther();
  Advance(500ms);
  const RelayCommand again = Call(mId);
  BOOST_TEST((again.mCallKind == RelayCallKind::Reserve));
  End(again, Reserved("k"));
  BOOST_TEST((Call(mId).mCallKind == RelayCallKind::Stream));
  BOOST_TEST(Count(RelayCommandKind::AbortStream) == 0U);
}

namespace {

/// A lookup whose first upstream is silent and that is retried at a second one.
class SilentLookup : public RelayFixture
{
public:
  SilentLookup()
  {
    List(
      { Upstream("p1", RelayStage::Plain), Upstream("p2", RelayStage::Plain) });
    mId = Arrive(Route(RouteKind::Idempotent, 2));
    mFirst = Call(mId);
    Advance(3s);
    mSecond = Call(mId);
    BOOST_REQUIRE(mSecond.mUpstream != mFirst.mUpstream);
  }

  void CheckAnswered() const
  {
    BOOST_TEST(Count(RelayCommandKind::SendResponse) == 1U);
    BOOST_TEST(Count(RelayCommandKind::SendRefusal) == 0U);
    BOOST_TEST(mMachine.OpenRequestCount() == 0U);
  }

  std::uint64_t mId = 0;
  RelayCommand mFirst;
  RelayCommand mSecond;
};

} // namespace

// Guards against lookups that fail because their retry is rejected, although
// the first upstream responds.
BOOST_FIXTURE_TEST_CASE(ASilentLookupSurvivesTheRejectionOfItsRetry,
                        SilentLookup)
{
  End(mSecond, NotRun());
  BOOST_TEST(Count(RelayCommandKind::SendRefusal) == 0U);
  End(mFirst, Responded(200));
  CheckAnswered();
}

// Guards against a status that means "not run" in place of the first response.
BOOST_FIXTURE_TEST_CASE(ASilentLookupSurvivesAFailureOfItsRetry, SilentLookup)
{
  End(mSecond, Responded(429));
  BOOST_TEST(Count(RelayCommandKind::SendRefusal) == 0U);
  End(mFirst, Responded(200));
  CheckAnswered();
}

// Guards against lookups that fail because their retry breaks.
BOOST_FIXTURE_TEST_CASE(ASilentLookupSurvivesItsBrokenRetry, SilentLookup)
{
  End(mSecond, Broken());
  End(mFirst, Responded(200));
  CheckAnswered();
}

// Guards against lookups whose second upstream is not waited for.
BOOST_FIXTURE_TEST_CASE(ALookupContinuesAtItsRetryIfTheFirstBreaks,
                        SilentLookup)
{
  End(mFirst, Broken());
  BOOST_TEST(Count(RelayCommandKind::SendRefusal) == 0U);
  End(mSecond, Responded(200));
  CheckAnswered();
}

// Guards against two responses to one lookup.
BOOST_FIXTURE_TEST_CASE(TheFirstResponseOfTwoUpstreamsIsPassedOn, SilentLookup)
{
  End(mFirst, Responded(200));
  CheckAnswered();
  BOOST_TEST(Count(RelayCommandKind::CancelCall) == 1U);
  End(mSecond, Responded(200));
  CheckAnswered();
}

// Guards against lookups that are never answered when both upstreams fail.
BOOST_FIXTURE_TEST_CASE(ALookupThatFailsTwiceIsRefusedOnce, SilentLookup)
{
  End(mFirst, Broken());
  End(mSecond, Broken());
  BOOST_TEST(OnlyRefusal().Status() == 502);
  BOOST_TEST(mMachine.OpenRequestCount() == 0U);
}

// Guards against calls that go on for a caller who has left.
BOOST_FIXTURE_TEST_CASE(BothCallsEndWhenTheCallerLeaves, SilentLookup)
{
  RelayCommands out;
  mMachine.OnCallerDisconnected(mId, mNow, out);
  Append(std::move(out));
  BOOST_TEST(Count(RelayCommandKind::CancelCall) == 2U);
  BOOST_TEST(mMachine.OpenRequestCount() == 0U);
}

// Guards against streams that are moved to another engine because their own
// caller reads slowly, and against upstreams that never count as silent again.
BOOST_FIXTURE_TEST_CASE(APausedStreamIsNotSilent, SilentStream)
{
  mMachine.OnCallPaused(mId, mFirst.mAttempt, mNow);
  Advance(kLongSilence);
  Advance(kLongSilence);
  BOOST_TEST(!CallToOther().has_value());
  mMachine.OnCallResumed(mId, mFirst.mAttempt, mNow);
  Advance(kShortSilence);
  BOOST_TEST(!CallToOther().has_value());
  Advance(kLongSilence);
  BOOST_TEST(CallToOther().has_value());
}
