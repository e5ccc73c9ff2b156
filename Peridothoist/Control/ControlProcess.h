/// A control process: connects its components and runs them on the reactor.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlSettings.h>
#include <Peridothoist/Core/Reason.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// One control process. Several may share a reactor in tests.
class ControlProcess
{
public:
  using Settings = ControlSettings;

  /// Starts polling the platform and serving peers, entries and operators.
  /// Returns null and sets aReason if a client or server cannot be created,
  /// for example because a listen address is not available.
  static std::unique_ptr<ControlProcess> Create(Reactor& aReactor,
                                                HttpClient& aHttp,
                                                Platform& aPlatform,
                                                const Settings& aSettings,
                                                Reason* aReason);
  ~ControlProcess();

  std::uint16_t AdminPort() const;
  std::uint16_t PeerPort() const;

  /// Releases leases and notifies peers that this VM is leaving, then calls
  /// aDone after the leave delay.
  void Leave(std::function<void()> aDone);

private:
  struct Impl;
  explicit ControlProcess(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace peridothoist
