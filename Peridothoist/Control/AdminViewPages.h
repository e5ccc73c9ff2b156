/// Operators' pages that show things: status, configuration, health, metrics.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminServer.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/Control/UpstreamKeeper.h>
#include <Peridothoist/Shell/Metrics.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Adds its pages to a server; must outlive it.
class AdminViewPages
{
public:
  AdminViewPages(Reactor& aReactor,
                 ControlState& aState,
                 UpstreamKeeper& aUpstreams,
                 Metrics& aMetrics);

  void Register(AdminServer& aServer);

private:
  void ServeStatus(const AdminCall& aCall) const;
  void ServeConfig(const AdminCall& aCall) const;
  void ServeReady(const AdminCall& aCall) const;
  void ServeMetrics(const AdminCall& aCall) const;
  nlohmann::json ViewStatus() const;
  nlohmann::json MemberStatus() const;
  nlohmann::json UpstreamStatus() const;

  Reactor& mReactor;
  ControlState& mState;
  UpstreamKeeper& mUpstreams;
  Metrics& mMetrics;
};

/// An item as operators see it: without the digest and salt of keys.
nlohmann::json
ShownItem(const ItemEdit& aItem);

} // namespace peridothoist
