/// Settings of one node process.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>
#include <Peridothoist/Node/StageOrders.h>
#include <Peridothoist/Node/ViewReader.h>
#include <Peridothoist/Relay/ConfirmedView.h>
#include <Peridothoist/Relay/MemberBook.h>
#include <Peridothoist/Relay/RelayMachine.h>

namespace peridothoist {

/// Settings of NodeProcess, with their defaults.
struct NodeSettings
{
  std::string mVm;              ///< Name of this VM.
  std::string mZone;            ///< Its availability zone.
  std::string mListen;          ///< "ip:port" for callers.
  std::string mReadyListen;     ///< "ip:port" that tells readiness.
  std::string mDirectoryListen; ///< "ip:port" that tells addresses; may be "".
  std::string mMetricsListen;   ///< "ip:port" for metrics; may be empty.
  std::string mPeerListen;      ///< "ip:port" for datagrams of other VMs.
  std::vector<std::string> mSeeds; ///< "ip:port" of some VMs; ports ignored.

  // Callers
  std::uint32_t mMaxHeaderBytes = 32 * 1024;
  std::uint32_t mMaxBodyBytes = 8u << 20;
  std::uint32_t mMaxConnections = 3000;
  Duration mIdleTimeout = 30s;  ///< A connection without a request.
  Duration mAddressesHold = 1s; ///< How long callers may keep addresses.

  // Leaving
  Duration mGrace = 8s;          ///< From the signal to the forced end.
  Duration mGraceMargin = 500ms; ///< The process is gone so long before.
  /// Callers with old addresses come until this long after the signal.
  Duration mLateCallers = 3500ms;
  /// Streams that come so long after the signal are refused: they might not end
  /// in time.
  Duration mLastStreams = 2500ms;

  // Peers
  Duration mPeerInterval = 250ms; ///< Between messages to each peer.
  /// Work at engines that changed is told no more often than this.
  Duration mLeastPeerInterval = 40ms;
  std::size_t mPeerFanOut = 16; ///< Peers told in one interval.
  /// Peers told of changed work at once. A fleet that isn't much larger hears
  /// of it within mLeastPeerInterval; in a larger one this goes no oftener than
  /// the regular messages, so that news cost each VM the same at any size.
  std::size_t mSoonFanOut = 8;
  // Sharing reads of the store
  std::size_t mLeastReaders = 2; ///< VMs that read for all, at least.
  std::size_t mVmsPerReader = 16;
  Duration mShareInterval = 350ms; ///< Between questions to them.
  /// A VM whose view is older reads by itself. Above the readers' interval and
  /// mShareInterval, and well under the bounds of changes.
  Duration mOldestShared = 1500ms;

  /// Requests that were present at crashes, told in one message. A crash of
  /// many upstreams makes hundreds, of which few come again.
  std::size_t mMostCrashNews = 8;
  Duration mForgetPeers = 30s; ///< VMs silent for so long are gone.

  // Orders to engines
  Duration mOrderInterval = 1s; ///< Between looks at the engines.
  /// Of the VMs that are registered, the part which must be heard by one that
  /// gives orders: the lesser part of a cut gives none.
  double mLeastHeardToOrder = 0.5;
  StageOrdersSettings mOrders;

  ConfirmedViewSettings mView;
  MemberBookSettings mMembers;
  UsageLedgerSettings mLedger;
  ViewReaderSettings mReader;
  RelayMachineSettings mMachine;

  /// Nothing when the settings are good; else the first fault.
  std::optional<Reason> Check() const;
};

} // namespace peridothoist
