/// Connects other VMs to upstreams that they can't reach themselves. Each
/// connection from a VM is an HTTP CONNECT tunnel: after one request that names
/// the target, bytes are passed on in both directions as they come.
///
/// The VM at the other end makes all decisions about the request: nothing is
/// admitted, charged, chosen or retried here. A tunnel ends at an upstream,
/// never at another VM.
///
/// Invariant: the connection to the VM ends in order only if that to the
/// upstream has, and all its bytes were passed on. It is reset in all other
/// cases, also when this process ends, so a response that ends with its
/// connection can be told from one that is cut.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/MemoryBudget.h>
#include <Peridothoist/Shell/FlagsFromEnvironment.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Whether a tunnel may be opened.
enum class TunnelVerdict
{
  Allowed,
  NotAllowed,  ///< The target is no upstream that takes requests.
  Unavailable, ///< This VM can't reach upstreams either, or is busy.
};

/// Decides about tunnels, and receives their events.
class TunnelServerListener
{
public:
  virtual ~TunnelServerListener() = default;

  virtual TunnelVerdict CheckTarget(const std::string& aTarget) = 0;

  /// Called when a connection to the target was made, or could not be made.
  virtual void OnTargetTried(const std::string& aTarget, bool aIsConnected) = 0;
};

/// Settings of TunnelServer.
struct TunnelServerSettings
{
  std::size_t mMaxTunnels = 256;
  std::size_t mMaxRequestBytes = 1024;
  /// Bytes held in each direction while the receiver is slower.
  std::size_t mMaxBufferedBytes = 16 * 1024;
  Duration mRequestTimeout = 1s; ///< From the connection to its request.
  Duration mConnectTimeout = 250ms;
  /// Time for the VM to close its side after the upstream has.
  Duration mCloseTimeout = 10s;
  /// What tunnels draw from, each for its buffers; null: no bound.
  std::shared_ptr<MemoryBudget> mMemory;
  std::string mLocalIp; ///< Of connections to targets; empty: the system's.
};

/// Accepts tunnels on one address.
class TunnelServer
{
public:
  using Settings = TunnelServerSettings;

  /// Returns nullptr if it cannot listen on the address. The pointers are not
  /// owned.
  static std::unique_ptr<TunnelServer> Create(const Settings& aSettings,
                                              const SocketAddress& aListen,
                                              Reactor* aReactor,
                                              TunnelServerListener* aListener);
  ~TunnelServer();

  /// Returns the number of connections.
  std::size_t OpenCount() const;

private:
  struct Impl;
  explicit TunnelServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

namespace detail {

/// Parses the head of a CONNECT request up to its empty line. Returns the
/// target, "ip:port", or nullopt if it is malformed.
std::optional<std::string>
ParseConnectTarget(std::string_view aHead);

} // namespace detail

} // namespace peridothoist
