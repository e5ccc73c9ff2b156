/// Tests that requests with a content that crashes upstreams are not sent, on
/// every way that a request can take to an upstream.
#define BOOST_TEST_MODULE RelayCrashes
#include <Peridothoist/Peridothoist.h>
#include <Relay/RelayFixture.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

constexpr Duration kBetweenCrashes = 500ms;
constexpr int kMaxCrashes =
  static_cast<int>(CrashEvidenceSettings().mMaxCrashes);

/// Sends requests that share parts of their prompts.
class CrashFixture : public RelayFixture
{
public:
  CrashFixture() { ListEngine("d1"); }

  static RelayUpstream Decode(const std::string& aId)
  {
    return Upstream(aId, RelayStage::Decode);
  }

  void ListEngine(const std::string& aId) { List({ Decode(aId) }); }

  std::uint64_t ArriveWithParts(std::vector<std::string> aParts,
                                std::uint32_t aMaxAttempts = 1,
                                const std::string& aService = "engines")
  {
    AdmittedRequest request;
    request.mId = ++mLastId;
    request.mRoute = Route(RouteKind::Stream, aMaxAttempts, aMaxAttempts > 1);
    request.mService = aService;
    request.mDigest = "digest" + std::to_string(mLastId);
    request.mSharedPromptParts = std::move(aParts);
    request.mPromptTokens = 3000;
    request.mMemoryTokens = 3200;
    request.mFinalMemoryTokens = 4000;
    request.mArrivedAt = mNow;
    request.mCallerTimeout = 14s;
    request.mDeadline = mNow + 14s;
    RelayCommands out;
    mMachine.OnArrival(std::move(request), mNow, out);
    Append(std::move(out));
    return mLastId;
  }

  void CheckEnds(const std::string& aUpstream, bool aIsGone)
  {
    RelayCommands out;
    mMachine.OnUpstreamChecked(aUpstream,
                               "",
                               aIsGone ? UpstreamCheck::Gone
                                       : UpstreamCheck::Alive,
                               mNow,
                               out);
    Append(std::move(out));
  }

  /// Runs a request whose call breaks, at an engine that is new if the one
  /// before is gone.
  void Break(const std::vector<std::string>& aParts, bool aIsGone)
  {
    mEngines += aIsGone ? 1 : 0;
    const std::string engine = "e" + std::to_string(mEngines);
    ListEngine(engine);
    const RelayCommand call = Call(ArriveWithParts(aParts));
    Advance(100ms);
    End(call, Broken());
    CheckEnds(engine, aIsGone);
    Advance(kBetweenCrashes);
  }

  /// Lets other VMs report that the part crashed upstreams.
  void HearOfCrashes(const std::string& aPart)
  {
    for (std::uint64_t n = 0; n < kMaxCrashes; ++n) {
      const CrashSighting sighting{
        n, WorkspaceDigest(), mNow - 10s + n * kBetweenCrashes, 100ms, false
      };
      mMachine.Crashes().OnCrash(
        PromptPartKey("engines", aPart), sighting, mNow);
    }
  }

  /// Returns the digest of the workspace of these requests, as a sighting of
  /// this VM states it.
  std::uint64_t WorkspaceDigest()
  {
    RelayFixture other;
    other.List({ Decode("x") });
    const auto id = other.Arrive(Route(RouteKind::Stream, 1));
    other.End(other.Call(id), Broken());
    RelayCommands out;
    other.mMachine.OnUpstreamChecked(
      "x", "", UpstreamCheck::Gone, other.mNow, out);
    return other.mMachine.Crashes()
      .Reports(other.mNow)[0]
      .mSightings[0]
      .mWorkspace;
  }

  /// Returns whether the request was refused as quarantined and not run.
  bool IsRefused(std::uint64_t aId) const
  {
    return std::any_of(
      mCommands.begin(), mCommands.end(), [&](const RelayCommand& aIt) {
        return aIt.mId == aId && aIt.mRefusal &&
               aIt.mRefusal->mKind == RefusalKind::Quarantined;
      });
  }

  std::size_t CallsOf(std::uint64_t aId) const
  {
    return static_cast<std::size_t>(std::count_if(
      mCommands.begin(), mCommands.end(), [&](const RelayCommand& aIt) {
        return aIt.mId == aId && aIt.mKind == RelayCommandKind::StartCall;
      }));
  }

private:
  int mEngines = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Crashes, CrashFixture)

// Guards against a part that crashes one upstream after the other because no
// two requests with it are alike.
BOOST_AUTO_TEST_CASE(RequestsWithAPartThatCrashesUpstreamsAreRefused)
{
  for (int n = 0; n < kMaxCrashes; ++n) {
    Break({ "common" + std::to_string(n), "bad" }, true);
  }
  BOOST_TEST(Count(RelayCommandKind::CheckUpstream) ==
             static_cast<std::size_t>(kMaxCrashes));
  ListEngine("d1");
  const auto id = ArriveWithParts({ "other", "bad" });
  BOOST_TEST(IsRefused(id));
  BOOST_TEST(CallsOf(id) == 0U);
  BOOST_TEST(CallsOf(ArriveWithParts({ "common0", "sound" })) == 1U);
}

// Guards against broken connections of upstreams in good order that count as
// crashes.
BOOST_AUTO_TEST_CASE(BrokenCallsOfUpstreamsThatStillAnswerAreNoCrashes)
{
  for (int n = 0; n < 2 * kMaxCrashes; ++n) {
    Break({ "part" }, false);
  }
  ListEngine("d1");
  BOOST_TEST(CallsOf(ArriveWithParts({ "part" })) == 1U);
}

