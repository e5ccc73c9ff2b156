/// Sends and hears this system's short messages between VMs, as datagrams: a
/// lost one is made good by the next, and no connection can fall silent.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/Reactor.h>

#include <ace/SOCK_Dgram.h>

namespace peridothoist {

/// Told what came.
class PeerMessengerListener
{
public:
  virtual ~PeerMessengerListener() = default;

  virtual void OnMessage(std::string_view aBytes) = 0;
};

/// One datagram socket on the reactor.
class PeerMessenger : public DescriptorListener
{
public:
  /// Hears on "ip:port"; null when the address can't be had. The others are
  /// not owned.
  static std::unique_ptr<PeerMessenger> Create(
    const std::string& aAddress,
    Reactor* aReactor,
    PeerMessengerListener* aListener);
  ~PeerMessenger() override;
  PeerMessenger(const PeerMessenger&) = delete;
  PeerMessenger& operator=(const PeerMessenger&) = delete;

  /// Sends to "ip:port". What can't be sent now is dropped.
  void Send(const std::string& aAddress, const std::string& aBytes);

  // See: DescriptorListener
  void OnReadable(int aDescriptor) override;

private:
  PeerMessenger(Reactor* aReactor, PeerMessengerListener* aListener);

  Reactor* mReactor;
  PeerMessengerListener* mListener;
  ACE_SOCK_Dgram mSocket;
  std::vector<char> mBuffer;
};

} // namespace peridothoist
