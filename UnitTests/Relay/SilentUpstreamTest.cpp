/// Tests streams whose upstream sends nothing for a while. An upstream in good
/// order may be silent for a second or so and then continue.
#define BOOST_TEST_MODULE SilentUpstream
#include <Peridothoist/Peridothoist.h>
#include <Relay/RelayFixture.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

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

// Guards against streams cut because no other engine takes them over.
BOOST_FIXTURE_TEST_CASE(AStreamSurvivesSilenceWhileOtherEnginesAreFull,
                        SilentStream)
{
  Advance(1200ms);
  RefuseAtOther();
  ContinueAtFirst();
  CheckComplete();
}

// Guards against streams cut because a retry would be refused.
BOOST_FIXTURE_TEST_CASE(AStreamSurvivesSilenceAfterItsKeyWasWithdrawn,
                        SilentStream)
{
  mPolicy.mRefusal = RefusalKind::KeyWithdrawn;
  Advance(1200ms);
  ContinueAtFirst();
  CheckComplete();
}

// Guards against streams cut because the other engine is gone.
BOOST_FIXTURE_TEST_CASE(AStreamSurvivesSilenceWhileTheOtherEngineIsGone,
                        SilentStream)
{
  Advance(1200ms);
  for (int n = 0; n < 2 && CallToOther(); ++n) {
    const RelayCommand other = *CallToOther();
    if (Count(RelayCommandKind::Forget) == 0) {
      End(other, NotConnected());
    }
  }
  ContinueAtFirst();
  CheckComplete();
}
