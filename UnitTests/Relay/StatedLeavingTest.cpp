/// Tests upstreams that state in a response that they leave. The list may still
/// say that they are ready.
#define BOOST_TEST_MODULE StatedLeaving
#include <Peridothoist/Peridothoist.h>
#include <Relay/RelayFixture.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

/// A machine with plain upstreams of known incarnations.
class LeavingFixture : public RelayFixture
{
public:
  static RelayUpstream Started(const std::string& aId,
                               std::uint64_t aIncarnationId,
                               RelayStage aStage = RelayStage::Plain)
  {
    RelayUpstream upstream = Upstream(aId, aStage);
    upstream.mIncarnationId = aIncarnationId;
    return upstream;
  }

  bool StateLeaving(const std::string& aId, std::uint64_t aIncarnationId)
  {
    return mMachine.OnLeavingStated({ aId, aIncarnationId }, mNow);
  }

  bool Accepts(const std::string& aId) const
  {
    return mMachine.ListedUpstreams().AcceptsRequests(aId);
  }
};

} // namespace

// Guards against requests that reach an upstream after it stated its leaving
// (DRAIN).
BOOST_FIXTURE_TEST_CASE(AnUpstreamThatStatesItsLeavingIsNotChosen,
                        LeavingFixture)
{
  List({ Started("u1", 7), Started("u2", 7) });
  BOOST_TEST(StateLeaving("u1", 7));
  BOOST_TEST(!StateLeaving("u1", 7)); // Known.
  for (int n = 0; n < 5; ++n) {
    const auto id = Arrive(Route(RouteKind::Idempotent, 2));
    BOOST_TEST(Call(id).mUpstream == "u2");
  }
}

// Guards against a request that was chosen before the statement and whose
// connection is made after it.
BOOST_FIXTURE_TEST_CASE(AChosenRequestIsWithheldAndSentElsewhere,
                        LeavingFixture)
{
  List({ Started("u1", 7) });
  const auto id = Arrive(Route(RouteKind::NonIdempotent, 1));
  const RelayCommand call = Call(id, false);
  List({ Started("u1", 7), Started("u2", 7) });
  StateLeaving("u1", 7);
  BOOST_TEST(!mMachine.MayStillSend(id, call.mAttempt, mNow));
  RelayCallEnd withheld = NotConnected();
  withheld.mOutcome.mEnd = CallEnd::Withheld;
  End(call, withheld);
  BOOST_TEST(Call(id).mUpstream == "u2");
}

// Guards against a decode engine that is used because it was chosen before its
// prompt was read.
BOOST_FIXTURE_TEST_CASE(ADecodeEngineThatLeavesDuringThePrefillIsNotUsed,
                        LeavingFixture)
{
  List({ Started("p1", 7, RelayStage::Prefill),
         Started("d1", 7, RelayStage::Decode) });
  const auto id = Arrive(Route(RouteKind::Stream, 2));
  const RelayCommand prefill = Call(id);
  BOOST_REQUIRE((prefill.mCallKind == RelayCallKind::Prefill));
  List({ Started("p1", 7, RelayStage::Prefill),
         Started("d1", 7, RelayStage::Decode),
         Started("d2", 7, RelayStage::Decode) });
  StateLeaving("d1", 7);
  End(prefill, Prefilled("h"));
  BOOST_TEST(Call(id).mUpstream == "d2");
}

// Guards against a list that brings an upstream back, whether it is older than
// the statement or goes on to say that the upstream is ready.
BOOST_FIXTURE_TEST_CASE(NoListBringsALeavingUpstreamBack, LeavingFixture)
{
  List({ Started("u1", 7), Started("u2", 7) });
  StateLeaving("u1", 7);
  List({ Started("u1", 7), Started("u2", 7) });
  BOOST_TEST(!Accepts("u1"));
  RelayCommands out;
  mMachine.OnPeerList({ { Started("u1", 7), false } }, mNow - 5s, mNow, out);
  BOOST_TEST(!Accepts("u1"));
  List({ Started("u2", 7) });
  List({ Started("u1", 7), Started("u2", 7) }); // Dropped and restored.
  BOOST_TEST(!Accepts("u1"));
}

