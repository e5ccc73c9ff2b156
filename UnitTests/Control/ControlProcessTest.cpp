/// Control processes together: changes reach all, races and faults are told
/// truthfully, and views stay fresh in an outage only while that is safe.
#define BOOST_TEST_MODULE ControlProcess
#include <Peridothoist/Peridothoist.h>

#include <boost/test/unit_test.hpp>

#include <Control/ControlFixture.h>

#include <Config/ExampleConfiguration.h>
#include <Peridothoist/Config/ConfigCodec.h>

using namespace peridothoist;
using nlohmann::json;

namespace {

json
ExampleChange(std::uint64_t aBase)
{
  return { { "base_version", aBase },
           { "edits", EncodeEdits(ExampleItems()) } };
}

json
PoolChange(std::uint64_t aBase, const std::string& aName)
{
  const std::vector<ItemEdit> edits = {
    { ItemKind::Pool, aName, R"({"role":"plain"})" }
  };
  return { { "base_version", aBase }, { "edits", EncodeEdits(edits) } };
}

} // namespace

BOOST_AUTO_TEST_CASE(ChangeIsInForceEverywhereAndTheLoserIsTold)
{
  ControlFixture fixture(3);
  BOOST_REQUIRE(fixture.UntilFresh());
  const auto first =
    fixture.Call(0, "POST", "/admin/v1/changes", ExampleChange(0));
  BOOST_TEST(first.mStatus == 200, first.mBody.dump());
  BOOST_TEST(fixture.UntilVersion(1));
  bool inForce = false;
  for (int n = 0; n < 200 && !inForce; ++n) {
    fixture.Pause(10ms);
    inForce = fixture.Call(0, "GET", "/admin/v1/changes/1/in_force")
                .mBody.value("in_force", false);
  }
  BOOST_TEST(inForce);

  const auto loser =
    fixture.Call(1, "POST", "/admin/v1/changes", PoolChange(0, "late"));
  BOOST_TEST(loser.mStatus == 409);
  BOOST_TEST(loser.mBody["changed"].size() == ExampleItems().size());
  BOOST_TEST(loser.mBody.dump().find("aaaaaaaa") == std::string::npos);

  const auto invalid = fixture.Call(
    1,
    "POST",
    "/admin/v1/changes",
    { { "base_version", 1 },
      { "edits",
        { { { "kind", "pool" }, { "name", "dec" }, { "json", nullptr } } } } });
  BOOST_TEST(invalid.mStatus == 422);
  BOOST_TEST(invalid.mBody["error"]["message"] ==
             "upstream/d1.pool: no pool \"dec\"");
}

BOOST_AUTO_TEST_CASE(OnlyOperatorsGetIn)
{
  ControlFixture fixture(1);
  const auto stranger =
    fixture.Call(0, "GET", "/admin/v1/config", nullptr, "other");
  BOOST_TEST(stranger.mStatus == 401);
  const auto noSuchCall = fixture.Call(0, "GET", "/admin/v1/nothing");
  BOOST_TEST(noSuchCall.mStatus == 404);
  const auto health = fixture.Call(0, "GET", "/healthz", nullptr, "other");
  BOOST_TEST(health.mStatus == 200);
}

BOOST_AUTO_TEST_CASE(KeysAreShownOnceAndWithdrawn)
{
  ControlFixture fixture(2);
  BOOST_REQUIRE(fixture.UntilFresh());
  fixture.Call(0, "POST", "/admin/v1/changes", ExampleChange(0));
  const auto made =
    fixture.Call(0, "POST", "/admin/v1/keys", { { "workspace", "ensenada" } });
  BOOST_REQUIRE(made.mStatus == 200);
  const std::string key = made.mBody.value("key", "");
  const std::string name = made.mBody.value("name", "");
  BOOST_TEST(key.rfind(name + ".", 0) == 0u);
  const std::string secret = key.substr(name.size() + 1);
  const std::string config =
    fixture.Call(0, "GET", "/admin/v1/config").mBody.dump();
  BOOST_TEST(config.find(name) != std::string::npos);
  BOOST_TEST(config.find(secret) == std::string::npos);
  BOOST_TEST(
    fixture.mShared.Value("config/change/00000000000000000002").find(secret) ==
    std::string::npos);
  // Withdrawn through another process, whatever version it holds.
  const auto gone = fixture.Call(1, "DELETE", "/admin/v1/keys/" + name);
  BOOST_TEST(gone.mStatus == 200, gone.mBody.dump());
  BOOST_TEST(fixture.Call(1, "DELETE", "/admin/v1/keys/" + name).mStatus ==
             404);
}

