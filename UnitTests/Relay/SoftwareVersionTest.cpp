/// Tests that what upstreams of two software versions generate is never joined
/// in one stream, within one response or over a caller's attempts.
#define BOOST_TEST_MODULE SoftwareVersion
#include <Peridothoist/Peridothoist.h>
#include <Relay/RelayFixture.h>

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <array>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

/// Two engines of one software version and one of another. The nearest idle one
/// is "d1", then "d2", which runs another version; "d3" is busier.
class VersionFixture : public RelayFixture
{
public:
  VersionFixture()
  {
    ListEngines();
    mMachine.Loads().OnSent("d3", 0);
    mMachine.Loads().OnSent("d3", 0);
  }

  static RelayUpstream Engine(const std::string& aId,
                              const std::string& aZone,
                              const std::string& aVersion)
  {
    RelayUpstream engine = Upstream(aId, RelayStage::Decode, aZone);
    engine.mSoftwareVersion = aVersion;
    return engine;
  }

  /// Lists the engines without those of aGone.
  void ListEngines(const std::set<std::string>& aGone = {})
  {
    std::vector<RelayUpstream> engines;
    for (const RelayUpstream& it : { Engine("d1", "a", "v1"),
                                     Engine("d2", "b", "v2"),
                                     Engine("d3", "b", "v1") }) {
      if (aGone.count(it.mId) == 0) {
        engines.push_back(it);
      }
    }
    List(engines);
  }

  static std::shared_ptr<const RelayRoute> StreamRoute(
    std::uint32_t aMaxAttempts = 3)
  {
    RelayRoute route = *Route(RouteKind::Stream, aMaxAttempts, true);
    route.mTargets = { { "engines", 1 } };
    return std::make_shared<const RelayRoute>(route);
  }

  /// Passes a stream to the machine; returns its id. With aLastEventId above 0
  /// the caller resumes the stream of aKey; if that is empty, it names none.
  std::uint64_t ArriveStream(const std::string& aKey,
                             std::uint64_t aLastEventId = 0,
                             std::shared_ptr<const RelayRoute> aRoute = nullptr,
                             const std::string& aContentKey = "")
  {
    AdmittedRequest request;
    request.mId = ++mLastId;
    request.mRoute = aRoute != nullptr ? std::move(aRoute) : StreamRoute();
    request.mService = "engines";
    request.mDigest = "d" + std::to_string(mLastId);
    request.mOriginKey = aKey;
    request.mContentKey = aContentKey;
    request.mPromptTokens = mPromptTokens;
    request.mIsResumed = aLastEventId > 0;
    request.mLastEventId = aLastEventId;
    request.mArrivedAt = mNow;
    request.mCallerTimeout = 14s;
    request.mDeadline = mNow + 14s;
    RelayCommands out;
    mMachine.OnArrival(std::move(request), mNow, out);
    Append(std::move(out));
    return mLastId;
  }

  std::uint64_t mPromptTokens = 0; ///< Of streams that arrive.

  /// Passes the origin of aKey to the machine, as stated by other VMs.
  void FindOrigin(const std::string& aKey, std::optional<StreamOrigin> aOrigin)
  {
    RelayCommands out;
    mMachine.OnOriginFound(aKey, std::move(aOrigin), mNow, out);
    Append(std::move(out));
  }

  /// Passes the record of the service to the machine, as read now, when the
  /// store's clock is at 1,000 s.
  void ReadRecord(const ServiceVersions& aRecord)
  {
    RelayCommands out;
    mMachine.OnVersionsRead(
      { { "engines", aRecord } }, 1000 * 1000, mNow, mNow, out);
    Append(std::move(out));
  }

  void SetBeginners(std::optional<ListedVersions> aVersions)
  {
    RelayCommands out;
    mMachine.OnBeginnersChanged(std::move(aVersions), mNow, out);
    Append(std::move(out));
  }

  /// Lists engines of one version every second for aTime.
  void ListOnly(const std::string& aVersion, Duration aTime)
  {
    for (Duration time{ 0 }; time <= aTime; time += 1s) {
      List({ Engine("d1", "a", aVersion), Engine("d3", "b", aVersion) });
      Advance(1s);
    }
  }

  /// Lists engines of one version now.
  void ListNow(const std::string& aVersion)
  {
    List({ Engine("d1", "a", aVersion), Engine("d3", "b", aVersion) });
  }

  /// Checks that the only response so far is a refusal which states that the
  /// request was not run and that another try may help.
  void CheckRefused(RefusalKind aKind)
  {
    const Refusal refusal = OnlyRefusal();
    BOOST_TEST(ToName(refusal.mKind) == ToName(aKind));
    BOOST_TEST(refusal.Status() == 503);
    BOOST_TEST((refusal.mVerdict == RunVerdict::NotRun));
    BOOST_TEST((refusal.mRetryAfter > Duration(0)));
    BOOST_TEST(Called().empty());
  }

  /// Returns the upstreams of the calls that were started since TakeCommands().
  std::vector<std::string> Called() const
  {
    std::vector<std::string> called;
    for (const RelayCommand& it : mCommands) {
      if (it.mKind == RelayCommandKind::StartCall) {
        called.push_back(it.mUpstream);
      }
    }
    return called;
  }

