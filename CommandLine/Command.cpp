/// Finds and runs commands, and implements the functions that they share.
#include <Peridothoist/Peridothoist.h>
#include <CommandLine/Command.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <thread>

namespace peridothoist {

namespace {

using nlohmann::json;

/// Maps an error code of the admin API to an exit code.
struct ErrorCodeMapping
{
  std::string_view mCode;
  ExitCode mExit;
};

constexpr ErrorCodeMapping kErrorCodes[] = {
  { "invalid", ExitCode::Refused },   { "not_found", ExitCode::Refused },
  { "refused", ExitCode::Refused },   { "conflict", ExitCode::Conflict },
  { "in_doubt", ExitCode::InDoubt },  { "unreachable", ExitCode::Unreachable },
  { "stale", ExitCode::Unreachable }, { "full", ExitCode::Unreachable },
};

constexpr Duration kWaitPollInterval = std::chrono::milliseconds(50);

std::string
CommandName(const Command& aCommand)
{
  const std::string group = aCommand.mGroup;
  return *aCommand.mVerb == 0 ? group : group + " " + aCommand.mVerb;
}

void
PrintUsage(std::ostream& aOut, const Command& aCommand)
{
  aOut << "  peridothoistctl " << CommandName(aCommand) << " "
       << aCommand.mArguments << "\n      " << aCommand.mHelp << "\n";
}

void
PrintAllUsage(std::ostream& aOut, const std::string& aGroup)
{
  aOut << "usage:\n";
  for (const Command& it : AllCommands()) {
    if (aGroup.empty() || aGroup == it.mGroup) {
      PrintUsage(aOut, it);
    }
  }
  aOut << "flags: --control http://ip:port[,...]  --operator_key KEY  "
          "--output text|json\n"
          "       --wait  --yes  --reason TEXT  --override_reason TEXT\n"
          "exit codes: 0 ok, 1 usage, 2 refused, 3 conflict, 4 unreachable, "
          "5 in doubt\n";
}

const Command*
FindCommand(std::vector<std::string>& aArguments)
{
  for (const Command& it : AllCommands()) {
    const bool hasVerb = *it.mVerb != 0;
    const std::size_t nameWords = hasVerb ? 2 : 1;
    if (aArguments.size() < nameWords || aArguments[0] != it.mGroup ||
        (hasVerb && aArguments[1] != it.mVerb)) {
      continue;
    }
    aArguments.erase(aArguments.begin(),
                     aArguments.begin() +
                       static_cast<std::ptrdiff_t>(nameWords));
    return &it;
  }
  return nullptr;
}

std::string
FormatChanges(const json& aChanged)
{
  std::string text;
  for (const json& it : aChanged) {
    const json item = it.value("json", json());
    text += "  " + it.value("kind", "?") + "/" + it.value("name", "?") + " " +
            (item.is_null() ? "was removed" : "is now " + item.dump()) + "\n";
  }
  return text;
}

} // namespace

bool
IsLocalCommand(const std::vector<std::string>& aArguments)
{
  std::vector<std::string> arguments = aArguments;
  const Command* command = FindCommand(arguments);
  return command != nullptr && command->mIsLocal;
}

ExitCode
RunCommand(CommandContext& aContext, bool aIsHelp)
{
  const std::string group =
    aContext.mArguments.empty() ? "" : aContext.mArguments.front();
  const Command* command = FindCommand(aContext.mArguments);
  if (command == nullptr) {
    PrintAllUsage(aIsHelp ? aContext.mOut : aContext.mError,
                  aIsHelp ? group : "");
    return aIsHelp ? ExitCode::Ok : ExitCode::Usage;
  }
  if (aIsHelp) {
    PrintUsage(aContext.mOut, *command);
    return ExitCode::Ok;
  }
  const std::size_t count = aContext.mArguments.size();
  if (count < command->mMinArguments || count > command->mMaxArguments) {
    PrintUsage(aContext.mError, *command);
    return ExitCode::Usage;
  }
  return command->mRun(aContext);
}

ExitCode
ReportFailure(CommandContext& aContext, const ControlResponse& aResponse)
{
  if (aContext.mFormat == OutputFormat::Json && aResponse.mStatus != 0) {
    aContext.mOut << aResponse.mBody.dump(2) << "\n";
  }
  if (aResponse.mStatus == 0) {
    aContext.mError << (aResponse.mIsInDoubt ? "in doubt: " : "unreachable: ")
                    << aResponse.mText << "\n";
    return aResponse.mIsInDoubt ? ExitCode::InDoubt : ExitCode::Unreachable;
  }
  const json error = aResponse.mBody.value("error", json::object());
  const std::string code =
    error.is_object() ? error.value("code", "refused") : "refused";
  const std::string message =
    error.is_object() ? error.value("message", "") : "";
  aContext.mError << code << ": " << message << "\n";
  if (aResponse.mBody.contains("silent_zones")) {
    aContext.mError << "silent zones: "
                    << aResponse.mBody["silent_zones"].dump() << " silent VMs: "
                    << aResponse.mBody.value("silent_vms", json()).dump()
                    << "\n";
  }
  if (aResponse.mBody.contains("changed")) {
    aContext.mError << "changed meanwhile:\n"
                    << FormatChanges(aResponse.mBody["changed"]);
  }
  for (const ErrorCodeMapping& it : kErrorCodes) {
    if (it.mCode == code) {
      return it.mExit;
    }
  }
  return ExitCode::Refused;
}

void
PrintResponse(CommandContext& aContext,
              const json& aBody,
              const std::string& aText)
{
  if (aContext.mFormat == OutputFormat::Json) {
    aContext.mOut << aBody.dump(2) << "\n";
    return;
  }
  aContext.mOut << aText;
}

ExitCode
WaitUntilInForce(CommandContext& aContext, const json& aResponse)
{
  if (!aContext.mShouldWait || aResponse.value("in_force", false)) {
    return ExitCode::Ok;
  }
  const std::uint64_t version = aResponse.value("version", std::uint64_t(0));
  ControlRequest request;
  request.mPath = "/admin/v1/changes/" + std::to_string(version) + "/in_force";
  const auto deadline =
    std::chrono::steady_clock::now() + aContext.mWaitTimeout;
  while (true) {
    const ControlResponse response = aContext.mControl.Send(request);
    if (response.IsSuccess() && response.mBody.value("in_force", false)) {
      PrintResponse(aContext, response.mBody, "in force everywhere\n");
      return ExitCode::Ok;
    }
    if (std::chrono::steady_clock::now() >= deadline) {
      aContext.mError << "accepted, but not in force everywhere yet: "
                      << response.mBody.value("waiting", json()).dump() << "\n";
      return ExitCode::InDoubt;
    }
    std::this_thread::sleep_for(kWaitPollInterval);
  }
}

ExitCode
SubmitEdits(CommandContext& aContext,
            std::uint64_t aBaseVersion,
            const json& aEdits)
{
  ControlRequest request;
  request.mMethod = "POST";
  request.mPath = "/admin/v1/changes";
  request.mBody = { { "base_version", aBaseVersion }, { "edits", aEdits } };
  if (!aContext.mOverrideReason.empty()) {
    request.mBody["override_reason"] = aContext.mOverrideReason;
  }
  return ReportChange(aContext, aContext.mControl.Send(request));
}

ExitCode
ReportChange(CommandContext& aContext, const ControlResponse& aResponse)
{
  if (!aResponse.IsSuccess()) {
    return ReportFailure(aContext, aResponse);
  }
  PrintResponse(aContext,
                aResponse.mBody,
                "accepted as version " +
                  aResponse.mBody.value("version", json()).dump() + "\n");
  return WaitUntilInForce(aContext, aResponse.mBody);
}

std::optional<FetchedConfig>
FetchConfig(CommandContext& aContext, const std::string& aPath, ExitCode* aExit)
{
  ControlRequest request;
  request.mPath = "/admin/v1/config" + aPath;
  const ControlResponse response = aContext.mControl.Send(request);
  if (!response.IsSuccess()) {
    *aExit = ReportFailure(aContext, response);
    return std::nullopt;
  }
  FetchedConfig config;
  config.mVersion = response.mBody.value("version", std::uint64_t(0));
  config.mItems = response.mBody.contains("items")
                    ? response.mBody["items"]
                    : json::array({ response.mBody });
  return config;
}

bool
ParseFields(CommandContext& aContext, std::size_t aFirst, json& aItem)
{
  for (std::size_t n = aFirst; n < aContext.mArguments.size(); ++n) {
    const std::string& argument = aContext.mArguments[n];
    const std::size_t equals = argument.find('=');
    if (equals == std::string::npos || equals == 0) {
      aContext.mError << "\"" << argument << "\" must be FIELD=VALUE\n";
      return false;
    }
    const std::string field = argument.substr(0, equals);
    const std::string text = argument.substr(equals + 1);
    if (text.empty()) {
      aItem.erase(field);
      continue;
    }
    const json value = json::parse(text, nullptr, false);
    aItem[field] = value.is_discarded() ? json(text) : value;
  }
  return true;
}

} // namespace peridothoist
