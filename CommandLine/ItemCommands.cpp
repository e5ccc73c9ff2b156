/// Commands on single items.
#include <Peridothoist/Peridothoist.h>
#include <CommandLine/ItemCommands.h>

#include <ostream>

namespace peridothoist {

namespace {

using nlohmann::json;

constexpr std::size_t kMany = 64; ///< Arguments, where any number goes.

json
Edit(const char* aKind, const std::string& aName, json aItem)
{
  return json::array(
    { { { "kind", aKind }, { "name", aName }, { "json", std::move(aItem) } } });
}

std::string
LineOf(const json& aItem)
{
  json body = aItem.value("json", json::object());
  if (body.is_object()) {
    body.erase("schema");
  }
  return aItem.value("name", "?") + " " + body.dump() + "\n";
}

ExitCode
List(CommandContext& aContext, const char* aKind)
{
  ExitCode exit = ExitCode::Ok;
  const auto config = FetchConfig(aContext, std::string("/") + aKind, &exit);
  if (!config) {
    return exit;
  }
  std::string text;
  for (const json& it : config->mItems) {
    text += LineOf(it);
  }
  PrintAnswer(aContext, config->mItems, text);
  return ExitCode::Ok;
}

ExitCode
Show(CommandContext& aContext, const char* aKind)
{
  ExitCode exit = ExitCode::Ok;
  const std::string path =
    "/" + std::string(aKind) + "/" + aContext.mArguments[0];
  const auto config = FetchConfig(aContext, path, &exit);
  if (!config) {
    return exit;
  }
  const json& item = config->mItems.front();
  PrintAnswer(aContext, item, LineOf(item));
  return ExitCode::Ok;
}

/// Makes an item that must not be there yet.
ExitCode
Create(CommandContext& aContext, const char* aKind)
{
  json item = json::object();
  if (!ReadFields(aContext, 1, item)) {
    return ExitCode::Usage;
  }
  if (!aContext.mReason.empty()) {
    item["reason"] = aContext.mReason;
  }
  ExitCode exit = ExitCode::Ok;
  const auto config = FetchConfig(aContext, std::string("/") + aKind, &exit);
  if (!config) {
    return exit;
  }
  const std::string& name = aContext.mArguments[0];
  for (const json& it : config->mItems) {
    if (it.value("name", "") == name) {
      aContext.mError << "refused: " << aKind << "/" << name
                      << " exists already\n";
      return ExitCode::Refused;
    }
  }
  return SubmitEdits(
    aContext, config->mVersion, Edit(aKind, name, std::move(item)));
}

/// Changes fields of an item that is there, on the version that was read.
ExitCode
Set(CommandContext& aContext, const char* aKind)
{
  ExitCode exit = ExitCode::Ok;
  const std::string& name = aContext.mArguments[0];
  const auto config =
    FetchConfig(aContext, "/" + std::string(aKind) + "/" + name, &exit);
  if (!config) {
    return exit;
  }
  json item = config->mItems.front().value("json", json::object());
  if (!ReadFields(aContext, 1, item)) {
    return ExitCode::Usage;
  }
  return SubmitEdits(
    aContext, config->mVersion, Edit(aKind, name, std::move(item)));
}

ExitCode
Remove(CommandContext& aContext, const char* aKind)
{
  ExitCode exit = ExitCode::Ok;
  const std::string& name = aContext.mArguments[0];
  const auto config =
    FetchConfig(aContext, "/" + std::string(aKind) + "/" + name, &exit);
  if (!config) {
    return exit;
  }
  return SubmitEdits(aContext, config->mVersion, Edit(aKind, name, nullptr));
}

/// The same command for each kind of item.
template<ExitCode (*kRun)(CommandContext&, const char*), const char* kKind>
ExitCode
OnKind(CommandContext& aContext)
{
  return kRun(aContext, kKind);
}

constexpr char kWorkspace[] = "workspace";
constexpr char kPool[] = "pool";
constexpr char kUpstream[] = "upstream";
constexpr char kRoute[] = "route";
constexpr char kDefault[] = "default";
constexpr char kException[] = "exception";

/// The five commands that every kind of item has.
template<const char* kKind>
void
AddItemCommands(std::vector<Command>& aCommands,
                const char* aGroup,
                const char* aCreate,
                const char* aRemove,
                const char* aFields)
{
  aCommands.push_back(
    { aGroup, "list", "", "Lists them.", 0, 0, OnKind<List, kKind> });
  aCommands.push_back(
    { aGroup, "show", "NAME", "Shows one.", 1, 1, OnKind<Show, kKind> });
  aCommands.push_back({ aGroup,
                        aCreate,
                        aFields,
                        "Makes a new one.",
                        2,
                        kMany,
                        OnKind<Create, kKind> });
  aCommands.push_back({ aGroup,
                        "set",
                        "NAME FIELD=VALUE...",
                        "Changes fields of one; FIELD= removes a field.",
                        2,
                        kMany,
                        OnKind<Set, kKind> });
  aCommands.push_back({ aGroup,
                        aRemove,
                        "NAME",
                        "Removes one that nothing else uses.",
                        1,
                        1,
                        OnKind<Remove, kKind> });
}

ExitCode
AddException(CommandContext& aContext)
{
  if (aContext.mReason.empty()) {
    aContext.mError << "an exception needs --reason TEXT\n";
    return ExitCode::Usage;
  }
  return Create(aContext, kException);
}

ExitCode
SetDefault(CommandContext& aContext)
{
  const std::string argument = aContext.mArguments[0];
  const std::size_t equals = argument.find('=');
  if (equals == std::string::npos) {
    aContext.mError << "\"" << argument << "\" must be NAME=VALUE\n";
    return ExitCode::Usage;
  }
  aContext.mArguments = { argument.substr(0, equals),
                          "value" + argument.substr(equals) };
  return Set(aContext, kDefault);
}

} // namespace

std::vector<Command>
ItemCommands()
{
  std::vector<Command> commands;
  AddItemCommands<kWorkspace>(
    commands,
    "workspaces",
    "create",
    "delete",
    "NAME rate_tokens_per_second=N burst_tokens=N pools=[\"POOL\",...]");
  AddItemCommands<kPool>(commands,
                         "pools",
                         "create",
                         "delete",
                         "NAME role=prefill|decode|plain model=MODEL");
  AddItemCommands<kUpstream>(
    commands,
    "upstreams",
    "add",
    "remove",
    "NAME pool=POOL address=ip:port zone=ZONE memory_pieces=N");
  AddItemCommands<kRoute>(
    commands,
    "routes",
    "create",
    "delete",
    "NAME path=/PATH prefill_pool=POOL decode_pool=POOL | plain_pool=POOL");
  commands.push_back({ "defaults",
                       "show",
                       "",
                       "Shows every fleet-wide default.",
                       0,
                       0,
                       OnKind<List, kDefault> });
  commands.push_back({ "defaults",
                       "set",
                       "NAME=VALUE",
                       "Sets a fleet-wide default.",
                       1,
                       1,
                       SetDefault });
  commands.push_back({ "defaults",
                       "reset",
                       "NAME",
                       "Goes back to the built-in value.",
                       1,
                       1,
                       OnKind<Remove, kDefault> });
  commands.push_back({ "exceptions",
                       "add",
                       "NAME workspace=W field=DEFAULT value=V --reason TEXT",
                       "Replaces a default for one workspace.",
                       4,
                       4,
                       AddException });
  commands.push_back({ "exceptions",
                       "list",
                       "",
                       "Lists exceptions with their reasons.",
                       0,
                       0,
                       OnKind<List, kException> });
  commands.push_back({ "exceptions",
                       "remove",
                       "NAME",
                       "Removes an exception.",
                       1,
                       1,
                       OnKind<Remove, kException> });
  return commands;
}

} // namespace peridothoist
