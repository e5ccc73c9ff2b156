/// Tests that changes are applied completely or not at all and in the order of
/// their versions, and that the configuration always stays consistent.
#define BOOST_TEST_MODULE ConfigurationStore
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/ConfigCodec.h>
#include <Peridothoist/Config/ConfigurationDiff.h>
#include <Peridothoist/Config/ConfigurationStore.h>

#include <Config/ExampleConfiguration.h>

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;

namespace {

ConfigurationStore
ExampleStore()
{
  Reason reason;
  auto store = ConfigurationStore::FromItems(7, ExampleItems(), &reason);
  BOOST_REQUIRE_MESSAGE(store.has_value(), reason.mText);
  return std::move(*store);
}

std::string
SnapshotText(const Configuration& aConfiguration)
{
  return EncodeSnapshot(aConfiguration);
}

/// An edit that is inconsistent with the example, and the expected start of
/// the error.
struct InvalidEdit
{
  ItemEdit mEdit;
  const char* mExpectedError;
};

const std::vector<InvalidEdit> kInvalidEdits = {
  { { ItemKind::Route,
      "chat",
      R"({"path":"/c","prefill_pool":"dec","decode_pool":"dec"})" },
    "route/chat.prefill_pool: pool \"dec\" has role decode, not prefill" },
  { { ItemKind::Route, "new", R"({"path":"/x","plain_pool":"none"})" },
    "route/new.plain_pool: no pool \"none\"" },
  { { ItemKind::Route,
      "new",
      R"({"path":"/metrics","plain_pool":"registry"})" },
    "route/new.path: is reserved for entries" },
  { { ItemKind::Route,
      "copy",
      R"({"path":"/v1/chat/completions","plain_pool":"registry"})" },
    "route/copy.path: is the same as that of route/chat" },
  { { ItemKind::Key,
      "k2",
      R"({"workspace":"nobody","salt":"00","digest":"aaaaaaaaaaaaaaaaaaaaaaaa)"
      R"(aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"})" },
    "key/k2.workspace: no workspace \"nobody\"" },
  { { ItemKind::Pool, "pre", "" }, "upstream/p1.pool: no pool \"pre\"" },
  { { ItemKind::Pool, "dec", R"({"role":"prefill","model":"m"})" },
    "upstream/d1.memory_pieces: must be above 0 in a decode pool" },
  { { ItemKind::Pool, "dec", R"({"role":"decode","model":"other"})" },
    "route/chat.decode_pool: serves model \"other\"" },
  { { ItemKind::Workspace, "ensenada", "" },
    "key/k1.workspace: no workspace \"ensenada\"" },
  { { ItemKind::Workspace,
      "w",
      R"({"rate_tokens_per_second":1,"burst_tokens":1,"pools":["none"]})" },
    "workspace/w.pools: no pool \"none\"" },
  { { ItemKind::Upstream,
      "p2",
      R"({"pool":"pre","address":"127.0.0.1:7001","zone":"uno"})" },
    "upstream/p2.address: is the same as that of upstream/p1" },
  { { ItemKind::Exception,
      "second",
      R"({"workspace":"ensenada","field":"hedge_delay","value":"1ms",
          "reason":"r"})" },
    "exception/second.field: is the same as that of exception/slow-month-end" },
  { { ItemKind::Key, "absent", "" }, "key/absent: does not exist" },
};

/// Generates an edit: one of the example's items or of kInvalidEdits, or the
/// removal of such an item.
ItemEdit
ArbitraryEdit()
{
  std::vector<ItemEdit> edits = ExampleItems();
  for (const InvalidEdit& it : kInvalidEdits) {
    edits.push_back(it.mEdit);
  }
  ItemEdit edit = *rc::gen::elementOf(edits);
  if (*rc::gen::inRange(0, 3) == 0) {
    edit.mJson.clear();
  }
  return edit;
}

} // namespace

BOOST_AUTO_TEST_CASE(InvalidEditsAreRejectedWithoutAnyEffect)
{
  ConfigurationStore store = ExampleStore();
  const std::string before = SnapshotText(store.Get());
  for (const InvalidEdit& it : kInvalidEdits) {
    Reason reason;
    BOOST_TEST(!store.Apply({ 8, "op", { it.mEdit } }, &reason));
    BOOST_TEST(reason.mText.rfind(it.mExpectedError, 0) == 0,
               reason.mText << " should start with " << it.mExpectedError);
    BOOST_TEST(SnapshotText(store.Get()) == before);
  }
}

BOOST_AUTO_TEST_CASE(EditsOfOneChangeMayDependOnEachOther)
{
  ConfigurationStore store = ExampleStore();
  Reason reason;
  const ConfigChange change{ 8,
                             "op",
                             { { ItemKind::Exception, "slow-month-end", "" },
                               { ItemKind::Workspace, "ensenada", "" },
                               { ItemKind::Key, "k1", "" } } };
  BOOST_TEST(store.Apply(change, &reason), reason.mText);
  BOOST_TEST(store.Get().mWorkspaces.empty());
}

