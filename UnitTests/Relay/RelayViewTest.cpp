/// Tests a VM's view: the configuration and its age, the list of upstreams over
/// outages, the other VMs, and the confirmation of views by peers.
#define BOOST_TEST_MODULE RelayView
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/ContentKey.h>
#include <Peridothoist/Relay/ConfirmedView.h>
#include <Peridothoist/Relay/CallerDirectory.h>
#include <Peridothoist/Relay/MembershipTable.h>
#include <Peridothoist/Relay/RelayAdmission.h>
#include <Peridothoist/Relay/UpstreamList.h>
#include <Peridothoist/Relay/ViewExchange.h>
#include <Relay/PlainUpstream.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <array>
#include <cmath>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

const TimePoint kNow{ 1h };

RelayRoute
MakeRoute(const std::string& aPrefix, bool aOpen = false)
{
  RelayRoute route;
  route.mName = aPrefix;
  route.mHost = "h";
  route.mPathPrefix = aPrefix;
  route.mTargets = { { "s", 1 } };
  route.mIsOpenToAll = aOpen;
  return route;
}

std::shared_ptr<const RelayConfiguration>
MakeConfiguration(std::uint64_t aVersion, bool aOpenRoute = false)
{
  auto configuration = std::make_shared<RelayConfiguration>();
  configuration->mVersion = aVersion;
  configuration->AddRoute(MakeRoute("/a/"));
  configuration->AddRoute(MakeRoute("/a/b/"));
  if (aOpenRoute) {
    configuration->AddRoute(MakeRoute("/open/", true));
  }
  RelayWorkspace workspace;
  workspace.mName = "w";
  workspace.mKeys = { "k" };
  configuration->AddWorkspace(workspace);
  return configuration;
}

GossipMessage
MakeMessage(const std::string& aVm,
            std::uint64_t aSequence,
            ServingState aServing = ServingState::Everything)
{
  GossipMessage message;
  message.mVm = aVm;
  message.mInstance = aVm + "-1";
  message.mSequence = aSequence;
  message.mCallerAddress = aVm + ":80";
  message.mServing = aServing;
  return message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Configuration)

BOOST_AUTO_TEST_CASE(TheLongestPathPrefixIsSelected)
{
  const auto configuration = MakeConfiguration(1);
  BOOST_TEST(configuration->FindRoute("h", "/a/b/c")->mName == "/a/b/");
  BOOST_TEST(configuration->FindRoute("h", "/a/bc")->mName == "/a/");
  BOOST_TEST((configuration->FindRoute("h", "/x") == nullptr));
  BOOST_TEST((configuration->FindRoute("other", "/a/b/") == nullptr));
}

BOOST_AUTO_TEST_CASE(RequestsAreDividedByWeight)
{
  RelayRoute route = MakeRoute("/a/");
  route.mTargets = { { "one", 90 }, { "two", 10 } };
  int two = 0;
  for (std::uint64_t hash = 0; hash < 1000; ++hash) {
    two += *route.SelectService(hash) == "two" ? 1 : 0;
  }
  BOOST_TEST(two == 100);
}

BOOST_AUTO_TEST_CASE(AnOlderVersionIsIgnored)
{
  ConfirmedView view({ 5s, 700ms });
  BOOST_TEST(view.OnRead(MakeConfiguration(4), kNow));
  BOOST_TEST(!view.OnRead(MakeConfiguration(3), kNow + 4s));
  BOOST_TEST(view.Version() == 4U);
  // Reading an older version does not count as a confirmation.
  BOOST_TEST(!view.MayServeKeyedRequests(kNow + 4500ms));
}

BOOST_AUTO_TEST_CASE(KeyedRequestsNeedARecentConfirmation)
{
  ConfirmedView view({ 5s, 700ms });
  BOOST_TEST(!view.MayServeKeyedRequests(kNow));
  view.OnRead(MakeConfiguration(1), kNow);
  BOOST_TEST(view.MayServeKeyedRequests(kNow + 4200ms));
  BOOST_TEST(!view.MayServeKeyedRequests(kNow + 4300ms));
  BOOST_TEST(!view.ShouldAttractKeyedRequests(kNow + 2600ms));
  view.OnRead(MakeConfiguration(1), kNow + 4s);
  BOOST_TEST(view.MayServeKeyedRequests(kNow + 8s));
}

