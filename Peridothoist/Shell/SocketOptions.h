/// Socket options for the connections of the HTTP server and client.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist::detail {

/// Enables TCP keepalive probes. A connection then fails within seconds when
/// its peer disappears without closing it, such as a VM that lost its network,
/// even while there is nothing to send.
void
EnableKeepAlive(int aSocket);

} // namespace peridothoist::detail