  /// Returns the keys that were announced since TakeCommands().
  std::vector<std::string> Announced() const
  {
    std::vector<std::string> keys;
    for (const RelayCommand& it : mCommands) {
      if (it.mKind == RelayCommandKind::AnnounceOrigin) {
        keys.push_back(it.mOriginKey);
      }
    }
    return keys;
  }

  /// Lets a stream of aKey begin at "d1" and break after its second event.
  void BreakStream(const std::string& aKey)
  {
    const auto call = Call(ArriveStream(aKey, 0, StreamRoute(1)));
    BOOST_REQUIRE(call.mUpstream == "d1");
    Event(call, 1);
    Event(call, 2);
    End(call, Broken());
  }
};

using Ids = std::vector<std::string>;

const StreamOrigin kV1{ "engines", "v1" };

} // namespace

BOOST_FIXTURE_TEST_SUITE(OneVm, VersionFixture)

// A broken stream goes on at an idle engine of another version.
BOOST_AUTO_TEST_CASE(ABrokenStreamContinuesAtItsVersion)
{
  const auto call = Call(ArriveStream("a"));
  BOOST_REQUIRE(call.mUpstream == "d1");
  Event(call, 1);
  TakeCommands();
  End(call, Broken());
  BOOST_TEST(Called() == Ids{ "d3" }, boost::test_tools::per_element());
}

// A silent stream is taken over by an engine of another version.
BOOST_AUTO_TEST_CASE(ASilentStreamContinuesAtItsVersion)
{
  const auto call = Call(ArriveStream("a"));
  Event(call, 1);
  TakeCommands();
  Advance(MakeSettings().mEventGapTimeout + 100ms);
  BOOST_TEST(Called() == Ids{ "d3" }, boost::test_tools::per_element());
  const RelayCommand reserve = Call(call.mId);
  BOOST_TEST((reserve.mCallKind == RelayCallKind::Reserve));
  TakeCommands();
  End(reserve, Reserved("k"));
  BOOST_TEST(Called() == Ids{ "d3" }, boost::test_tools::per_element());
}

// An engine is restarted with another version between the reservation and the
// call of a stream that it takes over.
BOOST_AUTO_TEST_CASE(AReservationOfAnotherVersionIsNotUsed)
{
  const auto call = Call(ArriveStream("a"));
  Event(call, 1);
  TakeCommands();
  Advance(MakeSettings().mEventGapTimeout + 100ms);
  const RelayCommand reserve = Call(call.mId);
  BOOST_REQUIRE(reserve.mUpstream == "d3");
  List({ Engine("d1", "a", "v1"), Engine("d3", "a", "v2") });
  TakeCommands();
  End(reserve, Reserved("k"));
  BOOST_TEST(Called().empty());
  BOOST_TEST(Count(RelayCommandKind::ReleaseReservation) == 1U);
  BOOST_TEST(Count(RelayCommandKind::AbortStream) == 0U);
}

// Without a second engine of its version a broken stream goes on at another.
BOOST_AUTO_TEST_CASE(ABrokenStreamWithoutItsVersionIsAborted)
{
  ListEngines({ "d3" });
  const auto call = Call(ArriveStream("a"));
  Event(call, 1);
  TakeCommands();
  End(call, Broken());
  BOOST_TEST(Called().empty());
  BOOST_TEST(Count(RelayCommandKind::AbortStream) == 1U);
}

// A caller's new attempt goes on at another version than its first one.
BOOST_AUTO_TEST_CASE(ACallersAttemptContinuesAtTheVersionOfTheFirst)
{
  BreakStream("a");
  ListEngines({ "d1" });
  TakeCommands();
  ArriveStream("a", 2);
  BOOST_TEST(Called() == Ids{ "d3" }, boost::test_tools::per_element());
}

// The origin is announced after the caller has events, or with each event.
BOOST_AUTO_TEST_CASE(TheOriginIsAnnouncedOnceBeforeTheHead)
{
  const auto call = Call(ArriveStream("a"));
  TakeCommands();
  Event(call, 1);
  Event(call, 2);
  BOOST_REQUIRE(mCommands.size() == 4U);
  BOOST_TEST((mCommands[0].mKind == RelayCommandKind::AnnounceOrigin));
  BOOST_TEST(mCommands[0].mOriginKey == "a");
  BOOST_TEST((mCommands[0].mOrigin == kV1));
  BOOST_TEST((mCommands[1].mKind == RelayCommandKind::SendHead));
  BOOST_TEST(mMachine.Counters().mOriginsAnnounced == 1U);
}

// Streams that nobody may resume fill the tables of all VMs.
BOOST_AUTO_TEST_CASE(AStreamThatIsNotResumableHasNoOrigin)
{
  const auto call =
    Call(ArriveStream("a", 0, Route(RouteKind::Stream, 1, false)));
  Event(call, 1);
  BOOST_TEST(Count(RelayCommandKind::AnnounceOrigin) == 0U);
  BOOST_TEST(Count(RelayCommandKind::SendEvent) == 1U);
}

// The stream is bound to the version that an upstream's entry states when the
// first event arrives, and not to the one that generates it.
BOOST_AUTO_TEST_CASE(TheVersionAtTheStartOfTheCallCounts)
{
  const auto call = Call(ArriveStream("a"));
  List({ Engine("d1", "a", "v2"),
         Engine("d2", "b", "v2"),
         Engine("d3", "b", "v1") });
  Event(call, 1);
  TakeCommands();
  End(call, Broken());
  BOOST_TEST(Called() == Ids{ "d3" }, boost::test_tools::per_element());
}

