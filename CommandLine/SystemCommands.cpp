#include <Peridothoist/Peridothoist.h>
#include <CommandLine/SystemCommands.h>

#include <CommandLine/ItemCommands.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace peridothoist::ctl {

namespace {

using Json = nlohmann::json;

/// Makes one call and prints its answer.
ExitCode
CallAndPrint(CommandContext& aContext,
             const char* aMethod,
             const std::string& aPath,
             const Json& aBody = nullptr)
{
  const AdminAnswer answer = aContext.mClient.Call(aMethod, aPath, aBody);
  if (!answer.Ok()) {
    return aContext.mOutput.Fail(answer);
  }
  aContext.mOutput.Print(answer.mBody);
  return ExitCode::Ok;
}

ExitCode
CreateKey(CommandContext& aContext)
{
  const ExitCode code =
    CallAndPrint(aContext,
                 "POST",
                 "/admin/v1/keys",
                 { { "workspace", aContext.mArguments[0] } });
  if (code == ExitCode::Ok) {
    aContext.mOutput.Say("this key is shown once and kept nowhere");
  }
  return code;
}

ExitCode
WithdrawKey(CommandContext& aContext)
{
  return CallAndPrint(
    aContext, "DELETE", "/admin/v1/keys/" + aContext.mArguments[0]);
}

ExitCode
ListKeys(CommandContext& aContext)
{
  const AdminAnswer answer =
    aContext.mClient.Call("GET", "/admin/v1/config/key");
  if (!answer.Ok()) {
    return aContext.mOutput.Fail(answer);
  }
  Json rows = Json::array();
  for (const Json& item : answer.mBody.value("items", Json::array())) {
    rows.push_back(
      { { "name", item.value("name", "") },
        { "workspace",
          item.value("json", Json::object()).value("workspace", "") } });
  }
  aContext.mOutput.PrintTable(rows, { "name", "workspace" });
  return ExitCode::Ok;
}

ExitCode
ShowStatus(CommandContext& aContext)
{
  return CallAndPrint(aContext, "GET", "/admin/v1/status");
}

ExitCode
ListOutcomes(CommandContext& aContext)
{
  return CallAndPrint(aContext, "GET", "/admin/v1/outcomes");
}

ExitCode
SettleOutcome(CommandContext& aContext)
{
  if (aContext.mReason.empty()) {
    return Output::FailUsage("settling an outcome needs --reason=TEXT");
  }
  return CallAndPrint(aContext,
                      "POST",
                      "/admin/v1/outcomes",
                      { { "row", aContext.mArguments[0] },
                        { "settle", aContext.mArguments[1] },
                        { "reason", aContext.mReason } });
}

ExitCode
GiveOrder(CommandContext& aContext)
{
  const std::string argument =
    aContext.mArguments.size() > 2 ? aContext.mArguments[2] : std::string();
  return CallAndPrint(aContext,
                      "POST",
                      "/admin/v1/orders",
                      { { "upstream", aContext.mArguments[0] },
                        { "kind", aContext.mArguments[1] },
                        { "argument", argument } });
}

ExitCode
DrainUpstream(CommandContext& aContext)
{
  return CallAndPrint(aContext,
                      "POST",
                      "/admin/v1/drain",
                      { { "upstream", aContext.mArguments[0] } });
}

/// Reads a file of items: {"items":[{"kind","name","json"}, ...]}.
std::optional<Json>
ReadItemsFile(const std::string& aPath, std::string* aReason)
{
  std::ifstream file(aPath);
  if (!file) {
    *aReason = aPath + ": can't be read";
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  Json document = Json::parse(text.str(), nullptr, false);
  const bool valid = document.is_object() && document.contains("items") &&
                     document["items"].is_array();
  if (!valid) {
    *aReason = aPath + R"(: must be a JSON object with an array "items")";
    return std::nullopt;
  }
  return document["items"];
}

ExitCode
ApplyFile(CommandContext& aContext)
{
  std::string reason;
  const auto items = ReadItemsFile(aContext.mArguments[0], &reason);
  if (!items) {
    return Output::FailUsage(reason);
  }
  AdminAnswer answer;
  const auto version = ReadVersion(aContext, &answer);
  if (!version) {
    return aContext.mOutput.Fail(answer);
  }
  const Json trial = { { "base_version", *version },
                       { "edits", *items },
                       { "dry_run", true } };
  answer = aContext.mClient.Call("POST", "/admin/v1/changes", trial);
  if (!answer.Ok()) {
    return aContext.mOutput.Fail(answer);
  }
  if (answer.mBody.is_object() && answer.mBody.contains("diff") &&
      answer.mBody["diff"].is_string()) {
    aContext.mOutput.Say(answer.mBody["diff"].get<std::string>());
  } else {
    aContext.mOutput.Print(answer.mBody);
  }
  if (!aContext.mYes) {
    aContext.mOutput.Say("nothing was changed; add --yes to apply");
    return ExitCode::Ok;
  }
  return SendChange(aContext, *items, *version);
}

} // namespace

void
AddSystemCommands(std::vector<Command>& aCommands)
{
  const std::vector<Command> commands = {
    { "keys",
      "create",
      "WORKSPACE",
      "Makes a key and shows it once.",
      1,
      &CreateKey },
    { "keys", "withdraw", "NAME", "Withdraws a key.", 1, &WithdrawKey },
    { "keys", "list", "", "Lists keys by name.", 0, &ListKeys },
    { "apply",
      "",
      "FILE",
      "Shows what a file of items would change; --yes applies it.",
      1,
      &ApplyFile },
    { "status", "", "", "Shows VMs, upstreams and views.", 0, &ShowStatus },
    { "outcome",
      "list",
      "",
      "Lists requests whose outcome is in doubt.",
      0,
      &ListOutcomes },
    { "outcome",
      "settle",
      "ROW ran|not-run --reason=TEXT",
      "Settles one of them.",
      2,
      &SettleOutcome },
    { "order",
      "",
      "UPSTREAM load|unload|adapter|version|role [ARGUMENT]",
      "Gives an order to an upstream.",
      2,
      &GiveOrder },
    { "drain",
      "",
      "UPSTREAM",
      "Sends an upstream no new work.",
      1,
      &DrainUpstream },
  };
  aCommands.insert(aCommands.end(), commands.begin(), commands.end());
}

} // namespace peridothoist::ctl
