/// Settings of a control process.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/UpstreamLeaseManagerSettings.h>
#include <Peridothoist/Membership/MemberList.h>
#include <Peridothoist/Peers/PeerCredentials.h>
#include <Peridothoist/Platform/ChangeCommitter.h>
#include <Peridothoist/Platform/ConfigPoller.h>
#include <Peridothoist/Platform/PlatformClient.h>
#include <Peridothoist/Platform/ConfigCompactor.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/View/ViewFreshness.h>
#include <Peridothoist/View/InForceTracker.h>
#include <Peridothoist/View/OutageAgreement.h>

namespace peridothoist {

/// One operator: name for audit records, and SHA-256 digest of the key.
struct OperatorKey
{
  std::string mName;
  std::string mSha256Hex;
};

/// Intervals and limits of exchanges with peer control processes.
struct ExchangeSettings
{
  Duration mInterval = std::chrono::seconds(1); ///< If nothing is urgent.
  /// Peers per interval, if nothing is urgent.
  std::size_t mPeerCount = 1;
  /// Interval while the platform is unreachable, the view is not fresh, a
  /// change is not in force yet, or a commit is in doubt.
  Duration mUrgentInterval = std::chrono::milliseconds(250);
  std::size_t mUrgentPeerCount = 2;
  std::size_t mPushPeerCount = 2; ///< Contacted on each view change.
  Duration mTimeout = std::chrono::milliseconds(800);
  std::size_t mMaxMembersSent = 64;
};

/// Complete settings of a control process.
struct ControlSettings
{
  // Identity.
  std::string mVm;
  std::string mZone;
  std::string mInstance;     ///< Unique for each process incarnation.
  std::string mEntryAddress; ///< HTTP address of the local entry, "ip:port".
  std::string mEntryPeer;    ///< gRPC address of the local entry, "ip:port".

  // Listen addresses, platform and credentials.
  HttpServerSettings mAdmin;
  std::string mPeerListen;  ///< gRPC listen address, "ip:port".
  std::string mPeerAddress; ///< gRPC address for peers, "ip:port".
  PeerCredentials mPeerCredentials;
  PlatformClientSettings mPlatform;
  std::vector<OperatorKey> mOperators;

  // Components.
  ConfigPollerSettings mConfigPoller = { std::chrono::milliseconds(500), 200 };
  ChangeCommitterSettings mCommitter;
  ConfigCompactorSettings mCompactor;
  ViewFreshnessSettings mFreshness;
  OutageAgreementSettings mOutage;
  MemberListSettings mMembers;
  InForceTrackerSettings mInForce;
  ChangeGuardSettings mChangeGuard;
  SharePlanSchedulerSettings mPlan;
  ExchangeSettings mExchange;
  UpstreamLeaseManagerSettings mUpstreamLeases;
  Duration mTickInterval = std::chrono::milliseconds(250);
  Duration mVmListInterval = std::chrono::seconds(5);
  /// Time that a change waits for the reports of peers.
  Duration mGuardTimeout = std::chrono::milliseconds(900);
  /// Delay of the shutdown, in which peers are notified.
  Duration mLeaveDelay = std::chrono::seconds(1);
};

} // namespace peridothoist
