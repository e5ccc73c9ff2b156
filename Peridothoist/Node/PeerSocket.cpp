#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/PeerSocket.h>

#include <ace/INET_Addr.h>

namespace peridothoist {

namespace {

/// Maximum size of a UDP datagram in bytes.
constexpr std::size_t kMaxDatagramBytes = 65536;

/// Maximum number of datagrams received per readiness event.
constexpr int kMaxDatagramsPerEvent = 64;

} // namespace

std::unique_ptr<PeerSocket>
PeerSocket::Create(const std::string& aAddress,
                   Reactor* aReactor,
                   PeerSocketListener* aListener)
{
  std::unique_ptr<PeerSocket> socket(new PeerSocket(aReactor, aListener));
  const ACE_INET_Addr address(aAddress.c_str());
  const bool isOpen = socket->mSocket.open(address, AF_INET) == 0 &&
                      socket->mSocket.enable(ACE_NONBLOCK) == 0;
  if (!isOpen || !aReactor->Watch(socket->mSocket.get_handle(), socket.get())) {
    return nullptr;
  }
  return socket;
}

PeerSocket::PeerSocket(Reactor* aReactor, PeerSocketListener* aListener)
  : mReactor(aReactor)
  , mListener(aListener)
  , mBuffer(kMaxDatagramBytes)
{
}

PeerSocket::~PeerSocket()
{
  if (mSocket.get_handle() != ACE_INVALID_HANDLE) {
    mReactor->Unwatch(mSocket.get_handle());
    mSocket.close();
  }
}

void
PeerSocket::Send(const std::string& aAddress, const std::string& aBytes)
{
  const ACE_INET_Addr address(aAddress.c_str());
  mSocket.send(aBytes.data(), aBytes.size(), address);
}

void
PeerSocket::OnReadable(int /*aDescriptor*/)
{
  for (int i = 0; i < kMaxDatagramsPerEvent; ++i) {
    ACE_INET_Addr from;
    const ssize_t n = mSocket.recv(mBuffer.data(), mBuffer.size(), from);
    if (n < 0) {
      return;
    }
    mListener->OnMessage({ mBuffer.data(), static_cast<std::size_t>(n) });
    if (mReactor->IsTurnOver()) {
      return;
    }
  }
}

} // namespace peridothoist
