/// Commands that aren't about one item: keys, apply, drain, status, outcomes
/// and orders.
#pragma once

#include <CommandLine/Command.h>

namespace peridothoist {

/// Their rows.
std::vector<Command>
ControlCommands();

} // namespace peridothoist
