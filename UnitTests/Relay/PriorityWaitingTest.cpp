/// Tests that requests of several priorities that want more than the engines of
/// a service hold are served in order of urgency, at this VM and others.
#define BOOST_TEST_MODULE PriorityWaiting
#include <Peridothoist/Peridothoist.h>
#include <Relay/RelayFixture.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

constexpr std::uint32_t kUrgent = 0;
constexpr std::uint32_t kOrdinary = 1;
constexpr std::uint32_t kCasual = 2;

/// One decode engine with a single slot and routes of three priorities.
class PriorityFixture : public RelayFixture
{
public:
  PriorityFixture()
  {
    auto configuration = std::make_shared<RelayConfiguration>();
    configuration->mVersion = 1;
    RelayService engines;
    engines.mName = "engines";
    engines.mEngines = EngineLimits();
    configuration->mServices["engines"] = engines;
    for (std::uint32_t priority = kUrgent; priority <= kCasual; ++priority) {
      configuration->AddRoute(*StreamRoute(priority));
    }
    configuration->FindPriorities();
    mMachine.SetConfiguration(configuration);
    RelayUpstream engine = Upstream("d1", RelayStage::Decode);
    engine.mSlots = 1;
    List({ engine });
    LearnCallTime();
  }

  static std::shared_ptr<const RelayRoute> StreamRoute(std::uint32_t aPriority)
  {
    RelayRoute route = *Route(RouteKind::Stream, 1);
    route.mName = "r" + std::to_string(aPriority);
    route.mPathPrefix = "/" + route.mName + "/";
    route.mTargets = { { "engines", 1 } };
    route.mPriority = aPriority;
    return std::make_shared<const RelayRoute>(route);
  }

  std::uint64_t ArriveWith(std::uint32_t aPriority)
  {
    AdmittedRequest request;
    request.mId = ++mLastId;
    request.mRoute = StreamRoute(aPriority);
    request.mService = "engines";
    request.mDigest = "d" + std::to_string(mLastId);
    request.mPriority = aPriority;
    request.mArrivedAt = mNow;
    request.mCallerTimeout = 14s;
    request.mDeadline = mNow + 14s;
    RelayCommands out;
    mMachine.OnArrival(std::move(request), mNow, out);
    Append(std::move(out));
    return mLastId;
  }

  bool IsStarted(std::uint64_t aId) const
  {
    return std::any_of(
      mCommands.begin(), mCommands.end(), [&](const auto& aIt) {
        return aIt.mId == aId && aIt.mKind == RelayCommandKind::StartCall;
      });
  }

  /// Lets another VM report requests that wait there in time.
  void ReportWaiting(std::uint32_t aPriority, std::size_t aCount)
  {
    mMachine.Loads().OnPeerWaiting("vm2", { { "engines", { aCount, 0 } } });
    mMachine.Loads().OnPeerPriorities(
      "vm2", { { "engines", { { aPriority, { aCount, 0 } } } } });
  }