// Guards against sound parts that are blamed because their streams were cut in
// the middle when another request crashed the upstream.
BOOST_AUTO_TEST_CASE(AStreamThatHadBeenSentForAWhileIsNotBlamed)
{
  for (int n = 0; n < 2 * kMaxCrashes; ++n) {
    const std::string engine = "s" + std::to_string(n);
    ListEngine(engine);
    const RelayCommand call = Call(ArriveWithParts({ "part" }));
    Event(call, 1);
    Advance(1100ms);
    End(call, Broken());
    CheckEnds(engine, true);
    Advance(kBetweenCrashes);
  }
  ListEngine("d1");
  BOOST_TEST(CallsOf(ArriveWithParts({ "part" })) == 1U);
}

// Guards against a part that stays blamed although streams with it go on.
BOOST_AUTO_TEST_CASE(AStreamThatIsSentForAWhileExcusesItsParts)
{
  const RelayCommand call = Call(ArriveWithParts({ "part" }));
  Event(call, 1);
  HearOfCrashes("part");
  BOOST_TEST(IsRefused(ArriveWithParts({ "part" })));
  Advance(1100ms);
  Event(call, 2);
  BOOST_TEST(CallsOf(ArriveWithParts({ "part" })) == 1U);
}

// Guards against verdicts on a part that is sound at another service.
BOOST_AUTO_TEST_CASE(APartIsJudgedForEachServiceApart)
{
  HearOfCrashes("part");
  RelayUpstream other = Decode("o1");
  other.mService = "others";
  List({ Decode("d1"), other });
  BOOST_TEST(IsRefused(ArriveWithParts({ "part" })));
  const auto id = ArriveWithParts({ "part" }, 1, "others");
  BOOST_TEST(!IsRefused(id));
  BOOST_TEST(CallsOf(id) == 1U);
}

// Guards against requests that are sent although their part became quarantined
// while they waited for capacity.
BOOST_AUTO_TEST_CASE(AWaitingRequestIsRefusedAtOnce)
{
  for (int n = 0; n < 64; ++n) {
    mMachine.Loads().OnSent("d1", 0);
  }
  const auto id = ArriveWithParts({ "bad" });
  BOOST_TEST(mMachine.WaitingRequestCount() == 1U);
  HearOfCrashes("bad");
  RelayCommands out;
  mMachine.OnPeerWork("vm2", {}, mNow, out);
  Append(std::move(out));
  BOOST_TEST(IsRefused(id));
  BOOST_TEST(OnlyRefusal().Status() == 503);
}

// Guards against the same for a request whose prompt is being read.
BOOST_AUTO_TEST_CASE(ARequestIsNotSentToADecodeEngineAfterItsPrefill)
{
  List({ Decode("d1"), Upstream("f1", RelayStage::Prefill) });
  const auto id = ArriveWithParts({ "bad" });
  const RelayCommand prefill = Call(id);
  BOOST_REQUIRE((prefill.mCallKind == RelayCallKind::Prefill));
  HearOfCrashes("bad");
  End(prefill, Prefilled("h"));
  BOOST_TEST(IsRefused(id));
  BOOST_TEST(CallsOf(id) == 1U);
  BOOST_TEST(Count(RelayCommandKind::ReleaseHandle) == 1U);
  BOOST_TEST(OnlyRefusal().Status() == 503);
}

// Guards against the same while the connection to the upstream is being made.
BOOST_AUTO_TEST_CASE(TheBytesOfACallAreWithheld)
{
  const auto id = ArriveWithParts({ "bad" });
  const RelayCommand call = Call(id, false);
  HearOfCrashes("bad");
  BOOST_TEST(!mMachine.MayStillSend(id, call.mAttempt, mNow));
}

// Guards against the VM's own retry of a request that crashed its upstream.
BOOST_AUTO_TEST_CASE(ABrokenStreamIsNotRetriedElsewhere)
{
  List({ Decode("d1"), Decode("d2") });
  const auto id = ArriveWithParts({ "bad" }, 3);
  const RelayCommand call = Call(id);
  HearOfCrashes("bad");
  End(call, Broken());
  BOOST_TEST(CallsOf(id) == 1U);
  BOOST_TEST(OnlyRefusal().Status() == 502); // It may have run.
}

// Guards against a silent upstream's request that is taken over by another one.
BOOST_AUTO_TEST_CASE(ASilentStreamIsNotTakenOver)
{
  List({ Decode("d1"), Decode("d2") });
  const auto id = ArriveWithParts({ "bad" }, 3);
  Call(id);
  HearOfCrashes("bad");
  Advance(2500ms);
  BOOST_TEST(CallsOf(id) == 1U);
}

// Guards against a trial at each VM: of a fleet's requests about one is sent.
BOOST_AUTO_TEST_CASE(AfterAQuarantineEachVmLetsItsShareThrough)
{
  constexpr std::size_t kVms = 10;
  constexpr int kRequests = 1000;
  mMachine.SetVmCount(kVms);
  HearOfCrashes("bad");
  Advance(CrashEvidenceSettings().mMinQuarantine);
  std::size_t sent = 0;
  for (int n = 0; n < kRequests; ++n) {
    const auto id = ArriveWithParts({ "bad" });
    sent += CallsOf(id);
    BOOST_TEST(IsRefused(id) == (CallsOf(id) == 0));
    if (CallsOf(id) > 0) {
      RelayCommands out;
      mMachine.OnCallerDisconnected(id, mNow, out);
    }
  }
  BOOST_TEST(sent > kRequests / kVms / 2);
  BOOST_TEST(sent < kRequests / kVms * 2);
}

BOOST_AUTO_TEST_SUITE_END()