// Guards against a process that is kept out for what the one before it stated.
BOOST_FIXTURE_TEST_CASE(ANewProcessWithTheSameIdIsUsed, LeavingFixture)
{
  List({ Started("u1", 7) });
  StateLeaving("u1", 7);
  List({ Started("u1", 8) });
  BOOST_TEST(Accepts("u1"));
  // A late response of the one before.
  StateLeaving("u1", 7);
  BOOST_TEST(Accepts("u1"));
  // Without incarnation ids a restart shows by the missing entry.
  List({ Started("u2", 0) });
  StateLeaving("u2", 0);
  BOOST_TEST(!Accepts("u2"));
  List({});
  List({ Started("u2", 0) });
  BOOST_TEST(Accepts("u2"));
}

// Guards against peers that send requests which their own responses do not
// forbid yet.
BOOST_FIXTURE_TEST_CASE(StatementsOfOtherVmsCount, LeavingFixture)
{
  List({ Started("u1", 7), Started("u2", 7) });
  const auto added =
    mMachine.OnPeerLeaving({ { "u1", 7 }, { "gone", 0 } }, mNow);
  BOOST_REQUIRE(added.size() == 1U);
  BOOST_TEST(added.front().mUpstream == "u1");
  BOOST_TEST(!Accepts("u1"));
  // What peers said is not reported on as this VM's own.
  BOOST_TEST(mMachine.ListedUpstreams().OwnLeaving(mNow).empty());
  StateLeaving("u1", 7);
  BOOST_TEST(mMachine.ListedUpstreams().OwnLeaving(mNow).size() == 1U);
  const Duration period = UpstreamListSettings().mStatementReportPeriod;
  BOOST_TEST(mMachine.ListedUpstreams().OwnLeaving(mNow + period).empty());
}

// Guards against lists that seem to differ between VMs for what upstreams
// stated to one of them, so that they would be read again and again.
BOOST_FIXTURE_TEST_CASE(StatementsDoNotChangeTheDigest, LeavingFixture)
{
  List({ Started("u1", 7) });
  const std::uint64_t digest = mMachine.ListedUpstreams().Digest();
  StateLeaving("u1", 7);
  List({ Started("u1", 7) });
  BOOST_TEST(mMachine.ListedUpstreams().Digest() == digest);
  BOOST_TEST(!mMachine.ListedUpstreams().All().at("u1").mIsListedAsLeaving);
  RelayUpstream leaving = Started("u1", 7);
  leaving.mIsLeaving = true;
  List({ leaving });
  BOOST_TEST(mMachine.ListedUpstreams().Digest() != digest);
}

// Guards against requests that wait for upstreams of which none takes them.
BOOST_FIXTURE_TEST_CASE(WaitingRequestsAreRefusedWhenAllUpstreamsLeave,
                        LeavingFixture)
{
  RelayUpstream small = Started("u1", 7);
  small.mSlots = 1;
  List({ small });
  const auto full = static_cast<std::size_t>(
    UpstreamChooserSettings().mMaxPlainRequestsPerSlot);
  for (std::size_t n = 0; n < full; ++n) {
    Call(Arrive(Route(RouteKind::Idempotent, 2)));
  }
  Arrive(Route(RouteKind::Idempotent, 2));
  BOOST_TEST(mMachine.WaitingRequestCount() == 1U);
  StateLeaving("u1", 7);
  BOOST_REQUIRE(mMachine.NextTick().has_value());
  BOOST_TEST((*mMachine.NextTick() <= mNow));
  Advance(0ms);
  const Refusal refusal = OnlyRefusal();
  BOOST_TEST((refusal.mKind == RefusalKind::NoUpstream));
  BOOST_TEST((refusal.mVerdict == RunVerdict::NotRun));
  BOOST_TEST((refusal.mRetryAfter > Duration(0)));
  // Requests under way end at the upstream.
  BOOST_TEST(mMachine.OpenRequestCount() == full);
}
