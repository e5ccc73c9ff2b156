/// Commands that don't act on a single item: keys, apply, drain, status,
/// outcomes and orders.
#pragma once

#include <CommandLine/Command.h>

namespace peridothoist {

/// Returns the rows of these commands for the command table.
std::vector<Command>
ControlCommands();

} // namespace peridothoist
