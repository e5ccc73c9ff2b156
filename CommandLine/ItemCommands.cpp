#include <Peridothoist/Peridothoist.h>
#include <CommandLine/ItemCommands.h>

namespace peridothoist::ctl {

namespace {

using Json = nlohmann::json;

constexpr Duration kWaitStep = 100ms;
constexpr int kWaitSteps = 100;

Json
Edit(const char* aKind, const std::string& aName, const Json& aItem)
{
  return { { "kind", aKind }, { "name", aName }, { "json", aItem } };
}

Json
ListOf(const std::string& aText)
{
  Json list = Json::array();
  std::size_t start = 0;
  while (start < aText.size()) {
    const std::size_t end = std::min(aText.find(',', start), aText.size());
    list.push_back(aText.substr(start, end - start));
    start = end + 1;
  }
  return list;
}

Json
ValueOf(const std::string& aField, const std::string& aText)
{
  const Json parsed = Json::parse(aText, nullptr, false);
  const bool isJson = !parsed.is_discarded() && !parsed.is_string();
  if (isJson) {
    return parsed;
  }
  return aField == "pools" ? ListOf(aText) : Json(aText);
}

/// The item as it is now; an empty object when it is new.
std::optional<Json>
ReadItem(CommandContext& aContext,
         const char* aKind,
         const std::string& aName,
         AdminAnswer* aAnswer)
{
  *aAnswer = aContext.mClient.Call(
    "GET", std::string("/admin/v1/config/") + aKind + "/" + aName);
  if (aAnswer->mStatus == 404) {
    return Json::object();
  }
  if (!aAnswer->Ok()) {
    return std::nullopt;
  }
  return aAnswer->mBody.value("json", Json::object());
}

ExitCode
SetItem(CommandContext& aContext, const char* aKind, bool aMustBeNew)
{
  AdminAnswer answer;
  const auto version = ReadVersion(aContext, &answer);
  if (!version) {
    return aContext.mOutput.Fail(answer);
  }
  const std::string& name = aContext.mArguments[0];
  auto item = ReadItem(aContext, aKind, name, &answer);
  if (!item) {
    return aContext.mOutput.Fail(answer);
  }
  if (aMustBeNew && answer.mStatus != 404) {
    return Output::FailUsage(std::string(aKind) + " \"" + name +
                             "\" exists; use set to change it");
  }
  std::string reason;
  if (!ReadFields(aContext.mArguments, 1, *item, &reason)) {
    return Output::FailUsage(reason);
  }
  if (!aContext.mReason.empty()) {
    (*item)["reason"] = aContext.mReason;
  }
  return SendChange(
    aContext, Json::array({ Edit(aKind, name, *item) }), *version);
}

ExitCode
RemoveItem(CommandContext& aContext, const char* aKind)
{
  AdminAnswer answer;
  const auto version = ReadVersion(aContext, &answer);
  if (!version) {
    return aContext.mOutput.Fail(answer);
  }
  const Json edit = Edit(aKind, aContext.mArguments[0], nullptr);
  return SendChange(aContext, Json::array({ edit }), *version);
}

ExitCode
ShowItem(CommandContext& aContext, const char* aKind)
{
  const AdminAnswer answer = aContext.mClient.Call(
    "GET",
    std::string("/admin/v1/config/") + aKind + "/" + aContext.mArguments[0]);
  if (!answer.Ok()) {
    return aContext.mOutput.Fail(answer);
  }
  aContext.mOutput.Print(answer.mBody);
  return ExitCode::Ok;
}

ExitCode
ListItems(CommandContext& aContext, const char* aKind)
{
  const AdminAnswer answer =
    aContext.mClient.Call("GET", std::string("/admin/v1/config/") + aKind);
  if (!answer.Ok()) {
    return aContext.mOutput.Fail(answer);
  }
  aContext.mOutput.PrintTable(answer.mBody.value("items", Json::array()),
                              { "name", "json" });
  return ExitCode::Ok;
}

/// The five commands of one item kind. aCreate and aRemove are verbs.
template<const char* kKind>
struct KindCommands
{
  static ExitCode Create(CommandContext& aContext)
  {
    return SetItem(aContext, kKind, true);
  }
  static ExitCode Set(CommandContext& aContext)
  {
    return SetItem(aContext, kKind, false);
  }
  static ExitCode Show(CommandContext& aContext)
  {
    return ShowItem(aContext, kKind);
  }
  static ExitCode List(CommandContext& aContext)
  {
    return ListItems(aContext, kKind);
  }
  static ExitCode Remove(CommandContext& aContext)
  {
    return RemoveItem(aContext, kKind);
  }

