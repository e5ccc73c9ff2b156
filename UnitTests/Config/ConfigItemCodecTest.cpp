/// Tests that items that violate the schema are rejected with the path of the
/// field, and that accepted items are unchanged after writing and reading.
#define BOOST_TEST_MODULE ConfigItemCodec
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/ConfigText.h>
#include <Peridothoist/Config/ConfigItemCodec.h>

#include <Config/ExampleConfiguration.h>

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;
using nlohmann::json;

namespace {

/// An item that must be rejected, and the expected start of the error.
struct InvalidItem
{
  ItemKind mKind;
  const char* mName;
  const char* mJson;
  const char* mExpectedError;
};

const std::vector<InvalidItem> kInvalidItems = {
  { ItemKind::Workspace,
    "a",
    R"({"rate_tokens_per_second":1,"burst_tokens":1,"colour":"red"})",
    "workspace/a.colour: unknown field" },
  { ItemKind::Workspace,
    "a",
    R"({"rate_tokens_per_second":"1/s","burst_tokens":1})",
    "workspace/a.rate_tokens_per_second: must be a number" },
  { ItemKind::Workspace,
    "a",
    R"({"rate_tokens_per_second":-1,"burst_tokens":1})",
    "workspace/a.rate_tokens_per_second: must be a number from 0" },
  { ItemKind::Workspace,
    "a",
    R"({"rate_tokens_per_second":1})",
    "workspace/a.burst_tokens: is missing" },
  { ItemKind::Workspace, "a b", "{}", "workspace: a name is" },
  { ItemKind::Workspace, "a", "[]", "workspace/a: must be a JSON object" },
  { ItemKind::Workspace, "a", "{", "workspace/a: must be a JSON object" },
  { ItemKind::Workspace,
    "a",
    R"({"schema":2,"rate_tokens_per_second":1,"burst_tokens":1})",
    "workspace/a.schema: must be 1" },
  { ItemKind::Pool,
    "x",
    R"({"role":"encode"})",
    "pool/x.role: must be one of \"prefill\" \"decode\" \"plain\"" },
  { ItemKind::Pool,
    "x",
    R"({"role":"decode"})",
    "pool/x.model: is missing, the role is decode" },
  { ItemKind::Upstream,
    "u",
    R"({"pool":"x","zone":"z","address":"localhost:80"})",
    "upstream/u.address: must be an address \"ip:port\"" },
  { ItemKind::Upstream,
    "u",
    R"({"pool":"x","zone":"z","address":"1.2.3.4:0"})",
    "upstream/u.address: must be an address" },
  { ItemKind::Upstream,
    "u",
    R"({"pool":"x","zone":"z","address":"1.2.3.4:5","memory_pieces":1.5})",
    "upstream/u.memory_pieces: must be a whole number" },
  { ItemKind::Route,
    "r",
    R"({"path":"/x","prefill_pool":"p"})",
    "route/r.decode_pool: is missing" },
  { ItemKind::Route,
    "r",
    R"({"path":"/x","decode_pool":"p"})",
    "route/r.prefill_pool: is missing" },
  { ItemKind::Route,
    "r",
    R"({"path":"/x","plain_pool":"p","deadline":5})",
    "route/r.deadline: must be a duration with a unit" },
  { ItemKind::Route,
    "r",
    R"({"path":"/x","plain_pool":"p","deadline":"5"})",
    "route/r.deadline: must be a duration with a unit" },
  { ItemKind::Route,
    "r",
    R"({"path":"/x","plain_pool":"p","idempotent":false})",
    "route/r.class: \"non_idempotent\" is required if" },
  { ItemKind::Route,
    "r",
    R"({"path":"/x","plain_pool":"p","idempotent":false,
        "class":"non_idempotent","open_to_all":true})",
    "route/r.open_to_all:" },
  { ItemKind::Default,
    "hedge_dealy",
    R"({"value":"5ms"})",
    "default/hedge_dealy: no default is named" },
  { ItemKind::Default,
    "retry_budget",
    R"({"value":0.9})",
    "default/retry_budget.value: must be a number from 0 to 0.5" },
  { ItemKind::Default,
    "retry_budget",
    R"({"value":[[0.1]]})",
    "default/retry_budget.value: must be a single value" },
  { ItemKind::Exception,
    "e",
    R"({"workspace":"a","field":"hedge_lookups","value":false})",
    "exception/e.reason: is missing" },
  { ItemKind::Exception,
    "e",
    R"({"workspace":"a","field":"hedge_lookups","value":false,"reason":"  "})",
    "exception/e.reason: must not be blank" },
  { ItemKind::Key,
    "k.1",
    R"({"workspace":"a","salt":"00","digest":"00"})",
    "key/k.1.digest: must be 64 hex digits" },
};

