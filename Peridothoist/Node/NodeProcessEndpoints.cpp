/// HTTP endpoints of the node process: readiness, node addresses and metrics.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/NodeProcess.h>

namespace peridothoist {

namespace {

/// Returns the label of an upstream's state in the metrics.
const char*
UpstreamStateName(const UpstreamList::Entry& aEntry, bool aAvoided)
{
  if (aEntry.mUpstream.mIsLeaving) {
    return "leaving";
  }
  if (aEntry.mUpstream.mIsEvacuated) {
    return "evacuated";
  }
  if (aEntry.mIsMissing) {
    return "lapsed";
  }
  return aAvoided ? "avoided" : "ready";
}

} // namespace

bool
NodeProcess::StartEndpoints(Reason* aReason)
{
  struct Row
  {
    const std::string& mAddress;
    EndpointServer::Handler mHandler;
  };
  const Row rows[] = {
    { mSettings.mReadyListen,
      [this](const HttpRequest& aRequest) {
        return mProtocols.mCallers->HandleReadiness(aRequest,
                                                    Status(mSettings.mZone));
      } },
    { mSettings.mDirectoryListen,
      [this](const HttpRequest& aRequest) {
        const std::string zone =
          mProtocols.mCallers->CallerZone(aRequest).value_or(mSettings.mZone);
        return mProtocols.mCallers->HandleAddressLookup(aRequest, Status(zone));
      } },
    { mSettings.mMetricsListen,
      [this](const HttpRequest&) -> std::optional<EndpointResponse> {
        return EndpointResponse{ 200,
                                 { { "content-type",
                                     "text/plain; version=0.0.4" } },
                                 RenderMetrics() };
      } },
  };
  for (const Row& row : rows) {
    if (row.mAddress.empty()) {
      continue;
    }
    auto server = EndpointServer::Create(
      *mReactor, row.mAddress, mMemory, row.mHandler, aReason);
    if (server == nullptr) {
      return false;
    }
    mEndpointServers.push_back(std::move(server));
  }
  auto views = StartPeerViewServer(
    *mReactor, mSettings.mPeerListen, mMemory, &mViews, aReason);
  if (views == nullptr) {
    return false;
  }
  mEndpointServers.push_back(std::move(views));
  return true;
}

bool
NodeProcess::StartTunnels(Reason* aReason)
{
  if (mSettings.mTunnelListen.empty()) {
    return true;
  }
  TunnelServerSettings settings = mSettings.mTunnels;
  settings.mLocalIp = mSettings.mCallFrom;
  settings.mMemory = mMemory;
  mTunnels = TunnelServer::Create(
    settings, *ParseSocketAddress(mSettings.mTunnelListen), mReactor, this);
  if (mTunnels == nullptr) {
    Reason::Set(aReason,
                ReasonCode::Refused,
                "tunnel_listen: cannot listen on " + mSettings.mTunnelListen);
  }
  return mTunnels != nullptr;
}

/// Returns whether other VMs may call upstreams through this one.
bool
NodeProcess::OffersTunnels() const
{
  return mTunnels != nullptr && !mIsLeaving && !mMachine.Reach().IsCutOff();
}

const RelayUpstream*
NodeProcess::FindByAddress(const std::string& aAddress) const
{
  for (const auto& [id, entry] : mMachine.ListedUpstreams().All()) {
    if (entry.mUpstream.mAddress == aAddress) {
      return &entry.mUpstream;
    }
  }
  return nullptr;
}

TunnelVerdict
NodeProcess::CheckTarget(const std::string& aTarget)
{
  if (!OffersTunnels()) {
    return TunnelVerdict::Unavailable;
  }
  const RelayUpstream* upstream = FindByAddress(aTarget);
  return upstream != nullptr && upstream->AcceptsRequests()
           ? TunnelVerdict::Allowed
           : TunnelVerdict::NotAllowed;
}

void
NodeProcess::OnTargetTried(const std::string& aTarget, bool aIsConnected)
{
  const RelayUpstream* upstream = FindByAddress(aTarget);
  if (upstream == nullptr) {
    return;
  }
  const std::string id = upstream->mId;
  mExecutor.Deliver(
    [&](RelayStateMachine& aMachine, TimePoint aNow, RelayCommands&) {
      aMachine.OnTunnelTargetTried(id, aIsConnected, aNow);
    });
}

NodeStatus
NodeProcess::Status(const std::string& aCallerZone)
{
  const ServingState serving = Serving();
  std::vector<CallerAddress> callers = mGossip->Callers();
  callers.push_back({ mSettings.mZone, mSettings.mListen, serving, "" });
  NodeStatus status;
  status.mIsReady = serving != ServingState::Nothing;
  status.mAddressTtl = mSettings.mAddressTtl;
  status.mCallerAddresses = mDirectory.Select(
    callers, aCallerZone, mGossip->Members().Count(mReactor->Now()));
  return status;
}

NodeGauges
NodeProcess::Gauges()
{
  const TimePoint now = mReactor->Now();
  NodeGauges gauges;
  gauges.mViewAge = mView.Age(now);
  gauges.mViewVersion = mView.Version();
  gauges.mTurns = mReactor->TakeTurnStatistics();
  gauges.mStoreEra = mViews.StoreEra();
  gauges.mFormerEraResponses = mViews.FormerEraResponses();
  gauges.mUpstreamListAge =
    now - mMachine.ListedUpstreams().ListedAt().value_or(now);
  gauges.mUpstreamsByState = {
    { "ready", 0 }, { "leaving", 0 }, { "lapsed", 0 }, { "avoided", 0 }
  };
  for (const auto& [id, entry] : mMachine.ListedUpstreams().All()) {
    ++gauges.mUpstreamsByState[UpstreamStateName(
      entry, mMachine.Loads().IsAvoided(id, now))];
  }
  gauges.mVmCount = mGossip->Members().Count(now);
  gauges.mReachableFraction = mGossip->Members().ReachableFraction(now);
  gauges.mOpenRequests = mMachine.OpenRequestCount();
  gauges.mWaitingRequests = mMachine.WaitingRequestCount();
  gauges.mWaitingForAllowance = mWaitingAdmission.Queue().Count();
  gauges.mBufferedBytes = mCallerServer->BufferedBytes();
  gauges.mMemoryUsed = mMemory->UsedBytes();
  gauges.mMemoryPeak = mMemory->PeakBytes();
  gauges.mMemoryLimit = mMemory->MaxBytes();
  for (std::size_t n = 0; n < kMemoryUses; ++n) {
    const auto use = static_cast<MemoryUse>(n);
    gauges.mMemoryRefusals[ToName(use)] = mMemory->RefusalCount(use);
  }
  gauges.mMalformedResponses = mClient->MalformedResponses();
  gauges.mLimitedUpstreams = mMachine.Limits().LimitedCount(mReactor->Now());
  gauges.mSpeeds = mMachine.Speeds().KnownRange();
  gauges.mColdUpstreams = mMachine.Limits().ColdCount(mReactor->Now());
  gauges.mEvacuatedZones = mMachine.ListedUpstreams().EvacuatedZones().size();
  gauges.mTunnels = mTunnels == nullptr ? 0 : mTunnels->OpenCount();
  gauges.mReachesUpstreams = !mMachine.Reach().IsCutOff();
  gauges.mRetryBudgetLeft = mMachine.RetriesLeft(now);
  gauges.mAllowanceTokensLeft = mRateLimiter.AvailableTokens(now);
  return gauges;
}

std::string
NodeProcess::RenderMetrics()
{
  mMetrics.UpdateCounters(mMachine.Counters());
  mMetrics.UpdateCrashEvidence(mMachine.Crashes());
  mMetrics.UpdateOriginCounts(mGossip->Origins().Counts());
  mMetrics.UpdateServiceVersionCounts(mVersions.Counts());
  mMetrics.UpdateContentOriginCounts(mGossip->ContentOrigins().Counts());
  mMetrics.UpdateOpenStreamCounts(mOpenStreams.Counts());
  mMetrics.UpdateCatchUpCounts("attempt", mGossip->Origins().CatchUpCounts());
  mMetrics.UpdateCatchUpCounts("content",
                               mGossip->ContentOrigins().CatchUpCounts());
  mMetrics.UpdatePeerReads(mViews.PeerReads());
  mMetrics.UpdateGauges(Gauges());
  mMetrics.UpdateLogLosses(Log::DroppedLines());
  return mMetrics.Render();
}

} // namespace peridothoist
