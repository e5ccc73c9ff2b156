/// Commands that analyse logs and make no calls.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <CommandLine/Command.h>

namespace peridothoist {

/// Returns the rows of these commands for the command table.
std::vector<Command>
LogCommands();

} // namespace peridothoist
