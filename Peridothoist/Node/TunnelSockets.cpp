#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/TunnelSockets.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <cerrno>

namespace peridothoist::detail {

SystemAddress
ToSystemAddress(const SocketAddress& aAddress)
{
  SystemAddress address;
  auto* v4 = reinterpret_cast<sockaddr_in*>(&address.mStorage);
  if (::inet_pton(AF_INET, aAddress.mIp.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(aAddress.mPort);
    address.mSize = sizeof(*v4);
    return address;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.mStorage);
  ::inet_pton(AF_INET6, aAddress.mIp.c_str(), &v6->sin6_addr);
  v6->sin6_family = AF_INET6;
  v6->sin6_port = htons(aAddress.mPort);
  address.mSize = sizeof(*v6);
  return address;
}

int
OpenSocket(const SystemAddress& aAddress)
{
  return ::socket(
    aAddress.mStorage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

void
ResetOnClose(int aSocket)
{
  const linger option = { 1, 0 };
  ::setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

void
SendWithoutDelay(int aSocket)
{
  const int enabled = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

bool
WouldBlock()
{
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace peridothoist::detail
