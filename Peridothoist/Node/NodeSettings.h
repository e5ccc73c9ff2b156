/// Settings of a node process.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>
#include <Peridothoist/Cells/CellMembership.h>
#include <Peridothoist/Node/OpenStreamStore.h>
#include <Peridothoist/Node/StageOrderManager.h>
#include <Peridothoist/Node/ContentOriginExchange.h>
#include <Peridothoist/Node/ServiceVersionStore.h>
#include <Peridothoist/Node/StreamOriginExchange.h>
#include <Peridothoist/Node/TunnelServer.h>
#include <Peridothoist/Node/ViewUpdater.h>
#include <Peridothoist/Relay/CallerDirectory.h>
#include <Peridothoist/Relay/ConfirmedView.h>
#include <Peridothoist/Relay/LeavingSchedule.h>
#include <Peridothoist/Relay/MembershipTable.h>
#include <Peridothoist/Relay/RelayStateMachine.h>
#include <Peridothoist/Relay/WaitingAdmission.h>

namespace peridothoist {

/// Settings of NodeProcess and their defaults.
struct NodeSettings
{
  std::string mVm;          ///< Name of this VM.
  std::string mZone;        ///< Its availability zone.
  std::string mListen;      ///< "ip:port" for callers.
  std::string mReadyListen; ///< "ip:port" of the readiness endpoint.
  /// "ip:port" of the address lookup endpoint; empty: none.
  std::string mDirectoryListen;
  std::string mMetricsListen; ///< "ip:port" of the metrics endpoint; "": none.
  std::string mPeerListen;    ///< "ip:port" for gossip datagrams.
  /// "ip:port" of tunnels from other VMs to upstreams; empty: none.
  std::string mTunnelListen;
  /// IP address that calls are made from; empty: the system's choice.
  std::string mCallFrom;
  /// "ip:port" of some VMs; ports are ignored.
  std::vector<std::string> mSeeds;

  // Callers
  std::uint32_t mMaxHeaderBytes = 32 * 1024;
  std::uint32_t mMaxBodyBytes = 8u << 20;
  std::uint32_t mMaxConnections = 3000;
  Duration mIdleTimeout = 30s; ///< Closes connections without progress.
  /// Bound of the unsent bytes of all callers' responses; 0: none. The default
  /// is less than a fifth of the memory of the smallest VM (88 MB).
  std::size_t mMaxBufferedBytes = 16u << 20;
  /// Memory of the VM; the default is that of the smallest one.
  std::size_t mVmMemoryBytes = 88u << 20;
  /// Part of it that may be held for callers, upstreams, peers and the store.
  /// The rest is for the process itself, its views and buffers of the kernel.
  double mHeldMemoryPart = 0.5;
  Duration mAddressTtl = 1s; ///< How long callers may cache addresses.

  LeavingScheduleSettings mLeaving; ///< Graceful shutdown.

  // Gossip
  Duration mGossipInterval = 250ms; ///< Between regular messages.
  /// Minimum interval between messages sent because work at engines changed.
  Duration mMinGossipInterval = 40ms;
  std::size_t mGossipFanOut = 16; ///< Peers per regular message.
  /// Peers per message about changed work. In fleets up to this size, changes
  /// are sent after mMinGossipInterval. In larger ones they are sent no more
  /// often than regular messages, so that the cost of gossip for each VM does
  /// not grow with the fleet.
  std::size_t mWorkFanOut = 8;

  // Crash reports and silent peers
  /// Maximum number of crash reports per gossip message. A crash of many
  /// upstreams makes hundreds of requests suspect, few of which are retried.
  std::size_t mMaxCrashReports = 8;
  Duration mPeerRetention = 30s; ///< Silent VMs are removed after this.

  // Stage orders to engines
  Duration mStageOrderInterval = 1s; ///< Between updates.
  /// A VM sends orders only if it reaches more than this fraction of the
  /// registered VMs. This stops the smaller side of a network partition.
  double mMinReachableFractionToOrder = 0.5;
  StageOrderManagerSettings mStageOrders;

  ConfirmedViewSettings mView;
  MembershipTableSettings mMembers;
  CellMembershipSettings mCells;
  SummaryTableSettings mSummaries;
  CallerDirectorySettings mDirectory;
  WorkspaceRateLimiterSettings mRateLimiter;
  WaitingAdmissionSettings mAdmission;
  ViewUpdaterSettings mViews;
  RelayStateMachineSettings mMachine;
  StreamOriginExchangeSettings mOrigins;
  ContentOriginExchangeSettings mContentOrigins;
  ServiceVersionStoreSettings mVersions;
  OpenStreamStoreSettings mOpenStreams;
  TunnelServerSettings mTunnels;

  /// Returns this VM's registration.
  VmRecord Record() const { return { mVm, mZone, mPeerListen }; }

  /// Returns how many bytes may be held; see MemoryBudget.
  std::size_t MaxHeldBytes() const
  {
    return static_cast<std::size_t>(static_cast<double>(mVmMemoryBytes) *
                                    mHeldMemoryPart);
  }

  /// Returns the first invalid setting, or nullopt if all are valid.
  std::optional<Reason> Check() const;
};

} // namespace peridothoist