/// Removes, replaces, renames or adds one field of a JSON object.
json
Mutate(json aJson)
{
  const auto replacement = *rc::gen::element<json>(json(nullptr),
                                                   json(-1),
                                                   json(1e300),
                                                   json("x"),
                                                   json(""),
                                                   json(true),
                                                   json::array({ "a", 1 }),
                                                   json({ { "a", 1 } }),
                                                   json("7d"),
                                                   json(std::string(300, 'n')));
  std::vector<std::string> names;
  for (const auto& entry : aJson.items()) {
    names.push_back(entry.key());
  }
  const auto name = *rc::gen::elementOf(names);
  switch (*rc::gen::inRange(0, 4)) {
    case 0:
      aJson.erase(name);
      break;
    case 1:
      aJson[name] = replacement;
      break;
    case 2:
      aJson[name + "s"] = aJson[name];
      aJson.erase(name);
      break;
    default:
      aJson[*rc::gen::container<std::string>(rc::gen::inRange('a', 'z'))] =
        replacement;
  }
  return aJson;
}

/// Truncates a text, repeats a prefix of it or overwrites one byte.
std::string
MutateText(std::string aText)
{
  const auto at = *rc::gen::inRange<std::size_t>(0, aText.size());
  switch (*rc::gen::inRange(0, 3)) {
    case 0:
      return aText.substr(0, at);
    case 1:
      return aText.substr(0, at) + aText;
    default:
      aText[at] = *rc::gen::arbitrary<char>();
      return aText;
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(ErrorsStartWithThePathOfTheField)
{
  for (const InvalidItem& it : kInvalidItems) {
    Reason reason;
    const auto item =
      ConfigItemCodec::ReadItem(it.mKind, it.mName, it.mJson, &reason);
    BOOST_TEST(!item.has_value(), it.mJson);
    BOOST_TEST((reason.mCode == ReasonCode::Invalid));
    BOOST_TEST(reason.mText.rfind(it.mExpectedError, 0) == 0,
               reason.mText << " should start with " << it.mExpectedError);
  }
}

BOOST_AUTO_TEST_CASE(ItemsOfEachKindRoundTrip)
{
  for (const ItemEdit& it : ExampleItems()) {
    Reason reason;
    const auto item =
      ConfigItemCodec::ReadItem(it.mKind, it.mName, it.mJson, &reason);
    BOOST_REQUIRE_MESSAGE(item.has_value(), reason.mText);
    const std::string writtenText = ConfigItemCodec::WriteItem(*item);
    const auto again =
      ConfigItemCodec::ReadItem(it.mKind, it.mName, writtenText, &reason);
    BOOST_REQUIRE_MESSAGE(again.has_value(), reason.mText);
    BOOST_TEST(ConfigItemCodec::WriteItem(*again) == writtenText);
    // Every given field is written, unless it has the built-in value.
    const json original = json::parse(it.mJson);
    for (const auto& entry : original.items()) {
      const json writtenValue =
        json::parse(writtenText).value(entry.key(), json());
      BOOST_TEST((writtenValue == entry.value() || writtenValue.is_null()),
                 writtenText);
    }
  }
}

BOOST_AUTO_TEST_CASE(DeeplyNestedJsonIsRejected)
{
  const std::string nested =
    R"({"value":)" + std::string(30000, '[') + std::string(30000, ']') + "}";
  BOOST_TEST(!ConfigItemCodec::ReadItem(
                ItemKind::Default, "retry_budget", nested, nullptr)
                .has_value());
}

RC_BOOST_PROP(MutatedItemsAreRejectedOrRoundTrip, ())
{
  const ItemEdit seed = *rc::gen::elementOf(ExampleItems());
  const json mutated = Mutate(json::parse(seed.mJson));
  Reason reason;
  const auto item =
    ConfigItemCodec::ReadItem(seed.mKind, seed.mName, mutated.dump(), &reason);
  if (!item) {
    RC_ASSERT(reason.mCode == ReasonCode::Invalid);
    RC_ASSERT(!reason.mText.empty());
    return;
  }
  const std::string written = ConfigItemCodec::WriteItem(*item);
  const auto again =
    ConfigItemCodec::ReadItem(seed.mKind, seed.mName, written, &reason);
  RC_ASSERT(again.has_value());
  RC_ASSERT(ConfigItemCodec::WriteItem(*again) == written);
  // Fields that are not in the schema are always rejected, whatever their
  // value.
  const json unmodified = json::parse(seed.mJson);
  for (const auto& entry : mutated.items()) {
    json extended = unmodified;
    extended["unknown_" + entry.key()] = entry.value();
    RC_ASSERT(!ConfigItemCodec::ReadItem(
                 seed.mKind, seed.mName, extended.dump(), nullptr)
                 .has_value());
  }
}

RC_BOOST_PROP(MutatedTextIsRejectedOrRoundTrips, ())
{
  const ItemEdit seed = *rc::gen::elementOf(ExampleItems());
  const std::string text = MutateText(seed.mJson);
  const auto item =
    ConfigItemCodec::ReadItem(seed.mKind, seed.mName, text, nullptr);
  if (item) {
    const std::string written = ConfigItemCodec::WriteItem(*item);
    RC_ASSERT(
      ConfigItemCodec::ReadItem(seed.mKind, seed.mName, written, nullptr)
        .has_value());
  }
}

RC_BOOST_PROP(DurationsRoundTrip, ())
{
  const Duration duration(
    *rc::gen::inRange<std::int64_t>(0, 86'400'000'000LL * 30));
  const auto parsed = ParseDuration(FormatDuration(duration));
  RC_ASSERT(parsed.has_value());
  RC_ASSERT(*parsed == duration);
}
