/// The sockets of connections that the HTTP client keeps for further calls.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <unordered_map>

namespace peridothoist::detail {

/// Addresses and ports of the two ends of a connection.
struct ConnectionEnds
{
  const char* mLocalAddress;
  int mLocalPort;
  const char* mRemoteAddress;
  int mRemotePort;
};

/// Finds the sockets of kept connections, which libcurl doesn't tell.
class KeptConnections
{
public:
  void Add(const ConnectionEnds& aEnds, int aSocket);
  void Remove(int aSocket);

  /// Returns whether the connection has bytes to read or has ended. Between two
  /// calls neither belongs to any request.
  bool HasInput(const ConnectionEnds& aEnds) const;

private:
  std::unordered_map<std::string, int> mSockets; ///< By their ends.
  std::unordered_map<int, std::string> mEnds;    ///< By socket.
};

} // namespace peridothoist::detail
