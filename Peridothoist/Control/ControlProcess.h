/// A control process: puts its parts together and drives them by the reactor.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlSettings.h>
#include <Peridothoist/Core/Reason.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// One process; several may share a reactor in tests.
class ControlProcess
{
public:
  using Settings = ControlSettings;

  /// Starts to follow the platform and to serve peers, entries and operators.
  /// Null with aReason when an address can't be had.
  static std::unique_ptr<ControlProcess> Create(Reactor& aReactor,
                                                HttpClient& aHttp,
                                                Platform& aPlatform,
                                                const Settings& aSettings,
                                                Reason* aReason);
  ~ControlProcess();

  std::uint16_t AdminPort() const;
  std::uint16_t PeerPort() const;

  /// Tells peers that this VM leaves, gives leases up, then calls aDone.
  void Leave(std::function<void()> aDone);

private:
  struct Impl;
  explicit ControlProcess(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace peridothoist
