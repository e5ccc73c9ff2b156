/// Options of the sockets towards callers and services.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist::detail {

/// Makes the kernel probe a silent connection, so that one whose other end
/// vanished without a word (a VM that was cut off) fails within seconds, also
/// while nothing is to be sent on it.
void
ProbeWhenSilent(int aSocket);

} // namespace peridothoist::detail