// The entry changes between the choice of an upstream and the send, so that the
// version that runs the request is not the one that was chosen.
BOOST_AUTO_TEST_CASE(AnUpstreamWithAnotherVersionIsNotSentTheRequest)
{
  const auto call = Call(ArriveStream("a"), false);
  List({ Engine("d1", "a", "v2") });
  BOOST_TEST(!mMachine.MayStillSend(call.mId, call.mAttempt, mNow));
}

// The log does not show the version to which a stream was bound.
BOOST_AUTO_TEST_CASE(TheEndOfARequestStatesItsOrigin)
{
  BreakStream("a");
  BOOST_REQUIRE((mCommands.back().mKind == RelayCommandKind::Forget));
  BOOST_TEST((mCommands.back().mOrigin == kV1));
}

// A resumed stream takes an upstream of any version if its own has none.
BOOST_AUTO_TEST_CASE(AResumedStreamWithoutUpstreamsIsRefusedAtOnce)
{
  BreakStream("a");
  ListEngines({ "d1", "d3" });
  TakeCommands();
  ArriveStream("a", 2);
  CheckRefused(RefusalKind::NoUpstream);
}

// Requests bound to a version that is full keep others from starting, or are
// started elsewhere.
BOOST_AUTO_TEST_CASE(RequestsOfAFullVersionWaitApart)
{
  List({ Engine("d1", "a", "v1"), Engine("d2", "a", "v2") });
  for (int n = 0; n < 64; ++n) {
    mMachine.Loads().OnSent("d1", 0);
    mMachine.Loads().OnSent("d2", 0);
  }
  TakeCommands();
  const auto resumed = ArriveStream("a", 2);
  FindOrigin("a", kV1);
  const auto fresh = ArriveStream("b");
  BOOST_TEST(mMachine.WaitingRequestCount() == 2U);
  mMachine.Loads().OnDone("d2", 0);
  Advance(1ms);
  ListEngines({ "d3" });
  BOOST_TEST(Called() == Ids{ "d2" }, boost::test_tools::per_element());
  BOOST_TEST(Call(fresh).mUpstream == "d2");
  mMachine.Loads().OnDone("d1", 0);
  ListEngines({ "d3" });
  BOOST_TEST(Call(resumed).mUpstream == "d1");
  BOOST_TEST(mMachine.WaitingRequestCount() == 0U);
}

// A prefill result can't be used because its engine runs another version.
BOOST_AUTO_TEST_CASE(PrefillEnginesOfAnyVersionAreUsed)
{
  UpstreamQuery query;
  query.mService = "engines";
  query.mSoftwareVersion = "v1";
  UpstreamList list({ 2s });
  UpstreamLoadTracker loads{ UpstreamLoadTrackerSettings() };
  RelayUpstream prefill = Upstream("f2", RelayStage::Prefill);
  prefill.mSoftwareVersion = "v2";
  list.OnListRead({ prefill, Engine("d2", "a", "v2") }, mNow);
  const UpstreamLimiter limiter{ UpstreamLimiterSettings() };
  const UpstreamSpeeds speeds{ UpstreamSpeedsSettings() };
  UpstreamChooser chooser(
    UpstreamChooserSettings(), &list, &loads, &limiter, &speeds, &mRandom);
  query.mStage = RelayStage::Prefill;
  BOOST_TEST(chooser.Choose(query, mNow).mUpstream != nullptr);
  query.mStage = RelayStage::Decode;
  BOOST_TEST(
    (chooser.Choose(query, mNow).mReason == NoChoiceReason::NoUpstream));
  BOOST_TEST(chooser.CapacityFor(query, mNow).mShared == 0);
}

