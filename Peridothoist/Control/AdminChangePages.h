/// Operators' pages that change the configuration.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminServer.h>
#include <Peridothoist/Control/ChangeDesk.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/View/InForceTracker.h>

namespace peridothoist {

/// Adds its pages to a server; must outlive it.
class AdminChangePages
{
public:
  AdminChangePages(ControlState& aState,
                   ChangeDesk& aDesk,
                   const InForceTracker& aInForce);

  void Register(AdminServer& aServer);

private:
  void ServeChange(const AdminCall& aCall);
  void ServeInForce(const AdminCall& aCall) const;
  void ServeNewKey(const AdminCall& aCall);
  void ServeDropKey(const AdminCall& aCall);
  void ServeDrain(const AdminCall& aCall);
  void Submit(const AdminCall& aCall,
              const ChangeRequest& aRequest,
              const nlohmann::json& aMore);
  void Answer(const AdminCall& aCall,
              const ChangeAnswer& aAnswer,
              nlohmann::json aMore) const;

  ControlState& mState;
  ChangeDesk& mDesk;
  const InForceTracker& mInForce;
};

} // namespace peridothoist
