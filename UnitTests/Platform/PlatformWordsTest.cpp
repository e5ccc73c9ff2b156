/// The platform's rows, headers and pages as the product's types, and back.
/// Whatever bytes come in, decoding ends with a value or a reason.
#define BOOST_TEST_MODULE PlatformWords
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/VmNewsCodec.h>
#include <platform/Base64.h>
#include <platform/HeaderText.h>
#include <platform/PlatformCallers.h>
#include <platform/PlatformStore.h>
#include <platform/PlatformUpstreams.h>
#include <platform/PlatformView.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

using namespace peridothoist;
using namespace peridothoist::platform;
using nlohmann::json;

namespace {

json
ExampleConfiguration()
{
  return json::parse(R"({"version":7,
    "routes":[
      {"name":"r1","host":"Site.example","pathPrefix":"/a/","kind":"streaming",
       "timeoutMs":14000,"targetLatencyMs":900,"priority":1,"service":"llm",
       "maxAttempts":2,"public":false,"sticky":true,"resumable":true,
       "gapAimMs":300},
      {"name":"r2","host":"site.example","pathPrefix":"/b/","kind":"unsafe",
       "trafficSplit":[{"service":"one","weight":90},
                       {"service":"two","weight":10}]},
      {"name":"odd","host":"site.example","pathPrefix":"/c/","kind":"strange"}],
    "services":[
      {"name":"llm","engine":{"slots":64,"kvCapacity":39101,"stride":15,
                              "handleTtlS":0.5}},
      {"name":"one"}],
    "tenants":[{"name":"w","apiKeys":["k1","k2"],"priority":3,
                "unit":"token_stream","plainTokens":200,"ratePerS":1000.5,
                "burst":2000}]})");
}

json
ExampleUpstream()
{
  return json::parse(R"({"service":"llm","address":"10.0.0.9:8080",
    "zone":"a","version":"v1","slots":64,"state":"ready","stage":"decode",
    "born":1700000000000,"sequence":4})");
}

std::shared_ptr<const RelayConfiguration>
Decode(const json& aValue)
{
  return PlatformView().DecodeConfiguration({ { "config", aValue.dump(), 1 } },
                                            nullptr);
}

std::optional<RelayUpstream>
DecodeUpstream(const json& aValue, Reason* aReason = nullptr)
{
  return PlatformView().DecodeUpstream({ "i-1", aValue.dump(), 1 }, aReason);
}

HttpRequest
ExampleRequest()
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/a/x?q=1";
  request.mPath = "/a/x";
  request.mHeaders = { { "host", "Site.example:80" },
                       { "request-id", "id-1" },
                       { "authorization", "Bearer k1" },
                       { "token-count", "1460,80" },
                       { "length-hint", "40" },
                       { "request-deadline", "14000" },
                       { "tenant-id", "forged" },
                       { "kv-source", "forged" },
                       { "connection", "keep-alive, X-Mine" },
                       { "x-mine", "1" },
                       { "model-name", "m" } };
  request.mBody = "body";
  return request;
}

RelayCommand
ExampleCommand()
{
  RelayCommand command;
  command.mKind = RelayCommandKind::StartCall;
  command.mUpstream = "i-1";
  command.mAddress = "10.0.0.9:8080";
  command.mCall = RelayCallKind::Stream;
  command.mWorkspace = "w";
  command.mTimeLeft = 1500ms;
  return command;
}

/// A text with some bytes changed, cut or repeated.
std::string
Damage(std::string aText)
{
  const int damages = *rc::gen::inRange(1, 6);
  for (int n = 0; n < damages && !aText.empty(); ++n) {
    const auto at = *rc::gen::inRange<std::size_t>(0, aText.size());
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        aText[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        aText.erase(at, *rc::gen::inRange<std::size_t>(1, 20));
        break;
      default:
        aText.insert(at, aText.substr(at, 10));
    }
  }
  return aText;
}