  /// Ends the call of a stream, which frees the engine's slot.
  void Finish(std::uint64_t aId) { End(Call(aId), Responded(200)); }

private:
  void LearnCallTime()
  {
    const std::uint64_t id = ArriveWith(kOrdinary);
    const RelayCommand call = Call(id);
    mNow += 100ms;
    Event(call, 1);
    End(call, Responded(200));
    TakeCommands();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Priorities, PriorityFixture)

// Guards against an urgent stream that waits behind less urgent ones which came
// before it.
BOOST_AUTO_TEST_CASE(TheMostUrgentWaitingRequestIsStartedFirst)
{
  const std::uint64_t running = ArriveWith(kOrdinary);
  const std::uint64_t casual = ArriveWith(kCasual);
  const std::uint64_t urgent = ArriveWith(kUrgent);
  BOOST_TEST(!IsStarted(casual));
  BOOST_TEST(!IsStarted(urgent));
  mNow += 10ms;
  Finish(running);
  BOOST_TEST(IsStarted(urgent));
  BOOST_TEST(!IsStarted(casual));
}

// Guards against a slot that a VM with less urgent requests takes while urgent
// ones wait at another VM.
BOOST_AUTO_TEST_CASE(FreeCapacityIsLeftToUrgentRequestsAtOtherVms)
{
  const std::uint64_t running = ArriveWith(kOrdinary);
  const std::uint64_t casual = ArriveWith(kCasual);
  ReportWaiting(kUrgent, 1);
  mNow += 10ms;
  Finish(running);
  BOOST_TEST(!IsStarted(casual));
  // The other VM has started its request, or is gone.
  mMachine.Loads().ForgetPeer("vm2");
  Advance(300ms);
  RelayCommands out;
  mMachine.OnPeerWork("vm3", {}, mNow, out);
  Append(std::move(out));
  BOOST_TEST(IsStarted(casual));
}

// Guards against a new request that passes a more urgent one at another VM, and
// against one that waits behind less urgent ones there.
BOOST_AUTO_TEST_CASE(ANewRequestPassesOnlyLessUrgentOnes)
{
  ReportWaiting(kOrdinary, 1);
  const std::uint64_t casual = ArriveWith(kCasual);
  BOOST_TEST(!IsStarted(casual));
  const std::uint64_t urgent = ArriveWith(kUrgent);
  BOOST_TEST(IsStarted(urgent));
}

// Guards against less urgent requests that wait until their deadline for what
// more urgent ones take; they are refused as not run.
BOOST_AUTO_TEST_CASE(RequestsThatWouldNotBeServedAreRefusedAtOnce)
{
  ArriveWith(kOrdinary);
  const std::uint64_t casual = ArriveWith(kCasual);
  BOOST_TEST(!IsStarted(casual));
  ReportWaiting(kUrgent, 1000);
  mNow += 200ms;
  RelayCommands out;
  mMachine.OnPeerWork("vm2", {}, mNow, out);
  Append(std::move(out));
  const Refusal refusal = OnlyRefusal();
  BOOST_TEST((refusal.mVerdict == RunVerdict::NotRun));
  BOOST_TEST(refusal.Status() == 503);
  BOOST_TEST((refusal.mRetryAfter > Duration(0)));
}

// Guards against messages that grow where all requests have one priority.
BOOST_AUTO_TEST_CASE(WaitingRequestsAreToldByPriority)
{
  ArriveWith(kOrdinary);
  ArriveWith(kCasual);
  ArriveWith(kUrgent);
  const auto told = mMachine.ClassifyPriorities(mNow);
  BOOST_TEST(told.at("engines").at(kUrgent).mInTime == 1U);
  BOOST_TEST(told.at("engines").at(kCasual).mInTime == 1U);
  BOOST_TEST(told.at("engines").count(kOrdinary) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against priorities of routes that are hidden, since all workspaces of
// a deployment have the same one.
BOOST_AUTO_TEST_CASE(RoutesDecideAmongWorkspacesOfOnePriority)
{
  RelayConfiguration configuration;
  RelayRoute urgent = *PriorityFixture::StreamRoute(kUrgent);
  RelayRoute casual = *PriorityFixture::StreamRoute(kCasual);
  configuration.AddRoute(urgent);
  configuration.AddRoute(casual);
  RelayWorkspace first;
  first.mName = "w1";
  first.mPriority = 1;
  RelayWorkspace second = first;
  second.mName = "w2";
  second.mPriority = 3;
  configuration.AddWorkspace(first);
  configuration.AddWorkspace(second);
  configuration.FindPriorities();
  const auto rank = [&](const RelayRoute& aRoute, const RelayWorkspace& aOf) {
    return configuration.PriorityOf("engines", aRoute, &aOf);
  };
  BOOST_TEST(configuration.HasPriorities("engines"));
  BOOST_TEST(rank(urgent, first) < rank(casual, first));
  BOOST_TEST(rank(casual, first) < rank(urgent, second));
  BOOST_TEST(rank(urgent, second) < rank(casual, second));
}

// Guards against engines of other zones that look idle, since only the sum of
// the work there is known.
BOOST_FIXTURE_TEST_CASE(WorkInOtherZonesIsSpreadOverTheirEngines, RelayFixture)
{
  List({ Upstream("a1", RelayStage::Decode, "a"),
         Upstream("b1", RelayStage::Decode, "b"),
         Upstream("b2", RelayStage::Decode, "b") });
  const UpstreamPool pool = PoolOf(Upstream("b1", RelayStage::Decode, "b"));
  mMachine.Loads().OnPeerPoolWork("cell", { { pool, { 8, 24000 } } });
  RelayCommands out;
  mMachine.OnPeerWork("cell", {}, mNow, out);
  BOOST_TEST(mMachine.Loads().Work("a1").mRequests == 0U);
  BOOST_TEST(mMachine.Loads().Work("b1").mRequests == 4U);
  BOOST_TEST(mMachine.Loads().Work("b2").mTokens == 12000U);
  // What a cell said is forgotten with it.
  mMachine.Loads().ForgetPeer("cell");
  mMachine.OnPeerWork("cell", {}, mNow, out);
  BOOST_TEST(mMachine.Loads().Work("b1").mRequests == 0U);
}
