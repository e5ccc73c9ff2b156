/// Commands on single items: workspaces, pools, upstreams, routes, defaults
/// and exceptions.
#pragma once

#include <CommandLine/Command.h>

namespace peridothoist {

/// Their rows.
std::vector<Command>
ItemCommands();

} // namespace peridothoist
