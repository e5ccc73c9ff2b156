/// Admin API endpoints that change the configuration.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminServer.h>
#include <Peridothoist/Control/ChangeManager.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/View/InForceTracker.h>

namespace peridothoist {

/// Registers its endpoints on an AdminServer and must outlive that server.
class AdminChangeEndpoints
{
public:
  AdminChangeEndpoints(ControlState& aState,
                       ChangeManager& aChangeManager,
                       const InForceTracker& aInForce);

  void Register(AdminServer& aServer);

private:
  void ServeChange(const AdminRequest& aRequest);
  void ServeInForceStatus(const AdminRequest& aRequest) const;
  void ServeCreateKey(const AdminRequest& aRequest);
  void ServeDeleteKey(const AdminRequest& aRequest);
  void ServeDrain(const AdminRequest& aRequest);
  void Submit(const AdminRequest& aRequest,
              const ChangeRequest& aChange,
              const nlohmann::json& aExtraFields);
  void Respond(const AdminRequest& aRequest,
               const ChangeResult& aResult,
               nlohmann::json aExtraFields) const;

  ControlState& mState;
  ChangeManager& mChangeManager;
  const InForceTracker& mInForce;
};

} // namespace peridothoist