BOOST_AUTO_TEST_CASE(ChangeIsRefusedWhileAZoneIsSilent)
{
  ControlFixture fixture(3);
  fixture.mNodes[2].mSettings.mExchange.mDeadline = 50ms;
  BOOST_REQUIRE(fixture.UntilFresh());
  fixture.mNodes[2].mProcess.reset();
  fixture.Pause(2200ms);
  const auto refused =
    fixture.Call(0, "POST", "/admin/v1/changes", PoolChange(0, "a"));
  BOOST_TEST(refused.mStatus == 503, refused.mBody.dump());
  BOOST_TEST(refused.mBody["silent_zones"] == json::array({ "z2" }));
  BOOST_TEST(fixture.mShared.Value("config/head").empty());
  json overridden = PoolChange(0, "a");
  overridden["override_reason"] = "z2 burns";
  const auto accepted =
    fixture.Call(0, "POST", "/admin/v1/changes", overridden);
  BOOST_TEST(accepted.mStatus == 200, accepted.mBody.dump());
  BOOST_TEST(fixture.mShared.Value("config/change/00000000000000000001")
               .find("z2 burns") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ViewsStayFreshInAnOutageOnlyWhileAllAgree)
{
  ControlFixture fixture(3);
  BOOST_REQUIRE(fixture.UntilFresh());
  // Until no commit of an earlier instance can be on its way any more.
  fixture.Pause(500ms);
  for (ControlNode& it : fixture.mNodes) {
    it.mPlatform->mCut = true;
  }
  fixture.Pause(3s);
  for (std::size_t n = 0; n < 3; ++n) {
    BOOST_TEST(fixture.View(n).value("fresh", false));
  }
  const auto refused =
    fixture.Call(0, "POST", "/admin/v1/changes", PoolChange(0, "a"));
  BOOST_TEST(refused.mStatus == 503);
  // One VM falls silent: the others can't know what it accepted.
  fixture.mNodes[2].mProcess.reset();
  fixture.Pause(3s);
  BOOST_TEST(!fixture.View(0).value("fresh", true));
  BOOST_TEST(!fixture.View(1).value("fresh", true));
  BOOST_TEST(fixture.Call(0, "GET", "/readyz").mStatus == 503);
  for (ControlNode& it : fixture.mNodes) {
    it.mPlatform->mCut = false;
  }
  BOOST_TEST(fixture.UntilFresh());
}

BOOST_AUTO_TEST_CASE(CutOffVmStaysFreshByItsPeers)
{
  ControlFixture fixture(3);
  BOOST_REQUIRE(fixture.UntilFresh());
  fixture.mNodes[1].mPlatform->mCut = true;
  fixture.Pause(2500ms);
  BOOST_TEST(fixture.View(1).value("fresh", false));
  const auto made =
    fixture.Call(0, "POST", "/admin/v1/changes", PoolChange(0, "a"));
  BOOST_TEST(made.mStatus == 200, made.mBody.dump());
  BOOST_TEST(fixture.UntilVersion(1));
}

BOOST_AUTO_TEST_CASE(LostAnswerSuspendsWithdrawnKeysEverywhere)
{
  ControlFixture fixture(3);
  BOOST_REQUIRE(fixture.UntilFresh());
  fixture.Call(0, "POST", "/admin/v1/changes", ExampleChange(0));
  BOOST_REQUIRE(fixture.UntilVersion(1));
  // The head is read, the commit's answer is lost, and then nothing answers.
  std::optional<int> status;
  HttpCall call;
  call.mMethod = "DELETE";
  call.mUrl = "http://127.0.0.1:" +
              std::to_string(fixture.mNodes[0].mProcess->AdminPort()) +
              "/admin/v1/keys/k1";
  call.mHeaders["authorization"] = "Bearer operator-key";
  fixture.mShared.mLoseCommitsOf = "config/";
  fixture.mHttp->Fetch(call,
                       [&](const HttpCallOutcome& aOutcome,
                           const std::string&) { status = aOutcome.mStatus; });
  const bool suspended = fixture.UntilAll([](const json& aView) {
    return aView["suspended_keys"] == json::array({ "k1" });
  });
  BOOST_TEST(suspended);
  test::RunUntil(*fixture.mReactor, [&] { return status.has_value(); });
  BOOST_TEST(status.value_or(0) == 503);
  fixture.mShared.mLoseCommitsOf.clear();
  const bool settled = fixture.UntilAll([](const json& aView) {
    return aView["suspended_keys"].empty() && !aView.value("in_doubt", true);
  });
  BOOST_TEST(settled);
}

BOOST_AUTO_TEST_CASE(SharePlanNamesTheEntriesThatFollow)
{
  ControlFixture fixture(1);
  fixture.mNodes[0].mSettings.mPlan.mMinGap = 10ms;
  BOOST_REQUIRE(fixture.UntilFresh());
  PeerClientSettings settings;
  settings.mCredentials = fixture.mNodes[0].mSettings.mPeerCredentials;
  const auto peers = PeerClient::Create(*fixture.mReactor, settings, nullptr);
  BOOST_REQUIRE(peers != nullptr);
  bool planned = false;
  for (int n = 0; n < 200 && !planned; ++n) {
    peer::FollowRequest request;
    request.set_vm("vm0");
    request.set_entry_instance("entry-1");
    request.set_entry_address("127.0.0.1:1");
    request.set_entry_peer("127.0.0.1:2");
    std::optional<peer::ViewUpdate> update;
    peers->Follow(fixture.mNodes[0].mSettings.mPeerListen,
                  request,
                  1s,
                  [&](std::optional<peer::ViewUpdate> aUpdate, const Reason&) {
                    update = aUpdate.value_or(peer::ViewUpdate());
                  });
    test::RunUntil(*fixture.mReactor, [&] { return update.has_value(); });
    planned = update && update->plans_size() == 1 &&
              update->plans(0).entries_size() == 1 &&
              update->plans(0).entries(0) == "entry-1";
    fixture.Pause(20ms);
  }
  BOOST_TEST(planned);
}
