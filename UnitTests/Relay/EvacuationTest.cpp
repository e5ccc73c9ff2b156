/// Tests availability zones that are evacuated and taken back, and upstreams
/// that are cold.
#define BOOST_TEST_MODULE Evacuation
#include <Peridothoist/Peridothoist.h>
#include <Relay/RelayFixture.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

constexpr Duration kColdPeriod = 20s;
constexpr double kColdPerSecond = 4;

/// A machine whose services bear kColdPerSecond while they are cold.
class EvacuationFixture : public RelayFixture
{
public:
  EvacuationFixture() { Configure(kColdPerSecond); }

  void Configure(double aColdPerSecond)
  {
    auto configuration = std::make_shared<RelayConfiguration>();
    configuration->mVersion = ++mVersion;
    for (const std::string name : { "engines", "registry" }) {
      RelayService service;
      service.mName = name;
      service.mCold = { kColdPeriod, aColdPerSecond };
      if (name == "engines") {
        service.mEngines = EngineLimits();
        service.mEngines->mMemoryTokens = 40000;
      }
      configuration->mServices[name] = service;
    }
    mMachine.SetConfiguration(configuration);
  }

  void Evacuate(const std::set<std::string>& aZones)
  {
    RelayCommands out;
    mMachine.OnZonesEvacuated(aZones, mNow, out);
    Append(std::move(out));
  }

  static RelayUpstream Plain(const std::string& aId, const std::string& aZone)
  {
    return Upstream(aId, RelayStage::Plain, aZone);
  }

  static RelayUpstream Cold(const std::string& aId, Duration aRemaining)
  {
    RelayUpstream upstream = Plain(aId, "a");
    upstream.mColdRemaining = aRemaining;
    return upstream;
  }

  /// An entry as this VM reads it from the store.
  static RelayUpstream Written(const std::string& aId, std::uint64_t aVersion)
  {
    RelayUpstream upstream = Plain(aId, "a");
    upstream.mEntryVersion = { aVersion, 0 };
    return upstream;
  }

  bool IsCold(const std::string& aId)
  {
    return mMachine.Limits().IsCold(aId, mNow);
  }

  /// Returns how many commands since the last TakeCommands() send something to
  /// the upstream.
  std::size_t SentTo(const std::string& aUpstream) const
  {
    return static_cast<std::size_t>(std::count_if(
      mCommands.begin(), mCommands.end(), [&](const RelayCommand& aIt) {
        const bool isSending =
          aIt.mKind == RelayCommandKind::StartCall ||
          aIt.mKind == RelayCommandKind::ReleaseHandle ||
          aIt.mKind == RelayCommandKind::ReleaseReservation ||
          aIt.mKind == RelayCommandKind::CheckUpstream;
        return isSending && aIt.mUpstream == aUpstream;
      }));
  }

  std::uint64_t mVersion = 1;
};

} // namespace

// Guards against new requests at the upstreams of an evacuated zone, also after
// the list was read again, and against a zone that stays empty afterwards.
BOOST_FIXTURE_TEST_CASE(AnEvacuatedZoneGetsNoNewRequests, EvacuationFixture)
{
  const std::vector<RelayUpstream> list = { Plain("u1", "a"),
                                            Plain("u2", "b") };
  List(list);
  Evacuate({ "a" });
  for (int n = 0; n < 5; ++n) {
    BOOST_TEST(Call(Arrive(Route(RouteKind::Idempotent, 2))).mUpstream == "u2");
  }
  List(list);
  BOOST_TEST(Call(Arrive(Route(RouteKind::Idempotent, 2))).mUpstream == "u2");
  Evacuate({});
  BOOST_TEST(mMachine.ListedUpstreams().AcceptsRequests("u1"));
}

// Guards against a request that was placed before the evacuation and whose
// connection is made after it.
BOOST_FIXTURE_TEST_CASE(AConnectingRequestIsWithheldAndSentElsewhere,
                        EvacuationFixture)
{
  List({ Plain("u1", "a") });
  const auto id = Arrive(Route(RouteKind::NonIdempotent, 1));
  const RelayCommand call = Call(id, false);
  List({ Plain("u1", "a"), Plain("u2", "b") });
  Evacuate({ "a" });
  BOOST_TEST(!mMachine.MayStillSend(id, call.mAttempt, mNow));
  TakeCommands();
  End(call, NotConnected());
  BOOST_TEST(Call(id).mUpstream == "u2");
  BOOST_TEST(SentTo("u1") == 0U);
}

