/// peridothoistctl: command line tool for operators.
#include <Peridothoist/Peridothoist.h>
#include <CommandLine/Command.h>
#include <CommandLine/ControlClient.h>

#include <Peridothoist/Shell/FlagsFromEnvironment.h>

#include <algorithm>
#include <iostream>

#include <gflags/gflags.h>

DEFINE_string(control,
              "",
              "control processes to try in this order: http://ip:port,...");
DEFINE_string(operator_key, "", "API key of the operator");
DEFINE_string(output, "text", "output format: text or json");
DEFINE_string(reason, "", "the operator's reason for the command");
DEFINE_string(override_reason,
              "",
              "reason for accepting a change although zones don't respond");
DEFINE_string(verdict, "", "whether the request ran: ran or not_run");
DEFINE_string(name, "", "name of the key to create");
DEFINE_bool(wait, false, "wait until the change is in force everywhere");
DEFINE_bool(yes, false, "apply the changes that were shown");
DEFINE_bool(undo, false, "undo the draining of an upstream");

namespace {

using namespace peridothoist;

/// Removes --help from the arguments, since gflags would handle it itself.
/// Returns whether it was given.
bool
RemoveHelpFlag(int* aArgc, char** aArgv)
{
  char** const end = aArgv + *aArgc;
  char** const newEnd = std::remove_if(aArgv + 1, end, [](const char* aText) {
    const std::string_view text = aText;
    return text == "--help" || text == "-h";
  });
  const bool isFound = newEnd != end;
  *aArgc = static_cast<int>(newEnd - aArgv);
  aArgv[*aArgc] = nullptr;
  return isFound;
}

int
UsageError(const std::string& aText)
{
  std::cerr << aText << "\n";
  return static_cast<int>(ExitCode::Usage);
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  const bool isHelp = RemoveHelpFlag(&aArgc, aArgv);
  std::string text;
  if (!ReadFlags(&aArgc, &aArgv, &text)) {
    return UsageError(text);
  }
  if (FLAGS_output != "text" && FLAGS_output != "json") {
    return UsageError("output is \"" + FLAGS_output +
                      "\", must be text or json");
  }
  ControlClientSettings settings;
  settings.mControls = SplitCommaSeparated(FLAGS_control);
  settings.mOperatorKey = FLAGS_operator_key;
  std::vector<std::string> arguments(aArgv + 1, aArgv + aArgc);
  const bool makesCalls = !isHelp && !IsLocalCommand(arguments);
  if (makesCalls && settings.mControls.empty()) {
    return UsageError("control is empty, must be http://ip:port,...");
  }
  if (makesCalls && settings.mOperatorKey.empty()) {
    return UsageError(
      "operator_key is empty; set it or PERIDOTHOIST_OPERATOR_KEY");
  }
  ControlClient client(settings);
  CommandContext context(client, std::cout, std::cerr);
  context.mFormat =
    FLAGS_output == "json" ? OutputFormat::Json : OutputFormat::Text;
  context.mReason = FLAGS_reason;
  context.mOverrideReason = FLAGS_override_reason;
  context.mVerdict = FLAGS_verdict;
  context.mName = FLAGS_name;
  context.mShouldWait = FLAGS_wait;
  context.mShouldApply = FLAGS_yes;
  context.mShouldUndo = FLAGS_undo;
  context.mIn = &std::cin;
  context.mArguments = std::move(arguments);
  return static_cast<int>(RunCommand(context, isHelp));
}
