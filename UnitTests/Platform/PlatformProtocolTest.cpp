/// Tests decoding and encoding of the platform's rows, headers and endpoints.
/// Arbitrary input must produce a value or an error, never a crash.
#define BOOST_TEST_MODULE PlatformProtocol
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/GossipCodec.h>
#include <Peridothoist/Node/CborMessage.h>
#include <Peridothoist/Node/ViewCodec.h>
#include <platform/Base64.h>
#include <platform/HeaderParsing.h>
#include <platform/PlatformCallerProtocol.h>
#include <platform/PlatformRowStore.h>
#include <platform/PlatformUpstreamProtocol.h>
#include <platform/PlatformViewDecoder.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <cmath>

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
DecodeConfiguration(const json& aValue)
{
  return PlatformViewDecoder().DecodeConfiguration(
    { { "config", aValue.dump(), 1 } }, nullptr);
}

std::optional<RelayUpstream>
DecodeUpstream(const json& aValue, Reason* aReason = nullptr)
{
  return PlatformViewDecoder().DecodeUpstream({ "i-1", aValue.dump(), 1 },
                                              aReason);
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
  command.mCallKind = RelayCallKind::Stream;
  command.mWorkspace = "w";
  command.mTimeLeft = 1500ms;
  return command;
}

/// Returns aText with some bytes changed, removed or duplicated.
std::string
Corrupt(std::string aText)
{
  const int corruptions = *rc::gen::inRange(1, 6);
  for (int n = 0; n < corruptions && !aText.empty(); ++n) {
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

/// Returns aObject with one field removed or replaced by a value of another
/// type.
json
ChangeOneField(json aObject)
{
  static const std::vector<json> kUnexpectedValues = {
    nullptr, -1, 1.5, "text", json::array(), true, 1e300, json::object()
  };
  auto it = aObject.begin();
  std::advance(it, *rc::gen::inRange<std::size_t>(0, aObject.size()));
  if (*rc::gen::inRange(0, 3) == 0) {
    aObject.erase(it);
  } else {
    *it = kUnexpectedValues[*rc::gen::inRange<std::size_t>(
      0, kUnexpectedValues.size())];
  }
  return aObject;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Rows)

BOOST_AUTO_TEST_CASE(DecodesConfiguration)
{
  const auto configuration = DecodeConfiguration(ExampleConfiguration());
  BOOST_REQUIRE((configuration != nullptr));
  BOOST_TEST(configuration->mVersion == 7U);
  BOOST_TEST(configuration->Routes().size() == 2U);
  const auto route = configuration->FindRoute("site.example", "/a/x");
  BOOST_REQUIRE((route != nullptr));
  BOOST_TEST((route->mKind == RouteKind::Stream));
  BOOST_TEST(route->IsRetryable());
  BOOST_TEST(route->mMaxAttempts == 2U);
  BOOST_TEST((route->mTimeout == Duration(14s)));
  const auto split = configuration->FindRoute("site.example", "/b/x");
  BOOST_TEST(split->mTargets.size() == 2U);
  BOOST_TEST(!split->IsRetryable());
  const RelayService* service = configuration->FindService("llm");
  BOOST_TEST(service->mEngines->mMemoryTokens == 39101U);
  BOOST_TEST(service->mEngines->mTokensPerEvent == 15U);
  const RelayWorkspace* workspace = configuration->FindWorkspaceByKey("k2");
  BOOST_REQUIRE((workspace != nullptr));
  BOOST_TEST(workspace->mTokensPerSecond == 1000.5);
  BOOST_TEST(*workspace->mPriority == 3U);
}

// Guards against a configuration that opens all routes because it holds no key,
// or none that can be read.
BOOST_AUTO_TEST_CASE(OnlyAConfigurationWithoutTenantsNeedsNoKeys)
{
  const auto needsKeys = [](const json* aTenants) {
    json value = ExampleConfiguration();
    value.erase("tenants");
    if (aTenants != nullptr) {
      value["tenants"] = *aTenants;
    }
    return DecodeConfiguration(value)->NeedsKeys();
  };
  BOOST_TEST(!needsKeys(nullptr));
  for (const char* text : { "[]",
                            "null",
                            "{}",
                            "7",
                            "[7]",
                            R"([{"apiKeys":["k"]}])",
                            R"([{"name":7,"apiKeys":["k"]}])",
                            R"([{"name":"w"}])",
                            R"([{"name":"w","apiKeys":"k"}])" }) {
    const json tenants = json::parse(text);
    BOOST_TEST(needsKeys(&tenants), text);
  }
}

// Guards against a limit that can't be read and so limits nothing.
BOOST_AUTO_TEST_CASE(KeysOfAWorkspaceWithAnUnreadableLimitAreUnknown)
{
  const auto isKnown = [](const std::string& aLimit) {
    json value = ExampleConfiguration();
    value["tenants"] =
      json::parse(R"([{"name":"w","apiKeys":["k"])" + aLimit + "}]");
    return DecodeConfiguration(value)->FindWorkspaceByKey("k") != nullptr;
  };
  BOOST_TEST(isKnown(""));
  BOOST_TEST(isKnown(R"(,"ratePerS":0,"burst":0)")); // 0: no limit.
  BOOST_TEST(isKnown(R"(,"ratePerS":7.5,"burst":9)"));
  BOOST_TEST(!isKnown(R"(,"ratePerS":-1)"));
  BOOST_TEST(!isKnown(R"(,"ratePerS":"7")"));
  BOOST_TEST(!isKnown(R"(,"ratePerS":null)"));
  BOOST_TEST(!isKnown(R"(,"ratePerS":7,"burst":[])"));
}

BOOST_AUTO_TEST_CASE(UnusableConfigurationsAreRejected)
{
  for (const char* text : { R"({"version":7})",
                            R"({"version":7,"routes":{}})",
                            R"({"version":-7,"routes":[]})",
                            R"({"version":1e3,"routes":[]})",
                            R"({"routes":[]})",
                            "[]" }) {
    BOOST_TEST((DecodeConfiguration(json::parse(text)) == nullptr), text);
  }
  BOOST_TEST((DecodeConfiguration(
                json::parse(R"({"version":7,"routes":[]})")) != nullptr));
  // A time that is too large for a clock is a very long one.
  json value = ExampleConfiguration();
  for (json& it : value["routes"]) {
    it["timeoutMs"] = UINT64_MAX;
  }
  const auto configuration = DecodeConfiguration(value);
  BOOST_REQUIRE(!configuration->Routes().empty());
  BOOST_TEST((configuration->Routes().front()->mTimeout == 24h));
}

BOOST_AUTO_TEST_CASE(MissingConfigurationIsReported)
{
  Reason reason;
  BOOST_TEST(
    (PlatformViewDecoder().DecodeConfiguration({}, &reason) == nullptr));
  BOOST_TEST((reason.mCode == ReasonCode::NotFound));
  BOOST_TEST((DecodeConfiguration(json::array()) == nullptr));
}

BOOST_AUTO_TEST_CASE(DecodesUpstream)
{
  const auto upstream = DecodeUpstream(ExampleUpstream());
  BOOST_REQUIRE(upstream.has_value());
  BOOST_TEST(upstream->mId == "i-1");
  BOOST_TEST((upstream->mStage == RelayStage::Decode));
  BOOST_TEST(!upstream->mIsLeaving);
  BOOST_TEST(upstream->mIncarnationId == 1700000000000U);
}

// Guards against an odd entry by another writer that ends the process, or hides
// the other entries.
BOOST_AUTO_TEST_CASE(AnOddEntryIsRejected)
{
  const auto isRejected = [](const std::string& aValue) {
    return !PlatformViewDecoder().DecodeUpstream({ "i-1", aValue, 1 }, nullptr);
  };
  const auto with = [](const std::string& aField, const std::string& aValue) {
    json value = ExampleUpstream();
    value[aField] = "@";
    std::string text = value.dump();
    return text.replace(text.find("\"@\""), 3, aValue);
  };
  BOOST_TEST(!isRejected(with("slots", "64")));
  for (const char* slots : { "0",
                             "-1",
                             "0.5",
                             "4294967296", // 0 in 32 bits.
                             "18446744073709551616",
                             "1e999",
                             "true",
                             "\"64\"" }) {
    BOOST_TEST(isRejected(with("slots", slots)), slots);
  }
  for (const char* address : { "10.0.0.9:0",
                               "10.0.0.9:70000",
                               "10.0.0.9:-1",
                               "10.0.0.9:4294967376",
                               "10.0.0.9",
                               "10.0.0.9:80 ",
                               "host:80" }) {
    BOOST_TEST(isRejected(with("address", json(address).dump())), address);
  }
  const std::string invalidUtf8 = "\"\xff\xfe\"";
  BOOST_TEST(isRejected(with("zone", invalidUtf8)));
  // As deep as a row of 64 KB can be, and deeper.
  for (const std::size_t depth : { std::size_t(32000), std::size_t(1000000) }) {
    const std::string nested =
      std::string(depth, '[') + std::string(depth, ']');
    BOOST_TEST(isRejected(nested));
    BOOST_TEST(isRejected(std::string(depth, '[')));
    BOOST_TEST(isRejected(with("slots", nested)));
    BOOST_TEST(!isRejected(with("born", nested))); // Taken as not stated.
  }
  BOOST_TEST(isRejected(""));
  BOOST_TEST(isRejected("null"));
}

// Guards against an entry whose id shapes the requests that are sent to its
// upstream.
BOOST_AUTO_TEST_CASE(AnIdThatNoHeaderCanHoldIsRejected)
{
  const std::string value = ExampleUpstream().dump();
  for (const std::string& id : { std::string(),
                                 std::string("a\r\nx: y"),
                                 std::string("a b"),
                                 std::string("\0", 1),
                                 std::string("\xff"),
                                 std::string(201, 'a') }) {
    BOOST_TEST(
      !PlatformViewDecoder().DecodeUpstream({ id, value, 1 }, nullptr));
  }
}

BOOST_AUTO_TEST_CASE(InvalidUpstreamRowsAreRejected)
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

// Guards against evacuated zones that are overlooked or made up, and against a
// row whose content can't be read that hides an evacuation or the
// configuration.
BOOST_AUTO_TEST_CASE(DecodesEvacuatedZones)
{
  const auto decode = [](std::vector<StoredRow> aRows) {
    aRows.push_back({ "config", ExampleConfiguration().dump(), 1 });
    return PlatformViewDecoder().DecodeConfiguration(aRows, nullptr);
  };
  const std::set<std::string> two = { "a", "b/c" };
  const auto configuration = decode({ { "evacuate/a", "{}", 2 },
                                      { "evacuate/b/c", "not json", 3 },
                                      { "evacuate/", "{}", 4 },
                                      { "evacuated", "{}", 5 } });
  BOOST_REQUIRE((configuration != nullptr));
  BOOST_TEST((configuration->mEvacuatedZones == two));
  BOOST_TEST(configuration->mVersion == 7U);
  const auto none = decode({});
  BOOST_TEST(none->mEvacuatedZones.empty());
  BOOST_TEST(none->EvacuationDigest() != configuration->EvacuationDigest());
  BOOST_TEST(none->EvacuationDigest() != 0U);
}

// Guards against cold times and rates that are overlooked, or that overflow.
BOOST_AUTO_TEST_CASE(DecodesWhatColdUpstreamsBear)
{
  json value = ExampleConfiguration();
  value["services"][0]["coldStartS"] = 2.5;
  value["services"][0]["coldPerS"] = 4;
  value["services"][1]["coldStartS"] = 1e300;
  const auto configuration = DecodeConfiguration(value);
  const ColdStart& cold = configuration->FindService("llm")->mCold;
  BOOST_TEST((cold.mPeriod == Duration(2500ms)));
  BOOST_TEST(cold.mPerSecond == 4.0);
  BOOST_TEST(
    (configuration->FindService("one")->mCold.mPeriod == kMaxColdTime));
  BOOST_TEST(configuration->FindService("one")->mCold.mPerSecond == 0.0);
  json entry = ExampleUpstream();
  BOOST_TEST((DecodeUpstream(entry)->mColdRemaining == Duration(0)));
  entry["coldRemainingMs"] = 1500;
  BOOST_TEST((DecodeUpstream(entry)->mColdRemaining == Duration(1500ms)));
  entry["coldRemainingMs"] = std::uint64_t(18446744073709551615U);
  BOOST_TEST((DecodeUpstream(entry)->mColdRemaining == kMaxColdTime));
  entry["coldRemainingMs"] = "soon";
  BOOST_TEST((DecodeUpstream(entry)->mColdRemaining == Duration(0)));
}

// An entry without a valid version is dropped, or its version is made up.
BOOST_AUTO_TEST_CASE(AnUpstreamMayStateNoSoftwareVersion)
{
  json value = ExampleUpstream();
  value["version"] = "v1.2";
  BOOST_TEST(DecodeUpstream(value)->mSoftwareVersion == "v1.2");
  value["version"] = 12;
  BOOST_TEST(DecodeUpstream(value)->mSoftwareVersion.empty());
  value.erase("version");
  BOOST_TEST(DecodeUpstream(value)->mSoftwareVersion.empty());
}

BOOST_AUTO_TEST_CASE(DecodesRowsWithBase64Values)
{
  const auto page = PlatformRowStore::DecodeRows(
    R"({"rows":[{"key":"owner","value":"bm9kZS0x","ver":412},
                {"key":"odd","value":"?"},17],
        "hasMore":true,"ver":530})");
  BOOST_REQUIRE(page.has_value());
  BOOST_REQUIRE(page->mRows.size() == 1U);
  BOOST_TEST(page->mRows[0].mValue == "node-1");
  BOOST_TEST(page->mHasMore);
  BOOST_TEST(!PlatformRowStore::DecodeRows("<html>").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

RC_BOOST_PROP(Base64RoundTrip, (const std::string& aText))
{
  const auto decoded = FromBase64(ToBase64(aText));
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(*decoded == aText);
}

RC_BOOST_PROP(CorruptedRowsDoNotCrash, ())
{
  const std::string configuration = Corrupt(ExampleConfiguration().dump());
  PlatformViewDecoder().DecodeConfiguration({ { "config", configuration, 1 } },
                                            nullptr);
  PlatformViewDecoder().DecodeUpstream(
    { "i", Corrupt(ExampleUpstream().dump()), 1 }, nullptr);
  PlatformRowStore::DecodeRows(
    Corrupt(R"({"rows":[{"key":"k","value":"bm9kZS0x","ver":1}]})"));
}

RC_BOOST_PROP(FieldsOfOtherTypesDoNotCrash, ())
{
  json configuration = ChangeOneField(ExampleConfiguration());
  for (const char* list : { "routes", "services", "tenants" }) {
    if (configuration.contains(list) && configuration[list].is_array()) {
      for (json& it : configuration[list]) {
        it = ChangeOneField(it);
      }
    }
  }
  DecodeConfiguration(configuration);
  DecodeUpstream(ChangeOneField(ExampleUpstream()));
}

BOOST_AUTO_TEST_SUITE(Callers)

BOOST_AUTO_TEST_CASE(ParsesCallersRequest)
{
  const auto parsed =
    PlatformCallerProtocol().ParseRequest(ExampleRequest(), nullptr);
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->mName == "id-1");
  BOOST_TEST(parsed->mHost == "site.example");
  BOOST_TEST(parsed->mPath == "/a/x");
  BOOST_TEST(parsed->mKey == "k1");
  BOOST_TEST(*parsed->mPromptTokens == 1460U);
  BOOST_TEST(parsed->mOutputTokens == 80U);
  BOOST_TEST(*parsed->mExpectedTokens == 40U);
  BOOST_TEST((*parsed->mCallerTimeout == Duration(14s)));
}

// The stream that a caller resumes is not known, or upstreams don't learn it.
BOOST_AUTO_TEST_CASE(TheResumedRequestIsParsedAndForwarded)
{
  HttpRequest request = ExampleRequest();
  BOOST_TEST(PlatformCallerProtocol()
               .ParseRequest(request, nullptr)
               ->mResumedRequest.empty());
  request.mHeaders["last-event-id"] = "12";
  request.mHeaders["resumes"] = "id-0";
  const auto parsed = PlatformCallerProtocol().ParseRequest(request, nullptr);
  BOOST_TEST(parsed->mResumedRequest == "id-0");
  BOOST_TEST(parsed->mLastEventId == 12U);
  const HttpCall call =
    PlatformUpstreamProtocol().MakeCall(ExampleCommand(), request);
  BOOST_TEST(call.mHeaders.at("resumes") == "id-0");
}

// Guards against prompt parts that are lost or misread, so that requests that
// share one can't be told from others.
BOOST_AUTO_TEST_CASE(SharedPromptPartsAreAllButTheLast)
{
  const auto partsOf = [](const std::string& aHeader) {
    HttpRequest request = ExampleRequest();
    request.mHeaders["prompt-prefix"] = aHeader;
    const auto parsed = PlatformCallerProtocol().ParseRequest(request, nullptr);
    BOOST_REQUIRE(parsed.has_value());
    return parsed->mSharedPromptParts;
  };
  const std::vector<std::string> two = { "5c1e07a2", "91bd3f06" };
  BOOST_TEST(partsOf("5c1e07a2:800,91bd3f06:410,e4402b7d:250") == two);
  BOOST_TEST(partsOf("5c1e07a2:800, 91bd3f06:410 ,e4402b7d:250") == two);
  for (const char* none : { "",
                            "e4402b7d:250",
                            "5c1e07a2,e4402b7d:250",
                            ":1,a:2",
                            "a:x,b:1",
                            "," }) {
    BOOST_TEST(partsOf(none).empty(), none);
  }
}

// Guards against streams that differ in their last prompt part only and are
// taken for one.
BOOST_AUTO_TEST_CASE(AllPromptPartsBelongToTheContent)
{
  HttpRequest request = ExampleRequest();
  request.mHeaders["prompt-prefix"] = "5c1e07a2:800,e4402b7d:250";
  BOOST_TEST(
    PlatformCallerProtocol().ParseRequest(request, nullptr)->mPromptParts ==
    "5c1e07a2:800,e4402b7d:250");
}

// Guards against records of versions that are dated by a clock which the store
// did not state, or not dated although it did.
BOOST_AUTO_TEST_CASE(PagesOfRowsStateTheStoresClock)
{
  const auto clockOf = [](const std::string& aFields) {
    const auto page = PlatformRowStore::DecodeRows(
      R"({"rows":[],"hasMore":false)" + aFields + "}");
    BOOST_REQUIRE(page.has_value());
    return page->mNowMs.value_or(0);
  };
  BOOST_TEST(clockOf(R"(,"nowMs":123456)") == 123456U);
  BOOST_TEST(clockOf("") == 0U);
  BOOST_TEST(clockOf(R"(,"nowMs":"123")") == 0U);
  BOOST_TEST(clockOf(R"(,"nowMs":-1)") == 0U);
}

BOOST_AUTO_TEST_CASE(RequestWithoutIdIsRejected)
{
  HttpRequest request = ExampleRequest();
  request.mHeaders.erase("request-id");
  Reason reason;
  BOOST_TEST(
    !PlatformCallerProtocol().ParseRequest(request, &reason).has_value());
  BOOST_TEST(!reason.mText.empty());
}

// Guards against a request that runs under an id that no caller sent (UNASKED):
// values of a header that is stated twice are joined.
BOOST_AUTO_TEST_CASE(ARequestWithTwoIdsIsRejected)
{
  for (const char* id : { "id-1, id-2", "id-1,id-2", "id 1", "id\t1" }) {
    HttpRequest request = ExampleRequest();
    request.mHeaders["request-id"] = id;
    BOOST_TEST(
      !PlatformCallerProtocol().ParseRequest(request, nullptr).has_value(), id);
  }
}

BOOST_AUTO_TEST_CASE(RefusalCarriesRetryAfterAndRequestId)
{
  const Refusal refusal = Refusal::Make(
    RefusalKind::OverAllowance, RunVerdictTracker(), Duration(350ms));
  const auto headers =
    PlatformCallerProtocol().MakeRefusalHeaders(ExampleRequest(), refusal);
  BOOST_TEST(headers.at("retry-after") == "0.350");
  BOOST_TEST(headers.at("request-id") == "id-1");
}

BOOST_AUTO_TEST_CASE(EndpointsReturnReadinessAndAddresses)
{
  HttpRequest request;
  request.mPath = "/-/ready";
  NodeStatus status;
  BOOST_TEST(
    PlatformCallerProtocol().HandleReadiness(request, status)->mStatus == 503);
  status.mIsReady = true;
  BOOST_TEST(
    PlatformCallerProtocol().HandleReadiness(request, status)->mStatus == 200);
  request.mPath = "/-/resolve";
  BOOST_TEST(
    !PlatformCallerProtocol().HandleReadiness(request, status).has_value());
  BOOST_TEST(
    PlatformCallerProtocol().HandleAddressLookup(request, status)->mStatus ==
    503);
  status.mCallerAddresses = { "10.0.0.1:80" };
  status.mAddressTtl = 1500ms;
  const auto page =
    PlatformCallerProtocol().HandleAddressLookup(request, status);
  BOOST_TEST(page->mBody == R"({"addresses":["10.0.0.1:80"],"ttlS":2})");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Upstreams)

BOOST_AUTO_TEST_CASE(KeyAndReservedHeadersAreNotForwarded)
{
  const HttpCall call =
    PlatformUpstreamProtocol().MakeCall(ExampleCommand(), ExampleRequest());
  BOOST_TEST(call.mUrl == "http://10.0.0.9:8080/a/x?q=1");
  BOOST_TEST(call.Body() == "body");
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

BOOST_AUTO_TEST_CASE(CallCarriesHandleAndLastEventId)
{
  RelayCommand command = ExampleCommand();
  command.mHandle = "h";
  command.mHandleAddress = "10.0.0.8:8080";
  command.mLastEventId = 12;
  const HttpCall call =
    PlatformUpstreamProtocol().MakeCall(command, ExampleRequest());
  BOOST_TEST(call.mHeaders.at("kv-source") == "10.0.0.8:8080/h");
  BOOST_TEST(call.mHeaders.at("last-event-id") == "12");
  command.mCallKind = RelayCallKind::Prefill;
  BOOST_TEST(PlatformUpstreamProtocol()
               .MakeCall(command, ExampleRequest())
               .mHeaders.at("serving-stage") == "prefill");
}

BOOST_AUTO_TEST_CASE(ReservationCallsFollowTheProtocol)
{
  const PlatformUpstreamProtocol upstreams;
  RelayCommand command = ExampleCommand();
  command.mCallKind = RelayCallKind::Reserve;
  command.mMemoryTokens = 3200;
  command.mReservationLifetime = 1500ms;
  const HttpCall reserve = upstreams.MakeCall(command, ExampleRequest());
  BOOST_TEST(reserve.mUrl == "http://10.0.0.9:8080/-/hold-take");
  BOOST_TEST(reserve.mBody == R"({"tokens":3200,"ttlMs":1500})");
  BOOST_TEST(reserve.mHeaders.count("authorization") == 0U);
  BOOST_TEST(upstreams.ParseReservation(R"({"hold":"k"})") == "k");
  command.mCallKind = RelayCallKind::Stream;
  command.mReservation = "k";
  BOOST_TEST(
    upstreams.MakeCall(command, ExampleRequest()).mHeaders.at("kv-hold") ==
    "k");
  command.mKind = RelayCommandKind::ReleaseReservation;
  BOOST_TEST(upstreams.MakeRelease(command).mUrl ==
             "http://10.0.0.9:8080/-/hold-drop/k");
}

BOOST_AUTO_TEST_CASE(StageOrderCarriesEngineHolderAndFence)
{
  const PlatformUpstreamProtocol upstreams;
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

BOOST_AUTO_TEST_CASE(OnlySealedResponsesWithThisIdAreForwarded)
{
  const PlatformUpstreamProtocol upstreams;
  const HttpHeaders good = { { "request-id", "id-1" },
                             { "response-seal", "s" },
                             { "server-load", "3,1,8" },
                             { "connection", "close" } };
  const auto parse = [&](int aStatus, const HttpHeaders& aHeaders) {
    return upstreams.ParseResponseHead(ExampleRequest(), aStatus, aHeaders);
  };
  const UpstreamResponseHead head = parse(200, good);
  BOOST_TEST(head.mIsVerified);
  BOOST_TEST(!head.mNotRun);
  BOOST_TEST(head.mLoad->mWaiting == 1U);
  BOOST_TEST(head.mResponse.mHeaders.count("connection") == 0U);
  BOOST_TEST(head.mResponse.mHeaders.at("response-seal") == "s");
  HttpHeaders otherId = good;
  otherId["request-id"] = "id-2";
  BOOST_TEST(!parse(200, otherId).mIsVerified);
  BOOST_TEST(parse(200, otherId).mIsForOtherRequest);
  HttpHeaders unsealed = { { "request-id", "id-1" } };
  BOOST_TEST(!parse(200, unsealed).mIsVerified);
  BOOST_TEST(parse(500, unsealed).mIsVerified);
  HttpHeaders encoded = good;
  encoded["content-encoding"] = "gzip";
  BOOST_TEST(!parse(200, encoded).mIsVerified);
}

BOOST_AUTO_TEST_CASE(NotRunRequiresTheUpstreamsStatement)
{
  const PlatformUpstreamProtocol upstreams;
  const auto parse = [&](int aStatus, const HttpHeaders& aHeaders) {
    return upstreams.ParseResponseHead(ExampleRequest(), aStatus, aHeaders);
  };
  BOOST_TEST(!parse(503, {}).mNotRun);
  BOOST_TEST(parse(503, { { "not-processed", "1" } }).mNotRun);
  BOOST_TEST(parse(421, {}).mNotRun);
  BOOST_TEST(parse(421, {}).mIsWrongProcess);
  // A response that carries another request's id proves nothing.
  BOOST_TEST(!parse(503, { { "not-processed", "1" }, { "request-id", "id-2" } })
                .mNotRun);
  const auto other = parse(421, { { "request-id", "id-2" } });
  BOOST_TEST(!other.mNotRun);
  BOOST_TEST(!other.mIsWrongProcess);
}

// Guards against limits that are misread, taken from another process, or passed
// on to callers.
BOOST_AUTO_TEST_CASE(ReadsTheLimitThatAnUpstreamStates)
{
  const PlatformUpstreamProtocol upstreams;
  const auto parse = [&](int aStatus, const char* aLimit) {
    const HttpHeaders headers = { { "server-limit", aLimit } };
    return upstreams.ParseResponseHead(ExampleRequest(), aStatus, headers);
  };
  for (const auto& [text, limit] : std::map<const char*, double>{
         { "4.4", 4.4 }, { "0", 0 }, { "12", 12 }, { ".5", 0.5 } }) {
    const auto head = parse(200, text);
    BOOST_REQUIRE(head.mLimit.has_value());
    BOOST_TEST(*head.mLimit->mPerSecond == limit);
    BOOST_TEST(head.mResponse.mHeaders.count("server-limit") == 0U);
  }
  for (const char* garbage :
       { "", "many", "-1", "1e3", "inf", "1.2.3", "4 " }) {
    BOOST_TEST(!parse(200, garbage).mLimit.has_value(), garbage);
  }
  BOOST_TEST(!parse(421, "4").mLimit.has_value());
  const auto without =
    upstreams.ParseResponseHead(ExampleRequest(), 503, HttpHeaders());
  BOOST_REQUIRE(without.mLimit.has_value());
  BOOST_TEST(!without.mLimit->mPerSecond.has_value());
}

// Guards against cold times that are misread, taken from another process or
// passed on to callers; a time of 0 says that the upstream is not cold.
BOOST_AUTO_TEST_CASE(ReadsForHowLongAnUpstreamStaysCold)
{
  const PlatformUpstreamProtocol upstreams;
  const auto parse = [&](int aStatus, const char* aTime) {
    const HttpHeaders headers = { { "cold-remaining", aTime } };
    return upstreams.ParseResponseHead(ExampleRequest(), aStatus, headers);
  };
  for (const int status : { 200, 429, 503 }) {
    const auto head = parse(status, "1500");
    BOOST_TEST((head.mColdRemaining == Duration(1500ms)), status);
    BOOST_TEST(head.mResponse.mHeaders.count("cold-remaining") == 0U);
  }
  BOOST_TEST((parse(200, "0").mColdRemaining == Duration(0)));
  BOOST_TEST(
    (parse(200, "18446744073709551615").mColdRemaining == kMaxColdTime));
  for (const char* garbage : { "", "-1", "1.5", "soon", "1 " }) {
    BOOST_TEST(!parse(200, garbage).mColdRemaining.has_value(), garbage);
  }
  BOOST_TEST(!parse(421, "1500").mColdRemaining.has_value());
}

// Guards against statements that are overlooked, misread, or taken from another
// process.
BOOST_AUTO_TEST_CASE(ReadsThatAnUpstreamStatesItsLeaving)
{
  const PlatformUpstreamProtocol upstreams;
  const auto parse = [&](int aStatus, HttpHeaders aHeaders) {
    return upstreams.ParseResponseHead(ExampleRequest(), aStatus, aHeaders)
      .mStatesLeaving;
  };
  for (const int status : { 200, 400, 429, 500, 503 }) {
    BOOST_TEST(parse(status, { { "server-leaving", "1" } }), status);
    BOOST_TEST(!parse(status, {}), status);
  }
  for (const char* other : { "", "0", "no", "2", "11" }) {
    BOOST_TEST(!parse(200, { { "server-leaving", other } }), other);
  }
  BOOST_TEST(!parse(421, { { "server-leaving", "1" } }));
  BOOST_TEST(
    !parse(200, { { "server-leaving", "1" }, { "request-id", "id-2" } }));
}

BOOST_AUTO_TEST_CASE(ParsesHandleOrReturnsEmpty)
{
  const PlatformUpstreamProtocol upstreams;
  BOOST_TEST(upstreams.ParseHandle(R"({"handle":"h","tokens":3})") == "h");
  BOOST_TEST(upstreams.ParseHandle(R"({"handle":3})").empty());
  BOOST_TEST(upstreams.ParseHandle("not json").empty());
  // It would shape the next request.
  BOOST_TEST(upstreams.ParseHandle(R"({"handle":"h\r\nx: y"})").empty());
  BOOST_TEST(upstreams.ParseReservation(R"({"hold":"a b"})").empty());
}

// An upstream that states a fourth figure counts as idle: without the statement
// its running and waiting requests are not known either.
BOOST_AUTO_TEST_CASE(StatedLoadMayHaveFurtherFigures)
{
  const PlatformUpstreamProtocol upstreams;
  const auto loadOf = [&](const char* aText) {
    return upstreams.ParseResponseHead({}, 200, { { "server-load", aText } })
      .mLoad;
  };
  BOOST_TEST(!loadOf("6,4,6")->mWorkTimePercent.has_value());
  BOOST_TEST(loadOf("1,0,12,70")->mWorkTimePercent.value() == 70U);
  BOOST_TEST(loadOf("6,4,6,100")->mWaiting == 4U);
  BOOST_TEST(loadOf("6,4,6,170,9,9")->mWorkTimePercent.value() == 170U);
  BOOST_TEST(loadOf("6,4,6,99999999999")->mWorkTimePercent.value() ==
             UINT32_MAX);
  for (const char* text : { "6,4", "6,4,6,", "6,4,6,-1", "6,4,6,7%", "" }) {
    BOOST_TEST(!loadOf(text).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

RC_BOOST_PROP(GossipRoundTripAndCorruptionDoesNotCrash, ())
{
  GossipMessage message;
  message.mVm = "vm";
  message.mInstance = "vm-1";
  message.mSequence = 7;
  message.mServing = ServingState::OpenRoutes;
  message.mGranted = { { "w", -5 } };
  message.mWork = { { "u", { 3, 400 } } };
  message.mGoneUpstreams = { "x" };
  message.mFailingUpstreams = { { "y", { 1.5, 0.25 } } };
  message.mWaiting = { { "s", { 4, 2 } } };
  message.mCrashReports = { { "d",
                              { { 1, 2, Duration(9), Duration(3), true },
                                { 4, 2, 5s, 1s, false } } } };
  message.mLimits = { { "u", { 4.5, 3s } }, { "v", { std::nullopt, 1s } } };
  message.mDemand = { { "s", 2.5 } };
  message.mSpeeds = { { "u", { 1.7, 20, 9 } } };
  message.mLeavingUpstreams = { { "u", 17 }, { "v", 0 } };
  message.mCold = { { "u", 2s } };
  message.mPriorities = { { "s", { { 1, { 3, 4 } } } } };
  message.mAnnouncesContents = *rc::gen::arbitrary<bool>();
  const std::string bytes = EncodeGossipMessage(message);
  const auto decoded = DecodeGossipMessage(bytes);
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(EncodeGossipMessage(*decoded) == bytes);
  RC_ASSERT(decoded->mLeavingUpstreams == message.mLeavingUpstreams);
  RC_ASSERT(std::abs(decoded->mSpeeds.at("u").mFactor - 1.7) < 0.001);
  RC_ASSERT(decoded->mSpeeds.at("u").mProcess == 9U);
  RC_ASSERT(decoded->mCold == message.mCold);
  RC_ASSERT(decoded->mAnnouncesContents == message.mAnnouncesContents);
  DecodeGossipMessage(Corrupt(bytes));
  const std::string query = EncodeViewQuery({ 5, "10.0.0.1:7600" });
  RC_ASSERT(DecodeViewQuery(query)->mStamp == 5U);
  RC_ASSERT(!DecodeViewResponse(query).has_value());
  RC_ASSERT(!DecodeGossipMessage(query).has_value());
  DecodeViewQuery(Corrupt(query));
  const std::string response =
    EncodeViewResponse({ 5, 6, Duration(7), 8, Duration(9), 10, "10.0.0.1:1" });
  RC_ASSERT(DecodeViewResponse(response)->mListDigest == 8U);
  RC_ASSERT(DecodeViewResponse(response)->mVmDigest == 10U);
  RC_ASSERT(DecodeViewResponse(response)->mEvacuationDigest == 0U);
  DecodeViewResponse(Corrupt(response));
}

RC_BOOST_PROP(SummaryRoundTripAndCorruptionDoesNotCrash, ())
{
  GossipSummary summary;
  summary.mVm = "vm";
  summary.mInstance = "vm-1";
  summary.mSequence = 7;
  summary.mCell = CellId{ "z", 3 };
  summary.mReachableVms = 15;
  summary.mGranted = { { "w", -5 } };
  summary.mWork = { { "u", { 3, 400 } } };
  summary.mGoneUpstreams = { "x" };
  summary.mFailingUpstreams = { { "y", { 1.5, 0.25 } } };
  summary.mLeavingUpstreams = { { "u", 17 } };
  summary.mSpeeds = { { "u", { 0.7, 20, 9 } } };
  summary.mCallers = { { "z", "10.0.0.1:80", ServingState::Everything } };
  summary.mCold = { { "u", 2s } };
  summary.mAnnounceContents = *rc::gen::arbitrary<bool>();
  const std::string bytes = EncodeGossipSummary(summary);
  const auto decoded = DecodeGossipSummary(bytes);
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(decoded->mAnnounceContents == summary.mAnnounceContents);
  RC_ASSERT(EncodeGossipSummary(*decoded) == bytes);
  RC_ASSERT(decoded->mLeavingUpstreams == summary.mLeavingUpstreams);
  RC_ASSERT(decoded->mCold == summary.mCold);
  RC_ASSERT(!DecodeGossipMessage(bytes).has_value());
  RC_ASSERT(!DecodeViewResponse(bytes).has_value());
  DecodeGossipSummary(Corrupt(bytes));
}

// A message of an older build, which tells no speeds, is not read; or one with
// absurd figures stops requests to an upstream.
BOOST_AUTO_TEST_CASE(SpeedsInMessagesAreOptionalAndBounded)
{
  GossipMessage message;
  const auto old = DecodeGossipMessage(EncodeGossipMessage(message));
  BOOST_REQUIRE(old.has_value());
  BOOST_TEST(old->mSpeeds.empty());
  message.mSpeeds = { { "u", { 1e7, 4000000000, 1 } } };
  const auto absurd = DecodeGossipMessage(EncodeGossipMessage(message));
  BOOST_REQUIRE(absurd.has_value());
  BOOST_TEST(absurd->mSpeeds.at("u").mFactor <= 100);
  BOOST_TEST(absurd->mSpeeds.at("u").mSamples <= 1000U);
  BOOST_TEST(!DecodeGossipMessage(
                detail::ToCbor(json::object({ { "sp", json::array({ 3 }) } })))
                .has_value());
}

// Guards against messages of VMs without cold upstreams that differ from an
// older build's, and against a message that is dropped for lack of the keys.
BOOST_AUTO_TEST_CASE(MessagesWithoutColdUpstreamsHaveNoNewKeys)
{
  GossipMessage message;
  message.mVm = "vm";
  const std::string bytes = EncodeGossipMessage(message);
  BOOST_TEST(bytes.find("cd") == std::string::npos);
  BOOST_TEST(bytes.find("wp") == std::string::npos);
  const auto decoded = DecodeGossipMessage(bytes);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->mCold.empty());
  BOOST_TEST(decoded->mPriorities.empty());
}

// Guards against messages that grow with cold upstreams by more than
// docs/CAPACITY.md states.
BOOST_AUTO_TEST_CASE(ColdUpstreamsTakeFewBytes)
{
  constexpr std::size_t kUpstreams = 20;
  constexpr std::size_t kBytesOfEach = 18; // With an id of 12 bytes.
  constexpr std::size_t kBytesOfKey = 4;
  GossipMessage message;
  const std::size_t without = EncodeGossipMessage(message).size();
  for (std::size_t n = 0; n < kUpstreams; ++n) {
    message.mCold["i-50619200" + std::to_string(10 + n)] = 20s;
  }
  const std::size_t bytes = EncodeGossipMessage(message).size() - without;
  BOOST_TEST(bytes == kUpstreams * kBytesOfEach + kBytesOfKey);
}

// Guards against view responses that lose the digest of the zones or the era of
// the store, and against one of an older build, which states neither or no era,
// that is not read.
BOOST_AUTO_TEST_CASE(ViewResponsesCarryTheDigestOfTheZonesAndTheEra)
{
  ViewResponse response;
  response.mStamp = 5;
  response.mEvacuationDigest = 12;
  response.mStoreEra = 3;
  const std::string bytes = EncodeViewResponse(response);
  BOOST_TEST(DecodeViewResponse(bytes)->mEvacuationDigest == 12U);
  BOOST_TEST(DecodeViewResponse(bytes)->mStoreEra == 3U);
  json old = json::from_cbor(bytes);
  for (const std::uint64_t digest : { 12, 0 }) {
    old.erase(old.size() - 1);
    const auto decoded = DecodeViewResponse(detail::ToCbor(old));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->mStamp == 5U);
    BOOST_TEST(decoded->mEvacuationDigest == digest);
    BOOST_TEST(decoded->mStoreEra == 0U);
  }
}

// Guards against lists of peers that lose the cold times, and against a list of
// an older build, which states none, that is not read.
BOOST_AUTO_TEST_CASE(SharedListsCarryColdTimes)
{
  SharedUpstreams list;
  RelayUpstream upstream;
  upstream.mId = "u";
  upstream.mColdRemaining = 3s;
  list.mEntries.push_back({ upstream, false, false });
  const auto decoded = DecodeSharedUpstreams(EncodeSharedUpstreams(list));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((decoded->mEntries.at(0).mUpstream.mColdRemaining == 3s));
  const json old =
    json::array({ "u", "s", "10.0.0.1:1", "z", 2, 4, false, 9, true, "v1.2" });
  const auto decodedOld = DecodeSharedUpstreams(
    detail::ToCbor(json::array({ 5, json::array({ old }) })));
  BOOST_REQUIRE(decodedOld.has_value());
  BOOST_TEST(
    (decodedOld->mEntries.at(0).mUpstream.mColdRemaining == Duration(0)));
}

// A list of a peer loses the software versions, or one of an older build, which
// states none, is not read.
BOOST_AUTO_TEST_CASE(SharedListsCarrySoftwareVersions)
{
  SharedUpstreams list;
  RelayUpstream upstream;
  upstream.mId = "u";
  upstream.mSoftwareVersion = "v1.2";
  list.mEntries.push_back({ upstream, true });
  const auto decoded = DecodeSharedUpstreams(EncodeSharedUpstreams(list));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->mEntries.at(0).mUpstream.mSoftwareVersion == "v1.2");
  const json old =
    json::array({ "u", "s", "10.0.0.1:1", "z", 2, 4, false, 9, true });
  const auto decodedOld = DecodeSharedUpstreams(
    detail::ToCbor(json::array({ 5, json::array({ old }) })));
  BOOST_REQUIRE(decodedOld.has_value());
  BOOST_TEST(decodedOld->mEntries.at(0).mUpstream.mId == "u");
  BOOST_TEST(decodedOld->mEntries.at(0).mIsMissing);
  BOOST_TEST(decodedOld->mEntries.at(0).mUpstream.mSoftwareVersion.empty());
}

RC_BOOST_PROP(SharedViewsRoundTripAndCorruptionDoesNotCrash, ())
{
  SharedUpstreams list;
  list.mAge = Duration(5);
  RelayUpstream upstream;
  upstream.mId = "u";
  upstream.mStage = RelayStage::Decode;
  upstream.mIncarnationId = 9;
  list.mEntries.push_back({ upstream, true });
  const std::string listBytes = EncodeSharedUpstreams(list);
  const auto decodedList = DecodeSharedUpstreams(listBytes);
  RC_ASSERT(decodedList.has_value());
  RC_ASSERT(EncodeSharedUpstreams(*decodedList) == listBytes);
  DecodeSharedUpstreams(Corrupt(listBytes));
  const SharedConfiguration configuration{ Duration(5), { { "k", "v", 3 } } };
  const std::string bytes = EncodeSharedConfiguration(configuration);
  RC_ASSERT(DecodeSharedConfiguration(bytes)->mRows.front().mValue == "v");
  DecodeSharedConfiguration(Corrupt(bytes));
  const VmRecords vms = { { "a", { "a", "z", "10.0.0.1:1" } } };
  RC_ASSERT(DecodeVmRecords(EncodeVmRecords(vms)) == vms);
  DecodeVmRecords(Corrupt(EncodeVmRecords(vms)));
}
