/// Orders engines to switch from one stage to the other. Each incarnation of an
/// engine is ordered at most once by all VMs together: creating its row in the
/// store, which succeeds only once, claims the right to send the order, and the
/// row's version gives the fencing number. A claim that a restored store has
/// lost is made again by the VM that ordered.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/RowStore.h>
#include <Peridothoist/Node/UpstreamProtocol.h>
#include <Peridothoist/Relay/RelayStateMachine.h>
#include <Peridothoist/Relay/StageBalancer.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Settings of StageOrderManager.
struct StageOrderManagerSettings
{
  std::string mTable = "stage_orders"; ///< Keyed by incarnation of an engine.
  /// Upper limit on the time that an engine needs to switch; it takes no work
  /// meanwhile.
  Duration mMaxSwitchTime = 8s;
  StageBalancerSettings mBalance;
};

/// Returns the fencing number of an order whose claim has this version. Numbers
/// of a later era are higher: those of versions alone would go back with a
/// store that is restored from a copy.
std::uint64_t
FencingNumberOf(const StoreVersion& aClaim);

/// Claims and sends the stage orders of one VM.
class StageOrderManager
{
public:
  using Settings = StageOrderManagerSettings;

  /// The pointers are not owned.
  StageOrderManager(const Settings& aSettings,
                    const std::string& aVm,
                    Reactor* aReactor,
                    HttpClient* aClient,
                    RowStore* aStore,
                    const UpstreamProtocol* aUpstreams,
                    RelayStateMachine* aMachine);
  ~StageOrderManager();

  /// Follows up on engines ordered before and, if aIsLeader, claims and sends
  /// the orders that are due. Called at intervals.
  void Update(bool aIsLeader);

  /// Called when the store was restored from a copy.
  void OnStoreRestored();

private:
  void ClaimOrder(const RelayUpstream& aEngine);
  void OnOrderClaimed(const RelayUpstream& aEngine,
                      const Reason& aReason,
                      const StoreVersion& aClaim);
  void WithdrawOrder(const RelayUpstream& aEngine, const StoreVersion& aClaim);
  void SendOrder(const RelayUpstream& aEngine, std::uint64_t aFencingNumber);
  void UpdateOrderedEngines();

  struct OrderedEngine
  {
    RelayUpstream mEngine;
    TimePoint mOrderedAt;
  };

  Settings mSettings;
  std::string mVm;
  Reactor* mReactor;
  HttpClient* mClient;
  RowStore* mStore;
  const UpstreamProtocol* mUpstreams;
  RelayStateMachine* mMachine;
  StageBalancer mBalancer;
  /// By incarnation; only engines that are still listed.
  std::map<std::string, OrderedEngine> mOrderedEngines;
  /// Set to false by the destructor; checked by pending callbacks.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace peridothoist
