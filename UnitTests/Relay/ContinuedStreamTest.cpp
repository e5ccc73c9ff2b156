/// Tests calls that go on with a stream of which the caller has a part already.
/// Whatever the next upstream answers, the caller gets the events that follow,
/// or an end that is visibly incomplete (ORDER, MIXED).
#define BOOST_TEST_MODULE ContinuedStream
#include <Peridothoist/Peridothoist.h>
#include <Relay/RelayFixture.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

/// A resumable stream that broke off after its fourth event, with the call that
/// goes on with it at another engine.
class ContinuedStream : public RelayFixture
{
public:
  ContinuedStream()
  {
    List({ Upstream("d1", RelayStage::Decode),
           Upstream("d2", RelayStage::Decode) });
    mId = Arrive(Route(RouteKind::Stream, 2, true));
    const RelayCommand first = Call(mId);
    Head(first, 200, "text/event-stream");
    for (std::uint64_t event = 1; event <= 4; ++event) {
      Event(first, event);
    }
    End(first, Broken());
    mNext = Call(mId);
    TakeCommands();
  }

  void Head(const RelayCommand& aCall, int aStatus, const std::string& aType)
  {
    RelayResponse head;
    head.mStatus = aStatus;
    head.mHeaders["content-type"] = aType;
    mMachine.OnStreamHead(aCall.mId, aCall.mAttempt, head);
  }

  void EventWithoutId(const RelayCommand& aCall)
  {
    RelayCommands out;
    mMachine.OnEvent(
      aCall.mId, aCall.mAttempt, { std::nullopt, "error\n\n" }, mNow, out);
    Append(std::move(out));
  }

  /// Checks that nothing of the response has reached the caller, and that its
  /// stream has ended incomplete.
  void CheckIncomplete() const
  {
    BOOST_TEST(Count(RelayCommandKind::SendEvent) == 0U);
    BOOST_TEST(Count(RelayCommandKind::EndStream) == 0U);
    BOOST_TEST(Count(RelayCommandKind::SendResponse) == 0U);
    BOOST_TEST(Count(RelayCommandKind::AbortStream) == 1U);
  }

  std::uint64_t mId = 0;
  RelayCommand mNext;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Continued, ContinuedStream)

BOOST_AUTO_TEST_CASE(TheEventsThatFollowArePassedOn)
{
  Head(mNext, 200, "text/event-stream");
  Event(mNext, 4); // The caller has it.
  Event(mNext, 5);
  End(mNext, Responded(200));
  BOOST_TEST(Count(RelayCommandKind::SendEvent) == 1U);
  BOOST_TEST(Count(RelayCommandKind::EndStream) == 1U);
}

BOOST_AUTO_TEST_CASE(AStreamThatBrokeOffAfterItsLastEventEnds)
{
  Head(mNext, 200, "text/event-stream");
  End(mNext, Responded(200));
  BOOST_TEST(Count(RelayCommandKind::EndStream) == 1U);
}

// Guards against events that are missing in the middle of a stream.
BOOST_AUTO_TEST_CASE(AnEventThatDoesNotFollowIsNotPassedOn)
{
  Head(mNext, 200, "text/event-stream");
  Event(mNext, 99);
  CheckIncomplete();
}

// Guards against a success that is no stream, or another part of one.
BOOST_AUTO_TEST_CASE(AResponseOfAnotherKindIsNotPassedOn)
{
  Head(mNext, 200, "application/json");
  Event(mNext, 5);
  CheckIncomplete();
}

BOOST_AUTO_TEST_CASE(AResponseWithAnotherStatusIsNotPassedOn)
{
  Head(mNext, 206, "text/event-stream");
  Event(mNext, 5);
  CheckIncomplete();
}

// Guards against a stream that ends as if it were complete.
BOOST_AUTO_TEST_CASE(AnEmptyResponseOfAnotherKindDoesNotEndTheStream)
{
  Head(mNext, 200, "application/json");
  End(mNext, Responded(200));
  CheckIncomplete();
}

BOOST_AUTO_TEST_CASE(AnErrorTextDoesNotEndTheStream)
{
  Head(mNext, 200, "text/event-stream");
  EventWithoutId(mNext);
  End(mNext, Responded(200));
  CheckIncomplete();
}

BOOST_AUTO_TEST_CASE(AnErrorDoesNotEndTheStream)
{
  for (const int status : { 302, 404, 500, 503 }) {
    ContinuedStream stream;
    stream.End(stream.mNext, Responded(status));
    stream.CheckIncomplete();
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Larger, RelayFixture)

// Guards against continuations that are rejected where ids grow by more than 1.
BOOST_AUTO_TEST_CASE(IdsMayGrowByTheStepThatTheyHad)
{
  List(
    { Upstream("d1", RelayStage::Decode), Upstream("d2", RelayStage::Decode) });
  const auto id = Arrive(Route(RouteKind::Stream, 2, true));
  const RelayCommand first = Call(id);
  Event(first, 15);
  Event(first, 30);
  End(first, Broken());
  Event(Call(id), 45);
  BOOST_TEST(Count(RelayCommandKind::SendEvent) == 3U);
}

// Guards against a silent stream that is given up for a response that does not
// continue it.
BOOST_AUTO_TEST_CASE(ASilentStreamStaysWhenTheOtherDoesNotContinueIt)
{
  List(
    { Upstream("d1", RelayStage::Decode), Upstream("d2", RelayStage::Decode) });
  const auto id = Arrive(Route(RouteKind::Stream, 2, true));
  const RelayCommand first = Call(id);
  Event(first, 1);
  Advance(RelayStateMachineSettings().mEventGapTimeout + 300ms);
  RelayCommand other = Call(id);
  if (other.mCallKind == RelayCallKind::Reserve) {
    End(other, Reserved("h"));
    other = Call(id);
  }
  BOOST_REQUIRE(other.mUpstream != first.mUpstream);
  Event(other, 99);
  Event(first, 2);
  End(first, Responded(200));
  BOOST_TEST(Count(RelayCommandKind::SendEvent) == 2U);
  BOOST_TEST(Count(RelayCommandKind::EndStream) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
