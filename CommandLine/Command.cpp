/// Finding and running commands, and what they share.
#include <Peridothoist/Peridothoist.h>
#include <CommandLine/Command.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <thread>

namespace peridothoist {

namespace {

using nlohmann::json;

/// An error code of the admin API and the exit code for it.
struct CodeEntry
{
  std::string_view mCode;
  ExitCode mExit;
};

constexpr CodeEntry kCodes[] = {
  { "invalid", ExitCode::Refused },   { "not_found", ExitCode::Refused },
  { "refused", ExitCode::Refused },   { "conflict", ExitCode::Conflict },
  { "in_doubt", ExitCode::InDoubt },  { "unreachable", ExitCode::Unreachable },
  { "stale", ExitCode::Unreachable }, { "full", ExitCode::Unreachable },
};

constexpr Duration kWaitPoll = std::chrono::milliseconds(50);

std::string
NameOf(const Command& aCommand)
{
  const std::string group = aCommand.mGroup;
  return *aCommand.mVerb == 0 ? group : group + " " + aCommand.mVerb;
}

void
PrintUsage(std::ostream& aOut, const Command& aCommand)
{
  aOut << "  peridothoistctl " << NameOf(aCommand) << " " << aCommand.mArguments
       << "\n      " << aCommand.mHelp << "\n";
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
    const std::size_t words = hasVerb ? 2 : 1;
    if (aArguments.size() < words || aArguments[0] != it.mGroup ||
        (hasVerb && aArguments[1] != it.mVerb)) {
      continue;
    }
    aArguments.erase(aArguments.begin(),
                     aArguments.begin() + static_cast<std::ptrdiff_t>(words));
    return &it;
  }
  return nullptr;
}

std::string
ChangedText(const json& aChanged)
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
  return command != nullptr && command->mLocal;
}

ExitCode
RunCommand(CommandContext& aContext, bool aHelp)
{
  const std::string group =
    aContext.mArguments.empty() ? "" : aContext.mArguments.front();
  const Command* command = FindCommand(aContext.mArguments);
  if (command == nullptr) {
    PrintAllUsage(aHelp ? aContext.mOut : aContext.mError, aHelp ? group : "");
    return aHelp ? ExitCode::Ok : ExitCode::Usage;
  }
  if (aHelp) {
    PrintUsage(aContext.mOut, *command);
    return ExitCode::Ok;
  }
  const std::size_t count = aContext.mArguments.size();
  if (count < command->mLeast || count > command->mMost) {
    PrintUsage(aContext.mError, *command);
    return ExitCode::Usage;
  }
  return command->mRun(aContext);
}

ExitCode
ReportFailure(CommandContext& aContext, const ControlAnswer& aAnswer)
{
  if (aContext.mForm == OutputForm::Json && aAnswer.mStatus != 0) {
    aContext.mOut << aAnswer.mBody.dump(2) << "\n";
  }
  if (aAnswer.mStatus == 0) {
    aContext.mError << (aAnswer.mInDoubt ? "in doubt: " : "unreachable: ")
                    << aAnswer.mText << "\n";
    return aAnswer.mInDoubt ? ExitCode::InDoubt : ExitCode::Unreachable;
  }
  const json error = aAnswer.mBody.value("error", json::object());
  const std::string code =
    error.is_object() ? error.value("code", "refused") : "refused";
  const std::string message =
    error.is_object() ? error.value("message", "") : "";
  aContext.mError << code << ": " << message << "\n";
  if (aAnswer.mBody.contains("silent_zones")) {
    aContext.mError << "silent zones: " << aAnswer.mBody["silent_zones"].dump()
                    << " silent VMs: "
                    << aAnswer.mBody.value("silent_vms", json()).dump() << "\n";
  }
  if (aAnswer.mBody.contains("changed")) {
    aContext.mError << "changed meanwhile:\n"
                    << ChangedText(aAnswer.mBody["changed"]);
  }
  for (const CodeEntry& it : kCodes) {
    if (it.mCode == code) {
      return it.mExit;
    }
  }
  return ExitCode::Refused;
}

void
PrintAnswer(CommandContext& aContext,
            const json& aBody,
            const std::string& aText)
{
  if (aContext.mForm == OutputForm::Json) {
    aContext.mOut << aBody.dump(2) << "\n";
    return;
  }
  aContext.mOut << aText;
}

ExitCode
WaitInForce(CommandContext& aContext, const json& aAnswer)
{
  if (!aContext.mWait || aAnswer.value("in_force", false)) {
    return ExitCode::Ok;
  }
  const std::uint64_t version = aAnswer.value("version", std::uint64_t(0));
  ControlCall call;
  call.mPath = "/admin/v1/changes/" + std::to_string(version) + "/in_force";
  const auto until = std::chrono::steady_clock::now() + aContext.mWaitLimit;
  while (true) {
    const ControlAnswer answer = aContext.mControl.Call(call);
    if (answer.Ok() && answer.mBody.value("in_force", false)) {
      PrintAnswer(aContext, answer.mBody, "in force everywhere\n");
      return ExitCode::Ok;
    }
    if (std::chrono::steady_clock::now() >= until) {
      aContext.mError << "accepted, but not in force everywhere yet: "
                      << answer.mBody.value("waiting", json()).dump() << "\n";
      return ExitCode::InDoubt;
    }
    std::this_thread::sleep_for(kWaitPoll);
  }
}

ExitCode
SubmitEdits(CommandContext& aContext,
            std::uint64_t aBaseVersion,
            const json& aEdits)
{
  ControlCall call;
  call.mMethod = "POST";
  call.mPath = "/admin/v1/changes";
  call.mBody = { { "base_version", aBaseVersion }, { "edits", aEdits } };
  if (!aContext.mOverrideReason.empty()) {
    call.mBody["override_reason"] = aContext.mOverrideReason;
  }
  return ReportChange(aContext, aContext.mControl.Call(call));
}

ExitCode
ReportChange(CommandContext& aContext, const ControlAnswer& aAnswer)
{
  if (!aAnswer.Ok()) {
    return ReportFailure(aContext, aAnswer);
  }
  PrintAnswer(aContext,
              aAnswer.mBody,
              "accepted as version " +
                aAnswer.mBody.value("version", json()).dump() + "\n");
  return WaitInForce(aContext, aAnswer.mBody);
}

std::optional<FetchedConfig>
FetchConfig(CommandContext& aContext, const std::string& aPath, ExitCode* aExit)
{
  ControlCall call;
  call.mPath = "/admin/v1/config" + aPath;
  const ControlAnswer answer = aContext.mControl.Call(call);
  if (!answer.Ok()) {
    *aExit = ReportFailure(aContext, answer);
    return std::nullopt;
  }
  FetchedConfig config;
  config.mVersion = answer.mBody.value("version", std::uint64_t(0));
  config.mItems = answer.mBody.contains("items")
                    ? answer.mBody["items"]
                    : json::array({ answer.mBody });
  return config;
}

bool
ReadFields(CommandContext& aContext, std::size_t aFirst, json& aItem)
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
