/// peridothoistctl: operators' command line. Every change goes through a
/// control process; nothing here talks to the platform.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/FlagsFromEnvironment.h>
#include <Peridothoist/Shell/Log.h>

#include <CommandLine/Command.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>

DEFINE_string(control,
              "http://127.0.0.1:7003",
              "control processes' admin addresses, tried in order");
DEFINE_string(operator_key, "", "operator's key");
DEFINE_string(output, "text", "text or json");
DEFINE_string(reason, "", "written reason, kept with the change");
DEFINE_string(override_reason,
              "",
              "accept a change although zones are silent, and why");
DEFINE_bool(dry_run, false, "check a change and change nothing");
DEFINE_bool(yes, false, "apply what was shown");
DEFINE_bool(wait, false, "wait until the change is in force everywhere");
DEFINE_double(timeout, 15, "seconds to wait for one answer");

namespace {

using namespace peridothoist;
using namespace peridothoist::ctl;

std::vector<std::string>
SplitByComma(const std::string& aText)
{
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start < aText.size()) {
    const std::size_t end = std::min(aText.find(',', start), aText.size());
    parts.push_back(aText.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

bool
WantsHelp(int aArgc, char** aArgv)
{
  return std::any_of(aArgv + 1, aArgv + aArgc, [](const char* aWord) {
    const std::string_view word = aWord;
    return word == "--help" || word == "-h" || word == "help";
  });
}

std::vector<std::string>
WordsOf(int aArgc, char** aArgv)
{
  std::vector<std::string> words;
  for (int n = 1; n < aArgc; ++n) {
    const std::string word = aArgv[n];
    if (word.rfind('-', 0) != 0 && word != "help") {
      words.push_back(word);
    }
  }
  return words;
}

ExitCode
RunCommand(const Command& aCommand, const std::vector<std::string>& aWords)
{
  const auto form = OutputFormFromName(FLAGS_output);
  if (!form) {
    return Output::FailUsage("output: \"" + FLAGS_output +
                             "\"; allowed: text, json");
  }
  const std::size_t own = *aCommand.mVerb == '\0' ? 1 : 2;
  if (aWords.size() < own + aCommand.mLeast) {
    std::cerr << HelpOf(aWords);
    return ExitCode::Usage;
  }
  AdminClientSettings settings;
  settings.mControls = SplitByComma(FLAGS_control);
  settings.mOperatorKey = FLAGS_operator_key;
  settings.mTimeout = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(FLAGS_timeout));
  const auto client = AdminClient::Create(settings);
  if (client == nullptr) {
    return Output::FailUsage("no event loop can be made");
  }
  const Output output(*form);
  CommandContext context{ *client, output, {}, {}, {}, false, false, false };
  context.mArguments.assign(aWords.begin() + static_cast<std::ptrdiff_t>(own),
                            aWords.end());
  context.mReason = FLAGS_reason;
  context.mOverrideReason = FLAGS_override_reason;
  context.mYes = FLAGS_yes;
  context.mDryRun = FLAGS_dry_run;
  context.mWait = FLAGS_wait;
  return aCommand.mRun(context);
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  if (aArgc < 2 || WantsHelp(aArgc, aArgv)) {
    std::cout << HelpOf(WordsOf(aArgc, aArgv));
    return static_cast<int>(aArgc < 2 ? ExitCode::Usage : ExitCode::Ok);
  }
  std::string fault;
  if (!ReadFlags(&aArgc, &aArgv, &fault)) {
    return static_cast<int>(Output::FailUsage(fault));
  }
  const std::vector<std::string> words = WordsOf(aArgc, aArgv);
  const Command* command = FindCommand(words);
  if (command == nullptr) {
    std::cerr << HelpOf(words);
    return static_cast<int>(ExitCode::Usage);
  }
  return static_cast<int>(RunCommand(*command, words));
}