BOOST_AUTO_TEST_CASE(AdmissionChecksTheViewTheKeyAndTheRoute)
{
  ConfirmedView view({ 5s, 700ms });
  WorkspaceRateLimiter limiter({ 8s }, kNow);
  Random random(1);
  RelayAdmission admission(&view, &limiter, &random);
  IncomingRequest request;
  request.mHost = "h";
  request.mPath = "/a/x";
  request.mKey = "k";
  const auto kindAt = [&](TimePoint aNow) {
    Refusal refusal;
    const bool in = admission.Admit(1, request, aNow, &refusal).has_value();
    return in ? std::string("in") : std::string(ToName(refusal.mKind));
  };
  BOOST_TEST(kindAt(kNow) == "view_stale");
  view.OnRead(MakeConfiguration(1, true), kNow);
  BOOST_TEST(kindAt(kNow) == "in");
  BOOST_TEST(kindAt(kNow + 5s) == "view_stale");
  request.mKey = "gone";
  BOOST_TEST(kindAt(kNow) == "key_withdrawn");
  request.mPath = "/none/";
  BOOST_TEST(kindAt(kNow) == "no_route");
  request.mPath = "/open/x";
  BOOST_TEST(kindAt(kNow + 1h) == "in");
  BOOST_TEST(
    (admission.CurrentServingState(kNow + 1h) == ServingState::OpenRoutes));
}

// Guards against a change that is not in force in time because the VM cannot
// read it, although it knows that it exists (CONFIG).
BOOST_AUTO_TEST_CASE(AKnownNewerVersionEndsServingWithTheOldOneInTime)
{
  ConfirmedViewSettings settings;
  settings.mChangeLimit = 3s;
  ConfirmedView view(settings);
  WorkspaceRateLimiter limiter({ 8s }, kNow);
  Random random(1);
  RelayAdmission admission(&view, &limiter, &random);
  view.OnRead(MakeConfiguration(13, true), kNow);
  const auto kindAt = [&](const std::string& aPath, TimePoint aNow) {
    IncomingRequest request;
    request.mHost = "h";
    request.mPath = aPath;
    request.mKey = "k";
    Refusal refusal;
    const bool in = admission.Admit(1, request, aNow, &refusal).has_value();
    return in ? std::string("in") : std::string(ToName(refusal.mKind));
  };
  // No newer version is known: the store may be away for all.
  BOOST_TEST(kindAt("/a/x", kNow + 4s) == "in");
  BOOST_TEST(kindAt("/open/x", kNow + 1h) == "in");
  BOOST_TEST(view.OnPeerVersion(15, kNow + 1s));
  BOOST_TEST(!view.OnPeerVersion(15, kNow + 2s));
  for (const char* path : { "/a/x", "/open/x" }) {
    BOOST_TEST(kindAt(path, kNow + 2900ms) == "in");
    BOOST_TEST(kindAt(path, kNow + 3s) == "view_stale");
  }
  BOOST_TEST(
    (admission.CurrentServingState(kNow + 3s) == ServingState::Nothing));
  view.OnRead(MakeConfiguration(14, true), kNow + 500ms);
  BOOST_TEST(kindAt("/a/x", kNow + 3400ms) == "in");
  BOOST_TEST(kindAt("/a/x", kNow + 3500ms) == "view_stale");
  view.OnRead(MakeConfiguration(15, true), kNow + 8s);
  BOOST_TEST(kindAt("/a/x", kNow + 12s) == "in");
  BOOST_TEST(kindAt("/open/x", kNow + 1h) == "in");
}

// Guards against a statement that is wrong, or was true before the store was
// restored from a copy, and that ends service for good.
BOOST_AUTO_TEST_CASE(AConfirmationRefutesAnEarlierStatement)
{
  ConfirmedViewSettings settings;
  settings.mChangeLimit = 3s;
  ConfirmedView view(settings);
  view.OnRead(MakeConfiguration(13), kNow);
  view.OnPeerVersion(15, kNow + 1s);
  view.Confirm(kNow + 1s); // It may have come right then.
  BOOST_TEST(view.IsOutdated());
  BOOST_TEST(!view.MayServe(kNow + 4s));
  view.OnRead(MakeConfiguration(13), kNow + 2s);
  BOOST_TEST(!view.IsOutdated());
  BOOST_TEST(view.MayServe(kNow + 1h));
  view.OnPeerVersion(16, kNow + 3s);
  BOOST_TEST(view.IsOutdated());
}

