/// Admin API endpoint for orders to upstreams: load, unload, adapter, version,
/// role.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminServer.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/Control/UpstreamLeaseManager.h>

namespace peridothoist {

/// Registers its endpoint on an AdminServer and must outlive that server.
class AdminOrderEndpoints
{
public:
  AdminOrderEndpoints(Reactor& aReactor,
                      ControlState& aState,
                      UpstreamLeaseManager& aLeaseManager);
  ~AdminOrderEndpoints();
  AdminOrderEndpoints(const AdminOrderEndpoints&) = delete;
  AdminOrderEndpoints& operator=(const AdminOrderEndpoints&) = delete;

  void Register(AdminServer& aServer);

private:
  /// An order that is being processed.
  struct Order
  {
    Upstream mUpstream;
    std::string mKind;
    std::string mArgument;
    std::string mId;
    std::uint64_t mFence = 0;
  };

  void ServeOrder(const AdminRequest& aRequest);
  /// Reads the state of the upstream before the order is sent, for upstreams
  /// that do not check fencing numbers.
  void ReadBack(const AdminRequest& aRequest, const Order& aOrder);
  void Send(const AdminRequest& aRequest,
            const Order& aOrder,
            bool aHasReadBack);
  static void Respond(const AdminRequest& aRequest,
                      const Order& aOrder,
                      const UpstreamCallResult& aResult);

  Reactor& mReactor;
  ControlState& mState;
  UpstreamLeaseManager& mLeaseManager;
  std::uint64_t mNextOrderNumber = 1;
  std::shared_ptr<bool> mAlive; ///< Set to false by the destructor.
};

} // namespace peridothoist
