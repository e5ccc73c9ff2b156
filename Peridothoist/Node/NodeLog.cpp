#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/NodeLog.h>

#include <Peridothoist/Core/DurationUnits.h>
#include <Peridothoist/Shell/Log.h>

#include <algorithm>

namespace peridothoist {

void
LogChangedLimits(const RelayConfiguration* aOld, const RelayConfiguration& aNew)
{
  for (const auto& [name, workspace] : aNew.Workspaces()) {
    const bool isKnown = aOld != nullptr && aOld->Workspaces().count(name) > 0;
    const bool isSame =
      isKnown && aOld->Workspaces().at(name).HasSameLimit(workspace);
    if (!isSame) {
      Log::Info("workspace_limit")
        .Field("workspace", name)
        .Field("tokens_per_s", workspace.mTokensPerSecond)
        .Field("burst_tokens", workspace.mBurstTokens)
        .Field("plain_tokens", workspace.mPlainTokens)
        .Field("version", aNew.mVersion);
    }
  }
}

void
LogListChanges(const std::map<std::string, UpstreamList::Entry>& aBefore,
               const std::map<std::string, UpstreamList::Entry>& aAfter)
{
  for (const auto& [id, entry] : aAfter) {
    const auto known = aBefore.find(id);
    const bool isNew = known == aBefore.end();
    const bool isCold = entry.mUpstream.mColdRemaining > Duration(0);
    if (isNew ||
        (known->second.mUpstream.mColdRemaining > Duration(0)) != isCold ||
        known->second.mUpstream.mIsLeaving != entry.mUpstream.mIsLeaving ||
        known->second.mIsMissing != entry.mIsMissing ||
        known->second.mUpstream.mStage != entry.mUpstream.mStage ||
        known->second.mUpstream.mSoftwareVersion !=
          entry.mUpstream.mSoftwareVersion) {
      Log::Info("upstream_listed")
        .Field("upstream", id)
        .Field("service", entry.mUpstream.mService)
        .Field("address", entry.mUpstream.mAddress)
        .Field("zone", entry.mUpstream.mZone)
        .Field("stage", ToName(entry.mUpstream.mStage))
        .Field("software", entry.mUpstream.mSoftwareVersion)
        .Field("leaving", entry.mUpstream.mIsLeaving)
        .Field("cold_ms", ToMillis(entry.mUpstream.mColdRemaining))
        .Field("lapsed", entry.mIsMissing);
    }
  }
  for (const auto& [id, entry] : aBefore) {
    if (aAfter.count(id) == 0) {
      Log::Info("upstream_gone")
        .Field("upstream", id)
        .Field("was_leaving", entry.mUpstream.mIsLeaving);
    }
  }
}

namespace {

std::size_t
UpstreamsIn(const UpstreamList& aUpstreams, const std::string& aZone)
{
  const auto& all = aUpstreams.All();
  return static_cast<std::size_t>(
    std::count_if(all.begin(), all.end(), [&](const auto& aIt) {
      return aIt.second.mUpstream.mZone == aZone;
    }));
}

} // namespace

void
LogEvacuations(const std::set<std::string>& aBefore,
               const UpstreamList& aUpstreams,
               Duration aAge,
               std::size_t aWaiting)
{
  const std::set<std::string>& now = aUpstreams.EvacuatedZones();
  std::set<std::string> zones = aBefore;
  zones.insert(now.begin(), now.end());
  for (const std::string& zone : zones) {
    const bool isEvacuated = now.count(zone) > 0;
    if (isEvacuated == (aBefore.count(zone) > 0)) {
      continue;
    }
    const std::size_t upstreams = UpstreamsIn(aUpstreams, zone);
    (upstreams == 0 ? Log::Warning("zone_without_upstreams_evacuated")
                    : Log::Info("zone_evacuated"))
      .Field("zone", zone)
      .Field("evacuated", isEvacuated)
      .Field("upstreams", upstreams)
      .Field("age_ms", ToMillis(aAge))
      .Field("waiting", aWaiting);
  }
}

void
LogStatedLeaving(const UpstreamProcess& aProcess, std::string_view aSource)
{
  Log::Info("upstream_states_leaving")
    .Field("upstream", aProcess.mUpstream)
    .Field("born", aProcess.mIncarnationId)
    .Field("heard_by", aSource);
}

void
LogSpeeds(const std::vector<SpeedChange>& aChanges)
{
  for (const SpeedChange& it : aChanges) {
    Log::Info("upstream_speed")
      .Field("upstream", it.mUpstream)
      .Field("factor", it.mFactor)
      .Field("samples", it.mSamples)
      .Field("source", ToName(it.mSource));
  }
}

void
CrashEvidenceLog::OnContentQuarantined(const std::string& aContent,
                                       std::size_t aCrashes,
                                       Duration aRemaining)
{
  Log::Warning("content_quarantined")
    .Field("content", aContent)
    .Field("crashes", aCrashes)
    .Field("remaining_ms", ToMillis(aRemaining));
}

void
CrashEvidenceLog::OnContentExcused(const std::string& aContent)
{
  Log::Info("content_excused").Field("content", aContent);
}

} // namespace peridothoist
