/// Sends datagrams to other VMs.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Sends datagrams, for example through a PeerSocket.
class PeerSender
{
public:
  virtual ~PeerSender() = default;

  /// Sends to aAddress, "ip:port". The datagram may get lost.
  virtual void Send(const std::string& aAddress, const std::string& aBytes) = 0;
};

} // namespace peridothoist
