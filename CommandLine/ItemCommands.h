/// Commands that act on single items: workspaces, pools, upstreams, routes,
/// defaults and exceptions.
#pragma once

#include <CommandLine/Command.h>

namespace peridothoist {

/// Returns the commands of this group.
std::vector<Command>
ItemCommands();

} // namespace peridothoist