// Guards against a retry that goes back to the zone after it was evacuated.
BOOST_FIXTURE_TEST_CASE(ARetryGoesToAnotherZone, EvacuationFixture)
{
  List({ Plain("u1", "a") });
  const auto id = Arrive(Route(RouteKind::Idempotent, 3));
  const RelayCommand call = Call(id);
  List({ Plain("u1", "a"), Plain("u2", "b") });
  Evacuate({ "a" });
  TakeCommands();
  End(call, Broken());
  Advance(5s);
  BOOST_TEST(Call(id).mUpstream == "u2");
  BOOST_TEST(SentTo("u1") == 0U);
}

// Guards against a request that runs in the zone and is cut by the evacuation.
BOOST_FIXTURE_TEST_CASE(ARunningRequestDrains, EvacuationFixture)
{
  List({ Plain("u1", "a") });
  const auto id = Arrive(Route(RouteKind::Idempotent, 2));
  const RelayCommand call = Call(id);
  TakeCommands();
  Evacuate({ "a" });
  BOOST_TEST(Count(RelayCommandKind::CancelCall) == 0U);
  End(call, Responded(200));
  BOOST_TEST(Count(RelayCommandKind::SendResponse) == 1U);
}

// Guards against requests that wait for, or arrive at, a service whose
// upstreams are all evacuated; they must be refused at once as not run.
BOOST_FIXTURE_TEST_CASE(WithoutAnyUpstreamRequestsAreRefusedAtOnce,
                        EvacuationFixture)
{
  List({ Cold("u1", 10s) });
  while (mMachine.WaitingRequestCount() == 0) {
    Arrive(Route(RouteKind::Idempotent, 2));
    BOOST_REQUIRE(Count(RelayCommandKind::SendRefusal) == 0U);
  }
  TakeCommands();
  Evacuate({ "a" });
  BOOST_TEST(mMachine.WaitingRequestCount() == 0U);
  BOOST_TEST((OnlyRefusal().mVerdict == RunVerdict::NotRun));
  TakeCommands();
  Arrive(Route(RouteKind::Idempotent, 2));
  BOOST_TEST((OnlyRefusal().mVerdict == RunVerdict::NotRun));
}

// Guards against a prefilled request that goes to an evacuated decode engine,
// and against releases of prefill results and reservations there.
BOOST_FIXTURE_TEST_CASE(PrefilledAndReservedRequestsLeaveTheZone,
                        EvacuationFixture)
{
  List({ Upstream("p", RelayStage::Prefill, "a"),
         Upstream("d", RelayStage::Decode, "a") });
  const auto id = Arrive(Route(RouteKind::Stream, 3));
  RelayCommand call = Call(id);
  if (call.mCallKind == RelayCallKind::Reserve) {
    End(call, Reserved("r"));
    call = Call(id);
  }
  BOOST_TEST((call.mCallKind == RelayCallKind::Prefill));
  Evacuate({ "a" });
  TakeCommands();
  End(call, Prefilled("h"));
  Advance(20s);
  BOOST_TEST(SentTo("p") == 0U);
  BOOST_TEST(SentTo("d") == 0U);
  BOOST_TEST(Count(RelayCommandKind::SendRefusal) == 1U);
}

// Guards against checks of upstreams whose calls broke, which are requests too.
BOOST_FIXTURE_TEST_CASE(UpstreamsOfTheZoneAreNotChecked, EvacuationFixture)
{
  List({ Plain("u1", "a") });
  const RelayCommand call = Call(Arrive(Route(RouteKind::NonIdempotent, 1)));
  Evacuate({ "a" });
  TakeCommands();
  End(call, Broken());
  Advance(5s);
  BOOST_TEST(SentTo("u1") == 0U);
}