// A resumed stream is looked up under the id of the new attempt, which nobody
// can know, or an attempt that names none under no content.
BOOST_AUTO_TEST_CASE(AResumedStreamHasTheKeyOfItsFirstAttemptOrNone)
{
  ConfirmedView view({ 5s, 700ms });
  WorkspaceRateLimiter limiter({ 8s }, kNow);
  Random random(1);
  RelayAdmission admission(&view, &limiter, &random);
  auto configuration = std::make_shared<RelayConfiguration>();
  configuration->AddRoute(MakeRoute("/plain/", true));
  RelayRoute route = MakeRoute("/stream/", true);
  route.mKind = RouteKind::Stream;
  configuration->AddRoute(route);
  view.OnRead(configuration, kNow);
  IncomingRequest request;
  request.mHost = "h";
  request.mName = "new";
  const auto keyOf = [&](const std::string& aPath,
                         std::uint64_t aLastEventId,
                         const std::string& aResumed) {
    request.mPath = aPath;
    request.mLastEventId = aLastEventId;
    request.mResumedRequest = aResumed;
    Refusal refusal;
    const auto admitted = admission.Admit(1, request, kNow, &refusal);
    return admitted->mOriginKey + (admitted->mIsResumed ? " resumed" : "");
  };
  BOOST_TEST(keyOf("/stream/", 0, "") == "/new");
  BOOST_TEST(keyOf("/stream/", 0, "first") == "/new");
  BOOST_TEST(keyOf("/stream/", 3, "first") == "/first resumed");
  BOOST_TEST(keyOf("/stream/", 3, "") == " resumed");
  BOOST_TEST(keyOf("/plain/", 3, "first") == "/new");
}

// Attempts of one stream have different keys, or those of different streams
// have the same one.
BOOST_AUTO_TEST_CASE(TheContentKeyDependsOnTheContentOnly)
{
  const StreamContent content{ "w", "digest", "a:10,b:20", 30, 40 };
  const std::string key = MakeContentKey(content);
  BOOST_TEST(MakeContentKey(content) == key);
  BOOST_TEST(IsContentKey(key));
  BOOST_TEST(!IsContentKey("w/attempt"));
  StreamContent other = content;
  other.mWorkspace = "x";
  BOOST_TEST(MakeContentKey(other) != key);
  other = content;
  other.mDigest = "other";
  BOOST_TEST(MakeContentKey(other) != key);
  other = content;
  other.mPromptParts = "a:10,c:20"; // The last part differs.
  BOOST_TEST(MakeContentKey(other) != key);
  other = content;
  other.mPromptTokens = 31;
  BOOST_TEST(MakeContentKey(other) != key);
  other = content;
  other.mOutputTokens = 41;
  BOOST_TEST(MakeContentKey(other) != key);
}

