/// Datagram socket for the short messages between VMs. UDP suffices because the
/// next message replaces a lost one, and there is no connection that can stall.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/PeerSender.h>
#include <Peridothoist/Shell/Reactor.h>

#include <ace/SOCK_Dgram.h>

namespace peridothoist {

/// Receives the messages of a PeerSocket.
class PeerSocketListener
{
public:
  virtual ~PeerSocketListener() = default;

  /// Called for each datagram; aBytes is valid during the call only.
  virtual void OnMessage(std::string_view aBytes) = 0;
};

/// A datagram socket that is registered with the reactor.
class PeerSocket
  : public DescriptorListener
  , public PeerSender
{
public:
  /// Listens on aAddress, "ip:port". Returns nullptr if that fails. The
  /// pointers are not owned.
  static std::unique_ptr<PeerSocket> Create(const std::string& aAddress,
                                            Reactor* aReactor,
                                            PeerSocketListener* aListener);
  ~PeerSocket() override;
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  // See: PeerSender. Drops the datagram if the socket cannot take it now.
  void Send(const std::string& aAddress, const std::string& aBytes) override;
  // See: DescriptorListener
  void OnReadable(int aDescriptor) override;

private:
  PeerSocket(Reactor* aReactor, PeerSocketListener* aListener);

  Reactor* mReactor;
  PeerSocketListener* mListener;
  ACE_SOCK_Dgram mSocket;
  std::vector<char> mBuffer;
};

} // namespace peridothoist
