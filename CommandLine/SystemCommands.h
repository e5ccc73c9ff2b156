/// Commands about keys, the state of the system, outcomes in doubt, orders to
/// upstreams, and whole files of items.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <CommandLine/Command.h>

namespace peridothoist::ctl {

/// Appends these commands.
void
AddSystemCommands(std::vector<Command>& aCommands);

} // namespace peridothoist::ctl
