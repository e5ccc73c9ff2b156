/// The HTTP server's state of one caller's connection.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/ServerConnection.h>

// The kernel's header is needed because the C library's tcp_info has no
// tcpi_bytes_received.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace peridothoist::detail {

ServerConnection::ServerConnection(MHD_Connection* aHandle, TimePoint aNow)
  : mHandle(aHandle)
  , mDescriptor(
      MHD_get_connection_info(aHandle, MHD_CONNECTION_INFO_CONNECTION_FD)
        ->connect_fd)
  , mPhaseStartedAt(aNow)
{
}

void
ServerConnection::EnterPhase(ConnectionPhase aPhase, TimePoint aNow)
{
  mPhase = aPhase;
  mPhaseStartedAt = aNow;
  mPartialRequestSeenAt.reset();
  if (aPhase == ConnectionPhase::Idle) {
    mBytesBeforeRequest = BytesReceived();
  }
}

bool
ServerConnection::IsReceivingRequest() const
{
  return mPhase == ConnectionPhase::Reading ||
         (mPhase == ConnectionPhase::Idle && HasPartialRequest());
}

/// Returns whether bytes of the next request have been received. Used while
/// idle, when libmicrohttpd has not reported the request yet.
bool
ServerConnection::HasPartialRequest() const
{
  return BytesReceived() > mBytesBeforeRequest;
}

bool
ServerConnection::HasRequestTimedOut(const HttpServerSettings& aSettings,
                                     TimePoint aNow)
{
  switch (mPhase) {
    case ConnectionPhase::Responding:
      return false;
    case ConnectionPhase::Reading:
      return aNow - mPhaseStartedAt > aSettings.mRequestTimeout;
    case ConnectionPhase::Idle:
      break;
  }
  if (!mPartialRequestSeenAt && HasPartialRequest()) {
    mPartialRequestSeenAt = aNow;
  }
  return mPartialRequestSeenAt &&
         aNow - *mPartialRequestSeenAt > aSettings.mRequestTimeout;
}

void
ServerConnection::ShutDown()
{
  mIsShutDown = true;
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
