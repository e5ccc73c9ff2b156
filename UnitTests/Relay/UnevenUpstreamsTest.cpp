/// Tests what the state machine learns of upstreams' speeds from its calls.
#define BOOST_TEST_MODULE UnevenUpstreams
#include <Relay/RelayFixture.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

const std::map<std::string, Duration> kTimes = { { "fast", 100ms },
                                                 { "slow", 250ms } };

struct UnevenFixture : RelayFixture
{
  /// Lets one stream after the other pass through a prefill engine and "d".
  /// Returns the prompts that each engine read.
  std::map<std::string, int> Prefill(int aStreams)
  {
    std::map<std::string, int> read;
    for (int n = 0; n < aStreams; ++n) {
      const std::uint64_t id = Arrive(Route(RouteKind::Stream, 2));
      const RelayCommand prefill = Call(id);
      BOOST_REQUIRE((prefill.mCallKind == RelayCallKind::Prefill));
      ++read[prefill.mUpstream];
      // The engine has the prompt's tokens, without those of the output.
      BOOST_TEST(mMachine.Loads().Work(prefill.mUpstream).mTokens == 3000U);
      Advance(kTimes.at(prefill.mUpstream));
      End(prefill, Prefilled("h"));
      End(Call(id), Responded(200));
      Advance(200ms);
      mMachine.Speeds().Update(mNow);
    }
    return read;
  }

  void ListPrefillEngines()
  {
    List({ Upstream("fast", RelayStage::Prefill),
           Upstream("slow", RelayStage::Prefill),
           Upstream("d", RelayStage::Decode) });
  }

  double FactorOf(const std::string& aId)
  {
    return mMachine.Speeds().FactorOf(aId, mNow);
  }
};

} // namespace

// A prefill engine that takes two and a half times as long gets half of the
// prompts.
BOOST_FIXTURE_TEST_CASE(PrefillTimesAreLearnt, UnevenFixture)
{
  ListPrefillEngines();
  Prefill(60);
  BOOST_TEST(FactorOf("slow") / FactorOf("fast") == 2.5,
             boost::test_tools::tolerance(0.1));
  BOOST_TEST(Prefill(20)["fast"] == 20);
}

// A prompt that waits behind others makes its engine look slow.
BOOST_FIXTURE_TEST_CASE(WaitingBehindPromptsIsNotSlowness, UnevenFixture)
{
  List({ Upstream("p", RelayStage::Prefill),
         Upstream("q", RelayStage::Prefill),
         Upstream("d", RelayStage::Decode) });
  for (int n = 0; n < 120; ++n) {
    // Other VMs always have two prompts at "p", and every other time three at
    // "q", which is chosen when it is idle.
    WorkByUpstream work = { { "p", { 2, 6000 } } };
    if (n % 2 == 0) {
      work["q"] = { 3, 9000 };
    }
    mMachine.Loads().OnPeerWork("vm", work);
    const std::uint64_t id = Arrive(Route(RouteKind::Stream, 2));
    const RelayCommand prefill = Call(id);
    const auto tokens = mMachine.Loads().Work(prefill.mUpstream).mTokens;
    Advance(std::chrono::milliseconds(tokens / 30));
    End(prefill, Prefilled("h"));
    End(Call(id), Responded(200));
    Advance(200ms);
    mMachine.Speeds().Update(mNow);
    BOOST_REQUIRE(!mMachine.Speeds().Differ("engines", WorkKind::Prefill));
  }
  BOOST_TEST(mMachine.Speeds().KnownRange().mKnown == 2U);
}

// A decode engine whose events come slowly gets as many streams as others.
BOOST_FIXTURE_TEST_CASE(TheGapsBetweenEventsAreLearnt, UnevenFixture)
{
  List(
    { Upstream("d1", RelayStage::Decode), Upstream("d2", RelayStage::Decode) });
  std::map<std::string, RelayCommand> calls;
  while (calls.size() < 2) {
    const RelayCommand call = Call(Arrive(Route(RouteKind::Stream, 2)));
    calls[call.mUpstream] = call;
  }
  for (std::uint64_t n = 1; n <= 1200; ++n, Advance(20ms)) {
    Event(calls.at("d1"), n);
    if (n % 2 == 0) {
      Event(calls.at("d2"), n);
    }
  }
  mMachine.Speeds().Update(mNow);
  BOOST_TEST(FactorOf("d2") / FactorOf("d1") == 2,
             boost::test_tools::tolerance(0.05));
  const RelayCommand next = Call(Arrive(Route(RouteKind::Stream, 2)));
  BOOST_TEST(next.mUpstream == "d1");
}

// What a process stated, or a peer knows of it, is applied to its successor.
BOOST_FIXTURE_TEST_CASE(SpeedsAreOfOneProcess, UnevenFixture)
{
  RelayUpstream engine = Upstream("d", RelayStage::Decode);
  engine.mIncarnationId = 1;
  List({ engine });
  for (int n = 0; n < 20; ++n, mNow += 60ms) {
    mMachine.OnWorkTimeStated({ "d", 1 }, 170, mNow);
  }
  mMachine.Speeds().Update(mNow);
  const SpeedsByUpstream known = mMachine.Speeds().OwnSpeeds();
  BOOST_TEST(FactorOf("d") == 1.7, boost::test_tools::tolerance(0.01));
  engine.mIncarnationId = 2;
  List({ engine });
  for (int n = 0; n < 20; ++n, mNow += 60ms) {
    mMachine.OnWorkTimeStated({ "d", 1 }, 170, mNow); // Late responses.
    mMachine.OnPeerSpeeds(known, mNow);
    mMachine.OnPeerSpeeds({ { "unlisted", known.at("d") } }, mNow);
  }
  mMachine.Speeds().Update(mNow);
  BOOST_TEST(FactorOf("d") == 1);
  BOOST_TEST(mMachine.Speeds().KnownRange().mKnown == 0U);
}