BOOST_AUTO_TEST_CASE(ChangesOfOtherVersionsAreRejected)
{
  ConfigurationStore store = ExampleStore();
  for (std::uint64_t version : { 6, 7, 9 }) {
    Reason reason;
    BOOST_TEST(!store.Apply({ version, "op", {} }, &reason));
    BOOST_TEST((reason.mCode == ReasonCode::Conflict));
  }
  BOOST_TEST(store.Apply({ 8, "op", {} }, nullptr));
  BOOST_TEST(store.Get().mVersion == 8u);
}

BOOST_AUTO_TEST_CASE(ExceptionsApplyToTheirWorkspaceOnly)
{
  const ConfigurationStore store = ExampleStore();
  BOOST_TEST((EffectiveDefaults(store.Get(), "ensenada").mHedgeDelay == 200ms));
  BOOST_TEST((EffectiveDefaults(store.Get(), "other").mHedgeDelay == 75ms));
  BOOST_TEST((store.Get().mDefaults.mRetryBudget == 0.2));
}

BOOST_AUTO_TEST_CASE(DiffListsChangedFieldsWithoutDigests)
{
  const ConfigurationStore store = ExampleStore();
  const std::vector<ItemEdit> edits = {
    { ItemKind::Workspace,
      "ensenada",
      R"({"rate_tokens_per_second":600,"burst_tokens":2000,
          "pools":["pre","dec","registry"]})" },
    { ItemKind::Key, "k1", "" },
    { ItemKind::Key,
      "k2",
      R"({"workspace":"ensenada","salt":"ab","digest":")" +
        std::string(64, 'c') + "\"}" },
    { ItemKind::Pool, "registry", R"({"role":"plain"})" },
  };
  const auto diff = ConfigurationDiff::FromEdits(store.Get(), edits);
  BOOST_TEST(diff.ToText() ==
             "~ workspace/ensenada.rate_tokens_per_second: 500.5 -> 600.0\n"
             "- key/k1\n"
             "+ key/k2 {\"workspace\":\"ensenada\"}\n");
  BOOST_TEST(diff.ToJson().dump().find("cccc") == std::string::npos);
}

RC_BOOST_PROP(ChangesAreAppliedAtomically, ())
{
  ConfigurationStore store = ExampleStore();
  for (int step = 0; step < 5; ++step) {
    ConfigChange change{ store.Get().mVersion + 1, "op", {} };
    const int count = *rc::gen::inRange(1, 4);
    for (int n = 0; n < count; ++n) {
      change.mEdits.push_back(ArbitraryEdit());
    }
    const std::string before = SnapshotText(store.Get());
    const bool isAllowed = store.Check(change.mEdits, nullptr);
    RC_ASSERT(SnapshotText(store.Get()) == before);
    const bool applied = store.Apply(change, nullptr);
    RC_ASSERT(applied == isAllowed);
    if (!applied) {
      RC_ASSERT(SnapshotText(store.Get()) == before);
    }
    // Decoding the whole configuration from its snapshot must succeed too.
    Reason reason;
    const auto decoded = DecodeSnapshot(SnapshotText(store.Get()), &reason);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(SnapshotText(*decoded) == SnapshotText(store.Get()));
  }
}

RC_BOOST_PROP(DiffEditsLeadFromBeforeToAfter, ())
{
  ConfigurationStore store = ExampleStore();
  ConfigurationStore after = ExampleStore();
  for (int step = 0; step < 4; ++step) {
    after.Apply({ after.Get().mVersion + 1, "op", { ArbitraryEdit() } },
                nullptr);
  }
  const auto diff = ConfigurationDiff::Between(store.Get(), after.Get());
  RC_ASSERT(store.Apply({ 8, "op", diff.Edits() }, nullptr));
  Configuration result = store.Get();
  result.mVersion = after.Get().mVersion;
  RC_ASSERT(SnapshotText(result) == SnapshotText(after.Get()));
}

RC_BOOST_PROP(ChangesRoundTripAndInvalidOnesAreRejected, ())
{
  ChangeRecord record{ { 9, "op-1", { ArbitraryEdit(), ArbitraryEdit() } },
                       "maria" };
  const std::string text = EncodeChange(record);
  const auto decoded = DecodeChange(text, nullptr);
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(EncodeChange(*decoded) == text);
  const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
  RC_ASSERT(!DecodeChange(text.substr(0, at), nullptr).has_value());
  nlohmann::json extra = nlohmann::json::parse(text);
  extra["extra"] = 1;
  RC_ASSERT(!DecodeChange(extra.dump(), nullptr).has_value());
}
