/// Tests which requests wait for their workspace's allowance, in which order
/// they are admitted, and how a wait ends that is in vain. The clock is the
/// test's own.
#define BOOST_TEST_MODULE WaitingAdmission
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/WaitingAdmission.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;

namespace {

constexpr double kRate = 1000;  ///< Tokens a second.
constexpr double kBurst = 2000; ///< Tokens.
constexpr Duration kWindow = 8s;
constexpr Duration kTargetLatency = 800ms;
constexpr Duration kMaxWait = kTargetLatency / 2;
const TimePoint kStart{ 1h };

struct Fixture
{
  explicit Fixture(double aWaitPart = 0.5)
    : mView(MakeViewSettings())
    , mLimiter({ kWindow }, kStart)
    , mAdmission(&mView, &mLimiter, &mRandom)
    , mWaiting({ aWaitPart, {} }, &mAdmission, &mLimiter)
    , mNow(kStart + 20s)
  {
    SetConfiguration(1, kRate, "key");
  }

  static ConfirmedViewSettings MakeViewSettings()
  {
    ConfirmedViewSettings settings;
    settings.mRevokeLimit = 1000s;
    return settings;
  }

  void SetConfiguration(std::uint64_t aVersion,
                        double aRate,
                        const std::string& aKey)
  {
    auto configuration = std::make_shared<RelayConfiguration>();
    configuration->mVersion = aVersion;
    for (const char* name : { "0", "5", "9" }) {
      RelayRoute route;
      route.mName = name;
      route.mHost = "site";
      route.mPathPrefix = std::string("/") + name + "/";
      route.mTargets = { { "s", 1 } };
      route.mKind = RouteKind::Stream;
      route.mPriority = static_cast<std::uint32_t>(std::atoi(name));
      route.mTargetLatency = kTargetLatency;
      configuration->AddRoute(route);
    }
    for (const char* name : { "busy", "idle" }) {
      RelayWorkspace workspace;
      workspace.mName = name;
      workspace.mKeys = { aKey + name };
      workspace.mTokensPerSecond = aRate;
      workspace.mBurstTokens = kBurst;
      configuration->AddWorkspace(workspace);
    }
    mView.OnRead(configuration, mNow);
    mLimiter.SetWorkspaces(configuration->Workspaces());
    AdmissionDecisions decisions;
    mWaiting.OnConfigurationChanged(mNow, decisions);
    Keep(std::move(decisions));
  }

  /// Lets a request arrive. Returns its id.
  std::uint64_t Arrive(std::uint64_t aTokens,
                       const std::string& aPriority = "5",
                       const std::string& aWorkspace = "busy",
                       std::optional<Duration> aTimeout = std::nullopt)
  {
    IncomingRequest request;
    request.mName = "r" + std::to_string(++mLastId);
    request.mHost = "site";
    request.mPath = "/" + aPriority + "/x";
    request.mKey = "key" + aWorkspace;
    request.mPromptTokens = aTokens;
    request.mCallerTimeout = aTimeout;
    AdmissionDecisions decisions;
    mWaiting.OnArrival(mLastId, request, 100, mNow, decisions);
    Keep(std::move(decisions));
    return mLastId;
  }

  void Keep(AdmissionDecisions aDecisions)
  {
    for (AdmissionDecision& it : aDecisions) {
      BOOST_REQUIRE(mDecisions.count(it.mId) == 0U);
      if (it.mAdmitted) {
        mAdmittedIds.push_back(it.mId);
        mGrants.push_back({ mNow, it.mAdmitted->mCost });
      }
      const std::uint64_t id = it.mId;
      mDecisions.emplace(id, std::move(it));
    }
  }

  /// Lets time pass, with a tick whenever one is due.
  void Pass(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mWaiting.NextTick() && *mWaiting.NextTick() <= end) {
      mNow = std::max(mNow, *mWaiting.NextTick());
      AdmissionDecisions decisions;
      mWaiting.OnTick(mNow, decisions);
      Keep(std::move(decisions));
    }
    mNow = end;
  }

  /// Spends the workspace's burst.
  void Drain()
  {
    while (!mLimiter.SpendOrGetWait("busy", 10, mNow)) {
    }
  }

