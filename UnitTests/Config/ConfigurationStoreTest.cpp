/// Changes are applied whole or not at all, in order of version, and never
/// leave a contradiction.
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
Example()
{
  Reason reason;
  auto store = ConfigurationStore::FromItems(7, ExampleItems(), &reason);
  BOOST_REQUIRE_MESSAGE(store.has_value(), reason.mText);
  return std::move(*store);
}

std::string
Text(const Configuration& aConfiguration)
{
  return EncodeSnapshot(aConfiguration);
}

/// An edit that contradicts the example, and the reason's beginning.
struct Contradiction
{
  ItemEdit mEdit;
  const char* mText;
};

const std::vector<Contradiction> kContradictions = {
  { { ItemKind::Route,
      "chat",
      R"({"path":"/c","prefill_pool":"dec","decode_pool":"dec"})" },
    "route/chat.prefill_pool: pool \"dec\" has role decode, not prefill" },
  { { ItemKind::Route, "new", R"({"path":"/x","plain_pool":"none"})" },
    "route/new.plain_pool: no pool \"none\"" },
  { { ItemKind::Route,
      "new",
      R"({"path":"/metrics","plain_pool":"registry"})" },
    "route/new.path: is answered by entries themselves" },
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

/// Any edit that an operator could send: of the example's items, the
/// contradictions, or removals.
ItemEdit
ArbitraryEdit()
{
  std::vector<ItemEdit> edits = ExampleItems();
  for (const Contradiction& it : kContradictions) {
    edits.push_back(it.mEdit);
  }
  ItemEdit edit = *rc::gen::elementOf(edits);
  if (*rc::gen::inRange(0, 3) == 0) {
    edit.mJson.clear();
  }
  return edit;
}

} // namespace

BOOST_AUTO_TEST_CASE(ContradictionsAreRefusedAndLeaveNoTrace)
{
  ConfigurationStore store = Example();
  const std::string before = Text(store.Get());
  for (const Contradiction& it : kContradictions) {
    Reason reason;
    BOOST_TEST(!store.Apply({ 8, "op", { it.mEdit } }, &reason));
    BOOST_TEST(reason.mText.rfind(it.mText, 0) == 0,
               reason.mText << " should start with " << it.mText);
    BOOST_TEST(Text(store.Get()) == before);
  }
}

BOOST_AUTO_TEST_CASE(EditsOfOneChangeMayNeedEachOther)
{
  ConfigurationStore store = Example();
  Reason reason;
  const ConfigChange change{ 8,
                             "op",
                             { { ItemKind::Exception, "slow-month-end", "" },
                               { ItemKind::Workspace, "ensenada", "" },
                               { ItemKind::Key, "k1", "" } } };
  BOOST_TEST(store.Apply(change, &reason), reason.mText);
  BOOST_TEST(store.Get().mWorkspaces.empty());
}

BOOST_AUTO_TEST_CASE(OnlyTheNextVersionIsApplied)
{
  ConfigurationStore store = Example();
  for (std::uint64_t version : { 6, 7, 9 }) {
    Reason reason;
    BOOST_TEST(!store.Apply({ version, "op", {} }, &reason));
    BOOST_TEST((reason.mCode == ReasonCode::Conflict));
  }
  BOOST_TEST(store.Apply({ 8, "op", {} }, nullptr));
  BOOST_TEST(store.Get().mVersion == 8u);
}

BOOST_AUTO_TEST_CASE(ExceptionsReplaceDefaultsForTheirWorkspaceOnly)
{
  const ConfigurationStore store = Example();
  BOOST_TEST((EffectiveDefaults(store.Get(), "ensenada").mHedgeDelay == 200ms));
  BOOST_TEST((EffectiveDefaults(store.Get(), "other").mHedgeDelay == 75ms));
  BOOST_TEST((store.Get().mDefaults.mRetryBudget == 0.2));
}

BOOST_AUTO_TEST_CASE(DiffTellsFieldsAndHidesDigests)
{
  const ConfigurationStore store = Example();
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
  const auto diff = ConfigurationDiff::OfEdits(store.Get(), edits);
  BOOST_TEST(diff.ToText() ==
             "~ workspace/ensenada.rate_tokens_per_second: 500.5 -> 600.0\n"
             "- key/k1\n"
             "+ key/k2 {\"workspace\":\"ensenada\"}\n");
  BOOST_TEST(diff.ToJson().dump().find("cccc") == std::string::npos);
}

RC_BOOST_PROP(AppliedWholeOrNotAtAll, ())
{
  ConfigurationStore store = Example();
  for (int step = 0; step < 5; ++step) {
    ConfigChange change{ store.Get().mVersion + 1, "op", {} };
    const int count = *rc::gen::inRange(1, 4);
    for (int n = 0; n < count; ++n) {
      change.mEdits.push_back(ArbitraryEdit());
    }
    const std::string before = Text(store.Get());
    const bool allowed = store.Check(change.mEdits, nullptr);
    RC_ASSERT(Text(store.Get()) == before);
    const bool applied = store.Apply(change, nullptr);
    RC_ASSERT(applied == allowed);
    if (!applied) {
      RC_ASSERT(Text(store.Get()) == before);
    }
    // Read from scratch, what stands now is without contradictions too.
    Reason reason;
    const auto decoded = DecodeSnapshot(Text(store.Get()), &reason);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(Text(*decoded) == Text(store.Get()));
  }
}

RC_BOOST_PROP(DiffLeadsFromBeforeToAfter, ())
{
  ConfigurationStore store = Example();
  ConfigurationStore after = Example();
  for (int step = 0; step < 4; ++step) {
    after.Apply({ after.Get().mVersion + 1, "op", { ArbitraryEdit() } },
                nullptr);
  }
  const auto diff = ConfigurationDiff::Between(store.Get(), after.Get());
  RC_ASSERT(store.Apply({ 8, "op", diff.Edits() }, nullptr));
  Configuration reached = store.Get();
  reached.mVersion = after.Get().mVersion;
  RC_ASSERT(Text(reached) == Text(after.Get()));
}

RC_BOOST_PROP(ChangesRoundTripAndBrokenOnesAreRefused, ())
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
