/// Admin API endpoints that change the configuration.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminServer.h>
#include <Peridothoist/Control/ChangeDesk.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/View/InForceTracker.h>

namespace peridothoist {

/// Registers its endpoints on an AdminServer and must outlive that server.
class AdminChangePages
{
public:
  AdminChangePages(ControlState& aState,
                   ChangeDesk& aChangeManager,
                   const InForceTracker& aInForce);

  void Register(AdminServer& aServer);

private:
  void ServeChange(const AdminCall& aRequest);
  void ServeInForceStatus(const AdminCall& aRequest) const;
  void ServeCreateKey(const AdminCall& aRequest);
  void ServeDeleteKey(const AdminCall& aRequest);
  void ServeDrain(const AdminCall& aRequest);
  void Submit(const AdminCall& aRequest,
              const ChangeRequest& aChange,
              const nlohmann::json& aExtraFields);
  void Respond(const AdminCall& aRequest,
               const ChangeAnswer& aResult,
               nlohmann::json aExtraFields) const;

  ControlState& mState;
  ChangeDesk& mChangeManager;
  const InForceTracker& mInForce;
};

} // namespace peridothoist
