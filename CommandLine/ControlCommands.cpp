/// Commands that aren't about one item.
#include <Peridothoist/Peridothoist.h>
#include <CommandLine/ControlCommands.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace peridothoist {

namespace {

using nlohmann::json;

ControlAnswer
Post(CommandContext& aContext, const std::string& aPath, json aBody)
{
  if (!aContext.mOverrideReason.empty()) {
    aBody["override_reason"] = aContext.mOverrideReason;
  }
  return aContext.mControl.Call({ "POST", aPath, std::move(aBody) });
}

ExitCode
CreateKey(CommandContext& aContext)
{
  json body = { { "workspace", aContext.mArguments[0] } };
  if (!aContext.mName.empty()) {
    body["name"] = aContext.mName;
  }
  const ControlAnswer answer =
    aContext.mControl.Call({ "POST", "/admin/v1/keys", body });
  if (!answer.Ok()) {
    if (answer.mBody.is_object() && answer.mBody.contains("name")) {
      aContext.mError << "key " << answer.mBody["name"].dump() << ": ";
    }
    return ReportFailure(aContext, answer);
  }
  PrintAnswer(aContext,
              answer.mBody,
              "name " + answer.mBody.value("name", "") + "\nkey  " +
                answer.mBody.value("key", "") +
                "\nThe key is shown this once; only a digest is kept.\n");
  return WaitInForce(aContext, answer.mBody);
}

ExitCode
WithdrawKey(CommandContext& aContext)
{
  json body = json::object();
  if (!aContext.mOverrideReason.empty()) {
    body["override_reason"] = aContext.mOverrideReason;
  }
  return ReportChange(
    aContext,
    aContext.mControl.Call(
      { "DELETE", "/admin/v1/keys/" + aContext.mArguments[0], body }));
}

ExitCode
ListKeys(CommandContext& aContext)
{
  ExitCode exit = ExitCode::Ok;
  const auto config = FetchConfig(aContext, "/key", &exit);
  if (!config) {
    return exit;
  }
  std::string text;
  for (const json& it : config->mItems) {
    text += it.value("name", "?") + " " +
            it.value("json", json::object()).value("workspace", "?") + "\n";
  }
  PrintAnswer(aContext, config->mItems, text);
  return ExitCode::Ok;
}

ExitCode
Drain(CommandContext& aContext)
{
  return ReportChange(aContext,
                      Post(aContext,
                           "/admin/v1/drain",
                           { { "upstream", aContext.mArguments[0] },
                             { "undo", aContext.mUndo } }));
}

/// Reads a document {"items":[{"kind","name","json"}]}.
std::optional<json>
ReadDocument(CommandContext& aContext)
{
  std::ifstream file(aContext.mArguments[0]);
  std::stringstream text;
  text << file.rdbuf();
  const json document = json::parse(text.str(), nullptr, false);
  if (!file || !document.is_object() || !document.contains("items") ||
      !document["items"].is_array()) {
    aContext.mError << aContext.mArguments[0]
                    << ": must hold {\"items\":[{\"kind\",\"name\",\"json\"},"
                       "...]}\n";
    return std::nullopt;
  }
  return document["items"];
}

ExitCode
Apply(CommandContext& aContext)
{
  const auto items = ReadDocument(aContext);
  if (!items) {
    return ExitCode::Usage;
  }
  ExitCode exit = ExitCode::Ok;
  const auto config = FetchConfig(aContext, "/default", &exit);
  if (!config) {
    return exit;
  }
  const ControlAnswer trial =
    aContext.mControl.Call({ "POST",
                             "/admin/v1/changes",
                             { { "base_version", config->mVersion },
                               { "edits", *items },
                               { "dry_run", true } } });
  if (!trial.Ok()) {
    return ReportFailure(aContext, trial);
  }
  const std::string diff = trial.mBody.value("diff", "");
  // One JSON document for each run: the change's, if it is applied.
  if (aContext.mForm == OutputForm::Text || !aContext.mYes || diff.empty()) {
    PrintAnswer(
      aContext, trial.mBody, diff.empty() ? "nothing would change\n" : diff);
  }
  if (diff.empty()) {
    return ExitCode::Ok;
  }
  if (!aContext.mYes) {
    aContext.mError << "not applied; --yes applies it\n";
    return ExitCode::Ok;
  }
  // The version that the diff was made on: what was shown is what is applied.
  return SubmitEdits(aContext, config->mVersion, *items);
}

std::string
MemberLine(const json& aMember)
{
  std::ostringstream line;
  line << "vm " << aMember.value("vm", "?") << " zone "
       << aMember.value("zone", "?") << " " << aMember.value("state", "?")
       << " version " << aMember.value("version", json()).dump()
       << " heard_ms_ago " << aMember.value("heard_ms_ago", json()).dump()
       << (aMember.value("platform_silent", false) ? " platform-silent" : "")
       << (aMember.value("in_doubt", false) ? " in-doubt" : "") << "\n";
  return line.str();
}

std::string
StatusText(const json& aStatus)
{
  const json view = aStatus.value("view", json::object());
  std::ostringstream text;
  text << "control " << aStatus.value("vm", "?") << " version "
       << view.value("version", json()).dump() << " age_ms "
       << view.value("age_ms", json()).dump()
       << (view.value("fresh", false) ? " fresh" : " not-fresh") << "\n";
  for (const json& it : aStatus.value("vms", json::array())) {
    text << MemberLine(it);
  }
  for (const json& it : aStatus.value("upstreams", json::array())) {
    text << "upstream " << it.value("name", "?") << " pool "
         << it.value("pool", "?") << " " << it.value("address", "?")
         << (it.value("leaving", false) ? " leaving" : "") << "\n";
  }
  for (const json& it : aStatus.value("leases", json::array())) {
    text << "lease " << it.value("group", "?") << " holder "
         << it.value("holder_vm", "") << " fence "
         << it.value("fence", json()).dump() << "\n";
  }
  return text.str();
}

ExitCode
Status(CommandContext& aContext)
{
  const ControlAnswer answer =
    aContext.mControl.Call({ "GET", "/admin/v1/status", nullptr });
  if (!answer.Ok()) {
    return ReportFailure(aContext, answer);
  }
  PrintAnswer(aContext, answer.mBody, StatusText(answer.mBody));
  return ExitCode::Ok;
}

ExitCode
ListOutcomes(CommandContext& aContext)
{
  const ControlAnswer answer =
    aContext.mControl.Call({ "GET", "/admin/v1/outcomes", nullptr });
  if (!answer.Ok()) {
    return ReportFailure(aContext, answer);
  }
  std::string text;
  for (const json& it : answer.mBody.value("outcomes", json::array())) {
    text += it.value("row", "?") + " " + it.value("state", "?") + " attempt " +
            it.value("attempt", "?") +
            (it.value("may_still_run", false) ? " (may still run)" : "") + "\n";
  }
  PrintAnswer(aContext, answer.mBody, text);
  return ExitCode::Ok;
}

ExitCode
SettleOutcome(CommandContext& aContext)
{
  if (aContext.mReason.empty() || aContext.mVerdict.empty()) {
    aContext.mError << "needs --verdict ran|not_run and --reason TEXT\n";
    return ExitCode::Usage;
  }
  const ControlAnswer answer = Post(aContext,
                                    "/admin/v1/outcomes",
                                    { { "row", aContext.mArguments[0] },
                                      { "verdict", aContext.mVerdict },
                                      { "reason", aContext.mReason } });
  if (!answer.Ok()) {
    return ReportFailure(aContext, answer);
  }
  PrintAnswer(aContext, answer.mBody, "settled\n");
  return ExitCode::Ok;
}

ExitCode
Order(CommandContext& aContext)
{
  const ControlAnswer answer = Post(aContext,
                                    "/admin/v1/orders",
                                    { { "upstream", aContext.mArguments[0] },
                                      { "kind", aContext.mArguments[1] },
                                      { "argument", aContext.mArguments[2] } });
  if (!answer.Ok()) {
    return ReportFailure(aContext, answer);
  }
  PrintAnswer(aContext, answer.mBody, "applied\n");
  return ExitCode::Ok;
}

} // namespace

