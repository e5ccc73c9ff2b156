/// Commands that read logs and call nobody.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <CommandLine/Command.h>

namespace peridothoist {

/// Rows of this group.
std::vector<Command>
LogCommands();

} // namespace peridothoist
