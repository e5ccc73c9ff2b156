/// Tests that valid completion requests are parsed completely, that the error
/// for an invalid one names the field, and that arbitrary input is handled.
#define BOOST_TEST_MODULE CompletionRequest
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/CompletionRequest.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <array>

using namespace peridothoist;

namespace {

std::optional<CompletionRequest>
ParseChat(std::string_view aText, Reason* aReason = nullptr)
{
  return CompletionRequest::Parse(
    CompletionDialect::Chat, aText, CompletionLimits{}, aReason);
}

constexpr std::string_view kGoodChat =
  R"({"model":"m","messages":[{"role":"user","content":"hi"}],)"
  R"("stream":true,"max_tokens":7})";

} // namespace

BOOST_AUTO_TEST_CASE(ParsesAChatRequest)
{
  const auto request = ParseChat(kGoodChat);
  BOOST_REQUIRE(request);
  BOOST_TEST(request->mModel == "m");
  BOOST_TEST(request->mPrompt == "user: hi\n");
  BOOST_TEST(request->mPromptTokens == 3u);
  BOOST_TEST(request->mMaxTokens == 7u);
  BOOST_TEST(request->mStream);
}

BOOST_AUTO_TEST_CASE(JoinsTextParts)
{
  const auto request =
    ParseChat(R"({"model":"m","messages":[{"role":"user","content":)"
              R"([{"type":"text","text":"a"},{"type":"text","text":"b"}]}]})");
  BOOST_REQUIRE(request);
  BOOST_TEST(request->mPrompt == "user: ab\n");
}

BOOST_AUTO_TEST_CASE(ErrorNamesTheInvalidField)
{
  struct Case
  {
    const char* mText;
    const char* mField;
  };
  const std::array<Case, 8> cases = { {
    { "not json", "body" },
    { "[]", "body" },
    { R"({"messages":[{"role":"u","content":"x"}]})", "model" },
    { R"({"model":"m"})", "messages" },
    { R"({"model":"m","messages":[{"content":"x"}]})", "messages[0].role" },
    { R"({"model":"m","messages":[{"role":"u"}]})", "messages[0].content" },
    { R"({"model":"m","messages":[{"role":"u","content":"x"}],"max_tokens":0})",
      "max_tokens" },
    { R"({"model":"m","messages":[{"role":"u","content":"x"}],"n":2})", "n" },
  } };
  for (const Case& testCase : cases) {
    Reason reason;
    BOOST_TEST(!ParseChat(testCase.mText, &reason));
    BOOST_TEST((reason.mCode == ReasonCode::Invalid));
    BOOST_TEST(reason.mText.rfind(testCase.mField, 0) == 0u, reason.mText);
  }
}

RC_BOOST_PROP(ArbitraryBytesParseOrGiveAReason, (const std::string& aBytes))
{
  Reason reason;
  const auto request = ParseChat(aBytes, &reason);
  RC_ASSERT(request.has_value() || !reason.mText.empty());
}

RC_BOOST_PROP(CorruptedRequestsParseOrGiveAReason,
              (std::uint16_t aPosition, char aByte))
{
  std::string text(kGoodChat);
  text[aPosition % text.size()] = aByte;
  Reason reason;
  const auto request = ParseChat(text, &reason);
  RC_ASSERT(request.has_value() || !reason.mText.empty());
}