// Streams that can't be resumed are announced, or those that can are not found
// by a new attempt, whose id and last event differ.
BOOST_AUTO_TEST_CASE(AttemptsOfAStreamHaveOneContentKey)
{
  ConfirmedView view({ 5s, 700ms });
  WorkspaceRateLimiter limiter({ 8s }, kNow);
  Random random(1);
  RelayAdmission admission(&view, &limiter, &random);
  auto configuration = std::make_shared<RelayConfiguration>();
  RelayRoute route = MakeRoute("/stream/", true);
  route.mKind = RouteKind::Stream;
  configuration->AddRoute(route);
  route = MakeRoute("/resumable/", true);
  route.mKind = RouteKind::Stream;
  route.mIsResumable = true;
  configuration->AddRoute(route);
  view.OnRead(configuration, kNow);
  IncomingRequest request;
  request.mHost = "h";
  request.mName = "first";
  request.mPath = "/resumable/";
  request.mDigest = "digest";
  const auto keyOf = [&] {
    Refusal refusal;
    return admission.Admit(1, request, kNow, &refusal)->mContentKey;
  };
  const std::string first = keyOf();
  BOOST_TEST(IsContentKey(first));
  request.mName = "second";
  request.mLastEventId = 3;
  BOOST_TEST(keyOf() == first);
  request.mPromptParts = "a:1";
  BOOST_TEST(keyOf() != first);
  request.mPath = "/stream/";
  BOOST_TEST(keyOf() == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UpstreamLists)

// VMs with different software versions in their lists take them for equal.
BOOST_AUTO_TEST_CASE(ListsWithOtherSoftwareVersionsHaveOtherDigests)
{
  UpstreamList list({ 2s });
  RelayUpstream upstream = MakeUpstream("one");
  upstream.mSoftwareVersion = "v1";
  list.OnListRead({ upstream }, kNow);
  const std::uint64_t digest = list.Digest();
  upstream.mSoftwareVersion = "v2";
  list.OnListRead({ upstream }, kNow);
  BOOST_TEST(list.Digest() != digest);
}

// Guards against a list that counts as confirmed when its read ends, although
// it lacks what was registered while the read was on its way.
BOOST_AUTO_TEST_CASE(AListIsConfirmedAsOfTheStartOfItsRead)
{
  UpstreamList upstreams({ 2s });
  upstreams.OnListRead({ MakeUpstream("u") }, kNow + 4s, kNow);
  BOOST_TEST((upstreams.ListedAt() == kNow));
  BOOST_TEST(upstreams.IsCurrent(kNow + 5s));
  BOOST_TEST(!upstreams.IsCurrent(kNow + 6s));
  // A peer's list is newer than a read that was started before it.
  upstreams.OnPeerList({ { MakeUpstream("new") } }, kNow + 2s);
  BOOST_TEST(
    upstreams.OnListRead({ MakeUpstream("u") }, kNow + 5s, kNow + 1s).empty());
  BOOST_TEST(upstreams.AcceptsRequests("new"));
}

BOOST_AUTO_TEST_CASE(AnUpstreamMissingFromTheListIsLost)
{
  UpstreamList upstreams({ 2s });
  upstreams.OnListRead({ MakeUpstream("u") }, kNow);
  BOOST_TEST(upstreams.AcceptsRequests("u"));
  BOOST_TEST(upstreams.OnListRead({}, kNow + 1s).size() == 1U);
  BOOST_TEST(!upstreams.AcceptsRequests("u"));
}

BOOST_AUTO_TEST_CASE(EntriesThatExpiredInAnOutageAreKeptForATime)
{
  UpstreamList upstreams({ 2s });
  upstreams.OnListRead({ MakeUpstream("back"), MakeUpstream("gone") }, kNow);
  upstreams.OnUnreachable(kNow + 1s, kNow + 1s);
  BOOST_TEST(upstreams.AcceptsRequests("gone"));
  upstreams.OnListRead({}, kNow + 10s);
  BOOST_TEST(upstreams.AcceptsRequests("back"));
  BOOST_TEST(upstreams.IsMissing("back"));
  upstreams.OnListRead({ MakeUpstream("back") }, kNow + 11s);
  BOOST_TEST(!upstreams.IsMissing("back"));
  BOOST_TEST(upstreams.AcceptsRequests("gone"));
  const auto lost = upstreams.OnListRead({ MakeUpstream("back") }, kNow + 12s);
  BOOST_TEST(lost.size() == 1U);
  BOOST_TEST(!upstreams.AcceptsRequests("gone"));
}

// Guards against an upstream that left and is used again, because the VM that
// read the list for others was turned away by the store while these were served
// (DRAIN).
BOOST_AUTO_TEST_CASE(NothingIsKeptAfterOthersWereServed)
{
  const auto isKept = [](std::optional<TimePoint> aPeerConfirmedAt) {
    UpstreamList upstreams({ 2s });
    upstreams.OnListRead({ MakeUpstream("a"), MakeUpstream("left") }, kNow);
    upstreams.OnUnreachable(kNow + 1s, kNow + 2s);
    if (aPeerConfirmedAt) {
      upstreams.Confirm(*aPeerConfirmedAt);
    }
    upstreams.OnUnreachable(kNow + 4s, kNow + 5s);
    upstreams.OnListRead({ MakeUpstream("a") }, kNow + 6s);
    return upstreams.AcceptsRequests("left");
  };
  BOOST_TEST(isKept(std::nullopt));  // The list was away, for all one knows.
  BOOST_TEST(!isKept(kNow + 3s));    // It served others meanwhile.
  BOOST_TEST(isKept(kNow + 500ms));  // That was before.
  BOOST_TEST(isKept(kNow + 4500ms)); // It may have come back just then.
}

// The same by a peer that keeps the entry because it knows no better.
BOOST_AUTO_TEST_CASE(AnEntryThatAPeerOnlyKeepsIsNotTakenBack)
{
  UpstreamList upstreams({ 2s });
  upstreams.OnListRead({ MakeUpstream("a"), MakeUpstream("kept") }, kNow);
  upstreams.OnListRead({ MakeUpstream("a"), MakeUpstream("kept") }, kNow + 1s);
  const std::vector<UpstreamList::Entry> mixed = {
    { MakeUpstream("a") },
    { MakeUpstream("kept"), true },
    { MakeUpstream("left"), true }
  };
  upstreams.OnPeerList(mixed, kNow + 2s);
  BOOST_TEST(upstreams.AcceptsRequests("a"));
  BOOST_TEST(upstreams.IsMissing("kept"));
  BOOST_TEST(!upstreams.AcceptsRequests("left"));
  // A VM that has just started knows nothing of its own.
  UpstreamList first({ 2s });
  first.OnPeerList(mixed, kNow + 2s);
  BOOST_TEST(first.AcceptsRequests("left"));
}

// Guards against a guess that comes back as knowledge (DRAIN): a VM keeps an
// upstream that may have expired, another one has an older list in which it is
// listed, and a third one has dropped it.
BOOST_AUTO_TEST_CASE(AKeptEntryDoesNotConfirmAListedOne)
{
  ConfirmedView view({});
  view.OnRead(MakeConfiguration(1), kNow);
  UpstreamList keeping({ 2s });
  keeping.OnListRead({ MakeUpstream("a"), MakeUpstream("left") }, kNow);
  keeping.OnUnreachable(kNow + 1s, kNow + 2s);
  keeping.OnListRead({ MakeUpstream("a") }, kNow + 3s);
  BOOST_REQUIRE(keeping.IsMissing("left"));
  UpstreamList older({ 2s });
  older.OnListRead({ MakeUpstream("a"), MakeUpstream("left") }, kNow);
  UpstreamList dropped({ 2s });
  dropped.OnListRead({ MakeUpstream("a") }, kNow + 1s);

  ViewExchange asker(&view, &older);
  const ViewExchange answerer(&view, &keeping);
  const auto response =
    answerer.MakeResponse({ ViewExchange::TimestampOf(kNow + 3s) }, kNow + 3s);
  BOOST_REQUIRE(response);
  const auto result = asker.OnPeerResponse(*response, kNow + 3s);
  BOOST_TEST(result.mShouldReadUpstreams);
  BOOST_TEST((older.ListedAt() == kNow));
  std::vector<UpstreamList::Entry> entries;
  for (const auto& [id, entry] : older.All()) {
    entries.push_back(entry);
  }
  if (older.ListedAt() > dropped.ListedAt()) {
    dropped.OnPeerList(entries, *older.ListedAt());
  }
  BOOST_TEST(!dropped.AcceptsRequests("left"));
}

BOOST_AUTO_TEST_CASE(ARestartUnderTheSameIdCountsAsALoss)
{
  UpstreamList upstreams({ 2s });
  RelayUpstream upstream = MakeUpstream("u");
  upstream.mIncarnationId = 1;
  upstreams.OnListRead({ upstream }, kNow);
  upstream.mIncarnationId = 2;
  const auto lost = upstreams.OnListRead({ upstream }, kNow + 1s);
  BOOST_REQUIRE(lost.size() == 1U);
  BOOST_TEST(!lost[0].mWasLeaving);
  BOOST_TEST(upstreams.AcceptsRequests("u"));
}

BOOST_AUTO_TEST_CASE(LeavingUpstreamsGetNoNewRequests)
{
  UpstreamList upstreams({ 2s });
  upstreams.OnListRead({ MakeUpstream("u", true) }, kNow);
  BOOST_TEST(!upstreams.AcceptsRequests("u"));
  const auto lost = upstreams.OnListRead({}, kNow + 1s);
  BOOST_TEST(lost[0].mWasLeaving);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Membership)

BOOST_AUTO_TEST_CASE(OutdatedMessagesAreIgnored)
{
  MembershipTable members({ 1s }, "me");
  BOOST_TEST(members.OnGossipMessage(MakeMessage("a", 2), kNow));
  BOOST_TEST(!members.OnGossipMessage(MakeMessage("a", 1), kNow));
  BOOST_TEST(!members.OnGossipMessage(MakeMessage("me", 9), kNow));
}

BOOST_AUTO_TEST_CASE(SilentVmsAreCountedAsUnreachable)
{
  MembershipTable members({ 1s }, "me");
  members.SetRegistered({ "me", "a", "b", "c" }, kNow);
  BOOST_TEST(members.ReachableFraction(kNow) == 0.25);
  members.OnGossipMessage(MakeMessage("a", 1), kNow);
  BOOST_TEST(members.ReachableFraction(kNow) == 0.5);
  BOOST_TEST(members.ReachableFraction(kNow + 2s) == 0.25);
}

BOOST_AUTO_TEST_CASE(CallersAreDirectedToVmsThatServeEverything)
{
  MembershipTable members({ 1s }, "me");
  members.SetRegistered({ "me", "a", "b" }, kNow);
  members.OnGossipMessage(MakeMessage("a", 1), kNow);
  members.OnGossipMessage(MakeMessage("b", 1, ServingState::OpenRoutes), kNow);
  Random random(1);
  CallerDirectory directory({}, &random);
  const auto list = [&](ServingState aOwn, TimePoint aNow) {
    std::vector<CallerAddress> callers = members.Callers(aNow);
    callers.push_back({ "", "me:80", aOwn });
    return directory.Select(callers, "", members.Count(aNow));
  };
  BOOST_TEST(list(ServingState::Everything, kNow).size() == 2U);
  BOOST_TEST(list(ServingState::OpenRoutes, kNow).size() == 1U);
  // This VM is cut off: others may serve everything, so it lists no addresses.
  BOOST_TEST(list(ServingState::OpenRoutes, kNow + 2s).empty());
  BOOST_TEST(list(ServingState::Everything, kNow + 2s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(CrashReportsPerMessageAreLimited)
{
  // A quarter of the engines crash with all the requests that ran there. The
  // reports must not make messages large, and each must still be sent.
  std::vector<CrashReport> all;
  for (int n = 0; n < 200; ++n) {
    CrashReport report{ std::to_string(n), { { 1, 0, 1s, 1ms, false } } };
    if (n == 150) {
      report.mSightings.push_back({ 2, 0, 1s, 1ms, false });
    }
    all.push_back(report);
  }
  std::set<std::string> reported;
  for (std::uint64_t messageNumber = 0; messageNumber < 60; ++messageNumber) {
    const auto some = SelectCrashReports(all, 8, messageNumber);
    BOOST_TEST(some.size() == 8U);
    BOOST_TEST(some[0].mContent == "150");
    for (const CrashReport& it : some) {
      reported.insert(it.mContent);
    }
  }
  BOOST_TEST(reported.size() == 200U);
}

BOOST_AUTO_TEST_CASE(VmsOfANewLayoutAreNotTakenForSilent)
{
  // A VM registered long ago moves into this VM's cell. Its registration must
  // not be removed because it was not heard before.
  MembershipTable members({ 1s }, "me");
  members.SetRegistered({ "me", "a" }, kNow);
  members.RestartSilence(kNow + 60s);
  BOOST_TEST(members.RegisteredButSilent(30s, kNow + 61s).empty());
  BOOST_TEST(members.RegisteredButSilent(30s, kNow + 91s).size() == 1U);
}

// Guards against a VM that was paused itself, takes all others for silent when
// it continues, and removes their registrations.
BOOST_AUTO_TEST_CASE(APausedVmTakesNoOtherForSilent)
{
  MembershipTable members({ 1s }, "me");
  members.SetRegistered({ "me", "a" }, kNow);
  members.OnRunning(kNow);
  BOOST_TEST(members.RegisteredButSilent(30s, kNow + 40s).empty());
  members.OnRunning(kNow + 40s);
  BOOST_TEST(members.RegisteredButSilent(30s, kNow + 40s).empty());
  for (int n = 0; n <= 31; ++n) {
    members.OnRunning(kNow + 40s + n * Duration(1s));
  }
  BOOST_TEST(members.RegisteredButSilent(30s, kNow + 71s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(VmsSilentForTooLongAreFound)
{
  MembershipTable members({ 1s }, "me");
  members.SetRegistered({ "me", "a" }, kNow);
  BOOST_TEST(members.RegisteredButSilent(30s, kNow + 29s).empty());
  BOOST_TEST(members.RegisteredButSilent(30s, kNow + 31s).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// One VM's view and its exchange with peers.
struct VmView
{
  VmView()
    : mView({ 5s, 700ms })
    , mUpstreamList({ 2s })
    , mExchange(&mView, &mUpstreamList)
  {
  }

  void Read(std::uint64_t aVersion, TimePoint aNow)
  {
    mView.OnRead(MakeConfiguration(aVersion), aNow);
    mUpstreamList.OnListRead({ MakeUpstream("u") }, aNow);
  }

  ConfirmedView mView;
  UpstreamList mUpstreamList;
  ViewExchange mExchange;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ViewExchanges)

BOOST_AUTO_TEST_CASE(AResponseConfirmsNothingLaterThanItsQuery)
{
  VmView reader;
  VmView follower;
  reader.Read(1, kNow);
  follower.Read(1, kNow);
  const ViewQuery query{ ViewExchange::TimestampOf(kNow + 2s), "" };
  const auto response = reader.mExchange.MakeResponse(query, kNow + 2s);
  BOOST_REQUIRE(response.has_value());
  // The follower handles the response after a pause of ten seconds. It confirms
  // nothing later than the query.
  follower.mExchange.OnPeerResponse(*response, kNow + 12s);
  BOOST_TEST((follower.mView.Age(kNow + 12s) == Duration(12s)));
  BOOST_TEST(!follower.mView.MayServeKeyedRequests(kNow + 12s));
}

BOOST_AUTO_TEST_CASE(AResponseConfirmsTheSameVersion)
{
  VmView reader;
  VmView follower;
  follower.Read(1, kNow);
  reader.Read(1, kNow + 4s);
  const ViewQuery query{ ViewExchange::TimestampOf(kNow + 5s), "" };
  const auto outcome = follower.mExchange.OnPeerResponse(
    *reader.mExchange.MakeResponse(query, kNow + 5s), kNow + 5s);
  BOOST_TEST(!outcome.mShouldReadConfiguration);
  BOOST_TEST(!outcome.mShouldReadUpstreams);
  BOOST_TEST((follower.mView.Age(kNow + 5s) == Duration(1s)));
  BOOST_TEST((*follower.mUpstreamList.ListedAt() == kNow + 4s));
}

BOOST_AUTO_TEST_CASE(AVmWithAnOlderViewReadsTheStore)
{
  VmView reader;
  VmView follower;
  follower.Read(1, kNow);
  reader.Read(2, kNow + 1s);
  reader.mUpstreamList.OnListRead({ MakeUpstream("u", true) }, kNow + 1s);
  const ViewQuery query{ ViewExchange::TimestampOf(kNow + 2s), "" };
  const auto outcome = follower.mExchange.OnPeerResponse(
    *reader.mExchange.MakeResponse(query, kNow + 2s), kNow + 2s);
  BOOST_TEST(outcome.mShouldReadConfiguration);
  BOOST_TEST(outcome.mShouldReadUpstreams);
  BOOST_TEST((follower.mView.Age(kNow + 2s) == Duration(2s)));
  // A response from a VM with an older view causes no read.
  const auto back = reader.mExchange.OnPeerResponse(
    *follower.mExchange.MakeResponse(query, kNow + 2s), kNow + 2s);
  BOOST_TEST(!back.mShouldReadConfiguration);
  BOOST_TEST(!back.mShouldReadUpstreams);
}

namespace {

std::shared_ptr<const RelayConfiguration>
WithZones(std::uint64_t aVersion, std::set<std::string> aZones)
{
  auto configuration =
    std::make_shared<RelayConfiguration>(*MakeConfiguration(aVersion));
  configuration->mEvacuatedZones = std::move(aZones);
  return configuration;
}

/// A VM that knows of evacuations.
struct ZoneView : VmView
{
  ZoneView()
  {
    ConfirmedViewSettings settings;
    settings.mHasEvacuations = true;
    mView.SetSettings(settings);
  }

  void ReadZones(std::set<std::string> aZones, TimePoint aNow)
  {
    mView.OnRead(WithZones(1, std::move(aZones)), aNow);
    mUpstreamList.OnListRead({ MakeUpstream("u") }, aNow);
  }

  /// Returns this VM's response to a query sent at aNow.
  ViewResponse RespondAt(TimePoint aNow) const
  {
    return *mExchange.MakeResponse({ ViewExchange::TimestampOf(aNow), "" },
                                   aNow);
  }
};

} // namespace

// Guards against a VM that keeps an evacuation, or its end, to itself: the
// version of the configuration does not tell it.
BOOST_AUTO_TEST_CASE(ALaterStateOfTheZonesIsReadInBothDirections)
{
  ZoneView reader;
  ZoneView follower;
  follower.ReadZones({}, kNow);
  TimePoint now = kNow;
  const std::vector<std::set<std::string>> states = { { "a" },
                                                      { "a", "b" },
                                                      {} };
  for (const auto& zones : states) {
    now += 1s;
    reader.ReadZones(zones, now);
    const auto outcome =
      follower.mExchange.OnPeerResponse(reader.RespondAt(now), now);
    BOOST_TEST(outcome.mShouldReadConfiguration);
    BOOST_TEST((follower.mView.Age(now) == Duration(1s)));
    follower.ReadZones(zones, now);
    BOOST_TEST((follower.mView.Configuration()->mEvacuatedZones == zones));
  }
}

// Guards against an evacuation that is undone by a late response, by a peer
// that knows less, or by a read that began earlier and ended later.
BOOST_AUTO_TEST_CASE(AnEarlierStateOfTheZonesChangesNothing)
{
  ZoneView old;
  ZoneView current;
  old.ReadZones({}, kNow);
  const ViewResponse late = old.RespondAt(kNow + 1s);
  current.ReadZones({ "a" }, kNow + 2s);
  for (const TimePoint at : { kNow + 2s, kNow + 10s }) {
    for (const ViewResponse& it : { late, old.RespondAt(at) }) {
      const auto outcome = current.mExchange.OnPeerResponse(it, at);
      BOOST_TEST(!outcome.mShouldReadConfiguration);
    }
  }
  BOOST_TEST((current.mView.Age(kNow + 10s) == Duration(8s)));
  BOOST_TEST(!current.mView.OnRead(WithZones(1, {}), kNow + 1s));
  BOOST_TEST(current.mView.Configuration()->mEvacuatedZones.count("a") == 1U);
  BOOST_TEST(!current.mView.HasStateOf(*WithZones(1, {})));
}

// Guards against a peer of an older build, which states no digest, that
// confirms zones which it does not know; without evacuations it still counts.
BOOST_AUTO_TEST_CASE(AnOlderBuildsResponseConfirmsNoZones)
{
  ZoneView older;
  ZoneView current;
  current.ReadZones({ "a" }, kNow);
  older.ReadZones({}, kNow + 3s);
  ViewResponse response = older.RespondAt(kNow + 4s);
  response.mEvacuationDigest = 0;
  const auto outcome = current.mExchange.OnPeerResponse(response, kNow + 4s);
  BOOST_TEST(!outcome.mShouldReadConfiguration);
  BOOST_TEST((current.mView.Age(kNow + 4s) == Duration(4s)));
  VmView without;
  without.Read(1, kNow);
  without.mExchange.OnPeerResponse(response, kNow + 4s);
  BOOST_TEST((without.mView.Age(kNow + 4s) == Duration(1s)));
}

BOOST_AUTO_TEST_CASE(AResponseWithAFutureTimestampIsIgnored)
{
  VmView reader;
  VmView follower;
  reader.Read(1, kNow);
  follower.Read(1, kNow);
  const ViewQuery query{ ViewExchange::TimestampOf(kNow + 1h), "" };
  follower.mExchange.OnPeerResponse(
    *reader.mExchange.MakeResponse(query, kNow + 1s), kNow + 2s);
  BOOST_TEST((follower.mView.Age(kNow + 2s) == Duration(2s)));
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// Runs random reads, queries and delayed responses, and checks that no VM
/// considers its view more recent than it is.
class RandomViewExchanges
{
public:
  void Step()
  {
    mNow += std::chrono::milliseconds(*rc::gen::inRange(1, 900));
    const auto vm = *rc::gen::inRange<std::size_t>(0, mVms.size());
    switch (*rc::gen::inRange(0, 4)) {
      case 0: // The operator writes.
        ++mVersion;
        mWrittenAt.push_back(mNow);
        break;
      case 1:
        mVms[vm].Read(mVersion, mNow);
        break;
      case 2:
        SendQuery(vm);
        break;
      default:
        DeliverOne();
    }
    for (const VmView& it : mVms) {
      Check(it);
    }
  }

private:
  struct DelayedResponse
  {
    std::size_t mTo;
    ViewResponse mResponse;
  };

  void SendQuery(std::size_t aFrom)
  {
    const ViewQuery query{ ViewExchange::TimestampOf(mNow), "" };
    mNow += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
    const auto peer = *rc::gen::inRange<std::size_t>(0, mVms.size());
    if (const auto response = mVms[peer].mExchange.MakeResponse(query, mNow)) {
      mDelayed.push_back({ aFrom, *response });
    }
  }

  void DeliverOne()
  {
    if (!mDelayed.empty()) {
      const auto n = *rc::gen::inRange<std::size_t>(0, mDelayed.size());
      mVms[mDelayed[n].mTo].mExchange.OnPeerResponse(mDelayed[n].mResponse,
                                                     mNow);
      mDelayed.erase(mDelayed.begin() + static_cast<std::ptrdiff_t>(n));
    }
  }

  /// Checks that a view contains everything written before its confirmation.
  void Check(const VmView& aVm) const
  {
    if (aVm.mView.Version() == 0 || aVm.mView.Version() == mVersion) {
      return;
    }
    const TimePoint confirmed = mNow - aVm.mView.Age(mNow);
    RC_ASSERT(confirmed <= mWrittenAt[aVm.mView.Version() - 1]);
  }

  std::array<VmView, 3> mVms;
  std::vector<DelayedResponse> mDelayed;
  /// Times at which versions 2, 3 and so on were written.
  std::vector<TimePoint> mWrittenAt;
  std::uint64_t mVersion = 1;
  TimePoint mNow{ 1h };
};

} // namespace

RC_BOOST_PROP(NoViewAppearsMoreRecentThanItIs, ())
{
  RandomViewExchanges exchanges;
  for (int n = 0; n < 80; ++n) {
    exchanges.Step();
  }
}