// Guards against a returned upstream that is flooded although it may have
// become cold moments before, and against one that is limited without need
// after an entry was written that does not say so.
BOOST_FIXTURE_TEST_CASE(AReturnedUpstreamCountsAsColdUntilItsEntryIsRewritten,
                        EvacuationFixture)
{
  List({ Written("u1", 5) });
  Evacuate({ "a" });
  BOOST_TEST(!IsCold("u1"));
  Evacuate({});
  BOOST_TEST(IsCold("u1"));
  // VMs that did not learn of the evacuation are told.
  BOOST_TEST(mMachine.Limits().OwnColdTimes(mNow).count("u1") == 1U);
  List({ Written("u1", 6) }); // May have been written before the return.
  List({ Written("u1", 7) });
  BOOST_TEST(IsCold("u1"));
  List({ Written("u1", 8) });
  BOOST_TEST(!IsCold("u1"));
  mMachine.OnPeerCold({ { "u1", kColdPeriod } }, mNow); // It read no entry yet.
  BOOST_TEST(!IsCold("u1"));
  // Another return within a short time counts again.
  Evacuate({ "a" });
  Evacuate({});
  BOOST_TEST(IsCold("u1"));
  mNow += kColdPeriod;
  BOOST_TEST(!IsCold("u1"));
}

// Guards against cold upstreams that stay unknown when the list was read before
// the configuration that says what they bear.
BOOST_FIXTURE_TEST_CASE(AColdEntryCountsOnceItsServiceIsKnown,
                        EvacuationFixture)
{
  Configure(0);
  List({ Cold("u1", 10s) });
  BOOST_TEST(!IsCold("u1"));
  Configure(kColdPerSecond);
  Evacuate({}); // As after each change of the configuration.
  BOOST_TEST(IsCold("u1"));
  mNow += 10s;
  BOOST_TEST(!IsCold("u1"));
}

// Guards against a cold time that starts anew whenever a peer confirms the
// list, for VMs that copy the list later.
BOOST_FIXTURE_TEST_CASE(AColdTimeGetsShorterAsTheListIsConfirmed,
                        EvacuationFixture)
{
  UpstreamList list{ UpstreamListSettings() };
  list.OnListRead({ Cold("u1", 10s) }, mNow);
  const std::uint64_t digest = list.Digest();
  list.Confirm(mNow + 4s);
  BOOST_TEST((list.Find("u1")->mColdRemaining == Duration(6s)));
  list.Confirm(mNow + 14s);
  BOOST_TEST((list.Find("u1")->mColdRemaining == Duration(1)));
  UpstreamList copy{ UpstreamListSettings() };
  copy.OnPeerList({ list.All().at("u1") }, mNow + 14s);
  BOOST_TEST(copy.Digest() == digest);
}

// Guards against a statement that is overlooked, or is lost to what a peer
// heard before it.
BOOST_FIXTURE_TEST_CASE(TheUpstreamsOwnStatementHolds, EvacuationFixture)
{
  List({ Plain("u1", "a") });
  BOOST_TEST(mMachine.OnColdStated("u1", 8s, mNow));
  BOOST_TEST(!mMachine.OnColdStated("u1", 8s, mNow)); // Known.
  BOOST_TEST(!mMachine.OnColdStated("unknown", 8s, mNow));
  BOOST_TEST(mMachine.OnColdStated("u1", Duration(0), mNow));
  mMachine.OnPeerCold({ { "u1", 8s }, { "unknown", 8s } }, mNow);
  BOOST_TEST(!IsCold("u1"));
  mNow += 9s;
  mMachine.OnPeerCold({ { "u1", 2s } }, mNow);
  BOOST_TEST(IsCold("u1"));
}

// Guards against a flood by one VM: only as many requests go out as the cold
// upstream bears, and the others wait.
BOOST_FIXTURE_TEST_CASE(AColdUpstreamGetsNoMoreThanItBears, EvacuationFixture)
{
  List({ Cold("u1", 10s) });
  for (int n = 0; n < 40; ++n) {
    Arrive(Route(RouteKind::Idempotent, 2));
  }
  for (int n = 0; n < 100; ++n) {
    Advance(10ms);
  }
  BOOST_TEST(SentTo("u1") <= kColdPerSecond * 1.5 + 5);
  BOOST_TEST(SentTo("u1") >= kColdPerSecond - 1);
}
