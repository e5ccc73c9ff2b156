/// Commands that don't act on a single item: keys, apply, drain, status,
/// outcomes and orders.
#include <Peridothoist/Peridothoist.h>
#include <CommandLine/ControlCommands.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace peridothoist {

namespace {

using nlohmann::json;

ControlResponse
Post(CommandContext& aContext, const std::string& aPath, json aBody)
{
  if (!aContext.mOverrideReason.empty()) {
    aBody["override_reason"] = aContext.mOverrideReason;
  }
  return aContext.mControl.Send({ "POST", aPath, std::move(aBody) });
}

ExitCode
CreateKey(CommandContext& aContext)
{
  json body = { { "workspace", aContext.mArguments[0] } };
  if (!aContext.mName.empty()) {
    body["name"] = aContext.mName;
  }
  const ControlResponse response =
    aContext.mControl.Send({ "POST", "/admin/v1/keys", body });
  if (!response.IsSuccess()) {
    if (response.mBody.is_object() && response.mBody.contains("name")) {
      aContext.mError << "key " << response.mBody["name"].dump() << ": ";
    }
    return ReportFailure(aContext, response);
  }
  PrintResponse(aContext,
                response.mBody,
                "name " + response.mBody.value("name", "") + "\nkey  " +
                  response.mBody.value("key", "") +
                  "\nThe key is not shown again; only a digest is stored.\n");
  return WaitUntilInForce(aContext, response.mBody);
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
    aContext.mControl.Send(
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
  PrintResponse(aContext, config->mItems, text);
  return ExitCode::Ok;
}

ExitCode
DrainUpstream(CommandContext& aContext)
{
  return ReportChange(aContext,
                      Post(aContext,
                           "/admin/v1/drain",
                           { { "upstream", aContext.mArguments[0] },
                             { "undo", aContext.mShouldUndo } }));
}

/// Reads a document {"items":[{"kind","name","json"}]} from a file.
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
ApplyDocument(CommandContext& aContext)
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
  const ControlResponse dryRun =
    aContext.mControl.Send({ "POST",
                             "/admin/v1/changes",
                             { { "base_version", config->mVersion },
                               { "edits", *items },
                               { "dry_run", true } } });
  if (!dryRun.IsSuccess()) {
    return ReportFailure(aContext, dryRun);
  }
  const std::string diff = dryRun.mBody.value("diff", "");
  // Each run prints one JSON document: that of the change if it is applied.
  if (aContext.mFormat == OutputFormat::Text || !aContext.mShouldApply ||
      diff.empty()) {
    PrintResponse(
      aContext, dryRun.mBody, diff.empty() ? "nothing would change\n" : diff);
  }
  if (diff.empty()) {
    return ExitCode::Ok;
  }
  if (!aContext.mShouldApply) {
    aContext.mError << "not applied; use --yes to apply the changes\n";
    return ExitCode::Ok;
  }
  // Based on the version of the diff, so that exactly the shown changes are
  // applied.
  return SubmitEdits(aContext, config->mVersion, *items);
}

std::string
FormatMember(const json& aMember)
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
FormatStatus(const json& aStatus)
{
  const json view = aStatus.value("view", json::object());
  std::ostringstream text;
  text << "control " << aStatus.value("vm", "?") << " version "
       << view.value("version", json()).dump() << " age_ms "
       << view.value("age_ms", json()).dump()
       << (view.value("fresh", false) ? " fresh" : " not-fresh") << "\n";
  for (const json& it : aStatus.value("vms", json::array())) {
    text << FormatMember(it);
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
ShowStatus(CommandContext& aContext)
{
  const ControlResponse response =
    aContext.mControl.Send({ "GET", "/admin/v1/status", nullptr });
  if (!response.IsSuccess()) {
    return ReportFailure(aContext, response);
  }
  PrintResponse(aContext, response.mBody, FormatStatus(response.mBody));
  return ExitCode::Ok;
}

ExitCode
ListOutcomes(CommandContext& aContext)
{
  const ControlResponse response =
    aContext.mControl.Send({ "GET", "/admin/v1/outcomes", nullptr });
  if (!response.IsSuccess()) {
    return ReportFailure(aContext, response);
  }
  std::string text;
  for (const json& it : response.mBody.value("outcomes", json::array())) {
    text += it.value("row", "?") + " " + it.value("state", "?") + " attempt " +
            it.value("attempt", "?") +
            (it.value("may_still_run", false) ? " (may still run)" : "") + "\n";
  }
  PrintResponse(aContext, response.mBody, text);
  return ExitCode::Ok;
}

ExitCode
SettleOutcome(CommandContext& aContext)
{
  if (aContext.mReason.empty() || aContext.mVerdict.empty()) {
    aContext.mError << "--verdict ran|not_run and --reason TEXT are required\n";
    return ExitCode::Usage;
  }
  const ControlResponse response = Post(aContext,
                                        "/admin/v1/outcomes",
                                        { { "row", aContext.mArguments[0] },
                                          { "verdict", aContext.mVerdict },
                                          { "reason", aContext.mReason } });
  if (!response.IsSuccess()) {
    return ReportFailure(aContext, response);
  }
  PrintResponse(aContext, response.mBody, "settled\n");
  return ExitCode::Ok;
}

ExitCode
SendOrder(CommandContext& aContext)
{
  const ControlResponse response =
    Post(aContext,
         "/admin/v1/orders",
         { { "upstream", aContext.mArguments[0] },
           { "kind", aContext.mArguments[1] },
           { "argument", aContext.mArguments[2] } });
  if (!response.IsSuccess()) {
    return ReportFailure(aContext, response);
  }
  PrintResponse(aContext, response.mBody, "applied\n");
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
      "Creates a key and shows it once.",
      1,
      1,
      CreateKey },
    { "keys", "withdraw", "NAME", "Withdraws a key.", 1, 1, WithdrawKey },
    { "keys",
      "list",
      "",
      "Lists the names of keys and their workspaces.",
      0,
      0,
      ListKeys },
    { "upstreams",
      "drain",
      "NAME [--undo]",
      "Stops sending new requests to an upstream.",
      1,
      1,
      DrainUpstream },
    { "drain",
      "",
      "UPSTREAM [--undo]",
      "Stops sending new requests to an upstream.",
      1,
      1,
      DrainUpstream },
    { "apply",
      "",
      "FILE [--yes]",
      "Shows the changes that a document of items would make; --yes "
      "applies them.",
      1,
      1,
      ApplyDocument },
    { "status", "", "", "Shows VMs, upstreams and leases.", 0, 0, ShowStatus },
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
      "Records whether a request whose outcome is in doubt ran.",
      1,
      1,
      SettleOutcome },
    { "order",
      "",
      "UPSTREAM load|unload|adapter|version|role ARGUMENT",
      "Sends an order to an upstream.",
      3,
      3,
      SendOrder },
  };
}

} // namespace peridothoist
