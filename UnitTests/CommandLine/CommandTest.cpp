/// Commands must send the right requests, and exit codes must distinguish
/// results.
#define BOOST_TEST_MODULE Command
#include <Peridothoist/Peridothoist.h>
#include <CommandLine/Command.h>

#include <boost/test/unit_test.hpp>

#include <deque>
#include <sstream>

using namespace peridothoist;
using nlohmann::json;

namespace {

/// Returns scripted responses and records requests.
class ScriptedTransport : public ControlTransport
{
public:
  // See: ControlTransport
  ControlResponse Send(const ControlRequest& aRequest) override
  {
    mRequests.push_back(aRequest);
    if (mResponses.empty()) {
      return {};
    }
    ControlResponse response = mResponses.front();
    mResponses.pop_front();
    return response;
  }

  void AddResponse(int aStatus, json aBody)
  {
    ControlResponse response;
    response.mStatus = aStatus;
    response.mBody = std::move(aBody);
    mResponses.push_back(response);
  }

  std::deque<ControlResponse> mResponses;
  std::vector<ControlRequest> mRequests;
};

struct Fixture
{
  ExitCode Run(std::vector<std::string> aArguments,
               const std::string& aReason = {})
  {
    CommandContext context(mTransport, mOut, mError);
    context.mArguments = std::move(aArguments);
    context.mReason = aReason;
    return RunCommand(context, false);
  }

  json MakeError(const std::string& aCode)
  {
    return { { "error", { { "code", aCode }, { "message", "why" } } } };
  }

  ScriptedTransport mTransport;
  std::ostringstream mOut;
  std::ostringstream mError;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(SetKeepsOtherFieldsAndUsesVersionRead, Fixture)
{
  mTransport.AddResponse(
    200,
    { { "version", 7 },
      { "kind", "workspace" },
      { "name", "w" },
      { "json", { { "burst_tokens", 5 }, { "pools", { "a" } } } } });
  mTransport.AddResponse(200, { { "version", 8 }, { "in_force", false } });
  BOOST_TEST((Run({ "workspaces", "set", "w", "burst_tokens=9", "pools=" }) ==
              ExitCode::Ok));
  BOOST_REQUIRE(mTransport.mRequests.size() == 2u);
  const json body = mTransport.mRequests[1].mBody;
  BOOST_TEST(body["base_version"] == 7);
  BOOST_TEST(body["edits"][0]["json"] == json({ { "burst_tokens", 9 } }));
}

BOOST_FIXTURE_TEST_CASE(ExitCodesDistinguishResults, Fixture)
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
    mTransport.AddResponse(503, MakeError(code));
    BOOST_TEST((Run({ "keys", "withdraw", "k" }) == exit), code);
  }
  ControlResponse lost;
  lost.mIsInDoubt = true;
  mTransport.mResponses.push_back(lost);
  BOOST_TEST((Run({ "keys", "withdraw", "k" }) == ExitCode::InDoubt));
  BOOST_TEST((Run({ "keys", "withdraw", "k" }) == ExitCode::Unreachable));
}

BOOST_FIXTURE_TEST_CASE(ConflictReportsWhatChanged, Fixture)
{
  json conflict = MakeError("conflict");
  conflict["changed"] = {
    { { "kind", "pool" }, { "name", "a" }, { "json", nullptr } }
  };
  mTransport.AddResponse(409, conflict);
  BOOST_TEST((Run({ "drain", "u" }) == ExitCode::Conflict));
  BOOST_TEST(mError.str().find("pool/a was removed") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(UsageErrorsSendNoRequest, Fixture)
{
  BOOST_TEST((Run({ "nonsense" }) == ExitCode::Usage));
  BOOST_TEST((Run({ "keys", "withdraw" }) == ExitCode::Usage));
  BOOST_TEST(
    (Run({ "exceptions", "add", "e", "workspace=w", "field=f", "value=1" }) ==
     ExitCode::Usage));
  BOOST_TEST((Run({ "outcome", "settle", "row" }) == ExitCode::Usage));
  BOOST_TEST(mTransport.mRequests.empty());
}
