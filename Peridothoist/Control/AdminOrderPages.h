/// Operators' orders to upstreams: load, unload, adapter, version, role.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminServer.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/Control/UpstreamKeeper.h>

namespace peridothoist {

/// Adds its page to a server; must outlive it.
class AdminOrderPages
{
public:
  AdminOrderPages(Reactor& aReactor,
                  ControlState& aState,
                  UpstreamKeeper& aUpstreams);
  ~AdminOrderPages();
  AdminOrderPages(const AdminOrderPages&) = delete;
  AdminOrderPages& operator=(const AdminOrderPages&) = delete;

  void Register(AdminServer& aServer);

private:
  /// One order under way.
  struct Order
  {
    Upstream mUpstream;
    std::string mKind;
    std::string mArgument;
    std::string mId;
    std::uint64_t mFence = 0;
  };

  void ServeOrder(const AdminCall& aCall);
  void ReadBack(const AdminCall& aCall, const Order& aOrder);
  void Send(const AdminCall& aCall, const Order& aOrder, bool aReadBack);
  static void Answer(const AdminCall& aCall,
                     const Order& aOrder,
                     const UpstreamCallEnd& aEnd);

  Reactor& mReactor;
  ControlState& mState;
  UpstreamKeeper& mUpstreams;
  std::uint64_t mNextOrder = 1;
  std::shared_ptr<bool> mAlive;
};

} // namespace peridothoist
