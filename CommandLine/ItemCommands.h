/// Commands that act on single items: workspaces, pools, upstreams, routes,
/// defaults and exceptions.
#pragma once

#include <CommandLine/Command.h>

namespace peridothoist {

/// Returns the rows of these commands for the command table.
std::vector<Command>
ItemCommands();

} // namespace peridothoist