  bool IsAdmitted(std::uint64_t aId) const
  {
    return mDecisions.count(aId) > 0 && mDecisions.at(aId).mAdmitted;
  }
  bool IsWaiting(std::uint64_t aId) const { return mDecisions.count(aId) == 0; }
  bool IsRefused(std::uint64_t aId, RefusalKind aKind) const
  {
    return !IsWaiting(aId) && !IsAdmitted(aId) &&
           mDecisions.at(aId).mRefusal.mKind == aKind &&
           mDecisions.at(aId).mRefusal.mVerdict == RunVerdict::NotRun;
  }

  Random mRandom{ 1 };
  ConfirmedView mView;
  WorkspaceRateLimiter mLimiter;
  RelayAdmission mAdmission;
  WaitingAdmission mWaiting;
  TimePoint mNow;
  std::uint64_t mLastId = 0;
  std::map<std::uint64_t, AdmissionDecision> mDecisions;
  std::vector<std::uint64_t> mAdmittedIds; ///< In order.
  std::vector<std::pair<TimePoint, double>> mGrants;
};

} // namespace

// Load: a burst of one workspace over its allowance, beside an idle one. Guards
// against a refusal where a wait of moments is enough, and against a wait of
// requests whose workspace has its allowance.
BOOST_AUTO_TEST_CASE(ABurstWaitsAndAnIdleWorkspaceDoesNot)
{
  Fixture fixture;
  fixture.Drain();
  const std::uint64_t first = fixture.Arrive(200);
  const std::uint64_t idle = fixture.Arrive(200, "5", "idle");
  BOOST_TEST(fixture.IsWaiting(first));
  BOOST_TEST(fixture.IsAdmitted(idle));
  BOOST_TEST((fixture.mDecisions.at(idle).mWaited == Duration(0)));
  fixture.Pass(kMaxWait);
  BOOST_REQUIRE(fixture.IsAdmitted(first));
  const AdmissionDecision& decision = fixture.mDecisions.at(first);
  BOOST_TEST(decision.mHasWaited);
  BOOST_TEST((decision.mWaited > 100ms && decision.mWaited <= kMaxWait));
  // Its target latency and its deadline count from the arrival.
  BOOST_TEST((decision.mAdmitted->mArrivedAt == kStart + 20s));
  BOOST_TEST(fixture.mWaiting.Counts().mAdmitted == 1U);
}

// Load: a burst of one workspace. Guards against requests that are held
// although they can't be served in time.
BOOST_AUTO_TEST_CASE(ARequestWhoseWaitIsTooLongIsRefusedAtOnce)
{
  Fixture fixture;
  fixture.Drain();
  const std::uint64_t large = fixture.Arrive(600);
  BOOST_TEST(fixture.IsRefused(large, RefusalKind::OverAllowance));
  BOOST_TEST((fixture.mDecisions.at(large).mRefusal.mRetryAfter > 500ms));
  BOOST_TEST(!fixture.mDecisions.at(large).mHasWaited);
  // Half of what this caller waits in all is less than the wait for its tokens.
  const std::uint64_t hasty = fixture.Arrive(200, "5", "busy", 300ms);
  BOOST_TEST(fixture.IsRefused(hasty, RefusalKind::OverAllowance));
}

// Load: a burst of one workspace. Guards against a change of deployments that
// have turned the wait off.
BOOST_AUTO_TEST_CASE(NothingWaitsWhenTheWaitIsTurnedOff)
{
  Fixture fixture(0);
  fixture.Drain();
  const std::uint64_t id = fixture.Arrive(10);
  BOOST_TEST(fixture.IsRefused(id, RefusalKind::OverAllowance));
  BOOST_TEST(!fixture.mWaiting.NextTick().has_value());
}

// Load: large requests of one workspace, when the tokens left cover their cost
// but not the reserve for small requests. Guards against a refusal there, and
// against a loss of the reserve.
BOOST_AUTO_TEST_CASE(ALargeRequestWaitsForTheReserveOfSmallOnes)
{
  Fixture fixture;
  BOOST_REQUIRE(!fixture.mLimiter.SpendOrGetWait("busy", 1750, fixture.mNow));
  const std::uint64_t large = fixture.Arrive(200); // Of 250 left.
  BOOST_TEST(fixture.IsWaiting(large));
  fixture.Pass(40ms); // The reserve takes 5 in 100 of the burst.
  BOOST_TEST(fixture.IsWaiting(large));
  fixture.Pass(20ms);
  BOOST_TEST(fixture.IsAdmitted(large));
}

