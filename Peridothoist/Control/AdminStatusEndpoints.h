/// Read-only admin API endpoints: status, configuration, health, metrics.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminServer.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/Control/UpstreamLeaseManager.h>
#include <Peridothoist/Shell/Metrics.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Registers its endpoints on an AdminServer and must outlive that server.
class AdminStatusEndpoints
{
public:
  AdminStatusEndpoints(Reactor& aReactor,
                       ControlState& aState,
                       UpstreamLeaseManager& aLeaseManager,
                       Metrics& aMetrics);

  void Register(AdminServer& aServer);

private:
  void ServeStatus(const AdminRequest& aRequest) const;
  void ServeConfig(const AdminRequest& aRequest) const;
  void ServeReady(const AdminRequest& aRequest) const;
  void ServeMetrics(const AdminRequest& aRequest) const;
  nlohmann::json ViewStatus() const;
  nlohmann::json MemberStatus() const;
  nlohmann::json UpstreamStatus() const;

  Reactor& mReactor;
  ControlState& mState;
  UpstreamLeaseManager& mLeaseManager;
  Metrics& mMetrics;
};

/// Returns an item as JSON for operators, without the digest and salt of keys.
nlohmann::json
RedactedItemJson(const ItemEdit& aItem);

} // namespace peridothoist
