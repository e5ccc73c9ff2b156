/// Plain non-blocking TCP sockets, as tunnels need them.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/FlagsFromEnvironment.h>

#include <sys/socket.h>

namespace peridothoist::detail {

/// A socket address in the system's form.
struct SystemAddress
{
  sockaddr_storage mStorage = {};
  socklen_t mSize = 0;

  const sockaddr* Get() const
  {
    return reinterpret_cast<const sockaddr*>(&mStorage);
  }
};

SystemAddress
ToSystemAddress(const SocketAddress& aAddress);

/// Returns a descriptor, or a negative number when none is available.
int
OpenSocket(const SystemAddress& aAddress);

/// Makes close(), also that of a process that is killed, reset the connection.
/// The other side must not take it for the end of a response.
void
ResetOnClose(int aSocket);

void
SendWithoutDelay(int aSocket);

/// Returns whether the last call on a socket only has to be made again later.
bool
WouldBlock();

} // namespace peridothoist::detail