// Load: urgent and less urgent requests of one workspace over its allowance.
// Guards against an order by arrival, and against a new request that passes one
// of its own priority.
BOOST_AUTO_TEST_CASE(UrgentRequestsGoFirstAndEqualOnesInOrder)
{
  Fixture fixture;
  fixture.Drain();
  const std::uint64_t first = fixture.Arrive(50);
  fixture.Pass(10ms);
  const std::uint64_t second = fixture.Arrive(50);
  const std::uint64_t urgent = fixture.Arrive(50, "0");
  fixture.Pass(kMaxWait);
  const std::vector<std::uint64_t> expected = { urgent, first, second };
  BOOST_TEST(fixture.mAdmittedIds == expected);
}

// Load: as above. Guards against a less urgent request that is held in vain
// after urgent ones have come.
BOOST_AUTO_TEST_CASE(UrgentRequestsDisplaceLessUrgentOnes)
{
  Fixture fixture;
  fixture.Drain();
  const std::uint64_t less = fixture.Arrive(150, "9");
  BOOST_TEST(fixture.IsWaiting(less));
  const std::uint64_t urgent = fixture.Arrive(250, "0");
  BOOST_TEST(fixture.IsWaiting(urgent));
  BOOST_TEST(fixture.IsRefused(less, RefusalKind::OverAllowance));
  fixture.Pass(kMaxWait);
  BOOST_TEST(fixture.IsAdmitted(urgent));
}

// Load: a flood that exceeds the allowance by ten. Guards against waits without
// an end or a bound, grants beyond the window's bound, and an allowance that
// the queue leaves unused.
BOOST_AUTO_TEST_CASE(AFloodGetsItsAllowanceAndTheRestIsRefused)
{
  Fixture fixture;
  constexpr std::uint64_t kTokens = 50;
  constexpr Duration kStep = 5ms; // 10,000 tokens a second.
  constexpr int kSteps = 4000;    // 20 s.
  for (int n = 0; n < kSteps; ++n) {
    fixture.Arrive(kTokens, n % 4 == 0 ? "0" : "9");
    fixture.Pass(kStep);
    BOOST_REQUIRE(fixture.mWaiting.Queue().Count() <= 9U); // 400 ms of tokens.
  }
  fixture.Pass(kMaxWait + 50ms);
  BOOST_TEST(fixture.mDecisions.size() == static_cast<std::size_t>(kSteps));
  double granted = 0;
  for (const auto& [at, tokens] : fixture.mGrants) {
    granted += tokens;
  }
  BOOST_TEST(granted >= 0.94 * kRate * 20);
  BOOST_TEST(granted <= kRate * 20.5 + kBurst);
  for (const auto& [id, decision] : fixture.mDecisions) {
    BOOST_REQUIRE((decision.mWaited <= kMaxWait + 50ms));
  }
}

// Load: demand of one to ten times the allowance, in requests of all sizes.
// Guards against more grants in some window than the rate and the burst allow.
RC_BOOST_PROP(TheBoundHoldsInEveryWindow, ())
{
  Fixture fixture;
  const auto factor = *rc::gen::inRange(1, 11);
  const auto steps = *rc::gen::inRange(50, 400);
  const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1000);
  Random random(seed);
  for (int n = 0; n < steps; ++n) {
    const auto tokens =
      static_cast<std::uint64_t>(1 + random.UniformFraction() * 500);
    const std::uint64_t id =
      fixture.Arrive(tokens, random.UniformFraction() < 0.5 ? "0" : "9");
    if (random.UniformFraction() < 0.1) {
      fixture.mWaiting.OnCallerDisconnected(id);
    }
    fixture.Pass(Duration(250ms) / factor);
  }
  for (const auto& first : fixture.mGrants) {
    double sum = 0;
    for (const auto& [at, tokens] : fixture.mGrants) {
      const bool isInside = at >= first.first && at < first.first + kWindow;
      sum += isInside ? tokens : 0;
    }
    RC_ASSERT(sum <= kRate * 8 + kBurst);
  }
}

// Load: requests wait while the workspace's limit falls. Guards against
// requests that are held in vain or admitted at the old rate.
BOOST_AUTO_TEST_CASE(RequestsThatWaitWhenTheLimitFallsAreRefused)
{
  Fixture fixture;
  fixture.Drain();
  const std::uint64_t id = fixture.Arrive(200);
  BOOST_TEST(fixture.IsWaiting(id));
  fixture.SetConfiguration(2, kRate / 10, "key");
  BOOST_TEST(fixture.IsRefused(id, RefusalKind::OverAllowance));
  BOOST_TEST(fixture.mWaiting.Counts().mRefused == 1U);
}

