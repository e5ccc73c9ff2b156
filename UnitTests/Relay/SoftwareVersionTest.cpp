/// Tests that what upstreams of two software versions generate is never joined
/// in one stream, within one response or over a caller's attempts.
#define BOOST_TEST_MODULE SoftwareVersion
#include <Peridothoist/Peridothoist.h>
#include <Relay/RelayFixture.h>

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
  /// the caller resumes the stream of aKey.
  std::uint64_t ArriveStream(const std::string& aKey,
                             std::uint64_t aLastEventId = 0,
                             std::shared_ptr<const RelayRoute> aRoute = nullptr)
  {
    AdmittedRequest request;
    request.mId = ++mLastId;
    request.mRoute = aRoute != nullptr ? std::move(aRoute) : StreamRoute();
    request.mService = "engines";
    request.mDigest = "d" + std::to_string(mLastId);
    request.mOriginKey = aKey;
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
  Advance(1s);
  BOOST_TEST(Called() == Ids{ "d3" }, boost::test_tools::per_element());
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

BOOST_AUTO_TEST_SUITE_END()
