/// Tests requests at a VM that can't connect to upstreams: it calls them
/// through other VMs, and does not take them for gone.
#define BOOST_TEST_MODULE CutOff
#include <Peridothoist/Peridothoist.h>
#include <Relay/RelayFixture.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

class FakePeers : public TunnelPeers
{
public:
  // See: TunnelPeers
  std::vector<TunnelPeer> FindTunnelPeers() const override { return mPeers; }

  std::vector<TunnelPeer> mPeers;
};

class CutOffFixture : public RelayFixture
{
public:
  CutOffFixture()
  {
    mPeers.mPeers = { { "a", "10.0.1.1:7602" }, { "b", "10.0.2.1:7602" } };
    mMachine.SetTunnelPeers(&mPeers);
    List({ Upstream("u1", RelayStage::Plain),
           Upstream("u2", RelayStage::Plain),
           Upstream("u3", RelayStage::Plain),
           Upstream("d1", RelayStage::Decode),
           Upstream("d2", RelayStage::Decode) });
  }

  static RelayCallEnd TunnelFailed(NotReachedCause aCause)
  {
    RelayCallEnd end = NotConnected();
    end.mNotReached = aCause;
    return end;
  }

  /// Lets a connection and the check after it fail, so that the VM is known to
  /// be cut off.
  void CutOff()
  {
    const auto id = Arrive(Route(RouteKind::Idempotent, 2));
    End(Call(id, false), NotConnected());
    End(Call(id), Responded(200));
    TakeCommands();
    Advance(UpstreamReachSettings().mFirstCheckDelay);
    Check(TakeCheck(), UpstreamCheck::NotReached);
    BOOST_REQUIRE(mMachine.Reach().IsCutOff());
    TakeCommands();
  }

  /// Returns the check that is started next.
  RelayCommand TakeCheck()
  {
    for (const RelayCommand& it : TakeCommands()) {
      if (it.mKind == RelayCommandKind::CheckUpstream) {
        return it;
      }
    }
    BOOST_FAIL("no check");
    return {};
  }

  void Check(const RelayCommand& aCheck, UpstreamCheck aResult)
  {
    RelayCommands out;
    mMachine.OnUpstreamChecked(
      aCheck.mUpstream, aCheck.mTunnel, aResult, mNow, out);
    Append(std::move(out));
  }

  FakePeers mPeers;
};

} // namespace

// Guards against callers of a VM that is cut off, whose requests no other VM
// passes on (RECOVER).
BOOST_FIXTURE_TEST_CASE(ARequestThatDidNotConnectTakesATunnel, CutOffFixture)
{
  const auto id = Arrive(Route(RouteKind::NonIdempotent, 1));
  const RelayCommand first = Call(id, false);
  BOOST_TEST(first.mTunnel.empty());
  End(first, NotConnected());
  const RelayCommand second = Call(id);
  BOOST_TEST(second.mTunnel == "10.0.1.1:7602"); // Of its own zone.
  End(second, Responded(200));
  BOOST_TEST(Count(RelayCommandKind::SendResponse) == 1U);
}

// Guards against requests that each pay for a failed connection.
BOOST_FIXTURE_TEST_CASE(OnceCutOffAllCallsTakeTunnels, CutOffFixture)
{
  CutOff();
  for (int n = 0; n < 5; ++n) {
    const auto id = Arrive(Route(RouteKind::Idempotent, 2));
    BOOST_TEST(!Call(id).mTunnel.empty());
  }
  const auto stream = Arrive(Route(RouteKind::Stream, 2));
  BOOST_TEST(!Call(stream).mTunnel.empty());
}

// Guards against a VM that makes the others avoid upstreams in good order.
BOOST_FIXTURE_TEST_CASE(AVmThatIsCutOffReportsNoUpstreamAsGone, CutOffFixture)
{
  CutOff();
  BOOST_TEST(mMachine.Loads().GoneUpstreams(mNow).empty());
  for (const char* id : { "u1", "u2", "u3" }) {
    BOOST_TEST(!mMachine.Loads().IsAvoided(id, mNow));
  }
}

// Guards against contents that are quarantined because connections were reset.
BOOST_FIXTURE_TEST_CASE(BrokenCallsOfACutAreNoCrashes, CutOffFixture)
{
  for (int n = 0; n < 4; ++n) {
    const auto id = Arrive(Route(RouteKind::NonIdempotent, 1), "same");
    End(Call(id), Broken());
  }
  CutOff();
  Advance(1s);
  BOOST_TEST(mMachine.Crashes().Reports(mNow).empty());
  // Another VM finds an upstream gone: then it has crashed.
  const auto id = Arrive(Route(RouteKind::NonIdempotent, 1), "other");
  const RelayCommand call = Call(id);
  TakeCommands();
  End(call, Broken());
  const RelayCommand check = TakeCheck();
  BOOST_TEST(!check.mTunnel.empty());
  Check(check, UpstreamCheck::Unknown);
  BOOST_TEST(mMachine.Crashes().Reports(mNow).empty());
  Check(check, UpstreamCheck::Gone);
  BOOST_TEST(!mMachine.Crashes().Reports(mNow).empty());
}

