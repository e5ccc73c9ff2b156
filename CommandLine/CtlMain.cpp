/// peridothoistctl: the operators' command line.
#include <Peridothoist/Peridothoist.h>
#include <CommandLine/Command.h>
#include <CommandLine/ControlClient.h>

#include <Peridothoist/Shell/FlagsFromEnvironment.h>

#include <algorithm>
#include <iostream>

#include <gflags/gflags.h>

DEFINE_string(control, "", "control processes, http://ip:port,..., in order");
DEFINE_string(operator_key, "", "the operator's key");
DEFINE_string(output, "text", "text or json");
DEFINE_string(reason, "", "why, in the operator's words");
DEFINE_string(override_reason, "", "accept although zones are silent, and why");
DEFINE_string(verdict, "", "ran or not_run");
DEFINE_string(name, "", "name of the new key");
DEFINE_bool(wait, false, "wait until the change is in force everywhere");
DEFINE_bool(yes, false, "apply what was shown");
DEFINE_bool(undo, false, "take a drained upstream back");

namespace {

using namespace peridothoist;

/// Takes --help out of the arguments, which gflags would answer itself.
bool
TakeHelp(int* aArgc, char** aArgv)
{
  char** const end = aArgv + *aArgc;
  char** const kept = std::remove_if(aArgv + 1, end, [](const char* aText) {
    const std::string_view text = aText;
    return text == "--help" || text == "-h";
  });
  const bool found = kept != end;
  *aArgc = static_cast<int>(kept - aArgv);
  aArgv[*aArgc] = nullptr;
  return found;
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
  const bool help = TakeHelp(&aArgc, aArgv);
  std::string text;
  if (!ReadFlags(&aArgc, &aArgv, &text)) {
    return UsageError(text);
  }
  if (FLAGS_output != "text" && FLAGS_output != "json") {
    return UsageError("output is \"" + FLAGS_output +
                      "\", must be text or json");
  }
  ControlClientSettings settings;
  settings.mControls = SplitSetting(FLAGS_control);
  settings.mOperatorKey = FLAGS_operator_key;
  std::vector<std::string> arguments(aArgv + 1, aArgv + aArgc);
  const bool calls = !help && !IsLocalCommand(arguments);
  if (calls && settings.mControls.empty()) {
    return UsageError("control is empty, must be http://ip:port,...");
  }
  if (calls && settings.mOperatorKey.empty()) {
    return UsageError(
      "operator_key is empty; set it or PERIDOTHOIST_OPERATOR_KEY");
  }
  ControlClient client(settings);
  CommandContext context(client, std::cout, std::cerr);
  context.mForm = FLAGS_output == "json" ? OutputForm::Json : OutputForm::Text;
  context.mReason = FLAGS_reason;
  context.mOverrideReason = FLAGS_override_reason;
  context.mVerdict = FLAGS_verdict;
  context.mName = FLAGS_name;
  context.mWait = FLAGS_wait;
  context.mYes = FLAGS_yes;
  context.mUndo = FLAGS_undo;
  context.mIn = &std::cin;
  context.mArguments = std::move(arguments);
  return static_cast<int>(RunCommand(context, help));
}
