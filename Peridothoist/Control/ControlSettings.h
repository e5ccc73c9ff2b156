/// Settings of a control process.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/UpstreamKeeperSettings.h>
#include <Peridothoist/Membership/MemberList.h>
#include <Peridothoist/Peers/PeerCredentials.h>
#include <Peridothoist/Platform/ChangeCommitter.h>
#include <Peridothoist/Platform/ConfigFollower.h>
#include <Peridothoist/Platform/PlatformClient.h>
#include <Peridothoist/Platform/SnapshotKeeper.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/View/FreshView.h>
#include <Peridothoist/View/InForceTracker.h>
#include <Peridothoist/View/OutageAgreement.h>

namespace peridothoist {

/// One operator: a name for records, and the digest of the key shown.
struct OperatorKey
{
  std::string mName;
  std::string mSha256Hex;
};

/// How often peers are asked.
struct ExchangeSettings
{
  Duration mInterval = std::chrono::seconds(1); ///< At rest.
  std::size_t mPeers = 1;                       ///< Asked each time, at rest.
  /// While the platform is silent, a change isn't in force yet, or a commit
  /// is in doubt.
  Duration mUrgentInterval = std::chrono::milliseconds(250);
  std::size_t mUrgentPeers = 2;
  std::size_t mPushPeers = 2; ///< Asked at once when the view changed.
  Duration mDeadline = std::chrono::milliseconds(800);
  std::size_t mMaxMembersSent = 64;
};

/// Everything that a control process is told at its start.
struct ControlSettings
{
  // Who it is.
  std::string mVm;
  std::string mZone;
  std::string mInstance;     ///< New with each start.
  std::string mEntryAddress; ///< Of the entry on this VM, "ip:port".
  std::string mEntryPeer;    ///< The same one's gRPC, "ip:port".

  // Where it serves and what it calls.
  HttpServerSettings mAdmin;
  std::string mPeerListen;  ///< gRPC, "ip:port".
  std::string mPeerAddress; ///< Where peers reach it, "ip:port".
  PeerCredentials mPeerCredentials;
  PlatformClientSettings mPlatform;
  std::vector<OperatorKey> mOperators;

  // Parts.
  ConfigFollowerSettings mFollower = { std::chrono::milliseconds(500), 200 };
  ChangeCommitterSettings mCommitter;
  SnapshotKeeperSettings mSnapshots;
  FreshViewSettings mFresh;
  OutageAgreementSettings mOutage;
  MemberListSettings mMembers;
  InForceTrackerSettings mInForce;
  ChangeGateSettings mGate;
  PlanKeeperSettings mPlan;
  ExchangeSettings mExchange;
  UpstreamKeeperSettings mUpstreams;
  Duration mTick = std::chrono::milliseconds(250);
  Duration mVmListInterval = std::chrono::seconds(5);
  Duration mGateWait = std::chrono::milliseconds(900); ///< For peers' answers.
  Duration mLeaveTime = std::chrono::seconds(1); ///< To tell that it leaves.
};

} // namespace peridothoist
