/// One caller's connection as the HTTP server keeps it.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/ServerConnection.h>

// The kernel's header: the C library's tcp_info lacks tcpi_bytes_received.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace peridothoist::detail {

ServerConnection::ServerConnection(MHD_Connection* aHandle, TimePoint aNow)
  : mHandle(aHandle)
  , mDescriptor(
      MHD_get_connection_info(aHandle, MHD_CONNECTION_INFO_CONNECTION_FD)
        ->connect_fd)
  , mSince(aNow)
{
}

void
ServerConnection::Enter(ConnectionPhase aPhase, TimePoint aNow)
{
  mPhase = aPhase;
  mSince = aNow;
  mPartSeen.reset();
  if (aPhase == ConnectionPhase::Idle) {
    mReceivedBefore = BytesReceived();
  }
}

bool
ServerConnection::HasPartOfRequest() const
{
  return BytesReceived() > mReceivedBefore;
}

bool
ServerConnection::IsTooSlow(const HttpServerSettings& aSettings, TimePoint aNow)
{
  switch (mPhase) {
    case ConnectionPhase::Answering:
      return false;
    case ConnectionPhase::Reading:
      return aNow - mSince > aSettings.mRequestTimeout;
    case ConnectionPhase::Idle:
      break;
  }
  if (!mPartSeen && HasPartOfRequest()) {
    mPartSeen = aNow;
  }
  return mPartSeen && aNow - *mPartSeen > aSettings.mRequestTimeout;
}

void
ServerConnection::ShutDown() const
{
  ::shutdown(mDescriptor, SHUT_RDWR);
}

std::uint64_t
ServerConnection::BytesReceived() const
{
  tcp_info info = {};
  socklen_t size = sizeof(info);
  if (::getsockopt(mDescriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return 0;
  }
  return info.tcpi_bytes_received;
}

} // namespace peridothoist::detail