/// The object with one field removed or of another type.
json
Twist(json aObject)
{
  static const std::vector<json> kOdd = {
    nullptr, -1, 1.5, "text", json::array(), true, 1e300, json::object()
  };
  auto it = aObject.begin();
  std::advance(it, *rc::gen::inRange<std::size_t>(0, aObject.size()));
  if (*rc::gen::inRange(0, 3) == 0) {
    aObject.erase(it);
  } else {
    *it = kOdd[*rc::gen::inRange<std::size_t>(0, kOdd.size())];
  }
  return aObject;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Rows)

BOOST_AUTO_TEST_CASE(AConfigurationIsRead)
{
  const auto configuration = Decode(ExampleConfiguration());
  BOOST_REQUIRE((configuration != nullptr));
  BOOST_TEST(configuration->mVersion == 7U);
  BOOST_TEST(configuration->Routes().size() == 2U);
  const auto route = configuration->FindRoute("site.example", "/a/x");
  BOOST_REQUIRE((route != nullptr));
  BOOST_TEST((route->mKind == RelayKind::Stream));
  BOOST_TEST(route->MayRepeat());
  BOOST_TEST(route->mMaxAttempts == 2U);
  BOOST_TEST((route->mTimeout == Duration(14s)));
  const auto split = configuration->FindRoute("site.example", "/b/x");
  BOOST_TEST(split->mTargets.size() == 2U);
  BOOST_TEST(!split->MayRepeat());
  const RelayService* service = configuration->FindService("llm");
  BOOST_TEST(service->mEngines->mMemoryTokens == 39101U);
  BOOST_TEST(service->mEngines->mTokensPerEvent == 15U);
  const RelayWorkspace* workspace = configuration->FindByKey("k2");
  BOOST_REQUIRE((workspace != nullptr));
  BOOST_TEST(workspace->mTokensPerSecond == 1000.5);
  BOOST_TEST(*workspace->mPriority == 3U);
}

BOOST_AUTO_TEST_CASE(NoConfigurationSaysSo)
{
  Reason reason;
  BOOST_TEST((PlatformView().DecodeConfiguration({}, &reason) == nullptr));
  BOOST_TEST((reason.mCode == ReasonCode::NotFound));
  BOOST_TEST((Decode(json::array()) == nullptr));
}

BOOST_AUTO_TEST_CASE(AnUpstreamIsRead)
{
  const auto upstream = DecodeUpstream(ExampleUpstream());
  BOOST_REQUIRE(upstream.has_value());
  BOOST_TEST(upstream->mId == "i-1");
  BOOST_TEST((upstream->mStage == RelayStage::Decode));
  BOOST_TEST(!upstream->mLeaving);
  BOOST_TEST(upstream->mBorn == 1700000000000U);
}

BOOST_AUTO_TEST_CASE(OddEntriesNameNoUpstream)
{
  const char* fields[] = { "service", "address", "zone", "state", "slots" };
  for (const char* field : fields) {
    json value = ExampleUpstream();
    value.erase(field);
    Reason reason;
    BOOST_TEST(!DecodeUpstream(value, &reason).has_value());
    BOOST_TEST(reason.mText.find(field) != std::string::npos);
  }
  json value = ExampleUpstream();
  value["state"] = "sleeping";
  BOOST_TEST(!DecodeUpstream(value).has_value());
  value = ExampleUpstream();
  value["stage"] = "both";
  BOOST_TEST(!DecodeUpstream(value).has_value());
}

