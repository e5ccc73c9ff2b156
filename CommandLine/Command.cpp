#include <Peridothoist/Peridothoist.h>
#include <CommandLine/Command.h>

#include <CommandLine/ItemCommands.h>
#include <CommandLine/SystemCommands.h>

namespace peridothoist::ctl {

namespace {

constexpr const char* kOptions =
  "\noptions:\n"
  "  --control=http://ip:port[,...]  control processes, tried in order\n"
  "  --operator_key=KEY              also PERIDOTHOIST_OPERATOR_KEY\n"
  "  --output=text|json              form of the output\n"
  "  --dry_run                       check a change and change nothing\n"
  "  --yes                           apply what was shown\n"
  "  --wait                          wait until in force everywhere\n"
  "  --reason=TEXT                   written reason, kept with the change\n"
  "  --override_reason=TEXT          accept a change although zones are "
  "silent\n"
  "\nexit codes: 0 ok, 1 usage, 2 refused, 3 conflict, 4 unreachable, "
  "5 in doubt\n";

std::string
LineOf(const Command& aCommand)
{
  std::string line = "  ";
  line += aCommand.mGroup;
  for (const char* word : { aCommand.mVerb, aCommand.mArguments }) {
    if (*word != '\0') {
      line += ' ';
      line += word;
    }
  }
  return line + "\n      " + aCommand.mHelp + "\n";
}

bool
Matches(const Command& aCommand, const std::vector<std::string>& aWords)
{
  if (aWords.empty() || aWords[0] != aCommand.mGroup) {
    return false;
  }
  const std::string verb = aCommand.mVerb;
  return verb.empty() || (aWords.size() > 1 && aWords[1] == verb);
}

} // namespace

const std::vector<Command>&
Commands()
{
  static const std::vector<Command> kCommands = [] {
    std::vector<Command> commands;
    AddSystemCommands(commands);
    AddItemCommands(commands);
    return commands;
  }();
  return kCommands;
}

const Command*
FindCommand(const std::vector<std::string>& aWords)
{
  for (const Command& command : Commands()) {
    if (Matches(command, aWords)) {
      return &command;
    }
  }
  return nullptr;
}

std::string
HelpOf(const std::vector<std::string>& aWords)
{
  const Command* found = FindCommand(aWords);
  std::string text = "usage: peridothoistctl COMMAND [ARGUMENTS] [OPTIONS]\n\n";
  for (const Command& command : Commands()) {
    const bool inGroup = aWords.empty() || aWords[0] == command.mGroup;
    const bool wanted = found != nullptr ? found == &command : inGroup;
    if (wanted) {
      text += LineOf(command);
    }
  }
  return text + kOptions;
}

} // namespace peridothoist::ctl