// Guards against an upstream that is gone and taken for a broken path, and one
// service that is down for all.
BOOST_FIXTURE_TEST_CASE(OneConnectionShowsThatThePathIsSound, CutOffFixture)
{
  CutOff();
  Advance(UpstreamReachSettings().mCheckInterval);
  const RelayCommand check = TakeCheck();
  BOOST_TEST(check.mTunnel.empty());
  Check(check, UpstreamCheck::Alive);
  BOOST_TEST(!mMachine.Reach().IsCutOff());
  BOOST_TEST(Call(Arrive(Route(RouteKind::Idempotent, 2))).mTunnel.empty());
  Advance(10s);
  BOOST_TEST(Count(RelayCommandKind::CheckUpstream) == 0U);
}

// Guards against a VM that finds out only when callers come.
BOOST_FIXTURE_TEST_CASE(AFailedConnectionIsFollowedByACheck, CutOffFixture)
{
  const auto id = Arrive(Route(RouteKind::Idempotent, 2));
  const RelayCommand call = Call(id, false);
  End(call, NotConnected());
  TakeCommands();
  Advance(UpstreamReachSettings().mFirstCheckDelay);
  const RelayCommand check = TakeCheck();
  BOOST_TEST(check.mUpstream != call.mUpstream);
  Check(check, UpstreamCheck::NotReached);
  BOOST_TEST(mMachine.Reach().IsCutOff());
}

// Guards against VMs that are tried again although they are cut off as well,
// and upstreams that are avoided for it.
BOOST_FIXTURE_TEST_CASE(AFailedTunnelIsReplacedByAnother, CutOffFixture)
{
  CutOff();
  const auto id = Arrive(Route(RouteKind::NonIdempotent, 1));
  const RelayCommand first = Call(id, false);
  End(first, TunnelFailed(NotReachedCause::Tunnel));
  const RelayCommand second = Call(id);
  BOOST_TEST(second.mTunnel != first.mTunnel);
  BOOST_TEST(!second.mTunnel.empty());
  BOOST_TEST(!mMachine.Loads().IsAvoided(first.mUpstream, mNow));
  End(second, Responded(200));
}

// Guards against upstreams that are called again although the other VM knows
// that they are gone or leave.
BOOST_FIXTURE_TEST_CASE(AnUpstreamThatTheOtherVmRefusesIsNotTriedAgain,
                        CutOffFixture)
{
  CutOff();
  for (const auto cause :
       { NotReachedCause::Refused, NotReachedCause::Upstream }) {
    const auto id = Arrive(Route(RouteKind::NonIdempotent, 1));
    const RelayCommand first = Call(id, false);
    End(first, TunnelFailed(cause));
    BOOST_TEST(Call(id).mUpstream != first.mUpstream);
    BOOST_TEST(mMachine.Loads().IsAvoided(first.mUpstream, mNow) ==
               (cause == NotReachedCause::Upstream));
  }
}

// Guards against work that runs twice because a tunnel broke.
BOOST_FIXTURE_TEST_CASE(ABrokenTunnelCallIsNotRepeated, CutOffFixture)
{
  CutOff();
  const auto id = Arrive(Route(RouteKind::NonIdempotent, 1));
  const RelayCommand call = Call(id);
  End(call, Broken());
  const Refusal refusal = OnlyRefusal();
  BOOST_TEST((refusal.mVerdict == RunVerdict::MayHaveRun));
  BOOST_TEST(Count(RelayCommandKind::StartCall) == 1U);
}

// Guards against callers that wait for connections that can't be made.
BOOST_FIXTURE_TEST_CASE(WithoutTunnelsOneConnectionIsTried, CutOffFixture)
{
  CutOff();
  mPeers.mPeers.clear();
  const auto id = Arrive(Route(RouteKind::NonIdempotent, 1));
  End(Call(id, false), NotConnected());
  const Refusal refusal = OnlyRefusal();
  BOOST_TEST((refusal.mKind == RefusalKind::NoUpstream));
  BOOST_TEST((refusal.mVerdict == RunVerdict::NotRun));
}

// Guards against retry budgets that are used up by retries that no upstream
// got.
BOOST_FIXTURE_TEST_CASE(ARetryThatDidNotConnectIsNotCharged, CutOffFixture)
{
  Advance(10s); // After which retries are known.
  const auto id = Arrive(Route(RouteKind::Idempotent, 3));
  End(Call(id), Broken());
  const double left = mMachine.RetriesLeft(mNow).at("registry");
  End(Call(id, false), NotConnected());
  BOOST_TEST(mMachine.RetriesLeft(mNow).at("registry") == left);
  End(Call(id), Responded(200));
  BOOST_TEST(mMachine.RetriesLeft(mNow).at("registry") == left);
}

// Guards against an upstream that is gone, of a service that has no other, and
// whose requests are refused before another VM was asked.
BOOST_FIXTURE_TEST_CASE(TheOnlyUpstreamIsTriedThroughAnotherVm, CutOffFixture)
{
  List({ Upstream("u1", RelayStage::Plain),
         Upstream("d1", RelayStage::Decode),
         Upstream("d2", RelayStage::Decode) });
  const auto id = Arrive(Route(RouteKind::NonIdempotent, 1));
  End(Call(id, false), NotConnected());
  const RelayCommand second = Call(id);
  BOOST_TEST(second.mUpstream == "u1");
  BOOST_TEST(!second.mTunnel.empty());
}