BOOST_AUTO_TEST_CASE(RowsAreReadFromBase64)
{
  const auto page = PlatformStore::DecodeRows(
    R"({"rows":[{"key":"owner","value":"bm9kZS0x","ver":412},
                {"key":"odd","value":"?"},17],
        "hasMore":true,"ver":530})");
  BOOST_REQUIRE(page.has_value());
  BOOST_REQUIRE(page->mRows.size() == 1U);
  BOOST_TEST(page->mRows[0].mValue == "node-1");
  BOOST_TEST(page->mMore);
  BOOST_TEST(!PlatformStore::DecodeRows("<html>").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

RC_BOOST_PROP(Base64GoesBothWays, (const std::string& aText))
{
  const auto back = FromBase64(ToBase64(aText));
  RC_ASSERT(back.has_value());
  RC_ASSERT(*back == aText);
}

RC_BOOST_PROP(DamagedRowsEndNothing, ())
{
  const std::string configuration = Damage(ExampleConfiguration().dump());
  PlatformView().DecodeConfiguration({ { "config", configuration, 1 } },
                                     nullptr);
  PlatformView().DecodeUpstream({ "i", Damage(ExampleUpstream().dump()), 1 },
                                nullptr);
  PlatformStore::DecodeRows(
    Damage(R"({"rows":[{"key":"k","value":"bm9kZS0x","ver":1}]})"));
}

RC_BOOST_PROP(FieldsOfOtherTypesEndNothing, ())
{
  json configuration = Twist(ExampleConfiguration());
  for (const char* list : { "routes", "services", "tenants" }) {
    if (configuration.contains(list) && configuration[list].is_array()) {
      for (json& it : configuration[list]) {
        it = Twist(it);
      }
    }
  }
  Decode(configuration);
  DecodeUpstream(Twist(ExampleUpstream()));
}

BOOST_AUTO_TEST_SUITE(Callers)

BOOST_AUTO_TEST_CASE(ARequestIsRead)
{
  const auto question = PlatformCallers().Read(ExampleRequest(), nullptr);
  BOOST_REQUIRE(question.has_value());
  BOOST_TEST(question->mName == "id-1");
  BOOST_TEST(question->mHost == "site.example");
  BOOST_TEST(question->mPath == "/a/x");
  BOOST_TEST(question->mKey == "k1");
  BOOST_TEST(*question->mPromptTokens == 1460U);
  BOOST_TEST(question->mOutputTokens == 80U);
  BOOST_TEST(*question->mExpectedTokens == 40U);
  BOOST_TEST((*question->mPatience == Duration(14s)));
}

BOOST_AUTO_TEST_CASE(ARequestWithoutAnIdIsRefused)
{
  HttpRequest request = ExampleRequest();
  request.mHeaders.erase("request-id");
  Reason reason;
  BOOST_TEST(!PlatformCallers().Read(request, &reason).has_value());
  BOOST_TEST(!reason.mText.empty());
}

BOOST_AUTO_TEST_CASE(ARefusalSaysWhenToComeBack)
{
  const Refusal refusal = Refusal::Make(
    RefusalKind::OverAllowance, RunVerdictTracker(), Duration(350ms));
  const auto headers =
    PlatformCallers().RefusalHeaders(ExampleRequest(), refusal);
  BOOST_TEST(headers.at("retry-after") == "0.350");
  BOOST_TEST(headers.at("request-id") == "id-1");
}

BOOST_AUTO_TEST_CASE(PagesTellReadinessAndAddresses)
{
  HttpRequest request;
  request.mPath = "/-/ready";
  NodeStatus status;
  BOOST_TEST(PlatformCallers().ReadyPage(request, status)->mStatus == 503);
  status.mReady = true;
  BOOST_TEST(PlatformCallers().ReadyPage(request, status)->mStatus == 200);
  request.mPath = "/-/resolve";
  BOOST_TEST(!PlatformCallers().ReadyPage(request, status).has_value());
  BOOST_TEST(PlatformCallers().AddressPage(request, status)->mStatus == 503);
  status.mCallerAddresses = { "10.0.0.1:80" };
  status.mAddressesHold = 1500ms;
  const auto page = PlatformCallers().AddressPage(request, status);
  BOOST_TEST(page->mBody == R"({"addresses":["10.0.0.1:80"],"ttlS":2})");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Upstreams)

BOOST_AUTO_TEST_CASE(NoKeyAndNothingForgedIsPassedOn)
{
  const HttpCall call =
    PlatformUpstreams().MakeCall(ExampleCommand(), ExampleRequest());
  BOOST_TEST(call.mUrl == "http://10.0.0.9:8080/a/x?q=1");
  BOOST_TEST(call.mBody == "body");
  BOOST_TEST(call.mSendOnce);
  BOOST_TEST(call.mHeaders.count("authorization") == 0U);
  BOOST_TEST(call.mHeaders.count("kv-source") == 0U);
  BOOST_TEST(call.mHeaders.count("x-mine") == 0U);
  BOOST_TEST(call.mHeaders.at("tenant-id") == "w");
  BOOST_TEST(call.mHeaders.at("expect-instance") == "i-1");
  BOOST_TEST(call.mHeaders.at("request-deadline") == "1500");
  BOOST_TEST(call.mHeaders.at("request-id") == "id-1");
  BOOST_TEST(call.mHeaders.at("model-name") == "m");
  BOOST_TEST(call.mHeaders.at("token-count") == "1460,80");
}

BOOST_AUTO_TEST_CASE(AHandleAndAPlaceInTheStreamAreNamed)
{
  RelayCommand command = ExampleCommand();
  command.mHandle = "h";
  command.mHandleAddress = "10.0.0.8:8080";
  command.mLastEventId = 12;
  const HttpCall call = PlatformUpstreams().MakeCall(command, ExampleRequest());
  BOOST_TEST(call.mHeaders.at("kv-source") == "10.0.0.8:8080/h");
  BOOST_TEST(call.mHeaders.at("last-event-id") == "12");
  command.mCall = RelayCallKind::Prefill;
  BOOST_TEST(PlatformUpstreams()
               .MakeCall(command, ExampleRequest())
               .mHeaders.at("serving-stage") == "prefill");
}

BOOST_AUTO_TEST_CASE(MemoryIsReservedUsedAndFreed)
{
  const PlatformUpstreams upstreams;
  RelayCommand command = ExampleCommand();
  command.mCall = RelayCallKind::Reserve;
  command.mMemoryTokens = 3200;
  command.mReservationLasts = 1500ms;
  const HttpCall reserve = upstreams.MakeCall(command, ExampleRequest());
  BOOST_TEST(reserve.mUrl == "http://10.0.0.9:8080/-/hold-take");
  BOOST_TEST(reserve.mBody == R"({"tokens":3200,"ttlMs":1500})");
  BOOST_TEST(reserve.mHeaders.count("authorization") == 0U);
  BOOST_TEST(upstreams.ReadReservation(R"({"hold":"k"})") == "k");
  command.mCall = RelayCallKind::Stream;
  command.mReservation = "k";
  BOOST_TEST(
    upstreams.MakeCall(command, ExampleRequest()).mHeaders.at("kv-hold") ==
    "k");
  command.mKind = RelayCommandKind::ReleaseReservation;
  BOOST_TEST(upstreams.MakeRelease(command).mUrl ==
             "http://10.0.0.9:8080/-/hold-drop/k");
}

BOOST_AUTO_TEST_CASE(AnOrderNamesItsEngineItsHolderAndItsFence)
{
  const PlatformUpstreams upstreams;
  RelayUpstream engine;
  engine.mId = "i-1";
  engine.mAddress = "10.0.0.9:8080";
  const HttpCall order =
    upstreams.MakeStageOrder(engine, RelayStage::Decode, "vm1", 41);
  BOOST_TEST(order.mMethod == "POST");
  BOOST_TEST(order.mUrl == "http://10.0.0.9:8080/-/order");
  BOOST_TEST(order.mHeaders.at("expect-instance") == "i-1");
  BOOST_TEST(order.mBody ==
             R"({"fence":41,"holder":"vm1","op":"stage","stage":"decode"})");
  BOOST_TEST(order.mSendOnce);
}

BOOST_AUTO_TEST_CASE(OnlySealedAnswersToThisRequestAreSound)
{
  const PlatformUpstreams upstreams;
  const HttpHeaders good = { { "request-id", "id-1" },
                             { "response-seal", "s" },
                             { "server-load", "3,1,8" },
                             { "connection", "close" } };
  const auto read = [&](int aStatus, const HttpHeaders& aHeaders) {
    return upstreams.ReadHead(ExampleRequest(), aStatus, aHeaders);
  };
  const UpstreamHead head = read(200, good);
  BOOST_TEST(head.mSound);
  BOOST_TEST(!head.mNotRun);
  BOOST_TEST(head.mLoad->mWaiting == 1U);
  BOOST_TEST(head.mAnswer.mHeaders.count("connection") == 0U);
  BOOST_TEST(head.mAnswer.mHeaders.at("response-seal") == "s");
  HttpHeaders other = good;
  other["request-id"] = "id-2";
  BOOST_TEST(!read(200, other).mSound);
  BOOST_TEST(read(200, other).mForeign);
  HttpHeaders bare = { { "request-id", "id-1" } };
  BOOST_TEST(!read(200, bare).mSound);
  BOOST_TEST(read(500, bare).mSound);
  HttpHeaders packed = good;
  packed["content-encoding"] = "gzip";
  BOOST_TEST(!read(200, packed).mSound);
}

BOOST_AUTO_TEST_CASE(OnlyTheUpstreamsWordSaysNotRun)
{
  const PlatformUpstreams upstreams;
  const auto read = [&](int aStatus, const HttpHeaders& aHeaders) {
    return upstreams.ReadHead(ExampleRequest(), aStatus, aHeaders);
  };
  BOOST_TEST(!read(503, {}).mNotRun);
  BOOST_TEST(read(503, { { "not-processed", "1" } }).mNotRun);
  BOOST_TEST(read(421, {}).mNotRun);
  BOOST_TEST(read(421, {}).mOther);
  // A word about another request says nothing of this one.
  BOOST_TEST(
    !read(503, { { "not-processed", "1" }, { "request-id", "id-2" } }).mNotRun);
}

BOOST_AUTO_TEST_CASE(AHandleIsReadOrMissing)
{
  const PlatformUpstreams upstreams;
  BOOST_TEST(upstreams.ReadHandle(R"({"handle":"h","tokens":3})") == "h");
  BOOST_TEST(upstreams.ReadHandle(R"({"handle":3})").empty());
  BOOST_TEST(upstreams.ReadHandle("not json").empty());
}

BOOST_AUTO_TEST_SUITE_END()

RC_BOOST_PROP(VmNewsGoBothWaysAndDamageEndsNothing, ())
{
  VmNews news;
  news.mVm = "vm";
  news.mInstance = "vm-1";
  news.mSequence = 7;
  news.mServing = ServingState::OpenRoutes;
  news.mGranted = { { "w", -5 } };
  news.mWork = { { "u", { 3, 400 } } };
  news.mGone = { "x" };
  news.mFailing = { { "y", { 1.5, 0.25 } } };
  news.mWaiting = { 4, 2 };
  news.mCrashes = { { "d", 2, true, Duration(9) } };
  const std::string bytes = EncodeVmNews(news);
  const auto back = DecodeVmNews(bytes);
  RC_ASSERT(back.has_value());
  RC_ASSERT(EncodeVmNews(*back) == bytes);
  DecodeVmNews(Damage(bytes));
  const std::string ask = EncodeViewAsk({ 5, "10.0.0.1:7600" });
  RC_ASSERT(DecodeViewAsk(ask)->mStamp == 5U);
  RC_ASSERT(!DecodeViewTell(ask).has_value());
  RC_ASSERT(!DecodeVmNews(ask).has_value());
  DecodeViewAsk(Damage(ask));
  const std::string tell =
    EncodeViewTell({ 5, 6, Duration(7), 8, Duration(9) });
  RC_ASSERT(DecodeViewTell(tell)->mListDigest == 8U);
  DecodeViewTell(Damage(tell));
}
