/// Socket options for the connections of the HTTP server and client.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist::detail {

/// Enables TCP keepalive probes. A connection then fails within seconds when
/// its peer disappears without closing it, such as a VM that lost its network,
/// even while there is nothing to send.
void
EnableKeepAlive(int aSocket);

/// Bounds the kernel's memory for bytes that the peer has not read. A slow
/// reader otherwise occupies several MB, and shows no progress for as long as
/// it takes to read a third of them.
void
LimitSendBuffer(int aSocket);

/// Bounds the kernel's memory for bytes that this process has not read, which
/// it does not while a call is paused.
void
LimitReceiveBuffer(int aSocket);

} // namespace peridothoist::detail
