/// Commands that analyse logs and make no calls.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <CommandLine/Command.h>

namespace peridothoist {

/// Returns the commands of this group.
std::vector<Command>
LogCommands();

} // namespace peridothoist
