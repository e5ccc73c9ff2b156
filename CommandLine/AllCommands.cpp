/// Table of all commands.
#include <Peridothoist/Peridothoist.h>
#include <CommandLine/Command.h>

#include <CommandLine/ControlCommands.h>
#include <CommandLine/ItemCommands.h>
#include <CommandLine/LogCommands.h>

namespace peridothoist {

const std::vector<Command>&
AllCommands()
{
  static const std::vector<Command> commands = [] {
    std::vector<Command> all = ItemCommands();
    const std::vector<Command> more = ControlCommands();
    all.insert(all.end(), more.begin(), more.end());
    const std::vector<Command> logs = LogCommands();
    all.insert(all.end(), logs.begin(), logs.end());
    return all;
  }();
  return commands;
}

} // namespace peridothoist
