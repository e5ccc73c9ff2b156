/// Admin API endpoint for orders to upstreams: load, unload, adapter, version,
/// role.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminServer.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/Control/UpstreamKeeper.h>

namespace peridothoist {

/// Registers its endpoint on an AdminServer and must outlive that server.
class AdminOrderPages
{
public:
  AdminOrderPages(Reactor& aReactor,
                  ControlState& aState,
                  UpstreamKeeper& aLeaseManager);
  ~AdminOrderPages();
  AdminOrderPages(const AdminOrderPages&) = delete;
  AdminOrderPages& operator=(const AdminOrderPages&) = delete;

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

  void ServeOrder(const AdminCall& aRequest);
  /// Reads the state of the upstream before the order is sent, for upstreams
  /// that do not check fencing numbers.
  void ReadBack(const AdminCall& aRequest, const Order& aOrder);
  void Send(const AdminCall& aRequest, const Order& aOrder, bool aHasReadBack);
  static void Respond(const AdminCall& aRequest,
                      const Order& aOrder,
                      const UpstreamCallEnd& aResult);

  Reactor& mReactor;
  ControlState& mState;
  UpstreamKeeper& mLeaseManager;
  std::uint64_t mNextOrderNumber = 1;
  std::shared_ptr<bool> mAlive; ///< Set to false by the destructor.
};

} // namespace peridothoist