// Load: requests wait while the limit rises. Guards against a wait for a time
// that was computed from the old limit.
BOOST_AUTO_TEST_CASE(RequestsThatWaitWhenTheLimitRisesAreAdmittedSooner)
{
  Fixture fixture;
  fixture.Drain();
  const std::uint64_t id = fixture.Arrive(200);
  fixture.SetConfiguration(2, kRate * 100, "key");
  fixture.Pass(20ms);
  BOOST_TEST(fixture.IsAdmitted(id));
}

// Load: requests wait while their key is withdrawn. Guards against an admission
// with a key that is not valid any more, and against a charge for it.
BOOST_AUTO_TEST_CASE(RequestsThatWaitWhenTheirKeyIsWithdrawnAreRefused)
{
  Fixture fixture;
  fixture.Drain();
  const std::uint64_t id = fixture.Arrive(200);
  const auto granted = fixture.mLimiter.Granted();
  fixture.SetConfiguration(2, kRate, "other");
  BOOST_TEST(fixture.IsRefused(id, RefusalKind::KeyWithdrawn));
  BOOST_TEST((fixture.mLimiter.Granted() == granted));
}

// Load: a request waits while this process is delayed for longer than it may
// serve without a confirmed view. Guards against acting on an expired view.
BOOST_AUTO_TEST_CASE(ADelayedProcessDoesNotAdmitWithAnExpiredView)
{
  Fixture fixture;
  fixture.Drain();
  const std::uint64_t id = fixture.Arrive(200, "5", "busy", Duration(100000s));
  fixture.mNow += 2000s;
  AdmissionDecisions decisions;
  fixture.mWaiting.OnTick(fixture.mNow, decisions);
  fixture.Keep(std::move(decisions));
  BOOST_TEST(fixture.IsRefused(id, RefusalKind::ViewStale));
}

// Load: a caller leaves while its request waits. Guards against a charge and an
// admission for nobody, and against followers that wait for it.
BOOST_AUTO_TEST_CASE(ACallerThatLeavesIsNotCharged)
{
  Fixture fixture;
  fixture.Drain();
  const auto granted = fixture.mLimiter.Granted();
  const std::uint64_t first = fixture.Arrive(200);
  fixture.mWaiting.OnCallerDisconnected(first);
  BOOST_TEST(fixture.mWaiting.Counts().mLeft == 1U);
  BOOST_TEST((fixture.mLimiter.Granted() == granted));
  const std::uint64_t second = fixture.Arrive(200);
  fixture.Pass(kMaxWait);
  BOOST_TEST(fixture.IsWaiting(first));
  BOOST_TEST(fixture.IsAdmitted(second));
}

// Load: a request waits while a graceful shutdown comes to its end. Guards
// against a request that ends without a response.
BOOST_AUTO_TEST_CASE(AShutdownRefusesWhatWaits)
{
  Fixture fixture;
  fixture.Drain();
  const std::uint64_t id = fixture.Arrive(200);
  AdmissionDecisions decisions;
  fixture.mWaiting.StopWaiting(
    Refusal::Make(RefusalKind::Leaving, RunVerdictTracker(), 10ms),
    fixture.mNow,
    decisions);
  fixture.Keep(std::move(decisions));
  BOOST_TEST(fixture.IsRefused(id, RefusalKind::Leaving));
  const std::uint64_t later = fixture.Arrive(200);
  BOOST_TEST(fixture.IsRefused(later, RefusalKind::OverAllowance));
}

// Load: two VMs of which the other one spends most of the allowance. Guards
// against an estimate that counts the whole rate for this VM's queue.
BOOST_AUTO_TEST_CASE(TheEstimateCountsWhatOtherVmsSpend)
{
  Fixture fixture;
  fixture.mLimiter.OnPeerGranted("peer", {}, fixture.mNow);
  fixture.mLimiter.OnPeerGranted("peer", { { "busy", 1500 } }, fixture.mNow);
  fixture.Drain(); // A quarter of the grants are this VM's own.
  // Each request ahead counts for 120 ms, and the request itself for 30 ms.
  for (int n = 0; n < 4; ++n) {
    BOOST_TEST(fixture.IsWaiting(fixture.Arrive(30)));
  }
  const std::uint64_t fifth = fixture.Arrive(30);
  BOOST_TEST(fixture.IsRefused(fifth, RefusalKind::OverAllowance));
}