// Plain upstreams serve whole streams too, of any version.
BOOST_AUTO_TEST_CASE(StreamsAtPlainUpstreamsKeepTheirVersion)
{
  const auto plain = [](const std::string& aId, const std::string& aVersion) {
    RelayUpstream upstream = Upstream(aId, RelayStage::Plain);
    upstream.mService = "engines";
    upstream.mSoftwareVersion = aVersion;
    return upstream;
  };
  List({ plain("p1", "v1") });
  const auto call = Call(ArriveStream("a"));
  Event(call, 1);
  List({ plain("p1", "v1"), plain("p2", "v2") });
  TakeCommands();
  End(call, Broken());
  BOOST_TEST(Called().empty());
  BOOST_TEST(Count(RelayCommandKind::AbortStream) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(OriginsOfOtherVms, VersionFixture)

// A stream that began at another VM is resumed at any version.
BOOST_AUTO_TEST_CASE(AResumedStreamWaitsForItsOrigin)
{
  ListEngines({ "d1" });
  ArriveStream("a", 2);
  BOOST_TEST(Called().empty());
  BOOST_REQUIRE(Count(RelayCommandKind::FindOrigin) == 1U);
  BOOST_TEST(mCommands.back().mOriginKey == "a");
  FindOrigin("a", kV1);
  BOOST_TEST(Called() == Ids{ "d3" }, boost::test_tools::per_element());
  BOOST_TEST(mMachine.Counters().mOriginsLookedUp == 1U);
  BOOST_TEST(mMachine.Counters().mOriginsFound == 1U);
}

// Only one of several requests that wait for a key continues, or one of another
// key does; or a later one asks again.
BOOST_AUTO_TEST_CASE(AllRequestsOfAKeyContinue)
{
  ListEngines({ "d1" });
  ArriveStream("a", 2);
  ArriveStream("a", 2);
  const auto other = ArriveStream("b", 2);
  FindOrigin("a", kV1);
  BOOST_TEST(Called() == (Ids{ "d3", "d3" }), boost::test_tools::per_element());
  TakeCommands();
  ArriveStream("a", 2);
  BOOST_TEST(Called() == Ids{ "d3" }, boost::test_tools::per_element());
  BOOST_TEST(Count(RelayCommandKind::FindOrigin) == 0U);
  TakeCommands();
  FindOrigin("b", std::nullopt);
  CheckRefused(RefusalKind::OriginUnknown);
  BOOST_TEST(mCommands.front().mId == other);
}

// A resumed stream whose origin no VM knows continues at a guessed version.
BOOST_AUTO_TEST_CASE(AnUnknownOriginIsRefused)
{
  ArriveStream("a", 2);
  FindOrigin("a", std::nullopt);
  CheckRefused(RefusalKind::OriginUnknown);
  BOOST_TEST(mMachine.Counters().mOriginsUnknown == 1U);
  BOOST_TEST(mPolicy.mRefunds == 1);
}

// A lookup without an answer keeps the caller waiting until its deadline, or a
// late answer is given to a request that is over.
BOOST_AUTO_TEST_CASE(ALookupWithoutAnAnswerEnds)
{
  ArriveStream("a", 2);
  Advance(299ms);
  BOOST_TEST(Count(RelayCommandKind::SendRefusal) == 0U);
  Advance(1ms);
  CheckRefused(RefusalKind::OriginUnknown);
  TakeCommands();
  FindOrigin("a", kV1);
  BOOST_TEST(mCommands.empty());
}

// An answer for a caller that has left starts a call.
BOOST_AUTO_TEST_CASE(ACallerThatLeftIsNotPlaced)
{
  const auto id = ArriveStream("a", 2);
  RelayCommands out;
  mMachine.OnCallerDisconnected(id, mNow, out);
  FindOrigin("a", kV1);
  Advance(1s);
  BOOST_TEST(Called().empty());
  BOOST_TEST(mMachine.OpenRequestCount() == 0U);
}

// The timer of a lookup that was answered starts a request that waits for
// capacity, before its turn.
BOOST_AUTO_TEST_CASE(TheTimerOfALookupStartsNothingElse)
{
  List({ Engine("d1", "a", "v1") });
  for (int n = 0; n < 64; ++n) {
    mMachine.Loads().OnSent("d1", 0);
  }
  ArriveStream("a", 2);
  FindOrigin("a", kV1);
  BOOST_TEST(mMachine.WaitingRequestCount() == 1U);
  mMachine.Loads().OnDone("d1", 0);
  Advance(400ms);
  BOOST_TEST(Called().empty());
  BOOST_TEST(mMachine.WaitingRequestCount() == 1U);
}

// A stream continues at a service that its route does not lead to.
BOOST_AUTO_TEST_CASE(AnOriginOutsideOfTheRouteIsRefused)
{
  ArriveStream("a", 2);
  FindOrigin("a", StreamOrigin{ "registry", "v1" });
  CheckRefused(RefusalKind::OriginUnknown);
}

// A route leads to two services, and a resumed stream continues at the one that
// the new attempt selects.
BOOST_AUTO_TEST_CASE(AStreamContinuesAtItsService)
{
  RelayRoute route = *StreamRoute();
  route.mTargets.push_back({ "others", 1 });
  RelayUpstream other = Engine("e1", "b", "v1");
  other.mService = "others";
  List({ Engine("d1", "a", "v1"), other });
  ArriveStream("a", 2, std::make_shared<const RelayRoute>(route));
  FindOrigin("a", StreamOrigin{ "others", "v1" });
  BOOST_TEST(Called() == Ids{ "e1" }, boost::test_tools::per_element());
}

// A route that is not resumable waits for an origin that nobody announces.
BOOST_AUTO_TEST_CASE(StreamsOfOtherRoutesAreNotLookedUp)
{
  ArriveStream("a", 2, Route(RouteKind::Stream, 1, false));
  BOOST_TEST(Called() == Ids{ "d1" }, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(OriginsByContent, VersionFixture)

// A stream is known by the id of its attempt only, which most callers that
// resume it don't state.
BOOST_AUTO_TEST_CASE(AnOriginIsAnnouncedByAttemptAndByContent)
{
  const auto call = Call(ArriveStream("a", 0, nullptr, "content"));
  Event(call, 1);
  Event(call, 2);
  BOOST_TEST(Announced() == (Ids{ "content", "a" }),
             boost::test_tools::per_element());
}

// An attempt that does not name the one before is refused.
BOOST_AUTO_TEST_CASE(AnAttemptThatNamesNoneIsFoundByContent)
{
  ListEngines({ "d1" });
  ArriveStream("", 2, nullptr, "content");
  BOOST_TEST(Called().empty());
  BOOST_REQUIRE(Count(RelayCommandKind::FindOrigin) == 1U);
  BOOST_TEST(mCommands.back().mOriginKey == "content");
  FindOrigin("content", kV1);
  BOOST_TEST(Called() == Ids{ "d3" }, boost::test_tools::per_element());
}

// The attempt that a caller names is ignored for what the content tells.
BOOST_AUTO_TEST_CASE(ANamedAttemptIsNotFoundByContent)
{
  ArriveStream("a", 2, nullptr, "content");
  BOOST_TEST(mCommands.back().mOriginKey == "a");
  FindOrigin("content", kV1);
  BOOST_TEST(Called().empty());
  FindOrigin("a", std::nullopt);
  CheckRefused(RefusalKind::OriginUnknown);
}

// A VM that knows one stream of a content takes it for the only one, although
// another VM knows a second one of another version.
BOOST_AUTO_TEST_CASE(OwnKnowledgeOfAContentIsNotEnough)
{
  const auto call = Call(ArriveStream("a", 0, StreamRoute(1), "con\ntent"));
  Event(call, 1);
  End(call, Broken());
  TakeCommands();
  for (int n = 0; n < 2; ++n) {
    ArriveStream("", 1, nullptr, "con\ntent");
    BOOST_TEST(Called().empty());
    BOOST_TEST(Count(RelayCommandKind::FindOrigin) == 1U);
    FindOrigin("con\ntent", std::nullopt);
    CheckRefused(RefusalKind::OriginUnknown);
    TakeCommands();
    ArriveStream("", 1, nullptr, "con\ntent");
    FindOrigin("con\ntent", kV1);
    BOOST_TEST(Called().size() == 1U);
    TakeCommands();
  }
}

// A stream that is resumed again and again is forgotten, and another one of its
// content stands for it.
BOOST_AUTO_TEST_CASE(AResumedStreamIsAnnouncedAgain)
{
  ArriveStream("", 2, nullptr, "content");
  FindOrigin("content", kV1);
  BOOST_TEST(Announced() == Ids{ "content" }, boost::test_tools::per_element());
  TakeCommands();
  ArriveStream("a", 2, nullptr, "content");
  FindOrigin("a", kV1);
  BOOST_TEST(Announced() == Ids{ "content" }, boost::test_tools::per_element());
}

// Attempts wait for a lookup although the list, read since they arrived, proves
// that only one version serves.
BOOST_AUTO_TEST_CASE(AListReadSinceTheArrivalEndsTheLookup)
{
  ListOnly("v1", 40s);
  ArriveStream("", 2, nullptr, "content");
  BOOST_TEST(Called().empty());
  ListNow("v1");
  BOOST_TEST(Called() == Ids{ "d1" }, boost::test_tools::per_element());
  TakeCommands();
  ArriveStream("", 2, nullptr, "content");
  BOOST_TEST(Count(RelayCommandKind::FindOrigin) == 0U);
  BOOST_TEST(Called().size() == 1U);
}

// A VM that was cut off or paused for a moment while upstreams of a new version
// joined continues a stream of theirs at the old version (ORDER).
BOOST_AUTO_TEST_CASE(AListFromBeforeTheArrivalProvesNothing)
{
  for (const char* key : { "", "a" }) {
    TakeCommands();
    ListOnly("v1", 40s); // Read for the last time a second ago.
    ArriveStream(key, 2, nullptr, "content");
    BOOST_TEST(Count(RelayCommandKind::FindOrigin) == 1U);
    BOOST_TEST(Called().empty());
    FindOrigin(*key == '\0' ? "content" : key, std::nullopt);
    CheckRefused(RefusalKind::OriginUnknown);
  }
  TakeCommands();
  ListOnly("v1", 40s);
  ArriveStream("", 2, nullptr, "content");
  List({ Engine("d1", "a", "v1"), Engine("d3", "b", "v2") });
  FindOrigin("content", std::nullopt);
  CheckRefused(RefusalKind::OriginUnknown);
}

// An attempt without any key is looked up under the empty one.
BOOST_AUTO_TEST_CASE(NothingIsLookedUpWithoutAKey)
{
  ArriveStream("", 2);
  BOOST_TEST(Count(RelayCommandKind::FindOrigin) == 0U);
  CheckRefused(RefusalKind::OriginUnknown);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(SoleVersions, VersionFixture)

// Resumed streams of unknown origin are refused although only one version of
// the service serves.
BOOST_AUTO_TEST_CASE(TheOnlyVersionOfAServiceIsUsed)
{
  ListOnly("v1", 40s);
  ListNow("v1");
  ArriveStream("a", 2);
  FindOrigin("a", std::nullopt);
  BOOST_TEST(Called() == Ids{ "d1" }, boost::test_tools::per_element());
  TakeCommands();
  ArriveStream("b", 2);
  Advance(300ms);
  BOOST_TEST(Called().size() == 1U);
}

// A version that served until a moment ago is taken for one that never did.
BOOST_AUTO_TEST_CASE(AVersionThatIsGoneCountsForATime)
{
  ListOnly("v1", 40s);
  ListOnly("v2", 25s);
  ArriveStream("a", 2);
  FindOrigin("a", std::nullopt);
  CheckRefused(RefusalKind::OriginUnknown);
  TakeCommands();
  ListOnly("v2", 10s);
  ListNow("v2");
  ArriveStream("a", 2);
  FindOrigin("a", std::nullopt);
  BOOST_TEST(Called().size() == 1U);
}

// A VM that has just started, or was cut off, takes the version that it sees
// for the only one.
BOOST_AUTO_TEST_CASE(VersionsListedUnseenAreNotRuledOut)
{
  UpstreamList list({ 2s });
  const auto upstream = Engine("d1", "a", "v1");
  const auto sole = [&] {
    return list.SoleVersion("engines", mNow - 30s, mNow).value_or("unknown");
  };
  const auto read = [&](int aSeconds) {
    for (int n = 0; n < aSeconds; ++n) {
      mNow += 1s;
      list.OnListRead({ upstream }, mNow);
    }
  };
  BOOST_TEST(sole() == "unknown");
  read(30);
  BOOST_TEST(sole() == "unknown");
  read(1);
  BOOST_TEST(sole() == "v1");
  mNow += 6s;
  BOOST_TEST(sole() == "unknown");
  list.Confirm(mNow); // By a peer; what was listed meanwhile is not known.
  BOOST_TEST(sole() == "unknown");
  read(29);
  BOOST_TEST(sole() == "unknown");
  read(1);
  BOOST_TEST(sole() == "v1");
}

// The version of one service stands for that of another.
BOOST_AUTO_TEST_CASE(ARouteWithTwoServicesHasNoSoleVersion)
{
  ListOnly("v1", 40s);
  RelayRoute route = *StreamRoute();
  route.mTargets.push_back({ "others", 1 });
  ArriveStream("a", 2, std::make_shared<const RelayRoute>(route));
  FindOrigin("a", std::nullopt);
  CheckRefused(RefusalKind::OriginUnknown);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(RecordedVersions, VersionFixture)

namespace {

constexpr std::uint64_t kStoreNowMs = 1000 * 1000;

} // namespace

// A VM that started a second ago refuses all streams that others began, also
// after the loss of all VMs.
BOOST_AUTO_TEST_CASE(AVmThatHasJustStartedContinuesTheOnlyVersion)
{
  ListOnly("v1", 1s);
  ArriveStream("", 2, nullptr, "content");
  ReadRecord({ { "v1" }, {}, 0 });
  FindOrigin("content", std::nullopt);
  BOOST_TEST(Called() == Ids{ "d1" }, boost::test_tools::per_element());
  TakeCommands();
  ArriveStream("a", 2);
  ReadRecord({ { "v1" }, {}, 0 });
  FindOrigin("a", std::nullopt);
  BOOST_TEST(Called().size() == 1U);
}

// A stream waits for VMs that are gone although the record proves its version.
BOOST_AUTO_TEST_CASE(ARecordThatProvesTheVersionEndsTheLookup)
{
  ListOnly("v1", 1s);
  ArriveStream("", 2, nullptr, "content");
  BOOST_TEST(Called().empty());
  ReadRecord({ { "v1" }, {}, 0 });
  BOOST_TEST(Called() == Ids{ "d1" }, boost::test_tools::per_element());
  TakeCommands();
  FindOrigin("content", std::nullopt);
  Advance(400ms);
  BOOST_TEST(Count(RelayCommandKind::SendRefusal) == 0U);
}

// A stream goes on at any version while two serve or did moments before the
// loss of all VMs.
BOOST_AUTO_TEST_CASE(StreamsBesideAReleaseAreRefused)
{
  ListOnly("v1", 1s);
  const ServiceVersions records[] = {
    { { "v1", "v2" }, {}, 0 },
    { { "v1" }, { { "v2", kStoreNowMs - 36000 } }, 0 },
    { { "v2" }, {}, 0 },
    { { "v1" }, {}, kStoreNowMs - 36000 },
  };
  for (const ServiceVersions& it : records) {
    ArriveStream("", 2, nullptr, "content");
    ReadRecord(it);
    FindOrigin("content", std::nullopt);
    CheckRefused(RefusalKind::OriginUnknown);
    TakeCommands();
  }
  ArriveStream("", 2, nullptr, "content");
  ReadRecord({ { "v1" }, { { "v2", kStoreNowMs - 37000 } }, 0 });
  FindOrigin("content", std::nullopt);
  BOOST_TEST(Called().size() == 1U);
}

// A record that was read before the attempt arrived lacks a version that began
// its stream since.
BOOST_AUTO_TEST_CASE(ARecordReadEarlierProvesNothing)
{
  ListOnly("v1", 1s);
  ReadRecord({ { "v1" }, {}, 0 });
  Advance(1ms);
  ArriveStream("", 2, nullptr, "content");
  FindOrigin("content", std::nullopt);
  CheckRefused(RefusalKind::OriginUnknown);
}

// A VM that has listed one version for long doesn't know the list yet with
// which others begin streams.
BOOST_AUTO_TEST_CASE(ARecordOfTwoVersionsContradictsTheOwnList)
{
  ListOnly("v1", 40s);
  ReadRecord({ { "v1", "v2" }, {}, 0 });
  ArriveStream("", 2, nullptr, "content");
  FindOrigin("content", std::nullopt);
  CheckRefused(RefusalKind::OriginUnknown);
}

// A VM that is cut off from the list takes its own last one for current.
BOOST_AUTO_TEST_CASE(AnOldListProvesNothing)
{
  ListOnly("v1", 1s);
  Advance(6s);
  ArriveStream("", 2, nullptr, "content");
  ReadRecord({ { "v1" }, {}, 0 });
  FindOrigin("content", std::nullopt);
  CheckRefused(RefusalKind::OriginUnknown);
}

// A stream begins at a version that is not recorded, so that the loss of all
// VMs right after leaves a record without it.
BOOST_AUTO_TEST_CASE(StreamsBeginAtRecordedVersionsOnly)
{
  ListEngines({ "d3" });
  ReadRecord({ { "v2" }, {}, 0 });
  ArriveStream("a");
  BOOST_TEST(Called() == Ids{ "d2" }, boost::test_tools::per_element());
  TakeCommands();
  ListEngines({ "d2", "d3" });
  ArriveStream("b");
  BOOST_TEST(Called().empty());
  BOOST_TEST(mMachine.WaitingRequestCount() == 1U);
  ArriveStream("c", 0, Route(RouteKind::Stream, 1, false));
  BOOST_TEST(Called() == Ids{ "d1" }, boost::test_tools::per_element());
  TakeCommands();
  ReadRecord({ { "v1", "v2" }, {}, 0 });
  BOOST_TEST(Called() == Ids{ "d1" }, boost::test_tools::per_element());
  BOOST_TEST(mMachine.WaitingRequestCount() == 0U);
}

// An engine is restarted with a version that is not recorded while a prefill
// engine reads the prompt, and the stream begins there.
BOOST_AUTO_TEST_CASE(AStreamDoesNotBeginAtAVersionListedDuringItsPrefill)
{
  ReadRecord({ { "v1" }, {}, 0 });
  const RelayUpstream prefill = Upstream("f1", RelayStage::Prefill);
  List({ Engine("d1", "a", "v1"), prefill });
  mMachine.Loads().OnSent("d1", 0); // An idle engine reads prompts itself.
  mPromptTokens = 3000;
  const auto call = Call(ArriveStream("a"));
  BOOST_REQUIRE((call.mCallKind == RelayCallKind::Prefill));
  List({ Engine("d1", "a", "v3"), prefill });
  TakeCommands();
  End(call, Prefilled("h"));
  BOOST_TEST(Called().empty());
  ReadRecord({ { "v1", "v3" }, {}, 0 });
  BOOST_TEST(Called() == Ids{ "d1" }, boost::test_tools::per_element());
}

// Streams never begin while the store is out.
BOOST_AUTO_TEST_CASE(WithoutRecordsStreamsBeginAnywhere)
{
  ListEngines({ "d3" });
  SetBeginners(ListedVersions());
  ArriveStream("a");
  BOOST_TEST(Called().empty());
  SetBeginners(std::nullopt);
  BOOST_TEST(Called() == Ids{ "d1" }, boost::test_tools::per_element());
}

// An engine that was restarted with a version that is not recorded counts as
// the process before.
BOOST_AUTO_TEST_CASE(ARestartedEngineIsBarredAtOnce)
{
  ReadRecord({ { "v1" }, {}, 0 });
  List({ Engine("d1", "a", "v1") });
  BOOST_TEST(mMachine.ListedUpstreams().Find("d1")->mMayBeginStreams);
  List({ Engine("d1", "a", "v3") });
  BOOST_TEST(!mMachine.ListedUpstreams().Find("d1")->mMayBeginStreams);
  ArriveStream("a");
  BOOST_TEST(Called().empty());
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// Plays streams that break and are resumed by their callers at one of two VMs,
/// while engines of two versions come, go and are restarted.
class RandomStreams
{
public:
  void Step()
  {
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
      case 1:
        StartSome();
        break;
      case 2:
        BreakSome();
        break;
      case 3:
        ListSome();
        break;
      case 4:
        AnswerSome();
        break;
      case 5:
        AdvanceAll(std::chrono::milliseconds(*rc::gen::inRange(1, 1500)));
        break;
      default:
        SendSome();
    }
  }

private:
  struct Stream
  {
    std::uint64_t mLastEventId = 0;  ///< That the caller has.
    std::set<std::string> mVersions; ///< Of all events that it has.
    bool mIsOpen = false;
  };

  struct OpenCall
  {
    RelayCommand mCommand;
    std::string mVersion; ///< Of the process that runs it.
    std::uint64_t mNextEvent = 1;
  };

  struct Vm
  {
    VersionFixture mFixture;
    std::map<std::uint64_t, std::string> mKeys; ///< By request.
    /// By request and attempt.
    std::map<std::pair<std::uint64_t, std::uint32_t>, OpenCall> mCalls;
    std::vector<std::string> mNeeded; ///< Keys that are looked up.
  };

  /// Two streams each have the same content.
  static std::string ContentOf(const std::string& aKey)
  {
    return "content\n" + std::to_string(std::stoi(aKey) / 2);
  }

  Vm& SomeVm() { return mVms[*rc::gen::inRange<std::size_t>(0, 2)]; }

  static OpenCall* SomeCall(Vm& aVm)
  {
    if (aVm.mCalls.empty()) {
      return nullptr;
    }
    auto it = aVm.mCalls.begin();
    std::advance(it, *rc::gen::inRange<std::size_t>(0, aVm.mCalls.size()));
    return &it->second;
  }

  void StartSome()
  {
    Vm& vm = SomeVm();
    const std::string key = std::to_string(*rc::gen::inRange(0, 6));
    Stream& stream = mStreams[key];
    if (stream.mIsOpen) {
      return;
    }
    stream.mIsOpen = true;
    // A stream of which nothing was received begins anew, with a new id.
    mAttempts += stream.mLastEventId == 0 ? 1 : 0;
    auto& name = mNames[key];
    name =
      stream.mLastEventId == 0 ? key + "/" + std::to_string(mAttempts) : name;
    const auto id = vm.mFixture.mLastId + 1;
    vm.mKeys[id] = key;
    const bool namesAttempt =
      stream.mLastEventId == 0 || *rc::gen::arbitrary<bool>();
    vm.mFixture.ArriveStream(namesAttempt ? name : std::string(),
                             stream.mLastEventId,
                             nullptr,
                             ContentOf(key));
    Collect(vm);
  }

  void SendSome()
  {
    Vm& vm = SomeVm();
    OpenCall* call = SomeCall(vm);
    const bool isStream =
      call != nullptr && call->mCommand.mCallKind == RelayCallKind::Stream;
    if (isStream && IsSent(vm, *call)) {
      mSentVersion = call->mVersion;
      vm.mFixture.Event(call->mCommand, call->mNextEvent++);
      Collect(vm);
    }
  }

  void BreakSome()
  {
    Vm& vm = SomeVm();
    OpenCall* call = SomeCall(vm);
    if (call != nullptr && IsSent(vm, *call)) {
      const RelayCommand command = call->mCommand;
      vm.mCalls.erase({ command.mId, command.mAttempt });
      const bool isReserved = command.mCallKind == RelayCallKind::Reserve &&
                              *rc::gen::inRange(0, 4) > 0;
      vm.mFixture.End(command,
                      isReserved ? RelayFixture::Reserved("k")
                                 : RelayFixture::Broken());
      Collect(vm);
    }
  }

  static bool IsSent(Vm& aVm, const OpenCall& aCall)
  {
    return aCall.mNextEvent > aCall.mCommand.mLastEventId + 1 ||
           aVm.mFixture.mMachine.MayStillSend(
             aCall.mCommand.mId, aCall.mCommand.mAttempt, aVm.mFixture.mNow);
  }

  /// Lists some engines at one VM; the other may still see the former ones.
  void ListSome()
  {
    std::vector<RelayUpstream> engines;
    for (const char* id : { "d1", "d2", "d3", "d4" }) {
      const int version = *rc::gen::inRange(0, 4);
      if (version > 0) {
        engines.push_back(
          VersionFixture::Engine(id, "a", version == 1 ? "v2" : "v1"));
      }
    }
    Vm& vm = SomeVm();
    vm.mFixture.List(std::move(engines));
    Collect(vm);
  }

  void AnswerSome()
  {
    Vm& vm = SomeVm();
    for (const std::string& key : std::exchange(vm.mNeeded, {})) {
      const auto it = mAnnounced.find(key);
      // Two origins make a content ambiguous.
      const bool isFound = it != mAnnounced.end() && it->second.size() == 1 &&
                           *rc::gen::inRange(0, 4) > 0;
      vm.mFixture.FindOrigin(key,
                             isFound
                               ? std::optional<StreamOrigin>(it->second.front())
                               : std::nullopt);
      Collect(vm);
    }
  }

  static void AddAnnounced(std::vector<StreamOrigin>& aKnown,
                           const StreamOrigin& aOrigin)
  {
    if (std::find(aKnown.begin(), aKnown.end(), aOrigin) == aKnown.end()) {
      aKnown.push_back(aOrigin);
    }
  }

  void AdvanceAll(Duration aTime)
  {
    for (Vm& vm : mVms) {
      vm.mFixture.Advance(aTime);
      Collect(vm);
    }
  }

  void Collect(Vm& aVm)
  {
    for (const RelayCommand& it : aVm.mFixture.TakeCommands()) {
      OnCommand(aVm, it);
    }
  }

  void OnCommand(Vm& aVm, const RelayCommand& aCommand)
  {
    if (aCommand.mKind == RelayCommandKind::CheckUpstream) {
      return; // Concerns no request.
    }
    Stream& stream = mStreams[aVm.mKeys.at(aCommand.mId)];
    switch (aCommand.mKind) {
      case RelayCommandKind::StartCall:
        aVm.mCalls[{ aCommand.mId, aCommand.mAttempt }] = {
          aCommand,
          aVm.mFixture.mMachine.ListedUpstreams()
            .Find(aCommand.mUpstream)
            ->mSoftwareVersion,
          aCommand.mLastEventId + 1
        };
        break;
      case RelayCommandKind::SendEvent:
        ++stream.mLastEventId;
        stream.mVersions.insert(mSentVersion);
        RC_ASSERT(stream.mVersions.size() == 1U);
        break;
      case RelayCommandKind::AnnounceOrigin:
        AddAnnounced(mAnnounced[aCommand.mOriginKey], *aCommand.mOrigin);
        break;
      case RelayCommandKind::FindOrigin:
        aVm.mNeeded.push_back(aCommand.mOriginKey);
        break;
      case RelayCommandKind::CancelCall:
        aVm.mCalls.erase({ aCommand.mId, aCommand.mAttempt });
        break;
      case RelayCommandKind::Forget:
        stream.mIsOpen = false;
        break;
      default:
        break;
    }
  }

  std::array<Vm, 2> mVms;
  std::map<std::string, Stream> mStreams;
  std::map<std::string, std::string> mNames; ///< Keys of origins, by stream.
  /// Each origin once, by key.
  std::map<std::string, std::vector<StreamOrigin>> mAnnounced;
  std::uint64_t mAttempts = 0;
  std::string mSentVersion; ///< Of the call that sent the last event.
};

} // namespace

// Some order of breaks, restarts and lookups joins two versions.
RC_BOOST_PROP(NoCallerGetsEventsOfTwoVersions, ())
{
  RandomStreams streams;
  const int steps = *rc::gen::inRange(1, 800);
  for (int n = 0; n < steps; ++n) {
    streams.Step();
  }
}
