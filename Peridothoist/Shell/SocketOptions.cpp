/// Socket options for the connections of the HTTP server and client.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/SocketOptions.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace peridothoist::detail {

namespace {

// The time to detect a lost peer is
// kIdleSeconds + kProbes * kIntervalSeconds.
constexpr int kIdleSeconds = 5;
constexpr int kIntervalSeconds = 2;
constexpr int kProbes = 3;

/// The kernel doubles the sizes. At a round trip of 1 ms they allow 128 MB a
/// second for each connection.
constexpr int kSendBufferBytes = 128 * 1024;
constexpr int kReceiveBufferBytes = 128 * 1024;

void
SetOption(int aSocket, int aLevel, int aOption, int aValue)
{
  ::setsockopt(aSocket, aLevel, aOption, &aValue, sizeof(aValue));
}

} // namespace

void
EnableKeepAlive(int aSocket)
{
  SetOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kIdleSeconds);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kIntervalSeconds);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

void
LimitSendBuffer(int aSocket)
{
  SetOption(aSocket, SOL_SOCKET, SO_SNDBUF, kSendBufferBytes);
}

void
LimitReceiveBuffer(int aSocket)
{
  SetOption(aSocket, SOL_SOCKET, SO_RCVBUF, kReceiveBufferBytes);
}

} // namespace peridothoist::detail
