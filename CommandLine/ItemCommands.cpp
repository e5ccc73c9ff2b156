/// Commands that act on single items.
#include <Peridothoist/Peridothoist.h>
#include <CommandLine/ItemCommands.h>

#include <ostream>

namespace peridothoist {

namespace {

using nlohmann::json;

/// Maximum number of arguments of commands that take any number of fields.
constexpr std::size_t kMaxArguments = 64;

json
MakeEdits(const char* aKind, const std::string& aName, json aItem)
{
  return json::array(
    { { { "kind", aKind }, { "name", aName }, { "json", std::move(aItem) } } });
}

std::string
FormatItem(const json& aItem)
{
  json body = aItem.value("json", json::object());
  if (body.is_object()) {
    body.erase("schema");
  }
  return aItem.value("name", "?") + " " + body.dump() + "\n";
}

ExitCode
ShowItems(CommandContext& aContext, const char* aKind)
{
  ExitCode exit = ExitCode::Ok;
  const auto config = FetchConfig(aContext, std::string("/") + aKind, &exit);
  if (!config) {
    return exit;
  }
  std::string text;
  for (const json& it : config->mItems) {
    text += FormatItem(it);
  }
  PrintResponse(aContext, config->mItems, text);
  return ExitCode::Ok;
}

ExitCode
ShowItem(CommandContext& aContext, const char* aKind)
{
  ExitCode exit = ExitCode::Ok;
  const std::string path =
    "/" + std::string(aKind) + "/" + aContext.mArguments[0];
  const auto config = FetchConfig(aContext, path, &exit);
  if (!config) {
    return exit;
  }
  const json& item = config->mItems.front();
  PrintResponse(aContext, item, FormatItem(item));
  return ExitCode::Ok;
}

/// Creates an item; fails if it exists.
ExitCode
CreateItem(CommandContext& aContext, const char* aKind)
{
  json item = json::object();
  if (!ParseFields(aContext, 1, item)) {
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
                      << " already exists\n";
      return ExitCode::Refused;
    }
  }
  return SubmitEdits(
    aContext, config->mVersion, MakeEdits(aKind, name, std::move(item)));
}

/// Changes fields of an existing item, based on the version that was read.
ExitCode
SetFields(CommandContext& aContext, const char* aKind)
{
  ExitCode exit = ExitCode::Ok;
  const std::string& name = aContext.mArguments[0];
  const auto config =
    FetchConfig(aContext, "/" + std::string(aKind) + "/" + name, &exit);
  if (!config) {
    return exit;
  }
  json item = config->mItems.front().value("json", json::object());
  if (!ParseFields(aContext, 1, item)) {
    return ExitCode::Usage;
  }
  return SubmitEdits(
    aContext, config->mVersion, MakeEdits(aKind, name, std::move(item)));
}

ExitCode
RemoveItem(CommandContext& aContext, const char* aKind)
{
  ExitCode exit = ExitCode::Ok;
  const std::string& name = aContext.mArguments[0];
  const auto config =
    FetchConfig(aContext, "/" + std::string(aKind) + "/" + name, &exit);
  if (!config) {
    return exit;
  }
  return SubmitEdits(
    aContext, config->mVersion, MakeEdits(aKind, name, nullptr));
}

/// Runs a command for one kind of item.
template<ExitCode (*kRun)(CommandContext&, const char*), const char* kKind>
ExitCode
RunForKind(CommandContext& aContext)
{
  return kRun(aContext, kKind);
}

constexpr char kWorkspace[] = "workspace";
constexpr char kPool[] = "pool";
constexpr char kUpstream[] = "upstream";
constexpr char kRoute[] = "route";
constexpr char kDefault[] = "default";
constexpr char kException[] = "exception";

/// Adds the five commands that every kind of item has.
template<const char* kKind>
void
AddItemCommands(std::vector<Command>& aCommands,
                const char* aGroup,
                const char* aCreate,
                const char* aRemove,
                const char* aFields)
{
  aCommands.push_back({ aGroup,
                        "list",
                        "",
                        "Lists all items.",
                        0,
                        0,
                        RunForKind<ShowItems, kKind> });
  aCommands.push_back({ aGroup,
                        "show",
                        "NAME",
                        "Shows one item.",
                        1,
                        1,
                        RunForKind<ShowItem, kKind> });
  aCommands.push_back({ aGroup,
                        aCreate,
                        aFields,
                        "Creates an item.",
                        2,
                        kMaxArguments,
                        RunForKind<CreateItem, kKind> });
  aCommands.push_back({ aGroup,
                        "set",
                        "NAME FIELD=VALUE...",
                        "Changes fields of an item; FIELD= removes a field.",
                        2,
                        kMaxArguments,
                        RunForKind<SetFields, kKind> });
  aCommands.push_back({ aGroup,
                        aRemove,
                        "NAME",
                        "Removes an item that nothing else uses.",
                        1,
                        1,
                        RunForKind<RemoveItem, kKind> });
}

ExitCode
AddException(CommandContext& aContext)
{
  if (aContext.mReason.empty()) {
    aContext.mError << "--reason TEXT is required for an exception\n";
    return ExitCode::Usage;
  }
  return CreateItem(aContext, kException);
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
  return SetFields(aContext, kDefault);
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
                       RunForKind<ShowItems, kDefault> });
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
                       "Resets a default to its built-in value.",
                       1,
                       1,
                       RunForKind<RemoveItem, kDefault> });
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
                       RunForKind<ShowItems, kException> });
  commands.push_back({ "exceptions",
                       "remove",
                       "NAME",
                       "Removes an exception.",
                       1,
                       1,
                       RunForKind<RemoveItem, kException> });
  return commands;
}

} // namespace peridothoist
