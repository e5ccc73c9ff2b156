/// Orders engines from one stage to the other, each life of an engine at most
/// once over all VMs: a row of the store that can be made only once gives the
/// right to the order, and its version is the fencing token.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/RowStore.h>
#include <Peridothoist/Node/UpstreamProtocol.h>
#include <Peridothoist/Relay/RelayMachine.h>
#include <Peridothoist/Relay/StageBalance.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Settings of StageOrders.
struct StageOrdersSettings
{
  std::string mTable = "stage_orders"; ///< Rows by an engine's life.
  Duration mSwitchTime = 8s; ///< An engine takes no work for less than this.
  StageBalanceSettings mBalance;
};

/// Gives the orders of one VM.
class StageOrders
{
public:
  using Settings = StageOrdersSettings;

  /// Nothing is owned.
  StageOrders(const Settings& aSettings,
              const std::string& aVm,
              Reactor* aReactor,
              HttpClient* aClient,
              RowStore* aStore,
              const UpstreamProtocol* aUpstreams,
              RelayMachine* aMachine);
  ~StageOrders();

  /// Looks at the engines; aLeads: this VM is to give orders now.
  void Look(bool aLeads);

private:
  void Take(const RelayUpstream& aEngine);
  void OnTaken(const RelayUpstream& aEngine,
               const Reason& aReason,
               std::uint64_t aFence);
  void Order(const RelayUpstream& aEngine, std::uint64_t aFence);
  void FollowOrders();

  struct Ordered
  {
    RelayUpstream mEngine;
    TimePoint mAt;
  };

  Settings mSettings;
  std::string mVm;
  Reactor* mReactor;
  HttpClient* mClient;
  RowStore* mStore;
  const UpstreamProtocol* mUpstreams;
  RelayMachine* mMachine;
  StageBalance mBalance;
  std::map<std::string, Ordered> mOrdered; ///< By life; of engines listed.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace peridothoist