std::vector<Command>
ControlCommands()
{
  return {
    { "keys",
      "create",
      "WORKSPACE [--name NAME]",
      "Makes a key and shows it once.",
      1,
      1,
      CreateKey },
    { "keys", "withdraw", "NAME", "Withdraws a key.", 1, 1, WithdrawKey },
    { "keys",
      "list",
      "",
      "Lists names of keys and their workspaces.",
      0,
      0,
      ListKeys },
    { "upstreams",
      "drain",
      "NAME [--undo]",
      "Gives an upstream no new work.",
      1,
      1,
      Drain },
    { "drain",
      "",
      "UPSTREAM [--undo]",
      "Gives an upstream no new work.",
      1,
      1,
      Drain },
    { "apply",
      "",
      "FILE [--yes]",
      "Shows what a document of items would change; --yes applies it.",
      1,
      1,
      Apply },
    { "status", "", "", "Shows VMs, upstreams and leases.", 0, 0, Status },
    { "outcome",
      "list",
      "",
      "Lists requests whose outcome is in doubt.",
      0,
      0,
      ListOutcomes },
    { "outcome",
      "settle",
      "ROW --verdict ran|not_run --reason TEXT",
      "Settles one of them.",
      1,
      1,
      SettleOutcome },
    { "order",
      "",
      "UPSTREAM load|unload|adapter|version|role ARGUMENT",
      "Gives an upstream an order.",
      3,
      3,
      Order },
  };
}

} // namespace peridothoist
