/// Commands send what they should, and exit codes tell outcomes apart.
#define BOOST_TEST_MODULE Command
#include <Peridothoist/Peridothoist.h>
#include <CommandLine/Command.h>

#include <boost/test/unit_test.hpp>

#include <deque>
#include <sstream>

using namespace peridothoist;
using nlohmann::json;

namespace {

/// Answers calls from a list and notes them.
class ScriptedCaller : public ControlCaller
{
public:
  // See: ControlCaller
  ControlAnswer Call(const ControlCall& aCall) override
  {
    mCalls.push_back(aCall);
    if (mAnswers.empty()) {
      return {};
    }
    ControlAnswer answer = mAnswers.front();
    mAnswers.pop_front();
    return answer;
  }

  void Add(int aStatus, json aBody)
  {
    ControlAnswer answer;
    answer.mStatus = aStatus;
    answer.mBody = std::move(aBody);
    mAnswers.push_back(answer);
  }

  std::deque<ControlAnswer> mAnswers;
  std::vector<ControlCall> mCalls;
};

struct Fixture
{
  ExitCode Run(std::vector<std::string> aArguments,
               const std::string& aReason = {})
  {
    CommandContext context(mCaller, mOut, mError);
    context.mArguments = std::move(aArguments);
    context.mReason = aReason;
    return RunCommand(context, false);
  }

  json ErrorOf(const std::string& aCode)
  {
    return { { "error", { { "code", aCode }, { "message", "why" } } } };
  }

  ScriptedCaller mCaller;
  std::ostringstream mOut;
  std::ostringstream mError;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(SetKeepsOtherFieldsAndTheVersionThatWasRead, Fixture)
{
  mCaller.Add(200,
              { { "version", 7 },
                { "kind", "workspace" },
                { "name", "w" },
                { "json", { { "burst_tokens", 5 }, { "pools", { "a" } } } } });
  mCaller.Add(200, { { "version", 8 }, { "in_force", false } });
  BOOST_TEST((Run({ "workspaces", "set", "w", "burst_tokens=9", "pools=" }) ==
              ExitCode::Ok));
  BOOST_REQUIRE(mCaller.mCalls.size() == 2u);
  const json body = mCaller.mCalls[1].mBody;
  BOOST_TEST(body["base_version"] == 7);
  BOOST_TEST(body["edits"][0]["json"] == json({ { "burst_tokens", 9 } }));
}

BOOST_FIXTURE_TEST_CASE(ExitCodesTellOutcomesApart, Fixture)
{
  const std::vector<std::pair<std::string, ExitCode>> codes = {
    { "invalid", ExitCode::Refused },
    { "not_found", ExitCode::Refused },
    { "conflict", ExitCode::Conflict },
    { "in_doubt", ExitCode::InDoubt },
    { "unreachable", ExitCode::Unreachable },
    { "stale", ExitCode::Unreachable }
  };
  for (const auto& [code, exit] : codes) {
    mCaller.Add(503, ErrorOf(code));
    BOOST_TEST((Run({ "keys", "withdraw", "k" }) == exit), code);
  }
  ControlAnswer lost;
  lost.mInDoubt = true;
  mCaller.mAnswers.push_back(lost);
  BOOST_TEST((Run({ "keys", "withdraw", "k" }) == ExitCode::InDoubt));
  BOOST_TEST((Run({ "keys", "withdraw", "k" }) == ExitCode::Unreachable));
}

BOOST_FIXTURE_TEST_CASE(LoserIsToldWhatChanged, Fixture)
{
  json conflict = ErrorOf("conflict");
  conflict["changed"] = {
    { { "kind", "pool" }, { "name", "a" }, { "json", nullptr } }
  };
  mCaller.Add(409, conflict);
  BOOST_TEST((Run({ "drain", "u" }) == ExitCode::Conflict));
  BOOST_TEST(mError.str().find("pool/a was removed") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(UsageErrorsCallNobody, Fixture)
{
  BOOST_TEST((Run({ "nonsense" }) == ExitCode::Usage));
  BOOST_TEST((Run({ "keys", "withdraw" }) == ExitCode::Usage));
  BOOST_TEST(
    (Run({ "exceptions", "add", "e", "workspace=w", "field=f", "value=1" }) ==
     ExitCode::Usage));
  BOOST_TEST((Run({ "outcome", "settle", "row" }) == ExitCode::Usage));
  BOOST_TEST(mCaller.mCalls.empty());
}
