/// The node process's pages: readiness, callers' addresses and metrics.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/NodeProcess.h>

namespace peridothoist {

namespace {

/// What an upstream is to this VM, for the metrics.
const char*
StateOf(const UpstreamRoster::Entry& aEntry, bool aAvoided)
{
  if (aEntry.mUpstream.mLeaving) {
    return "leaving";
  }
  if (aEntry.mLapsed) {
    return "lapsed";
  }
  return aAvoided ? "avoided" : "ready";
}

} // namespace

bool
NodeProcess::StartPages(Reason* aReason)
{
  struct Row
  {
    const std::string& mAddress;
    PageServer::Page mPage;
  };
  const Row rows[] = {
    { mSettings.mReadyListen,
      [this](const HttpRequest& aRequest) {
        return mProtocols.mCallers->ReadyPage(aRequest, Status());
      } },
    { mSettings.mDirectoryListen,
      [this](const HttpRequest& aRequest) {
        return mProtocols.mCallers->AddressPage(aRequest, Status());
      } },
    { mSettings.mMetricsListen,
      [this](const HttpRequest&) -> std::optional<PageAnswer> {
        return PageAnswer{ 200,
                           { { "content-type", "text/plain; version=0.0.4" } },
                           RenderMetrics() };
      } },
  };
  for (const Row& row : rows) {
    if (row.mAddress.empty()) {
      continue;
    }
    auto server =
      PageServer::Create(*mReactor, row.mAddress, row.mPage, aReason);
    if (server == nullptr) {
      return false;
    }
    mPageServers.push_back(std::move(server));
  }
  return true;
}

NodeStatus
NodeProcess::Status() const
{
  const ServingState serving = Serving();
  NodeStatus status;
  status.mReady = serving != ServingState::Nothing;
  status.mAddressesHold = mSettings.mAddressesHold;
  status.mCallerAddresses = mPeers->Members().CallerAddresses(
    serving, mSettings.mListen, mReactor->Now());
  return status;
}

NodeGauges
NodeProcess::Gauges()
{
  const TimePoint now = mReactor->Now();
  NodeGauges gauges;
  gauges.mViewAge = mView.Age(now);
  gauges.mVersion = mView.Version();
  gauges.mListAge = now - mMachine.Roster().ListedAt().value_or(now);
  gauges.mUpstreams = {
    { "ready", 0 }, { "leaving", 0 }, { "lapsed", 0 }, { "avoided", 0 }
  };
  for (const auto& [id, entry] : mMachine.Roster().All()) {
    ++gauges.mUpstreams[StateOf(entry, mMachine.Loads().IsAvoided(id, now))];
  }
  gauges.mVms = mPeers->Members().Count(now);
  gauges.mHeardPart = mPeers->Members().HeardPart(now);
  gauges.mOpen = mMachine.Open();
  gauges.mWaiting = mMachine.Waiting();
  gauges.mRepeatsLeft = mMachine.RepeatsLeft(now);
  gauges.mTokensLeft = mLedger.Left(now);
  return gauges;
}

std::string
NodeProcess::RenderMetrics()
{
  mMetrics.TakeCounters(mMachine.Counters());
  mMetrics.TakeGauges(Gauges());
  mMetrics.TakeLosses(Log::Losses());
  return mMetrics.Render();
}

} // namespace peridothoist
