/// Several control processes together: changes reach all of them, conflicts and
/// unknown results are reported as such, and views stay fresh during a platform
/// outage only while no change can have been missed.
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

BOOST_AUTO_TEST_CASE(ChangeReachesAllVmsAndStaleChangeGetsConflict)
{
  ControlFixture fixture(3);
  BOOST_REQUIRE(fixture.WaitUntilFresh());
  const auto first =
    fixture.CallAdmin(0, "POST", "/admin/v1/changes", ExampleChange(0));
  BOOST_TEST(first.mStatus == 200, first.mBody.dump());
  BOOST_TEST(fixture.WaitUntilVersion(1));
  bool inForce = false;
  for (int n = 0; n < 200 && !inForce; ++n) {
    fixture.RunFor(10ms);
    inForce = fixture.CallAdmin(0, "GET", "/admin/v1/changes/1/in_force")
                .mBody.value("in_force", false);
  }
  BOOST_TEST(inForce);

  const auto conflict =
    fixture.CallAdmin(1, "POST", "/admin/v1/changes", PoolChange(0, "late"));
  BOOST_TEST(conflict.mStatus == 409);
  BOOST_TEST(conflict.mBody["changed"].size() == ExampleItems().size());
  BOOST_TEST(conflict.mBody.dump().find("aaaaaaaa") == std::string::npos);

  const auto invalid = fixture.CallAdmin(
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

BOOST_AUTO_TEST_CASE(RequestsWithoutOperatorKeyAreRejected)
{
  ControlFixture fixture(1);
  const auto unauthenticated =
    fixture.CallAdmin(0, "GET", "/admin/v1/config", nullptr, "other");
  BOOST_TEST(unauthenticated.mStatus == 401);
  const auto unknownPath = fixture.CallAdmin(0, "GET", "/admin/v1/nothing");
  BOOST_TEST(unknownPath.mStatus == 404);
  const auto health = fixture.CallAdmin(0, "GET", "/healthz", nullptr, "other");
  BOOST_TEST(health.mStatus == 200);
}

BOOST_AUTO_TEST_CASE(KeySecretIsShownOnceAndKeyCanBeDeleted)
{
  ControlFixture fixture(2);
  BOOST_REQUIRE(fixture.WaitUntilFresh());
  fixture.CallAdmin(0, "POST", "/admin/v1/changes", ExampleChange(0));
  const auto created = fixture.CallAdmin(
    0, "POST", "/admin/v1/keys", { { "workspace", "ensenada" } });
  BOOST_REQUIRE(created.mStatus == 200);
  const std::string key = created.mBody.value("key", "");
  const std::string name = created.mBody.value("name", "");
  BOOST_TEST(key.rfind(name + ".", 0) == 0u);
  const std::string secret = key.substr(name.size() + 1);
  const std::string config =
    fixture.CallAdmin(0, "GET", "/admin/v1/config").mBody.dump();
  BOOST_TEST(config.find(name) != std::string::npos);
  BOOST_TEST(config.find(secret) == std::string::npos);
  BOOST_TEST(fixture.mSharedPlatform.Value("config/change/00000000000000000002")
               .find(secret) == std::string::npos);
  // Deleted through another process, regardless of the version that it holds.
  const auto deleted = fixture.CallAdmin(1, "DELETE", "/admin/v1/keys/" + name);
  BOOST_TEST(deleted.mStatus == 200, deleted.mBody.dump());
  BOOST_TEST(fixture.CallAdmin(1, "DELETE", "/admin/v1/keys/" + name).mStatus ==
             404);
}

BOOST_AUTO_TEST_CASE(ChangeIsRefusedWhileZoneDoesNotRespond)
{
  ControlFixture fixture(3);
  fixture.mNodes[2].mSettings.mExchange.mTimeout = 50ms;
  BOOST_REQUIRE(fixture.WaitUntilFresh());
  fixture.mNodes[2].mProcess.reset();
  fixture.RunFor(2200ms);
  const auto refused =
    fixture.CallAdmin(0, "POST", "/admin/v1/changes", PoolChange(0, "a"));
  BOOST_TEST(refused.mStatus == 503, refused.mBody.dump());
  BOOST_TEST(refused.mBody["silent_zones"] == json::array({ "z2" }));
  BOOST_TEST(fixture.mSharedPlatform.Value("config/head").empty());
  json overridden = PoolChange(0, "a");
  overridden["override_reason"] = "z2 burns";
  const auto accepted =
    fixture.CallAdmin(0, "POST", "/admin/v1/changes", overridden);
  BOOST_TEST(accepted.mStatus == 200, accepted.mBody.dump());
  BOOST_TEST(fixture.mSharedPlatform.Value("config/change/00000000000000000001")
               .find("z2 burns") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ViewsStayFreshInOutageOnlyWhileAllVmsAgree)
{
  ControlFixture fixture(3);
  BOOST_REQUIRE(fixture.WaitUntilFresh());
  // Waits until no commit of an earlier instance can still be in transit.
  fixture.RunFor(500ms);
  for (ControlNode& it : fixture.mNodes) {
    it.mPlatform->mIsDisconnected = true;
  }
  fixture.RunFor(3s);
  for (std::size_t n = 0; n < 3; ++n) {
    BOOST_TEST(fixture.ViewStatus(n).value("fresh", false));
  }
  const auto refused =
    fixture.CallAdmin(0, "POST", "/admin/v1/changes", PoolChange(0, "a"));
  BOOST_TEST(refused.mStatus == 503);
  // One VM stops: the others cannot know which changes it has accepted.
  fixture.mNodes[2].mProcess.reset();
  fixture.RunFor(3s);
  BOOST_TEST(!fixture.ViewStatus(0).value("fresh", true));
  BOOST_TEST(!fixture.ViewStatus(1).value("fresh", true));
  BOOST_TEST(fixture.CallAdmin(0, "GET", "/readyz").mStatus == 503);
  for (ControlNode& it : fixture.mNodes) {
    it.mPlatform->mIsDisconnected = false;
  }
  BOOST_TEST(fixture.WaitUntilFresh());
}

BOOST_AUTO_TEST_CASE(VmWithoutPlatformStaysFreshThroughPeers)
{
  ControlFixture fixture(3);
  BOOST_REQUIRE(fixture.WaitUntilFresh());
  fixture.mNodes[1].mPlatform->mIsDisconnected = true;
  fixture.RunFor(2500ms);
  BOOST_TEST(fixture.ViewStatus(1).value("fresh", false));
  const auto created =
    fixture.CallAdmin(0, "POST", "/admin/v1/changes", PoolChange(0, "a"));
  BOOST_TEST(created.mStatus == 200, created.mBody.dump());
  BOOST_TEST(fixture.WaitUntilVersion(1));
}

BOOST_AUTO_TEST_CASE(UnknownCommitResultSuspendsDeletedKeysOnAllVms)
{
  ControlFixture fixture(3);
  BOOST_REQUIRE(fixture.WaitUntilFresh());
  fixture.CallAdmin(0, "POST", "/admin/v1/changes", ExampleChange(0));
  BOOST_REQUIRE(fixture.WaitUntilVersion(1));
  // The head is read and the commit is lost in transit, as are all further
  // writes of configuration rows.
  std::optional<int> status;
  HttpCall call;
  call.mMethod = "DELETE";
  call.mUrl = "http://127.0.0.1:" +
              std::to_string(fixture.mNodes[0].mProcess->AdminPort()) +
              "/admin/v1/keys/k1";
  call.mHeaders["authorization"] = "Bearer operator-key";
  fixture.mSharedPlatform.mLostWritePrefix = "config/";
  fixture.mHttp->Fetch(call,
                       [&](const HttpCallResult& aResult, const std::string&) {
                         status = aResult.mStatus;
                       });
  const bool suspended = fixture.WaitUntilAll([](const json& aView) {
    return aView["suspended_keys"] == json::array({ "k1" });
  });
  BOOST_TEST(suspended);
  test::RunUntil(*fixture.mReactor, [&] { return status.has_value(); });
  BOOST_TEST(status.value_or(0) == 503);
  fixture.mSharedPlatform.mLostWritePrefix.clear();
  const bool settled = fixture.WaitUntilAll([](const json& aView) {
    return aView["suspended_keys"].empty() && !aView.value("in_doubt", true);
  });
  BOOST_TEST(settled);
}

BOOST_AUTO_TEST_CASE(SharePlanListsConnectedEntries)
{
  ControlFixture fixture(1);
  fixture.mNodes[0].mSettings.mPlan.mMinEpochInterval = 10ms;
  BOOST_REQUIRE(fixture.WaitUntilFresh());
  PeerClientSettings settings;
  settings.mCredentials = fixture.mNodes[0].mSettings.mPeerCredentials;
  const auto peers = PeerClient::Create(*fixture.mReactor, settings, nullptr);
  BOOST_REQUIRE(peers != nullptr);
  bool isListed = false;
  for (int n = 0; n < 200 && !isListed; ++n) {
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
    isListed = update && update->plans_size() == 1 &&
               update->plans(0).entries_size() == 1 &&
               update->plans(0).entries(0) == "entry-1";
    fixture.RunFor(20ms);
  }
  BOOST_TEST(isListed);
}