  static void Add(std::vector<Command>& aCommands,
                  const char* aGroup,
                  const char* aCreate,
                  const char* aRemove)
  {
    aCommands.push_back({ aGroup,
                          aCreate,
                          "NAME FIELD=VALUE...",
                          "Makes a new one; fields as in CONFIGURATION.md.",
                          2,
                          &Create });
    aCommands.push_back({ aGroup,
                          "set",
                          "NAME FIELD=VALUE...",
                          "Changes the given fields and keeps the others.",
                          2,
                          &Set });
    aCommands.push_back(
      { aGroup, "show", "NAME", "Shows one with all its fields.", 1, &Show });
    aCommands.push_back({ aGroup, "list", "", "Lists all.", 0, &List });
    aCommands.push_back(
      { aGroup, aRemove, "NAME", "Removes one.", 1, &Remove });
  }
};

constexpr char kWorkspace[] = "workspace";
constexpr char kPool[] = "pool";
constexpr char kUpstream[] = "upstream";
constexpr char kRoute[] = "route";
constexpr char kException[] = "exception";
constexpr char kDefault[] = "default";

ExitCode
SetDefault(CommandContext& aContext)
{
  AdminAnswer answer;
  const auto version = ReadVersion(aContext, &answer);
  if (!version) {
    return aContext.mOutput.Fail(answer);
  }
  const std::string& field = aContext.mArguments[0];
  const Json item = { { "value", ValueOf(field, aContext.mArguments[1]) } };
  return SendChange(
    aContext, Json::array({ Edit(kDefault, field, item) }), *version);
}

ExitCode
AddException(CommandContext& aContext)
{
  if (aContext.mReason.empty()) {
    return Output::FailUsage("an exception needs --reason=TEXT");
  }
  return SetItem(aContext, kException, true);
}

ExitCode
ListExceptions(CommandContext& aContext)
{
  const AdminAnswer answer =
    aContext.mClient.Call("GET", "/admin/v1/config/exception");
  if (!answer.Ok()) {
    return aContext.mOutput.Fail(answer);
  }
  Json rows = Json::array();
  for (const Json& item : answer.mBody.value("items", Json::array())) {
    Json row = item.value("json", Json::object());
    row["name"] = item.value("name", "");
    rows.push_back(std::move(row));
  }
  aContext.mOutput.PrintTable(
    rows, { "name", "workspace", "field", "value", "reason" });
  return ExitCode::Ok;
}

} // namespace

bool
ReadFields(const std::vector<std::string>& aWords,
           std::size_t aFrom,
           Json& aItem,
           std::string* aReason)
{
  for (std::size_t n = aFrom; n < aWords.size(); ++n) {
    const std::size_t at = aWords[n].find('=');
    if (at == std::string::npos || at == 0) {
      *aReason = "\"" + aWords[n] + "\": must have the form FIELD=VALUE";
      return false;
    }
    const std::string field = aWords[n].substr(0, at);
    aItem[field] = ValueOf(field, aWords[n].substr(at + 1));
  }
  return true;
}

std::optional<std::uint64_t>
ReadVersion(CommandContext& aContext, AdminAnswer* aAnswer)
{
  *aAnswer = aContext.mClient.Call("GET", "/admin/v1/status");
  if (!aAnswer->Ok()) {
    return std::nullopt;
  }
  return aAnswer->mBody.value("version", std::uint64_t(0));
}

ExitCode
SendChange(CommandContext& aContext,
           const Json& aEdits,
           std::uint64_t aBaseVersion)
{
  Json body = { { "base_version", aBaseVersion }, { "edits", aEdits } };
  if (aContext.mDryRun) {
    body["dry_run"] = true;
  }
  if (!aContext.mOverrideReason.empty()) {
    body["override_reason"] = aContext.mOverrideReason;
  }
  const AdminAnswer answer =
    aContext.mClient.Call("POST", "/admin/v1/changes", body);
  if (!answer.Ok()) {
    return aContext.mOutput.Fail(answer);
  }
  aContext.mOutput.Print(answer.mBody);
  if (!aContext.mWait || aContext.mDryRun) {
    return ExitCode::Ok;
  }
  const std::string path =
    "/admin/v1/changes/" +
    std::to_string(answer.mBody.value("version", std::uint64_t(0))) +
    "/in_force";
  for (int n = 0; n < kWaitSteps; ++n) {
    const AdminAnswer status = aContext.mClient.Call("GET", path);
    if (status.Ok() && status.mBody.value("in_force", false)) {
      aContext.mOutput.Say("in force everywhere");
      return ExitCode::Ok;
    }
    aContext.mClient.Wait(kWaitStep);
  }
  aContext.mOutput.Say("accepted, but not yet in force everywhere");
  return ExitCode::InDoubt;
}

void
AddItemCommands(std::vector<Command>& aCommands)
{
  KindCommands<kWorkspace>::Add(aCommands, "workspaces", "create", "delete");
  KindCommands<kPool>::Add(aCommands, "pools", "create", "delete");
  KindCommands<kUpstream>::Add(aCommands, "upstreams", "add", "remove");
  KindCommands<kRoute>::Add(aCommands, "routes", "create", "delete");
  aCommands.push_back({ "defaults",
                        "show",
                        "",
                        "Shows the fleet-wide defaults that were set.",
                        0,
                        &KindCommands<kDefault>::List });
  aCommands.push_back({ "defaults",
                        "set",
                        "FIELD VALUE",
                        "Sets one fleet-wide default.",
                        2,
                        &SetDefault });
  aCommands.push_back({ "exceptions",
                        "add",
                        "NAME workspace=W field=F value=V --reason=TEXT",
                        "Gives one workspace its own value for a default.",
                        4,
                        &AddException });
  aCommands.push_back({ "exceptions",
                        "list",
                        "",
                        "Lists all exceptions with their reasons.",
                        0,
                        &ListExceptions });
  aCommands.push_back({ "exceptions",
                        "remove",
                        "NAME",
                        "Removes one: the default holds again.",
                        1,
                        &KindCommands<kException>::Remove });
}

} // namespace peridothoist::ctl
